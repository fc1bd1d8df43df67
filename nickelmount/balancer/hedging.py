"""When a request is hedged: sent a second time while its first attempt is in flight."""

from __future__ import annotations

from .load_table import LoadTable
from .request import Request
from .settings import Idempotency, Settings

HEDGE_AFTER_LATENCIES = 3  # an attempt that takes so many typical latencies is unusually slow


class HedgingPolicy:
    """Hedges requests that may run twice, once their attempt is unusually slow."""

    def __init__(self, settings: Settings) -> None:
        self._is_allowed = settings.can_hedge

    def hedge_at_us(self, request: Request, table: LoadTable, now_us: int) -> int | None:
        """When the attempt that is sent now is to be hedged; None: never.

        Never where a second attempt of typical latency would come after the objective.
        """
        typical_us = table.typical_latency_us
        if not self._is_allowed or not typical_us:
            return None
        if request.request_class.idempotency is Idempotency.NEVER:
            return None
        at_us = now_us + int(HEDGE_AFTER_LATENCIES * typical_us)
        return at_us if at_us + typical_us < request.objective_at_us else None

    def is_only_attempt(self, request: Request, attempt: int) -> bool:
        """Whether an attempt is the only one in flight of a request without an answer."""
        return not request.is_done and attempt in request.in_flight and len(request.in_flight) == 1
