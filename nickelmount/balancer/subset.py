"""The subset of endpoints among which a balancer samples, and the capacity of all that are ready.

A balancer with little traffic sees each endpoint of a large fleet so rarely that what it learned has aged
before it counts, and its connections have closed as idle. So it samples among as many as its traffic sees
within two seconds, in an order of its own; an endpoint that is ejected or warming leaves its place to the
next. A balancer that is told the load of all endpoints, by probes or gossip, samples among all.
"""

from __future__ import annotations

from math import exp

from .endpoint import TrackedEndpoint
from .endpoint_set import EndpointSet
from .settings import Settings
from .slow_start import WarmUpRamp
from .traffic import TRAFFIC_WINDOW_US, RecentArrivals
from .units import SECOND_US

VISIT_INTERVAL_US = 2 * SECOND_US  # each endpoint of the subset is seen about as often as this
MIN_SUBSET_SIZE = 17  # with less traffic, too
MAX_SUBSET_AGE_US = SECOND_US  # then it is chosen again
GROWTH_BEFORE_RECHOICE = 2  # or when its wanted size has grown by this factor


class Subset:
    """The chosen endpoints. Capacities are in warm endpoints of mean size."""

    def __init__(self, settings: Settings, ramp: WarmUpRamp, endpoints: EndpointSet, uses_all: bool) -> None:
        self._ramp, self._all, self._uses_all = ramp, endpoints, uses_all
        self._peak_fade_us = max(SECOND_US, settings.warm_up_us)
        self.endpoints: list[TrackedEndpoint] = []
        self.capacity = 0.0  # of all that are ready
        self._peak_capacity = 0.0  # the most there was of late, fading
        self._measured_at_us = 0
        self._chosen_at_us = 0
        self._wanted_size = 0  # as of then
        # Ready endpoints for each endpoint of the subset: of all balancers, so many times fewer sample the
        # same one.
        self.ready_to_subset_ratio = 1.0

    @property
    def remaining_capacity_share(self) -> float:
        """The share that is left of the most capacity there was of late."""
        return self.capacity / max(1.0, self._peak_capacity)

    def is_outdated(self, arrivals: RecentArrivals, now_us: int) -> bool:
        """Whether the subset is to be chosen again."""
        if now_us - self._chosen_at_us > MAX_SUBSET_AGE_US:
            return True
        return self._size_for(arrivals) > GROWTH_BEFORE_RECHOICE * self._wanted_size

    def choose(self, arrivals: RecentArrivals, now_us: int) -> bool:
        """Choose the subset; return whether it has changed."""
        before = self.endpoints
        self._wanted_size = self._size_for(arrivals)
        self._measure_capacity(now_us)
        self.endpoints = self._all.ready.copy() if self._uses_all else self._first_in_order(now_us)
        self.ready_to_subset_ratio = max(1, len(self._all.ready)) / max(1, len(self.endpoints))
        self._chosen_at_us = now_us
        return self.endpoints != before

    def _size_for(self, arrivals: RecentArrivals) -> int:
        if self._uses_all:
            return len(self._all.ready)
        return max(MIN_SUBSET_SIZE, int(arrivals.count * VISIT_INTERVAL_US / TRAFFIC_WINDOW_US))

    def _first_in_order(self, now_us: int) -> list[TrackedEndpoint]:
        chosen: list[TrackedEndpoint] = []
        capacity = 0.0
        for endpoint in self._all.ready:
            if capacity >= self._wanted_size:
                break
            chosen.append(endpoint)
            if endpoint.ejected_until_us <= now_us:
                capacity += self._ramp.warm_share(endpoint, now_us)
        return chosen

    def _measure_capacity(self, now_us: int) -> None:
        warming = self._all.warming
        ramping = warming.capacity(now_us)  # before it is counted: those that are warm now leave
        self.capacity = len(self._all.ready) - len(warming) + ramping
        fade = exp((self._measured_at_us - now_us) / self._peak_fade_us)
        faded_peak = self.capacity + (self._peak_capacity - self.capacity) * fade
        self._peak_capacity = max(self.capacity, faded_peak)
        self._measured_at_us = now_us
