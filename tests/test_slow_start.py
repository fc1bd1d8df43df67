"""Cold servers: what all balancers together send to one that has just started, by the rule on their fall."""

from __future__ import annotations

from bisect import bisect_left
from heapq import heappop, heappush
from math import sqrt
from random import Random

import pytest

from nickelmount.balancer.actions import SendAttempt, SendProbe, SetTimer
from nickelmount.balancer.balancer import Balancer
from nickelmount.balancer.events import (
    AttemptEnded,
    Endpoint,
    EndpointsChanged,
    ListUpdateKind,
    Outcome,
    ProbeEnded,
    RequestArrived,
    TimerFired,
)
from nickelmount.balancer.settings import Idempotency, RequestClass, Settings

from .balancer_driver import MS, SECOND

SERVERS, COLD = 40, 6
RATE, BURST = 20.0, 1.6  # of a server with speed 1, in requests a second; of all requests, in what all can do
START, WARM_UP_US, MULTIPLE, WINDOW_US = 0.15, 20 * SECOND, 2.5, 2 * SECOND
WORK = RequestClass("work", 500 * MS, 2 * SECOND, Idempotency.NEVER)


class Machine:
    """A server: one core, requests one after another. By the slowest ramp that the settings allow."""

    def __init__(self, rate: float) -> None:
        self.rate, self.started_at_us = rate, 0  # requests of mean work a second, when warm
        self.free_at, self.held = 0.0, 0
        self.came: list[int] = []

    def warmth(self, now: float) -> float:
        age = now - self.started_at_us
        return 1.0 if not self.started_at_us else min(1.0, START + (1.0 - START) * age / WARM_UP_US)

    def takes(self, now: int, work: float) -> int:
        """When a request that comes now is done."""
        self.came.append(now)
        self.held += 1
        begun = max(float(now), self.free_at)
        self.free_at = begun + work * SECOND / (self.rate * self.warmth(begun))
        return int(self.free_at)

    def fullest(self) -> float:
        """The most that came in any window, as a share of what the rule bears then."""
        most = 0.0
        for i, at in enumerate(self.came):
            # By what it can do at the beginning of the window, the least that it can in all of it.
            n = MULTIPLE * self.rate * self.warmth(at) * WINDOW_US / SECOND
            inside = bisect_left(self.came, at + WINDOW_US) - i
            most = max(most, inside / (n + 2 * sqrt(n) + 2))
        return most


def fullest_cold_server(
    instance_count: int, seed: int, speeds: tuple[float, ...], hinted: bool, probes: bool = False
) -> tuple[float, int]:
    """Some servers of a fleet start anew under a burst, and each balancer is told at once.

    Speeds are in turn those of the servers; half of those that start have the first. A tenth of the balancers
    have ten times the traffic of the others, and the burst is more than all servers can do. Returns the
    fullest window of any cold server, as a share of what the rule bears, and how many requests they got.
    """
    rng = Random(seed)
    machines = [Machine(RATE * speeds[i % len(speeds)]) for i in range(SERVERS)]
    mean = sum(speeds[i % len(speeds)] for i in range(SERVERS)) / SERVERS
    settings = Settings(
        classes=(WORK,),
        instance_count=instance_count,
        load_report_fields=("inflight",),
        tick_us=MS,
        can_hedge=False,
        can_probe=probes,
        has_capacity_hints=hinted,
        warm_up_start_capacity=START,
        warm_up_us=WARM_UP_US,
        overload_multiple=MULTIPLE,
        overload_window_us=WINDOW_US,
    )
    entries = [Endpoint(i, capacity_hint=m.rate / RATE if hinted else 1.0) for i, m in enumerate(machines)]
    fleet = [Balancer(settings, rng.getrandbits(32)) for _ in range(instance_count)]
    shares = [10.0 if i % 10 == 0 else 1.0 for i in range(instance_count)]
    due: list[tuple[int, int, int, object]] = []
    count = requests = 0

    def act(who: int, now: int, event: object) -> None:
        nonlocal count
        for a in fleet[who].handle(now, event):  # type: ignore[arg-type]
            count += 1
            if isinstance(a, SetTimer):
                heappush(due, (now + a.delay_us, count, who, TimerFired(a.token)))
            elif isinstance(a, SendProbe):
                assert isinstance(a.endpoint_id, int)
                told = (float(machines[a.endpoint_id].held),)
                heappush(due, (now + MS, count, who, ProbeEnded(a.endpoint_id, Outcome.OK, MS, told)))
            elif isinstance(a, SendAttempt):
                assert isinstance(a.endpoint_id, int)
                done = machines[a.endpoint_id].takes(now, 0.5 + rng.random())
                timed_out = done > now + a.timeout_us
                end = AttemptEnded(
                    a.request_id,
                    a.attempt,
                    a.endpoint_id,
                    Outcome.TIMEOUT if timed_out else Outcome.OK,
                    min(done - now, a.timeout_us),
                    not timed_out,
                )
                heappush(due, (min(done, now + a.timeout_us), count, who, end))

    for who in range(instance_count):
        act(who, SECOND, EndpointsChanged(ListUpdateKind.CACHED, entries))
    now, restart, end = SECOND, 5 * SECOND, 11 * SECOND
    cold = [*range(COLD // 2 * len(speeds))][:: len(speeds)] + rng.sample(range(SERVERS), COLD // 2)
    while now < end:
        wanted = RATE * mean * SERVERS * (BURST if now >= restart - SECOND else 0.6)
        now += max(1, int(rng.expovariate(wanted) * SECOND))
        while due and due[0][0] <= now:
            at, _, who, event = heappop(due)
            if isinstance(event, AttemptEnded):
                assert isinstance(event.endpoint_id, int)
                machine = machines[event.endpoint_id]
                if event.outcome is Outcome.OK:
                    event.load_report = (float(machine.held),)
                machine.held -= 1
            act(who, at, event)
        if now >= restart and not machines[cold[0]].started_at_us:
            for i in cold:
                machines[i].started_at_us, machines[i].free_at = now, now
                machines[i].came.clear()
                entries[i].started_at_us = now
            for who in range(instance_count):
                act(who, now, EndpointsChanged(ListUpdateKind.DELTA, [entries[i] for i in cold]))
        requests += 1
        (who,) = rng.choices(range(instance_count), shares)
        act(who, now, RequestArrived(requests, 0, 2 * SECOND))
    return max(machines[i].fullest() for i in cold), sum(len(machines[i].came) for i in cold)


UNEVEN, WIDE = (0.4, 1.0, 1.6), (0.25, 1.25, 1.25, 1.25)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    ("instance_count", "speeds", "hinted", "probes"),
    [
        (3, UNEVEN, True, False),
        (30, UNEVEN, True, False),
        (230, UNEVEN, True, False),
        (230, (1.0,), False, False),
        (30, WIDE, True, False),
        (230, WIDE, True, True),
    ],
)
def test_all_balancers_together_let_a_cold_server_stand_however_small_it_is(
    instance_count: int, speeds: tuple[float, ...], hinted: bool, probes: bool, seed: int
) -> None:
    # Of thirty and more each offered a small machine what one of mean size bears: up to twice its own part.
    fullest, got = fullest_cold_server(instance_count, seed, speeds, hinted, probes)
    assert fullest <= 1.0 and got >= 40, (fullest, got)
