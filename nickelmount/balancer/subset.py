"""The subset of endpoints from which a balancer samples, and the capacity of all ready endpoints.

A balancer with little traffic sends to each endpoint of a large fleet so rarely that its measurements are
outdated and its connections are closed as idle before the next request. The size of its subset is therefore
the number of requests that it gets in two seconds, but at least MIN_SUBSET_SIZE. The subset consists of the
first ready endpoints in an order that differs between balancers. An ejected endpoint does not count towards
the size of the subset and a warming one counts only in part, so that the next endpoints in the order join the
subset. A balancer that knows the load of all endpoints from probes or gossip samples from all of them.
"""

from __future__ import annotations

from math import exp

from .endpoint import TrackedEndpoint
from .endpoint_set import EndpointSet
from .settings import Settings
from .slow_start import WarmUpRamp
from .traffic import TRAFFIC_WINDOW_US, RecentArrivals
from .units import SECOND_US

# Approximate time between requests of this balancer to one endpoint of the subset.
REQUEST_INTERVAL_US = 2 * SECOND_US
MIN_SUBSET_SIZE = 17  # Minimum wanted size, even if there is no traffic.
MAX_SUBSET_AGE_US = SECOND_US  # The subset is chosen again after this time.
MAX_SIZE_GROWTH = 2  # The subset is chosen again when its wanted size has grown by more than this factor.


class Subset:
    """The endpoints of the subset. Capacities are in units of one warm endpoint of mean size."""

    def __init__(self, settings: Settings, ramp: WarmUpRamp, endpoints: EndpointSet, uses_all: bool) -> None:
        self._ramp, self._endpoint_set, self._uses_all = ramp, endpoints, uses_all
        self._peak_decay_us = max(SECOND_US, settings.warm_up_us)
        self.endpoints: list[TrackedEndpoint] = []
        self.capacity = 0.0  # Capacity of all ready endpoints.
        self._peak_capacity = 0.0  # Highest recent capacity, which decays towards the current one.
        self._capacity_updated_at_us = 0
        self._chosen_at_us = 0
        self._wanted_size = 0  # Size that was wanted at _chosen_at_us.
        # The number of ready endpoints divided by the size of the subset. The number of balancers that sample
        # the same endpoint is the number of all balancers divided by this ratio.
        self.ready_to_subset_ratio = 1.0

    @property
    def remaining_capacity_share(self) -> float:
        """The current capacity as a share of the highest recent capacity."""
        return self.capacity / max(1.0, self._peak_capacity)

    def is_outdated(self, arrivals: RecentArrivals, now_us: int) -> bool:
        """Return whether the subset must be chosen again."""
        if now_us - self._chosen_at_us > MAX_SUBSET_AGE_US:
            return True
        return self._size_for(arrivals) > MAX_SIZE_GROWTH * self._wanted_size

    def choose(self, arrivals: RecentArrivals, now_us: int) -> bool:
        """Choose the subset, and return whether it has changed."""
        previous = self.endpoints
        self._wanted_size = self._size_for(arrivals)
        self._update_capacity(now_us)
        self.endpoints = self._endpoint_set.ready.copy() if self._uses_all else self._first_in_order(now_us)
        self.ready_to_subset_ratio = max(1, len(self._endpoint_set.ready)) / max(1, len(self.endpoints))
        self._chosen_at_us = now_us
        return self.endpoints != previous

    def _size_for(self, arrivals: RecentArrivals) -> int:
        """Return the wanted size of the subset for the given traffic."""
        if self._uses_all:
            return len(self._endpoint_set.ready)
        return max(MIN_SUBSET_SIZE, int(arrivals.count * REQUEST_INTERVAL_US / TRAFFIC_WINDOW_US))

    def _first_in_order(self, now_us: int) -> list[TrackedEndpoint]:
        """Return the shortest prefix of the ready endpoints whose capacity reaches the wanted size.

        The ejected endpoints among them are included, but do not count towards the capacity.
        """
        chosen: list[TrackedEndpoint] = []
        capacity = 0.0
        for endpoint in self._endpoint_set.ready:
            if capacity >= self._wanted_size:
                break
            chosen.append(endpoint)
            if endpoint.ejected_until_us <= now_us:
                capacity += self._ramp.warm_share(endpoint, now_us)
        return chosen

    def _update_capacity(self, now_us: int) -> None:
        """Update the current capacity and the decaying peak."""
        warming = self._endpoint_set.warming
        # The call comes before len(warming), because it removes the endpoints that are warm by now.
        warming_capacity = warming.capacity(now_us)
        self.capacity = len(self._endpoint_set.ready) - len(warming) + warming_capacity
        decay = exp((self._capacity_updated_at_us - now_us) / self._peak_decay_us)
        decayed_peak = self.capacity + (self._peak_capacity - self.capacity) * decay
        self._peak_capacity = max(self.capacity, decayed_peak)
        self._capacity_updated_at_us = now_us
