"""The endpoints that the agent knows, and the start of exchanges with them.

The life of an exchange is in upstream_exchange, its connections are in connection_pool.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace

from nickelmount.balancer.events import Endpoint, EndpointId, EndpointStatus
from nickelmount.protocol import http_names
from nickelmount.protocol.endpoint_list import EndpointList, ListedEndpoint

from .clock import Clock
from .connection_pool import ConnectionPool
from .upstream_exchange import Exchange, ExchangeResult, UpstreamRequest

log = logging.getLogger(__name__)

PROBE_TIMEOUT_US = 50_000  # a load known later than this is of no use to the requests that wait for it


class Upstream:
    """The endpoints as they were listed last, with what all exchanges with them share."""

    def __init__(self, clock: Clock, load_report_fields: tuple[str, ...], pool: ConnectionPool) -> None:
        self.clock, self.load_report_fields, self.pool = clock, load_report_fields, pool
        self._listed: dict[EndpointId, ListedEndpoint] = {}  # but for removed ones
        probe_path = http_names.LOAD_PATH if load_report_fields else http_names.PING_PATH
        self._probe_request = UpstreamRequest(b"GET", probe_path, [])

    @property
    def endpoint_ids(self) -> frozenset[EndpointId]:
        """The endpoints that are listed now, whatever their status."""
        return frozenset(self._listed)

    def ready_endpoint(self, endpoint_id: EndpointId) -> ListedEndpoint | None:
        """Return the endpoint as it is listed now; None if it is not listed as ready."""
        listed = self._listed.get(endpoint_id)
        return listed if listed is not None and listed.endpoint.status is EndpointStatus.READY else None

    # The endpoint list

    def apply(self, endpoint_list: EndpointList) -> list[Endpoint]:
        """Take in what discovery says, and return the endpoints that this changes.

        Of a complete list, too, only what differs is returned, so that it costs the balancer no more than
        that. An endpoint that a complete list does not name is returned as REMOVED. The idle connections of
        an endpoint that is no longer ready, or is another process now, are closed.
        """
        changed: list[Endpoint] = []
        for entry in endpoint_list.entries:
            if self._apply_entry(entry):
                changed.append(entry.endpoint)
        if endpoint_list.is_complete:
            changed += self._remove_unnamed(endpoint_list)
        return changed

    def _apply_entry(self, entry: ListedEndpoint) -> bool:
        """Take in one entry; whether it differs from what was listed."""
        endpoint = entry.endpoint
        previous = self._listed.get(endpoint.id)
        if previous == entry:
            return False
        if endpoint.status is EndpointStatus.REMOVED:
            self._listed.pop(endpoint.id, None)
        else:
            self._listed[endpoint.id] = entry
        is_same_ready = endpoint.status is EndpointStatus.READY and entry.is_same_process_as(previous)
        if previous is not None and not is_same_ready:
            self.pool.close_idle(endpoint.id)
        return True

    def _remove_unnamed(self, complete_list: EndpointList) -> list[Endpoint]:
        named = {entry.endpoint.id for entry in complete_list.entries}
        removed = []
        for endpoint_id in [known for known in self._listed if known not in named]:
            endpoint = self._listed.pop(endpoint_id).endpoint
            removed.append(replace(endpoint, status=EndpointStatus.REMOVED))
            self.pool.close_idle(endpoint_id)
        return removed

    # Exchanges

    def start_attempt(
        self,
        endpoint_id: EndpointId,
        request: UpstreamRequest,
        timeout_us: int,
        on_end: Callable[[ExchangeResult], None],
    ) -> Exchange:
        """Send a request to an endpoint. `on_end` is called exactly once, perhaps before this returns."""
        exchange = Exchange(self, endpoint_id, request, timeout_us, on_end)
        try:
            exchange.start()
        except Exception:
            # Catches all: an exchange that did not end would leave its request without an answer.
            log.exception("attempt on endpoint %s could not be started", endpoint_id)
            exchange.end_unsent()
        return exchange

    def start_probe(self, endpoint_id: EndpointId, on_end: Callable[[ExchangeResult], None]) -> None:
        """Ask an endpoint for its load. `on_end` is called exactly once, perhaps before this returns."""
        self.start_attempt(endpoint_id, self._probe_request, PROBE_TIMEOUT_US, on_end)
