"""Input that costs much processor time to parse: it must not hold up the requests of other clients."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from pathlib import Path

import pytest
from httptools import HttpRequestParser

from nickelmount.agent import http_reader
from nickelmount.agent.http_message import HttpMessage
from nickelmount.agent.http_reader import HttpReader
from tests.agent_process import AgentProcess, agent_process, started_peers
from tests.async_test import async_test
from tests.loopback import (
    NOT_IDEMPOTENT,
    Message,
    ScriptedServer,
    config_doc,
    member,
    post,
)

SHORT_REQUEST = b"GET / HTTP/1.1\r\n\r\n"
EXPENSIVE_INPUT = {
    "many requests at once": SHORT_REQUEST * 16_000,
}

BAD_CLIENTS = 100
WAVES = 2
TIMEOUT_S = 0.3
LATE_S = 0.55  # An answer may come this long after its request's time, according to the rules on sockets.
REQUEST_INTERVAL_S = 0.025


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


# The process


async def send_and_go(agent: AgentProcess, data: bytes) -> None:
    """Send everything on a new connection, and close it."""
    loop = asyncio.get_running_loop()
    with socket.socket() as client, contextlib.suppress(OSError, TimeoutError):
        client.setblocking(False)
        await loop.sock_connect(client, ("127.0.0.1", agent.port))
        async with asyncio.timeout(3):
            await loop.sock_sendall(client, data)


async def seconds_until_answer(agent: AgentProcess, number: int) -> float:
    """Send an ordinary request, and return how long its answer takes."""
    client = await agent.client()
    started_at = time.monotonic()
    timeout_ms = f"{int(TIMEOUT_S * 1000)}"
    await client.write(post(NOT_IDEMPOTENT, Request_Id=f"n{number}", timeout_ms=timeout_ms))
    await client.read()
    client.close()
    return time.monotonic() - started_at


async def answer_all(endpoint: ScriptedServer) -> None:
    while True:
        message: Message = await endpoint.requests.get()
        with contextlib.suppress(ConnectionError):
            await message.answer()


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
            requests: list[asyncio.Task[float]] = []
            for _ in range(WAVES):
                bad = [
                    asyncio.create_task(send_and_go(agent, EXPENSIVE_INPUT[name])) for _ in range(BAD_CLIENTS)
                ]
                for _ in range(40):
                    requests.append(asyncio.create_task(seconds_until_answer(agent, len(requests))))
                    await asyncio.sleep(REQUEST_INTERVAL_S)
                await asyncio.gather(*bad)
            durations = await asyncio.gather(*requests)
            serving.cancel()
            print(f"{name}: the latest answer took {max(durations):.3f} s")
            assert max(durations) < TIMEOUT_S + LATE_S
            await agent.stop()
