"""Connections to endpoints: opened up to a limit, and reused while they can be trusted.

A connection has one owner at a time: an exchange (`PooledConnection.owner`) from `acquire` or `open` until
`release` or `discard`, and the pool while it is idle. Every connection ends in `ConnectionPool.discard`.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from httptools import HttpResponseParser

from nickelmount.balancer.events import EndpointId
from nickelmount.protocol.endpoint_list import ListedEndpoint

from .clock import Clock
from .connection import Connection
from .http import HttpMessage, HttpReader

# An idle connection is closed here after this share of the endpoints' idle timeout. If the endpoint closed it
# first, a request could cross that close, and it would not be known whether the request has run.
IDLE_TIMEOUT_SHARE = 0.7
# An endpoint may send bytes that belong to no response: directly behind one, or as a duplicate of it some
# milliseconds later. The next request on that connection would be answered with them. A connection is not
# reused before this time is over; bytes that arrive until then find it idle, and it is closed.
SETTLE_TIME_US = 10_000
MAX_RESPONSE_BODY_BYTES = 1024 * 1024  # of one body, which is held in memory as a whole


class ConnectionOwner(Protocol):
    """The exchange that a connection belongs to."""

    def on_response(self, response: HttpMessage) -> None:
        """A complete response has arrived."""

    def on_unusable_response(self) -> None:
        """What arrives is no response that can be used; the connection is still open."""

    def on_peer_closed(self) -> None:
        """The endpoint has closed or reset the connection. May be called twice."""


class PooledConnection(Connection):
    """A connection to one endpoint; idle, or owned by one exchange."""

    def __init__(self, pool: ConnectionPool, listed: ListedEndpoint) -> None:
        super().__init__()
        self.listed = listed  # the endpoint as the list had it when the connection was opened
        self.owner: ConnectionOwner | None = None  # None: idle
        self.in_sync = True  # nothing but the awaited response has arrived, and the endpoint keeps it open
        self.idle_since_us = 0
        self.idle_timer: asyncio.TimerHandle | None = None
        self._pool = pool
        self._reader = HttpReader(HttpResponseParser, MAX_RESPONSE_BODY_BYTES)

    def on_data(self, data: bytes) -> None:
        """Hand the response to the owner; close the connection if there is none."""
        if self.owner is None:
            # Nothing was asked for, so these bytes must not become the answer to the next request.
            return self._pool.discard(self)
        responses = self._reader.feed(data)
        if responses:
            has_excess_bytes = (
                len(responses) > 1 or self._reader.incomplete is not None or self._reader.error is not None
            )
            self.in_sync = responses[0].keep_alive and not has_excess_bytes
            self.owner.on_response(responses[0])
        elif self._reader.error is not None:
            self.in_sync = False
            self.owner.on_unusable_response()

    def on_handler_error(self) -> None:
        """End the exchange, and never reuse the connection."""
        self.in_sync = False
        if self.owner is not None:
            self.owner.on_unusable_response()
        self._pool.discard(self)

    def on_peer_closed(self) -> None:
        """Tell the owner; an idle connection is discarded."""
        self.closed = True
        if self.owner is not None:
            self.owner.on_peer_closed()
        else:
            self._pool.discard(self)

    def is_quiet(self) -> bool:
        """Whether an idle connection is open and has nothing to read, as far as the kernel knows.

        One with something to read was closed by the endpoint, or has bytes that nobody asked for.
        """
        return not self.closed and self.has_nothing_to_read()


class ConnectionPool:
    """The connections to all endpoints.

    At most `max_connections` are open or being opened at once, so that file descriptors remain for the
    connections of clients. An exchange opens one in three steps: ensure_capacity, track_opening, open.
    """

    def __init__(
        self,
        clock: Clock,
        connect_timeout_us: int,
        idle_timeout_us: int,
        max_connections: int,
        settle_time_us: int = SETTLE_TIME_US,
    ) -> None:
        self.max_connections = max_connections
        self._clock = clock
        self._connect_timeout_s = connect_timeout_us / 1e6
        self._max_idle_us = int(idle_timeout_us * IDLE_TIMEOUT_SHARE)
        self._settle_time_us = settle_time_us
        self._idle: dict[EndpointId, list[PooledConnection]] = {}  # each list in order of idle_since_us
        self._open: set[PooledConnection] = set()  # idle ones and those with an owner
        self._opening: set[asyncio.Task[None]] = set()  # each is about to open one connection

    @property
    def open_connections(self) -> frozenset[PooledConnection]:
        """All established connections, idle or not."""
        return frozenset(self._open)

    @property
    def opening_count(self) -> int:
        """How many connections are being opened."""
        return len(self._opening)

    # Opening

    def ensure_capacity(self) -> bool:
        """Whether one more connection may be opened; closes the one idle for longest if that makes it so."""
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
        """Count a task that is about to open a connection against the limit until it has ended."""
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def open(self, listed: ListedEndpoint) -> PooledConnection:
        """Open a connection; the caller owns it. Raises OSError, of which TimeoutError is one."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self._connect_timeout_s):
            _, connection = await loop.create_connection(
                lambda: PooledConnection(self, listed), listed.address.host, listed.address.port
            )
        self._open.add(connection)
        return connection

    # Reuse

    def acquire(self, listed: ListedEndpoint) -> PooledConnection | None:
        """Hand out the most recently used idle connection that can be trusted, if there is one.

        One that is not settled yet stays idle. One that leads to another process than the list now names,
        or is not quiet, is discarded.
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
        """Take a connection back from its owner, to be reused or discarded.

        It is reused only if its exchange `is_complete` (the response has arrived, or nothing was sent),
        everything was written, nothing else has arrived, and the list (`listed_now`) still names the
        process that it leads to.
        """
        connection.owner = None
        is_reusable = (
            is_complete
            and connection.in_sync
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
        """Close the idle connections to one endpoint."""
        for connection in self._idle.pop(endpoint_id, []):
            self.discard(connection)

    def discard(self, connection: PooledConnection) -> None:
        """Close a connection at once and forget it. Harmless if that has happened before."""
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
