"""The traffic of this balancer: how many first attempts of clients arrive."""

from __future__ import annotations

from math import exp

from .units import SECOND_US

TRAFFIC_WINDOW_US = SECOND_US  # requests are counted over so long, the latest ones the most


class RecentArrivals:
    """Requests within the last TRAFFIC_WINDOW_US, each fading; `count` is as of the last arrival."""

    def __init__(self) -> None:
        self.count = 0.0
        self._updated_at_us = 0

    def record_arrival(self, now_us: int) -> None:
        """Count one more."""
        self.count = self.count * exp((self._updated_at_us - now_us) / TRAFFIC_WINDOW_US) + 1.0
        self._updated_at_us = now_us
