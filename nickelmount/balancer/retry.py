"""When a request may be sent again.

A request that may have run is repeated

1. anywhere, where its class is always idempotent;
2. where it is idempotent with a key: only at the endpoints that share the memory of its first send, and only
   while that memory surely holds, which is the dedup window less two ticks;
3. never, where its class is not idempotent.

A request that surely never ran may go anywhere. Beside these rules a retry budget bounds the work that
repeats may add: overloaded endpoints reject in no time, and unlimited repeats would multiply the load.
"""

from __future__ import annotations

from .endpoint import TrackedEndpoint
from .events import EndpointStatus
from .request import Request
from .settings import DedupScope, Idempotency, Settings

RETRY_BUDGET_PER_REQUEST = 0.15  # repeats allowed, as a share of the requests that arrive
MAX_RETRY_BUDGET = 10.0  # repeats that may be saved up
TICKS_BEFORE_WINDOW_END = 2  # the decision, and the write, are a tick late at the most


class RetryBudget:
    """Repeats that may still be sent: retries (free after CONNECT_FAILED) and hedged requests."""

    def __init__(self) -> None:
        self._available = MAX_RETRY_BUDGET

    @property
    def is_exhausted(self) -> bool:
        """Whether no repeat may be sent."""
        return self._available < 1.0

    def request_arrived(self) -> None:
        """Add the share of one more request."""
        self._available = min(MAX_RETRY_BUDGET, self._available + RETRY_BUDGET_PER_REQUEST)

    def spend(self) -> None:
        """Take one repeat off."""
        self._available -= 1.0


class RetryRules:
    """Where a request may be sent, by what may have run and by what the endpoint list says."""

    def __init__(self, settings: Settings) -> None:
        self._max_attempts = settings.max_attempts
        self._window_margin_us = TICKS_BEFORE_WINDOW_END * settings.tick_us

    def has_attempts_left(self, request: Request) -> bool:
        """Whether one more attempt is allowed by their number."""
        return request.attempts_sent < self._max_attempts

    def is_unrestricted(self, request: Request) -> bool:
        """Whether a request may go to any ready endpoint."""
        return not request.may_have_run or request.request_class.idempotency is Idempotency.ALWAYS

    def allows(self, request: Request, endpoint: TrackedEndpoint, now_us: int) -> bool:
        """Whether a request may be sent to an endpoint now.

        Asked when endpoints are chosen, and again when a probe has ended: lists and windows change meanwhile.
        """
        if endpoint.status is not EndpointStatus.READY:
            return False
        if self.is_unrestricted(request):
            return True
        request_class = request.request_class
        if request_class.idempotency is Idempotency.NEVER or self.dedup_window_left_us(request, now_us) <= 0:
            return False
        first = request.may_have_run[0].endpoint
        if request_class.dedup_scope is DedupScope.ALL:
            return True
        if request_class.dedup_scope is DedupScope.ZONE:
            return endpoint.zone == first.zone
        return endpoint.cell == first.cell

    def dedup_window_left_us(self, request: Request, now_us: int) -> int:
        """How long repeats of what may have run are still dropped."""
        window_end_us = request.may_have_run[0].sent_at_us + request.request_class.dedup_window_us
        return window_end_us - self._window_margin_us - now_us

    def write_limit_us(self, request: Request, now_us: int) -> int:
        """Within what time the next attempt has to be written; 0: any."""
        if request.may_have_run and request.request_class.idempotency is Idempotency.WITH_KEY:
            return max(1, self.dedup_window_left_us(request, now_us))
        return 0

    def can_reject(self, request: Request) -> bool:
        """Whether the promise of a rejection holds, that trying again is harmless."""
        request_class = request.request_class
        return self.is_unrestricted(request) or (
            request_class.idempotency is Idempotency.WITH_KEY and request_class.dedup_scope is DedupScope.ALL
        )
