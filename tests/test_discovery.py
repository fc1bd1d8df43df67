"""Discovery: the watch goes on, fails once, and an answer that makes no sense is never believed."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from nickelmount.agent import discovery_client as discovery_client_module
from nickelmount.agent.assembly import assemble
from nickelmount.agent.clock import Clock
from nickelmount.agent.discovery_client import SHARED_LONG_POLL_MS, DiscoveryClient
from nickelmount.balancer.events import EndpointStatus
from nickelmount.protocol.address import Address
from nickelmount.protocol.endpoint_list import EndpointList, EndpointListParser
from tests.async_test import async_test
from tests.loopback import Message, ScriptedServer, config_doc, load_config, loopback_setup, member, post

KNOWN_REVISION = 41
COMPLETE_LIST_CALL = "GET /catalog/members HTTP/1.1"
FLEET_SIZE = 6300
GOOD_ENTRY = member("s", 9)


def body(revision: int, members: list[dict[str, Any]], complete: bool = False) -> bytes:
    return json.dumps({"revision": revision, "complete": complete, "members": members}).encode()


def fleet(count: int) -> list[dict[str, Any]]:
    return [member(f"s{i}", 9000 + i % 8) for i in range(count)]


class Watched:
    """A client of discovery, the scripted discovery that it calls, and what the client has reported."""

    def __init__(self, discovery: ScriptedServer, long_poll_ms: int) -> None:
        self.discovery = discovery
        self.parser = EndpointListParser(Clock(), ("a",))
        self.client = DiscoveryClient(address_of(discovery), self.parser, KNOWN_REVISION, 9.0, long_poll_ms)
        self.reports = asyncio.Queue[EndpointList | None]()

    def watch(self) -> None:
        self.client.watch(self.reports.put_nowait)

    def fetch(self) -> None:
        self.client.fetch(self.reports.put_nowait)

    def change_address(self, address: Address) -> None:
        self.client.change_address(address, self.reports.put_nowait)

    async def call(self) -> Message:
        """The next call that reaches discovery."""
        return await self.discovery.requests.get()

    async def reported_list(self) -> EndpointList:
        """The next report, which must not be that of a failure."""
        endpoint_list = await self.reports.get()
        assert endpoint_list is not None
        return endpoint_list

    async def until_reading(self, entries: int) -> None:
        """Wait until so many entries of a large list have been read."""
        while self.parser.cached_entry_count <= entries:
            await asyncio.sleep(0)


def address_of(peer: ScriptedServer) -> Address:
    return Address("127.0.0.1", peer.port)


@contextlib.asynccontextmanager
async def watched(long_poll_ms: int = SHARED_LONG_POLL_MS) -> AsyncIterator[Watched]:
    """A watch that has begun."""
    discovery = await ScriptedServer().start()
    watched = Watched(discovery, long_poll_ms)
    watched.watch()
    yield watched
    await discovery.stop()


@pytest.fixture
def short_call_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_client_module, "CALL_TIMEOUT_S", 0.05)


# The way of a watch


@async_test()
async def test_a_watch_keeps_its_connection_and_reports_changes_only() -> None:
    async with watched() as w:
        for revision, members in ((42, []), (43, [GOOD_ENTRY])):
            call = await w.call()
            assert f"index={revision - 1}&wait=" in call.start_line
            await call.answer(200, body(revision, members))
        reported = await w.reported_list()
        assert reported.revision == 43
        assert reported.entries[0].endpoint.id == "s"
        call = await w.call()
        assert "index=43&" in call.start_line
        assert w.discovery.connection_count == 1
        assert w.reports.empty()
        w.watch()  # while a watch runs: no second call
        await call.answer(503, b"")
        assert await w.reports.get() is None
        assert w.discovery.requests.empty()
        assert w.reports.empty()


@async_test()
async def test_a_connection_that_discovery_closes_is_replaced() -> None:
    async with watched() as w:
        first = await w.call()
        await first.answer(200, body(42, []), Connection="close")
        assert "index=42&" in (await w.call()).start_line
        await first.connection.wait_for_close()  # the old connection is not left open
        assert w.discovery.connection_count == 2
        assert w.reports.empty()


@async_test()
async def test_the_balancer_learns_of_changes_and_watches_again_after_a_failure(tmp_path: Path) -> None:
    async with loopback_setup(tmp_path, endpoints=0) as w:
        (await w.discovery.requests.get()).connection.reset()
        new = await ScriptedServer().start()
        client = await w.send_request(post())  # it waits: there is no endpoint to send it to
        call = await w.discovery.requests.get()
        await call.answer(200, body(42, [member("new", new.port)]))
        await (await new.requests.get()).answer()
        assert (await client.read()).status == 200
        await new.stop()


# Answers that make no sense


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"{",
        b"[]",
        b"7",
        b"{}",
        b'{"revision":1,"complete":true,"members":7}',
        b'{"revision":null,"complete":true,"members":[]}',
        b'{"revision":1,"complete":true,"members":{"a":1}}',
        b"\xff\xfe",
    ],
)
@async_test()
async def test_an_answer_that_is_no_list_is_a_failed_call(answer: bytes) -> None:
    async with watched() as w:
        await (await w.call()).answer(200, answer)
        assert await w.reports.get() is None
        w.watch()
        call = await w.call()
        assert "index=41&" in call.start_line
        await call.answer(200, body(42, [GOOD_ENTRY], complete=True))
        assert (await w.reported_list()).is_complete


@async_test()
async def test_an_entry_that_makes_no_sense_harms_itself_only() -> None:
    # The agent once refused a list with a bad entry as a whole. Discovery sent the same list in answer to
    # each further call, so that the agent no longer learned of endpoints that began to drain.
    async with watched() as w:
        bad_entries: list[Any] = [
            {},
            7,
            GOOD_ENTRY | {"id": "b", "phase": "WELL"},
            GOOD_ENTRY | {"id": "c", "host_port": "nowhere"},
            GOOD_ENTRY | {"id": "e", "up_since_ms": [1]},
            GOOD_ENTRY | {"id": "f", "size": float("inf")},
        ]
        draining = member("d", 9, "DRAINING")
        members = [*bad_entries[:3], GOOD_ENTRY, *bad_entries[3:], draining]
        await (await w.call()).answer(200, body(42, members))
        reported = await w.reported_list()
        assert reported.revision == 42
        status = {str(entry.endpoint.id): entry.endpoint.status for entry in reported.entries}
        assert status.pop("s") is EndpointStatus.READY
        assert status.pop("d") is EndpointStatus.DRAINING
        # What discovery says of the others is not known: they are sent nothing new.
        assert set(status) == set("bcef")
        assert set(status.values()) == {EndpointStatus.REMOVED}


@async_test()
async def test_an_older_list_does_not_undo_a_newer_one() -> None:
    async with watched() as w:
        await (await w.call()).answer(200, body(42, [member("s", 9, "DRAINING")]))
        assert (await w.reported_list()) is not None
        await (await w.call()).answer(200, body(40, [GOOD_ENTRY]))
        assert await w.reports.get() is None  # a failed call, and the next is for the complete list
        w.watch()
        call = await w.call()
        assert call.start_line == COMPLETE_LIST_CALL
        await call.answer(200, body(3, [GOOD_ENTRY], complete=True))  # discovery counts from the start again
        assert (await w.reported_list()).revision == 3
        assert "index=3&" in (await w.call()).start_line


# Silence: a discovery that is cut off and closes no connection


@pytest.mark.parametrize("begun", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"])
@async_test()
async def test_a_watch_that_falls_silent_is_replaced_shortly_after_its_wait(begun: bytes) -> None:
    # The agent once gave a silent long poll up 2 s after its wait. What the poll had missed counted as
    # notified at that very time, and only then did the next call begin.
    async with watched(long_poll_ms=30) as w:
        unanswered = await w.call()
        assert "&wait=30 " in unanswered.start_line
        await unanswered.connection.write(begun)
        async with asyncio.timeout(1.7):
            call = await w.call()
        await unanswered.connection.wait_for_close()
        # On a new connection, at once, and without waiting for what was missed.
        assert "index=41&wait=1 " in call.start_line
        assert w.discovery.connection_count == 2
        await call.answer(200, body(42, [GOOD_ENTRY]))
        assert (await w.reported_list()).revision == 42
        assert w.reports.empty()
        assert "index=42&wait=30 " in (await w.call()).start_line
        assert w.discovery.connection_count == 2


@pytest.mark.usefixtures("short_call_timeout")
@async_test()
async def test_a_watch_that_is_silent_on_its_new_connection_too_has_failed() -> None:
    async with watched(long_poll_ms=30) as w:
        assert "&wait=30 " in (await w.call()).start_line
        assert "&wait=1 " in (await w.call()).start_line
        assert await w.reports.get() is None
        assert w.discovery.requests.empty()


@pytest.mark.usefixtures("short_call_timeout")
@async_test()
async def test_at_a_shared_discovery_the_call_after_a_failed_one_does_not_wait(tmp_path: Path) -> None:
    # The first call after an outage began may never be answered. When it was a long poll, that was found out
    # after up to 20.5 s, while changes count as notified much earlier.
    async with loopback_setup(tmp_path, endpoints=0) as w:
        await (await w.discovery.requests.get()).answer(503, b"")
        unanswered = await w.discovery.requests.get()
        assert "index=41&wait=1 " in unanswered.start_line
        await unanswered.connection.wait_for_close()
        call = await w.discovery.requests.get()
        assert "index=41&wait=1 " in call.start_line
        await call.answer(200, body(42, [GOOD_ENTRY]))
        call = await w.discovery.requests.get()
        assert "index=42&wait=" in call.start_line
        assert "&wait=1 " not in call.start_line


@pytest.mark.usefixtures("short_call_timeout")
@pytest.mark.parametrize("revision", [0, None])
@async_test(timeout_s=5.0)
async def test_a_connection_that_does_not_open_is_given_up_however_long_the_settings_allow(
    revision: int | None,
) -> None:
    with socket.socket() as full, contextlib.ExitStack() as queued:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        for _ in range(8):  # nothing is accepted: when the queue is full, the next connection hangs
            queued_socket = queued.enter_context(socket.socket())
            queued_socket.setblocking(False)
            queued_socket.connect_ex(full.getsockname())
        reports = asyncio.Queue[EndpointList | None]()
        parser = EndpointListParser(Clock(), ("a",))
        address = Address(*full.getsockname())
        DiscoveryClient(address, parser, revision, connect_timeout_s=60.0).watch(reports.put_nowait)
        assert await reports.get() is None


async def first_waits_ms(folder: Path, mode: str) -> list[int]:
    """The wait in the first call of each of twenty agents."""
    waits_ms = []
    for number in range(20):
        discovery = await ScriptedServer().start()
        document = config_doc(discovery.port, [])
        document["settings"]["registryMode"], document["seed"] = mode, f"{number + 1:x}"
        clock = Clock()
        config = load_config(folder, document, clock)
        agent, _ = assemble(config, clock)
        agent.start(config.cached_list)
        first = (await discovery.requests.get()).start_line
        waits_ms.append(int(first.partition("&wait=")[2].split()[0]))
        await discovery.stop()
    return waits_ms


def test_at_a_shared_discovery_the_waits_of_the_agents_do_not_end_together(tmp_path: Path) -> None:
    # The watches of six agents once fell silent at the same time and were replaced at the same time. Their
    # calls had to wait for each other, until changes counted as notified.
    waits_ms = asyncio.run(first_waits_ms(tmp_path, "ask"))
    assert min(waits_ms) >= 10_000
    assert max(waits_ms) <= 20_000
    assert len(set(waits_ms)) > 10
    assert max(waits_ms) - min(waits_ms) > 4_000
    assert max(asyncio.run(first_waits_ms(tmp_path, "push"))) <= 4_000


# Watch, fetch and a change of address that cross


@pytest.mark.parametrize("fetch_first", [True, False])
@async_test()
async def test_a_fetch_and_a_watch_that_cross_end_at_the_newer_list(fetch_first: bool) -> None:
    async with watched() as w:
        watch = await w.call()
        w.fetch()
        fetch = await w.call()
        if fetch_first:
            await fetch.answer(200, body(43, [member("s", 9, "DRAINING")], complete=True))
            assert (await w.reported_list()).revision == 43
            await watch.answer(200, body(42, [GOOD_ENTRY]))
        else:
            await watch.answer(200, body(43, [member("s", 9, "DRAINING")]))
            assert (await w.reported_list()).revision == 43
            await fetch.answer(200, body(42, [GOOD_ENTRY], complete=True))
        assert await w.reports.get() is None


@async_test()
async def test_a_change_of_address_while_a_large_list_is_read_leaves_nothing_of_it() -> None:
    async with watched() as w:
        new = await ScriptedServer().start()
        await (await w.call()).answer(200, body(50, fleet(FLEET_SIZE), complete=True))
        await w.until_reading(entries=100)
        assert w.reports.empty()
        assert w.parser.cached_entry_count < FLEET_SIZE
        w.change_address(address_of(new))
        call = await new.requests.get()
        assert call.start_line.startswith("GET /catalog/members HTTP")
        await call.answer(200, body(3, fleet(5), complete=True))
        reported = await w.reported_list()
        assert (reported.revision, len(reported.entries)) == (3, 5)
        assert w.reports.empty()
        w.change_address(address_of(w.discovery))  # ends the watch there
        await new.stop()


@async_test()
async def test_an_older_complete_list_that_is_read_while_a_newer_one_arrives_changes_nothing() -> None:
    async with watched() as w:
        watch = await w.call()
        w.fetch()
        fetch = await w.call()
        await watch.answer(200, body(50, fleet(FLEET_SIZE), complete=True))
        await w.until_reading(entries=100)
        await fetch.answer(200, body(51, fleet(5), complete=True))
        reported = await w.reported_list()
        assert (reported.revision, len(reported.entries)) == (51, 5)
        assert await w.reports.get() is None
        assert w.reports.empty()
        w.watch()  # the call of the older list began before the newer one was known: now the complete list
        call = await w.call()
        assert call.start_line.startswith("GET /catalog/members HTTP")
        await call.answer(200, body(51, fleet(5), complete=True))
        await w.reports.get()
        w.change_address(Address("127.0.0.1", 9))
