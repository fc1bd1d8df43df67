"""Helpers for tests that force an order of events which rarely occurs by itself.

Some failures occur only in such an order, for example if bytes or a close have arrived in the kernel but have
not been read, or if a connection is established late.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable

import pytest

from nickelmount.agent.connection import Connection
from nickelmount.agent.connection_pool import PooledConnection
from nickelmount.protocol.endpoint_list import ListedEndpoint
from tests.loopback import LoopbackSetup


def wait_until_kernel_has(connection: Connection, events: int) -> None:
    """Wait until poll reports one of these events on the socket, without an iteration of the event loop."""
    assert connection.transport is not None
    poll = select.poll()
    poll.register(connection.transport.get_extra_info("socket").fileno(), events)
    assert poll.poll(10_000)


def wait_until_readable(connection: Connection) -> None:
    """Wait until bytes or a close can be read, without an iteration of the event loop."""
    wait_until_kernel_has(connection, select.POLLIN)


async def wait_for_accepted(setup: LoopbackSetup, count: int) -> None:
    """Wait until the agent has accepted `count` requests since its start."""
    while setup.agent.accepted_count < count:
        await asyncio.sleep(0)


class DelayedConnect:
    """A patch of the connection pool that delays the nth connection opened from now on.

    The connection is established, but its exchange gets it only after `hand_over` is called.
    """

    def __init__(self, setup: LoopbackSetup, monkeypatch: pytest.MonkeyPatch, nth: int = 1) -> None:
        self.established = asyncio.Event()
        self._may_hand_over = asyncio.Event()
        self._opens_until_delay = nth
        self._open = setup.pool.open
        monkeypatch.setattr(setup.pool, "open", self._open_delayed)

    def hand_over(self) -> None:
        """Give the connection to its exchange, which runs before the event loop reads from any socket."""
        self._may_hand_over.set()

    async def _open_delayed(self, listed: ListedEndpoint) -> PooledConnection:
        self._opens_until_delay -= 1
        is_delayed = self._opens_until_delay == 0
        connection = await self._open(listed)
        if is_delayed:
            self.established.set()
            await self._may_hand_over.wait()
        return connection


class BlockingClient:
    """A client with a blocking socket: it sends bytes and closes without an iteration of the event loop."""

    def __init__(self, setup: LoopbackSetup) -> None:
        self._earlier_connections = set(setup.listener.connections)
        self._setup = setup
        self.socket = socket.create_connection(("127.0.0.1", setup.port))

    async def accepted(self) -> BlockingClient:
        """Wait until the agent has accepted the connection, and return this client."""
        while not (new := self._setup.listener.connections - self._earlier_connections):
            await asyncio.sleep(0)
        (self._agent_side,) = new
        return self

    def disconnect(self, close_socket: Callable[[socket.socket], None]) -> None:
        """Disconnect with `close_socket`, and wait until the kernel knows; the agent has not read it yet."""
        close_socket(self.socket)
        wait_until_kernel_has(self._agent_side, select.POLLRDHUP)
