"""Hedging: when a request is sent to another endpoint while an attempt is still in flight."""

from __future__ import annotations

from .load_table import LoadTable
from .request import Request
from .settings import Idempotency, Settings

HEDGE_AFTER_LATENCIES = 3  # An attempt is hedged after this many typical latencies.


class HedgingPolicy:
    """The rule that hedges an unusually slow attempt, provided that its request may run twice."""

    def __init__(self, settings: Settings) -> None:
        self._is_allowed = settings.can_hedge

    def hedge_at_us(self, request: Request, table: LoadTable, now_us: int) -> int | None:
        """Return the time at which to hedge an attempt that is sent now, or None if it is not to be hedged.

        It is not hedged if hedging is off, if the request must not run twice, while the typical latency is
        unknown, or if a hedge that takes the typical latency would miss the objective.
        """
        typical_us = table.typical_latency_us
        if not self._is_allowed or not typical_us:
            return None
        if request.request_class.idempotency is Idempotency.NEVER:
            return None
        at_us = now_us + int(HEDGE_AFTER_LATENCIES * typical_us)
        return at_us if at_us + typical_us < request.objective_at_us else None

    def is_only_attempt(self, request: Request, attempt: int) -> bool:
        """Return whether the request has no answer yet and this attempt is its only one in flight."""
        return not request.is_done and attempt in request.in_flight and len(request.in_flight) == 1
