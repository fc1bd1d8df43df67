"""The ready endpoints that are warming up, and their total capacity.

The total is computed without a pass over all of them. When a zone returns or a fleet restarts, thousands of
endpoints are warming up, and their capacity is needed at each change of the list and once a second.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterable

from .endpoint import TrackedEndpoint
from .slow_start import WarmUpRamp


class WarmingEndpoints:
    """The ready endpoints that are within the duration of the warm-up ramp, in order of start time."""

    def __init__(self, ramp: WarmUpRamp) -> None:
        self._ramp = ramp
        self._by_start: list[tuple[int, TrackedEndpoint]] = []  # Start times in us, with the endpoints.
        self._start_sum_us = 0  # Sum of all start times in _by_start.

    def __len__(self) -> int:
        return len(self._by_start)

    def replace_all(self, endpoints: Iterable[TrackedEndpoint], now_us: int) -> None:
        """Replace the contents with those of the given endpoints that are ready and warming up."""
        self._by_start, self._start_sum_us = [], 0
        for endpoint in endpoints:
            endpoint.warming_since_us = 0
            if endpoint.is_ready and self._is_warming(endpoint, now_us):
                self._by_start.append(self._create_entry(endpoint))
        self._by_start.sort(key=_start)

    def add(self, endpoint: TrackedEndpoint, now_us: int) -> None:
        """Add a ready endpoint if it is warming up."""
        if self._is_warming(endpoint, now_us):
            insort(self._by_start, self._create_entry(endpoint), key=_start)

    def remove(self, endpoint: TrackedEndpoint) -> None:
        """Remove an endpoint if it is present."""
        since_us = endpoint.warming_since_us
        if since_us:
            first = bisect_left(self._by_start, since_us, key=_start)
            del self._by_start[self._by_start.index((since_us, endpoint), first)]
            self._start_sum_us -= since_us
            endpoint.warming_since_us = 0

    def capacity(self, now_us: int) -> float:
        """Return the least capacity that all these endpoints have together, in units of one warm endpoint.

        Endpoints that are warm by now are removed first.
        """
        ramp = self._ramp
        self._remove_first(bisect_right(self._by_start, now_us - ramp.duration_us, key=_start))
        # A start time may be in the future, because clocks differ.
        started_count = bisect_right(self._by_start, now_us, key=_start)
        future_sum_us = sum(start_us for start_us, _ in self._by_start[started_count:])
        age_sum_us = started_count * now_us - (self._start_sum_us - future_sum_us)
        gained = (1.0 - ramp.start_capacity) * age_sum_us / ramp.duration_us if started_count else 0.0
        return len(self._by_start) * ramp.start_capacity + gained

    def _remove_first(self, count: int) -> None:
        """Remove the given number of endpoints with the earliest start times."""
        for start_us, endpoint in self._by_start[:count]:
            self._start_sum_us -= start_us
            endpoint.warming_since_us = 0
        del self._by_start[:count]

    def _is_warming(self, endpoint: TrackedEndpoint, now_us: int) -> bool:
        return endpoint.started_at_us != 0 and now_us - endpoint.started_at_us < self._ramp.duration_us

    def _create_entry(self, endpoint: TrackedEndpoint) -> tuple[int, TrackedEndpoint]:
        """Return the entry of a warming endpoint, and add its start time to the sum."""
        endpoint.warming_since_us = endpoint.started_at_us
        self._start_sum_us += endpoint.started_at_us
        return endpoint.started_at_us, endpoint


def _start(entry: tuple[int, TrackedEndpoint]) -> int:
    return entry[0]
