"""Input that costs much processor time to parse: it must not hold up the requests of other clients."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from pathlib import Path

import pytest
from httptools import HttpRequestParser

from nickelmount.agent import http_reader
from nickelmount.agent.connection import MAX_PARTS_PER_READ
from nickelmount.agent.connection_pool import PooledConnection
from nickelmount.agent.downstream import ClientConnection
from nickelmount.agent.http_message import HttpMessage
from nickelmount.agent.http_reader import MAX_FIELDS, HttpReader
from nickelmount.agent.input_scheduler import InputScheduler
from tests.agent_process import AgentProcess, agent_process, started_peers
from tests.async_test import async_test
from tests.loopback import (
    NOT_IDEMPOTENT,
    config_doc,
    loopback_setup,
    member,
    post,
)
from tests.ordinary_clients import OrdinaryClients, answer_all

CHUNKED_HEAD = post(drop=("Content-Length",), body=b"", Transfer_Encoding="chunked")
SHORT_REQUEST = b"GET / HTTP/1.1\r\n\r\n"
EXPENSIVE_INPUT = {
    "many requests at once": SHORT_REQUEST * 16_000,
    "chunks of one byte": CHUNKED_HEAD + b"1\r\nx\r\n" * 63_000,
    "many header fields": post()[: -len(b"\r\njob")] + b"".join(b"%x:\r\n" % i for i in range(4_000)),
    "many trailer fields": CHUNKED_HEAD + b"0\r\n" + b"a:\r\n" * 60_000,
}

BAD_CLIENTS = 100
WAVES = 2


def field_lines(count: int) -> bytes:
    return b"".join(b"x%d: 1\r\n" % i for i in range(count))


# The reader


def test_a_reader_stops_behind_the_first_of_many_messages(monkeypatch: pytest.MonkeyPatch) -> None:
    # All of 14,000 requests that one read brought were parsed before anything else was done.
    built: list[HttpMessage] = []

    def build() -> HttpMessage:
        built.append(HttpMessage())
        return built[-1]

    monkeypatch.setattr(http_reader, "HttpMessage", build)
    reader = HttpReader(HttpRequestParser, 0)
    message = reader.feed(SHORT_REQUEST * 14_000)
    assert built == [message]
    assert reader.error is not None
    assert reader.incomplete is None
    assert reader.feed(SHORT_REQUEST) is None


@pytest.mark.parametrize("rest", [SHORT_REQUEST, b"G", b"noise", b"\r\n\r\nG"])
def test_bytes_behind_a_message_are_an_error(rest: bytes) -> None:
    # The first part of a second message was kept, and read as the beginning of the next one.
    reader = HttpReader(HttpRequestParser, 0)
    assert reader.feed(SHORT_REQUEST + rest) is not None
    assert reader.error is not None


def test_line_ends_behind_a_message_are_no_error() -> None:
    reader = HttpReader(HttpRequestParser, 0)
    for _ in range(3):
        assert reader.feed(SHORT_REQUEST + b"\r\n\r\n") is not None
        assert reader.error is None


@pytest.mark.parametrize("fields_in_trailer", [0, 1, MAX_FIELDS // 2])
def test_a_message_may_have_so_many_fields_and_no_more(fields_in_trailer: int) -> None:
    # Heads and trailers of thousands of short fields took 4 to 10 ms each.
    head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
    for excess in (0, 1):
        reader = HttpReader(HttpRequestParser, 100)
        in_head = MAX_FIELDS - 1 - fields_in_trailer + excess
        trailer = field_lines(fields_in_trailer)
        message = reader.feed(head + field_lines(in_head) + b"\r\n0\r\n" + trailer + b"\r\n")
        assert (message is None) == (reader.error is not None) == bool(excess)


# The order of reads


class ScheduledInput:
    """An input that records when it is resumed."""

    def __init__(self, name: str, log: list[str], is_open: bool = True) -> None:
        self.name, self.log, self.is_open = name, log, is_open

    def pause_input(self) -> None:
        self.log.append(f"{self.name} paused")

    def resume_input(self) -> bool:
        if self.is_open:
            self.log.append(f"{self.name} resumed")
        return self.is_open


@async_test()
async def test_one_expensive_input_is_read_in_each_iteration_in_turn() -> None:
    scheduler, log = InputScheduler(), list[str]()
    inputs = [ScheduledInput(name, log, is_open=name != "gone") for name in ("a", "gone", "b", "c")]
    for scheduled in inputs:
        scheduler.defer(scheduled)
    del log[:]
    for expected in (["a resumed"], ["b resumed"], ["c resumed"], []):
        await asyncio.sleep(0)
        assert log == expected
        del log[:]
    assert not scheduler.waiting_count


@async_test()
async def test_an_ordinary_request_is_read_between_two_reads_of_expensive_ones(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The chunks of a hundred clients were all read in one iteration of the event loop.
    reads: list[tuple[int, int]] = []  # Number of bytes and of parsed parts of each read.
    feed = HttpReader.feed

    def recording_feed(reader: HttpReader, data: bytes) -> HttpMessage | None:
        message = feed(reader, data)
        reads.append((len(data), reader.parsed_parts))
        return message

    async with loopback_setup(tmp_path) as setup:
        bad_clients = [await setup.client() for _ in range(20)]
        monkeypatch.setattr(HttpReader, "feed", recording_feed)
        for client in bad_clients:
            client.writer.write(EXPENSIVE_INPUT["chunks of one byte"])
        while not setup.listener.input_scheduler.waiting_count:
            await asyncio.sleep(0)
        client = await setup.send_request(post(Request_Id="77"))
        await (await setup.next_request()).answer()
        assert (await client.read()).status == 200
    assert max(size for size, _ in reads) <= ClientConnection.max_read_bytes < 5_000
    expensive = sum(parts > MAX_PARTS_PER_READ for _, parts in reads)
    # The request was answered before half of the chunks of the bad clients were read.
    read_bytes = ClientConnection.max_read_bytes
    assert expensive < len(bad_clients) * len(EXPENSIVE_INPUT["chunks of one byte"]) // read_bytes // 2


@async_test()
async def test_an_expensive_response_of_an_endpoint_is_read_in_pieces_and_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A response in chunks of one byte held up everything else for as long as it took to parse 256 KB of it.
    chunks = 20_000
    sizes: list[int] = []
    feed = HttpReader.feed

    def recording_feed(reader: HttpReader, data: bytes) -> HttpMessage | None:
        sizes.append(len(data))
        return feed(reader, data)

    async with loopback_setup(tmp_path) as setup:
        client = await setup.send_request(post(NOT_IDEMPOTENT))
        message = await setup.next_request()
        monkeypatch.setattr(HttpReader, "feed", recording_feed)
        await message.connection.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nm\r\n" * chunks + b"0\r\n\r\n"
        )
        assert (await client.read()).body == b"m" * chunks
    assert max(sizes) <= PooledConnection.max_read_bytes < 20_000


@async_test()
async def test_a_client_that_has_gone_is_dropped_with_its_expensive_input(tmp_path: Path) -> None:
    # The connections of clients that had gone were held, and new clients were turned away at the limit.
    async with loopback_setup(tmp_path) as setup:
        clients = [await setup.client() for _ in range(30)]
        for client in clients:
            client.writer.write(CHUNKED_HEAD + b"1\r\nx\r\n" * 2_000)
        while setup.listener.input_scheduler.waiting_count < 20:
            await asyncio.sleep(0)
        for client in clients:
            client.reset_in_kernel()
        while setup.listener.input_scheduler.waiting_count:
            await asyncio.sleep(0)
        while setup.listener.connections:
            await asyncio.sleep(0)
        assert setup.nothing_sent()


# The process


async def send_and_go(agent: AgentProcess, data: bytes) -> None:
    """Send everything on a new connection, and close it."""
    loop = asyncio.get_running_loop()
    with socket.socket() as client, contextlib.suppress(OSError, TimeoutError):
        client.setblocking(False)
        await loop.sock_connect(client, ("127.0.0.1", agent.port))
        async with asyncio.timeout(3):
            await loop.sock_sendall(client, data)


@pytest.mark.parametrize("name", EXPENSIVE_INPUT)
@async_test(timeout_s=60.0)
async def test_ordinary_requests_are_answered_in_time_while_many_clients_send_expensive_input(
    tmp_path: Path, name: str
) -> None:
    # Ordinary requests were answered seconds late or not at all while a hundred clients sent much at once.
    async with started_peers(2) as (discovery, endpoint):
        document = config_doc(discovery.port, [member(f"s{i}", endpoint.port) for i in range(9)])
        document["limits"]["sockets"] = 512
        async with agent_process(tmp_path, document) as agent:
            serving = asyncio.create_task(answer_all(endpoint))
            ordinary = OrdinaryClients(agent)
            for _ in range(WAVES):
                bad = [
                    asyncio.create_task(send_and_go(agent, EXPENSIVE_INPUT[name])) for _ in range(BAD_CLIENTS)
                ]
                await ordinary.send(40)
                await asyncio.gather(*bad)
            await ordinary.check_answers()
            serving.cancel()
            await agent.stop()
