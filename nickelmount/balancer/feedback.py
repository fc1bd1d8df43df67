"""Feedback from attempts that have ended, to the load table, outlier detection, quotas and gossip."""

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
    """The distribution of each attempt's result to the modules that use it."""

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
        """Update load, speed, failures and traffic share from an attempt that is no longer in flight.

        If the attempt got an answer with a load report, the load is also sent to other balancers.
        """
        endpoint, table = attempt.endpoint, self._table
        table.record_attempt_end(endpoint, event, attempt.load_at_send, now_us)
        self._gossip_load(event, attempt)
        # A timeout or a reset counts as a failure only if no attempt at the endpoint has succeeded since this
        # one was sent. Otherwise the process works: the answer is only late, or only the connection broke.
        is_inconclusive = event.outcome in (Outcome.TIMEOUT, Outcome.RESET)
        if not is_inconclusive or endpoint.last_success_at_us <= attempt.sent_at_us:
            self._outliers.record_attempt_end(endpoint, event.outcome, now_us)
        self._quotas.update_traffic_share(len(endpoint.in_flight) + 1, max(0.0, endpoint.other_in_flight))

    def _gossip_load(self, event: AttemptEnded, attempt: Attempt) -> None:
        """Send other balancers the load reported with an answer, less the attempt that has just ended."""
        column = self._table.load_column
        if self._gossip.is_enabled and event.outcome is Outcome.OK and len(event.load_report) > column:
            for message in self._gossip.messages(attempt.endpoint, event.load_report[column] - 1):
                self._emit(message)
