"""The traffic of this balancer: the number of recent requests, without the retries of clients."""

from __future__ import annotations

from math import exp

from .units import SECOND_US

TRAFFIC_WINDOW_US = SECOND_US  # Time constant of the exponential decay with which requests are counted.


class RecentArrivals:
    """An exponentially decaying count of the requests in about the last TRAFFIC_WINDOW_US.

    `count` is the value at the time of the last arrival.
    """

    def __init__(self) -> None:
        self.count = 0.0
        self._updated_at_us = 0

    def record_arrival(self, now_us: int) -> None:
        """Count a request that has arrived."""
        self.count = self.count * exp((self._updated_at_us - now_us) / TRAFFIC_WINDOW_US) + 1.0
        self._updated_at_us = now_us
