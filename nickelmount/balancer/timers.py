"""Delayed calls. The caller of the balancer sets a timer for the earliest of them, and not one for each."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from .actions import Action, SetTimer


class TimerQueue:
    """A queue of delayed calls, which emits SetTimer so that a timer fires when the earliest call is due."""

    def __init__(self, emit: Callable[[Action], None]) -> None:
        self._emit = emit
        # A heap of (due time, sequence number, call, argument), ordered by time and then by number.
        self._calls: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self._scheduled_count = 0
        # Time at which the timer that was set last fires, which is also its token; 0 if it has fired or
        # none was set. Timers that were set earlier may still be pending, and do no harm when they fire.
        self.armed_at_us = 0

    @property
    def next_at_us(self) -> int:
        """The time at which the earliest call is due; 0 if there is none."""
        return self._calls[0][0] if self._calls else 0

    def schedule(self, now_us: int, at_us: int, call: Callable[[Any], None], argument: Any) -> None:
        """Schedule a call with the given argument at `at_us`, but at least 1 us from now."""
        self._scheduled_count += 1
        heappush(self._calls, (max(at_us, now_us + 1), self._scheduled_count, call, argument))
        self._arm(now_us)

    def fire(self, now_us: int, token: int) -> None:
        """Make all calls that are due, now that the timer with this token has fired."""
        if token == self.armed_at_us:
            self.armed_at_us = 0
        while self._calls and self._calls[0][0] <= now_us:
            _, _, call, argument = heappop(self._calls)
            call(argument)
        self._arm(now_us)

    def _arm(self, now_us: int) -> None:
        """Set a timer for the earliest call, unless the timer that was set last fires by then."""
        if self._calls and (not self.armed_at_us or self._calls[0][0] < self.armed_at_us):
            self.armed_at_us = self._calls[0][0]
            self._emit(SetTimer(max(0, self.armed_at_us - now_us), self.armed_at_us))
