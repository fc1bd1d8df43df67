"""The load generator's connections to one port, which are opened in advance and reused in rotation."""

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

# A connection is not reused for this time after each answer, because the agent does the same with its
# connections to endpoints. The load generator follows this rule on both paths, so that the connections of
# neither path are warmer than those of the other.
REUSE_DELAY_NS = 10_000_000
OUTCOMES_BY_STATUS = {
    200: RequestOutcome.SERVED,
    429: RequestOutcome.REJECTED,
    503: RequestOutcome.REJECTED,
}  # Any other status counts as FAILED.

# Called once for each request with the request, its outcome, and the monotonic time in ns at which it ended.
RequestEndHandler = Callable[["LoadRequest", RequestOutcome, int], None]


class LoadRequest:
    """A request, from the time at which it is due until it ends. Each request ends exactly once."""

    __slots__ = ("due_ns", "written_ns", "message", "statistics", "timer", "connection")

    def __init__(self, due_ns: int, message: bytes, statistics: PathStatistics) -> None:
        self.due_ns, self.message, self.statistics = due_ns, message, statistics
        self.written_ns = 0  # Monotonic time in ns at which the request was written; 0 if it was not.
        self.timer: asyncio.TimerHandle | None = None  # Timer of the timeout; None if the request has ended.
        self.connection: LoadConnection | None = None

    @property
    def has_ended(self) -> bool:
        """Whether the request has ended."""
        return self.timer is None


class LoadConnection(asyncio.Protocol):
    """A persistent connection that carries one request at a time."""

    def __init__(self, pool: LoadConnectionPool) -> None:
        self._pool = pool
        self._parser: HttpResponseParser | None = HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._received_ns = 0
        self.request: LoadRequest | None = None
        self.last_used_ns = 0

    def send(self, request: LoadRequest) -> None:
        """Write the request. The time of the write is taken immediately before the write itself."""
        assert self._transport is not None
        self.request, request.connection = request, self
        message, write = request.message, self._transport.write
        request.written_ns = monotonic_ns()
        write(message)

    def is_usable(self) -> bool:
        """Return whether the connection is open and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    def abort(self) -> None:
        """Close the connection at once, without reporting an end of the request in flight."""
        self.request = None
        self._pool.remove(self)
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the pool, or close it if the pool has closed meanwhile."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._pool.is_closed:
            transport.abort()
        else:
            self._pool.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the response; invalid or unexpected bytes close the connection."""
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
        """Remove the connection from the pool, and count a request in flight as lost."""
        request, self.request = self.request, None
        self._parser = None  # Breaks the reference cycle with the parser, because garbage collection is off.
        self._pool.remove(self)
        if request is not None:
            self._pool.on_request_end(request, RequestOutcome.LOST, monotonic_ns())

    # Callback of the parser

    def on_message_complete(self) -> None:
        """End the request in flight, and return the connection to the pool or close it.

        The connection is closed if it cannot be reused. Responses with a status below 200 are ignored.
        """
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
        log.warning("port %d: received bytes without a request in flight", self._pool.port)
        self.abort()


class LoadConnectionPool:
    """A pool of connections to one port on 127.0.0.1, which are used in rotation."""

    def __init__(self, port: int, on_request_end: RequestEndHandler) -> None:
        self.port, self.on_request_end = port, on_request_end
        self.ready: deque[LoadConnection] = deque()  # Ordered by last use, oldest first.
        self.is_closed = False
        self._connections: set[LoadConnection] = set()
        self._connecting: set[asyncio.Task[None]] = set()

    async def open_connections(self, count: int) -> None:
        """Open `count` connections that are ready for use; raises OSError if one cannot be opened."""
        self.ready.extend(await asyncio.gather(*(self._connect() for _ in range(count))))

    def send(self, request: LoadRequest) -> None:
        """Send on the connection that has been idle longest, or on a new one if none may be reused yet."""
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
        """Add a new connection."""
        self._connections.add(connection)

    def remove(self, connection: LoadConnection) -> None:
        """Remove a connection that has closed or is about to close."""
        self._connections.discard(connection)
        with contextlib.suppress(ValueError):
            self.ready.remove(connection)

    def close(self) -> None:
        """Close all connections, including those that are still being opened."""
        self.is_closed = True
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
        except OSError:  # The request has not reached any process.
            if not request.has_ended:
                self.on_request_end(request, RequestOutcome.FAILED, monotonic_ns())
            return
        if not request.has_ended:
            connection.send(request)
        elif connection.is_usable():
            self.ready.appendleft(connection)
