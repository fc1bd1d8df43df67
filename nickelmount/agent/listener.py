"""Listens for clients: which connections are admitted, which are closed, and how the agent shuts down.

Closing a connection at the wrong moment loses a request. A connection is closed for one of three reasons, if
nothing is in flight on it and the kernel has nothing to read for it:

- at the limit on connections, the one that has been idle for longest is closed for a new one;
- a sweep at fixed intervals closes those that have exceeded the time limit of their state (ClientTimeouts);
- a graceful shutdown closes idle connections, first once, and later as they fall idle.

The sweep also answers 408 to a request that does not arrive completely, and aborts the connection of a client
that does not read its answer or does not close after its last one.
"""

from __future__ import annotations

import asyncio
import select
import socket
from dataclasses import dataclass

from nickelmount.balancer.settings import Settings
from nickelmount.protocol.address import Address

from .downstream import ClientConnection, ClientTimeouts, RequestHandler
from .request_validation import RequestValidator

LISTEN_BACKLOG = 512  # connections that the kernel completes ahead of their accept
# Admission counts connections only once the event loop has made them. Without this bound a burst of clients
# could take all descriptors in one iteration, before the first of them is refused.
MAX_ACCEPTS_PER_ITERATION = 16

# A client resends a request that is lost to a close, unless it was the first on its connection.
FIRST_REQUEST_GRACE_S = 0.25
# A client that has read its last answer closes by itself; after this long the agent closes first.
CLIENT_CLOSE_GRACE_S = 0.1

# Graceful shutdown
DRAIN_POLL_INTERVAL_S = 0.01  # while requests are in flight
FLUSH_POLL_INTERVAL_S = 0.001  # while the last answers are written
FLUSH_TIMEOUT_S = 0.05  # for these to be read, and for connections that were made meanwhile to be rejected


@dataclass(slots=True, frozen=True)
class ShutdownTimes:
    """The stages of a graceful shutdown, in seconds from its start."""

    close_idle_after_s: float  # until then idle connections stay, and requests on them are served
    serve_until_s: float  # until then new connections are served, even if none is left
    finish_by_s: float  # requests still in flight are then answered without waiting for endpoints


class Listener:
    """Admits connections of clients, and closes them.

    Public attributes: `connections` that are admitted; `open_request_ids`, the Request-Id of each request in
    flight. While `is_draining`, every answer is the last of its connection and the health check fails;
    while `is_rejecting`, requests that arrive are rejected.
    """

    def __init__(
        self, settings: Settings, handler: RequestHandler, max_connections: int, timeouts: ClientTimeouts
    ) -> None:
        """Admit up to `max_connections` at once: other descriptors are left for connections to endpoints."""
        self.handler = handler
        self.validator = RequestValidator(settings.classes, settings.tenants)
        self.connections: set[ClientConnection] = set()
        self.open_request_ids: set[bytes] = set()
        self.is_draining = False
        self.is_rejecting = False
        self._max_connections = max_connections
        self._timeouts = timeouts
        self._loop = asyncio.get_running_loop()
        self._next_sweep: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None
        self._listening_socket: socket.socket | None = None

    async def listen(self, address: Address) -> int:
        """Start accepting connections; return the port, which the system picks where the address says 0.

        Raises OSError where the address cannot be bound.
        """
        listening_socket = socket.create_server((address.host, address.port), backlog=LISTEN_BACKLOG)
        self._listening_socket = listening_socket
        self._server = await self._loop.create_server(
            lambda: ClientConnection(self, self._loop.time),
            sock=listening_socket,
            backlog=MAX_ACCEPTS_PER_ITERATION,
        )
        # asyncio uses its one backlog for the kernel's queue and for the accepts of one iteration. The queue
        # is set again, or a burst of clients would overflow it and wait for the kernel's retransmission.
        listening_socket.listen(LISTEN_BACKLOG)
        self._sweep()
        return int(listening_socket.getsockname()[1])

    def close(self) -> None:
        """Stop accepting connections and stop the sweep. Connections that are admitted stay."""
        if self._next_sweep is not None:
            self._next_sweep.cancel()
        if self._server is not None:
            self._server.close()

    # Admission

    def connection_opened(self, client: ClientConnection) -> None:
        """Admit a new connection. At the limit an idle one is closed for it, or else the new one."""
        if len(self.connections) >= self._max_connections:
            evicted = self._find_evictable()
            if evicted is None:
                client.close()
                return
            evicted.close()
            self.connections.discard(evicted)
        self.connections.add(client)

    def connection_closed(self, client: ClientConnection) -> None:
        """Forget a connection that has ended."""
        self.connections.discard(client)

    def _find_evictable(self) -> ClientConnection | None:
        """Return the one that has been in its state for longest, of those whose close loses nothing."""
        now = self._loop.time()
        candidates = [client for client in self.connections if self._is_eviction_candidate(client, now)]
        candidates.sort(key=lambda client: client.timer_started_at)
        for client in candidates:
            if client.is_idle() or client.has_lingered(CLIENT_CLOSE_GRACE_S):
                return client
        return None

    def _is_eviction_candidate(self, client: ClientConnection, now: float) -> bool:
        """Whether it may be evicted by its age; one that was used of late is likely to be used again."""
        return (
            not client.has_answered
            or client.is_lingering
            or now - client.timer_started_at > self._timeouts.evictable_after_s
        )

    # Time limits

    def _sweep(self) -> None:
        """End the connections that have exceeded the time limit of their state, now and at intervals."""
        self._next_sweep = self._loop.call_later(self._timeouts.sweep_interval_s, self._sweep)
        now = self._loop.time()
        for client in list(self.connections):
            limit_s = client.time_limit_s(self._timeouts)
            if limit_s is not None and now - client.timer_started_at > limit_s:
                client.expire()

    # Graceful shutdown

    async def shut_down(self, times: ShutdownTimes) -> None:
        """Shut down in stages; every request that was accepted is answered, unless its client disconnects.

        1. Drain: answers ask clients to close their connections; idle connections stay.
        2. Close idle connections, and go on serving new ones. A request that crosses the close of its
           connection is sent again by its client, on a new one.
        3. Close connections as they fall idle, until none is left, in the accept queue either, or time is up.
        4. Reject what arrives, answer what is in flight, and let these answers be written and read.
        5. Stop listening. It is the last step because closing the listening socket resets connections that
           the kernel has completed and the agent has not accepted.
        """
        started_at = self._loop.time()
        self.is_draining = True
        await asyncio.sleep(times.close_idle_after_s)

        self._close_idle_connections()
        await asyncio.sleep(times.serve_until_s - times.close_idle_after_s)

        finish_at = started_at + times.finish_by_s
        await self._close_until_empty(finish_at, DRAIN_POLL_INTERVAL_S)

        self.is_rejecting = True
        self.handler.finish_all()
        await self._close_until_empty(finish_at + FLUSH_TIMEOUT_S, FLUSH_POLL_INTERVAL_S)

        self.close()

    async def _close_until_empty(self, deadline: float, poll_interval_s: float) -> None:
        """Close connections as they fall idle, until none is left or the deadline, by the loop's clock."""
        while (self.connections or self._has_queued_connection()) and self._loop.time() < deadline:
            self._close_idle_connections()
            await asyncio.sleep(poll_interval_s)

    def _close_idle_connections(self) -> None:
        now = self._loop.time()
        for client in list(self.connections):
            if self._can_close(client, now):
                client.close()

    def _can_close(self, client: ClientConnection, now: float) -> bool:
        """Whether a shutdown may close a connection now."""
        is_fresh = not client.has_answered and now - client.timer_started_at <= FIRST_REQUEST_GRACE_S
        return (client.is_idle() and not is_fresh) or client.has_lingered(CLIENT_CLOSE_GRACE_S)

    def _has_queued_connection(self) -> bool:
        """Whether a connection waits in the kernel to be accepted."""
        if self._listening_socket is None or self._listening_socket.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(self._listening_socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))
