"""How an exchange with an endpoint ends, and which connections are used again."""

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
LONG_US = 600_000_000  # no limit that a test reaches: longer than TEST_TIMEOUT_S
REQUEST = UpstreamRequest(b"POST", b"/api", [(b"Request-Id", b"1")], b"job")
OK = b"HTTP/1.1 200 OK\r\n"


class SteppedClock(Clock):
    """A clock that the test moves."""

    now_us = 1_000_000

    def now(self) -> int:
        return self.now_us


def upstream_of(
    port: int,
    idle_timeout_us: int = LONG_US,
    connect_timeout_us: int = 10_000_000,
    max_connections: int = 9,
    settle_time_us: int = 0,
    clock: Clock | None = None,
) -> Upstream:
    """An Upstream that knows one endpoint, "s", on a port of this machine."""
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
    result: asyncio.Future[ExchangeResult] = asyncio.get_running_loop().create_future()
    # A future raises if it is set twice, so this also asserts that an exchange ends once.
    return upstream.start_attempt(endpoint_id, request, timeout_us, result.set_result), result


def start(
    upstream: Upstream,
    request: UpstreamRequest = REQUEST,
    timeout_us: int = LONG_US,
    endpoint_id: str = "s",
) -> asyncio.Future[ExchangeResult]:
    return start_exchange(upstream, request, timeout_us, endpoint_id)[1]


async def serve_one(upstream: Upstream, peer: ScriptedServer) -> Message:
    """One exchange that succeeds; its connection may be reused."""
    result = start(upstream)
    message = await peer.requests.get()
    await message.answer()
    assert (await result).outcome is Outcome.OK
    return message


# Outcomes once the request is written


async def truncate_response(message: Message) -> None:
    await message.connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
    message.connection.close()


async def reset(message: Message) -> None:
    message.connection.reset()


async def close(message: Message) -> None:
    message.connection.close()


def write_raw(data: bytes) -> Callable[[Message], Awaitable[None]]:
    """The connection stays open after these bytes."""
    return lambda message: message.connection.write(data)


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
        (write_raw(OK + b"\r\nendless"), Outcome.ERROR),
        (write_raw(b"HTTP/1.1 100 Continue\r\n\r\n" * 99), Outcome.ERROR),
        (write_raw(b"HTTP/1.1 101 Switching Protocols\r\n\r\n"), Outcome.ERROR),
        (write_raw(b"HTTP/1.1 102 Wait\r\n\r\n" + OK + b"Content-Length: 0\r\n\r\n"), Outcome.OK),
    ],
)
@async_test()
async def test_outcome_after_the_last_byte_is_written(
    endpoint_does: Callable[[Message], Awaitable[None]], outcome: Outcome
) -> None:
    async with running_server() as peer:
        result = start(upstream_of(peer.port))
        await endpoint_does(await peer.requests.get())
        assert (await result).outcome is outcome


@async_test()
async def test_a_response_of_400_kb_is_served_complete() -> None:
    """Responses above 64 KiB were once treated as unusable, and their requests were rejected."""
    async with running_server() as peer:
        result_future = start(upstream_of(peer.port))
        body = bytes(range(256)) * 1600
        await (await peer.requests.get()).answer(200, body)
        result = await result_future
        assert result.outcome is Outcome.OK
        assert result.body == body


@pytest.mark.parametrize(
    "response_start",
    [
        b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ",
        b"Transfer-Encoding: chunked\r\n\r\n5;extension=",
        b"X-Header: ",
        b"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Trailer: ",
        b"Content-Length: 900000000\r\n\r\n",
        b"Transfer-Encoding: chunked\r\n\r\n35a4e900\r\n",
    ],
)
@async_test()
async def test_an_endless_response_is_given_up_within_a_bound(response_start: bytes) -> None:
    """An endpoint begins a response and never ends it: a header, a trailer, a chunk or a body goes on.

    Unbounded, the agent would hold all of it in memory. The exchange ends as an error, and the connection is
    closed and not reused.
    """
    async with asyncio.timeout(20), running_server() as peer:
        upstream = upstream_of(peer.port)
        result = start(upstream)
        message = await peer.requests.get()
        await message.connection.write(OK + response_start)
        sent_bytes = 0
        with contextlib.suppress(ConnectionError):
            while not result.done() and sent_bytes < 16_000_000:
                await message.connection.write(b"x" * 65536)
                sent_bytes += 65536
        assert (await result).outcome is Outcome.ERROR
        assert sent_bytes < 8_000_000
        await message.connection.wait_for_close()
        await serve_one(upstream, peer)
        assert peer.connection_count == 2


@async_test()
async def test_a_timeout_closes_the_connection_before_it_is_reported() -> None:
    """A request times out at one endpoint, and its next attempt goes to another.

    Were the first connection closed only later, both endpoints would work on the request at once. When the
    end is reported, the kernel of the first endpoint must know of the close.
    """
    async with running_server() as peer:
        upstream = upstream_of(peer.port)
        result_future: asyncio.Future[ExchangeResult] = asyncio.get_running_loop().create_future()
        messages: list[Message] = []
        was_closed_at_end: list[bool] = []

        def on_end(result: ExchangeResult) -> None:
            was_closed_at_end.append(messages[0].connection.peer_has_closed())
            result_future.set_result(result)

        upstream.start_attempt("s", REQUEST, 1_000_000, on_end)
        messages.append(await peer.requests.get())
        assert (await result_future).outcome is Outcome.TIMEOUT
        assert was_closed_at_end == [True]
        await messages[0].connection.wait_for_close()


# Outcomes before that


@async_test()
async def test_a_refused_connection_is_a_failed_connect() -> None:
    with socket.socket() as bound:  # bound and not listening: every connection is refused
        bound.bind(("127.0.0.1", 0))
        assert (await start(upstream_of(bound.getsockname()[1]))).outcome is Outcome.CONNECT_FAILED


@pytest.mark.parametrize(("connect_timeout_us", "timeout_us"), [(30_000, 60_000_000), (60_000_000, 30_000)])
@async_test()
async def test_a_connection_that_is_never_established_is_a_failed_connect(
    connect_timeout_us: int, timeout_us: int
) -> None:
    """An endpoint no longer accepts and its queue is full: the connect hangs until one of the timeouts."""
    with contextlib.ExitStack() as sockets:
        listener = sockets.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(8):
            queued = sockets.enter_context(socket.socket())
            queued.setblocking(False)
            queued.connect_ex(listener.getsockname())
        upstream = upstream_of(listener.getsockname()[1], connect_timeout_us=connect_timeout_us)
        result = start(upstream, timeout_us=timeout_us)
        assert (await result).outcome is Outcome.CONNECT_FAILED


@async_test()
async def test_a_connection_lost_before_the_last_byte_is_written_is_a_failed_connect() -> None:
    """An endpoint resets the connection while the request is being written, so it surely has not begun."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(10)
        writer.transport.abort()

    async with await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024) as server:
        port = server.sockets[0].getsockname()[1]
        # More than all buffers between the two can hold.
        request = UpstreamRequest(b"POST", b"/api", [(b"Request-Id", b"1")], b"x" * 64 * 1024 * 1024)
        assert (await start(upstream_of(port), request)).outcome is Outcome.CONNECT_FAILED


@async_test()
async def test_a_request_that_exceeds_its_write_limit_is_never_written_completely() -> None:
    """An endpoint accepts and reads nothing, until the time is over in which it would drop a repeat.

    The exchange ends as not sent. The endpoint must not get the rest of the request afterwards.
    """
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        request = UpstreamRequest(b"POST", b"/api", [(b"Request-Id", b"1")], b"x" * 50_000_000)
        exchange, result = start_exchange(upstream_of(listener.getsockname()[1]), request)
        accepted, _ = await loop.sock_accept(listener)
        with accepted:
            exchange.write_within(50_000)
            exchange.write_within(60_000_000)  # a later limit does not lift the earlier one
            assert (await result).outcome is Outcome.NOT_SENT
            received_bytes = 0
            with contextlib.suppress(ConnectionError):
                while data := await loop.sock_recv(accepted, 1 << 20):
                    received_bytes += len(data)
            assert received_bytes < 50_000_000


@async_test()
async def test_a_write_limit_does_not_end_what_is_written() -> None:
    async with running_server() as peer:
        exchange, result = start_exchange(upstream_of(peer.port))
        message = await peer.requests.get()
        exchange.write_within(1)
        await asyncio.sleep(0.02)
        await message.answer()
        assert (await result).outcome is Outcome.OK


@async_test()
async def test_nothing_is_sent_to_an_endpoint_that_drains_while_the_connection_is_established() -> None:
    async with running_server() as peer:
        upstream = upstream_of(peer.port)
        result = start(upstream)
        upstream.apply(endpoint_list(member("s", peer.port, "DRAINING")))
        assert (await result).outcome is Outcome.NOT_SENT
        assert peer.requests.empty()


@async_test()
async def test_running_out_of_descriptors_is_no_fault_of_the_endpoint(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """This machine has no descriptor left. Counted as failed connects, good endpoints would be ejected."""

    async def fail_to_connect(*_: object) -> None:
        raise OSError(errno.EMFILE, "too many open files")

    async with running_server() as peer:
        upstream = upstream_of(peer.port)
        monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", fail_to_connect)
        assert (await start(upstream)).outcome is Outcome.NOT_SENT


@pytest.mark.parametrize("has_idle_connection", [False, True])
@async_test()
async def test_a_fault_while_a_request_is_written_ends_its_exchange(
    monkeypatch: pytest.MonkeyPatch, has_idle_connection: bool
) -> None:
    """Writing raises. An exchange without an end would leave its request without an answer."""

    def send(self: Connection, data: bytes) -> None:
        raise ValueError("no such header")

    async with running_server() as peer:
        upstream = upstream_of(peer.port)
        if has_idle_connection:
            await serve_one(upstream, peer)
        monkeypatch.setattr(Connection, "send", send)
        # It is not known then whether the request has run.
        assert (await start(upstream)).outcome is Outcome.RESET


# Which connections are reused


@async_test()
async def test_a_connection_that_the_endpoint_has_closed_is_not_reused() -> None:
    """The endpoint closes an idle connection, and the next request comes before the agent has read that.

    Sent on this connection, the request would be lost, and it would not be known whether it has run.
    """
    async with running_server() as peer:
        upstream = upstream_of(peer.port)
        message = await serve_one(upstream, peer)
        message.connection.shut_down_socket()
        # No cycle of the event loop in between: the close is in the kernel, and has not been read.
        await serve_one(upstream, peer)
        assert peer.connection_count == 2


@pytest.mark.parametrize("excess", [OK + b"Content-Length: 5\r\n\r\nother", b"noise"])
@pytest.mark.parametrize("is_separate", [False, True])
@async_test()
async def test_bytes_that_follow_a_response_are_no_response_to_the_next_request(
    excess: bytes, is_separate: bool
) -> None:
    """An endpoint sends more than its response, at once or while the connection is idle.

    Were the connection reused, the next request would be answered with those bytes.
    """
    async with running_server() as peer:
        upstream = upstream_of(peer.port)
        result = start(upstream)
        message = await peer.requests.get()
        response = OK + b"Content-Length: 4\r\n\r\ndone"
        await message.connection.write(response if is_separate else response + excess)
        assert (await result).body == b"done"
        if is_separate:  # the connection is idle by now
            await message.connection.write(excess)
        await message.connection.wait_for_close()
        result = start(upstream)
        await (await peer.requests.get()).answer(200, b"mine")
        assert (await result).body == b"mine"
        assert peer.connection_count == 2


@async_test()
async def test_a_connection_is_not_reused_before_it_has_settled() -> None:
    """A duplicate of a response is still on its way when the next request arrives.

    On the same connection, the duplicate would be read as the response to that request.
    """
    async with running_server() as peer:
        upstream = upstream_of(peer.port, settle_time_us=60_000_000)
        first = await serve_one(upstream, peer)
        result = start(upstream)
        message = await peer.requests.get()
        await first.connection.write(OK + b"Content-Length: 4\r\n\r\ncopy")
        await first.connection.wait_for_close()
        await message.answer(200, b"mine")
        assert (await result).body == b"mine"
        assert peer.connection_count == 2


@async_test()
async def test_a_duplicate_response_some_milliseconds_late_reaches_no_other_request() -> None:
    """A duplicate arrives 6 ms after its response, and the next request before it.

    The time for which the agent lets a connection settle by default is longer than that. Once it is over, the
    connection of the second request is reused.
    """
    async with asyncio.timeout(20), running_server() as peer:
        clock = SteppedClock()
        pool = ConnectionPool(clock, 10_000_000, 60_000_000, 9)
        upstream = Upstream(clock, LOAD_REPORT_FIELDS, pool)
        upstream.apply(endpoint_list(member("s", peer.port)))
        first = await serve_one(upstream, peer)
        clock.now_us += 6_000
        result = start(upstream)
        message = await peer.requests.get()
        await first.connection.write(OK + b"Content-Length: 4\r\n\r\ncopy")
        await first.connection.wait_for_close()
        await message.answer(200, b"mine")
        assert (await result).body == b"mine"
        assert peer.connection_count == 2
        clock.now_us += 40_000
        await serve_one(upstream, peer)
        assert peer.connection_count == 2


@async_test()
async def test_an_idle_connection_is_closed_before_the_endpoint_does_it() -> None:
    async with running_server() as peer:
        upstream = upstream_of(peer.port, idle_timeout_us=50_000)
        message = await serve_one(upstream, peer)
        await message.connection.wait_for_close()


@pytest.mark.parametrize(
    ("phase", "up_since_ms"), [("DRAINING", 0), ("DELETED", 0), ("SERVING", 1_700_000_000_000)]
)
@async_test()
async def test_an_endpoint_that_drains_or_is_removed_or_restarts_loses_its_idle_connections(
    phase: str, up_since_ms: int
) -> None:
    async with running_server() as peer:
        upstream = upstream_of(peer.port)
        message = await serve_one(upstream, peer)
        upstream.apply(endpoint_list(member("s", peer.port, phase, up_since_ms)))
        await message.connection.wait_for_close()


# The limit on connections


@async_test()
async def test_connections_that_are_being_opened_count_against_the_limit() -> None:
    """Many requests arrive at once: were only established connections counted, all would open one."""
    async with running_server() as peer:
        upstream = upstream_of(peer.port, max_connections=1)
        results = [start(upstream) for _ in range(3)]
        assert [(await result).outcome for result in results[1:]] == [Outcome.NOT_SENT] * 2
        await (await peer.requests.get()).answer()
        assert (await results[0]).outcome is Outcome.OK
        assert peer.connection_count == 1


@async_test()
async def test_the_connection_idle_for_longest_is_closed_for_a_new_one() -> None:
    async with running_server() as peer, running_server() as other:
        upstream = upstream_of(peer.port, max_connections=1)
        message = await serve_one(upstream, peer)
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
async def test_load_reports_come_with_any_response() -> None:
    async with running_server() as peer:
        result = start(upstream_of(peer.port))
        message = await peer.requests.get()
        await message.answer(500, b"", Server_Load="inflight=7,queue=2,util=0.61")
        assert (await result).load_report == (7.0, 2.0, 0.61)
