"""Retries: where and when a request may be sent again.

A request that may have run is sent again

1. to any endpoint, if its class is always idempotent;
2. to the endpoints in the dedup scope of its first attempt that may have run, if its class is idempotent with
   a key, but only until two ticks before the end of the dedup window: until then these endpoints surely
   remember the key;
3. never, if its class is not idempotent.

A request that surely never ran may be sent again to any endpoint. In addition a retry budget limits the work
that retries may add, because overloaded endpoints reject at once and unlimited retries would multiply the
load.
"""

from __future__ import annotations

from .endpoint import TrackedEndpoint
from .events import EndpointStatus
from .request import Request
from .settings import DedupScope, Idempotency, Settings

RETRY_BUDGET_PER_REQUEST = 0.15  # Each request that arrives adds this part of a retry to the budget.
MAX_RETRY_BUDGET = 10.0  # The budget holds at most this many retries.
TICKS_BEFORE_WINDOW_END = 2  # The decision and the write may each come one tick late.


class RetryBudget:
    """The number of retries and hedges that may still be sent.

    Retries after CONNECT_FAILED are not charged to it.
    """

    def __init__(self) -> None:
        self._available = MAX_RETRY_BUDGET

    @property
    def is_exhausted(self) -> bool:
        """Whether the budget allows no further retry."""
        return self._available < 1.0

    def record_arrival(self) -> None:
        """Add RETRY_BUDGET_PER_REQUEST to the budget for a request that has arrived."""
        self._available = min(MAX_RETRY_BUDGET, self._available + RETRY_BUDGET_PER_REQUEST)

    def spend(self) -> None:
        """Charge one retry or hedge to the budget."""
        self._available -= 1.0


class RetryRules:
    """The rules that decide where a request may be sent, from its earlier attempts and the endpoint list."""

    def __init__(self, settings: Settings) -> None:
        self._max_attempts = settings.max_attempts
        self._window_margin_us = TICKS_BEFORE_WINDOW_END * settings.tick_us

    def has_attempts_left(self, request: Request) -> bool:
        """Return whether the request has made fewer than the maximum number of attempts."""
        return request.attempts_sent < self._max_attempts

    def is_unrestricted(self, request: Request) -> bool:
        """Return whether a request may be sent to any ready endpoint."""
        return not request.may_have_run or request.request_class.idempotency is Idempotency.ALWAYS

    def allows(self, request: Request, endpoint: TrackedEndpoint, now_us: int) -> bool:
        """Return whether a request may be sent to an endpoint now.

        This is checked when samples are drawn, and again before they are compared, because in between the
        endpoint list may have changed and the dedup window may have ended.
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
        """Return how long endpoints surely still drop duplicates of the first attempt that may have run.

        The result is 0 or negative after that time.
        """
        window_end_us = request.may_have_run[0].sent_at_us + request.request_class.dedup_window_us
        return window_end_us - self._window_margin_us - now_us

    def write_limit_us(self, request: Request, now_us: int) -> int:
        """Return the time within which the next attempt must be written; 0 if there is no limit."""
        if request.may_have_run and request.request_class.idempotency is Idempotency.WITH_KEY:
            return max(1, self.dedup_window_left_us(request, now_us))
        return 0

    def can_reject(self, request: Request) -> bool:
        """Return whether a request may be rejected, which promises the client that a retry is harmless."""
        request_class = request.request_class
        return self.is_unrestricted(request) or (
            request_class.idempotency is Idempotency.WITH_KEY and request_class.dedup_scope is DedupScope.ALL
        )
