"""Clients that disconnect while their request waits: nothing is sent, and the balancer drops the request.

A request may wait for an endpoint, for its next attempt, for a connection or for a probe. In most tests the
agent's kernel knows of the close before the wait ends, but the event loop has not read it yet.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from nickelmount.agent.downstream import ClientConnection
from tests.async_test import async_test
from tests.event_order import BlockingClient, DelayedConnect, wait_for_accepted
from tests.loopback import (
    KEYED,
    LOAD_REPORT,
    NOT_IDEMPOTENT,
    LoopbackSetup,
    Message,
    ScriptedServer,
    complete_list,
    loopback_setup,
    post,
)

Disconnect = Callable[[socket.socket], None]
TIME_TO_ARRIVE_S = 0.3  # A request that was sent by mistake arrives at an endpoint within this time.


def by_close(client: socket.socket) -> None:
    client.close()


def by_reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def by_close_after_bytes(client: socket.socket) -> None:
    client.send(post(Request_Id="9b99")[:60])
    client.close()


def by_half_close(client: socket.socket) -> None:
    client.shutdown(socket.SHUT_WR)  # The agent's kernel cannot tell this from a close.


WAYS_TO_DISCONNECT = pytest.mark.parametrize(
    "disconnect", [by_close, by_reset, by_close_after_bytes, by_half_close]
)
STAYS_OR_DISCONNECTS = pytest.mark.parametrize("disconnect", [None, by_close, by_reset])


async def open_idle_connections(setup: LoopbackSetup) -> None:
    """Open an idle connection to each endpoint, so that a request is written without a connect."""
    for listed in complete_list(*setup.endpoints).entries:
        setup.pool.release(await setup.pool.open(listed), True, listed)


async def assert_request_is_closed(setup: LoopbackSetup) -> None:
    """Wait until the disconnect is read, then check that nothing is pending, in flight or sent."""
    while setup.listener.connections or setup.listener.open_request_ids:
        await asyncio.sleep(0)
    await asyncio.sleep(TIME_TO_ARRIVE_S)
    assert setup.agent.pending_count == 0
    assert setup.agent.exchanges_in_flight == ()
    assert setup.nothing_sent()
    assert setup.balancer_request_count == 0
    assert setup.balancer_queued_count == 0
    assert setup.balancer_in_flight_count == 0


async def assert_request_closed_without_load(setup: LoopbackSetup) -> None:
    """Check that the request is closed and that the balancer counts no load of it on any endpoint."""
    await assert_request_is_closed(setup)
    assert all(load == 0 for load in setup.balancer_load_by_endpoint())


@asynccontextmanager
async def agent_without_endpoints(
    folder: Path, is_draining: bool = False
) -> AsyncIterator[tuple[LoopbackSetup, ScriptedServer]]:
    """Run an agent whose endpoint list is empty, and a peer that a later list may name."""
    async with loopback_setup(folder, endpoints=0) as setup:
        setup.listener.is_draining = is_draining
        peer = await ScriptedServer().start()
        setup.endpoints.append(peer)
        yield setup, peer


# Disconnects while the balancer queues the request


@WAYS_TO_DISCONNECT
@pytest.mark.parametrize("is_draining", [False, True])
@async_test()
async def test_disconnect_before_the_first_endpoint_is_listed(
    tmp_path: Path, disconnect: Disconnect, is_draining: bool
) -> None:
    """A request waits for an endpoint. An endpoint is listed just after the client has disconnected."""
    async with agent_without_endpoints(tmp_path, is_draining) as (setup, peer):
        client = await BlockingClient(setup).accepted()
        client.socket.send(post(NOT_IDEMPOTENT))
        await wait_for_accepted(setup, 1)
        client.disconnect(disconnect)
        setup.agent.on_endpoint_list(complete_list(peer))
        await assert_request_closed_without_load(setup)


@WAYS_TO_DISCONNECT
@async_test()
async def test_disconnect_of_many_clients_at_once(tmp_path: Path, disconnect: Disconnect) -> None:
    """The balancer releases 40 queued requests one by one, while the closes of all clients are unread."""
    async with agent_without_endpoints(tmp_path) as (setup, peer):
        clients = [await BlockingClient(setup).accepted() for _ in range(40)]
        for number, client in enumerate(clients):
            client.socket.send(post(NOT_IDEMPOTENT, Request_Id=f"9b{number}"))
        await wait_for_accepted(setup, 40)
        for client in clients:
            client.disconnect(disconnect)
        setup.agent.on_endpoint_list(complete_list(peer))
        await assert_request_closed_without_load(setup)


@STAYS_OR_DISCONNECTS
@async_test()
async def test_disconnect_before_a_queued_request_is_released_by_its_timer(
    tmp_path: Path, disconnect: Disconnect | None
) -> None:
    """The balancer queues a request, and the client disconnects just before the balancer's timer fires.

    If the client stays, the request is sent.
    """
    async with agent_without_endpoints(tmp_path) as (setup, peer):
        await open_idle_connections(setup)
        client = await BlockingClient(setup).accepted()
        client.socket.send(post(NOT_IDEMPOTENT))
        await wait_for_accepted(setup, 1)
        setup.agent.on_endpoint_list(complete_list(peer))
        if disconnect is not None:
            client.disconnect(disconnect)
        setup.fire_next_balancer_timer()
        if disconnect is not None:
            return await assert_request_closed_without_load(setup)
        await peer.requests.get()
        client.socket.close()


# Disconnects before the request is read


@pytest.mark.parametrize("count", [1, 40])
@async_test()
async def test_disconnect_before_the_request_is_read(tmp_path: Path, count: int) -> None:
    """The event loop finds the request and the close at the same time."""
    async with loopback_setup(tmp_path) as setup:
        await open_idle_connections(setup)
        clients = [await BlockingClient(setup).accepted() for _ in range(count)]
        for number, client in enumerate(clients):
            client.socket.send(post(Request_Id=f"9b{number}"))
            client.disconnect(by_close)
        await assert_request_closed_without_load(setup)


@pytest.mark.parametrize("count", [1, 40])
@async_test()
async def test_disconnect_before_the_connection_is_accepted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, count: int
) -> None:
    """The client connects, sends a request and closes while its connection is still in the accept queue."""
    async with loopback_setup(tmp_path) as setup:
        await open_idle_connections(setup)
        connection_opened, accepted = setup.listener.connection_opened, list[ClientConnection]()

        def count_accepted(client: ClientConnection) -> None:
            accepted.append(client)
            connection_opened(client)

        monkeypatch.setattr(setup.listener, "connection_opened", count_accepted)
        for number in range(count):
            client = socket.create_connection(("127.0.0.1", setup.port))
            client.send(post(Request_Id=f"9b{number}"))
            client.close()
        while len(accepted) < count:
            await asyncio.sleep(0)
        await assert_request_closed_without_load(setup)


# Disconnects before the next attempt


def reject(request: Message) -> None:
    request.connection.writer.write(b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")


def lose_connection(request: Message) -> None:
    request.connection.shut_down_socket()


@WAYS_TO_DISCONNECT
@pytest.mark.parametrize(
    ("request_class", "end_attempt"), [(NOT_IDEMPOTENT, reject), (KEYED, lose_connection)]
)
@async_test()
async def test_disconnect_before_a_retry(
    tmp_path: Path, disconnect: Disconnect, request_class: str, end_attempt: Callable[[Message], None]
) -> None:
    """The first attempt ends, and the client disconnects. The event loop reads the attempt's end first."""
    async with loopback_setup(tmp_path, endpoints=2) as setup:
        await open_idle_connections(setup)
        client = await BlockingClient(setup).accepted()
        client.socket.send(post(request_class))
        end_attempt(await setup.next_request())
        client.disconnect(disconnect)
        while setup.agent.pending_count:
            await asyncio.sleep(0)
        await asyncio.sleep(TIME_TO_ARRIVE_S)
        assert setup.nothing_sent()
        assert setup.agent.exchanges_in_flight == ()
        assert setup.balancer_in_flight_count == 0


def send_until_blocked(client: socket.socket) -> None:
    """Send until neither kernel takes any more bytes, so that a close cannot reach the agent's kernel."""
    client.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while True:
            client.send(b"x" * 65_536)


async def in_flight_with_more_input(setup: LoopbackSetup) -> tuple[BlockingClient, ClientConnection, Message]:
    """Send a request and some bytes behind it, which the agent reads while the request is in flight."""
    client = await BlockingClient(setup).accepted()
    client.socket.send(post(NOT_IDEMPOTENT))
    request = await setup.next_request()
    (connection,) = setup.listener.connections
    client.socket.send(b"more")
    while not connection.discards_input:
        await asyncio.sleep(0)
    return client, connection, request


@async_test()
async def test_disconnect_behind_many_unread_bytes_before_a_retry(tmp_path: Path) -> None:
    # A request was sent on after its client had closed with much unread, because the close was not seen.
    async with loopback_setup(tmp_path, endpoints=2) as setup:
        await open_idle_connections(setup)
        client, connection, first = await in_flight_with_more_input(setup)
        send_until_blocked(client.socket)
        client.socket.close()
        assert not connection.peer_has_closed()  # The kernel does not know of the close.
        reject(first)
        while setup.agent.pending_count:
            await asyncio.sleep(0)
        await assert_request_is_closed(setup)


@async_test()
async def test_a_client_that_stays_behind_many_unread_bytes_is_answered_at_once(tmp_path: Path) -> None:
    # A request that cannot be sent on, because its client may have left, still gets its final answer.
    async with loopback_setup(tmp_path, endpoints=2) as setup:
        await open_idle_connections(setup)
        client, _, first = await in_flight_with_more_input(setup)
        send_until_blocked(client.socket)
        reject(first)
        client.socket.setblocking(False)
        answer = await asyncio.get_running_loop().sock_recv(client.socket, 65_536)
        assert answer.startswith(b"HTTP/1.1 500 ")
        client.socket.close()
        await assert_request_is_closed(setup)


@async_test()
async def test_a_client_that_has_sent_more_and_stays_has_its_request_sent_on(tmp_path: Path) -> None:
    async with loopback_setup(tmp_path, endpoints=2) as setup:
        await open_idle_connections(setup)
        client, connection, first = await in_flight_with_more_input(setup)
        assert connection.has_nothing_to_read()
        reject(first)
        await (await setup.next_request()).answer(200, b"mine")
        client.socket.setblocking(False)
        answer = await asyncio.get_running_loop().sock_recv(client.socket, 65_536)
        assert answer.startswith(b"HTTP/1.1 200 ")
        client.socket.close()


@STAYS_OR_DISCONNECTS
@async_test()
async def test_disconnect_before_a_hedged_request(tmp_path: Path, disconnect: Disconnect | None) -> None:
    """An attempt is in flight, and the client disconnects just before the hedged request is due.

    If the client stays, the hedged request is sent.
    """
    async with loopback_setup(tmp_path, endpoints=2, secondCopies=True) as setup:
        await open_idle_connections(setup)
        setup.set_typical_latency_us(3e6)  # The hedged request is due after 3 times this latency.
        client = await BlockingClient(setup).accepted()
        client.socket.send(post())
        first = await setup.next_request()
        if disconnect is not None:
            client.disconnect(disconnect)
        setup.fire_next_balancer_timer()
        if disconnect is not None:
            await first.connection.wait_for_close()
            return await assert_request_is_closed(setup)
        await setup.next_request()
        client.socket.close()


# Disconnects while the agent waits for an endpoint


@WAYS_TO_DISCONNECT
@pytest.mark.parametrize("is_read", [False, True])
@async_test()
async def test_disconnect_during_a_connect(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, disconnect: Disconnect, is_read: bool
) -> None:
    """A client disconnects while a connection for its request is being established.

    The request gets the connection after the event loop has read the client's close, or just before that.
    """
    async with loopback_setup(tmp_path) as setup:
        connect = DelayedConnect(setup, monkeypatch)
        client = await BlockingClient(setup).accepted()
        client.socket.send(post(NOT_IDEMPOTENT))
        await connect.established.wait()
        if is_read:
            client.disconnect(disconnect)
            while setup.agent.pending_count:
                await asyncio.sleep(0)
            connect.hand_over()
        else:
            connect.hand_over()
            client.disconnect(disconnect)
        await assert_request_closed_without_load(setup)
        assert setup.pool.opening_count == 0


@WAYS_TO_DISCONNECT
@async_test()
async def test_disconnect_during_a_probe(tmp_path: Path, disconnect: Disconnect) -> None:
    """A request waits for an endpoint's load report. The event loop reads the report before the close."""
    async with loopback_setup(tmp_path, endpoints=0, probes=True) as setup:
        peer = await ScriptedServer(answers_probes=False).start()
        setup.endpoints.append(peer)
        setup.agent.on_endpoint_list(complete_list(peer))
        client = await BlockingClient(setup).accepted()
        client.socket.send(post(NOT_IDEMPOTENT))
        probe = await peer.requests.get()
        assert probe.start_line.startswith("GET /_load")
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LOAD_REPORT)
        probe.connection.writer.write(head + LOAD_REPORT)
        client.disconnect(disconnect)
        await assert_request_closed_without_load(setup)


@async_test()
async def test_disconnect_closes_the_attempt_in_flight(tmp_path: Path) -> None:
    """A client resets its connection while an endpoint processes its request. The attempt is closed."""
    async with loopback_setup(tmp_path) as setup:
        client = await BlockingClient(setup).accepted()
        client.socket.send(post())
        message = await setup.next_request()
        client.disconnect(by_reset)
        await message.connection.wait_for_close()
        while setup.listener.connections:
            await asyncio.sleep(0)
        assert setup.agent.pending_count == 0
        assert setup.agent.exchanges_in_flight == ()
        assert setup.balancer_in_flight_count == 0
        assert setup.balancer_request_count == 0
