"""Tests of the outcome of an exchange with an endpoint, and of which connections are reused."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Awaitable, Callable

import pytest

from nickelmount.agent.clock import Clock
from nickelmount.agent.connection import Connection
from nickelmount.agent.connection_pool import ConnectionPool
from nickelmount.agent.upstream import Upstream
from nickelmount.agent.upstream_exchange import Exchange, ExchangeResult, UpstreamRequest
from nickelmount.balancer.events import Outcome
from nickelmount.protocol.load_report import parse_load_report
from tests.async_test import async_test
from tests.loopback import Message, ScriptedServer, endpoint_list, member, running_server

LOAD_REPORT_FIELDS = ("inflight", "queue", "util")
LONG_US = 600_000_000  # A time limit that no test reaches, because async_test ends each test before.
REQUEST = UpstreamRequest(b"POST", b"/api", [(b"Request-Id", b"1")], b"job")
OK = b"HTTP/1.1 200 OK\r\n"
GZIP_THEN_CHUNKED_FIELDS = b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"


class ManualClock(Clock):
    """A clock that only the test puts forward."""

    now_us = 1_000_000

    def now(self) -> int:
        return self.now_us


def upstream_with_endpoint(
    port: int,
    idle_timeout_us: int = LONG_US,
    connect_timeout_us: int = 10_000_000,
    max_connections: int = 9,
    settle_time_us: int = 0,
    clock: Clock | None = None,
) -> Upstream:
    """Return an Upstream that lists one endpoint, "s", on a loopback port."""
    clock = clock or Clock()
    pool = ConnectionPool(clock, connect_timeout_us, idle_timeout_us, max_connections, settle_time_us)
    upstream = Upstream(clock, LOAD_REPORT_FIELDS, pool)
    upstream.apply(endpoint_list(member("s", port)))
    return upstream


def start_exchange(
    upstream: Upstream,
    request: UpstreamRequest = REQUEST,
    timeout_us: int = LONG_US,
    endpoint_id: str = "s",
) -> tuple[Exchange, asyncio.Future[ExchangeResult]]:
    """Start an exchange, and return it with a future of its result."""
    result: asyncio.Future[ExchangeResult] = asyncio.get_running_loop().create_future()
    # A future raises an error if its result is set twice, so this also asserts that an exchange ends once.
    return upstream.start_attempt(endpoint_id, request, timeout_us, result.set_result), result


def start(
    upstream: Upstream,
    request: UpstreamRequest = REQUEST,
    timeout_us: int = LONG_US,
    endpoint_id: str = "s",
) -> asyncio.Future[ExchangeResult]:
    """Start an exchange, and return a future of its result."""
    return start_exchange(upstream, request, timeout_us, endpoint_id)[1]


async def serve_one(upstream: Upstream, server: ScriptedServer) -> Message:
    """Run one successful exchange, and return its request; the connection may be reused afterwards."""
    result = start(upstream)
    message = await server.requests.get()
    await message.answer()
    assert (await result).outcome is Outcome.OK
    return message


# Outcomes after the request has been written


async def truncate_response(message: Message) -> None:
    await message.connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
    message.connection.close()


async def reset(message: Message) -> None:
    message.connection.reset()


async def close(message: Message) -> None:
    message.connection.close()


def write_raw(data: bytes) -> Callable[[Message], Awaitable[None]]:
    """Return a behavior that writes these bytes and leaves the connection open."""
    return lambda message: message.connection.write(data)


def write_and_close(data: bytes) -> Callable[[Message], Awaitable[None]]:
    """Return a behavior that writes these bytes and closes the connection in order."""

    async def behavior(message: Message) -> None:
        await message.connection.write(data)
        message.connection.close()

    return behavior


def write_and_reset(data: bytes) -> Callable[[Message], Awaitable[None]]:
    """Return a behavior that writes these bytes and resets the connection, also if nothing is unread."""

    async def behavior(message: Message) -> None:
        await message.connection.write(data)
        message.connection.reset_in_kernel()

    return behavior


def respond(status: int, **headers: str) -> Callable[[Message], Awaitable[None]]:
    return lambda message: message.answer(status, b"", **headers)


@pytest.mark.parametrize(
    ("endpoint_does", "outcome"),
    [
        (respond(200), Outcome.OK),
        (respond(500), Outcome.ERROR),
        (respond(503), Outcome.ERROR),
        (respond(400), Outcome.ERROR),
        (respond(500, Not_Started="1"), Outcome.ERROR),
        (respond(503, Not_Started="0"), Outcome.ERROR),
        (respond(503, Not_Started="1"), Outcome.REJECTED),
        (respond(504, Not_Started="1"), Outcome.REJECTED),
        (truncate_response, Outcome.RESET),
        (reset, Outcome.RESET),
        (close, Outcome.RESET),
        (write_raw(b"what?\r\n\r\n"), Outcome.ERROR),
        (write_raw(b"HTTP/1.1 200 OK\r\nX: " + b"x" * 40_000), Outcome.ERROR),
        (write_raw(OK + b"Content-Length: 3000000000\r\n\r\nx"), Outcome.ERROR),
        (write_raw(OK + b"Content-Length: -4\r\n\r\ndone"), Outcome.ERROR),
        (write_raw(OK + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\ndone"), Outcome.ERROR),
        (write_raw(OK + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), Outcome.ERROR),
        (write_raw(OK + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n"), Outcome.ERROR),
        (
            write_raw(OK + b"Transfer-Encoding: chunked\r\n\r\n111700\r\n" + b"x" * 1_100_000),
            Outcome.ERROR,
        ),
        (write_raw(OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nzzzz\r\n0\r\n\r\n"), Outcome.ERROR),
        (write_raw(OK + GZIP_THEN_CHUNKED_FIELDS + b"\r\n4\r\nzzzz\r\n0\r\n\r\n"), Outcome.ERROR),
        (write_raw(OK + b"Transfer-Encoding: gzip\r\n\r\nzzzz"), Outcome.ERROR),
        (write_raw(OK + b"Transfer-Encoding: Chunked \r\n\r\n0\r\n\r\n"), Outcome.OK),
        (write_raw(OK + b"\r\n" + b"x" * 1_100_000), Outcome.ERROR),
        (write_and_close(OK + b"\r\nwhole"), Outcome.OK),
        (write_and_close(OK + b"Connection: close\r\n\r\nwhole"), Outcome.OK),
        (write_and_close(OK + b"Connection: keep-alive\r\n\r\nwhole"), Outcome.OK),
        (write_and_close(b"HTTP/1.0 200 OK\r\n\r\nwhole"), Outcome.OK),
        (write_and_close(b"HTTP/1.1 503 X\r\nNot-Started: 1\r\n\r\nfull"), Outcome.REJECTED),
        (write_and_close(b"HTTP/1.1 500 X\r\n\r\nfailed"), Outcome.ERROR),
        (write_and_close(OK), Outcome.RESET),
        (write_and_close(OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"), Outcome.RESET),
        (write_and_reset(OK + b"\r\nwhole"), Outcome.RESET),
        (write_and_reset(OK + b"Connection: close\r\n\r\nwhole"), Outcome.RESET),
        (write_and_reset(OK + b"\r\n"), Outcome.RESET),
        (write_raw(b"HTTP/1.1 100 Continue\r\n\r\n" * 99), Outcome.ERROR),
        (write_raw(b"HTTP/1.1 101 Switching Protocols\r\n\r\n"), Outcome.ERROR),
        (write_raw(b"HTTP/1.1 102 Wait\r\n\r\n" + OK + b"Content-Length: 0\r\n\r\n"), Outcome.OK),
    ],
)
@async_test()
async def test_outcome_after_the_last_byte_is_written(
    endpoint_does: Callable[[Message], Awaitable[None]], outcome: Outcome
) -> None:
    async with running_server() as server:
        result = start(upstream_with_endpoint(server.port))
        await endpoint_does(await server.requests.get())
        assert (await result).outcome is outcome


@async_test()
async def test_a_response_of_400_kb_is_served_complete() -> None:
    """Responses above 64 KiB were once treated as unusable, so that their requests were rejected."""
    async with running_server() as server:
        result_future = start(upstream_with_endpoint(server.port))
        body = bytes(range(256)) * 1600
        await (await server.requests.get()).answer(200, body)
        result = await result_future
        assert result.outcome is Outcome.OK
        assert result.body == body


PIECES = (b"HTTP/1.1 200 OK\r\nServer-", b"Load: inflight=7,queue=2,util=0.61\r\n\r\n", b"one ", b"t", b"wo")


@pytest.mark.parametrize("piece_count", range(len(PIECES) + 1))
@pytest.mark.parametrize("is_reset", [False, True])
@async_test()
async def test_a_response_without_a_length_is_complete_if_and_only_if_the_close_is_orderly(
    piece_count: int, is_reset: bool
) -> None:
    """Responses whose end is the end of the connection were dropped, so that their requests got 502.

    A reset is no end: the body may have been truncated. The response arrives in pieces.
    """
    async with running_server() as server:
        upstream = upstream_with_endpoint(server.port)
        result_future = start(upstream)
        message = await server.requests.get()
        for piece in PIECES[:piece_count]:
            await message.connection.write(piece)
            await asyncio.sleep(0.002)  # The agent reads each piece separately.
        if is_reset:
            message.connection.reset_in_kernel()
        else:
            message.connection.close()
        result = await result_future
        if is_reset or piece_count < 2:  # The head has two pieces.
            assert (result.outcome, result.body) == (Outcome.RESET, b"")
        else:
            assert (result.outcome, result.body) == (Outcome.OK, b"".join(PIECES[2:piece_count]))
            assert result.load_report == (7.0, 2.0, 0.61)
        await serve_one(upstream, server)
        assert server.connection_count == 2


@async_test()
async def test_a_response_without_a_length_that_never_ends_times_out() -> None:
    async with running_server() as server:
        result = start(upstream_with_endpoint(server.port), timeout_us=50_000)
        message = await server.requests.get()
        await message.connection.write(OK + b"\r\nendless")
        assert (await result).outcome is Outcome.TIMEOUT
        await message.connection.wait_for_close()


@pytest.mark.parametrize(
    "response_start",
    [
        b"\r\n",
        b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ",
        b"Transfer-Encoding: chunked\r\n\r\n5;extension=",
        b"X-Header: ",
        b"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Trailer: ",
        b"Content-Length: 900000000\r\n\r\n",
        b"Transfer-Encoding: chunked\r\n\r\n35a4e900\r\n",
    ],
)
@async_test()
async def test_an_endless_response_is_aborted_at_a_size_limit(response_start: bytes) -> None:
    """An endpoint sends a response with a header, a trailer, a chunk or a body that never ends.

    Without a limit, the agent would hold all of it in memory. The exchange must end as an error, and its
    connection must be closed and not reused.
    """
    async with asyncio.timeout(20), running_server() as server:
        upstream = upstream_with_endpoint(server.port)
        result = start(upstream)
        message = await server.requests.get()
        await message.connection.write(OK + response_start)
        sent_bytes = 0
        with contextlib.suppress(ConnectionError):
            while not result.done() and sent_bytes < 16_000_000:
                await message.connection.write(b"x" * 65536)
                sent_bytes += 65536
        assert (await result).outcome is Outcome.ERROR
        assert sent_bytes < 8_000_000
        await message.connection.wait_for_close()
        await serve_one(upstream, server)
        assert server.connection_count == 2


@async_test()
async def test_a_timeout_closes_the_connection_before_it_is_reported() -> None:
    """A request times out at one endpoint, and its next attempt is sent to another.

    If the first connection was closed only later, both endpoints would work on the request at the same time.
    Therefore the kernel of the first endpoint must know of the close when the timeout is reported.
    """
    async with running_server() as server:
        upstream = upstream_with_endpoint(server.port)
        result_future: asyncio.Future[ExchangeResult] = asyncio.get_running_loop().create_future()
        messages: list[Message] = []
        was_closed_at_end: list[bool] = []

        def on_end(result: ExchangeResult) -> None:
            was_closed_at_end.append(messages[0].connection.peer_has_closed())
            result_future.set_result(result)

        upstream.start_attempt("s", REQUEST, 1_000_000, on_end)
        messages.append(await server.requests.get())
        assert (await result_future).outcome is Outcome.TIMEOUT
        assert was_closed_at_end == [True]
        await messages[0].connection.wait_for_close()


# Outcomes before the request has been written


@async_test()
async def test_a_refused_connection_is_a_failed_connect() -> None:
    with socket.socket() as bound:  # Every connection is refused, because the socket does not listen.
        bound.bind(("127.0.0.1", 0))
        assert (await start(upstream_with_endpoint(bound.getsockname()[1]))).outcome is Outcome.CONNECT_FAILED


@pytest.mark.parametrize(("connect_timeout_us", "timeout_us"), [(30_000, 60_000_000), (60_000_000, 30_000)])
@async_test()
async def test_a_connection_that_is_never_established_is_a_failed_connect(
    connect_timeout_us: int, timeout_us: int
) -> None:
    """An endpoint no longer accepts connections, and its accept queue is full.

    The connect gets no response until either the connect timeout or the timeout of the attempt is over.
    """
    with contextlib.ExitStack() as sockets:
        listener = sockets.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(8):
            queued = sockets.enter_context(socket.socket())
            queued.setblocking(False)
            queued.connect_ex(listener.getsockname())
        upstream = upstream_with_endpoint(listener.getsockname()[1], connect_timeout_us=connect_timeout_us)
        result = start(upstream, timeout_us=timeout_us)
        assert (await result).outcome is Outcome.CONNECT_FAILED


@async_test()
async def test_a_connection_lost_before_the_last_byte_is_written_is_a_failed_connect() -> None:
    """An endpoint resets the connection while a request is being written, so the request cannot have run."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(10)
        writer.transport.abort()

    async with await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024) as server:
        port = server.sockets[0].getsockname()[1]
        # The body is larger than all buffers between the agent and the endpoint together.
        request = UpstreamRequest(b"POST", b"/api", [(b"Request-Id", b"1")], b"x" * 64 * 1024 * 1024)
        assert (await start(upstream_with_endpoint(port), request)).outcome is Outcome.CONNECT_FAILED


@async_test()
async def test_a_request_that_exceeds_its_write_limit_is_never_written_completely() -> None:
    """An endpoint accepts a connection and reads nothing until the dedup window is over.

    After that, the endpoint would no longer drop a repeat. The exchange must end as NOT_SENT, and the
    endpoint must not receive the rest of the request later.
    """
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        request = UpstreamRequest(b"POST", b"/api", [(b"Request-Id", b"1")], b"x" * 50_000_000)
        exchange, result = start_exchange(upstream_with_endpoint(listener.getsockname()[1]), request)
        accepted, _ = await loop.sock_accept(listener)
        with accepted:
            exchange.write_within(50_000)
            exchange.write_within(60_000_000)  # The earlier limit still applies.
            assert (await result).outcome is Outcome.NOT_SENT
            received_bytes = 0
            with contextlib.suppress(ConnectionError):
                while data := await loop.sock_recv(accepted, 1 << 20):
                    received_bytes += len(data)
            assert received_bytes < 50_000_000


@async_test()
async def test_a_write_limit_does_not_end_an_exchange_whose_request_is_written() -> None:
    async with running_server() as server:
        exchange, result = start_exchange(upstream_with_endpoint(server.port))
        message = await server.requests.get()
        exchange.write_within(1)
        await asyncio.sleep(0.02)
        await message.answer()
        assert (await result).outcome is Outcome.OK


@async_test()
async def test_nothing_is_sent_to_an_endpoint_that_drains_while_the_connection_is_established() -> None:
    async with running_server() as server:
        upstream = upstream_with_endpoint(server.port)
        result = start(upstream)
        upstream.apply(endpoint_list(member("s", server.port, "DRAINING")))
        assert (await result).outcome is Outcome.NOT_SENT
        assert server.requests.empty()


@async_test()
async def test_running_out_of_file_descriptors_is_not_a_failed_connect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """This machine has no file descriptor left.

    If that counted as a failed connect, healthy endpoints would be ejected as outliers.
    """

    async def fail_to_connect(*_: object) -> None:
        raise OSError(errno.EMFILE, "too many open files")

    async with running_server() as server:
        upstream = upstream_with_endpoint(server.port)
        monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", fail_to_connect)
        assert (await start(upstream)).outcome is Outcome.NOT_SENT


@pytest.mark.parametrize("has_idle_connection", [False, True])
@async_test()
async def test_an_exception_while_a_request_is_written_ends_its_exchange(
    monkeypatch: pytest.MonkeyPatch, has_idle_connection: bool
) -> None:
    """The method that writes the request raises an exception.

    If the exchange did not end, its request would get no answer.
    """

    def send(self: Connection, data: bytes) -> None:
        raise ValueError("no such header")

    async with running_server() as server:
        upstream = upstream_with_endpoint(server.port)
        if has_idle_connection:
            await serve_one(upstream, server)
        monkeypatch.setattr(Connection, "send", send)
        # The outcome is RESET, because it is unknown whether the request has run.
        assert (await start(upstream)).outcome is Outcome.RESET


# Which connections are reused


@async_test()
async def test_a_connection_that_the_endpoint_has_closed_is_not_reused() -> None:
    """The endpoint closes an idle connection, and a request arrives before the agent has read the close.

    If the request was sent on this connection, it would be lost, and it would be unknown whether it has run.
    """
    async with running_server() as server:
        upstream = upstream_with_endpoint(server.port)
        message = await serve_one(upstream, server)
        message.connection.shut_down_socket()
        # No iteration of the event loop has passed, so the close is in the kernel and has not been read.
        await serve_one(upstream, server)
        assert server.connection_count == 2


@pytest.mark.parametrize("excess", [OK + b"Content-Length: 5\r\n\r\nother", b"noise"])
@pytest.mark.parametrize("is_separate", [False, True])
@async_test()
async def test_bytes_that_follow_a_response_are_not_read_as_the_next_response(
    excess: bytes, is_separate: bool
) -> None:
    """An endpoint sends excess bytes, together with its response or while the connection is idle.

    If the connection was reused, the next request would be answered with those bytes.
    """
    async with running_server() as server:
        upstream = upstream_with_endpoint(server.port)
        result = start(upstream)
        message = await server.requests.get()
        response = OK + b"Content-Length: 4\r\n\r\ndone"
        await message.connection.write(response if is_separate else response + excess)
        assert (await result).body == b"done"
        if is_separate:  # The connection is already idle.
            await message.connection.write(excess)
        await message.connection.wait_for_close()
        result = start(upstream)
        await (await server.requests.get()).answer(200, b"mine")
        assert (await result).body == b"mine"
        assert server.connection_count == 2


@async_test()
async def test_a_connection_is_not_reused_before_its_settle_time_is_over() -> None:
    """A duplicate of a response is still on its way when the next request arrives.

    If that request was sent on the same connection, the duplicate would be read as its response.
    """
    async with running_server() as server:
        upstream = upstream_with_endpoint(server.port, settle_time_us=60_000_000)
        first = await serve_one(upstream, server)
        result = start(upstream)
        message = await server.requests.get()
        await first.connection.write(OK + b"Content-Length: 4\r\n\r\ncopy")
        await first.connection.wait_for_close()
        await message.answer(200, b"mine")
        assert (await result).body == b"mine"
        assert server.connection_count == 2


@async_test()
async def test_a_duplicate_response_that_is_6_ms_late_reaches_no_other_request() -> None:
    """A duplicate arrives 6 ms after its response, and the next request arrives before the duplicate.

    The default settle time of a connection is longer than 6 ms, so the next request must use another
    connection. That one is reused after its settle time.
    """
    async with asyncio.timeout(20), running_server() as server:
        clock = ManualClock()
        pool = ConnectionPool(clock, 10_000_000, 60_000_000, 9)
        upstream = Upstream(clock, LOAD_REPORT_FIELDS, pool)
        upstream.apply(endpoint_list(member("s", server.port)))
        first = await serve_one(upstream, server)
        clock.now_us += 6_000
        result = start(upstream)
        message = await server.requests.get()
        await first.connection.write(OK + b"Content-Length: 4\r\n\r\ncopy")
        await first.connection.wait_for_close()
        await message.answer(200, b"mine")
        assert (await result).body == b"mine"
        assert server.connection_count == 2
        clock.now_us += 40_000
        await serve_one(upstream, server)
        assert server.connection_count == 2


@async_test()
async def test_an_idle_connection_is_closed_before_the_endpoint_closes_it() -> None:
    async with running_server() as server:
        upstream = upstream_with_endpoint(server.port, idle_timeout_us=50_000)
        message = await serve_one(upstream, server)
        await message.connection.wait_for_close()


@pytest.mark.parametrize(
    ("phase", "up_since_ms"), [("DRAINING", 0), ("DELETED", 0), ("SERVING", 1_700_000_000_000)]
)
@async_test()
async def test_an_endpoint_that_drains_or_is_removed_or_restarts_loses_its_idle_connections(
    phase: str, up_since_ms: int
) -> None:
    async with running_server() as server:
        upstream = upstream_with_endpoint(server.port)
        message = await serve_one(upstream, server)
        upstream.apply(endpoint_list(member("s", server.port, phase, up_since_ms)))
        await message.connection.wait_for_close()


# The limit on connections


@async_test()
async def test_connections_that_are_being_opened_count_against_the_limit() -> None:
    """Several requests arrive at the same time.

    If only established connections counted, each request would open one.
    """
    async with running_server() as server:
        upstream = upstream_with_endpoint(server.port, max_connections=1)
        results = [start(upstream) for _ in range(3)]
        assert [(await result).outcome for result in results[1:]] == [Outcome.NOT_SENT] * 2
        await (await server.requests.get()).answer()
        assert (await results[0]).outcome is Outcome.OK
        assert server.connection_count == 1


@async_test()
async def test_at_the_limit_the_longest_idle_connection_is_closed_for_a_new_one() -> None:
    async with running_server() as server, running_server() as other:
        upstream = upstream_with_endpoint(server.port, max_connections=1)
        message = await serve_one(upstream, server)
        upstream.apply(endpoint_list(member("t", other.port)))
        result = start(upstream, endpoint_id="t")
        await message.connection.wait_for_close()
        await (await other.requests.get()).answer()
        assert (await result).outcome is Outcome.OK


# Load reports


@pytest.mark.parametrize(
    ("text", "report"),
    [
        ("inflight=7,queue=2,util=0.61", (7.0, 2.0, 0.61)),
        ("util=1,queue=1,inflight=3,new=9", (3.0, 1.0, 1.0)),
        ("inflight=7,queue=2", ()),
        ("inflight=many,queue=2,util=0", ()),
        ("inflight=nan,queue=2,util=0", ()),
        ("inflight=-1,queue=0,util=0", ()),
        ("inflight=inf,queue=0,util=0", ()),
        ("", ()),
        (None, ()),
        ("x", ()),
    ],
)
def test_a_malformed_load_report_is_no_load_report(text: str | None, report: tuple[float, ...]) -> None:
    assert parse_load_report(text, LOAD_REPORT_FIELDS) == report


@async_test()
async def test_a_load_report_is_read_from_any_response() -> None:
    async with running_server() as server:
        result = start(upstream_with_endpoint(server.port))
        message = await server.requests.get()
        await message.answer(500, b"", Server_Load="inflight=7,queue=2,util=0.61")
        assert (await result).load_report == (7.0, 2.0, 0.61)
