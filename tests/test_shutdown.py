"""Graceful shutdown: every accepted request gets its final answer, whatever arrives meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
import os
import select
import signal
import socket
from pathlib import Path

import pytest

from nickelmount.agent import listener as listener_module
from nickelmount.agent.listener import ShutdownTimes
from nickelmount.protocol.endpoint_list import EndpointList
from tests.agent_process import agent_process, complete_list_body, started_peers
from tests.async_test import async_test
from tests.event_order import BlockingClient, wait_for_accepted, wait_until_readable
from tests.loopback import NOT_IDEMPOTENT, StreamConnection, config_doc, loopback_setup, member, post

CLOSE_IDLE_AT_ONCE = ShutdownTimes(close_idle_after_s=0.0, serve_until_s=0.0, finish_by_s=30.0)
HEALTH_CHECK = b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"


async def read_all(client: socket.socket) -> bytes:
    """Return all bytes until the peer closes; raises ConnectionResetError if it resets the connection."""
    client.setblocking(False)
    loop, received = asyncio.get_running_loop(), b""
    while data := await loop.sock_recv(client, 65536):
        received += data
    return received


# Connections on which no request has been sent


@async_test()
async def test_a_new_connection_is_not_closed_while_its_first_request_is_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(listener_module, "FIRST_REQUEST_GRACE_S", 30.0)
    async with loopback_setup(tmp_path) as setup:
        new_client = await BlockingClient(setup).accepted()
        idle = await setup.send_request(HEALTH_CHECK)
        assert (await idle.read()).status == 200
        shutdown = asyncio.create_task(setup.listener.shut_down(CLOSE_IDLE_AT_ONCE))
        await idle.wait_for_close()  # From now on idle connections are closed.
        new_client.socket.send(post())
        await (await setup.next_request()).answer()
        assert (await read_all(new_client.socket)).startswith(b"HTTP/1.1 200 ")
        new_client.socket.close()
        await shutdown


@async_test()
async def test_a_connection_that_sends_nothing_does_not_delay_a_shutdown(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(listener_module, "FIRST_REQUEST_GRACE_S", 0.01)
    async with loopback_setup(tmp_path) as setup:
        client = await BlockingClient(setup).accepted()
        async with asyncio.timeout(10):
            await setup.listener.shut_down(CLOSE_IDLE_AT_ONCE)
        assert await read_all(client.socket) == b""


@pytest.mark.parametrize("request_class", [NOT_IDEMPOTENT, None])
@async_test()
async def test_a_connection_in_the_accept_queue_at_the_end_gets_an_answer(
    tmp_path: Path, request_class: str | None
) -> None:
    async with loopback_setup(tmp_path) as setup:
        answer_all_pending, clients = setup.agent.answer_all_pending, list[socket.socket]()

        def answer_all_then_connect() -> None:
            answer_all_pending()
            clients.append(client := socket.create_connection(("127.0.0.1", setup.port)))
            client.send(post(request_class) if request_class else HEALTH_CHECK)

        setup.agent.answer_all_pending = answer_all_then_connect  # type: ignore[method-assign]
        await setup.listener.shut_down(CLOSE_IDLE_AT_ONCE)
        assert (await read_all(clients[0])).startswith(b"HTTP/1.1 503 ")
        assert setup.nothing_sent()
        clients[0].close()


# Requests that have arrived in part

SHUTDOWN_WITHOUT_GRACE = ShutdownTimes(close_idle_after_s=0.0, serve_until_s=0.0, finish_by_s=0.05)


def has_rejection(received: bytes) -> bool:
    return received.startswith(b"HTTP/1.1 503 ") and b"\r\nConnection: close\r\n" in received


@async_test()
async def test_a_request_that_has_arrived_in_part_is_rejected_as_a_shutdown_ends(tmp_path: Path) -> None:
    # A request whose last byte came as the process ended was reset without an answer.
    async with loopback_setup(tmp_path) as setup:
        clients = []
        for number in range(3):
            client = await BlockingClient(setup).accepted()
            client.socket.send(post(Request_Id=f"{number}")[:-1])
            clients.append(client.socket)
        await setup.listener.shut_down(SHUTDOWN_WITHOUT_GRACE)
        for client_socket in clients:  # The last byte has not come.
            async with asyncio.timeout(5):
                assert has_rejection(await read_all(client_socket))
            client_socket.close()
        assert setup.nothing_sent()


@async_test()
async def test_a_request_that_arrives_in_part_while_a_shutdown_ends_is_rejected_at_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A request that began in the last stage of a shutdown, and never ended, held its connection to the end.
    monkeypatch.setattr(listener_module, "FLUSH_TIMEOUT_S", 30.0)
    async with loopback_setup(tmp_path) as setup:
        answer_all_pending, clients = setup.agent.answer_all_pending, list[socket.socket]()

        def answer_all_then_connect() -> None:
            answer_all_pending()
            clients.append(client := socket.create_connection(("127.0.0.1", setup.port)))
            client.send(post()[:-1])

        setup.agent.answer_all_pending = answer_all_then_connect  # type: ignore[method-assign]
        shutdown = asyncio.create_task(setup.listener.shut_down(CLOSE_IDLE_AT_ONCE))
        while not clients:
            await asyncio.sleep(0)
        async with asyncio.timeout(10):
            assert has_rejection(await read_all(clients[0]))
            clients[0].close()
            await shutdown
        assert setup.nothing_sent()


@pytest.mark.parametrize("sent_bytes", [0, 20, None])
@async_test()
async def test_bytes_that_are_unread_when_a_shutdown_ends_get_an_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, sent_bytes: int | None
) -> None:
    # Bytes that the kernel took between the last read and the end of the process were reset.
    monkeypatch.setattr(listener_module, "FIRST_REQUEST_GRACE_S", 30.0)
    async with loopback_setup(tmp_path) as setup:
        client = await BlockingClient(setup).accepted()
        close = setup.listener.close

        def close_then_receive() -> None:
            monkeypatch.undo()  # The setup closes the listener again.
            close()
            client.socket.send(post()[:sent_bytes])
            if sent_bytes != 0:
                (connection,) = setup.listener.connections
                wait_until_readable(connection)

        monkeypatch.setattr(setup.listener, "close", close_then_receive)
        await setup.listener.shut_down(SHUTDOWN_WITHOUT_GRACE)
        async with asyncio.timeout(5):
            received = await read_all(client.socket)
        assert received == b"" if sent_bytes == 0 else has_rejection(received)
        assert setup.nothing_sent()
        client.socket.close()


# Requests in flight


@async_test()
async def test_an_answer_is_not_lost_if_its_client_sends_more_before_the_close(tmp_path: Path) -> None:
    async with loopback_setup(tmp_path) as setup:
        client = await BlockingClient(setup).accepted()
        client.socket.send(post())
        request = await setup.next_request()
        setup.listener.is_draining = True
        # The event loop reads a response of this size in one piece, before it reads from the client.
        body = b"x" * 3_000
        request.connection.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        request.connection.writer.write(body)
        readable = select.poll()
        (connection,) = setup.listener.connections
        client.socket.send(b"\r\n" + post(Request_Id="9b99"))
        assert connection.transport is not None
        readable.register(connection.transport.get_extra_info("socket").fileno(), select.POLLIN)
        assert readable.poll(10_000)  # The kernel has the client's bytes; the event loop has not read them.
        answer = await read_all(client.socket)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert body in answer
        client.socket.close()
        while setup.listener.connections:
            await asyncio.sleep(0)
        assert setup.nothing_sent()


@async_test()
async def test_bytes_after_a_request_whose_answer_is_the_last_are_no_error(tmp_path: Path) -> None:
    async with loopback_setup(tmp_path) as setup:
        client = await BlockingClient(setup).accepted()
        client.socket.send(post())
        request = await setup.next_request()
        setup.listener.is_draining = True
        client.socket.send(post(Request_Id="9b99"))
        (connection,) = setup.listener.connections
        while not connection.discards_input:
            await asyncio.sleep(0)
        await request.answer()
        answer = await read_all(client.socket)
        assert answer.count(b"HTTP/1.1 ") == 1
        assert answer.startswith(b"HTTP/1.1 200 ")
        client.socket.close()


@async_test()
async def test_a_pending_request_is_rejected_if_no_attempt_was_sent_and_failed_otherwise(
    tmp_path: Path,
) -> None:
    async with loopback_setup(tmp_path) as setup:
        sent = await setup.send_request(post(NOT_IDEMPOTENT))
        await setup.next_request()
        setup.agent.on_endpoint_list(EndpointList(42, True, ()))
        waiting = await setup.send_request(post(NOT_IDEMPOTENT, Request_Id="9b20"))
        await wait_for_accepted(setup, 2)
        shutdown = asyncio.create_task(setup.listener.shut_down(ShutdownTimes(0.0, 0.0, 0.05)))
        assert (await sent.read()).status == 500
        assert (await waiting.read()).status == 503
        sent.close()
        waiting.close()
        await shutdown


# The process


@pytest.mark.parametrize("signals", [(signal.SIGHUP,), (signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM)])
@async_test(timeout_s=20.0)
async def test_signals_during_a_shutdown_change_nothing_until_the_process_ends(
    tmp_path: Path, signals: tuple[signal.Signals, ...]
) -> None:
    # The event loop removes its signal handlers when it closes. A signal that arrived after that would kill a
    # process that has answered all requests, and the exit code would be that of the signal.
    async with started_peers(2) as (discovery, endpoint):
        document = config_doc(discovery.port, [member("a", endpoint.port)])
        async with agent_process(tmp_path, document) as agent:
            client = await agent.client()
            await client.write(post())
            in_flight = await endpoint.requests.get()
            agent.process.send_signal(signal.SIGTERM)

            async def send_signals() -> None:
                while agent.process.returncode is None:
                    for number in signals:
                        # The signal is sent by os.kill, because the process object would reap the child and
                        # its exit code would be lost.
                        with contextlib.suppress(ProcessLookupError):
                            os.kill(agent.process.pid, number)
                    await asyncio.sleep(0.0005)

            assert agent.process.stderr is not None
            log = asyncio.create_task(agent.process.stderr.read())
            sending = asyncio.create_task(send_signals())
            await in_flight.answer()
            assert (await client.read()).status == 200
            client.close()
            assert await agent.process.wait() == 0
            await sending
            assert b"Traceback" not in await log


@pytest.mark.parametrize("first", [signal.SIGHUP, signal.SIGTERM])
@async_test(timeout_s=20.0)
async def test_a_shutdown_right_after_a_reload_or_right_before_it(
    tmp_path: Path, first: signal.Signals
) -> None:
    async with started_peers(3) as (discovery, new, endpoint):
        document = config_doc(discovery.port, [member("a", endpoint.port)])
        async with agent_process(tmp_path, document) as agent:
            client = await agent.client()
            await client.write(post())
            in_flight = await endpoint.requests.get()
            agent.write_config_with_discovery(document, new)
            second = signal.SIGTERM if first is signal.SIGHUP else signal.SIGHUP
            agent.process.send_signal(first)
            agent.process.send_signal(second)
            call = await new.requests.get()
            await call.answer(200, complete_list_body(7, member("a", endpoint.port)))
            await in_flight.answer()
            assert (await client.read()).status == 200
            client.close()
            assert await agent.process.wait() == 0


@async_test(timeout_s=20.0)
async def test_a_shutdown_before_the_first_list_answers_the_requests_that_wait_for_it(tmp_path: Path) -> None:
    async with started_peers(1) as (discovery,):
        document = config_doc(discovery.port, [])
        for profile in document["settings"]["profiles"]:
            profile["aimUs"], profile["deadlineUs"] = 200_000, 300_000
        async with agent_process(tmp_path, document) as agent:
            await discovery.requests.get()  # The call is never answered.
            client = await agent.client()
            await client.write(post(NOT_IDEMPOTENT))
            agent.process.send_signal(signal.SIGTERM)
            assert (await client.read()).status == 503
            client.close()
            assert await agent.process.wait() == 0


@async_test(timeout_s=20.0)
async def test_requests_up_to_the_end_of_a_shutdown_are_answered_while_all_endpoints_hang(
    tmp_path: Path,
) -> None:
    async with started_peers(2) as (discovery, endpoint):
        document = config_doc(discovery.port, [member("a", endpoint.port)])
        for profile in document["settings"]["profiles"]:
            profile["aimUs"], profile["deadlineUs"] = 300_000, 400_000
        async with agent_process(tmp_path, document) as agent:
            slow_client = await agent.client()
            slow_request = post(NOT_IDEMPOTENT, Request_Id="half", timeout_ms="400")
            await slow_client.write(slow_request[:50])
            agent.process.send_signal(signal.SIGTERM)
            clients: list[StreamConnection] = [slow_client]
            for number in range(8):  # Clients go on connecting for up to 0.4 s after the signal.
                client = await agent.client()
                await client.write(post(NOT_IDEMPOTENT, Request_Id=f"9b{number}", timeout_ms="400"))
                clients.append(client)
                await asyncio.sleep(0.04)
            await slow_client.write(slow_request[50:])
            for client in clients:
                answer = await client.read()
                assert answer.status >= 500
                assert answer.headers["connection"] == "close"
                assert await client.reader.read() == b""
                client.close()
            assert await agent.process.wait() == 0


@async_test()
async def test_a_shutdown_answers_all_requests_before_sigkill_if_deadlines_are_long(
    tmp_path: Path,
) -> None:
    # SIGKILL follows at most 3.7 s after SIGTERM, however long the deadline is; here it is 30 s.
    async with started_peers(2) as (discovery, endpoint):
        document = config_doc(discovery.port, [member("a", endpoint.port)])
        async with agent_process(tmp_path, document) as agent:
            client = await agent.client()
            await client.write(post())
            await endpoint.requests.get()  # The request is never answered.
            agent.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(15):
                assert (await client.read()).status == 500
                assert await agent.process.wait() == 0
