"""A port on 127.0.0.1 that can be closed and opened again to simulate outages of discovery.

While it is closed, the kernel either still accepts connections, which nobody serves, or refuses them.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

HOST = "127.0.0.1"
# Length of the kernel's queue of new connections. It is long because all agents may connect at the same time.
ACCEPT_QUEUE_LENGTH = 4096
ACCEPTS_PER_ITERATION = 256  # Connections that are accepted in one iteration of the event loop.
# Size of the send buffer of each connection. Without this limit, the kernel would buffer complete lists that
# clients do not read, for thousands of connections.
SEND_BUFFER_BYTES = 128 * 1024


class ListeningPort:
    """A port that the operating system chooses and that stays reserved until `release` is called."""

    def __init__(self, connection_factory: Callable[[], asyncio.BaseProtocol]) -> None:
        self._connection_factory = connection_factory
        self._reservation: socket.socket | None = None  # Bound to the port; never listens.
        self._socket: socket.socket | None = None  # Listens; the kernel accepts connections.
        self._server: asyncio.Server | None = None  # Accepts connections from the kernel.

    @property
    def is_reserved(self) -> bool:
        """Whether a port number is reserved."""
        return self._reservation is not None

    @property
    def is_accepting(self) -> bool:
        """Whether this process accepts connections."""
        return self._server is not None

    @property
    def is_open(self) -> bool:
        """Whether the kernel accepts connections, even if this process does not serve them."""
        return self._socket is not None

    @property
    def number(self) -> int:
        """The port number."""
        assert self._reservation is not None
        return int(self._reservation.getsockname()[1])

    def reserve(self) -> None:
        """Reserve a port that the operating system chooses."""
        self._reservation = _bound_socket(0)

    async def open(self) -> None:
        """Listen on the reserved port, and accept connections."""
        self._socket = listening = _bound_socket(self.number)
        # Accepted connections inherit this size.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        # The asyncio server owns and closes a duplicate of the socket. Its `backlog` sets both the length of
        # the kernel's queue and the number of accepts per iteration. The length is therefore set again below.
        self._server = await asyncio.get_running_loop().create_server(
            self._connection_factory, sock=listening.dup(), backlog=ACCEPTS_PER_ITERATION
        )
        listening.listen(ACCEPT_QUEUE_LENGTH)

    def stop_accepting(self) -> None:
        """Stop accepting connections in this process; the kernel still accepts new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def refuse(self) -> None:
        """Let the kernel refuse new connections and reset those that this process has not accepted."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def release(self) -> None:
        """Release the reserved port."""
        if self._reservation is not None:
            self._reservation.close()


def _bound_socket(port: int) -> socket.socket:
    """Return a socket that is bound to the port and does not listen.

    Other sockets that do not listen can be bound to the same port.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((HOST, port))
    return bound
