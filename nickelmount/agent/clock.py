"""The one clock of an agent: monotonic, in integer microseconds."""

from __future__ import annotations

import time


class Clock:
    """Monotonic time, and Unix times translated to it with one fixed offset."""

    def __init__(self) -> None:
        # Fixed at the start. If it were computed again after a step of the wall clock, one start time of an
        # endpoint would translate to two, and the balancer would take the running process for a new one.
        self._offset_us = time.monotonic_ns() // 1000 - time.time_ns() // 1000

    def now(self) -> int:
        """Monotonic time in microseconds."""
        return time.monotonic_ns() // 1000

    def from_unix_ms(self, ms: int) -> int:
        """A Unix time in milliseconds as monotonic time in microseconds.

        The same value always gives the same time. 0 stands for long ago and stays 0; no other value gives 0.
        """
        return (ms * 1000 + self._offset_us or 1) if ms else 0
