"""Probing: asking both sampled endpoints for their load before they are compared, if that is cheap.

A balancer with little traffic gets load reports from each endpoint so rarely that, with its load table alone,
comparing two samples is no better than taking one at random.
"""

from __future__ import annotations

from collections.abc import Iterator

from .endpoint import TrackedEndpoint
from .load_table import LoadTable
from .request import Request
from .settings import Settings

# Probing both samples of every request may cost at most this share of the weight of all requests.
MAX_COST_SHARE = 0.01
# Maximum duration of a probe and maximum age of a known load, as a share of the shortest latency objective.
MAX_AGE_OBJECTIVE_SHARE = 0.05
MAX_PROBED_PAIRS = 4  # Pairs of samples that are probed for a request before it waits or is finished.


class Probing:
    """The choice of endpoints to probe for a request, and the requests that wait for a probe."""

    def __init__(self, settings: Settings, table: LoadTable) -> None:
        self.is_enabled = (
            settings.can_probe and table.has_load_reports and 2 * settings.prices.probe <= MAX_COST_SHARE
        )
        shortest_objective_us = min(c.latency_objective_us for c in settings.classes)
        self.max_load_age_us = int(MAX_AGE_OBJECTIVE_SHARE * shortest_objective_us)

    def begin(
        self, request: Request, pair: tuple[TrackedEndpoint, TrackedEndpoint], now_us: int
    ) -> list[TrackedEndpoint]:
        """Let a request wait for the load of both samples, and return the endpoints to probe now.

        A sample is not probed if its load is known, or if a probe of it was sent at most max_load_age_us ago
        and has not ended. The request needs to wait only if request.unanswered_probes is not empty.
        """
        request.candidates = pair
        request.candidate_starts_us = (pair[0].started_at_us, pair[1].started_at_us)
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
        """End the probe of an endpoint, and yield the requests whose samples can be compared now.

        The samples of a request can be compared when both loads are known, or when one of the probes has
        failed. A request that has drawn the same endpoint in two pairs is among its waiters twice. The
        second occurrence is checked after the first comparison, which may have changed the request.
        """
        endpoint.probe_sent_at_us = 0
        waiters, endpoint.probe_waiters = endpoint.probe_waiters, []
        for request in waiters:
            if self._record_probe_end(request, endpoint, has_load):
                yield request

    def _record_probe_end(self, request: Request, endpoint: TrackedEndpoint, has_load: bool) -> bool:
        """Record the end of a probe for a request, and return whether its samples can be compared now."""
        if request.candidates is None or request.is_done or endpoint not in request.unanswered_probes:
            return False
        if has_load:
            request.unanswered_probes.remove(endpoint)
        return not request.unanswered_probes or not has_load

    def allow_more_pairs(self, request: Request) -> None:
        """Allow MAX_PROBED_PAIRS more pairs for a request that waits for a busy endpoint."""
        request.max_probed_pairs = request.probed_pair_count + MAX_PROBED_PAIRS
