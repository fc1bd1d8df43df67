"""Attempts and lists that cross, in an order that the test forces; each ends exactly once."""

from __future__ import annotations

import asyncio
import select
import time
from pathlib import Path
from typing import Any

import pytest

from nickelmount.agent.clock import Clock
from nickelmount.agent.connection import Connection
from nickelmount.agent.connection_pool import PooledConnection
from nickelmount.protocol.endpoint_list import EndpointList, EndpointListParser
from tests.loopback import LOAD, UNSAFE, Message, Peer, World, member, post, world

DONE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


def listing(*members: dict[str, object], complete: bool = False) -> EndpointList:
    parser = EndpointListParser(Clock(), ("a",))
    return parser.parse({"revision": 42, "complete": complete, "members": list(members)})


def readable(connection: Connection) -> None:
    """Wait, without a turn of the loop, till there is something to read on it."""
    assert connection.transport is not None
    poll = select.poll()
    poll.register(connection.transport.get_extra_info("socket").fileno(), select.POLLIN)
    assert poll.poll(10_000)


def attempt(w: World) -> PooledConnection:
    """The connection of the one attempt that is out."""
    (exchange,) = w.agent._out.values()
    assert exchange._connection is not None
    return exchange._connection


def test_an_answer_in_the_kernel_goes_before_the_time_out_that_is_due(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as w:
            client = await w.ask(post(UNSAFE, timeout_ms="400"))
            got = await w.request()
            got.peer.writer.write(DONE)
            readable(attempt(w))
            time.sleep(0.45)  # the loop is held up; both are due at its next turn
            assert (await client.read()).status == 200
            assert not w.agent._out
            assert w.agent._balancer.out == 0

    asyncio.run(run())


@pytest.mark.parametrize("how", ["drains", "goes", "is not listed", "moves"])
def test_an_answer_that_crosses_the_drain_of_its_server_is_served(tmp_path: Path, how: str) -> None:
    async def run() -> None:
        async with world(tmp_path, backends=2) as w:
            client = await w.ask(post(UNSAFE))
            got = await w.request()
            here = attempt(w)
            first = next(i for i, p in enumerate(w.backends) if p.port == here.member.address.port)
            name, other = f"s{first}", w.backends[1 - first]
            got.peer.writer.write(DONE)
            readable(here)
            port = w.backends[first].port
            w.agent._listed(
                {
                    "drains": listing(member(name, port, "DRAINING")),
                    "goes": listing(member(name, port, "DELETED")),
                    "is not listed": listing(member(f"s{1 - first}", other.port), complete=True),
                    "moves": listing(member(name, other.port, up=1_700_000_000_000)),
                }[how]
            )
            assert (await client.read()).status == 200
            await got.peer.ended()  # and the connection is not kept
            for i in range(4):  # nothing new goes there
                again = await w.ask(post(UNSAFE, Request_Id=f"9c{i}"))
                await (await other.requests.get()).answer()
                assert (await again.read()).status == 200
            assert w.backends[first].requests.empty()

    asyncio.run(run())


@pytest.mark.parametrize("answer", [b"H", b"HTTP/1.1 200 OK\r\nContent-", DONE[:-1]])
@pytest.mark.parametrize("end", ["reset", "close"])
def test_a_break_from_the_first_byte_of_an_answer_on_fails_what_may_not_be_repeated(
    tmp_path: Path, answer: bytes, end: str
) -> None:
    async def run() -> None:
        async with world(tmp_path, backends=2) as w:
            client = await w.ask(post(UNSAFE))
            got = await w.request()
            await got.peer.write(answer)
            if end == "reset":
                got.peer.reset()
            else:
                got.peer.close()
            assert (await client.read()).status == 502  # neither served nor refused
            assert w.nothing_sent()
            assert not w.agent._out
            assert not w.agent._balancer.requests

    asyncio.run(run())


def test_attempts_end_at_the_most_that_the_settings_allow(tmp_path: Path) -> None:
    async def run() -> None:
        for most in (1, 2, 3):
            async with world(tmp_path, backends=6, maxAttempts=most) as w:
                client, tries = await w.ask(post(UNSAFE)), 0
                answer = asyncio.create_task(client.read())
                while not answer.done():
                    got = asyncio.create_task(w.request())
                    await asyncio.wait([got, answer], return_when=asyncio.FIRST_COMPLETED)
                    if got.done():
                        tries += 1
                        await got.result().answer(503, b"", Not_Started="1")
                    else:
                        got.cancel()
                # It surely never ran, so it is refused.
                assert answer.result().status == 503
                assert tries == most

    asyncio.run(run())


def test_what_is_out_is_closed_before_the_next_try_where_copies_are_forbidden(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path, backends=2) as w:
            client = await w.ask(post())
            first = await w.request()
            await first.peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: none\r\n\r\n")  # may be tried again
            second = await w.request()
            assert first.peer.over is not None
            await first.peer.ended()
            assert len(w.agent._out) == 1
            await second.answer()
            assert (await client.read()).status == 200

    asyncio.run(run())


def test_a_server_that_moves_while_a_connection_comes_up_gets_nothing_at_its_old_address(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with world(tmp_path) as w:
            old, new, pool = w.backends[0], await Peer().start(), w.agent._backends.pool
            opened, let, to_open = asyncio.Event(), asyncio.Event(), pool.open

            async def late(there: object) -> object:
                connection = await to_open(there)  # type: ignore[arg-type]
                opened.set()
                await let.wait()
                return connection

            monkeypatch.setattr(pool, "open", late)
            client = await w.ask(post(UNSAFE))
            await opened.wait()
            w.agent._listed(listing(member("s0", new.port)))
            let.set()
            await (await new.requests.get()).answer()
            assert (await client.read()).status == 200
            assert old.requests.empty()
            assert not pool.opening
            await new.stop()

    asyncio.run(run())


class Shifted:
    """Puts the agent's clock forward."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.us = 0
        monkeypatch.setattr(Clock, "now", lambda _: time.monotonic_ns() // 1000 + self.us)


class Late:
    """The nth connection that is opened from now on is up and handed over only when the test lets it."""

    def __init__(self, w: World, monkeypatch: pytest.MonkeyPatch, nth: int) -> None:
        self.up, self.let, self._left = asyncio.Event(), asyncio.Event(), nth
        self._open = w.agent._backends.pool.open
        monkeypatch.setattr(w.agent._backends.pool, "open", self._late)

    async def _late(self, there: Any) -> PooledConnection:
        self._left -= 1
        held = self._left == 0
        connection = await self._open(there)
        if held:
            self.up.set()
            await self.let.wait()
        return connection


WINDOW_US = 15_000_000  # of the keyed class


def test_a_repeat_whose_connection_comes_up_behind_its_window_is_not_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        clock = Shifted(monkeypatch)
        async with world(tmp_path, backends=2) as w:
            late = Late(w, monkeypatch, nth=2)
            client = await w.ask(post())
            await (await w.request()).answer(500)  # it may have run
            await late.up.wait()
            clock.us += WINDOW_US
            late.let.set()
            assert (await client.read()).status == 503  # at once, though half of its time is left
            assert w.nothing_sent()
            assert not w.agent._out
            assert w.agent._balancer.out == 0

    asyncio.run(run())


def test_a_first_attempt_whose_connection_comes_up_behind_the_window_of_its_copy_is_not_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        clock = Shifted(monkeypatch)
        async with world(tmp_path, backends=2, secondCopies=True) as w:
            for _ in range(3):  # a typical latency is known
                await idle(w)
            for name in ("s0", "s1"):
                w.agent._backends.pool.forget(name)
            late = Late(w, monkeypatch, nth=1)
            client = await w.ask(post(Request_Id="9b31"))
            await late.up.wait()
            copy = await w.request()
            clock.us += WINDOW_US
            late.let.set()
            while len(w.agent._out) > 1:
                await asyncio.sleep(0)
            await copy.answer()
            assert (await client.read()).status == 200
            assert w.nothing_sent()
            assert w.agent._balancer.out == 0

    asyncio.run(run())


@pytest.mark.parametrize("where", ["locality", "cell"])
def test_nothing_goes_to_a_server_that_changes_its_group_while_a_connection_comes_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, where: str
) -> None:
    async def run() -> None:
        async with world(tmp_path) as w:
            late = Late(w, monkeypatch, nth=1)
            client = await w.ask(post())
            await late.up.wait()
            other = member("s0", w.backends[0].port) | {where: {"locality": "b", "cell": 2}[where]}
            w.agent._listed(
                EndpointListParser(Clock(), ("a", "b")).parse(
                    {"revision": 42, "complete": False, "members": [other]}
                )
            )
            late.let.set()
            again = await w.request()  # chosen anew
            assert w.backends[0].connections == 2
            await again.answer()
            assert (await client.read()).status == 200

    asyncio.run(run())


async def idle(w: World) -> Message:
    """One request served; its connection is kept."""
    client = await w.ask(post())
    got = await w.request()
    await got.answer()
    assert (await client.read()).status == 200
    client.close()
    return got


@pytest.mark.parametrize("late", [DONE, b"HTTP/1.1 200 OK\r\n", b"\r\n", LOAD])
def test_what_comes_late_on_an_idle_connection_in_the_turn_it_is_taken_reaches_no_request(
    tmp_path: Path, late: bytes
) -> None:
    async def run() -> None:
        async with world(tmp_path) as w:
            got = await idle(w)
            (kept,) = w.agent._backends.pool._open
            client = await w.client()
            got.peer.writer.write(late)
            readable(kept)
            await client.write(post(UNSAFE, Request_Id="9b30"))
            second = await w.request()
            assert second.peer is not got.peer
            await second.answer(200, b"mine")
            assert (await client.read()).body == b"mine"

    asyncio.run(run())
