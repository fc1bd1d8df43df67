"""The watch of the endpoint list: when it is asked for: at the start, after failures, with many instances."""

from __future__ import annotations

import asyncio
from bisect import bisect_left
from math import sqrt
from pathlib import Path

import pytest

from nickelmount.agent.assembly import assemble
from nickelmount.agent.clock import Clock
from nickelmount.agent.discovery_client import CALL_TIMEOUT_S, LONG_POLL_GRACE_S
from nickelmount.balancer.actions import WatchEndpoints
from nickelmount.balancer.events import EndpointsChanged, ListUpdateKind, TimerFired
from nickelmount.balancer.settings import DiscoveryMode

from .balancer_driver import MS, NON_IDEMPOTENT, SECOND, BalancerDriver, of_type
from .loopback import ScriptedServer, config_doc, load_config, member


def test_a_failed_list_call_is_repeated_soon_and_only_then() -> None:
    driver = BalancerDriver(discovery_mode=DiscoveryMode.POLL)
    assert len(of_type(driver.actions, WatchEndpoints)) == 1
    driver.advance(10 * SECOND)
    assert len(of_type(driver.actions, WatchEndpoints)) == 1
    driver.event(EndpointsChanged(ListUpdateKind.FAILED, []))
    assert len(of_type(driver.advance(SECOND), WatchEndpoints)) == 1


def calls_of_a_fleet(instance_count: int, seconds: int) -> list[float]:
    """When all balancers of a fleet that starts at once call a discovery that never answers."""
    calls: list[float] = []
    for seed in range(instance_count):
        driver = BalancerDriver(
            NON_IDEMPOTENT,
            endpoint_count=2,
            seed=seed,
            instance_count=instance_count,
            instance_index=seed,
            discovery_mode=DiscoveryMode.POLL,
        )
        asked = list(driver.actions)
        for _ in range(seconds * 100):
            if of_type(asked, WatchEndpoints):
                calls.append((driver.now - SECOND) / SECOND)
                driver.update_list(kind=ListUpdateKind.FAILED)
            asked = driver.advance(10 * MS)
    return sorted(calls)


def test_instances_that_start_at_once_do_not_call_discovery_at_once() -> None:
    # Of forty calls in one instant fifteen were answered; the rest kept discovery busy with calls that had
    # waited too long, and for as long as the day went on none of them was answered.
    calls = calls_of_a_fleet(40, 3)
    first = [sum(1 for t in calls if at <= t < at + 0.5) for at in (0.0, 0.5, 1.0, 1.5, 2.0, 2.5)]
    assert len(calls) >= 38
    assert max(first) <= 16


def test_failing_calls_let_the_queue_of_discovery_drain() -> None:
    calls = calls_of_a_fleet(40, 30)
    assert 1 <= sum(1 for t in calls if 15 <= t < 30) / 15 <= 8  # a second


def test_in_a_large_fleet_no_call_comes_after_changes_count_as_notified() -> None:
    # Of two hundred the last waited 19 s for its first call; all that drained meanwhile counted as told.
    for seed in range(20):
        driver = BalancerDriver(
            NON_IDEMPOTENT,
            endpoint_count=2,
            seed=seed,
            instance_count=200,
            discovery_mode=DiscoveryMode.POLL,
            notified_after_us=6 * SECOND,
        )
        assert of_type(driver.actions + driver.advance(3 * SECOND), WatchEndpoints)
        for _ in range(6):
            driver.update_list(kind=ListUpdateKind.FAILED)
            assert of_type(driver.advance(9 * SECOND), WatchEndpoints)


TOLD_US, CALL_US = 6 * SECOND, int(CALL_TIMEOUT_S * SECOND)  # as the agent on sockets sets them


def next_call(driver: BalancerDriver) -> int:
    """When it calls discovery next."""
    while True:
        timer = min(driver.timers)
        driver.timers.remove(timer)
        driver.now = timer[0]
        if of_type(driver.event(TimerFired(timer[1])), WatchEndpoints):
            return driver.now


def calls_that_fail(instance_count: int, takes_us: int, count: int) -> list[list[int]]:
    """When each balancer of a fleet whose watches broke at once calls a discovery that is down.

    Each call fails so long after it began.
    """
    fleet = []
    for seed in range(instance_count):
        driver = BalancerDriver(
            NON_IDEMPOTENT,
            endpoint_count=2,
            seed=seed,
            instance_count=instance_count,
            instance_index=seed,
            discovery_mode=DiscoveryMode.POLL,
            notified_after_us=TOLD_US,
            list_call_timeout_us=CALL_US,
        )
        if not of_type(driver.actions, WatchEndpoints):
            next_call(driver)
        driver.now, calls = 10 * SECOND, list[int]()
        driver.update_list(kind=ListUpdateKind.FAILED)
        for _ in range(count):
            calls.append(next_call(driver))
            driver.now += takes_us
            driver.update_list(kind=ListUpdateKind.FAILED)
        fleet.append(calls)
    return fleet


@pytest.mark.parametrize("instance_count", [2, 20, 200, 6300])
def test_after_an_outage_the_list_is_read_before_it_counts_as_notified(instance_count: int) -> None:
    # Of two hundred each waited up to 9 s after a failed call, when 6 s after the end all counted as told.
    connect_us, few = 250 * MS, instance_count < 1000
    # The outage may end right behind the beginning of any call, which fails all the same.
    for calls in calls_that_fail(instance_count, CALL_US, 12 if few else 4):
        assert max(after - at for at, after in zip(calls, calls[1:], strict=False)) + CALL_US <= TOLD_US
    # A connection that does not come up fails sooner: then one more may, and the next is still in time.
    for calls in calls_that_fail(instance_count, connect_us, 12 if few else 4):
        assert max(after - at for at, after in zip(calls, calls[2:], strict=False)) <= TOLD_US


@pytest.mark.parametrize("instance_count", [200, 6300])
def test_in_an_outage_the_calls_of_a_fleet_spread_over_the_time_there_is(instance_count: int) -> None:
    fleet = calls_that_fail(instance_count, 0, 6)
    waits = [after - at for calls in fleet for at, after in zip(calls, calls[1:], strict=False)]
    spread = max(waits) - min(waits)
    assert spread >= TOLD_US / 5
    at = sorted(t for calls in fleet for t in calls)
    most = max(bisect_left(at, t + 100 * MS) - i for i, t in enumerate(at))
    even = instance_count * 100 * MS / spread
    assert most <= 2 * even + 2 * sqrt(even), (most, even)  # with what is chance


def test_a_local_discovery_is_called_at_once_however_large_the_fleet() -> None:
    driver = BalancerDriver(
        NON_IDEMPOTENT,
        endpoint_count=2,
        instance_count=200,
        discovery_mode=DiscoveryMode.POLL,
        discovery_is_local=True,
    )
    assert of_type(driver.actions, WatchEndpoints)
    for _ in range(6):
        driver.update_list(kind=ListUpdateKind.FAILED)
        assert of_type(driver.advance(3 * SECOND), WatchEndpoints)


def test_a_local_discovery_is_called_again_well_within_the_drain_grace() -> None:
    # What waits there counts as told: after some failures the next call came up to 3 s later.
    for grace_us in (500 * MS, 400 * MS, 80 * MS):
        for seed in range(20):
            driver = BalancerDriver(
                NON_IDEMPOTENT,
                endpoint_count=2,
                seed=seed,
                instance_count=200,
                discovery_mode=DiscoveryMode.POLL,
                discovery_is_local=True,
                drain_grace_us=grace_us,
            )
            for _ in range(8):
                driver.update_list(kind=ListUpdateKind.FAILED)
                assert of_type(driver.advance(grace_us // 2), WatchEndpoints)


def test_a_few_instances_call_discovery_at_once() -> None:
    driver = BalancerDriver(
        NON_IDEMPOTENT, endpoint_count=2, instance_count=4, discovery_mode=DiscoveryMode.POLL
    )
    assert of_type(driver.actions, WatchEndpoints)


def test_where_the_list_is_pushed_a_large_fleet_watches_it_from_the_start(tmp_path: Path) -> None:
    # Pushed, it waits with an agent on this machine: nobody stands in its queue.
    async def run() -> None:
        peer = await ScriptedServer().start()
        doc = config_doc(peer.port, [member("s", 9)])
        doc["settings"] |= {"siblings": 200, "registryMode": "push"}
        clock = Clock()
        config = load_config(tmp_path, doc, clock)
        agent, _ = assemble(config, clock)
        agent.start(config.cached_list)
        async with asyncio.timeout(3):
            first = (await peer.requests.get()).start_line
        # One that falls silent is to be found so and opened anew before 6 s are over.
        wait_s = int(first.partition("&wait=")[2].split()[0]) / 1000
        assert first.startswith("GET /catalog/members?index=41&")
        assert 0 < wait_s + LONG_POLL_GRACE_S < 5
        await peer.stop()

    asyncio.run(run())
