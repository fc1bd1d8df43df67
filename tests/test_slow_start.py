"""Slow start: what all balancers together send to an endpoint that has just started, by the overload rule."""

from __future__ import annotations

from bisect import bisect_left
from heapq import heappop, heappush
from math import sqrt
from random import Random
from typing import Any

import pytest

from nickelmount.balancer.actions import SendAttempt, SendProbe, SetTimer
from nickelmount.balancer.balancer import Balancer
from nickelmount.balancer.events import (
    AttemptEnded,
    Endpoint,
    EndpointId,
    EndpointsChanged,
    Event,
    ListUpdateKind,
    Outcome,
    ProbeEnded,
    RequestArrived,
    TimerFired,
)
from nickelmount.balancer.settings import Idempotency, RequestClass, Settings

from .balancer_driver import (
    INFLIGHT,
    MS,
    NON_IDEMPOTENT,
    SECOND,
    BalancerDriver,
    of_type,
    serve_with_load_reports,
    serve_with_overload_reports,
)

MACHINES, RESTARTED = 40, 6
RATE_PER_S = 20.0  # of a machine with speed 1
BURST, QUIET = 1.6, 0.6  # requests, as a multiple of what all machines can do
START_CAPACITY, WARM_UP_US, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_US = 0.15, 20 * SECOND, 2.5, 2 * SECOND
BEGIN_US, RESTART_US, END_US = SECOND, 5 * SECOND, 11 * SECOND
WORK = RequestClass("work", 500 * MS, 2 * SECOND, Idempotency.NEVER)


class Machine:
    """An endpoint: one core, requests one after another. By the slowest ramp that the settings allow."""

    def __init__(self, rate_per_s: float) -> None:
        self.rate_per_s = rate_per_s  # requests of mean work, when warm
        self.started_at_us = 0
        self.free_at_us, self.in_flight = 0.0, 0
        self.arrived_at_us: list[int] = []

    def warm_share(self, now_us: float) -> float:
        if not self.started_at_us:
            return 1.0
        age_us = now_us - self.started_at_us
        return min(1.0, START_CAPACITY + (1.0 - START_CAPACITY) * age_us / WARM_UP_US)

    def restart(self, now_us: int) -> None:
        self.started_at_us, self.free_at_us = now_us, now_us
        self.arrived_at_us.clear()

    def accept(self, now_us: int, work: float) -> int:
        """When a request that arrives now is done."""
        self.arrived_at_us.append(now_us)
        self.in_flight += 1
        begun_us = max(float(now_us), self.free_at_us)
        self.free_at_us = begun_us + work * SECOND / (self.rate_per_s * self.warm_share(begun_us))
        return int(self.free_at_us)

    def fullest_window(self) -> float:
        """The most that arrived in any window, as a share of what the overload rule bears then."""
        fullest = 0.0
        for i, at_us in enumerate(self.arrived_at_us):
            # By what it can do at the beginning of the window, the least that it can in all of it.
            capacity = self.rate_per_s * self.warm_share(at_us) * OVERLOAD_WINDOW_US / SECOND
            allowed = OVERLOAD_MULTIPLE * capacity
            inside = bisect_left(self.arrived_at_us, at_us + OVERLOAD_WINDOW_US) - i
            fullest = max(fullest, inside / (allowed + 2 * sqrt(allowed) + 2))
        return fullest


class BurstAtRestart:
    """Some machines of a fleet restart under a burst, and each balancer is notified at once.

    Speeds are in turn those of the machines; half of those that restart have the first. A tenth of the
    balancers have ten times the traffic of the others, and the burst is more than all machines can do.
    """

    def __init__(
        self, instance_count: int, seed: int, speeds: tuple[float, ...], hinted: bool, probes: bool
    ) -> None:
        self.rng = rng = Random(seed)
        self.machines = [Machine(RATE_PER_S * speeds[i % len(speeds)]) for i in range(MACHINES)]
        self.capacity_per_s = sum(machine.rate_per_s for machine in self.machines)
        self.entries = [
            Endpoint(i, capacity_hint=machine.rate_per_s / RATE_PER_S if hinted else 1.0)
            for i, machine in enumerate(self.machines)
        ]
        settings = Settings(
            classes=(WORK,),
            instance_count=instance_count,
            load_report_fields=("inflight",),
            tick_us=MS,
            can_hedge=False,
            can_probe=probes,
            has_capacity_hints=hinted,
            warm_up_start_capacity=START_CAPACITY,
            warm_up_us=WARM_UP_US,
            overload_multiple=OVERLOAD_MULTIPLE,
            overload_window_us=OVERLOAD_WINDOW_US,
        )
        self.balancers = [Balancer(settings, rng.getrandbits(32)) for _ in range(instance_count)]
        self.traffic = [10.0 if i % 10 == 0 else 1.0 for i in range(instance_count)]
        self.events: list[
            tuple[int, int, int, Event]
        ] = []  # a heap by time, then by number; for which balancer
        self.action_count = 0
        self.has_restarted = False
        slow = [*range(RESTARTED // 2 * len(speeds))][:: len(speeds)]
        self.restarted: list[int] = []
        self.notify_all(BEGIN_US, ListUpdateKind.CACHED, self.entries)
        self.restarted = slow + rng.sample(range(MACHINES), RESTARTED // 2)

    def run(self) -> tuple[float, int]:
        """The fullest window of any restarted machine, and how many requests they got."""
        now_us, requests = BEGIN_US, 0
        while now_us < END_US:
            load = BURST if now_us >= RESTART_US - SECOND else QUIET
            now_us += max(1, int(self.rng.expovariate(self.capacity_per_s * load) * SECOND))
            self.deliver_events(now_us)
            if now_us >= RESTART_US and not self.has_restarted:
                self.restart_machines(now_us)
            requests += 1
            (receiver,) = self.rng.choices(range(len(self.balancers)), self.traffic)
            self.handle(receiver, now_us, RequestArrived(requests, 0, 2 * SECOND))
        restarted = [self.machines[i] for i in self.restarted]
        return max(m.fullest_window() for m in restarted), sum(len(m.arrived_at_us) for m in restarted)

    def restart_machines(self, now_us: int) -> None:
        self.has_restarted = True
        for i in self.restarted:
            self.machines[i].restart(now_us)
            self.entries[i].started_at_us = now_us
        self.notify_all(now_us, ListUpdateKind.DELTA, [self.entries[i] for i in self.restarted])

    def notify_all(self, now_us: int, kind: ListUpdateKind, entries: list[Endpoint]) -> None:
        for receiver in range(len(self.balancers)):
            self.handle(receiver, now_us, EndpointsChanged(kind, entries))

    def deliver_events(self, until_us: int) -> None:
        while self.events and self.events[0][0] <= until_us:
            at_us, _, receiver, event = heappop(self.events)
            if isinstance(event, AttemptEnded):
                machine = self.machine(event.endpoint_id)
                if event.outcome is Outcome.OK:
                    event.load_report = (float(machine.in_flight),)
                machine.in_flight -= 1
            self.handle(receiver, at_us, event)

    def handle(self, receiver: int, now_us: int, event: Event) -> None:
        for action in self.balancers[receiver].handle(now_us, event):
            self.action_count += 1
            if isinstance(action, SetTimer):
                self.push(now_us + action.delay_us, receiver, TimerFired(action.token))
            elif isinstance(action, SendProbe):
                report = (float(self.machine(action.endpoint_id).in_flight),)
                ended = ProbeEnded(action.endpoint_id, Outcome.OK, MS, report)
                self.push(now_us + MS, receiver, ended)
            elif isinstance(action, SendAttempt):
                self.serve(receiver, now_us, action)

    def serve(self, receiver: int, now_us: int, send: SendAttempt) -> None:
        done_at_us = self.machine(send.endpoint_id).accept(now_us, 0.5 + self.rng.random())
        is_late = done_at_us > now_us + send.timeout_us
        ended = AttemptEnded(
            send.request_id,
            send.attempt,
            send.endpoint_id,
            Outcome.TIMEOUT if is_late else Outcome.OK,
            min(done_at_us - now_us, send.timeout_us),
            not is_late,
        )
        self.push(min(done_at_us, now_us + send.timeout_us), receiver, ended)

    def push(self, at_us: int, receiver: int, event: Event) -> None:
        heappush(self.events, (at_us, self.action_count, receiver, event))

    def machine(self, endpoint_id: EndpointId) -> Machine:
        assert isinstance(endpoint_id, int)
        return self.machines[endpoint_id]


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
def test_all_balancers_together_do_not_overload_a_restarted_machine_however_small(
    instance_count: int, speeds: tuple[float, ...], hinted: bool, probes: bool, seed: int
) -> None:
    # Of thirty balancers and more each offered a small machine what one of mean size bears: together up to
    # twice what the small one could take.
    fullest, received = BurstAtRestart(instance_count, seed, speeds, hinted, probes).run()
    assert fullest <= 1.0, fullest
    assert received >= 40, received


@pytest.mark.parametrize("parts", [(25, 25, 25, 25), (97, 1, 1, 1)])
def test_all_balancers_together_keep_to_the_overload_rule(parts: tuple[int, ...]) -> None:
    # Ten endpoints, 1000 requests a second in all: a warm one takes 100 a second, taken to be nearly full.
    start, window = 0.15, 2
    fleet = [
        BalancerDriver(
            endpoint_count=9,
            seed=i,
            instance_count=4,
            warm_up_start_capacity=start,
            warm_up_us=20 * SECOND,
            overload_window_us=window * SECOND,
        )
        for i in range(len(parts))
    ]
    for driver in fleet:
        driver.update_list(Endpoint("new", started_at_us=driver.now))
    sent_at_us = []
    for second in range(6):
        for driver, part in zip(fleet, parts, strict=True):
            for _ in range(part * 10):
                driver.now += SECOND // (part * 10)
                for s in of_type(driver.request()[1], SendAttempt):
                    if s.endpoint_id == "new":
                        sent_at_us.append(driver.now - SECOND)
                    driver.end_attempt(s, Outcome.OK, 5 * MS)
            driver.now = (second + 2) * SECOND
    sent_at_us.sort()
    for at_us in sent_at_us:
        capacity = 100 * (start + (1 - start) * at_us / (20 * SECOND))
        inside = sum(at_us <= t < at_us + window * SECOND for t in sent_at_us)
        assert inside <= 3 * capacity * window
    assert len(sent_at_us) > 20  # it does get work


def sent_to_a_new_endpoint(seed: int, **settings: Any) -> list[int]:
    """When a request is sent to an endpoint that starts while all others are overloaded, in ten seconds."""
    driver = BalancerDriver(
        NON_IDEMPOTENT,
        endpoint_count=20,
        load_report_fields=INFLIGHT,
        instance_count=4,
        warm_up_start_capacity=0.2,
        warm_up_us=100 * SECOND,
        seed=seed,
        **settings,
    )
    serve_with_load_reports(driver, 200, reported_load=0.0)
    serve_with_overload_reports(driver, 200)
    driver.update_list(Endpoint("new", started_at_us=driver.now))
    sent_at_us = []
    for _ in range(1000):
        for send in of_type(driver.request()[1], SendAttempt):
            is_new = send.endpoint_id == "new"
            load = 0.0 if is_new else 30.0
            if is_new:
                sent_at_us.append(driver.now)
            driver.end_attempt(send, Outcome.OK, int(20 * MS * max(1.0, load)), load_report=(load,))
        driver.advance(10 * MS)
    return sent_at_us


def test_a_warming_endpoint_gets_what_it_can_do_while_all_others_reject() -> None:
    # After a release most of a fleet is warming: its share of what was served was next to nothing.
    sent = sum(len(sent_to_a_new_endpoint(seed)) for seed in range(4))  # of all balancers together
    # In these ten seconds it can do some 100 at the least; the overload rule bears thrice that.
    assert 50 <= sent <= 200


def test_warming_endpoints_get_their_share_from_the_few_balancers_that_sample_them() -> None:
    # Each endpoint is drawn by a tenth of the balancers: counted as drawn by all it got less than its part.
    cold, got = {f"s{i}" for i in range(85)}, 0
    for seed in range(6):
        driver = BalancerDriver(
            NON_IDEMPOTENT,
            endpoint_count=170,
            load_report_fields=INFLIGHT,
            instance_count=200,
            warm_up_start_capacity=0.2,
            warm_up_us=100 * SECOND,
            seed=seed,
        )
        serve_with_overload_reports(driver, 200)
        driver.advance(10 * SECOND)
        driver.update_list(*[Endpoint(f"s{i}", started_at_us=driver.now) for i in range(85)])
        for _ in range(300):
            for s in of_type(driver.request()[1], SendAttempt):
                held = 0.0 if s.endpoint_id in cold else 30.0
                got += s.endpoint_id in cold
                driver.end_attempt(s, Outcome.OK, int(20 * MS * max(1.0, held)), load_report=(held,))
            driver.advance(100 * MS)
    assert got >= 185


def test_warming_endpoints_are_offered_what_the_overload_rule_surely_bears() -> None:
    # Half of what an endpoint could do at the least left seventy warming ones idle while the warm ones were
    # overloaded.
    multiple, window_us = 3.0, 2 * SECOND
    settings = {"overload_multiple": multiple, "overload_window_us": window_us}
    sent_at_us = sorted(at for seed in range(4) for at in sent_to_a_new_endpoint(seed, **settings))
    # Fifty a second warm, and a fifth of that at first.
    assert len(sent_at_us) >= 100
    most = max(sum(at <= other < at + window_us for other in sent_at_us) for at in sent_at_us)
    assert most <= multiple * 0.2 * 50 * window_us / SECOND


def test_many_balancers_with_little_traffic_use_a_warming_endpoint() -> None:
    # ibarra big-2: with whole credits, earned at 1/n a request, no quiet balancer ever sent to a warming
    # endpoint.
    sent = 0
    for seed in range(400):
        driver = BalancerDriver(
            endpoint_count=9,
            seed=seed,
            instance_count=400,
            warm_up_start_capacity=0.5,
            warm_up_us=20 * SECOND,
            overload_multiple=4.0,
        )
        driver.update_list(Endpoint("new", started_at_us=driver.now))
        sent += of_type(driver.request()[1], SendAttempt)[0].endpoint_id == "new"
    assert 10 <= sent <= 40  # of 400, with a tenth of the fleet at half its strength


def test_a_waiting_request_does_not_draw_until_a_warming_endpoint_takes_it() -> None:
    sent = 0
    for seed in range(100):
        driver = BalancerDriver(
            endpoint_count=0,
            seed=seed,
            warm_up_start_capacity=0.1,
            warm_up_us=1000 * SECOND,
            overload_multiple=4.0,
        )
        driver.update_list(Endpoint("new", started_at_us=driver.now))
        sent += len(of_type(driver.request()[1] + driver.advance(SECOND), SendAttempt))
    assert 3 <= sent <= 20


def test_an_overloaded_fleet_does_not_overload_a_warming_endpoint() -> None:
    # bajio overload: three times the traffic it could serve came back as retries, and the warming endpoint
    # was the only one that looked light: it was sent 6.8 times what it could do.
    sent = {}
    for is_served in (True, False):
        sent[is_served] = 0
        for seed in range(200):
            driver = BalancerDriver(
                endpoint_count=9,
                seed=seed,
                instance_count=400,
                warm_up_start_capacity=0.5,
                warm_up_us=100 * SECOND,
                overload_multiple=4.0,
            )
            for _ in range(30):
                for s in of_type(driver.request()[1], SendAttempt):
                    driver.end_attempt(s, Outcome.OK if is_served else Outcome.TIMEOUT, 20 * MS)
            driver.advance(10 * SECOND)
            driver.update_list(Endpoint("new", started_at_us=driver.now))
            sent[is_served] += sum(
                s.endpoint_id == "new" for _ in range(4) for s in of_type(driver.request()[1], SendAttempt)
            )
    assert sent[True] >= 20
    assert 2 * sent[False] <= sent[True]


def test_restarted_endpoints_get_their_share_though_the_rest_reject() -> None:
    # Three of nine came back warming. As the six rejected, the share of requests that might see a warming one
    # went to nothing; the three stood idle, and so the six rejected for as long as the day went on.
    driver = BalancerDriver(
        endpoint_count=6, instance_count=2, warm_up_start_capacity=0.5, warm_up_us=1000 * SECOND
    )
    driver.serve(30)
    for _ in range(100):
        driver.request()  # none is answered: the six are full
        driver.advance(MS)
    cold = [Endpoint(f"new{i}", started_at_us=driver.now) for i in range(3)]
    driver.update_list(*cold)
    asked, sent = 200, dict.fromkeys((b.id for b in cold), 0)
    for _ in range(asked):
        for s in of_type(driver.request()[1] + driver.advance(MS), SendAttempt):
            if s.endpoint_id in sent:
                sent[s.endpoint_id] += 1
                driver.end_attempt(s, Outcome.OK)
    # A part of nine each, at half their strength, but for some margin; and no more than that.
    assert all(3 <= n <= asked / 9 for n in sent.values())


def test_a_fleet_that_is_warming_as_a_whole_is_not_starved() -> None:
    # A rolling release leaves no endpoint warm. With draws apart and a margin off each part, half of all
    # requests saw no endpoint at all, however idle the fleet was.
    driver = BalancerDriver(
        endpoint_count=0, instance_count=2, warm_up_start_capacity=0.5, warm_up_us=1000 * SECOND
    )
    driver.update_list(*[Endpoint(f"new{i}", started_at_us=driver.now) for i in range(10)])
    for _ in range(100):
        driver.request()  # all that can be held is held
        driver.advance(MS)
    for s in of_type(list(driver.actions), SendAttempt):
        driver.end_attempt(s, Outcome.OK)
    driver.actions.clear()
    for _ in range(400):
        for s in of_type(driver.request()[1] + driver.advance(20 * MS), SendAttempt):
            driver.end_attempt(s, Outcome.OK)
    assert len(of_type(driver.actions, SendAttempt)) > 340
