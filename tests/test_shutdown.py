"""A stop, crossing by crossing: all that was taken gets its one final answer, none is cut off by a close."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import select
import signal
import socket
from pathlib import Path

import pytest

from nickelmount.agent import listener as server_module
from nickelmount.agent.listener import ShutdownTimes
from tests.event_order import BlockingClient as Caller
from tests.event_order import wait_for_accepted as taken
from tests.loopback import UNSAFE, Conversation, Peer, config_doc, member, post, world
from tests.loopback import complete_list as listing
from tests.test_reload import Running, whole

NOW = ShutdownTimes(idle_s=0.0, serve_s=0.0, end_s=30.0)


async def read_all(s: socket.socket) -> bytes:
    """What comes up to a clean end; a reset raises."""
    s.setblocking(False)
    loop, got = asyncio.get_running_loop(), b""
    while data := await loop.sock_recv(s, 65536):
        got += data
    return got


def test_a_connection_just_opened_is_not_closed_on_its_first_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server_module, "FRESH_S", 30.0)

    async def run() -> None:
        async with world(tmp_path) as w:
            fresh = await Caller(w).accepted()
            kept = await w.ask(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await kept.read()).status == 200
            stop = asyncio.create_task(w.server.shut_down(NOW))
            await kept.ended()  # idle ones have been closed
            fresh.socket.send(post())
            await (await w.request()).answer()
            assert (await read_all(fresh.socket)).startswith(b"HTTP/1.1 200 ")
            fresh.socket.close()
            await stop

    asyncio.run(run())


def test_one_that_says_nothing_does_not_keep_a_stop_waiting(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server_module, "FRESH_S", 0.01)

    async def run() -> None:
        async with world(tmp_path) as w:
            silent = await Caller(w).accepted()
            async with asyncio.timeout(10):
                await w.server.shut_down(NOW)
            assert await read_all(silent.socket) == b""

    asyncio.run(run())


@pytest.mark.parametrize("cls", [UNSAFE, None])
def test_a_connection_in_the_accept_queue_at_the_end_gets_an_answer(tmp_path: Path, cls: str | None) -> None:
    async def run() -> None:
        async with world(tmp_path) as w:
            give_up, came = w.agent.finish_all, list[socket.socket]()

            def crossed() -> None:
                give_up()
                came.append(s := socket.create_connection(("127.0.0.1", w.port)))
                s.send(post(cls) if cls else b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")

            w.agent.finish_all = crossed  # type: ignore[method-assign]
            await w.server.shut_down(NOW)
            assert (await read_all(came[0])).startswith(b"HTTP/1.1 503 ")
            assert w.nothing_sent()
            came[0].close()

    asyncio.run(run())


def test_an_answer_is_not_reset_away_by_what_its_client_sent_meanwhile(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as w:
            caller = await Caller(w).accepted()
            caller.socket.send(post())
            got = await w.request()
            w.server.is_draining = True
            body = b"x" * 3_000  # one piece: it is read ahead of what the client sends
            got.peer.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            got.peer.writer.write(body)
            readable = select.poll()
            (connection,) = w.server.connections
            caller.socket.send(b"\r\n" + post(Request_Id="9b99"))
            assert connection.transport is not None
            readable.register(connection.transport.get_extra_info("socket").fileno(), select.POLLIN)
            assert readable.poll(10_000)  # it is in the kernel, and has not been read
            answer = await read_all(caller.socket)
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert body in answer
            caller.socket.close()
            while w.server.connections:
                await asyncio.sleep(0)
            assert w.nothing_sent()

    asyncio.run(run())


def test_more_bytes_behind_a_request_whose_answer_is_the_last_are_no_fault(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as w:
            caller = await Caller(w).accepted()
            caller.socket.send(post())
            got = await w.request()
            w.server.is_draining = True
            caller.socket.send(post(Request_Id="9b99"))
            (connection,) = w.server.connections
            while not connection.discards_input:
                await asyncio.sleep(0)
            await got.answer()
            answer = await read_all(caller.socket)
            assert answer.count(b"HTTP/1.1 ") == 1
            assert answer.startswith(b"HTTP/1.1 200 ")
            caller.socket.close()

    asyncio.run(run())


def test_what_is_given_up_is_refused_if_nothing_was_sent_and_failed_if_it_was(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as w:
            sent = await w.ask(post(UNSAFE))
            await w.request()
            w.agent.on_endpoint_list(listing())
            held = await w.ask(post(UNSAFE, Request_Id="9b20"))
            await taken(w, 2)
            stop = asyncio.create_task(w.server.shut_down(ShutdownTimes(0.0, 0.0, 0.05)))
            assert (await sent.read()).status == 500
            assert (await held.read()).status == 503
            sent.close()
            held.close()
            await stop

    asyncio.run(run())


@pytest.mark.parametrize("signals", [(signal.SIGHUP,), (signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM)])
def test_signals_during_a_stop_change_nothing_up_to_the_very_end(
    tmp_path: Path, signals: tuple[signal.Signals, ...]
) -> None:
    async def run() -> None:
        discovery, backend = await Peer().start(), await Peer().start()
        agent = Running(tmp_path)
        await agent.start(config_doc(discovery.port, [member("a", backend.port)]))
        client = await agent.client()
        await client.write(post())
        got = await backend.requests.get()
        agent.process.send_signal(signal.SIGTERM)

        async def go_on() -> None:
            while agent.process.returncode is None:
                for number in signals:
                    # Not by the process object: it would reap the child, and its exit status be lost.
                    with contextlib.suppress(ProcessLookupError):
                        os.kill(agent.process.pid, number)
                await asyncio.sleep(0.0005)

        assert agent.process.stderr is not None
        log = asyncio.create_task(agent.process.stderr.read())
        flood = asyncio.create_task(go_on())
        await got.answer()
        assert (await client.read()).status == 200
        client.close()
        assert await agent.process.wait() == 0
        await flood
        assert b"Traceback" not in await log
        await discovery.stop()
        await backend.stop()

    asyncio.run(asyncio.wait_for(run(), 20))


@pytest.mark.parametrize("first", [signal.SIGHUP, signal.SIGTERM])
def test_a_stop_right_behind_a_reload_and_the_other_way_round(tmp_path: Path, first: signal.Signals) -> None:
    async def run() -> None:
        discovery, new, backend = [await Peer().start() for _ in range(3)]
        agent = Running(tmp_path)
        doc = config_doc(discovery.port, [member("a", backend.port)])
        await agent.start(doc)
        client = await agent.client()
        await client.write(post())
        got = await backend.requests.get()
        agent.write(json.dumps(doc | {"discovery": f"127.0.0.1:{new.port}"}))
        second = signal.SIGTERM if first is signal.SIGHUP else signal.SIGHUP
        agent.process.send_signal(first)
        agent.process.send_signal(second)
        await (await new.requests.get()).answer(200, whole(7, member("a", backend.port)))
        await got.answer()
        assert (await client.read()).status == 200
        client.close()
        assert await agent.process.wait() == 0
        for peer in (discovery, new, backend):
            await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 20))


def test_a_stop_before_the_first_list_answers_what_waits_for_it(tmp_path: Path) -> None:
    async def run() -> None:
        discovery = await Peer().start()
        agent = Running(tmp_path)
        doc = config_doc(discovery.port, [])
        for profile in doc["settings"]["profiles"]:
            profile["aimUs"], profile["deadlineUs"] = 200_000, 300_000
        await agent.start(doc)
        await discovery.requests.get()  # and it is never answered
        client = await agent.client()
        await client.write(post(UNSAFE))
        agent.process.send_signal(signal.SIGTERM)
        assert (await client.read()).status == 503
        client.close()
        assert await agent.process.wait() == 0
        await discovery.stop()

    asyncio.run(asyncio.wait_for(run(), 20))


def test_requests_up_to_the_end_of_the_grace_are_answered_while_all_servers_hang(tmp_path: Path) -> None:
    async def run() -> None:
        discovery, backend = await Peer().start(), await Peer().start()
        agent = Running(tmp_path)
        doc = config_doc(discovery.port, [member("a", backend.port)])
        for profile in doc["settings"]["profiles"]:
            profile["aimUs"], profile["deadlineUs"] = 300_000, 400_000
        await agent.start(doc)
        half = await agent.client()
        request = post(UNSAFE, Request_Id="half", timeout_ms="400")
        await half.write(request[:50])
        agent.process.send_signal(signal.SIGTERM)
        clients: list[Conversation] = [half]
        for i in range(8):  # up to 0.4 s behind the signal
            client = await agent.client()
            await client.write(post(UNSAFE, Request_Id=f"9b{i}", timeout_ms="400"))
            clients.append(client)
            await asyncio.sleep(0.04)
        await half.write(request[50:])
        for client in clients:
            answer = await client.read()
            assert answer.status >= 500
            assert answer.headers["connection"] == "close"
            assert await client.reader.read() == b""
            client.close()
        assert await agent.process.wait() == 0
        await discovery.stop()
        await backend.stop()

    asyncio.run(asyncio.wait_for(run(), 20))
