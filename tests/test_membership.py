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
from nickelmount.balancer.balancer import Balancer
from nickelmount.balancer.events import (
    Endpoint,
    EndpointsChanged,
    EndpointStatus,
    ListUpdateKind,
    RequestArrived,
)
from nickelmount.balancer.slow_start import WarmUpRamp
from nickelmount.fleet.agent_config import build_agent_config
from nickelmount.fleet.discovery_messages import DiscoveryStart
from nickelmount.fleet.emulated_discovery import EmulatedDiscovery
from nickelmount.fleet.experiment import AgentSettings, Experiment
from nickelmount.fleet.hollow_agents import HollowAgent

from .balancer_driver import IDEMPOTENT, SECOND, BalancerDriver

LARGE = 6300
CLOCK = Clock()


def drive(seed: int, **settings: Any) -> BalancerDriver:
    return BalancerDriver(
        endpoint_count=0,
        seed=seed,
        instance_count=50,
        warm_up_start_capacity=0.2,
        warm_up_us=24 * SECOND,
        load_report_fields=("inflight",),
        **settings,
    )


def by_a_pass(b: Balancer, now: int) -> tuple[list[object], float]:
    """What the ready servers are and can do, by looking at each."""
    ready = sorted(
        (s for s in b.endpoints.by_id.values() if s.status is EndpointStatus.READY), key=lambda s: s.order
    )
    return [s.id for s in ready], sum(b.slow_start.ramp.warm_share(s, now) for s in ready)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("settings", [{}, {"can_probe": True}])
def test_after_any_changes_it_stands_as_a_pass_over_all_would_have_it(
    seed: int, settings: dict[str, Any]
) -> None:
    driver, random = drive(seed, **settings), Random(seed)
    names = [f"s{i}" for i in range(30)]
    driver.now += 60 * SECOND
    for _ in range(300):
        driver.now += random.randrange(2 * SECOND)
        changed = []
        for name in random.sample(names, random.choice((1, 1, 2, 15, 30))):
            start = random.choice(
                (0, driver.now, driver.now - random.randrange(30 * SECOND), driver.now + 2 * SECOND)
            )
            changed.append(Endpoint(name, random.choice(list(EndpointStatus)), started_at_us=start))
        if random.random() < 0.2:  # a whole list; whom it does not name is gone
            changed = [b for b in changed if b.status is not EndpointStatus.REMOVED]
            driver.update_list(*changed, kind=ListUpdateKind.FULL)
        else:
            driver.update_list(*changed)
        driver.request()
        b = driver.balancer
        b.subset.choose(b.arrivals, driver.now)
        ready, capacity = by_a_pass(b, driver.now)
        assert [s.id for s in b.endpoints.ready] == ready
        assert b.subset.capacity == pytest.approx(capacity)
        assert set(b.endpoints.removed) == {
            s.id for s in b.endpoints.by_id.values() if s.status is EndpointStatus.REMOVED
        }


@pytest.mark.parametrize("event", ["change", "second"])
def test_neither_a_change_nor_a_second_asks_all_of_a_large_fleet(
    monkeypatch: pytest.MonkeyPatch, event: str
) -> None:
    driver = drive(1)
    # Half of them are back just now.
    started = [Endpoint(f"s{i}", started_at_us=driver.now if i % 2 else 0) for i in range(LARGE)]
    driver.update_list(*started, kind=ListUpdateKind.FULL)
    asked = 0
    warm_share = WarmUpRamp.warm_share

    def counted(self: WarmUpRamp, *arguments: Any) -> float:
        nonlocal asked
        asked += 1
        return warm_share(self, *arguments)

    monkeypatch.setattr(WarmUpRamp, "warm_share", counted)
    driver.now += 2 * SECOND
    if event == "change":
        driver.update_list(replace(started[7], status=EndpointStatus.DRAINING))
    else:
        driver.event(RequestArrived(1, 0, SECOND))
    assert 0 < asked < 1000


def test_a_start_by_a_clock_ahead_where_servers_need_no_warming_up_is_no_fault() -> None:
    driver = BalancerDriver(IDEMPOTENT, endpoint_count=2, warm_up_start_capacity=0.5, warm_up_us=0)
    driver.update_list(replace(driver.initial_endpoints[0], started_at_us=driver.now + SECOND))
    assert driver.request()[1]


async def turns(reached: Callable[[], bool]) -> None:
    while not reached():
        await asyncio.sleep(0)


@pytest.mark.parametrize("history", ["kept", "gone", "renumbered"])
def test_agents_that_come_back_in_the_middle_of_an_outage_end_with_the_list(history: Any) -> None:
    async def run() -> None:
        discovery = EmulatedDiscovery()
        e = Experiment(name="x", agents=AgentSettings(instance_count=1))
        try:
            begun = await discovery.start(DiscoveryStart(300, 7, 3, 4, 5, [9001], 10))
            doc = build_agent_config(e, 0, begun.port, {"revision": 0, "complete": True, "members": []})
            agents = [HollowAgent(config_from(doc, {}, CLOCK), CLOCK, i) for i in range(12)]
            for a in agents:
                a.start()
            for _ in range(15):  # more than the history holds
                await discovery.change("DRAINING", count=2, seed=1)
            await turns(lambda: all(a.received_lists for a in agents))
            await discovery.begin_outage("refused")
            await discovery.change("DELETED", where="zone", seed=2)
            for a in agents[::2]:
                a.end()
            ended = await discovery.end_outage(history)
            for a in agents[::2]:
                a.start()
            await discovery.change("SERVING", replaced=True)
            revision = (await discovery.status()).revision
            while not all(a.received_at_ns(revision, ended.at_ns) for a in agents):
                await asyncio.sleep(0.02)
            serving = discovery.serving_ids()
            for a in agents:
                assert (
                    {s.id for s in a.agent._balancer.endpoints.ready}
                    == serving
                    == a.agent.upstream.endpoint_ids
                )
                a.end()
        finally:
            await discovery.close()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_a_whole_list_first_and_changes_first_end_alike() -> None:
    """The module's order is its own seed's, whichever way it heard of its servers."""
    listed = [Endpoint(f"s{i}") for i in range(50)]
    one, other = drive(3), drive(3)
    one.update_list(*listed, kind=ListUpdateKind.FULL)
    for b in listed:
        other.update_list(b)
    assert [s.id for s in one.balancer.endpoints.ready] == [s.id for s in other.balancer.endpoints.ready]
    other.event(EndpointsChanged(ListUpdateKind.FULL, listed[:7]))
    assert {s.id for s in other.balancer.endpoints.ready} == {f"s{i}" for i in range(7)}
