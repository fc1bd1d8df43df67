"""Slow start: all balancers together keep to the overload rule at an endpoint that has just started."""

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
RATE_PER_S = 20.0  # Requests of mean work that a machine of speed 1 serves per second.
BURST, QUIET = 1.6, 0.6  # Rate of requests, as a multiple of the capacity of all machines.
START_CAPACITY, WARM_UP_US, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_US = 0.15, 20 * SECOND, 2.5, 2 * SECOND
BEGIN_US, RESTART_US, END_US = SECOND, 5 * SECOND, 11 * SECOND
WORK = RequestClass("work", 500 * MS, 2 * SECOND, Idempotency.NEVER)


class Machine:
    """An endpoint with one core, which serves requests one after another.

    It warms up as slowly as the settings allow.
    """

    def __init__(self, rate_per_s: float) -> None:
        self.rate_per_s = rate_per_s  # Requests of mean work that it serves per second when it is warm.
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
        """Take in a request that arrives now; return the time at which it is done."""
        self.arrived_at_us.append(now_us)
        self.in_flight += 1
        started_us = max(float(now_us), self.free_at_us)
        self.free_at_us = started_us + work * SECOND / (self.rate_per_s * self.warm_share(started_us))
        return int(self.free_at_us)

    def peak_window_load(self) -> float:
        """Return the most arrivals in any overload window, as a share of what the overload rule allows."""
        peak = 0.0
        for i, at_us in enumerate(self.arrived_at_us):
            # The capacity at the beginning of the window is the least that the machine has during it.
            capacity = self.rate_per_s * self.warm_share(at_us) * OVERLOAD_WINDOW_US / SECOND
            allowed = OVERLOAD_MULTIPLE * capacity
            arrivals = bisect_left(self.arrived_at_us, at_us + OVERLOAD_WINDOW_US) - i
            peak = max(peak, arrivals / (allowed + 2 * sqrt(allowed) + 2))
        return peak


class BurstAtRestart:
    """A simulation in which some machines restart during a burst, and all balancers are notified at once.

    `speeds` are given to the machines in turn, and half of the machines that restart have the first speed. A
    tenth of the balancers has ten times the traffic of the others. The burst exceeds the capacity of all
    machines.
    """

    def __init__(
        self, instance_count: int, seed: int, speeds: tuple[float, ...], has_hints: bool, can_probe: bool
    ) -> None:
        self.rng = rng = Random(seed)
        self.machines = [Machine(RATE_PER_S * speeds[i % len(speeds)]) for i in range(MACHINES)]
        self.capacity_per_s = sum(machine.rate_per_s for machine in self.machines)
        self.entries = [
            Endpoint(i, capacity_hint=machine.rate_per_s / RATE_PER_S if has_hints else 1.0)
            for i, machine in enumerate(self.machines)
        ]
        settings = Settings(
            classes=(WORK,),
            instance_count=instance_count,
            load_report_fields=("inflight",),
            tick_us=MS,
            can_hedge=False,
            can_probe=can_probe,
            has_capacity_hints=has_hints,
            warm_up_start_capacity=START_CAPACITY,
            warm_up_us=WARM_UP_US,
            overload_multiple=OVERLOAD_MULTIPLE,
            overload_window_us=OVERLOAD_WINDOW_US,
        )
        self.balancers = [Balancer(settings, rng.getrandbits(32)) for _ in range(instance_count)]
        self.traffic = [10.0 if i % 10 == 0 else 1.0 for i in range(instance_count)]
        # A heap of events: time in us, number of the action that caused it, index of the balancer, event.
        self.events: list[tuple[int, int, int, Event]] = []
        self.action_count = 0
        self.has_restarted = False
        first_speed_indices = [*range(RESTARTED // 2 * len(speeds))][:: len(speeds)]
        self.restarted: list[int] = []
        self.notify_all(BEGIN_US, ListUpdateKind.CACHED, self.entries)
        self.restarted = first_speed_indices + rng.sample(range(MACHINES), RESTARTED // 2)

    def run(self) -> tuple[float, int]:
        """Run the simulation; return the restarted machines' peak window load and number of requests."""
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
        return max(m.peak_window_load() for m in restarted), sum(len(m.arrived_at_us) for m in restarted)

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


UNEVEN_SPEEDS, WIDELY_SPREAD_SPEEDS = (0.4, 1.0, 1.6), (0.25, 1.25, 1.25, 1.25)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    ("instance_count", "speeds", "has_hints", "can_probe"),
    [
        (3, UNEVEN_SPEEDS, True, False),
        (30, UNEVEN_SPEEDS, True, False),
        (230, UNEVEN_SPEEDS, True, False),
        (230, (1.0,), False, False),
        (30, WIDELY_SPREAD_SPEEDS, True, False),
        (230, WIDELY_SPREAD_SPEEDS, True, True),
    ],
)
def test_all_balancers_together_do_not_overload_a_restarted_machine_however_small(
    instance_count: int, speeds: tuple[float, ...], has_hints: bool, can_probe: bool, seed: int
) -> None:
    # Thirty or more balancers each offered a small machine what a machine of mean size bears, and together
    # sent it up to twice as many requests as it could take.
    peak, received = BurstAtRestart(instance_count, seed, speeds, has_hints, can_probe).run()
    assert peak <= 1.0, peak
    assert received >= 40, received


@pytest.mark.parametrize("percentages", [(25, 25, 25, 25), (97, 1, 1, 1)])
def test_all_balancers_together_keep_to_the_overload_rule(percentages: tuple[int, ...]) -> None:
    # Ten endpoints get 1000 requests per second in total. A warm one gets 100 per second, which is taken to
    # be almost its capacity.
    start_capacity, window_s = 0.15, 2
    drivers = [
        BalancerDriver(
            endpoint_count=9,
            seed=i,
            instance_count=4,
            warm_up_start_capacity=start_capacity,
            warm_up_us=20 * SECOND,
            overload_window_us=window_s * SECOND,
        )
        for i in range(len(percentages))
    ]
    for driver in drivers:
        driver.update_list(Endpoint("new", started_at_us=driver.now))
    sent_at_us = []
    for second in range(6):
        for driver, percentage in zip(drivers, percentages, strict=True):
            for _ in range(percentage * 10):
                driver.now += SECOND // (percentage * 10)
                for s in of_type(driver.request()[1], SendAttempt):
                    if s.endpoint_id == "new":
                        sent_at_us.append(driver.now - SECOND)
                    driver.end_attempt(s, Outcome.OK, 5 * MS)
            driver.now = (second + 2) * SECOND
    sent_at_us.sort()
    for at_us in sent_at_us:
        capacity_per_s = 100 * (start_capacity + (1 - start_capacity) * at_us / (20 * SECOND))
        sent_in_window = sum(at_us <= t < at_us + window_s * SECOND for t in sent_at_us)
        assert sent_in_window <= 3 * capacity_per_s * window_s
    assert len(sent_at_us) > 20  # The new endpoint is not left idle.


def send_times_to_a_new_endpoint(seed: int, **settings: Any) -> list[int]:
    """Return the times in us at which requests are sent to an endpoint in its first ten seconds.

    All other endpoints are overloaded meanwhile.
    """
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


def test_a_warming_endpoint_gets_what_it_can_work_off_while_all_others_are_overloaded() -> None:
    # After a release most of a fleet is warming up, and an endpoint's share of the requests that were served
    # was next to nothing.
    sent = sum(len(send_times_to_a_new_endpoint(seed)) for seed in range(4))  # By all balancers together.
    # In these ten seconds it can work off at least about 100 requests. The overload rule allows three times
    # as many.
    assert 50 <= sent <= 200


def test_warming_endpoints_get_their_share_from_the_few_balancers_that_sample_them() -> None:
    # Each endpoint is sampled by a tenth of the balancers. When the rules took it to be sampled by all of
    # them, it got less than its share.
    warming_ids, sent = {f"s{i}" for i in range(85)}, 0
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
                load = 0.0 if s.endpoint_id in warming_ids else 30.0
                sent += s.endpoint_id in warming_ids
                driver.end_attempt(s, Outcome.OK, int(20 * MS * max(1.0, load)), load_report=(load,))
            driver.advance(100 * MS)
    assert sent >= 185


def test_warming_endpoints_are_offered_what_the_overload_rule_surely_allows() -> None:
    # When warming endpoints were offered half of their least capacity, seventy of them were idle while the
    # warm ones were overloaded.
    multiple, window_us = 3.0, 2 * SECOND
    settings = {"overload_multiple": multiple, "overload_window_us": window_us}
    sent_at_us = sorted(at for seed in range(4) for at in send_times_to_a_new_endpoint(seed, **settings))
    # An endpoint serves 50 requests per second when it is warm, and a fifth of that at first.
    assert len(sent_at_us) >= 100
    peak = max(sum(at <= other < at + window_us for other in sent_at_us) for at in sent_at_us)
    assert peak <= multiple * 0.2 * 50 * window_us / SECOND


def test_many_balancers_with_little_traffic_use_a_warming_endpoint() -> None:
    # When each of n balancers earned 1/n of a credit per request, and sending to a warming endpoint cost a
    # whole credit, no balancer with little traffic ever sent a request to one.
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
    # 400 requests were sent, and the new endpoint is a tenth of the fleet, at half of its capacity.
    assert 10 <= sent <= 40


def test_a_waiting_request_does_not_draw_again_until_a_warming_endpoint_admits_it() -> None:
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
    # Clients sent three times the traffic that the fleet could serve as retries. Only the warming endpoint
    # seemed to have a low load, and it was sent 6.8 times what it could work off.
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


def test_restarted_endpoints_get_their_share_while_the_others_are_full() -> None:
    # Three of nine endpoints restarted. Because the other six rejected requests, the share of requests that
    # the warming ones admitted fell to almost nothing. They stayed idle, and so the six kept rejecting.
    driver = BalancerDriver(
        endpoint_count=6, instance_count=2, warm_up_start_capacity=0.5, warm_up_us=1000 * SECOND
    )
    driver.serve(30)
    for _ in range(100):
        driver.request()  # No request is answered, so that the six endpoints are full.
        driver.advance(MS)
    restarted = [Endpoint(f"new{i}", started_at_us=driver.now) for i in range(3)]
    driver.update_list(*restarted)
    request_count, sent = 200, dict.fromkeys((e.id for e in restarted), 0)
    for _ in range(request_count):
        for s in of_type(driver.request()[1] + driver.advance(MS), SendAttempt):
            if s.endpoint_id in sent:
                sent[s.endpoint_id] += 1
                driver.end_attempt(s, Outcome.OK)
    # Each gets at most a ninth of the requests. At half of its capacity, and with some margin, it gets less.
    assert all(3 <= n <= request_count / 9 for n in sent.values())


def test_a_fleet_that_is_warming_up_as_a_whole_is_not_starved() -> None:
    # A rolling release leaves no endpoint warm. With independent draws and a margin taken off each share,
    # half of all requests were admitted by no endpoint, however idle the fleet was.
    driver = BalancerDriver(
        endpoint_count=0, instance_count=2, warm_up_start_capacity=0.5, warm_up_us=1000 * SECOND
    )
    driver.update_list(*[Endpoint(f"new{i}", started_at_us=driver.now) for i in range(10)])
    for _ in range(100):
        driver.request()  # No request is answered, so that the endpoints become full.
        driver.advance(MS)
    for s in of_type(list(driver.actions), SendAttempt):
        driver.end_attempt(s, Outcome.OK)
    driver.actions.clear()
    for _ in range(400):
        for s in of_type(driver.request()[1] + driver.advance(20 * MS), SendAttempt):
            driver.end_attempt(s, Outcome.OK)
    assert len(of_type(driver.actions, SendAttempt)) > 340
