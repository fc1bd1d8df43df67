"""Emulated endpoints: ``python -m nickelmount.fleet.emulated_endpoints``.

The process has many listening sockets on loopback. Requests of both measured paths, through an agent and
direct, end here. The endpoints therefore do as little work per request as possible.
"""

from __future__ import annotations

import asyncio
import gc
import math

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from .endpoint_messages import EndpointsStarted, EndpointsStatus
from .role import run, serve, usage

RESPONSE_BODY = b"done"
PROBE_TARGETS = (b"/_load", b"/ping")
ACCEPT_QUEUE_LENGTH = 512
LATENCY_SMOOTHING_FACTOR = 0.1  # Weight of the latest request in the moving average of the reported latency.


class EndpointCounts:
    """The counts of all endpoints of this process since the start."""

    def __init__(self) -> None:
        self.requests = self.probes = self.connections = 0
        self.seen_ids: set[bytes] = set()  # Request-Ids received so far.
        self.repeated_ids: set[bytes] = set()


class EmulatedEndpoint:
    """An endpoint with one listening socket, and the load that it reports."""

    def __init__(self, counts: EndpointCounts, work_s: float) -> None:
        self.counts, self.work_s = counts, work_s
        self.in_flight = 0
        self.connections: set[EndpointConnection] = set()
        self._mean_latency_ms = 0.0
        self._listener: asyncio.Server | None = None

    async def listen(self) -> int:
        """Listen on a port that the operating system chooses, and return its number."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: EndpointConnection(self, loop), "127.0.0.1", 0, backlog=ACCEPT_QUEUE_LENGTH
        )
        return int(self._listener.sockets[0].getsockname()[1])

    def record_latency(self, latency_ms: float) -> None:
        """Add the latency of one request to the moving average that is reported."""
        weight = LATENCY_SMOOTHING_FACTOR if self._mean_latency_ms else 1.0
        self._mean_latency_ms += weight * (latency_ms - self._mean_latency_ms)

    def load_report(self) -> bytes:
        """Return the load of the endpoint in the format of the Server-Load header."""
        return b"inflight=%d,queue=0,latency_ms=%.3f" % (self.in_flight, self._mean_latency_ms)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in self.connections:
            connection.abort()


class EndpointConnection(asyncio.Protocol):
    """A connection to an endpoint that carries one request at a time."""

    def __init__(self, endpoint: EmulatedEndpoint, loop: asyncio.AbstractEventLoop) -> None:
        self._endpoint, self._loop = endpoint, loop
        self._parser: HttpRequestParser | None = HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._target = self._request_id = b""
        self._started_s = 0.0
        self._work_timer: asyncio.TimerHandle | None = None  # Timer of the request in flight.

    # Callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._endpoint.connections.add(self)
        self._endpoint.counts.connections += 1

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a request; invalid bytes are answered with 400."""
        if self._parser is None:  # The connection has been lost.
            return
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            self._respond(b"400 Bad Request", b"", close=True)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in flight."""
        self._endpoint.connections.discard(self)
        self._parser = None  # Breaks the reference cycle between the parser and the connection.
        if self._work_timer is not None:
            self._work_timer.cancel()
            self._work_timer = None
            self._endpoint.in_flight -= 1

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Reset the target and the Request-Id for a new request."""
        self._target = self._request_id = b""

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the Request-Id; other headers are ignored."""
        if name.lower() == b"request-id":
            self._request_id = value

    def on_message_complete(self) -> None:
        """Answer a probe, start work on a request, or reject anything else."""
        endpoint = self._endpoint
        if self._work_timer is not None:
            self._respond(b"400 Bad Request", b"", close=True)
        elif self._target in PROBE_TARGETS:
            endpoint.counts.probes += 1
            self._respond(b"200 OK", endpoint.load_report())
        elif not self._request_id:
            self._respond(b"404 Not Found", b"")
        else:
            self._start_work()

    def _start_work(self) -> None:
        endpoint, counts = self._endpoint, self._endpoint.counts
        counts.requests += 1
        is_repeated = self._request_id in counts.seen_ids
        (counts.repeated_ids if is_repeated else counts.seen_ids).add(self._request_id)
        self._started_s = self._loop.time()
        endpoint.in_flight += 1
        if endpoint.work_s > 0:
            self._work_timer = self._loop.call_later(endpoint.work_s, self._finish_work)
        else:
            self._finish_work()

    def _finish_work(self) -> None:
        self._work_timer = None
        self._endpoint.in_flight -= 1
        self._endpoint.record_latency((self._loop.time() - self._started_s) * 1000)
        self._respond(b"200 OK", RESPONSE_BODY)

    def _respond(self, status: bytes, body: bytes, close: bool = False) -> None:
        assert self._transport is not None
        connection_header = b"Connection: close\r\n" if close else b""
        self._transport.write(
            b"HTTP/1.1 %s\r\nServer-Load: %s\r\n%sContent-Length: %d\r\n\r\n%s"
            % (status, self._endpoint.load_report(), connection_header, len(body), body)
        )
        if close:
            self._transport.close()


class EmulatedEndpoints:
    """All endpoints of this process. The public coroutines are the commands of the role."""

    def __init__(self) -> None:
        self._counts = EndpointCounts()
        self._endpoints: list[EmulatedEndpoint] = []

    async def start(self, ports: int, work_ms: float = 0.0) -> EndpointsStarted:
        """Open one listening socket for each of `ports` endpoints.

        Each request is answered after `work_ms`, or at once if it is 0. Raises ValueError if an argument is
        invalid or the endpoints have already been started.
        """
        if self._endpoints:
            raise ValueError("the endpoints have already been started")
        if ports < 1 or not (math.isfinite(work_ms) and work_ms >= 0):
            raise ValueError(
                f"ports is {ports} and work_ms is {work_ms}; ports must be at least 1, and work_ms must be "
                "finite and at least 0"
            )
        self._endpoints = [EmulatedEndpoint(self._counts, work_ms / 1000) for _ in range(ports)]
        opened = [await endpoint.listen() for endpoint in self._endpoints]
        gc.collect()
        gc.freeze()  # Objects that exist until the end are left out of later garbage collections.
        return EndpointsStarted(opened)

    async def status(self) -> EndpointsStatus:
        """Return the counts since the start and the resource usage."""
        used = usage()
        return EndpointsStatus(
            requests=self._counts.requests,
            probes=self._counts.probes,
            connections=self._counts.connections,
            repeated_ids=len(self._counts.repeated_ids),
            cpu_s=used.cpu_s,
            rss_mb=used.rss_mb,
        )

    def close(self) -> None:
        """Close all listening sockets and connections."""
        for endpoint in self._endpoints:
            endpoint.close()


async def main() -> None:
    """Run the role until its standard input ends."""
    endpoints = EmulatedEndpoints()
    try:
        await serve({"start": endpoints.start, "counts": endpoints.status})
    finally:
        endpoints.close()


if __name__ == "__main__":
    run(main)
