"""The agent's table of listed endpoints, and the start of attempts and probes.

The module upstream_exchange implements a single attempt or probe, and connection_pool its connections.
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

PROBE_TIMEOUT_US = 50_000  # A load report that arrives later is of no use to the requests that wait for it.


class Upstream:
    """The endpoints of the latest list, and the clock, settings and connections that all exchanges share."""

    def __init__(self, clock: Clock, load_report_fields: tuple[str, ...], pool: ConnectionPool) -> None:
        self.clock, self.load_report_fields, self.pool = clock, load_report_fields, pool
        self._listed: dict[EndpointId, ListedEndpoint] = {}  # Removed endpoints are not kept.
        probe_path = http_names.LOAD_PATH if load_report_fields else http_names.PING_PATH
        self._probe_request = UpstreamRequest(b"GET", probe_path, [])

    @property
    def endpoint_ids(self) -> frozenset[EndpointId]:
        """The ids of all endpoints that are listed now, whether ready or draining."""
        return frozenset(self._listed)

    def ready_endpoint(self, endpoint_id: EndpointId) -> ListedEndpoint | None:
        """Return the present list entry of an endpoint, or None if it is not listed as ready."""
        listed = self._listed.get(endpoint_id)
        return listed if listed is not None and listed.endpoint.status is EndpointStatus.READY else None

    # The endpoint list

    def apply(self, endpoint_list: EndpointList) -> list[Endpoint]:
        """Update the table from a complete list or a list of changes, and return the endpoints that changed.

        Even for a complete list, only the endpoints that differ are returned, so that the balancer does not
        have to process the others. An endpoint that a complete list does not name is returned with the status
        REMOVED. Idle connections to an endpoint are closed if it is no longer ready or is now another
        process.
        """
        changed: list[Endpoint] = []
        for entry in endpoint_list.entries:
            if self._apply_entry(entry):
                changed.append(entry.endpoint)
        if endpoint_list.is_complete:
            changed += self._remove_unlisted(endpoint_list)
        return changed

    def _apply_entry(self, entry: ListedEndpoint) -> bool:
        """Update the table from one entry, and return whether the entry differs from the previous one."""
        endpoint = entry.endpoint
        previous = self._listed.get(endpoint.id)
        if previous == entry:
            return False
        if endpoint.status is EndpointStatus.REMOVED:
            self._listed.pop(endpoint.id, None)
        else:
            self._listed[endpoint.id] = entry
        keeps_connections = endpoint.status is EndpointStatus.READY and entry.is_same_process_as(previous)
        if previous is not None and not keeps_connections:
            self.pool.close_idle(endpoint.id)
        return True

    def _remove_unlisted(self, complete_list: EndpointList) -> list[Endpoint]:
        """Remove the endpoints that a complete list does not name, and return them as REMOVED."""
        listed_ids = {entry.endpoint.id for entry in complete_list.entries}
        removed = []
        for endpoint_id in [known_id for known_id in self._listed if known_id not in listed_ids]:
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
        """Start an exchange that sends a request to an endpoint, and return the exchange.

        `on_end` is called exactly once, possibly before this method returns.
        """
        exchange = Exchange(self, endpoint_id, request, timeout_us, on_end)
        try:
            exchange.start()
        except Exception:
            # Every exception is caught, because a request would get no answer if its exchange never ended.
            log.exception("failed to start an exchange with endpoint %s", endpoint_id)
            exchange.end_unsent()
        return exchange

    def start_probe(self, endpoint_id: EndpointId, on_end: Callable[[ExchangeResult], None]) -> None:
        """Request an endpoint's load report, or ping the endpoint if the settings name no load report fields.

        `on_end` is called exactly once, possibly before this method returns.
        """
        self.start_attempt(endpoint_id, self._probe_request, PROBE_TIMEOUT_US, on_end)
