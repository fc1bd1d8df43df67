"""Tests of list updates: their result equals that of a pass over all endpoints, without the cost of one."""

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

LARGE_FLEET_SIZE = 6300
CLOCK = Clock()


def new_driver(seed: int, **settings: Any) -> BalancerDriver:
    return BalancerDriver(
        endpoint_count=0,
        seed=seed,
        instance_count=50,
        warm_up_start_capacity=0.2,
        warm_up_us=24 * SECOND,
        load_report_fields=("inflight",),
        **settings,
    )


def ready_ids_and_capacity(balancer: Balancer, now: int) -> tuple[list[object], float]:
    """Return the ids of the ready endpoints in order, and their capacity, from a pass over all endpoints."""
    ready = sorted(
        (e for e in balancer.endpoints.by_id.values() if e.status is EndpointStatus.READY),
        key=lambda e: e.order,
    )
    return [e.id for e in ready], sum(balancer.slow_start.ramp.warm_share(e, now) for e in ready)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("settings", [{}, {"can_probe": True}])
def test_after_any_changes_the_state_equals_that_of_a_pass_over_all_endpoints(
    seed: int, settings: dict[str, Any]
) -> None:
    driver, random = new_driver(seed, **settings), Random(seed)
    ids = [f"s{i}" for i in range(30)]
    driver.now += 60 * SECOND
    for _ in range(300):
        driver.now += random.randrange(2 * SECOND)
        changed = []
        for endpoint_id in random.sample(ids, random.choice((1, 1, 2, 15, 30))):
            started_at_us = random.choice(
                (0, driver.now, driver.now - random.randrange(30 * SECOND), driver.now + 2 * SECOND)
            )
            changed.append(
                Endpoint(endpoint_id, random.choice(list(EndpointStatus)), started_at_us=started_at_us)
            )
        if random.random() < 0.2:  # The update is a complete list, so that other endpoints are removed.
            changed = [endpoint for endpoint in changed if endpoint.status is not EndpointStatus.REMOVED]
            driver.update_list(*changed, kind=ListUpdateKind.FULL)
        else:
            driver.update_list(*changed)
        driver.request()
        balancer = driver.balancer
        balancer.subset.choose(balancer.arrivals, driver.now)
        ready_ids, capacity = ready_ids_and_capacity(balancer, driver.now)
        assert [e.id for e in balancer.endpoints.ready] == ready_ids
        assert balancer.subset.capacity == pytest.approx(capacity)
        assert set(balancer.endpoints.removed) == {
            e.id for e in balancer.endpoints.by_id.values() if e.status is EndpointStatus.REMOVED
        }


@pytest.mark.parametrize("event", ["change", "second"])
def test_neither_a_list_change_nor_a_periodic_refresh_checks_all_endpoints_of_a_large_fleet(
    monkeypatch: pytest.MonkeyPatch, event: str
) -> None:
    driver = new_driver(1)
    # Half of the endpoints have just started.
    endpoints = [Endpoint(f"s{i}", started_at_us=driver.now if i % 2 else 0) for i in range(LARGE_FLEET_SIZE)]
    driver.update_list(*endpoints, kind=ListUpdateKind.FULL)
    call_count = 0
    warm_share = WarmUpRamp.warm_share

    def counting_warm_share(self: WarmUpRamp, *arguments: Any) -> float:
        nonlocal call_count
        call_count += 1
        return warm_share(self, *arguments)

    monkeypatch.setattr(WarmUpRamp, "warm_share", counting_warm_share)
    driver.now += 2 * SECOND
    if event == "change":
        driver.update_list(replace(endpoints[7], status=EndpointStatus.DRAINING))
    else:
        driver.event(RequestArrived(1, 0, SECOND))
    assert 0 < call_count < 1000


def test_a_start_time_in_the_future_is_accepted_if_endpoints_need_no_warm_up() -> None:
    driver = BalancerDriver(IDEMPOTENT, endpoint_count=2, warm_up_start_capacity=0.5, warm_up_us=0)
    driver.update_list(replace(driver.initial_endpoints[0], started_at_us=driver.now + SECOND))
    assert driver.request()[1]


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0)


@pytest.mark.parametrize("history", ["kept", "gone", "renumbered"])
def test_agents_that_restart_during_an_outage_get_the_current_list(history: Any) -> None:
    async def run() -> None:
        discovery = EmulatedDiscovery()
        experiment = Experiment(name="x", agents=AgentSettings(instance_count=1))
        try:
            started = await discovery.start(DiscoveryStart(300, 7, 3, 4, 5, [9001], 10))
            doc = build_agent_config(
                experiment, 0, started.port, {"revision": 0, "complete": True, "members": []}
            )
            agents = [HollowAgent(config_from(doc, {}, CLOCK), CLOCK, i) for i in range(12)]
            for agent in agents:
                agent.start()
            for _ in range(15):  # These are more changes than the history keeps.
                await discovery.change("DRAINING", count=2, seed=1)
            await wait_until(lambda: all(agent.received_lists for agent in agents))
            await discovery.begin_outage("refused")
            await discovery.change("DELETED", where="zone", seed=2)
            for agent in agents[::2]:
                agent.end()
            outage_end = await discovery.end_outage(history)
            for agent in agents[::2]:
                agent.start()
            await discovery.change("SERVING", replaced=True)
            revision = (await discovery.status()).revision
            while not all(agent.received_at_ns(revision, outage_end.at_ns) for agent in agents):
                await asyncio.sleep(0.02)
            serving_ids = discovery.serving_ids()
            for agent in agents:
                assert (
                    {e.id for e in agent.agent._balancer.endpoints.ready}
                    == serving_ids
                    == agent.agent.upstream.endpoint_ids
                )
                agent.end()
        finally:
            await discovery.close()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_a_complete_list_and_single_changes_give_the_same_order() -> None:
    """The order of the ready endpoints depends on the balancer's seed, not on the kind of list updates."""
    listed = [Endpoint(f"s{i}") for i in range(50)]
    one, other = new_driver(3), new_driver(3)
    one.update_list(*listed, kind=ListUpdateKind.FULL)
    for endpoint in listed:
        other.update_list(endpoint)
    assert [e.id for e in one.balancer.endpoints.ready] == [e.id for e in other.balancer.endpoints.ready]
    other.event(EndpointsChanged(ListUpdateKind.FULL, listed[:7]))
    assert {e.id for e in other.balancer.endpoints.ready} == {f"s{i}" for i in range(7)}
