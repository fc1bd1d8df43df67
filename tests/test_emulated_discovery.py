"""Emulated discovery on loopback, watched by the agent's client of it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from nickelmount.agent import discovery_client
from nickelmount.agent.clock import Clock
from nickelmount.agent.discovery_client import DiscoveryClient
from nickelmount.agent.discovery_connection import DiscoveryConnection
from nickelmount.balancer.events import EndpointStatus
from nickelmount.fleet import large_responses
from nickelmount.fleet.discovery_messages import DiscoveryStart, DiscoveryStatus
from nickelmount.fleet.emulated_discovery import EmulatedDiscovery
from nickelmount.fleet.listening_port import SEND_BUFFER_BYTES
from nickelmount.protocol.address import Address
from nickelmount.protocol.endpoint_list import EndpointList, EndpointListParser, ListedEndpoint

LOCALITIES = ("r0-z0", "r0-z1", "r1-z0", "r1-z1")
CLOCK = Clock()  # one, so that the same start is the same time to all


@contextlib.asynccontextmanager
async def emulated_discovery(
    servers: int = 40, history: int = 100
) -> AsyncIterator[tuple[EmulatedDiscovery, int]]:
    """Emulated discovery, and its port."""
    discovery, faults = EmulatedDiscovery(), []
    asyncio.get_running_loop().set_exception_handler(lambda _, fault: faults.append(fault))
    try:
        async with asyncio.timeout(60):  # a hang fails the test; nothing is timed by this
            started = await discovery.start(DiscoveryStart(servers, 7, 2, 2, 2, [9001, 9002], history))
            yield discovery, started.port
    finally:
        await discovery.close()
    assert faults == []


class ListClient:
    """An agent's client of discovery, and the list that it knows."""

    def __init__(self, port: int, wait_ms: int = 20_000) -> None:
        parser = EndpointListParser(CLOCK, LOCALITIES)
        self.discovery = DiscoveryClient(Address("127.0.0.1", port), parser, 0, 9.0, wait_ms)
        self.known: dict[object, ListedEndpoint] = {}
        self.updates = asyncio.Queue[EndpointList | None]()

    def watch(self) -> None:
        self.discovery.watch(self.receive)

    def receive(self, listing: EndpointList | None) -> None:
        if listing is not None:
            if listing.is_complete:
                self.known.clear()
            self.known.update((m.endpoint.id, m) for m in listing.entries)
            self.known = {
                i: m for i, m in self.known.items() if m.endpoint.status is not EndpointStatus.REMOVED
            }
        self.updates.put_nowait(listing)

    async def knows(self, revision: int) -> EndpointList:
        """Watch, again where it breaks, until this revision has arrived."""
        self.watch()
        while (listing := await self.updates.get()) is None or listing.revision < revision:
            if listing is None:
                self.watch()
        return listing


async def listed(port: int) -> dict[object, ListedEndpoint]:
    """The complete list, as a new client gets it."""
    client = ListClient(port)
    client.discovery.fetch(client.receive)
    assert (listing := await client.updates.get()) is not None
    assert listing.is_complete
    return client.known


def keys(status: DiscoveryStatus) -> dict[str, Any]:
    """The counts under their keys on the wire."""
    return {**msgspec.to_builtins(status)}


async def until(discovery: EmulatedDiscovery, **figures: int) -> None:
    """Wait until the counts, by their keys on the wire, are these."""
    while (counts := keys(await discovery.status())) | figures != counts:
        await asyncio.sleep(0)


def test_a_change_reaches_the_waiting_watches() -> None:
    async def run() -> None:
        async with emulated_discovery() as (discovery, port):
            clients = [ListClient(port) for _ in range(20)]
            for client in clients:
                assert (await client.knows(1)).is_complete
            await until(discovery, waiting=20)
            changes = [
                await discovery.change("DRAINING", share=0.25, seed=3),
                await discovery.change("DELETED", where="rack", seed=3),
                await discovery.change("SERVING", replaced=True),
            ]
            assert changes[0].changed_entries == 10
            assert changes[1].revision == 3
            for client in clients:
                assert not (await client.knows(4)).is_complete
                assert client.known == await listed(port)
            assert len(clients[0].known) == 40
            counts = keys(await discovery.status())
            assert counts["whole"] == 40
            assert counts["connections"] == 40
            assert counts["waiting_most"] == 20
            assert 0 < counts["most_calls_in_100ms"] <= counts["calls"]
            published = (await discovery.published_changes())["changes"]
            assert [(c.revision, c.at_ns, c.changed_entries) for c in changes] == published

    asyncio.run(run())


@pytest.mark.parametrize("kind", ["refused", "silent"])
@pytest.mark.parametrize("history", ["kept", "gone", "renumbered"])
def test_after_an_outage_all_changes_made_in_it_are_known(kind: Any, history: Any) -> None:
    """Discovery fails while a client watches, and a zone is deleted meanwhile.

    Afterwards discovery has its history, or none, or none and counts revisions from 1 again. The client gets
    the change in each case, as a delta or with the complete list.
    """

    async def run() -> None:
        async with emulated_discovery() as (discovery, port):
            client = ListClient(port)
            await client.knows(1)
            await discovery.change("DRAINING", count=3, seed=1)
            await discovery.change("DELETED", count=3, seed=2)
            await client.knows(3)
            await until(discovery, waiting=1)
            await discovery.begin_outage(kind)
            await discovery.change("DELETED", where="zone", seed=3)
            if kind == "refused":
                assert await client.updates.get() is None
                client.watch()
                assert await client.updates.get() is None
            assert client.updates.empty()
            ended = await discovery.end_outage(history)
            assert ended.revision == (1 if history == "renumbered" else 4)
            if kind == "silent":
                assert await client.updates.get() is None  # reset
            listing = await client.knows(ended.revision)
            assert listing.is_complete == (history != "kept")
            assert client.known == await listed(port)
            assert (await discovery.status()).failed == 1
            await client.knows((await discovery.change("DRAINING", count=1)).revision)
            assert client.known == await listed(port)
            await discovery.begin_outage("silent")  # a restart alone
            await discovery.end_outage("renumbered")
            assert await client.updates.get() is None
            assert (await client.knows(1)).revision == 1

    asyncio.run(run())


def test_a_watch_opened_in_a_silent_outage_is_reset_at_its_end(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Discovery fails silently: connections are accepted by the kernel alone, and nothing is answered.

    A client gives up its watch and opens another one in the outage. The end of the outage resets it, although
    discovery has never seen it, and the client gets the change that it missed.
    """
    monkeypatch.setattr(discovery_client, "LONG_POLL_GRACE_S", 0.05)
    monkeypatch.setattr(discovery_client, "CALL_TIMEOUT_S", 50.0)

    async def run() -> None:
        async with emulated_discovery() as (discovery, port):
            client = ListClient(port, wait_ms=20)
            await client.knows(1)
            await discovery.begin_outage("silent")
            connected = asyncio.Event()
            connection_made = DiscoveryConnection.connection_made

            def made(call: DiscoveryConnection, transport: asyncio.BaseTransport) -> None:
                connection_made(call, transport)
                connected.set()

            monkeypatch.setattr(DiscoveryConnection, "connection_made", made)
            await connected.wait()
            await discovery.change("DRAINING", where="region", seed=3)
            await discovery.end_outage()
            assert await client.updates.get() is None
            await client.knows(2)
            assert client.known == await listed(port)

    asyncio.run(run())
    assert "fell silent" in caplog.text


def test_malformed_calls_are_refused_and_all_is_counted() -> None:
    """Clients send calls of each form, and others that have none. The latter get 400 or 404 and a close."""

    async def run() -> None:
        async with emulated_discovery() as (discovery, port):
            requests: list[tuple[str, int]] = [
                ("GET /catalog/members", 200),
                ("GET /catalog/members?index=1&wait=1", 200),
                ("GET /catalog/members?wait=0&index=1", 200),
                ("GET /catalog/members?index=9&wait=60000", 200),
                ("GET /catalog/members?index=1&wait=60001", 400),
                ("GET /catalog/members?index=1", 400),
                ("GET /catalog/members?index=-1&wait=5", 400),
                ("GET /catalog/members?", 400),
                ("GET /catalog/members?index=1&index=1", 400),
                ("GET /catalog", 404),
                ("POST /catalog/members", 400),
                ("no request at all", 400),
            ]
            bytes_in = bytes_out = 0
            bodies = []
            for line, status in requests:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                request = f"{line} HTTP/1.1\r\nHost: d\r\nContent-Length: 0\r\n\r\n".encode()
                writer.write(request)
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(f"HTTP/1.1 {status} ".encode()), line
                length = int(head.partition(b"Content-Length: ")[2].split()[0])
                bodies.append(await reader.readexactly(length))
                bytes_in, bytes_out = bytes_in + len(request), bytes_out + len(head) + length
                if status != 200:
                    assert await reader.read() == b""  # closed
                writer.close()
            assert json.loads(bodies[0]) == json.loads(bodies[3])
            assert json.loads(bodies[1])["members"] == []
            counts = keys(await discovery.status())
            expected = {
                "calls": 12,
                "whole": 2,
                "deltas": 0,
                "empty": 2,
                "failed": 8,
                "left": 0,
                "connections": 12,
                "waiting_most": 1,
                "bytes_in": bytes_in,
                "bytes_out": bytes_out,
            }
            assert counts | expected == counts

    asyncio.run(run())


def test_a_client_that_disconnects_waits_no_more() -> None:
    """One client disconnects while its watch waits: it is abandoned. Another gets an empty delta."""

    async def run() -> None:
        async with emulated_discovery() as (discovery, port):
            for wait_ms, disconnects in ((50, True), (100, False)):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(f"GET /catalog/members?index=1&wait={wait_ms} HTTP/1.1\r\n\r\n".encode())
                await until(discovery, waiting=1)
                if not disconnects:
                    assert b"200 OK" in await reader.readline()
                writer.close()
                await until(discovery, waiting=0)
            await until(discovery, left=1, empty=1)

    asyncio.run(run())


def test_only_some_large_responses_are_written_at_a_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Five clients ask for a large list and do not read it. Two responses begin, and three are queued.

    Meanwhile the list changes, twice, and one of the queued clients disconnects. Small responses pass the
    queue, and a response that begins late has what is known by then.
    """
    monkeypatch.setattr(large_responses, "MAX_CONCURRENT_RESPONSES", 2)

    async def run() -> None:
        async with emulated_discovery(servers=20_000) as (discovery, port):
            client = ListClient(port)
            await client.knows(1)
            await until(discovery, waiting=1)
            stalled = []
            for n in range(5):
                sock = socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SEND_BUFFER_BYTES)
                sock.setblocking(False)
                await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
                stalled.append(await asyncio.open_connection(sock=sock, limit=1024))
                stalled[-1][1].write(b"GET /catalog/members HTTP/1.1\r\n\r\n")
                await until(discovery, calls=n + 3)  # in this order
            await until(discovery, queued=3)
            await discovery.change("DRAINING", count=1)
            assert len((await client.knows(2)).entries) == 1
            stalled.pop()[1].close()
            await until(discovery, queued=2)
            revisions = []
            for reader, writer in stalled:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.partition(b"Content-Length: ")[2].split()[0])
                revisions.append(json.loads(await reader.readexactly(length))["revision"])
                writer.close()
                if len(revisions) == 1:
                    await until(discovery, queued=1)
                    await discovery.change("DRAINING", count=1)
            assert revisions == [1, 1, 2, 3]
            counts = keys(await discovery.status())
            assert counts["queue_most"] == 3
            assert counts["left"] == 1
            assert counts["queued"] == 0

    asyncio.run(run())


def test_steady_changes_go_on_until_they_are_stopped() -> None:
    async def run() -> None:
        async with emulated_discovery() as (discovery, port):
            client = ListClient(port)
            await discovery.set_steady_changes(per_s=1000.0, seed=1)
            known_revision = (await client.knows(7)).revision
            await discovery.set_steady_changes(per_s=0)
            revision = (await discovery.status()).revision
            if known_revision < revision:
                await client.knows(revision)
            assert client.known == await listed(port)
            changes = (await discovery.published_changes())["changes"]
            assert [change.revision for change in changes] == list(range(2, revision + 1))
            assert {change.entries for change in changes} == {1}
            draining = [m for m in client.known.values() if m.endpoint.status is EndpointStatus.DRAINING]
            assert len(draining) == (revision - 1) % 2

    asyncio.run(run())


def test_its_process_ends_with_its_input() -> None:
    """A command that comes too early or has a wrong argument is answered with an error, and others go on."""

    async def run() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "nickelmount.fleet.emulated_discovery",
            cwd=Path(__file__).parent.parent,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        commands = [
            {"do": "begin_outage", "kind": "silent"},
            {
                "do": "start",
                "servers": 6,
                "seed": 1,
                "regions": 1,
                "zones_per_region": 1,
                "racks_per_zone": 1,
                "ports": [9001],
                "history": 5,
            },
            {"do": "change", "phase": "GONE"},
            {"do": "change", "phase": "DRAINING", "count": 2},
            {"do": "counts"},
        ]
        out, _ = await process.communicate(b"".join(json.dumps(c).encode() + b"\n" for c in commands))
        answers = [json.loads(line) for line in out.splitlines()]
        assert process.returncode == 0
        assert len(answers) == 5
        assert "error" in answers[0]
        assert answers[1]["ok"]["revision"] == 1
        assert "error" in answers[2]
        assert answers[3]["ok"]["changed"] == 2
        assert answers[4]["ok"]["rss_mb"] > 0

    asyncio.run(asyncio.wait_for(run(), 60))
