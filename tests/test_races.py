"""Tests of races between attempts, closes and endpoint lists, each in an order that the test forces."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from nickelmount.agent.clock import Clock
from nickelmount.agent.connection_pool import PooledConnection
from tests.async_test import async_test
from tests.event_order import DelayedConnect, wait_until_readable
from tests.loopback import (
    LOAD_REPORT,
    NOT_IDEMPOTENT,
    LoopbackSetup,
    Message,
    endpoint_list,
    loopback_setup,
    member,
    post,
    running_server,
)

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
DEDUP_WINDOW_US = 15_000_000  # The dedup window of the class KEYED, as loopback.settings states it.
LONG_US = 600_000_000  # A time limit that no test reaches.


class ClockShift:
    """A patch that puts every Clock forward by `shift_us`, which the test may change."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.shift_us = 0
        monkeypatch.setattr(Clock, "now", lambda _: time.monotonic_ns() // 1000 + self.shift_us)


def connection_in_flight(setup: LoopbackSetup) -> PooledConnection:
    """Return the connection of the only attempt in flight."""
    (exchange,) = setup.agent.exchanges_in_flight
    assert exchange.connection is not None
    return exchange.connection


def block_event_loop(duration_s: float) -> None:
    time.sleep(duration_s)


async def serve_one(setup: LoopbackSetup) -> Message:
    """Serve one request, and return it as the endpoint received it; its connection becomes idle."""
    client = await setup.send_request(post())
    message = await setup.next_request()
    await message.answer()
    assert (await client.read()).status == 200
    client.close()
    return message


# A response at the same time as another event


@async_test()
async def test_a_response_in_the_kernel_takes_precedence_over_a_due_timeout(tmp_path: Path) -> None:
    """The event loop is blocked while a response arrives and the request's timeout passes.

    The next iteration finds both events. The client must get the response, because it arrived in time.
    """
    async with loopback_setup(tmp_path) as setup:
        client = await setup.send_request(post(NOT_IDEMPOTENT, timeout_ms="400"))
        message = await setup.next_request()
        message.connection.writer.write(RESPONSE)
        wait_until_readable(connection_in_flight(setup))
        block_event_loop(0.45)
        assert (await client.read()).status == 200
        assert setup.agent.exchanges_in_flight == ()
        assert setup.balancer_in_flight_count == 0


@pytest.mark.parametrize("change", ["drains", "is removed", "is not listed", "moves"])
@async_test()
async def test_a_response_that_arrives_while_its_endpoint_drains_or_is_removed_is_served(
    tmp_path: Path, change: str
) -> None:
    """An endpoint drains, is removed or moves while its response is in the kernel but has not been read.

    The response must still be served, its connection must be closed immediately, and the endpoint must get no
    new requests.
    """
    async with loopback_setup(tmp_path, endpoints=2, connIdleUs=LONG_US) as setup:
        client = await setup.send_request(post(NOT_IDEMPOTENT))
        message = await setup.next_request()
        connection = connection_in_flight(setup)
        port = connection.listed.address.port
        index = next(i for i, endpoint in enumerate(setup.endpoints) if endpoint.port == port)
        name, other = f"s{index}", setup.endpoints[1 - index]
        message.connection.writer.write(RESPONSE)
        wait_until_readable(connection)
        setup.agent.on_endpoint_list(
            {
                "drains": endpoint_list(member(name, port, "DRAINING")),
                "is removed": endpoint_list(member(name, port, "DELETED")),
                "is not listed": endpoint_list(member(f"s{1 - index}", other.port), complete=True),
                "moves": endpoint_list(member(name, other.port, up_since_ms=1_700_000_000_000)),
            }[change]
        )
        assert (await client.read()).status == 200
        await message.connection.wait_for_close()
        for i in range(4):
            client = await setup.send_request(post(NOT_IDEMPOTENT, Request_Id=f"9c{i}"))
            await (await other.requests.get()).answer()
            assert (await client.read()).status == 200
        assert setup.endpoints[index].requests.empty()


@pytest.mark.parametrize("received", [b"H", b"HTTP/1.1 200 OK\r\nContent-", RESPONSE[:-1]])
@pytest.mark.parametrize("end", ["reset", "close"])
@async_test()
async def test_a_request_that_is_not_idempotent_fails_if_its_response_is_cut_off(
    tmp_path: Path, received: bytes, end: str
) -> None:
    """The connection is lost after part of a response has arrived, so the request has run.

    Because the request is not idempotent, it must not be retried, and the client must not be told that it was
    rejected.
    """
    async with loopback_setup(tmp_path, endpoints=2) as setup:
        client = await setup.send_request(post(NOT_IDEMPOTENT))
        message = await setup.next_request()
        await message.connection.write(received)
        if end == "reset":
            message.connection.reset()
        else:
            message.connection.close()
        assert (await client.read()).status == 502
        assert setup.nothing_sent()
        assert setup.agent.exchanges_in_flight == ()
        assert setup.balancer_request_count == 0


@pytest.mark.parametrize("late_bytes", [RESPONSE, b"HTTP/1.1 200 OK\r\n", b"\r\n", LOAD_REPORT])
@async_test()
async def test_late_bytes_on_an_idle_connection_reach_no_request(tmp_path: Path, late_bytes: bytes) -> None:
    """Bytes that belong to no request arrive on an idle connection just before the next request.

    They are in the kernel but have not been read. If the request was sent on this connection, it would be
    answered with them.
    """
    async with loopback_setup(tmp_path) as setup:
        first = await serve_one(setup)
        (idle,) = setup.pool.open_connections
        client = await setup.client()
        first.connection.writer.write(late_bytes)
        wait_until_readable(idle)
        await client.write(post(NOT_IDEMPOTENT, Request_Id="9b30"))
        second = await setup.next_request()
        assert second.connection is not first.connection
        await second.answer(200, b"mine")
        assert (await client.read()).body == b"mine"


# Retries and hedged requests


@async_test()
async def test_a_request_has_no_more_attempts_than_the_settings_allow(tmp_path: Path) -> None:
    """Every endpoint rejects the request.

    The request has not run after the last attempt, so the client must be told that it was rejected.
    """
    for max_attempts in (1, 2, 3):
        async with loopback_setup(tmp_path, endpoints=6, maxAttempts=max_attempts) as setup:
            client, attempts = await setup.send_request(post(NOT_IDEMPOTENT)), 0
            answer = asyncio.create_task(client.read())
            while not answer.done():
                message = asyncio.create_task(setup.next_request())
                await asyncio.wait([message, answer], return_when=asyncio.FIRST_COMPLETED)
                if message.done():
                    attempts += 1
                    await message.result().answer(503, b"", Not_Started="1")
                else:
                    message.cancel()
            assert answer.result().status == 503
            assert attempts == max_attempts


@async_test()
async def test_an_attempt_is_closed_before_the_next_one_if_hedging_is_not_allowed(tmp_path: Path) -> None:
    """An attempt gets an unusable response while its connection is open, and the request is retried.

    If the connection was closed only after the retry was sent, two endpoints would hold the request at the
    same time.
    """
    async with loopback_setup(tmp_path, endpoints=2) as setup:
        client = await setup.send_request(post())
        first = await setup.next_request()
        await first.connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: none\r\n\r\n")
        second = await setup.next_request()
        assert first.connection.peer_closed is not None
        await first.connection.wait_for_close()
        assert len(setup.agent.exchanges_in_flight) == 1
        await second.answer()
        assert (await client.read()).status == 200


@async_test()
async def test_a_retry_whose_connection_is_established_after_the_dedup_window_is_not_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first attempt may have run, and the connect for the retry takes longer than the dedup window.

    The endpoint would no longer know the idempotency key, so that the request could run twice. The client
    must be answered immediately, although half of its timeout remains.
    """
    clock = ClockShift(monkeypatch)
    async with loopback_setup(tmp_path, endpoints=2) as setup:
        connect = DelayedConnect(setup, monkeypatch, nth=2)
        client = await setup.send_request(post())
        await (await setup.next_request()).answer(500)
        await connect.established.wait()
        clock.shift_us += DEDUP_WINDOW_US
        connect.hand_over()
        assert (await client.read()).status == 503
        assert setup.nothing_sent()
        assert setup.agent.exchanges_in_flight == ()
        assert setup.balancer_in_flight_count == 0


@async_test()
async def test_a_first_attempt_is_not_sent_after_the_dedup_window_of_its_hedged_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connect of the first attempt takes so long that a hedged request is sent, and runs.

    When the connection is established, the dedup window of the hedged request is over. If the first attempt
    was sent now, the endpoint would not recognize it as a repeat.
    """
    clock = ClockShift(monkeypatch)
    async with loopback_setup(tmp_path, endpoints=2, secondCopies=True) as setup:
        for _ in range(3):  # The balancer hedges only after it has learned a typical latency.
            await serve_one(setup)
        for name in ("s0", "s1"):
            setup.pool.close_idle(name)
        connect = DelayedConnect(setup, monkeypatch, nth=1)
        client = await setup.send_request(post(Request_Id="9b31"))
        await connect.established.wait()
        hedge = await setup.next_request()
        clock.shift_us += DEDUP_WINDOW_US
        connect.hand_over()
        while len(setup.agent.exchanges_in_flight) > 1:
            await asyncio.sleep(0)
        await hedge.answer()
        assert (await client.read()).status == 200
        assert setup.nothing_sent()
        assert setup.balancer_in_flight_count == 0


# A change of the endpoint list during a connect


@async_test()
async def test_an_endpoint_that_moves_during_a_connect_gets_nothing_at_its_old_address(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An endpoint gets a new address while a connection to its old address is being established."""
    async with loopback_setup(tmp_path) as setup, running_server() as new:
        old = setup.endpoints[0]
        connect = DelayedConnect(setup, monkeypatch)
        client = await setup.send_request(post(NOT_IDEMPOTENT))
        await connect.established.wait()
        setup.agent.on_endpoint_list(endpoint_list(member("s0", new.port)))
        connect.hand_over()
        await (await new.requests.get()).answer()
        assert (await client.read()).status == 200
        assert old.requests.empty()
        assert setup.pool.opening_count == 0


@pytest.mark.parametrize("changed_field", ["locality", "cell"])
@async_test()
async def test_nothing_is_sent_to_an_endpoint_that_changes_its_dedup_scope_during_a_connect(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, changed_field: str
) -> None:
    """An endpoint moves to another zone or cell while a connection to it is being established.

    It was chosen because it would drop a repeat of the request. In another dedup scope it may not know the
    idempotency key, so an endpoint must be chosen again.
    """
    async with loopback_setup(tmp_path) as setup:
        connect = DelayedConnect(setup, monkeypatch)
        client = await setup.send_request(post())
        await connect.established.wait()
        changed = {changed_field: {"locality": "b", "cell": 2}[changed_field]}
        setup.agent.on_endpoint_list(
            endpoint_list(member("s0", setup.endpoints[0].port) | changed, zones=("a", "b"))
        )
        connect.hand_over()
        message = await setup.next_request()
        # The first connection was discarded unused, and the second attempt opened another.
        assert setup.endpoints[0].connection_count == 2
        await message.answer()
        assert (await client.read()).status == 200
