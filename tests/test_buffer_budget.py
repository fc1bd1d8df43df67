"""The limit on the memory that the messages of all peers take together."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import replace
from pathlib import Path

import pytest

from nickelmount.agent.buffer_budget import BufferBudget
from nickelmount.agent.clock import Clock
from nickelmount.agent.connection_pool import ConnectionPool
from nickelmount.agent.upstream import Upstream
from nickelmount.agent.upstream_exchange import ExchangeResult, UpstreamRequest
from nickelmount.balancer.events import Outcome
from tests.agent_process import agent_process, started_peers
from tests.async_test import async_test
from tests.loopback import (
    NOT_IDEMPOTENT,
    Message,
    StreamConnection,
    config_doc,
    endpoint_list,
    loopback_setup,
    member,
    post,
    running_server,
)

LONG_US = 600_000_000
REQUEST = UpstreamRequest(b"POST", b"/api", [(b"Request-Id", b"1")], b"job")
LARGE_BYTES = 900_000  # The part of each large response that arrives. A response may be larger than this.
LARGE_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"


class Buffers:
    """Buffers of a given size, which record whether they were evicted."""

    def __init__(self, budget: BufferBudget, size: int, can_evict_buffers: bool = True) -> None:
        self.can_evict_buffers = can_evict_buffers
        self.is_evicted = False
        budget.set_size(self, size)

    def evict_buffers(self) -> None:
        assert self.can_evict_buffers
        self.is_evicted = True


def test_above_the_limit_the_largest_buffers_are_evicted_until_the_rest_fits() -> None:
    budget = BufferBudget(100)
    sizes = (10, 50, 40, 30, 20)
    buffers = [Buffers(budget, size) for size in sizes]
    assert [b.is_evicted for b in buffers] == [False, True, False, False, False]
    assert (budget.total_bytes, budget.peak_bytes, budget.eviction_count) == (100, 130, 1)
    budget.set_size(buffers[0], 95)
    assert [b.is_evicted for b in buffers] == [True, True, False, False, False]
    assert budget.total_bytes == 90


def test_buffers_that_cannot_be_evicted_stay_and_count() -> None:
    budget = BufferBudget(100)
    fixed = Buffers(budget, 90, can_evict_buffers=False)
    small = Buffers(budget, 20)
    assert small.is_evicted
    assert not fixed.is_evicted
    budget.set_size(fixed, 120)
    assert budget.total_bytes == 120


def test_buffers_that_shrink_or_end_make_room() -> None:
    budget = BufferBudget(100)
    first = Buffers(budget, 80)
    budget.set_size(first, 30)
    second = Buffers(budget, 70)
    budget.set_size(first, 0)
    third = Buffers(budget, 30)
    assert not any(buffers.is_evicted for buffers in (first, second, third))
    assert budget.total_bytes == 100


# Responses of endpoints


def upstream_with_budget(port: int, budget: BufferBudget) -> Upstream:
    pool = ConnectionPool(Clock(), 10_000_000, LONG_US, 99, settle_time_us=0, budget=budget)
    upstream = Upstream(Clock(), (), pool)
    upstream.apply(endpoint_list(member("s", port)))
    return upstream


def start(upstream: Upstream) -> asyncio.Future[ExchangeResult]:
    result: asyncio.Future[ExchangeResult] = asyncio.get_running_loop().create_future()
    upstream.start_attempt("s", REQUEST, LONG_US, result.set_result)
    return result


@async_test()
async def test_large_responses_that_arrive_together_end_before_their_sum_exceeds_the_budget() -> None:
    """Each response was within its own limit, but together they took an agent over its memory limit."""
    budget = BufferBudget(3_000_000)
    async with running_server() as server:
        upstream = upstream_with_budget(server.port, budget)
        results = [start(upstream) for _ in range(10)]
        large = [await server.requests.get() for _ in results]
        for message in large:
            await message.connection.write(LARGE_RESPONSE_HEAD + b"m" * LARGE_BYTES)
        while sum(result.done() for result in results) < 7:
            assert budget.total_bytes <= budget.max_bytes
            await asyncio.sleep(0)
        assert {result.result().outcome for result in results if result.done()} == {Outcome.ERROR}
        # A response of ordinary size is not affected by the large ones.
        small = start(upstream)
        await (await server.requests.get()).answer(200, b"mine" * 16_000)
        assert (await small).body == b"mine" * 16_000
        # The large responses that fit go on.
        for message in large:
            with contextlib.suppress(ConnectionError):  # Those that were given up are closed.
                await message.connection.write(b"m" * 100_000)
        outcomes = [(await result).outcome for result in results]
        assert (outcomes.count(Outcome.ERROR), outcomes.count(Outcome.OK)) == (7, 3)
        assert budget.total_bytes == 0


@async_test()
async def test_unwritten_requests_count_and_end_as_never_sent() -> None:
    """Endpoints accept connections and read nothing, so that the requests to them stay in memory."""
    budget = BufferBudget(40_000_000)

    async def read_nothing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.Event().wait()

    async with await asyncio.start_server(read_nothing, "127.0.0.1", 0, limit=1) as server:
        upstream = upstream_with_budget(server.sockets[0].getsockname()[1], budget)
        request = replace(REQUEST, body=b"x" * 30_000_000)
        results: list[ExchangeResult] = []
        for _ in range(2):
            upstream.start_attempt("s", request, LONG_US, results.append)
        while not results:
            await asyncio.sleep(0.001)
        assert [result.outcome for result in results] == [Outcome.CONNECT_FAILED]
        assert 0 < budget.total_bytes <= budget.max_bytes
        for connection in upstream.pool.open_connections:
            connection.abort()


# Requests of clients


@pytest.mark.parametrize(
    "request_start",
    [
        post(body=b"x" * 64_000)[:-1],
        post(drop=("Content-Length",), body=b"")[:-2]
        + b"".join(b"%x:%0300x\r\n" % (i, i) for i in range(90)),
    ],
)
@async_test()
async def test_requests_that_stay_incomplete_are_answered_503_when_the_budget_is_used_up(
    tmp_path: Path, request_start: bytes
) -> None:
    """Clients stop in the middle of large requests, or of large heads, and stay."""
    async with loopback_setup(tmp_path, max_buffer_bytes=1_000_000) as setup:
        budget = setup.listener.buffer_budget
        assert budget is not None
        clients = [await setup.send_request(request_start) for _ in range(40)]
        while budget.eviction_count < 10:
            assert budget.total_bytes <= budget.max_bytes
            await asyncio.sleep(0.001)
        answered = [client for client in clients if await has_answer(client)]
        assert len(answered) >= 10
        assert {(await client.read()).status for client in answered} == {503}
        # An ordinary request is served meanwhile.
        client = await setup.send_request(post(Request_Id="77"))
        await (await setup.next_request()).answer(200, b"mine")
        assert (await client.read()).body == b"mine"


@async_test()
async def test_heads_of_very_many_short_fields_take_no_memory(tmp_path: Path) -> None:
    # The objects of a head of 32 KB with thousands of fields took 275 KB, and more than was counted.
    request_start = post(drop=("Content-Length",), body=b"")[:-2]
    request_start += b"".join(b"%x:\r\n" % i for i in range(3000))
    async with loopback_setup(tmp_path, max_buffer_bytes=1_000_000) as setup:
        budget = setup.listener.buffer_budget
        assert budget is not None
        clients = [await setup.send_request(request_start) for _ in range(40)]
        assert {(await client.read()).status for client in clients} == {400}
        assert budget.eviction_count == 0
        assert budget.total_bytes == 0
        assert budget.peak_bytes < 100_000


async def has_answer(client: StreamConnection) -> bool:
    """Return whether a byte arrives at the client within 10 ms."""
    try:
        async with asyncio.timeout(0.01):
            while not client.reader._buffer:  # type: ignore[attr-defined]
                await asyncio.sleep(0)
    except TimeoutError:
        return False
    return True


@async_test()
async def test_requests_in_flight_count_until_they_are_answered(tmp_path: Path) -> None:
    async with loopback_setup(tmp_path, max_buffer_bytes=100_000) as setup:
        budget = setup.listener.buffer_budget
        assert budget is not None
        first = await setup.send_request(post(body=b"x" * 60_000))
        message = await setup.next_request()
        assert 60_000 < budget.total_bytes < 70_000
        second = await setup.send_request(post(body=b"x" * 60_000, Request_Id="2"))
        assert (await second.read()).status == 503
        await message.answer(200, b"mine")
        assert (await first.read()).body == b"mine"
        assert budget.total_bytes == 0
        third = await setup.send_request(post(body=b"x" * 60_000, Request_Id="3"))
        await (await setup.next_request()).answer()
        assert (await third.read()).status == 200


@async_test()
async def test_answers_that_clients_do_not_read_are_given_up_when_the_budget_is_used_up(
    tmp_path: Path,
) -> None:
    """Clients send requests and never read the answers, which are as large as endpoints may send them."""
    async with loopback_setup(tmp_path, max_buffer_bytes=2_000_000) as setup:
        budget = setup.listener.buffer_budget
        assert budget is not None
        with contextlib.ExitStack() as sockets:
            for number in range(10):
                client = sockets.enter_context(socket.socket())
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                client.connect(("127.0.0.1", setup.port))
                client.sendall(post(NOT_IDEMPOTENT, Request_Id=f"{number}"))
                message = await setup.next_request()
                for connection in setup.listener.connections:
                    assert connection.transport is not None
                    agent_side = connection.transport.get_extra_info("socket")
                    agent_side.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                await message.answer(200, b"m" * 1_000_000)
                while setup.listener.open_request_ids:
                    await asyncio.sleep(0.001)
                assert budget.total_bytes <= budget.max_bytes
            assert budget.eviction_count >= 8


# The process


@async_test()
async def test_an_agent_stays_under_its_memory_limit_while_large_responses_arrive_together(
    tmp_path: Path,
) -> None:
    """Responses of 0.9 MB from sixty endpoints arrive in part and stop; the limit of the agent is 32 MB."""
    memory_limit_mb = 32
    async with started_peers(2) as (discovery, endpoint):
        document = config_doc(discovery.port, [member(f"s{i}", endpoint.port) for i in range(60)])
        document["limits"] = {"cores": 1.0, "memory_mb": memory_limit_mb, "sockets": 256}
        async with agent_process(tmp_path, document) as agent:

            async def call(number: int) -> None:
                client = await agent.client()
                await client.write(post(NOT_IDEMPOTENT, Request_Id=f"{number}", timeout_ms="3000"))
                answer = await client.read()
                assert answer.status in (500, 502, 503)
                client.close()

            async def respond_partway(message: Message) -> None:
                await message.connection.write(LARGE_RESPONSE_HEAD + b"m" * LARGE_BYTES)

            calls = [asyncio.create_task(call(number)) for number in range(60)]
            responses = []
            most_mb = 0.0
            while not all(task.done() for task in calls):
                while not endpoint.requests.empty():
                    responses.append(asyncio.create_task(respond_partway(endpoint.requests.get_nowait())))
                most_mb = max(most_mb, agent.private_memory_mb())
                await asyncio.sleep(0.001)
            await asyncio.gather(*calls)
            await asyncio.gather(*responses, return_exceptions=True)
            print(f"at most {most_mb:.1f} MB of private memory")
            assert most_mb < memory_limit_mb
            await agent.stop()
