"""A change of the list costs what has changed, and ends where a whole pass would have ended."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

import pytest

from nickelmount.agent.clock import Clock
from nickelmount.agent.config import config_from
from nickelmount.agent.connection_pool import ConnectionPool
from nickelmount.agent.discovery import Address, DiscoveryClient, EndpointList, EndpointListParser
from nickelmount.agent.upstream import Upstream
from nickelmount.balancer.balancer import Balancer, ColdBudget
from nickelmount.balancer.events import (
    Endpoint,
    EndpointsChanged,
    EndpointStatus,
    ListUpdateKind,
    RequestArrived,
)
from nickelmount.fleet.agent_config import config
from nickelmount.fleet.discovery_messages import DiscoveryStart
from nickelmount.fleet.emulated_discovery import EmulatedDiscovery
from nickelmount.fleet.experiment import AgentSettings, Experiment
from nickelmount.fleet.hollow_agents import HollowAgent
from tests.balancer_driver import SAFE, SECOND, Drive
from tests.loopback import Peer, member

LARGE = 6300
CLOCK = Clock()


def drive(seed: int, **settings: Any) -> Drive:
    return Drive(
        servers=0,
        seed=seed,
        instance_count=50,
        warm_up_start_capacity=0.2,
        warm_up_us=24 * SECOND,
        load_report_fields=("inflight",),
        **settings,
    )


def by_a_pass(b: Balancer, now: int) -> tuple[list[object], float]:
    """What the ready servers are and can do, by looking at each."""
    ready = sorted((s for s in b.servers.values() if s.status is EndpointStatus.READY), key=lambda s: s.turn)
    return [s.id for s in ready], sum(b.cold.warmth(s, now) for s in ready)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("settings", [{}, {"can_probe": True}])
def test_after_any_changes_it_stands_as_a_pass_over_all_would_have_it(
    seed: int, settings: dict[str, Any]
) -> None:
    d, random = drive(seed, **settings), Random(seed)
    names = [f"s{i}" for i in range(30)]
    d.now += 60 * SECOND
    for _ in range(300):
        d.now += random.randrange(2 * SECOND)
        changed = []
        for name in random.sample(names, random.choice((1, 1, 2, 15, 30))):
            start = random.choice((0, d.now, d.now - random.randrange(30 * SECOND), d.now + 2 * SECOND))
            changed.append(Endpoint(name, random.choice(list(EndpointStatus)), started_at_us=start))
        if random.random() < 0.2:  # a whole list; whom it does not name is gone
            changed = [b for b in changed if b.status is not EndpointStatus.REMOVED]
            d.list(*changed, kind=ListUpdateKind.FULL)
        else:
            d.list(*changed)
        d.request()
        b = d.balancer
        b._choose()
        ready, capacity = by_a_pass(b, d.now)
        assert [s.id for s in b.ready] == ready
        assert b.capacity == pytest.approx(capacity)
        assert set(b.leaving) == {s.id for s in b.servers.values() if s.status is EndpointStatus.REMOVED}


@pytest.mark.parametrize("event", ["change", "second"])
def test_neither_a_change_nor_a_second_asks_all_of_a_large_fleet(
    monkeypatch: pytest.MonkeyPatch, event: str
) -> None:
    d = drive(1)
    # Half of them are back just now.
    started = [Endpoint(f"s{i}", started_at_us=d.now if i % 2 else 0) for i in range(LARGE)]
    d.list(*started, kind=ListUpdateKind.FULL)
    asked = 0
    warmth = ColdBudget.warmth

    def counted(self: ColdBudget, *arguments: Any) -> float:
        nonlocal asked
        asked += 1
        return warmth(self, *arguments)

    monkeypatch.setattr(ColdBudget, "warmth", counted)
    d.now += 2 * SECOND
    if event == "change":
        d.list(replace(started[7], status=EndpointStatus.DRAINING))
    else:
        d.event(RequestArrived(1, 0, SECOND))
    assert 0 < asked < 1000


def test_a_start_by_a_clock_ahead_where_servers_need_no_warming_up_is_no_fault() -> None:
    d = Drive(SAFE, servers=2, warm_up_start_capacity=0.5, warm_up_us=0)
    d.list(replace(d.backends[0], started_at_us=d.now + SECOND))
    assert d.request()[1]


# The list, on the agent's side of the module


def entries(*changes: dict[str, Any], count: int = 200) -> list[dict[str, Any]]:
    listed = {f"s{i}": member(f"s{i}", 9000 + i % 8) for i in range(count)}
    return list((listed | {c["id"]: c for c in changes}).values())


def whole(revision: int, members: list[dict[str, Any]]) -> dict[str, Any]:
    # As it comes off the wire: no object of one list is an object of another.
    text = json.dumps({"revision": revision, "complete": True, "members": members})
    found: dict[str, Any] = json.loads(text)
    return found


def parser() -> EndpointListParser:
    return EndpointListParser(CLOCK, ("a", "b"), ("m",))


def backends() -> Upstream:
    return Upstream(CLOCK, (), ConnectionPool(CLOCK, 250_000, 10_000_000, 9))


def test_of_a_whole_list_the_module_is_told_what_has_changed() -> None:
    there, read = backends(), parser()
    assert len(there.apply(read.parse(whole(1, entries())))) == 200
    assert there.apply(read.parse(whole(2, entries()))) == []
    changed = entries(member("s3", 9003, "DRAINING"), member("s4", 9004, up=77_000), member("s5", 9999))
    told = there.apply(read.parse(whole(3, [m for m in changed if m["id"] != "s9"])))
    assert [(b.id, b.status) for b in told] == [
        ("s3", EndpointStatus.DRAINING),
        ("s4", EndpointStatus.READY),
        ("s5", EndpointStatus.READY),
        ("s9", EndpointStatus.REMOVED),
    ]
    assert there.ready("s9") is None
    assert there.ready("s3") is None
    (back,) = there.apply(read.parse(whole(4, changed)))
    assert back.id == "s9"
    assert there.ready("s9") is not None


def test_an_entry_that_reads_as_before_is_the_same_and_what_is_not_listed_is_not_kept() -> None:
    read = parser()
    before = read.parse(whole(1, entries())).entries
    after = read.parse(whole(2, entries(member("s3", 9003, "DRAINING"), count=150))).entries
    assert [m for m in after if m not in before] == [after[3]]
    assert all(new is old for new, old in zip(after, before, strict=False) if new is not after[3])
    assert len(read._read) == 150
    read.parse({"revision": 3, "complete": False, "members": [member("s7", 9007, "DELETED")]})
    assert len(read._read) == 149
    broken = {**member("s8", 9000), "size": float("nan")}
    told = read.parse(whole(4, entries(broken)))  # was well before: what is wrong with it now counts
    assert [m.endpoint.status for m in told.entries if m.endpoint.id == "s8"] == [EndpointStatus.REMOVED]


def test_a_list_of_thousands_is_read_in_many_turns_of_the_loop() -> None:
    async def run() -> None:
        doc, turns = whole(1, entries(count=LARGE)), 0

        async def others() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        meanwhile = asyncio.create_task(others())
        listing = await parser().parse_aside(doc)
        meanwhile.cancel()
        assert turns > 90
        assert listing == parser().parse(doc)

    asyncio.run(run())


# Crossings


class Told:
    """A Discovery that watches a scripted peer."""

    def __init__(self, peer: Peer, revision: int) -> None:
        self.discovery = DiscoveryClient(Address("127.0.0.1", peer.port), parser(), revision, 9.0)
        self.told: list[EndpointList | None] = []

    def watch(self) -> None:
        self.discovery.watch(self.told.append)


async def turns(reached: Callable[[], bool]) -> None:
    while not reached():
        await asyncio.sleep(0)


def test_a_move_in_the_middle_of_a_large_list_leaves_nothing_of_it() -> None:
    async def run() -> None:
        old, new = await Peer().start(), await Peer().start()
        there = Told(old, 41)
        there.watch()
        await (await old.requests.get()).answer(200, json.dumps(whole(50, entries(count=LARGE))).encode())
        reading = there.discovery._parser._read
        await turns(lambda: len(reading) > 100)
        assert not there.told
        assert len(reading) < LARGE
        there.discovery.change_address(Address("127.0.0.1", new.port), there.told.append)
        request = await new.requests.get()
        assert request.first.startswith("GET /catalog/members HTTP")
        await request.answer(200, json.dumps(whole(3, entries(count=5))).encode())
        await turns(lambda: bool(there.told))
        assert [(t.revision, len(t.entries)) for t in there.told if t is not None] == [(3, 5)]
        there.discovery.change_address(Address("127.0.0.1", old.port), there.told.append)  # ends the watch
        await old.stop()
        await new.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_an_older_whole_list_that_is_read_while_a_newer_one_comes_changes_nothing() -> None:
    async def run() -> None:
        peer = await Peer().start()
        there = Told(peer, 41)
        there.watch()
        watch = await peer.requests.get()
        there.discovery.fetch(there.told.append)
        fetch = await peer.requests.get()
        await watch.answer(200, json.dumps(whole(50, entries(count=LARGE))).encode())
        await turns(lambda: len(there.discovery._parser._read) > 100)  # it is being read
        await fetch.answer(200, json.dumps(whole(51, entries(count=5))).encode())
        await turns(lambda: None in there.told)
        assert [t and (t.revision, len(t.entries)) for t in there.told] == [(51, 5), None]
        there.watch()  # begun ahead of what is known: the whole list tells
        again = await peer.requests.get()
        assert again.first.startswith("GET /catalog/members HTTP")
        await again.answer(200, json.dumps(whole(51, entries(count=5))).encode())
        await turns(lambda: len(there.told) == 3)
        there.discovery.change_address(Address("127.0.0.1", 9), there.told.append)
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


@pytest.mark.parametrize("history", ["kept", "gone", "renumbered"])
def test_agents_that_come_back_in_the_middle_of_an_outage_end_with_the_list(history: Any) -> None:
    async def run() -> None:
        standin = EmulatedDiscovery()
        e = Experiment(name="x", agents=AgentSettings(instance_count=1))
        try:
            begun = await standin.start(DiscoveryStart(300, 7, 3, 4, 5, [9001], 10))
            doc = config(e, 0, begun.port, {"revision": 0, "complete": True, "members": []})
            agents = [HollowAgent(config_from(doc, {}, CLOCK), CLOCK, i) for i in range(12)]
            for a in agents:
                a.start()
            for _ in range(15):  # more than the history holds
                await standin.change("DRAINING", count=2, seed=1)
            await turns(lambda: all(a.received for a in agents))
            await standin.begin_outage("refused")
            await standin.change("DELETED", where="zone", seed=2)
            for a in agents[::2]:
                a.end()
            ended = await standin.end_outage(history)
            for a in agents[::2]:
                a.start()
            await standin.change("SERVING", replaced=True)
            revision = (await standin.status()).revision
            while not all(a.received_at_ns(revision, ended.at_ns) for a in agents):
                await asyncio.sleep(0.02)
            serving = standin.serving_ids()
            for a in agents:
                assert {s.id for s in a.agent._balancer.ready} == serving == set(a.agent._backends._members)
                a.end()
        finally:
            await standin.close()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_a_whole_list_first_and_changes_first_end_alike() -> None:
    """The module's order is its own seed's, whichever way it heard of its servers."""
    listed = [Endpoint(f"s{i}") for i in range(50)]
    one, other = drive(3), drive(3)
    one.list(*listed, kind=ListUpdateKind.FULL)
    for b in listed:
        other.list(b)
    assert [s.id for s in one.balancer.ready] == [s.id for s in other.balancer.ready]
    other.event(EndpointsChanged(ListUpdateKind.FULL, listed[:7]))
    assert {s.id for s in other.balancer.ready} == {f"s{i}" for i in range(7)}
