"""Probing: both samples of a request are asked for their load before they are compared, where that is cheap.

A balancer with little traffic hears from each endpoint so rarely that, by its load table alone, two samples
are no better than one.
"""

from __future__ import annotations

from collections.abc import Iterator

from .endpoint import TrackedEndpoint
from .load_table import LoadTable
from .request import Request
from .settings import Settings

MAX_SPENDING = 0.01  # share of the weight of all requests that probing both samples of each may cost
MAX_AGE_OBJECTIVE_SHARE = (
    0.05  # a probe may take, and a load may be old, this share of the shortest objective
)
MAX_PROBED_PAIRS = 4  # pairs that are probed for a request before it waits or is given up


class Probing:
    """Which endpoints are probed for a request, and which requests wait for a probe."""

    def __init__(self, settings: Settings, table: LoadTable) -> None:
        self.is_enabled = (
            settings.can_probe and table.has_load_reports and 2 * settings.prices.probe <= MAX_SPENDING
        )
        shortest_objective_us = min(c.latency_objective_us for c in settings.classes)
        self.max_load_age_us = int(MAX_AGE_OBJECTIVE_SHARE * shortest_objective_us)

    def begin(
        self, request: Request, pair: tuple[TrackedEndpoint, TrackedEndpoint], now_us: int
    ) -> list[TrackedEndpoint]:
        """Let a request wait for the load of both samples; return those that are to be probed now.

        A sample whose load is known, or whose probe is in flight for another request, is not probed again.
        Nothing needs to be waited for where request.unanswered_probes is empty.
        """
        request.candidates = pair
        request.unanswered_probes = []
        if self.is_enabled:
            request.unanswered_probes = [
                e for e in dict.fromkeys(pair) if now_us - e.load_updated_at_us > self.max_load_age_us
            ]
        to_probe = []
        for endpoint in request.unanswered_probes:
            if not endpoint.probe_sent_at_us or now_us - endpoint.probe_sent_at_us > self.max_load_age_us:
                endpoint.probe_sent_at_us = now_us
                to_probe.append(endpoint)
            endpoint.probe_waiters.append(request)
        if request.unanswered_probes:
            request.probed_pair_count += 1
        return to_probe

    def end_probe(self, endpoint: TrackedEndpoint, has_load: bool) -> Iterator[Request]:
        """End the probe of an endpoint; yield the requests whose samples can be compared now.

        A request is compared when both loads have come, or when one of the probes has failed. One that waits
        twice, since it has drawn the same endpoint again, is looked at again after its first comparison.
        """
        endpoint.probe_sent_at_us = 0
        waiters, endpoint.probe_waiters = endpoint.probe_waiters, []
        for request in waiters:
            if self._is_settled(request, endpoint, has_load):
                yield request

    def _is_settled(self, request: Request, endpoint: TrackedEndpoint, has_load: bool) -> bool:
        if request.candidates is None or request.is_done or endpoint not in request.unanswered_probes:
            return False
        if has_load:
            request.unanswered_probes.remove(endpoint)
        return not request.unanswered_probes or not has_load

    def allow_more_pairs(self, request: Request) -> None:
        """Allow as many pairs again for a request that waits for a place."""
        request.max_probed_pairs = request.probed_pair_count + MAX_PROBED_PAIRS
