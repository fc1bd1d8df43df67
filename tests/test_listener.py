"""Connections of clients: their time limits, their eviction, and the start and shutdown of an agent."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from nickelmount.agent.downstream import ClientConnection, ClientTimeouts
from tests.agent_process import AgentProcess, agent_process, started_peers
from tests.async_test import async_test
from tests.loopback import (
    NOT_IDEMPOTENT,
    LoopbackSetup,
    Message,
    ScriptedServer,
    StreamConnection,
    config_doc,
    loopback_setup,
    member,
    post,
)
from tests.recording_handler import RecordingHandler
from tests.test_client_input import CHUNKED, HEALTH_CHECK

# With these timeouts, the next sweep finds every limit exceeded, except keepalive_s, which limits the time
# between two requests.
EXPIRE_AT_ONCE = ClientTimeouts(
    sweep_interval_s=0.005, first_byte_s=0.0, request_s=0.0, linger_s=0.0, evictable_after_s=0.0
)
MAX_BUFFERED_BYTES = 1024  # Limit of a client's read buffer.
# 32 sockets are reserved for other uses, and 55% of the rest are for clients.
SOCKETS_FOR_ONE_CLIENT, SOCKETS_FOR_TWO_CLIENTS = 34, 37


async def is_healthy(client: StreamConnection) -> bool:
    await client.write(HEALTH_CHECK)
    return (await client.read()).status == 200


async def connect_and_send(
    setup: LoopbackSetup, data: bytes, client: socket.socket | None = None
) -> StreamConnection:
    """Connect and send before the agent accepts, so that no sweep finds a connection without any byte."""
    client = client or socket.socket()
    client.connect(("127.0.0.1", setup.port))
    client.sendall(data)
    connection = StreamConnection(*await asyncio.open_connection(sock=client, limit=MAX_BUFFERED_BYTES))
    setup.clients.append(connection)
    return connection


async def wait_for_sweep(setup: LoopbackSetup) -> None:
    """Wait until a sweep has closed a new connection on which nothing is sent."""
    await (await setup.client()).wait_for_close()


# Time limits


@pytest.mark.parametrize(
    ("begun", "status"),
    [
        (b"", None),
        (b"\r\n", None),
        (b"POST /api HT", 408),
        (post()[:-1], 408),
        (CHUNKED + b"3\r\njo", 408),
        (post(drop=("Content-Length",), body=b"", Content_length="60000000"), 413),
    ],
)
@async_test()
async def test_incomplete_request_ends_with_an_error_or_a_close(
    tmp_path: Path, begun: bytes, status: int | None
) -> None:
    # A client connects and sends nothing or only a part of a request. Without a time limit, its connection
    # would be in use for ever. When the limit is exceeded, a request that has arrived in part gets an error,
    # and the connection is closed.
    async with loopback_setup(tmp_path, timeouts=EXPIRE_AT_ONCE) as setup:
        handler = RecordingHandler(setup.listener)
        client = await connect_and_send(setup, begun)
        if status is not None:
            assert (await client.read()).status == status
        await client.wait_for_close()
        assert not handler.accepted


@async_test()
async def test_request_in_flight_and_idle_connection_do_not_expire_as_incomplete(tmp_path: Path) -> None:
    # An endpoint answers late, and the client sends its next request late. Sweeps that close other
    # connections meanwhile leave this connection open, because it has no incomplete request.
    async with loopback_setup(tmp_path, timeouts=EXPIRE_AT_ONCE) as setup:
        client = await connect_and_send(setup, post())
        for _ in range(2):
            forwarded = await setup.next_request()
            await wait_for_sweep(setup)
            assert not client.peer_has_closed()
            await forwarded.answer()
            assert (await client.read()).status == 200
            await wait_for_sweep(setup)
            await client.write(post())
        await (await setup.next_request()).answer()


async def client_with_unread_answer(setup: LoopbackSetup) -> tuple[StreamConnection, ClientConnection]:
    """Return a client that reads nothing and its connection, whose answer is written only in part."""
    client_socket = socket.socket()
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client = await connect_and_send(setup, post(), client_socket)
    forwarded = await setup.next_request()
    (connection,) = setup.listener.connections
    assert connection.transport is not None
    connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    await forwarded.answer(200, b"x" * 500_000)
    while not connection.has_answered:
        await asyncio.sleep(0)
    assert not connection.all_written
    return client, connection


@async_test()
async def test_client_that_sends_requests_and_reads_no_answers_is_disconnected(tmp_path: Path) -> None:
    # A client sends requests without reading the answers, which would fill the agent's memory. If a request
    # arrives while an answer is not completely written, the agent closes the connection and does not forward
    # the request.
    async with loopback_setup(tmp_path) as setup:
        handler = RecordingHandler(setup.listener)
        client, _ = await client_with_unread_answer(setup)
        await client.write(post(Request_Id="9b21"))
        while setup.listener.connections:
            await asyncio.sleep(0)
        assert len(handler.accepted) == 1
        assert setup.nothing_sent()


@async_test()
async def test_connection_whose_answer_is_never_read_expires(tmp_path: Path) -> None:
    # A client neither reads its answer nor closes the connection. A close that waits until the answer is
    # written would never end, so the connection is aborted.
    times = replace(EXPIRE_AT_ONCE, sweep_interval_s=0.02, keepalive_s=0.0)
    async with loopback_setup(tmp_path, timeouts=times) as setup:
        await client_with_unread_answer(setup)
        while setup.listener.connections:
            await asyncio.sleep(0.001)


# Eviction


@async_test()
async def test_longest_idle_connection_is_evicted_at_the_limit(tmp_path: Path) -> None:
    # More clients connect than there are descriptors for. The connection that has been idle for the longest
    # time is closed.
    times = replace(EXPIRE_AT_ONCE, sweep_interval_s=60.0)
    async with loopback_setup(tmp_path, max_sockets=SOCKETS_FOR_TWO_CLIENTS, timeouts=times) as setup:
        first, second = await setup.client(), await setup.client()
        assert await is_healthy(second)
        assert await is_healthy(first)
        assert await is_healthy(await setup.client())
        await second.wait_for_close()
        assert not first.peer_has_closed()


@async_test()
async def test_new_connection_is_closed_if_none_can_be_evicted(tmp_path: Path) -> None:
    # More clients connect than there are descriptors for, and all connections are in use. The new connection
    # is closed, because a request in flight must not be lost, and because a client that was answered a short
    # time ago is likely to send another request.
    async with loopback_setup(tmp_path, max_sockets=SOCKETS_FOR_ONE_CLIENT) as setup:
        client = await setup.send_request(post())
        forwarded = await setup.next_request()
        await (await setup.client()).wait_for_close()
        await forwarded.answer()
        assert (await client.read()).status == 200
        # A connection that was just used stays open, too.
        await (await setup.client()).wait_for_close()
        assert await is_healthy(client)


@async_test()
async def test_connection_without_any_request_is_evicted_at_once(tmp_path: Path) -> None:
    # A client connects and sends nothing, while another client needs a connection.
    async with loopback_setup(tmp_path, max_sockets=SOCKETS_FOR_ONE_CLIENT) as setup:
        silent = await setup.client()
        assert await is_healthy(await setup.client())
        await silent.wait_for_close()


@async_test()
async def test_connection_whose_answer_is_not_read_is_not_evicted_and_still_expires(tmp_path: Path) -> None:
    # A client reads nothing of its answer, and another client needs a connection. A close waits until the
    # answer is written, so the evicted connection stayed open without being counted, and no time limit ended
    # it.
    times = replace(EXPIRE_AT_ONCE, sweep_interval_s=0.02, keepalive_s=0.2)
    async with loopback_setup(tmp_path, max_sockets=SOCKETS_FOR_ONE_CLIENT, timeouts=times) as setup:
        _, unread = await client_with_unread_answer(setup)
        async with asyncio.timeout(20):
            while unread in setup.listener.connections:
                assert setup.listener.connections == {unread}
                await (await setup.client()).wait_for_close()
        assert unread.closed


# The agent as a process


async def send_until_forwarded(
    agent: AgentProcess, endpoint: ScriptedServer, request: bytes
) -> tuple[StreamConnection, Message]:
    """Send a request until it is forwarded, each time on a new connection if the last one was closed.

    Clients send a request again if its connection was closed before the agent read the request.
    """
    while True:
        client = await agent.client()
        await client.write(request)
        closed = asyncio.create_task(client.reader.read(1))
        forwarded = asyncio.create_task(endpoint.requests.get())
        await asyncio.wait([closed, forwarded], return_when=asyncio.FIRST_COMPLETED)
        closed.cancel()
        if forwarded.done():
            await asyncio.wait([closed])
            return client, forwarded.result()
        forwarded.cancel()


@async_test()
async def test_graceful_shutdown_serves_new_connections_and_loses_no_request(tmp_path: Path) -> None:
    # The agent gets SIGTERM while requests are in flight and clients still connect. All requests are answered
    # with Connection: close, and an idle connection is closed while new ones are still served.
    async with started_peers(2) as (discovery, endpoint):
        document = config_doc(discovery.port, [member("s", endpoint.port)])
        async with agent_process(tmp_path, document) as agent:
            idle, early = await agent.client(), await agent.client()
            assert await is_healthy(idle)
            await early.write(post())
            first = await endpoint.requests.get()
            agent.process.send_signal(signal.SIGTERM)
            await idle.wait_for_close()
            late, second = await send_until_forwarded(
                agent, endpoint, post(NOT_IDEMPOTENT, Request_Id="9b20")
            )
            for client, forwarded in ((early, first), (late, second)):
                await forwarded.answer()
                answer = await client.read()
                assert answer.status == 200
                assert answer.headers["connection"] == "close"
            assert await agent.process.wait() == 0


@async_test()
async def test_request_that_no_endpoint_answers_fails_before_the_process_ends(tmp_path: Path) -> None:
    # An endpoint does not answer while the agent shuts down, and the client's timeout is far longer than the
    # deadline of its class. The agent answers that the request has failed and ends before it would get
    # SIGKILL.
    async with started_peers(2) as (discovery, endpoint):
        document = config_doc(discovery.port, [member("s", endpoint.port)])
        for profile in document["settings"]["profiles"]:
            profile["aimUs"] = profile["deadlineUs"] = 500_000
        async with agent_process(tmp_path, document) as agent:
            client = await agent.client()
            await client.write(post())
            await endpoint.requests.get()
            agent.process.send_signal(signal.SIGTERM)
            assert (await client.read()).status == 500
            assert await agent.process.wait() == 0


@pytest.mark.parametrize("text", [None, "", "{", "[]", "7", '{"settings":{}}'])
@async_test()
async def test_invalid_configuration_gives_one_line_and_exit_status_2(
    tmp_path: Path, text: str | None
) -> None:
    # The configuration file is missing, empty, truncated or of the wrong form. The agent prints one line
    # about it and ends.
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "nickelmount",
        env={**os.environ, "RELAY_CONFIG": str(path)},
        stderr=asyncio.subprocess.PIPE,
    )
    _, err = await process.communicate()
    assert process.returncode == 2
    assert err.startswith(b"nickelmount: "), err
    assert err.count(b"\n") == 1, err
