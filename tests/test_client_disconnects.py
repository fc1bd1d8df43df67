"""A client that leaves while its request waits: nothing is sent on for it, and nothing of it is counted."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from nickelmount.agent.clock import Clock
from nickelmount.agent.downstream import ClientConnection
from nickelmount.balancer.events import TimerFired
from nickelmount.protocol.endpoint_list import EndpointList, EndpointListParser
from tests.loopback import KEYED, LOAD, UNSAFE, Conversation, Message, Peer, World, member, post, world


def by_fin(s: socket.socket) -> None:
    s.close()


def by_reset(s: socket.socket) -> None:
    s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    s.close()


def by_fin_behind_bytes(s: socket.socket) -> None:
    s.send(post(Request_Id="9b99")[:60])
    s.close()


def by_half_close(s: socket.socket) -> None:
    s.shutdown(socket.SHUT_WR)  # no other than a close, as far as the kernel is told


LEAVING = pytest.mark.parametrize("leave", [by_fin, by_reset, by_fin_behind_bytes, by_half_close])


def listing(*peers: Peer) -> EndpointList:
    members = [member(f"s{i}", p.port) for i, p in enumerate(peers)]
    parser = EndpointListParser(Clock(), ("a",))
    return parser.parse({"revision": 42, "complete": True, "members": members})


class Caller:
    """A client whose bytes and whose close reach the agent's kernel without a turn of the agent's loop."""

    def __init__(self, w: World) -> None:
        self._known = set(w.server.connections)
        self._w = w
        self.socket = socket.create_connection(("127.0.0.1", w.port))

    async def accepted(self) -> Caller:
        while not (fresh := self._w.server.connections - self._known):
            await asyncio.sleep(0)
        (self._there,) = fresh
        return self

    def leave(self, how: Callable[[socket.socket], None]) -> None:
        how(self.socket)
        assert self._there.transport is not None
        poll = select.poll()
        poll.register(self._there.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        assert poll.poll(10_000)  # it is in the kernel there, and has not been read


async def kept_open(w: World) -> None:
    """To each backend an idle connection: what is sent is then written in the very turn."""
    pool = w.agent._backends.pool
    for there in listing(*w.backends).entries:
        pool.give_back(await pool.open(there), True, there)


async def taken(w: World, number: int) -> None:
    while w.agent._taken < number:
        await asyncio.sleep(0)


async def nothing_goes_on(w: World) -> None:
    """Wait for the turns in which all of it is seen; nothing more is sent or held."""
    while w.server.connections or w.server.open_request_ids:
        await asyncio.sleep(0)
    await asyncio.sleep(0.3)  # what were sent on nevertheless would have come by now
    balancer = w.agent._balancer
    assert not w.agent._held
    assert not w.agent._out
    assert w.nothing_sent()
    assert not balancer.requests
    assert not balancer.waiting
    assert balancer.out == 0


async def forgotten(w: World) -> None:
    """The same where nothing was sent: nothing of it is left in the counts of the module either."""
    await nothing_goes_on(w)
    balancer = w.agent._balancer
    assert all(s.own(balancer.now) == 0 for s in balancer.servers.values())


@asynccontextmanager
async def waiting(folder: Path, draining: bool = False) -> AsyncIterator[tuple[World, Peer]]:
    """An agent without backends, and one that it does not know yet."""
    async with world(folder, backends=0) as w:
        w.server.is_draining = draining
        peer = await Peer().start()
        w.backends.append(peer)
        yield w, peer


@LEAVING
@pytest.mark.parametrize("draining", [False, True])
def test_one_held_by_the_module_is_not_sent_on(
    tmp_path: Path, leave: Callable[[socket.socket], None], draining: bool
) -> None:
    async def run() -> None:
        async with waiting(tmp_path, draining) as (w, peer):
            caller = await Caller(w).accepted()
            caller.socket.send(post(UNSAFE))
            await taken(w, 1)
            caller.leave(leave)
            w.agent._listed(listing(peer))  # what it waited for comes before its close is read
            await forgotten(w)

    asyncio.run(run())


@LEAVING
def test_a_burst_of_many_that_leave_at_once(tmp_path: Path, leave: Callable[[socket.socket], None]) -> None:
    async def run() -> None:
        async with waiting(tmp_path) as (w, peer):
            callers = [await Caller(w).accepted() for _ in range(40)]
            for i, caller in enumerate(callers):
                caller.socket.send(post(UNSAFE, Request_Id=f"9b{i}"))
            await taken(w, 40)
            for caller in callers:
                caller.leave(leave)
            w.agent._listed(listing(peer))
            await forgotten(w)

    asyncio.run(run())


@pytest.mark.parametrize("many", [1, 40])
def test_one_that_left_before_its_request_was_read(tmp_path: Path, many: int) -> None:
    async def run() -> None:
        async with world(tmp_path) as w:
            await kept_open(w)
            callers = [await Caller(w).accepted() for _ in range(many)]
            for i, caller in enumerate(callers):
                caller.socket.send(post(Request_Id=f"9b{i}"))
                caller.leave(by_fin)
            await forgotten(w)

    asyncio.run(run())


@pytest.mark.parametrize("many", [1, 40])
def test_one_that_left_before_it_was_accepted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, many: int
) -> None:
    async def run() -> None:
        async with world(tmp_path) as w:
            await kept_open(w)
            came, accepted = w.server.connection_opened, list[ClientConnection]()

            def counted(client: ClientConnection) -> None:
                accepted.append(client)
                came(client)

            monkeypatch.setattr(w.server, "connection_opened", counted)
            for i in range(many):
                s = socket.create_connection(("127.0.0.1", w.port))
                s.send(post(Request_Id=f"9b{i}"))
                s.close()
            while len(accepted) < many:
                await asyncio.sleep(0)
            await forgotten(w)

    asyncio.run(run())


def turned_away(first: Message) -> None:
    first.peer.writer.write(b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")


def broken(first: Message) -> None:
    first.peer.shut()


@LEAVING
@pytest.mark.parametrize(("cls", "ends"), [(UNSAFE, turned_away), (KEYED, broken)])
def test_one_that_waits_for_another_try(
    tmp_path: Path, leave: Callable[[socket.socket], None], cls: str, ends: Callable[[Message], None]
) -> None:
    async def run() -> None:
        async with world(tmp_path, backends=2) as w:
            await kept_open(w)
            caller = await Caller(w).accepted()
            caller.socket.send(post(cls))
            ends(await w.request())  # in the kernel at once, and so it is read first
            caller.leave(leave)
            while w.agent._held:
                await asyncio.sleep(0)
            await asyncio.sleep(0.3)
            assert w.nothing_sent()
            assert not w.agent._out
            assert w.agent._balancer.out == 0

    asyncio.run(run())


def timer_falls_due(w: World) -> None:
    """The next timer of the module fires ahead of whatever has not been read."""
    balancer, now = w.agent._balancer, w.agent._clock.now
    late_us = max(0, balancer.due[0][0] - now())
    w.agent._clock.now = lambda: now() + late_us  # type: ignore[method-assign]
    w.agent._post(TimerFired(balancer.armed))


STAYING = pytest.mark.parametrize("leave", [None, by_fin, by_reset])


@STAYING
def test_one_whose_hold_ends_before_its_close_is_read(
    tmp_path: Path, leave: Callable[[socket.socket], None] | None
) -> None:
    async def run() -> None:
        async with waiting(tmp_path) as (w, peer):
            await kept_open(w)
            caller = await Caller(w).accepted()
            caller.socket.send(post(UNSAFE))
            await taken(w, 1)
            w.agent._listed(listing(peer))
            if leave is not None:
                caller.leave(leave)
            timer_falls_due(w)
            if leave is not None:
                return await forgotten(w)
            await peer.requests.get()  # who stays is served
            caller.socket.close()

    asyncio.run(run())


@STAYING
def test_one_whose_second_copy_is_due_before_its_close_is_read(
    tmp_path: Path, leave: Callable[[socket.socket], None] | None
) -> None:
    async def run() -> None:
        async with world(tmp_path, backends=2, secondCopies=True) as w:
            await kept_open(w)
            w.agent._balancer.table.typical = 3e6  # due after thrice as long
            caller = await Caller(w).accepted()
            caller.socket.send(post())
            first = await w.request()
            if leave is not None:
                caller.leave(leave)
            timer_falls_due(w)
            if leave is not None:
                await first.peer.ended()
                return await nothing_goes_on(w)
            await w.request()  # who stays gets the copy
            caller.socket.close()

    asyncio.run(run())


@LEAVING
@pytest.mark.parametrize("read", [False, True])
def test_one_that_waits_for_a_connection_that_comes_up_late(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, leave: Callable[[socket.socket], None], read: bool
) -> None:
    async def run() -> None:
        async with world(tmp_path) as w:
            pool = w.agent._backends.pool
            opened, let = asyncio.Event(), asyncio.Event()
            to_open = pool.open

            async def late(member: object) -> object:
                connection = await to_open(member)  # type: ignore[arg-type]
                opened.set()
                await let.wait()
                return connection

            monkeypatch.setattr(pool, "open", late)
            caller = await Caller(w).accepted()
            caller.socket.send(post(UNSAFE))
            await opened.wait()
            if read:
                caller.leave(leave)
                while w.agent._held:
                    await asyncio.sleep(0)
                let.set()
            else:  # the connection is up in the very turn
                let.set()  # who waits for it is next to run, ahead of whoever reads the close
                caller.leave(leave)
            await forgotten(w)
            assert not pool.opening

    asyncio.run(run())


class Unprobed(Peer):
    """Its probes are the test's to answer, too."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conversation = Conversation(reader, writer)
        conversation.over = asyncio.Event()
        try:
            while True:
                self.requests.put_nowait(await conversation.read())
        except (asyncio.IncompleteReadError, ConnectionError):
            conversation.over.set()
        finally:
            writer.close()


@LEAVING
def test_one_that_waits_for_a_probe(tmp_path: Path, leave: Callable[[socket.socket], None]) -> None:
    async def run() -> None:
        async with world(tmp_path, backends=0, probes=True) as w:
            peer = await Unprobed().start()
            w.backends.append(peer)
            w.agent._listed(listing(peer))
            caller = await Caller(w).accepted()
            caller.socket.send(post(UNSAFE))
            probe = await peer.requests.get()
            assert probe.first.startswith("GET /_load")
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LOAD)
            probe.peer.writer.write(head + LOAD)
            caller.leave(leave)
            await forgotten(w)

    asyncio.run(run())


def test_what_is_out_is_closed_and_no_longer_counted(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as w:
            caller = await Caller(w).accepted()
            caller.socket.send(post())
            out = await w.request()
            caller.leave(by_reset)
            await out.peer.ended()
            while w.server.connections:
                await asyncio.sleep(0)
            assert not w.agent._held
            assert not w.agent._out
            assert w.agent._balancer.out == 0
            assert not w.agent._balancer.requests

    asyncio.run(run())
