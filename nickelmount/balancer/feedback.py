"""What the end of an attempt teaches, and what is gossiped of it."""

from __future__ import annotations

from collections.abc import Callable

from .actions import Action
from .events import AttemptEnded, Outcome
from .gossip import Gossip
from .load_table import LoadTable
from .outlier_detection import OutlierDetector
from .quota import TenantQuotas
from .request import Attempt


class AttemptFeedback:
    """Passes the end of an attempt to all that learn from it."""

    def __init__(
        self,
        table: LoadTable,
        outliers: OutlierDetector,
        quotas: TenantQuotas,
        gossip: Gossip,
        emit: Callable[[Action], None],
    ) -> None:
        self._table, self._outliers, self._quotas = table, outliers, quotas
        self._gossip, self._emit = gossip, emit

    def learn(self, event: AttemptEnded, attempt: Attempt, now_us: int) -> None:
        """Learn from an attempt that is no longer in flight: load and speed, failures, share of traffic."""
        endpoint, table = attempt.endpoint, self._table
        table.record_attempt_end(endpoint, event, attempt.load_at_send, now_us)
        self._pass_on(event, attempt)
        # A timeout or a reset counts against an endpoint only if it has answered nothing since: else it is
        # late, or the connection broke and not the process.
        is_late = event.outcome in (Outcome.TIMEOUT, Outcome.RESET)
        if not is_late or endpoint.last_success_at_us <= attempt.sent_at_us:
            self._outliers.record_attempt_end(endpoint, event.outcome, now_us)
        self._quotas.update_traffic_share(len(endpoint.in_flight) + 1, max(0.0, endpoint.other_in_flight))

    def _pass_on(self, event: AttemptEnded, attempt: Attempt) -> None:
        """Tell other balancers the load that an answer reported."""
        column = self._table.load_column
        if self._gossip.is_enabled and event.outcome is Outcome.OK and len(event.load_report) > column:
            for message in self._gossip.messages(attempt.endpoint, event.load_report[column] - 1):
                self._emit(message)
