"""Tests of the client of discovery: its watch, its fetches, and its handling of invalid responses."""

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
LARGE_LIST_SIZE = 6300  # Entries. Parsing them takes many iterations of the event loop.
VALID_ENTRY = member("s", 9)


def list_body(revision: int, members: list[dict[str, Any]], complete: bool = False) -> bytes:
    return json.dumps({"revision": revision, "complete": complete, "members": members}).encode()


def many_entries(count: int) -> list[dict[str, Any]]:
    return [member(f"s{i}", 9000 + i % 8) for i in range(count)]


class WatchSetup:
    """A client of discovery, the scripted discovery that it calls, and the reports of the client."""

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

    async def next_call(self) -> Message:
        """Wait for the next call that reaches discovery, and return it."""
        return await self.discovery.requests.get()

    async def next_list(self) -> EndpointList:
        """Wait for the next report, which must be a list and not a failure, and return it."""
        endpoint_list = await self.reports.get()
        assert endpoint_list is not None
        return endpoint_list

    async def wait_until_parsed(self, entries: int) -> None:
        """Wait until more than this number of entries of a large list have been parsed."""
        while self.parser.cached_entry_count <= entries:
            await asyncio.sleep(0)


def address_of(server: ScriptedServer) -> Address:
    return Address("127.0.0.1", server.port)


@contextlib.asynccontextmanager
async def running_watch(long_poll_ms: int = SHARED_LONG_POLL_MS) -> AsyncIterator[WatchSetup]:
    """Yield a client of discovery whose watch has been started."""
    discovery = await ScriptedServer().start()
    setup = WatchSetup(discovery, long_poll_ms)
    setup.watch()
    yield setup
    await discovery.stop()


@pytest.fixture
def short_call_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_client_module, "CALL_TIMEOUT_S", 0.05)


# The course of a watch


@async_test()
async def test_a_watch_keeps_its_connection_and_reports_changes_only() -> None:
    async with running_watch() as setup:
        for revision, members in ((42, []), (43, [VALID_ENTRY])):
            call = await setup.next_call()
            assert f"index={revision - 1}&wait=" in call.start_line
            await call.answer(200, list_body(revision, members))
        reported = await setup.next_list()
        assert reported.revision == 43
        assert reported.entries[0].endpoint.id == "s"
        call = await setup.next_call()
        assert "index=43&" in call.start_line
        assert setup.discovery.connection_count == 1
        assert setup.reports.empty()
        setup.watch()  # This makes no second call, because a watch is running.
        await call.answer(503, b"")
        assert await setup.reports.get() is None
        assert setup.discovery.requests.empty()
        assert setup.reports.empty()


@pytest.mark.parametrize("is_reset", [False, True])
@async_test()
async def test_a_list_without_a_length_is_taken_if_and_only_if_the_close_is_orderly(is_reset: bool) -> None:
    """A list whose end is the end of the connection was dropped, so that the agent never learned of a change.

    A reset is no end, because the list may have been truncated.
    """
    async with running_watch() as setup:
        call = await setup.next_call()
        await call.connection.write(b"HTTP/1.1 200 OK\r\n\r\n" + list_body(42, [VALID_ENTRY]))
        if is_reset:
            call.connection.reset_in_kernel()
            assert await setup.reports.get() is None
            return
        call.connection.close()
        assert (await setup.next_list()).revision == 42
        assert "index=42&" in (await setup.next_call()).start_line
        assert setup.discovery.connection_count == 2


@async_test()
async def test_bytes_behind_a_response_are_not_read_as_the_next_one() -> None:
    # The part of a second response was kept, and read as the beginning of the response to the next call.
    async with running_watch() as setup:
        first = await setup.next_call()
        body = list_body(42, [])
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        await first.connection.write(response + b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{")
        second = await setup.next_call()
        assert "index=42&" in second.start_line
        assert setup.discovery.connection_count == 2
        await second.answer(200, list_body(43, [VALID_ENTRY]))
        assert (await setup.next_list()).revision == 43


@async_test()
async def test_a_connection_that_discovery_closes_is_replaced() -> None:
    async with running_watch() as setup:
        first = await setup.next_call()
        await first.answer(200, list_body(42, []), Connection="close")
        assert "index=42&" in (await setup.next_call()).start_line
        await first.connection.wait_for_close()  # The client has closed the old connection.
        assert setup.discovery.connection_count == 2
        assert setup.reports.empty()


@async_test()
async def test_the_agent_watches_again_after_a_failure_and_uses_a_new_endpoint(tmp_path: Path) -> None:
    async with loopback_setup(tmp_path, endpoints=0) as setup:
        (await setup.discovery.requests.get()).connection.reset()
        new = await ScriptedServer().start()
        client = await setup.send_request(post())  # The request waits, because no endpoint is listed.
        call = await setup.discovery.requests.get()
        await call.answer(200, list_body(42, [member("new", new.port)]))
        await (await new.requests.get()).answer()
        assert (await client.read()).status == 200
        await new.stop()


# Invalid responses


@pytest.mark.parametrize(
    "response",
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
async def test_a_response_that_is_not_a_list_is_a_failed_call(response: bytes) -> None:
    async with running_watch() as setup:
        await (await setup.next_call()).answer(200, response)
        assert await setup.reports.get() is None
        setup.watch()
        call = await setup.next_call()
        assert "index=41&" in call.start_line
        await call.answer(200, list_body(42, [VALID_ENTRY], complete=True))
        assert (await setup.next_list()).is_complete


@async_test()
async def test_an_invalid_entry_affects_only_its_own_endpoint() -> None:
    # The agent once rejected the whole list if one entry was invalid. Discovery sent the same list in
    # response to each further call, so that the agent no longer learned of endpoints that began to drain.
    async with running_watch() as setup:
        invalid_entries: list[Any] = [
            {},
            7,
            VALID_ENTRY | {"id": "b", "phase": "WELL"},
            VALID_ENTRY | {"id": "c", "host_port": "nowhere"},
            VALID_ENTRY | {"id": "e", "up_since_ms": [1]},
            VALID_ENTRY | {"id": "f", "size": float("inf")},
        ]
        draining = member("d", 9, "DRAINING")
        members = [*invalid_entries[:3], VALID_ENTRY, *invalid_entries[3:], draining]
        await (await setup.next_call()).answer(200, list_body(42, members))
        reported = await setup.next_list()
        assert reported.revision == 42
        status = {str(entry.endpoint.id): entry.endpoint.status for entry in reported.entries}
        assert status.pop("s") is EndpointStatus.READY
        assert status.pop("d") is EndpointStatus.DRAINING
        # An endpoint whose entry has an id but is otherwise invalid is in an unknown state, so it counts as
        # removed and gets no new requests.
        assert set(status) == set("bcef")
        assert set(status.values()) == {EndpointStatus.REMOVED}


@async_test()
async def test_an_older_list_does_not_undo_a_newer_one() -> None:
    async with running_watch() as setup:
        await (await setup.next_call()).answer(200, list_body(42, [member("s", 9, "DRAINING")]))
        assert (await setup.next_list()) is not None
        await (await setup.next_call()).answer(200, list_body(40, [VALID_ENTRY]))
        # The call counts as failed, so the next one asks for the complete list.
        assert await setup.reports.get() is None
        setup.watch()
        call = await setup.next_call()
        assert call.start_line == COMPLETE_LIST_CALL
        # Discovery has restarted its count of revisions.
        await call.answer(200, list_body(3, [VALID_ENTRY], complete=True))
        assert (await setup.next_list()).revision == 3
        assert "index=3&" in (await setup.next_call()).start_line


# A discovery that is cut off from the network: it closes no connection, but sends no response


@pytest.mark.parametrize("partial_response", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"])
@async_test()
async def test_a_long_poll_without_a_response_is_replaced_shortly_after_its_wait(
    partial_response: bytes,
) -> None:
    # The agent once gave up a long poll without a response only 2 s after the end of its wait. When the next
    # call began, the changes that the poll had missed already counted as notified.
    async with running_watch(long_poll_ms=30) as setup:
        unanswered = await setup.next_call()
        assert "&wait=30 " in unanswered.start_line
        await unanswered.connection.write(partial_response)
        async with asyncio.timeout(1.7):
            call = await setup.next_call()
        await unanswered.connection.wait_for_close()
        # The next call follows immediately, on a new connection, and asks for an immediate response.
        assert "index=41&wait=1 " in call.start_line
        assert setup.discovery.connection_count == 2
        await call.answer(200, list_body(42, [VALID_ENTRY]))
        assert (await setup.next_list()).revision == 42
        assert setup.reports.empty()
        assert "index=42&wait=30 " in (await setup.next_call()).start_line
        assert setup.discovery.connection_count == 2


@pytest.mark.usefixtures("short_call_timeout")
@async_test()
async def test_a_watch_fails_if_its_new_connection_delivers_no_response_either() -> None:
    async with running_watch(long_poll_ms=30) as setup:
        assert "&wait=30 " in (await setup.next_call()).start_line
        assert "&wait=1 " in (await setup.next_call()).start_line
        assert await setup.reports.get() is None
        assert setup.discovery.requests.empty()


@pytest.mark.usefixtures("short_call_timeout")
@async_test()
async def test_at_a_shared_discovery_the_call_after_a_failed_one_is_no_long_poll(tmp_path: Path) -> None:
    # During an outage, the call after a failed one may get no response. That call was once a long poll, and
    # up to 20.5 s passed before this was detected, although changes count as notified much earlier.
    async with loopback_setup(tmp_path, endpoints=0) as setup:
        await (await setup.discovery.requests.get()).answer(503, b"")
        unanswered = await setup.discovery.requests.get()
        assert "index=41&wait=1 " in unanswered.start_line
        await unanswered.connection.wait_for_close()
        call = await setup.discovery.requests.get()
        assert "index=41&wait=1 " in call.start_line
        await call.answer(200, list_body(42, [VALID_ENTRY]))
        call = await setup.discovery.requests.get()
        assert "index=42&wait=" in call.start_line
        assert "&wait=1 " not in call.start_line


@pytest.mark.usefixtures("short_call_timeout")
@pytest.mark.parametrize("revision", [0, None])
@async_test(timeout_s=5.0)
async def test_a_connect_is_given_up_after_the_call_timeout_even_if_the_settings_allow_longer(
    revision: int | None,
) -> None:
    # With a revision the first call is a long poll; without one it asks for the complete list.
    with socket.socket() as listener, contextlib.ExitStack() as queued:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(8):  # No connection is accepted, so the next one hangs when the accept queue is full.
            queued_socket = queued.enter_context(socket.socket())
            queued_socket.setblocking(False)
            queued_socket.connect_ex(listener.getsockname())
        reports = asyncio.Queue[EndpointList | None]()
        parser = EndpointListParser(Clock(), ("a",))
        address = Address(*listener.getsockname())
        DiscoveryClient(address, parser, revision, connect_timeout_s=60.0).watch(reports.put_nowait)
        assert await reports.get() is None


async def first_waits_ms(folder: Path, mode: str) -> list[int]:
    """Return the waits that 20 agents with different seeds state in their first calls.

    `mode` is "ask" for a shared discovery and "push" for a local one.
    """
    waits_ms = []
    for number in range(20):
        discovery = await ScriptedServer().start()
        document = config_doc(discovery.port, [])
        document["settings"]["registryMode"], document["seed"] = mode, f"{number + 1:x}"
        clock = Clock()
        config = load_config(folder, document, clock)
        agent, _ = assemble(config, clock)
        agent.start(config.cached_list)
        start_line = (await discovery.requests.get()).start_line
        waits_ms.append(int(start_line.partition("&wait=")[2].split()[0]))
        await discovery.stop()
    return waits_ms


def test_at_a_shared_discovery_the_agents_have_different_waits(tmp_path: Path) -> None:
    # The long polls of six agents once got no response at the same time, and were replaced at the same time.
    # The new calls had to wait for each other at discovery until changes already counted as notified.
    waits_ms = asyncio.run(first_waits_ms(tmp_path, "ask"))
    assert min(waits_ms) >= 10_000
    assert max(waits_ms) <= 20_000
    assert len(set(waits_ms)) > 10
    assert max(waits_ms) - min(waits_ms) > 4_000
    assert max(asyncio.run(first_waits_ms(tmp_path, "push"))) <= 4_000


# Watches, fetches and changes of address at the same time


@pytest.mark.parametrize("fetch_first", [True, False])
@async_test()
async def test_a_fetch_and_a_watch_at_the_same_time_keep_the_newer_list(fetch_first: bool) -> None:
    async with running_watch() as setup:
        watch = await setup.next_call()
        setup.fetch()
        fetch = await setup.next_call()
        if fetch_first:
            await fetch.answer(200, list_body(43, [member("s", 9, "DRAINING")], complete=True))
            assert (await setup.next_list()).revision == 43
            await watch.answer(200, list_body(42, [VALID_ENTRY]))
        else:
            await watch.answer(200, list_body(43, [member("s", 9, "DRAINING")]))
            assert (await setup.next_list()).revision == 43
            await fetch.answer(200, list_body(42, [VALID_ENTRY], complete=True))
        assert await setup.reports.get() is None


@async_test()
async def test_a_list_that_is_being_parsed_is_dropped_if_the_address_changes() -> None:
    async with running_watch() as setup:
        new = await ScriptedServer().start()
        await (await setup.next_call()).answer(
            200, list_body(50, many_entries(LARGE_LIST_SIZE), complete=True)
        )
        await setup.wait_until_parsed(entries=100)
        assert setup.reports.empty()
        assert setup.parser.cached_entry_count < LARGE_LIST_SIZE
        setup.change_address(address_of(new))
        call = await new.requests.get()
        assert call.start_line.startswith("GET /catalog/members HTTP")
        await call.answer(200, list_body(3, many_entries(5), complete=True))
        reported = await setup.next_list()
        assert (reported.revision, len(reported.entries)) == (3, 5)
        assert setup.reports.empty()
        setup.change_address(address_of(setup.discovery))  # This ends the watch at the new address.
        await new.stop()


@async_test()
async def test_an_older_list_that_is_being_parsed_is_dropped_if_a_newer_one_arrives() -> None:
    async with running_watch() as setup:
        watch = await setup.next_call()
        setup.fetch()
        fetch = await setup.next_call()
        await watch.answer(200, list_body(50, many_entries(LARGE_LIST_SIZE), complete=True))
        await setup.wait_until_parsed(entries=100)
        await fetch.answer(200, list_body(51, many_entries(5), complete=True))
        reported = await setup.next_list()
        assert (reported.revision, len(reported.entries)) == (51, 5)
        assert await setup.reports.get() is None
        assert setup.reports.empty()
        setup.watch()  # The older list made the watch fail, so the next call asks for the complete list.
        call = await setup.next_call()
        assert call.start_line.startswith("GET /catalog/members HTTP")
        await call.answer(200, list_body(51, many_entries(5), complete=True))
        await setup.reports.get()
        setup.change_address(Address("127.0.0.1", 9))
