"""The load generator's connections to one port, opened ahead and reused in turn."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import Callable
from time import monotonic_ns

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from .request_statistics import PathStatistics, RequestOutcome

log = logging.getLogger(__name__)

# The agent does not reuse a connection to an endpoint for so long after each answer. Neither do direct
# requests, nor requests to the agents, so that neither path finds its connections warmer than the other.
REUSE_DELAY_NS = 10_000_000
OUTCOMES_BY_STATUS = {
    200: RequestOutcome.SERVED,
    429: RequestOutcome.REJECTED,
    503: RequestOutcome.REJECTED,
}  # any other status is FAILED

# Called once for each request: the request, how it ended, and when, in ns of the monotonic clock.
RequestEndHandler = Callable[["LoadRequest", RequestOutcome, int], None]


class LoadRequest:
    """One request, from the time at which it is due to its one end."""

    __slots__ = ("due_ns", "written_ns", "message", "statistics", "timer", "connection")

    def __init__(self, due_ns: int, message: bytes, statistics: PathStatistics) -> None:
        self.due_ns, self.message, self.statistics = due_ns, message, statistics
        self.written_ns = 0  # 0: not written
        self.timer: asyncio.TimerHandle | None = None  # of its timeout; None: the request has ended
        self.connection: LoadConnection | None = None

    @property
    def ended(self) -> bool:
        """Whether it has its one end."""
        return self.timer is None


class LoadConnection(asyncio.Protocol):
    """A persistent connection; one request at a time."""

    def __init__(self, pool: LoadConnectionPool) -> None:
        self._pool = pool
        self._parser: HttpResponseParser | None = HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._received_ns = 0
        self.request: LoadRequest | None = None
        self.last_used_ns = 0

    def send(self, request: LoadRequest) -> None:
        """Write the request; the time of the write is taken last, next to the write itself."""
        assert self._transport is not None
        self.request, request.connection = request, self
        message, write = request.message, self._transport.write
        request.written_ns = monotonic_ns()
        write(message)

    def is_usable(self) -> bool:
        """Whether it is connected and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    def abort(self) -> None:
        """Close at once, without an end for the request in flight."""
        self.request = None
        self._pool.remove(self)
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Join the pool, unless that has closed meanwhile."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._pool.closed:
            transport.abort()
        else:
            self._pool.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the answer in flight."""
        self._received_ns = monotonic_ns()
        if self.request is None:
            return self._abort_unexpected()
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            log.warning("port %d: invalid response: %s", self._pool.port, error)
            request = self.request
            self.abort()
            if request is not None:
                self._pool.on_request_end(request, RequestOutcome.FAILED, self._received_ns)

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the pool; a request in flight is lost."""
        request, self.request = self.request, None
        self._parser = None  # parser and connection refer to each other, and collections are off
        self._pool.remove(self)
        if request is not None:
            self._pool.on_request_end(request, RequestOutcome.LOST, monotonic_ns())

    # Callback of the parser

    def on_message_complete(self) -> None:
        """End the request in flight, and return the connection to the pool or close it."""
        parser, request = self._parser, self.request
        assert parser is not None
        status = parser.get_status_code()
        if status < 200:
            return
        if request is None:
            return self._abort_unexpected()
        self.request = None
        keep_alive = parser.should_keep_alive()
        outcome = OUTCOMES_BY_STATUS.get(status, RequestOutcome.FAILED)
        self._pool.on_request_end(request, outcome, self._received_ns)
        if keep_alive:
            self.last_used_ns = self._received_ns
            self._pool.ready.append(self)
        else:
            self.abort()

    def _abort_unexpected(self) -> None:
        log.warning("port %d: bytes without a request in flight", self._pool.port)
        self.abort()


class LoadConnectionPool:
    """The connections to one port of 127.0.0.1, used in turn."""

    def __init__(self, port: int, on_request_end: RequestEndHandler) -> None:
        self.port, self.on_request_end = port, on_request_end
        self.ready: deque[LoadConnection] = deque()  # in order of their last use, the oldest first
        self.closed = False
        self._connections: set[LoadConnection] = set()
        self._connecting: set[asyncio.Task[None]] = set()

    async def open_ahead(self, number: int) -> None:
        """Open so many connections that are ready for use; raises OSError."""
        self.ready.extend(await asyncio.gather(*(self._connect() for _ in range(number))))

    def send(self, request: LoadRequest) -> None:
        """Send on the connection that is idle longest, or on a new one where none may be used again yet."""
        reusable_since_ns = monotonic_ns() - REUSE_DELAY_NS
        while self.ready and self.ready[0].last_used_ns <= reusable_since_ns:
            connection = self.ready.popleft()
            if connection.is_usable():
                return connection.send(request)
        request.statistics.without_ready_connection += 1
        task = asyncio.get_running_loop().create_task(self._send_on_new_connection(request))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    def add(self, connection: LoadConnection) -> None:
        """Take in a connection that has come up."""
        self._connections.add(connection)

    def remove(self, connection: LoadConnection) -> None:
        """Drop a connection that has closed or is about to."""
        self._connections.discard(connection)
        with contextlib.suppress(ValueError):
            self.ready.remove(connection)

    def close(self) -> None:
        """Close all connections, those included that are still being opened."""
        self.closed = True
        self.ready.clear()
        for task in self._connecting:
            task.cancel()
        for connection in list(self._connections):
            connection.abort()

    async def _connect(self) -> LoadConnection:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(lambda: LoadConnection(self), "127.0.0.1", self.port)
        return connection

    async def _send_on_new_connection(self, request: LoadRequest) -> None:
        try:
            connection = await self._connect()
        except OSError:  # the request has reached nobody
            if not request.ended:
                self.on_request_end(request, RequestOutcome.FAILED, monotonic_ns())
            return
        if not request.ended:
            connection.send(request)
        elif connection.is_usable():
            self.ready.appendleft(connection)
