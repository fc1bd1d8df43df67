"""The list of backends: the watch goes on, breaks once, and is never believed when it makes no sense."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from pathlib import Path
from typing import Any

import pytest

from nickelmount.agent import discovery_client as discovery_module
from nickelmount.agent.assembly import assemble
from nickelmount.agent.clock import Clock
from nickelmount.agent.discovery_client import DiscoveryClient
from nickelmount.agent.discovery_connection import MAX_ANSWER_BYTES
from nickelmount.balancer.events import EndpointStatus
from nickelmount.protocol.address import Address
from nickelmount.protocol.endpoint_list import EndpointList, EndpointListParser
from tests.loopback import Peer, config_doc, load_config, member, post, world


def body(revision: int, members: list[dict[str, Any]], complete: bool = False) -> bytes:
    return json.dumps({"revision": revision, "complete": complete, "members": members}).encode()


def asks(peer: Peer, wait_ms: int = 20_000) -> DiscoveryClient:
    parser = EndpointListParser(Clock(), ("a",))
    return DiscoveryClient(Address("127.0.0.1", peer.port), parser, 41, 9.0, wait_ms)


def test_the_same_start_is_always_the_same_time() -> None:
    clock = Clock()
    assert clock.from_unix_ms(0) == 0
    assert clock.from_unix_ms(1_700_000_000_123) == clock.from_unix_ms(1_700_000_000_123) != 0
    assert clock.from_unix_ms(1_700_000_001_000) - clock.from_unix_ms(1_700_000_000_000) == 1_000_000


def test_a_watch_goes_on_on_one_connection_and_tells_changes_only() -> None:
    async def run() -> None:
        peer, told = await Peer().start(), asyncio.Queue[EndpointList | None]()
        discovery = asks(peer)
        discovery.watch(told.put_nowait)
        for revision, members in ((42, []), (43, [member("s", 9)])):
            call = await peer.requests.get()
            assert f"index={revision - 1}&wait=" in call.first
            await call.answer(200, body(revision, members))
        listing = await told.get()
        assert listing is not None
        assert listing.revision == 43
        assert listing.entries[0].endpoint.id == "s"
        call = await peer.requests.get()
        assert "index=43&" in call.first
        assert peer.connections == 1
        assert told.empty()
        discovery.watch(told.put_nowait)  # asked again while it goes on: no second call
        await call.answer(503, b"")
        assert await told.get() is None
        assert peer.requests.empty()
        assert told.empty()
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


GOOD = member("s", 9)


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
def test_an_answer_that_makes_no_sense_is_a_failed_call(answer: bytes) -> None:
    async def run() -> None:
        peer, told = await Peer().start(), asyncio.Queue[EndpointList | None]()
        discovery = asks(peer)
        discovery.watch(told.put_nowait)
        await (await peer.requests.get()).answer(200, answer)
        assert await told.get() is None
        discovery.watch(told.put_nowait)
        call = await peer.requests.get()
        assert "index=41&" in call.first
        await call.answer(200, body(42, [GOOD], complete=True))
        listing = await told.get()
        assert listing is not None
        assert listing.complete
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


@pytest.mark.parametrize("begun", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"])
def test_a_watch_that_falls_silent_is_found_broken_soon_after_its_wait(begun: bytes) -> None:
    # It was given up 2 s after its wait, just when what it missed counts as told; then the next call came.
    async def run() -> None:
        peer, told = await Peer().start(), asyncio.Queue[EndpointList | None]()
        discovery = asks(peer, wait_ms=30)
        discovery.watch(told.put_nowait)
        silent = await peer.requests.get()
        assert "&wait=30 " in silent.first
        await silent.peer.write(begun)
        async with asyncio.timeout(1.7):
            call = await peer.requests.get()
        await silent.peer.ended()
        # On a new connection, at once, and it does not wait again for what was missed.
        assert "index=41&wait=1 " in call.first
        assert peer.connections == 2
        await call.answer(200, body(42, [GOOD]))
        listing = await told.get()
        assert listing is not None
        assert listing.revision == 42
        assert told.empty()
        assert "index=42&wait=30 " in (await peer.requests.get()).first
        assert peer.connections == 2
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_a_watch_that_is_silent_again_when_opened_anew_has_broken(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_module, "CALL_TIMEOUT_S", 0.05)

    async def run() -> None:
        peer, told = await Peer().start(), asyncio.Queue[EndpointList | None]()
        asks(peer, wait_ms=30).watch(told.put_nowait)
        assert "&wait=30 " in (await peer.requests.get()).first
        assert "&wait=1 " in (await peer.requests.get()).first
        assert await told.get() is None
        assert peer.requests.empty()
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_where_agents_share_discovery_the_call_after_a_failed_one_does_not_wait(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Begun within an outage it may be silent for good: it was found so after up to 20.5 s, told or not.
    monkeypatch.setattr(discovery_module, "CALL_TIMEOUT_S", 0.05)

    async def run() -> None:
        async with world(tmp_path, backends=0) as w:
            first = await w.discovery.requests.get()
            await first.answer(503, b"")
            silent = await w.discovery.requests.get()
            assert "index=41&wait=1 " in silent.first
            await silent.peer.ended()
            call = await w.discovery.requests.get()
            assert "index=41&wait=1 " in call.first
            await call.answer(200, body(42, [GOOD]))
            call = await w.discovery.requests.get()
            assert "index=42&wait=" in call.first
            assert "&wait=1 " not in call.first

    asyncio.run(run())


@pytest.mark.parametrize("revision", [0, None])
def test_a_connection_to_discovery_that_does_not_come_up_is_given_up_whatever_the_settings_allow(
    monkeypatch: pytest.MonkeyPatch, revision: int | None
) -> None:
    monkeypatch.setattr(discovery_module, "CALL_TIMEOUT_S", 0.05)

    async def run() -> None:
        with socket.socket() as full, contextlib.ExitStack() as kept:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            for _ in range(8):  # its queue is filled, and no one accepts: the next one hangs
                s = kept.enter_context(socket.socket())
                s.setblocking(False)
                s.connect_ex(full.getsockname())
            told = asyncio.Queue[EndpointList | None]()
            parser = EndpointListParser(Clock(), ("a",))
            discovery = DiscoveryClient(Address(*full.getsockname()), parser, 0, connect_timeout_s=60.0)
            discovery._revision = revision
            discovery.watch(told.put_nowait)
            async with asyncio.timeout(5):
                assert await told.get() is None

    asyncio.run(run())


def test_where_agents_share_discovery_their_waits_do_not_end_together(tmp_path: Path) -> None:
    # Six watches that fell silent at once were opened anew at once, and waited in turn beyond the grace.
    async def waits(mode: str) -> list[int]:
        found = []
        for i in range(20):
            peer = await Peer().start()
            doc = config_doc(peer.port, [])
            doc["settings"]["registryMode"], doc["seed"] = mode, f"{i + 1:x}"
            clock = Clock()
            config = load_config(tmp_path, doc, clock)
            agent, _ = assemble(config, clock)
            agent.start(config.known_list)
            first = (await peer.requests.get()).first
            found.append(int(first.partition("&wait=")[2].split()[0]))
            await peer.stop()
        return found

    asked = asyncio.run(waits("ask"))
    assert min(asked) >= 10_000
    assert max(asked) <= 20_000
    assert len(set(asked)) > 10
    assert max(asked) - min(asked) > 4_000
    assert max(asyncio.run(waits("push"))) <= 4_000


def test_a_connection_that_discovery_closes_is_replaced() -> None:
    async def run() -> None:
        peer, told = await Peer().start(), asyncio.Queue[EndpointList | None]()
        discovery = asks(peer)
        discovery.watch(told.put_nowait)
        first = await peer.requests.get()
        await first.answer(200, body(42, []), Connection="close")
        assert "index=42&" in (await peer.requests.get()).first
        await first.peer.ended()  # and the old one is not left open
        assert peer.connections == 2
        assert told.empty()
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_the_module_hears_of_changes_and_asks_again_after_a_break(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path, backends=0) as w:
            (await w.discovery.requests.get()).peer.reset()
            late = await Peer().start()
            client = await w.ask(post())  # held: there is nobody to send it to
            call = await w.discovery.requests.get()
            await call.answer(200, body(42, [member("late", late.port)]))
            await (await late.requests.get()).answer()
            assert (await client.read()).status == 200
            await late.stop()

    asyncio.run(run())


def test_an_entry_that_makes_no_sense_harms_itself_only() -> None:
    # Refused whole, the same answer came again to each call: servers that drained were not heard of any more.
    async def run() -> None:
        peer, told = await Peer().start(), asyncio.Queue[EndpointList | None]()
        discovery = asks(peer)
        discovery.watch(told.put_nowait)
        bad: list[Any] = [
            {},
            7,
            GOOD | {"id": "b", "phase": "WELL"},
            GOOD | {"id": "c", "host_port": "nowhere"},
            GOOD | {"id": "e", "up_since_ms": [1]},
            GOOD | {"id": "f", "size": float("inf")},
        ]
        drains = member("d", 9, "DRAINING")
        await (await peer.requests.get()).answer(200, body(42, [*bad[:3], GOOD, *bad[3:], drains]))
        listing = await told.get()
        assert listing is not None
        assert listing.revision == 42
        states = {str(m.endpoint.id): m.endpoint.status for m in listing.entries}
        assert states.pop("s") is EndpointStatus.READY
        assert states.pop("d") is EndpointStatus.DRAINING
        # What is said of them is not known: they are sent nothing new.
        assert set(states) == set("bcef")
        assert set(states.values()) == {EndpointStatus.REMOVED}
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_a_list_of_thousands_is_read_whole() -> None:
    parser = EndpointListParser(Clock(), ("a",))
    members = [member(f"s-{i:08x}", 1 + i % 60000) for i in range(5000)]
    text = body(42, members, complete=True)
    assert len(text) < MAX_ANSWER_BYTES
    assert len({m.endpoint.id for m in parser.parse(json.loads(text)).entries}) == 5000


def test_an_older_answer_does_not_undo_what_is_known(tmp_path: Path) -> None:
    async def run() -> None:
        peer, told = await Peer().start(), asyncio.Queue[EndpointList | None]()
        discovery = asks(peer)
        discovery.watch(told.put_nowait)
        await (await peer.requests.get()).answer(200, body(42, [member("s", 9, "DRAINING")]))
        assert (await told.get()) is not None
        await (await peer.requests.get()).answer(200, body(40, [member("s", 9)]))
        assert await told.get() is None  # a failed call, and the next is for the whole list
        discovery.watch(told.put_nowait)
        call = await peer.requests.get()
        assert call.first == "GET /catalog/members HTTP/1.1"
        await call.answer(200, body(3, [GOOD], complete=True))  # discovery has begun to count anew
        listing = await told.get()
        assert listing is not None
        assert listing.revision == 3
        assert "index=3&" in (await peer.requests.get()).first
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_a_fetch_and_a_watch_that_cross_end_at_the_newer_list() -> None:
    async def run() -> None:
        for fetch_first in (True, False):
            peer, told = await Peer().start(), asyncio.Queue[EndpointList | None]()
            discovery = asks(peer)
            discovery.watch(told.put_nowait)
            watch = await peer.requests.get()
            discovery.fetch(told.put_nowait)
            fetch = await peer.requests.get()
            if fetch_first:
                await fetch.answer(200, body(43, [member("s", 9, "DRAINING")], complete=True))
                assert (listing := await told.get()) is not None
                assert listing.revision == 43
                await watch.answer(200, body(42, [member("s", 9)]))
            else:
                await watch.answer(200, body(43, [member("s", 9, "DRAINING")]))
                assert (listing := await told.get()) is not None
                assert listing.revision == 43
                await fetch.answer(200, body(42, [member("s", 9)], complete=True))
            assert await told.get() is None
            await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))
