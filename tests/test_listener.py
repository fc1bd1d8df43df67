"""Connections of clients: time limits, eviction at the limit on connections, start and graceful shutdown."""

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

# Every limit is exceeded by the next sweep, but for that of a connection that waits for its next request.
EXPIRE_AT_ONCE = ClientTimeouts(
    sweep_interval_s=0.005, first_byte_s=0.0, request_s=0.0, linger_s=0.0, evictable_after_s=0.0
)
# Of so many sockets 32 are for other uses, and just over half of the rest for clients.
MAX_BUFFERED_BYTES = 1024  # of answers, in a client
SOCKETS_FOR_ONE_CLIENT, SOCKETS_FOR_TWO_CLIENTS = 34, 37


async def is_healthy(client: StreamConnection) -> bool:
    await client.write(HEALTH_CHECK)
    return (await client.read()).status == 200


async def connect_and_send(
    w: LoopbackSetup, data: bytes, client: socket.socket | None = None
) -> StreamConnection:
    """Send before the agent can accept: no sweep finds the connection without a byte, and closes it."""
    client = client or socket.socket()
    client.connect(("127.0.0.1", w.port))
    client.sendall(data)
    conversation = StreamConnection(*await asyncio.open_connection(sock=client, limit=MAX_BUFFERED_BYTES))
    w.clients.append(conversation)
    return conversation


async def sweep_has_passed(w: LoopbackSetup) -> None:
    """Wait until a connection on which nothing is sent has been closed by a sweep."""
    await (await w.client()).wait_for_close()


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
    # A client connects and sends nothing, or a part of a request and no more. Its connection would be
    # occupied for ever. After a while it is closed; a request that had begun is answered first.
    async with loopback_setup(tmp_path, timeouts=EXPIRE_AT_ONCE) as w:
        handler = RecordingHandler(w.listener)
        client = await connect_and_send(w, begun)
        if status is not None:
            assert (await client.read()).status == status
        await client.wait_for_close()
        assert not handler.accepted


@async_test()
async def test_request_in_flight_and_kept_connection_do_not_expire_as_incomplete(tmp_path: Path) -> None:
    # An endpoint answers late, and its client sends the next request late. Neither is a request that does not
    # arrive: sweeps that close others meanwhile leave this connection open.
    async with loopback_setup(tmp_path, timeouts=EXPIRE_AT_ONCE) as w:
        client = await connect_and_send(w, post())
        for _ in range(2):
            forwarded = await w.next_request()
            await sweep_has_passed(w)
            assert not client.peer_has_closed()
            await forwarded.answer()
            assert (await client.read()).status == 200
            await sweep_has_passed(w)
            await client.write(post())
        await (await w.next_request()).answer()


async def unread_answer(w: LoopbackSetup) -> tuple[StreamConnection, ClientConnection]:
    """A client that reads nothing, and its connection with an answer that the kernel holds only in part."""
    client_socket = socket.socket()
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client = await connect_and_send(w, post(), client_socket)
    forwarded = await w.next_request()
    (connection,) = w.listener.connections
    assert connection.transport is not None
    connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    await forwarded.answer(200, b"x" * 500_000)
    while not connection.has_answered:
        await asyncio.sleep(0)
    assert not connection.all_written
    return client, connection


@async_test()
async def test_client_that_sends_requests_and_reads_no_answers_is_disconnected(tmp_path: Path) -> None:
    # A client sends request after request and reads no answer. The answers would pile up in the agent's
    # memory: with one still unwritten, the next request ends the connection, and reaches nobody.
    async with loopback_setup(tmp_path) as w:
        handler = RecordingHandler(w.listener)
        client, _ = await unread_answer(w)
        await client.write(post(Request_Id="9b21"))
        while w.listener.connections:
            await asyncio.sleep(0)
        assert len(handler.accepted) == 1
        assert w.nothing_sent()


@async_test()
async def test_connection_whose_answer_is_never_read_expires(tmp_path: Path) -> None:
    # A client neither reads its answer nor closes. A close that waits for the answer to be written would
    # never end, and the connection would be occupied for ever: it is aborted.
    times = replace(EXPIRE_AT_ONCE, sweep_interval_s=0.02, keepalive_s=0.0)
    async with loopback_setup(tmp_path, timeouts=times) as w:
        await unread_answer(w)
        while w.listener.connections:
            await asyncio.sleep(0.001)


# Eviction


@async_test()
async def test_longest_idle_connection_is_evicted_at_the_limit(tmp_path: Path) -> None:
    # More clients connect than there are descriptors for. The connection that was used longest ago makes
    # room.
    times = replace(EXPIRE_AT_ONCE, sweep_interval_s=60.0)
    async with loopback_setup(tmp_path, max_sockets=SOCKETS_FOR_TWO_CLIENTS, timeouts=times) as w:
        first, second = await w.client(), await w.client()
        assert await is_healthy(second)
        assert await is_healthy(first)
        assert await is_healthy(await w.client())
        await second.wait_for_close()
        assert not first.peer_has_closed()


@async_test()
async def test_new_connection_is_closed_where_none_can_be_evicted(tmp_path: Path) -> None:
    # More clients connect than there are descriptors for, and all connections are in use. A request in
    # flight must not be lost for a newcomer, and who was just answered is likely to send again: the new one
    # is closed.
    async with loopback_setup(tmp_path, max_sockets=SOCKETS_FOR_ONE_CLIENT) as w:
        client = await w.send_request(post())
        forwarded = await w.next_request()
        await (await w.client()).wait_for_close()
        await forwarded.answer()
        assert (await client.read()).status == 200
        # One that was used just now stays, too.
        await (await w.client()).wait_for_close()
        assert await is_healthy(client)


@async_test()
async def test_connection_without_any_request_is_evicted_at_once(tmp_path: Path) -> None:
    # A client connects and sends nothing, while another needs the connection.
    async with loopback_setup(tmp_path, max_sockets=SOCKETS_FOR_ONE_CLIENT) as w:
        silent = await w.client()
        assert await is_healthy(await w.client())
        await silent.wait_for_close()


# The agent as a process


async def send_until_forwarded(
    agent: AgentProcess, endpoint: ScriptedServer, request: bytes
) -> tuple[StreamConnection, Message]:
    """As clients do, send it again on a new connection where one was closed before it was read."""
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
    # The agent is stopped at a planned restart, while requests are in flight and clients still connect. All
    # are answered, with Connection: close, and an idle connection is closed while new ones are still
    # served.
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
    # An endpoint hangs while the agent is stopped, and the client's timeout is far longer than the deadline
    # of its class. Before it would be killed, the agent answers that the request has failed, and ends.
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
    # The configuration file is missing, empty, cut short, or not of the form. An operator gets one line.
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
