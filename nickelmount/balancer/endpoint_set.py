"""The endpoints that discovery has listed, kept up to date at the cost of what changes.

A pass over all of thousands of endpoints takes milliseconds, and would delay requests at each change of the
list.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from random import Random

from .endpoint import TrackedEndpoint, gossip_tag
from .events import Endpoint, EndpointId, EndpointsChanged, EndpointStatus, ListUpdateKind
from .slow_start import WarmUpRamp
from .warming_endpoints import WarmingEndpoints


class EndpointSet:
    """All endpoints, and among them the ready, the warming and the removed ones.

    `is_shuffled`: the ready ones stand in an order of this balancer's own, drawn at random; else in that of
    their first listing.
    """

    def __init__(self, ramp: WarmUpRamp, rng: Random, is_shuffled: bool) -> None:
        self._rng, self._is_shuffled = rng, is_shuffled
        self.by_id: dict[EndpointId, TrackedEndpoint] = {}
        self.by_gossip_tag: dict[int, TrackedEndpoint] = {}
        self.ready: list[TrackedEndpoint] = []  # ordered
        self.warming = WarmingEndpoints(ramp)  # of the ready ones
        self.removed: dict[EndpointId, TrackedEndpoint] = {}  # perhaps with attempts or probes in flight
        self._seen_count = 0  # endpoints that were ever listed

    def apply(self, update: EndpointsChanged, now_us: int) -> None:
        """Take in a list update that is not a failure."""
        named = [self._track(entry, now_us) for entry in update.endpoints]
        if update.kind is ListUpdateKind.DELTA:
            for endpoint in named:
                self._place(endpoint, now_us)
        else:
            for missing in self.by_id.keys() - {endpoint.id for endpoint in named}:
                self.by_id[missing].status = EndpointStatus.REMOVED
            self._place_all(now_us)
        self._forget_removed()

    def _track(self, entry: Endpoint, now_us: int) -> TrackedEndpoint:
        endpoint = self.by_id.get(entry.id)
        if endpoint is not None:
            if entry.started_at_us != endpoint.started_at_us:
                endpoint.reset(now_us)  # a new process under the same id
            endpoint.update(entry)
            return endpoint
        self._seen_count += 1
        drawn = self._rng.random()
        order = drawn if self._is_shuffled else float(self._seen_count)
        endpoint = TrackedEndpoint(entry, now_us, order)
        self.by_id[entry.id] = self.by_gossip_tag[gossip_tag(entry.id)] = endpoint
        return endpoint

    def _place(self, endpoint: TrackedEndpoint, now_us: int) -> None:
        """Put an endpoint where its status belongs."""
        is_ready = endpoint.status is EndpointStatus.READY
        if is_ready and not endpoint.is_ready:
            insort(self.ready, endpoint, key=_order)
        elif endpoint.is_ready and not is_ready:
            first = bisect_left(self.ready, endpoint.order, key=_order)
            del self.ready[self.ready.index(endpoint, first)]
        endpoint.is_ready = is_ready
        self.warming.remove(endpoint)
        if is_ready:
            self.warming.add(endpoint, now_us)
        if endpoint.status is EndpointStatus.REMOVED:
            self.removed[endpoint.id] = endpoint
        else:
            self.removed.pop(endpoint.id, None)

    def _place_all(self, now_us: int) -> None:
        """The same for all at once, after a complete list."""
        endpoints = self.by_id.values()
        for endpoint in endpoints:
            endpoint.is_ready = endpoint.status is EndpointStatus.READY
        self.ready = sorted((e for e in endpoints if e.is_ready), key=_order)
        self.removed = {e.id: e for e in endpoints if e.status is EndpointStatus.REMOVED}
        self.warming.replace_all(endpoints, now_us)

    def _forget_removed(self) -> None:
        """Drop removed endpoints, since ids are ever new; one with attempts or probes in flight later."""
        finished = [e for e in self.removed.values() if not e.in_flight and not e.probe_waiters]
        for endpoint in finished:
            del self.by_id[endpoint.id], self.removed[endpoint.id]
            tag = gossip_tag(endpoint.id)
            if self.by_gossip_tag.get(tag) is endpoint:
                del self.by_gossip_tag[tag]


def _order(endpoint: TrackedEndpoint) -> float:
    return endpoint.order
