"""The pool of connections to endpoints, which limits their number and reuses those that are safe to reuse.

A connection has one owner at a time. From `acquire` or `open` until `release` or `discard` the owner is an
exchange, which sets `PooledConnection.owner` only when it sends its request. While the connection is idle,
the owner is the pool. Every connection is closed by `ConnectionPool.discard`.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from httptools import HttpResponseParser

from nickelmount.balancer.events import EndpointId
from nickelmount.protocol.endpoint_list import ListedEndpoint

from .buffer_budget import BufferBudget
from .clock import Clock
from .connection import Connection
from .http_message import HttpMessage
from .http_reader import HttpReader
from .input_scheduler import InputScheduler

# The agent closes an idle connection after this share of the endpoints' idle timeout. If the endpoint closed
# it first, a request could be sent while that close is on its way, and it would be unknown whether the
# request has run.
IDLE_TIMEOUT_SHARE = 0.7
# How long a connection stays idle before it may be reused. An endpoint may send bytes that belong to no
# response, either directly after a response or, as a duplicate of it, some milliseconds later. On a
# connection that was reused at once, those bytes would be read as the response to the next request. If they
# arrive while the connection is idle, it is closed.
SETTLE_TIME_US = 10_000
# The limit for one body, which is held in memory as a whole. The memory of all of them together is limited by
# the budget of the pool.
MAX_RESPONSE_BODY_BYTES = 1024 * 1024
MAX_READ_BYTES = 16 * 1024  # Limit on one read from an endpoint; responses are larger than requests.


class ConnectionOwner(Protocol):
    """The exchange that owns a connection."""

    def on_response(self, response: HttpMessage) -> None:
        """Handle a complete response."""

    def on_unusable_response(self) -> None:
        """Handle received bytes that are unusable or caused an exception; the connection is still open."""

    def on_peer_closed(self) -> None:
        """Handle a close or a reset by the endpoint. May be called twice."""


class PooledConnection(Connection):
    """A connection to one endpoint, either idle or owned by one exchange."""

    max_read_bytes = MAX_READ_BYTES

    def __init__(
        self,
        pool: ConnectionPool,
        listed: ListedEndpoint,
        budget: BufferBudget | None = None,
        scheduler: InputScheduler | None = None,
    ) -> None:
        super().__init__(budget, scheduler)
        self.listed = listed  # The endpoint's list entry at the time the connection was opened.
        # The exchange whose request is being sent or is in flight; None before that and after the release.
        self.owner: ConnectionOwner | None = None
        # Whether the next response on this connection would belong to the next request: nothing but the
        # awaited response has arrived, and the endpoint keeps the connection open.
        self.is_in_sync = True
        self.idle_since_us = 0
        self.idle_timer: asyncio.TimerHandle | None = None
        self._pool = pool
        self._reader = HttpReader(HttpResponseParser, MAX_RESPONSE_BODY_BYTES)

    def on_data(self, data: bytes) -> None:
        """Report a complete or unusable response to the owner; without an owner, discard the connection."""
        if self.owner is None:
            # No request is in flight, and these bytes must not be read as the response to the next one.
            return self._pool.discard(self)
        response = self._reader.feed(data)
        if response is not None:
            # An error means that bytes follow the response.
            self.is_in_sync = response.keep_alive and self._reader.error is None
            self.owner.on_response(response)
        elif self._reader.error is not None:
            self.is_in_sync = False
            self.owner.on_unusable_response()

    def on_handler_error(self) -> None:
        """End the exchange and discard the connection."""
        self.is_in_sync = False
        if self.owner is not None:
            self.owner.on_unusable_response()
        self._pool.discard(self)

    def on_eof(self) -> None:
        """Report the response that the close completes, if there is one, and otherwise the close."""
        response = self._reader.feed_eof()
        if response is None or self.owner is None:
            return self.on_peer_closed()
        self.closed, self.is_in_sync = True, False
        self.owner.on_response(response)

    def on_peer_closed(self) -> None:
        """Report the close to the owner; without an owner, discard the connection."""
        self.closed = True
        if self.owner is not None:
            self.owner.on_peer_closed()
        else:
            self._pool.discard(self)

    @property
    def parsed_parts(self) -> int:
        """The number of header fields and chunks in the latest read, if the response is not complete."""
        return self._reader.parsed_parts

    def buffered_bytes(self) -> int:
        """Return the size of the response that has arrived in part and of the unwritten request."""
        return super().buffered_bytes() + self._reader.buffered_bytes

    def evict_buffers(self) -> None:
        """End the exchange and discard the connection.

        If the request is not written completely, it cannot have run, so the exchange ends like that of a lost
        connection.
        """
        self.is_in_sync = False
        if self.owner is not None:
            if self.all_written:
                self.owner.on_unusable_response()
            else:
                self.owner.on_peer_closed()
        self._pool.discard(self)

    def is_quiet(self) -> bool:
        """Return whether this idle connection is open and, according to the kernel, has nothing to read.

        If there is something to read, it is a close by the endpoint or bytes that belong to no request.
        """
        return not self.closed and self.has_nothing_to_read()


class ConnectionPool:
    """The connections to all endpoints.

    At most `max_connections` are open or being opened at the same time, so that file descriptors remain for
    the connections of clients. An exchange opens a connection in three steps: `ensure_capacity`,
    `track_opening` and `open`.
    """

    def __init__(
        self,
        clock: Clock,
        connect_timeout_us: int,
        idle_timeout_us: int,
        max_connections: int,
        settle_time_us: int = SETTLE_TIME_US,
        budget: BufferBudget | None = None,
    ) -> None:
        """Create a pool without connections. What they read and write counts against `budget`, if given."""
        self.max_connections = max_connections
        self._budget = budget
        self._input_scheduler = InputScheduler()
        self._clock = clock
        self._connect_timeout_s = connect_timeout_us / 1e6
        self._max_idle_us = int(idle_timeout_us * IDLE_TIMEOUT_SHARE)
        self._settle_time_us = settle_time_us
        # Each endpoint's idle connections are in order of idle_since_us.
        self._idle: dict[EndpointId, list[PooledConnection]] = {}
        self._open: set[PooledConnection] = set()  # Both idle connections and those with an owner.
        self._opening: set[asyncio.Task[None]] = set()  # Each of these tasks opens one connection.

    @property
    def open_connections(self) -> frozenset[PooledConnection]:
        """All established connections, whether idle or owned by an exchange."""
        return frozenset(self._open)

    @property
    def opening_count(self) -> int:
        """The number of connections that are being opened."""
        return len(self._opening)

    # Opening

    def ensure_capacity(self) -> bool:
        """Return whether one more connection may be opened.

        At the limit, close the connection that has been idle for the longest time to make room for a new one.
        """
        if len(self._open) + len(self._opening) < self.max_connections:
            return True
        longest_idle = min(
            (idle[0] for idle in self._idle.values() if idle),
            key=lambda connection: connection.idle_since_us,
            default=None,
        )
        if longest_idle is None:
            return False
        self.discard(longest_idle)
        return True

    def track_opening(self, task: asyncio.Task[None]) -> None:
        """Count a task that opens a connection against the limit until the task has ended."""
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def open(self, listed: ListedEndpoint) -> PooledConnection:
        """Open a connection that the caller owns.

        Raises OSError if the connection fails, and its subclass TimeoutError if it takes too long.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self._connect_timeout_s):
            _, connection = await loop.create_connection(
                lambda: PooledConnection(self, listed, self._budget, self._input_scheduler),
                listed.address.host,
                listed.address.port,
            )
        self._open.add(connection)
        return connection

    # Reuse

    def acquire(self, listed: ListedEndpoint) -> PooledConnection | None:
        """Return the most recently used idle connection that is safe to reuse, or None if there is none.

        A connection whose settle time is not over stays idle. A connection that leads to a process other than
        the one that the list now names is discarded, and so is one that is not quiet.
        """
        idle = self._idle.get(listed.endpoint.id)
        if not idle:
            return None
        settled_before_us = self._clock.now() - self._settle_time_us
        unsettled: list[PooledConnection] = []
        acquired: PooledConnection | None = None
        while idle and acquired is None:
            connection = idle.pop()
            if connection.idle_since_us > settled_before_us:
                unsettled.append(connection)
            elif listed.is_same_process_as(connection.listed) and connection.is_quiet():
                acquired = connection
                if connection.idle_timer is not None:
                    connection.idle_timer.cancel()
            else:
                self.discard(connection)
        idle.extend(reversed(unsettled))
        return acquired

    def release(
        self, connection: PooledConnection, is_complete: bool, listed_now: ListedEndpoint | None
    ) -> None:
        """Take a connection back from its owner and keep it for reuse, or discard it.

        The connection is kept only if its exchange is complete, which means that the response has arrived or
        that nothing was sent. In addition, the connection must be open and in sync (see `is_in_sync`),
        everything must have been written, and `listed_now`, the present list entry of the endpoint, must name
        the process that the connection leads to.
        """
        connection.owner = None
        is_reusable = (
            is_complete
            and connection.is_in_sync
            and not connection.closed
            and connection.all_written
            and connection.listed.is_same_process_as(listed_now)
        )
        if not is_reusable:
            return self.discard(connection)
        connection.idle_since_us = self._clock.now()
        connection.idle_timer = asyncio.get_running_loop().call_later(
            self._max_idle_us / 1e6, self.discard, connection
        )
        self._idle.setdefault(connection.listed.endpoint.id, []).append(connection)

    # Closing

    def close_idle(self, endpoint_id: EndpointId) -> None:
        """Close all idle connections to one endpoint."""
        for connection in self._idle.pop(endpoint_id, []):
            self.discard(connection)

    def discard(self, connection: PooledConnection) -> None:
        """Close a connection immediately and remove it from the pool; does nothing to a discarded one."""
        if connection.idle_timer is not None:
            connection.idle_timer.cancel()
        endpoint_id = connection.listed.endpoint.id
        idle = self._idle.get(endpoint_id)
        if idle is not None and connection in idle:
            idle.remove(connection)
        if not idle:
            self._idle.pop(endpoint_id, None)
        self._open.discard(connection)
        connection.abort()
