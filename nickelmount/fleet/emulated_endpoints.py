"""Plain map servers on loopback, many listening sockets of one process.

They lie on both paths that are measured, through an agent and directly, so each does as little as it can.
"""

from __future__ import annotations

import asyncio
import gc
import math
from typing import Any

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from . import role

BODY = b"done"
PROBES = (b"/_load", b"/ping")
SMOOTHING = 0.1  # the part of the newest request in the latency that a server reports


class Counts:
    """What has reached the map servers of this process so far."""

    def __init__(self) -> None:
        self.requests = self.probes = self.connections = 0
        self.seen: set[bytes] = set()  # Request-Ids
        self.seen_twice: set[bytes] = set()


class MapServer:
    """One listening socket and the load that it reports."""

    def __init__(self, counts: Counts, work_s: float) -> None:
        self.counts, self.work_s = counts, work_s
        self.inflight = 0
        self.latency_ms = 0.0
        self.connections: set[Connection] = set()
        self._listener: asyncio.Server | None = None

    async def listen(self) -> int:
        """Returns the port, which the system picks."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: Connection(self, loop), "127.0.0.1", 0, backlog=512)
        return int(self._listener.sockets[0].getsockname()[1])

    def load(self) -> bytes:
        return b"inflight=%d,queue=0,latency_ms=%.3f" % (self.inflight, self.latency_ms)

    def close(self) -> None:
        if self._listener is not None:
            self._listener.close()
        for connection in self.connections:
            connection.abort()


class Connection(asyncio.Protocol):
    """A connection to a map server; one request at a time."""

    def __init__(self, server: MapServer, loop: asyncio.AbstractEventLoop) -> None:
        self._server, self._loop = server, loop
        self._parser: HttpRequestParser | None = HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._target = self._id = b""
        self._began = 0.0
        self._working: asyncio.TimerHandle | None = None

    # asyncio's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)
        self._server.counts.connections += 1

    def data_received(self, data: bytes) -> None:
        if self._parser is None:  # closing
            return
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            self._answer(b"400 Bad Request", b"", last=True)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._parser = None  # each holds the other
        if self._working is not None:  # the client has given up
            self._working.cancel()
            self._working = None
            self._server.inflight -= 1

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    # llhttp's side

    def on_message_begin(self) -> None:
        self._target = self._id = b""

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"request-id":
            self._id = value

    def on_message_complete(self) -> None:
        server, counts = self._server, self._server.counts
        if self._working is not None:
            self._answer(b"400 Bad Request", b"", last=True)
        elif self._target in PROBES:
            counts.probes += 1
            self._answer(b"200 OK", server.load())
        elif not self._id:
            self._answer(b"404 Not Found", b"")
        else:
            counts.requests += 1
            (counts.seen_twice if self._id in counts.seen else counts.seen).add(self._id)
            self._began = self._loop.time()
            server.inflight += 1
            if server.work_s > 0:
                self._working = self._loop.call_later(server.work_s, self._finish)
            else:
                self._finish()

    def _finish(self) -> None:
        server, self._working = self._server, None
        server.inflight -= 1
        took_ms = (self._loop.time() - self._began) * 1000
        server.latency_ms += (SMOOTHING if server.latency_ms else 1.0) * (took_ms - server.latency_ms)
        self._answer(b"200 OK", BODY)

    def _answer(self, status: bytes, body: bytes, last: bool = False) -> None:
        assert self._transport is not None
        self._transport.write(
            b"HTTP/1.1 %s\r\nServer-Load: %s\r\n%sContent-Length: %d\r\n\r\n%s"
            % (status, self._server.load(), b"Connection: close\r\n" if last else b"", len(body), body)
        )
        if last:
            self._transport.close()


class MapServers:
    """The role: all map servers of this process."""

    def __init__(self) -> None:
        self._counts = Counts()
        self._servers: list[MapServer] = []

    async def start(self, ports: int, work_ms: float = 0.0) -> dict[str, Any]:
        """Open so many listening sockets; each request is answered after `work_ms`, at once where it is 0."""
        if self._servers:
            raise ValueError("started already")
        if ports < 1 or not (math.isfinite(work_ms) and work_ms >= 0):
            raise ValueError("ports from 1 and work_ms from 0 are wanted")
        self._servers = [MapServer(self._counts, work_ms / 1000) for _ in range(ports)]
        opened = [await s.listen() for s in self._servers]
        gc.collect()
        gc.freeze()  # collections while it serves pass over what is there for good
        return {"ports": opened}

    async def counts(self) -> dict[str, Any]:
        """What has come since the start; `connections` are those accepted, open or not."""
        c = self._counts
        return {
            "requests": c.requests,
            "probes": c.probes,
            "connections": c.connections,
            "ids_seen_twice": len(c.seen_twice),
            **role.usage(),
        }

    def close(self) -> None:
        for server in self._servers:
            server.close()


async def main() -> None:
    servers = MapServers()
    try:
        await role.serve({"start": servers.start, "counts": servers.counts})
    finally:
        servers.close()


if __name__ == "__main__":
    role.run(main)
