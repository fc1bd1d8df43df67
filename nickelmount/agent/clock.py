"""The clock of an agent, which is monotonic and counts integer microseconds."""

from __future__ import annotations

import time


class Clock:
    """A monotonic clock that translates Unix times to its own time with a fixed offset."""

    def __init__(self) -> None:
        # The offset is computed only once. If it were computed again after a step of the wall clock, the
        # start time of an endpoint would translate to another value, and the balancer would take the running
        # process of the endpoint for a new one.
        self._offset_us = time.monotonic_ns() // 1000 - time.time_ns() // 1000

    def now(self) -> int:
        """Return the monotonic time in microseconds."""
        return time.monotonic_ns() // 1000

    def from_unix_ms(self, ms: int) -> int:
        """Translate a Unix time in milliseconds to monotonic time in microseconds.

        The same value always gives the same time. 0 means long ago and gives 0. No other value gives 0.
        """
        return (ms * 1000 + self._offset_us or 1) if ms else 0
