"""The listener for clients: admits and closes their connections, and shuts the agent down gracefully.

Closing a connection at the wrong moment loses a request. The listener therefore closes an admitted connection
only if no request is in flight on it and the kernel has nothing to read for it, and only for one of these
reasons:

- The limit on connections is reached. The connection that has been idle for the longest time is then closed
  to admit a new one. If no connection can be closed, the new one is closed unread instead.
- The connection has exceeded the time limit of its state (ClientTimeouts). A sweep at fixed intervals closes
  such connections.
- The agent shuts down gracefully. It closes all idle connections once, except new ones, and later each
  connection that becomes idle.

The sweep also answers 408 to a request that does not arrive completely in time, and aborts the connection if
a client does not read its answer or does not close the connection after its last answer.
"""

from __future__ import annotations

import asyncio
import select
import socket
from dataclasses import dataclass

from nickelmount.balancer.settings import Settings
from nickelmount.protocol.address import Address

from .buffer_budget import BufferBudget
from .downstream import ClientConnection, ClientTimeouts, RequestHandler
from .input_scheduler import InputScheduler
from .request_validation import RequestValidator

LISTEN_BACKLOG = 512  # Limit on connections that the kernel has established and the agent has not accepted.
# The limit on connections is checked only after asyncio has accepted a connection. Without this second limit,
# a burst of clients could take all descriptors in one iteration of the event loop, before the first of them
# is closed again.
MAX_ACCEPTS_PER_ITERATION = 16

# A shutdown leaves a connection that has had no answer open until this long after it was opened. If a close
# loses a request, the client sends the request again, but not if it was the first one on its connection.
FIRST_REQUEST_GRACE_S = 0.25
# A client that has read its last answer normally closes the connection. After this time the agent may close
# it first.
CLIENT_CLOSE_GRACE_S = 0.1

# Graceful shutdown
DRAIN_POLL_INTERVAL_S = 0.01  # Poll interval while requests are in flight.
FLUSH_POLL_INTERVAL_S = 0.001  # Poll interval while the last answers are written.
# Clients have this long to read the last answers. During this time, requests that arrive on connections that
# were opened meanwhile are rejected.
FLUSH_TIMEOUT_S = 0.05


@dataclass(slots=True, frozen=True)
class ShutdownTimes:
    """The stages of a graceful shutdown, in seconds from its start."""

    close_idle_after_s: float  # Until this time idle connections stay open, and requests on them are served.
    serve_until_s: float  # The agent serves new connections at least until this time, even if none is open.
    finish_by_s: float  # Requests that are in flight at this time are answered without waiting for endpoints.


class Listener:
    """The listening socket of an agent and the connections of clients that it has admitted.

    Public attributes: `connections` are the admitted connections, of which there are at most
    `max_connections`, and `open_request_ids` has the Request-Id
    of each request in flight. While `is_draining` is set, every answer is the last one on its connection, and
    the health check fails. While `is_rejecting` is set, requests that arrive are rejected.
    """

    def __init__(
        self,
        settings: Settings,
        handler: RequestHandler,
        max_connections: int,
        timeouts: ClientTimeouts,
        buffer_budget: BufferBudget | None = None,
    ) -> None:
        """Create a listener that has at most `max_connections` open at once.

        The limit leaves descriptors for connections to endpoints. What the connections read and write counts
        against `buffer_budget`, if given.
        """
        self.handler = handler
        self.validator = RequestValidator(settings.classes, settings.tenants)
        self.buffer_budget = buffer_budget
        self.input_scheduler = InputScheduler()
        self.connections: set[ClientConnection] = set()
        self.open_request_ids: set[bytes] = set()
        self.is_draining = False
        self.is_rejecting = False
        self.max_connections = max_connections
        self._timeouts = timeouts
        self._loop = asyncio.get_running_loop()
        self._next_sweep: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None
        self._listening_socket: socket.socket | None = None

    async def listen(self, address: Address) -> int:
        """Start accepting connections and return the port, which the system picks if the address has port 0.

        Raises OSError if the address cannot be bound.
        """
        listening_socket = socket.create_server((address.host, address.port), backlog=LISTEN_BACKLOG)
        self._listening_socket = listening_socket
        self._server = await self._loop.create_server(
            lambda: ClientConnection(self, self._loop.time),
            sock=listening_socket,
            backlog=MAX_ACCEPTS_PER_ITERATION,
        )
        # asyncio uses `backlog` both as the size of the kernel's queue and as the number of connections that
        # it accepts in one iteration. The size of the queue is set again here, otherwise a burst of clients
        # would overflow the queue and wait for a retransmission by the kernel.
        listening_socket.listen(LISTEN_BACKLOG)
        self._sweep()
        return int(listening_socket.getsockname()[1])

    def close(self) -> None:
        """Stop accepting connections, and stop the sweep; admitted connections stay open."""
        if self._next_sweep is not None:
            self._next_sweep.cancel()
        if self._server is not None:
            self._server.close()

    # Admission

    def connection_opened(self, client: ClientConnection) -> None:
        """Admit a new connection.

        If the limit is reached, an idle connection is closed to admit it. If none can be closed, the new
        connection is closed instead.
        """
        if len(self.connections) >= self.max_connections:
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
        """Return the connection to be closed in favour of a new one, or None if no close is safe.

        Of the connections whose close loses nothing, it is the one that has been in its state for longest.
        """
        now = self._loop.time()
        candidates = [client for client in self.connections if self._is_eviction_candidate(client, now)]
        candidates.sort(key=lambda client: client.timer_started_at)
        for client in candidates:
            if client.is_idle() or client.has_lingered(CLIENT_CLOSE_GRACE_S):
                return client
        return None

    def _is_eviction_candidate(self, client: ClientConnection, now: float) -> bool:
        """Whether a connection may be evicted if its close loses nothing.

        A connection that was used a short time ago stays, because it is likely to be used again.
        """
        return (
            not client.has_answered
            or client.is_lingering
            or now - client.timer_started_at > self._timeouts.evictable_after_s
        )

    # Time limits

    def _sweep(self) -> None:
        """End the connections that have exceeded the time limit of their state; schedule the next sweep."""
        self._next_sweep = self._loop.call_later(self._timeouts.sweep_interval_s, self._sweep)
        now = self._loop.time()
        for client in list(self.connections):
            limit_s = client.time_limit_s(self._timeouts)
            if limit_s is not None and now - client.timer_started_at > limit_s:
                client.expire()

    # Graceful shutdown

    async def shut_down(self, times: ShutdownTimes) -> None:
        """Shut down in stages and answer every accepted request, unless its client disconnects.

        1. Drain: answers ask clients to close their connections. Idle connections stay open.
        2. Close idle connections, and go on serving new ones. If a client sends a request while the agent
           closes the connection, the client sends it again on a new connection.
        3. Close each connection that becomes idle, until no connection is open or in the accept queue, or
           until `finish_by_s`.
        4. Reject requests that arrive or have arrived in part, answer those in flight, and give clients time
           to read the answers.
        5. Stop listening. This comes so late because closing the listening socket resets connections that
           the kernel has established and the agent has not accepted.
        6. End every connection. The sockets stay open until the process has ended, and a request that the
           kernel took meanwhile would get no answer.
        """
        started_at = self._loop.time()
        self.is_draining = True
        await asyncio.sleep(times.close_idle_after_s)

        self._close_idle_connections()
        await asyncio.sleep(times.serve_until_s - times.close_idle_after_s)

        finish_at = started_at + times.finish_by_s
        await self._close_until_empty(finish_at, DRAIN_POLL_INTERVAL_S)

        self.is_rejecting = True
        self.handler.answer_all_pending()
        for client in list(self.connections):
            client.reject_incomplete()
        await self._close_until_empty(finish_at + FLUSH_TIMEOUT_S, FLUSH_POLL_INTERVAL_S)

        self.close()
        for client in list(self.connections):
            client.end()

    async def _close_until_empty(self, deadline: float, poll_interval_s: float) -> None:
        """Close each connection that becomes idle, until none is left or until the deadline.

        `deadline` is a time in seconds by the clock of the event loop.
        """
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
        is_new = not client.has_answered and now - client.timer_started_at <= FIRST_REQUEST_GRACE_S
        return (client.is_idle() and not is_new) or client.has_lingered(CLIENT_CLOSE_GRACE_S)

    def _has_queued_connection(self) -> bool:
        """Whether the kernel has an established connection that the agent has not accepted."""
        if self._listening_socket is None or self._listening_socket.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(self._listening_socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))
