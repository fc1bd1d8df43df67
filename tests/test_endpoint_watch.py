"""Tests of the times at which the watch of the endpoint list is opened: at the start and after failures."""

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


def test_the_watch_is_reopened_soon_after_a_failure_and_only_then() -> None:
    driver = BalancerDriver(discovery_mode=DiscoveryMode.POLL)
    assert len(of_type(driver.actions, WatchEndpoints)) == 1
    driver.advance(10 * SECOND)
    assert len(of_type(driver.actions, WatchEndpoints)) == 1
    driver.event(EndpointsChanged(ListUpdateKind.FAILED, []))
    assert len(of_type(driver.advance(SECOND), WatchEndpoints)) == 1


def call_times_of_fleet(instance_count: int, seconds: int) -> list[float]:
    """Return the sorted times, in s, of all calls to discovery by a fleet whose balancers start together.

    Each call fails immediately.
    """
    call_times: list[float] = []
    for seed in range(instance_count):
        driver = BalancerDriver(
            NON_IDEMPOTENT,
            endpoint_count=2,
            seed=seed,
            instance_count=instance_count,
            instance_index=seed,
            discovery_mode=DiscoveryMode.POLL,
        )
        actions = list(driver.actions)
        for _ in range(seconds * 100):
            if of_type(actions, WatchEndpoints):
                call_times.append((driver.now - SECOND) / SECOND)
                driver.update_list(kind=ListUpdateKind.FAILED)
            actions = driver.advance(10 * MS)
    return sorted(call_times)


def test_instances_that_start_at_once_do_not_call_discovery_at_once() -> None:
    # Of 40 simultaneous calls discovery answers 15 in time. If all instances called together, it would stay
    # busy with calls that have waited too long, and answer none of them.
    call_times = call_times_of_fleet(40, 3)
    calls_by_interval = [
        sum(1 for t in call_times if at <= t < at + 0.5) for at in (0.0, 0.5, 1.0, 1.5, 2.0, 2.5)
    ]
    assert len(call_times) >= 38
    assert max(calls_by_interval) <= 16


def test_backoff_after_failed_calls_lets_discovery_work_off_its_queue() -> None:
    call_times = call_times_of_fleet(40, 30)
    assert 1 <= sum(1 for t in call_times if 15 <= t < 30) / 15 <= 8  # Calls per second.


def test_in_a_large_fleet_each_instance_calls_before_changes_count_as_notified() -> None:
    # If the first calls of 200 instances are spread too far, the last one comes after 19 s. Changes count as
    # notified after 6 s, so that this instance would still send to endpoints that have drained meanwhile.
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


# The settings notified_after_us and list_call_timeout_us of the agent.
NOTIFIED_AFTER_US, CALL_TIMEOUT_US = 6 * SECOND, int(CALL_TIMEOUT_S * SECOND)


def advance_to_next_call(driver: BalancerDriver) -> int:
    """Fire timers until the balancer calls discovery, and return the time of the call."""
    while True:
        timer = min(driver.timers)
        driver.timers.remove(timer)
        driver.now = timer[0]
        if of_type(driver.event(TimerFired(timer[1])), WatchEndpoints):
            return driver.now


def failing_call_times(instance_count: int, call_duration_us: int, count: int) -> list[list[int]]:
    """Return the times at which each balancer of a fleet calls a discovery that is down.

    The watches of all balancers break at the same time. Each call fails after `call_duration_us`.
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
            notified_after_us=NOTIFIED_AFTER_US,
            list_call_timeout_us=CALL_TIMEOUT_US,
        )
        if not of_type(driver.actions, WatchEndpoints):
            advance_to_next_call(driver)
        driver.now, call_times = 10 * SECOND, list[int]()
        driver.update_list(kind=ListUpdateKind.FAILED)
        for _ in range(count):
            call_times.append(advance_to_next_call(driver))
            driver.now += call_duration_us
            driver.update_list(kind=ListUpdateKind.FAILED)
        fleet.append(call_times)
    return fleet


@pytest.mark.parametrize("instance_count", [2, 20, 200, 6300])
def test_after_an_outage_the_list_is_read_before_it_counts_as_notified(instance_count: int) -> None:
    # The backoff grows with the number of instances, but must not be too long: 200 instances would wait up to
    # 9 s after a failed call, while changes count as notified 6 s after the end of the outage.
    connect_timeout_us, is_small = 250 * MS, instance_count < 1000
    # If the outage ends right after a call has begun, that call still fails and the next must be in time.
    for call_times in failing_call_times(instance_count, CALL_TIMEOUT_US, 12 if is_small else 4):
        assert (
            max(after - at for at, after in zip(call_times, call_times[1:], strict=False)) + CALL_TIMEOUT_US
            <= NOTIFIED_AFTER_US
        )
    # A call whose connection does not come up fails sooner. The call after a second such failure must still
    # be in time.
    for call_times in failing_call_times(instance_count, connect_timeout_us, 12 if is_small else 4):
        assert (
            max(after - at for at, after in zip(call_times, call_times[2:], strict=False))
            <= NOTIFIED_AFTER_US
        )


@pytest.mark.parametrize("instance_count", [200, 6300])
def test_in_an_outage_the_calls_of_a_fleet_are_spread_over_the_available_time(instance_count: int) -> None:
    fleet = failing_call_times(instance_count, 0, 6)
    waits = [
        after - at for call_times in fleet for at, after in zip(call_times, call_times[1:], strict=False)
    ]
    spread = max(waits) - min(waits)
    assert spread >= NOTIFIED_AFTER_US / 5
    all_times = sorted(t for call_times in fleet for t in call_times)
    max_calls = max(bisect_left(all_times, t + 100 * MS) - i for i, t in enumerate(all_times))
    mean_calls = instance_count * 100 * MS / spread
    # The limit leaves room for random deviations.
    assert max_calls <= 2 * mean_calls + 2 * sqrt(mean_calls), (max_calls, mean_calls)


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
    # Changes that a local discovery has received count as notified. The backoff after several failures must
    # therefore not grow to 3 s, as it does for a shared discovery.
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


def test_if_the_list_is_pushed_a_large_fleet_watches_it_from_the_start(tmp_path: Path) -> None:
    # A pushed list comes from a discovery on the same machine, which has no queue of calls from other
    # instances.
    async def run() -> None:
        server = await ScriptedServer().start()
        doc = config_doc(server.port, [member("s", 9)])
        doc["settings"] |= {"siblings": 200, "registryMode": "push"}
        clock = Clock()
        config = load_config(tmp_path, doc, clock)
        agent, _ = assemble(config, clock)
        agent.start(config.cached_list)
        async with asyncio.timeout(3):
            start_line = (await server.requests.get()).start_line
        # A long poll that stops responding must be detected and reopened within 6 s.
        wait_s = int(start_line.partition("&wait=")[2].split()[0]) / 1000
        assert start_line.startswith("GET /catalog/members?index=41&")
        assert 0 < wait_s + LONG_POLL_GRACE_S < 5
        await server.stop()

    asyncio.run(run())
