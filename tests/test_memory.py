"""The memory that messages of peers take: it is freed when the message ends, whatever ends it."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import tracemalloc
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import pytest

from nickelmount.agent.clock import Clock
from nickelmount.agent.connection_pool import ConnectionPool
from nickelmount.agent.discovery_connection import DiscoverySession
from nickelmount.agent.upstream import Upstream
from nickelmount.agent.upstream_exchange import ExchangeResult, UpstreamRequest
from nickelmount.balancer.events import Outcome
from nickelmount.errors import DiscoveryError
from nickelmount.protocol.address import Address
from tests.async_test import async_test
from tests.loopback import (
    NOT_IDEMPOTENT,
    LoopbackSetup,
    Message,
    ScriptedServer,
    StreamConnection,
    endpoint_list,
    loopback_setup,
    member,
    post,
    running_server,
)

REPEATS = 20  # The number of broken messages of each test.
PARTIAL_BODY = b"m" * 60_000  # A body that has arrived in part, within every limit.
PARTIAL_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 64000\r\n\r\n" + PARTIAL_BODY
CHUNK = b"4000\r\n" + b"m" * 0x4000 + b"\r\n"
ENDLESS_RESPONSE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNK * 80
LONG_US = 600_000_000


@contextlib.contextmanager
def memory_of_agent() -> Iterator[Callable[[], int]]:
    """Yield a function that returns the size of the memory that the agent has allocated and not freed.

    The size is in bytes and counts from the beginning of the block. The garbage collector is off, so that
    memory in a cycle of references counts as not freed.
    """
    only_agent = [tracemalloc.Filter(True, "*/nickelmount/*")]

    def allocated_bytes() -> int:
        snapshot = tracemalloc.take_snapshot().filter_traces(only_agent)
        return sum(trace.size for trace in snapshot.traces)

    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield allocated_bytes
    finally:
        tracemalloc.stop()
        gc.enable()


async def wait_until(is_true: Callable[[], bool]) -> None:
    while not is_true():
        await asyncio.sleep(0.001)


# Responses of endpoints


async def never_end(message: Message) -> None:
    await message.connection.write(ENDLESS_RESPONSE)


async def close_partway(message: Message) -> None:
    await message.connection.write(PARTIAL_RESPONSE)
    message.connection.close()


async def stop_partway(message: Message) -> None:
    await message.connection.write(PARTIAL_RESPONSE)


@pytest.mark.parametrize("is_probe", [False, True])
@pytest.mark.parametrize(
    ("endpoint_does", "outcome"),
    [(never_end, Outcome.ERROR), (close_partway, Outcome.RESET), (stop_partway, Outcome.TIMEOUT)],
)
@async_test()
async def test_a_response_that_does_not_end_leaves_nothing_in_memory(
    endpoint_does: Callable[[Message], Awaitable[None]], outcome: Outcome, is_probe: bool
) -> None:
    """Responses that never ended stayed in memory and took agents over their memory limit."""
    server = await ScriptedServer(answers_probes=False).start()
    async with server.server:
        pool = ConnectionPool(Clock(), 10_000_000, LONG_US, 9)
        upstream = Upstream(Clock(), ("inflight",), pool)
        upstream.apply(endpoint_list(member("s", server.port)))
        request = UpstreamRequest(b"POST", b"/api", [(b"Request-Id", b"1")], b"job")
        with memory_of_agent() as allocated_bytes:
            for _ in range(REPEATS):
                ended = asyncio.Event()
                outcomes: list[Outcome] = []

                def on_end(result: ExchangeResult) -> None:
                    outcomes.append(result.outcome)  # noqa: B023
                    ended.set()  # noqa: B023

                if is_probe:
                    upstream.start_probe("s", on_end)
                else:
                    upstream.start_attempt("s", request, 100_000, on_end)
                message = await server.requests.get()
                await endpoint_does(message)
                await ended.wait()
                assert outcomes == [outcome]
                await message.connection.wait_for_close()
                message.connection.close()
            assert allocated_bytes() < len(PARTIAL_BODY)


# Requests of clients


def partial_request() -> bytes:
    """Return a request without the end of its body."""
    return post(body=PARTIAL_BODY + b"rest")[:-4]


async def disconnect(client: StreamConnection) -> None:
    client.close()


async def reset(client: StreamConnection) -> None:
    client.reset()


async def exceed_body_limit(client: StreamConnection) -> None:
    with contextlib.suppress(ConnectionError):
        await client.write(CHUNK * 5)
    await client.wait_for_close()
    client.close()


@pytest.mark.parametrize(
    ("request_start", "client_does"),
    [
        (partial_request(), disconnect),
        (partial_request(), reset),
        (
            post(drop=("Content-Length",), body=b"", Transfer_Encoding="chunked"),
            exceed_body_limit,
        ),
    ],
)
@async_test()
async def test_a_request_that_does_not_end_leaves_nothing_in_memory(
    tmp_path: Path, request_start: bytes, client_does: Callable[[StreamConnection], Awaitable[None]]
) -> None:
    async with loopback_setup(tmp_path) as setup:
        with memory_of_agent() as allocated_bytes:
            for _ in range(REPEATS):
                client = await setup.send_request(request_start)
                await wait_until(lambda: has_read_request_in_part(setup))
                await client_does(client)
                await wait_until(lambda: not setup.listener.connections)
            assert allocated_bytes() < len(PARTIAL_BODY)


def has_read_request_in_part(setup: LoopbackSetup) -> bool:
    return any(client.state.value == "reading" for client in setup.listener.connections)


# Complete requests


async def answer(message: Message, client: StreamConnection) -> None:
    await message.answer(200, PARTIAL_BODY)
    assert (await client.read()).body == PARTIAL_BODY


async def reset_by_endpoint(message: Message, client: StreamConnection) -> None:
    await message.connection.write(PARTIAL_RESPONSE)
    message.connection.reset_in_kernel()
    assert (await client.read()).status == 502


async def disconnect_in_flight(message: Message, client: StreamConnection) -> None:
    await message.connection.write(PARTIAL_RESPONSE)
    client.close()
    await message.connection.wait_for_close()


@pytest.mark.parametrize("request_ends", [answer, reset_by_endpoint, disconnect_in_flight])
@async_test()
async def test_a_request_that_has_ended_leaves_nothing_in_memory(
    tmp_path: Path, request_ends: Callable[[Message, StreamConnection], Awaitable[None]]
) -> None:
    # With many endpoints, those that reset are ejected and enough others stay.
    async with loopback_setup(tmp_path, endpoints=2 * REPEATS) as setup:
        with memory_of_agent() as allocated_bytes:
            for number in range(REPEATS):
                request = post(NOT_IDEMPOTENT, body=PARTIAL_BODY, Request_Id=f"{number}")
                client = await setup.send_request(request)
                await request_ends(await setup.next_request(), client)
                client.close()
                await wait_until(lambda: not setup.listener.connections)
            assert allocated_bytes() < len(PARTIAL_BODY)


# Responses of discovery


@pytest.mark.parametrize("response", [PARTIAL_RESPONSE, ENDLESS_RESPONSE.replace(b"80\r\n", b"zz\r\n")])
@async_test()
async def test_a_response_of_discovery_that_does_not_end_leaves_nothing_in_memory(response: bytes) -> None:
    async def serve_partial_response(server: ScriptedServer) -> None:
        message = await server.requests.get()
        await message.connection.write(response)
        message.connection.close()

    async def call(server: ScriptedServer) -> None:
        """Make a call that fails."""
        with DiscoverySession(Address("127.0.0.1", server.port), 10.0) as session:
            await session.connect()
            try:  # pytest.raises would keep the error, and its frames, in a cycle of references.
                await session.get("/catalog/members")
            except DiscoveryError:
                return
            raise AssertionError("the call has not failed")

    async with running_server() as server:
        with memory_of_agent() as allocated_bytes:
            for _ in range(REPEATS):
                serving = asyncio.create_task(serve_partial_response(server))
                await call(server)
                await serving
            await asyncio.sleep(0)  # The event loop ends an aborted connection in its next iteration.
            assert allocated_bytes() < len(PARTIAL_BODY)
