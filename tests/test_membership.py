"""A change of the list costs what has changed, and ends where a whole pass would have ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

import pytest

from nickelmount.agent.clock import Clock
from nickelmount.agent.config import config_from
from nickelmount.balancer.balancer import Balancer, ColdBudget
from nickelmount.balancer.events import (
    Endpoint,
    EndpointsChanged,
    EndpointStatus,
    ListUpdateKind,
    RequestArrived,
)
from nickelmount.fleet.agent_config import config
from nickelmount.fleet.emulated_discovery import Standin
from nickelmount.fleet.experiment import Agents, Experiment
from nickelmount.fleet.hollow_agents import Hollow
from tests.balancer_driver import SAFE, SECOND, Drive

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


async def turns(reached: Callable[[], bool]) -> None:
    while not reached():
        await asyncio.sleep(0)


@pytest.mark.parametrize("history", ["kept", "gone", "renumbered"])
def test_agents_that_come_back_in_the_middle_of_an_outage_end_with_the_list(history: Any) -> None:
    async def run() -> None:
        standin = Standin()
        e = Experiment(name="x", agents=Agents(siblings=1))
        try:
            begun = await standin.start(300, 7, 3, 4, 5, [9001], 10)
            doc = config(e, 0, begun["port"], {"revision": 0, "complete": True, "members": []})
            agents = [Hollow(config_from(doc, {}, CLOCK), CLOCK, i) for i in range(12)]
            for a in agents:
                a.start()
            for _ in range(15):  # more than the history holds
                await standin.change("DRAINING", count=2, seed=1)
            await turns(lambda: all(a.taken for a in agents))
            await standin.begin_outage("refused")
            await standin.change("DELETED", where="zone", seed=2)
            for a in agents[::2]:
                a.end()
            ended = await standin.end_outage(history)
            for a in agents[::2]:
                a.start()
            await standin.change("SERVING", replaced=True)
            revision = (await standin.count())["revision"]
            while not all(a.had(revision, ended["at_ns"]) for a in agents):
                await asyncio.sleep(0.02)
            serving = {x.id for x in standin._catalog.entries("SERVING")}
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
