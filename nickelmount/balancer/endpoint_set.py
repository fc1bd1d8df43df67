"""The set of endpoints that discovery has listed.

The cost of a DELTA update depends on the number of entries that change, not on the size of the list. A pass
over thousands of endpoints takes milliseconds and would delay requests at each change of the list.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from random import Random

from .endpoint import TrackedEndpoint, gossip_tag
from .events import Endpoint, EndpointId, EndpointsChanged, EndpointStatus, ListUpdateKind
from .slow_start import WarmUpRamp
from .warming_endpoints import WarmingEndpoints


class EndpointSet:
    """All known endpoints, with separate collections of the ready, the warming and the removed ones.

    If `is_shuffled` is true, the ready endpoints are in a random order that differs between balancers;
    otherwise they are in the order in which they were first listed.
    """

    def __init__(self, ramp: WarmUpRamp, rng: Random, is_shuffled: bool) -> None:
        self._rng, self._is_shuffled = rng, is_shuffled
        self.by_id: dict[EndpointId, TrackedEndpoint] = {}
        self.by_gossip_tag: dict[int, TrackedEndpoint] = {}
        self.ready: list[TrackedEndpoint] = []  # Sorted by TrackedEndpoint.order.
        self.warming = WarmingEndpoints(ramp)  # Those ready endpoints that are warming up.
        # Removed endpoints are kept while they have attempts or probes in flight.
        self.removed: dict[EndpointId, TrackedEndpoint] = {}
        self._created_count = 0  # Number of TrackedEndpoint objects that were ever created.

    def apply(self, update: EndpointsChanged, now_us: int) -> None:
        """Apply a list update, whose kind must not be FAILED."""
        updated = [self._update_or_create(entry, now_us) for entry in update.endpoints]
        if update.kind is ListUpdateKind.DELTA:
            for endpoint in updated:
                self._classify(endpoint, now_us)
        else:
            for missing_id in self.by_id.keys() - {endpoint.id for endpoint in updated}:
                self.by_id[missing_id].status = EndpointStatus.REMOVED
            self._classify_all(now_us)
        self._delete_removed()

    def _update_or_create(self, entry: Endpoint, now_us: int) -> TrackedEndpoint:
        """Return the endpoint of an entry with the entry's values, and create it if its id is new."""
        endpoint = self.by_id.get(entry.id)
        if endpoint is not None:
            if entry.started_at_us != endpoint.started_at_us:
                endpoint.reset(now_us)  # A new process runs under the same id.
            endpoint.update(entry)
            return endpoint
        self._created_count += 1
        random_order = self._rng.random()
        order = random_order if self._is_shuffled else float(self._created_count)
        endpoint = TrackedEndpoint(entry, now_us, order)
        self.by_id[entry.id] = self.by_gossip_tag[gossip_tag(entry.id)] = endpoint
        return endpoint

    def _classify(self, endpoint: TrackedEndpoint, now_us: int) -> None:
        """Move an endpoint to the collections that match its status."""
        is_ready = endpoint.status is EndpointStatus.READY
        if is_ready and not endpoint.is_ready:
            insort(self.ready, endpoint, key=_sort_key)
        elif endpoint.is_ready and not is_ready:
            first = bisect_left(self.ready, endpoint.order, key=_sort_key)
            del self.ready[self.ready.index(endpoint, first)]
        endpoint.is_ready = is_ready
        self.warming.remove(endpoint)
        if is_ready:
            self.warming.add(endpoint, now_us)
        if endpoint.status is EndpointStatus.REMOVED:
            self.removed[endpoint.id] = endpoint
        else:
            self.removed.pop(endpoint.id, None)

    def _classify_all(self, now_us: int) -> None:
        """Rebuild the collections from the status of all endpoints, after a complete list."""
        endpoints = self.by_id.values()
        for endpoint in endpoints:
            endpoint.is_ready = endpoint.status is EndpointStatus.READY
        self.ready = sorted((e for e in endpoints if e.is_ready), key=_sort_key)
        self.removed = {e.id: e for e in endpoints if e.status is EndpointStatus.REMOVED}
        self.warming.replace_all(endpoints, now_us)

    def _delete_removed(self) -> None:
        """Delete the removed endpoints that have no attempt and no probe in flight.

        Replacements come under new ids, so that removed endpoints would otherwise pile up.
        """
        idle = [e for e in self.removed.values() if not e.in_flight and not e.probe_waiters]
        for endpoint in idle:
            del self.by_id[endpoint.id], self.removed[endpoint.id]
            tag = gossip_tag(endpoint.id)
            if self.by_gossip_tag.get(tag) is endpoint:
                del self.by_gossip_tag[tag]


def _sort_key(endpoint: TrackedEndpoint) -> float:
    return endpoint.order
