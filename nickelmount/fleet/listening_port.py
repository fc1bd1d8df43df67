"""A port of 127.0.0.1 that can stop listening, in two ways, and listen again."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

HOST = "127.0.0.1"
ACCEPT_QUEUE = 4096  # connections that wait in the kernel: all agents may connect at once
ACCEPTS_PER_ITERATION = 256  # of the event loop
# The send buffer of each connection. Without a limit the kernel accepts complete lists that the client does
# not read, for thousands of connections.
SEND_BUFFER_BYTES = 128 * 1024


class ListeningPort:
    """A port that the system picks, and that stays reserved until `release`."""

    def __init__(self, connection_factory: Callable[[], asyncio.BaseProtocol]) -> None:
        self._connection_factory = connection_factory
        self._reservation: socket.socket | None = None  # bound, and never listens
        self._socket: socket.socket | None = None  # listens, so that the kernel accepts connections
        self._server: asyncio.Server | None = None  # accepts them from the kernel

    @property
    def is_reserved(self) -> bool:
        """Whether it has a port number."""
        return self._reservation is not None

    @property
    def is_accepting(self) -> bool:
        """Whether connections are accepted by this process."""
        return self._server is not None

    @property
    def is_open(self) -> bool:
        """Whether the kernel accepts connections, be it that nobody serves them."""
        return self._socket is not None

    @property
    def number(self) -> int:
        """The port number."""
        assert self._reservation is not None
        return int(self._reservation.getsockname()[1])

    def reserve(self) -> None:
        """Let the system pick a port."""
        self._reservation = _bound_socket(0)

    async def open(self) -> None:
        """Accept connections."""
        self._socket = listening = _bound_socket(self.number)
        # Its connections inherit the size.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        # asyncio's server owns, and closes, its own copy of the socket. Its `backlog` is both the length of
        # the kernel's queue and the number of accepts an iteration, so the queue is set again behind it.
        self._server = await asyncio.get_running_loop().create_server(
            self._connection_factory, sock=listening.dup(), backlog=ACCEPTS_PER_ITERATION
        )
        listening.listen(ACCEPT_QUEUE)

    def stop_accepting(self) -> None:
        """Leave new connections to the kernel, which goes on to accept them."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def refuse(self) -> None:
        """Let the kernel refuse new connections, and reset those that were not accepted from it."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def release(self) -> None:
        """Give the port back to the system."""
        if self._reservation is not None:
            self._reservation.close()


def _bound_socket(port: int) -> socket.socket:
    """Return a socket that does not listen; others that do not listen may be bound to the same port."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((HOST, port))
    return bound
