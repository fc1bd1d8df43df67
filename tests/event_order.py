"""Helpers that force an order of steps which the event loop does not give by itself.

Some failures show only then: while bytes or a close are in the kernel and not read yet, or if a connection is
established late.
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
    """Wait, without a cycle of the event loop, until poll reports one of these events on the socket."""
    assert connection.transport is not None
    poll = select.poll()
    poll.register(connection.transport.get_extra_info("socket").fileno(), events)
    assert poll.poll(10_000)


def wait_until_readable(connection: Connection) -> None:
    """Wait, without a cycle of the event loop, until bytes or a close are there to be read."""
    wait_until_kernel_has(connection, select.POLLIN)


async def wait_for_accepted(setup: LoopbackSetup, count: int) -> None:
    """Wait until the agent has accepted so many requests."""
    while setup.agent.accepted_count < count:
        await asyncio.sleep(0)


class DelayedConnect:
    """The nth connection that is opened from now on is established, and handed over only by `hand_over`."""

    def __init__(self, setup: LoopbackSetup, monkeypatch: pytest.MonkeyPatch, nth: int = 1) -> None:
        self.established = asyncio.Event()
        self._may_hand_over = asyncio.Event()
        self._opens_before = nth
        self._open = setup.pool.open
        monkeypatch.setattr(setup.pool, "open", self._open_delayed)

    def hand_over(self) -> None:
        """Let the exchange that opened the connection run next, ahead of whoever reads from sockets."""
        self._may_hand_over.set()

    async def _open_delayed(self, listed: ListedEndpoint) -> PooledConnection:
        self._opens_before -= 1
        is_delayed = self._opens_before == 0
        connection = await self._open(listed)
        if is_delayed:
            self.established.set()
            await self._may_hand_over.wait()
        return connection


class BlockingClient:
    """A client whose bytes and whose close reach the agent's kernel without a cycle of the event loop."""

    def __init__(self, setup: LoopbackSetup) -> None:
        self._known = set(setup.listener.connections)
        self._setup = setup
        self.socket = socket.create_connection(("127.0.0.1", setup.port))

    async def accepted(self) -> BlockingClient:
        """Wait until the agent has accepted the connection."""
        while not (new := self._setup.listener.connections - self._known):
            await asyncio.sleep(0)
        (self._agent_side,) = new
        return self

    def disconnect(self, how: Callable[[socket.socket], None]) -> None:
        """Disconnect; returns once the agent's kernel knows, before the agent has read it."""
        how(self.socket)
        wait_until_kernel_has(self._agent_side, select.POLLRDHUP)
