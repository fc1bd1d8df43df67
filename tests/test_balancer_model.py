"""The four rules that a balancer must keep, under adversarial orders of events.

1. Each request gets one final answer in time, and nothing is sent for it afterwards.
2. A request that may have run is sent again only if its idempotency permits it.
3. Nothing is sent to an endpoint that is draining or removed.
4. A warming endpoint is not overloaded.

A state machine acts as a correct but hostile caller of one balancer. Checker judges the actions by the public
interface alone, and shares no code with the balancer. For each rule there is a balancer that breaks it on
purpose, which shows that the checker notices.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from nickelmount.balancer.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    FetchEndpoints,
    LogMessage,
    RejectRequest,
    SendAttempt,
    SendProbe,
    SetTimer,
    WatchEndpoints,
)
from nickelmount.balancer.balancer import Balancer
from nickelmount.balancer.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointsChanged,
    EndpointStatus,
    Event,
    ListUpdateKind,
    Outcome,
    ProbeEnded,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from nickelmount.balancer.settings import DedupScope, DiscoveryMode, Idempotency, RequestClass, Settings

MS, SECOND = 1_000, 1_000_000
NEVER_RAN_OUTCOMES = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@dataclass
class Attempt:
    endpoint: Endpoint
    sent_at_us: int
    timeout_at_us: int
    outcome: Outcome | None = None  # None while the attempt is in flight.
    is_cancelled: bool = False


@dataclass
class ArrivedRequest:
    request_class: RequestClass
    deadline_us: int
    attempts: list[Attempt] = field(default_factory=list)
    is_answered: bool = False  # True as well if no answer is needed any more.


class Checker:
    """Checks each action when it is returned, and each deadline when it has passed."""

    def __init__(self, balancer_settings: Settings) -> None:
        self.balancer_settings = balancer_settings
        self.endpoints: dict[Any, Endpoint] = {}
        self.requests: dict[int, ArrivedRequest] = {}
        self.arrivals: list[int] = []
        self.warming_sends: dict[Any, list[int]] = {}
        self.fewest_ready = 0  # The fewest ready endpoints at any time, but at least 1.

    def check_send(self, now: int, action: SendAttempt) -> None:
        request, config = self.requests[action.request_id], self.balancer_settings
        assert not request.is_answered, "rule 1: sent after the final answer"
        assert now < request.deadline_us, "rule 1: sent after the client's timeout"
        assert now + action.timeout_us <= request.deadline_us + config.answer_slack_us, (
            "rule 1: attempt may end after the client's timeout"
        )
        assert len(request.attempts) < config.max_attempts, "more attempts than allowed"
        endpoint = self.endpoints.get(action.endpoint_id)
        assert endpoint is not None, "sent to an endpoint that was never listed"
        assert endpoint.status is EndpointStatus.READY, "rule 3: sent to a draining or removed endpoint"
        may_have_run = [earlier for earlier in request.attempts if earlier.outcome not in NEVER_RAN_OUTCOMES]
        if request.request_class.idempotency is Idempotency.NEVER:
            assert not may_have_run, "rule 2: non-idempotent request sent again though it may have run"
        if request.request_class.idempotency is Idempotency.WITH_KEY and may_have_run:
            assert now <= may_have_run[0].sent_at_us + request.request_class.dedup_window_us, (
                "rule 2: request with key sent again after its dedup window"
            )
            for earlier in may_have_run:
                is_in_scope = {
                    DedupScope.ALL: True,
                    DedupScope.ZONE: earlier.endpoint.zone == endpoint.zone,
                    DedupScope.CELL: earlier.endpoint.cell == endpoint.cell,
                }
                assert is_in_scope[request.request_class.dedup_scope], (
                    "rule 2: request with key sent again outside its dedup scope"
                )
        if not config.can_hedge:
            assert all(earlier.outcome for earlier in request.attempts), (
                "rule 2: two attempts in flight at once"
            )
        request.attempts.append(Attempt(replace(endpoint), now, now + action.timeout_us))
        if endpoint.started_at_us and now < endpoint.started_at_us + config.warm_up_us:
            self.check_warming(now, endpoint)

    def check_warming(self, now: int, endpoint: Endpoint) -> None:
        sends = self.warming_sends.setdefault((endpoint.id, endpoint.started_at_us), [])
        sends.append(now)
        config, progress = (
            self.balancer_settings,
            (now - endpoint.started_at_us) / self.balancer_settings.warm_up_us,
        )
        warm_share = config.warm_up_start_capacity + (1 - config.warm_up_start_capacity) * progress
        sends_in_window = [t for t in sends if t > now - config.overload_window_us]
        arrivals_in_window = sum(t > now - config.overload_window_us for t in self.arrivals)
        # What a warm endpoint would have been sent of this balancer's requests.
        even_share = arrivals_in_window / self.fewest_ready
        assert len(sends_in_window) <= config.overload_multiple * even_share * warm_share + 3, (
            "rule 4: overloads a warming endpoint"
        )

    def check_final_answer(self, action: RejectRequest | FailRequest) -> None:
        request = self.requests[action.request_id]
        assert not request.is_answered, "rule 1: a second final answer"
        if isinstance(action, RejectRequest):
            assert 0 <= action.retry_after_us <= self.balancer_settings.max_retry_after_us
            if any(earlier.outcome not in NEVER_RAN_OUTCOMES for earlier in request.attempts):
                is_idempotent = request.request_class.idempotency is Idempotency.ALWAYS
                assert is_idempotent or (
                    request.request_class.idempotency is Idempotency.WITH_KEY
                    and request.request_class.dedup_scope is DedupScope.ALL
                ), "rule 2: rejected though a retry by the client is not harmless"
        request.is_answered = True

    def check_deadlines(self, now: int) -> None:
        for request in self.requests.values():
            assert (
                request.is_answered or now <= request.deadline_us + self.balancer_settings.answer_slack_us
            ), "rule 1: no answer in time"


class HostileCaller(RuleBasedStateMachine):
    """A caller that fires timers and ends timeouts on time, and delivers all other events in any order."""

    @staticmethod
    def make(balancer_settings: Settings, seed: int) -> Balancer:
        return Balancer(balancer_settings, seed)

    @initialize(data=st.data())
    def start(self, data: st.DataObject) -> None:
        draw = data.draw
        request_class = st.builds(
            RequestClass,
            name=st.uuids().map(str),
            latency_objective_us=st.sampled_from([1, 20 * MS, 300 * MS]),
            deadline_us=st.just(SECOND),
            idempotency=st.sampled_from(Idempotency),
            dedup_scope=st.sampled_from(DedupScope),
            dedup_window_us=st.sampled_from([0, 1, 50 * MS, SECOND]),
            priority_weight=st.sampled_from([0.0, 1.0, 8.0]),
            late_weight=st.sampled_from([0.0, 0.5]),
            objective_stretch=st.sampled_from([0.0, 2.0]),
        )
        tick = draw(st.sampled_from([0, MS, 5 * MS]))
        self.balancer_settings = Settings(
            classes=tuple(draw(st.lists(request_class, min_size=1, max_size=3))),
            tick_us=tick,
            answer_slack_us=draw(st.sampled_from([0, 4 * tick])),
            discovery_mode=draw(st.sampled_from(DiscoveryMode)),
            instance_count=draw(st.sampled_from([1, 3, 500])),
            can_hedge=draw(st.booleans()),
            can_cancel=draw(st.booleans()),
            can_probe=draw(st.booleans()),
            max_attempts=draw(st.integers(1, 4)),
            can_send_retry_after=draw(st.booleans()),
            has_capacity_hints=False,
            load_report_fields=("inflight",),
            warm_up_start_capacity=draw(st.sampled_from([0.05, 0.5, 1.0])),
            warm_up_us=draw(st.sampled_from([0, SECOND, 10 * SECOND])),
            overload_multiple=draw(st.sampled_from([0.5, 3.0])),
        )
        self.tick_us, self.now, self.request_count = tick or 1, 100 * SECOND, 0
        self.timers: list[tuple[int, int]] = []  # The time at which each one fires, and its token.
        self.probed_ids: list[Any] = []  # Endpoint ids of the probes in flight.
        self.list_calls = 0  # Number of list calls in flight.
        self.checker = Checker(self.balancer_settings)
        self.balancer = self.make(self.balancer_settings, 1)
        endpoint_count = draw(st.sampled_from([0, 1, 2, 7, 30]))
        self.update_list(
            ListUpdateKind.CACHED, [Endpoint(i, zone=i % 2, cell=i % 3) for i in range(endpoint_count)]
        )

    def event(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        if isinstance(action, SendAttempt):
            self.checker.check_send(self.now, action)
        elif isinstance(action, RejectRequest | FailRequest):
            self.checker.check_final_answer(action)
        elif isinstance(action, CancelAttempt):
            assert self.balancer_settings.can_cancel
            self.checker.requests[action.request_id].attempts[action.attempt].is_cancelled = True
        elif isinstance(action, SetTimer):
            self.timers.append((self.now + action.delay_us, action.token))
        elif isinstance(action, SendProbe):
            assert self.balancer_settings.can_probe
            assert action.endpoint_id in self.checker.endpoints
            self.probed_ids.append(action.endpoint_id)
        elif isinstance(action, WatchEndpoints | FetchEndpoints):
            self.list_calls += 1
        else:
            assert isinstance(action, LogMessage)

    def update_list(self, kind: ListUpdateKind, endpoints: list[Endpoint]) -> None:
        known = self.checker.endpoints
        if kind in (ListUpdateKind.FULL, ListUpdateKind.CACHED):
            for endpoint in known.values():
                endpoint.status = EndpointStatus.REMOVED
        for endpoint in endpoints:
            known[endpoint.id] = replace(endpoint)
        ready_count = sum(endpoint.status is EndpointStatus.READY for endpoint in known.values())
        self.checker.fewest_ready = min(self.checker.fewest_ready or ready_count, ready_count) or 1
        self.event(EndpointsChanged(kind, endpoints))

    def attempts_in_flight(self) -> list[tuple[int, int, Attempt]]:
        """Return the attempts in flight, each with its request id and its number."""
        return [
            (request_id, number, attempt)
            for request_id, request in self.checker.requests.items()
            for number, attempt in enumerate(request.attempts)
            if attempt.outcome is None
        ]

    def end_attempt(self, request_id: int, number: int, outcome: Outcome) -> None:
        request = self.checker.requests[request_id]
        attempt = request.attempts[number]
        attempt.outcome = outcome
        finished = outcome is Outcome.OK and not request.is_answered
        request.is_answered = request.is_answered or finished
        latency_us = self.now - attempt.sent_at_us
        self.event(
            AttemptEnded(request_id, number, attempt.endpoint.id, outcome, latency_us, finished, (3.0,))
        )

    @rule(
        count=st.integers(1, 12),
        class_index=st.integers(0, 2),
        timeout_us=st.sampled_from([0, 1, 30 * MS, SECOND]),
    )
    def arrive(self, count: int, class_index: int, timeout_us: int) -> None:
        for _ in range(count):
            self.request_count += 1
            class_index %= len(self.balancer_settings.classes)
            self.checker.requests[self.request_count] = ArrivedRequest(
                self.balancer_settings.classes[class_index], self.now + timeout_us
            )
            self.checker.arrivals.append(self.now)
            self.event(RequestArrived(self.request_count, class_index, timeout_us, cost_us=10 * MS))

    @precondition(lambda self: self.attempts_in_flight())
    @rule(data=st.data(), count=st.integers(1, 8), outcome=st.sampled_from(Outcome))
    def some_end(self, data: st.DataObject, count: int, outcome: Outcome) -> None:
        for _ in range(count):
            if not (in_flight := self.attempts_in_flight()):
                return
            request_id, number, attempt = data.draw(st.sampled_from(in_flight))
            if outcome is Outcome.CANCELLED and not attempt.is_cancelled:
                outcome = Outcome.RESET
            self.end_attempt(request_id, number, outcome)

    @precondition(lambda self: self.attempts_in_flight())
    @rule(data=st.data())
    def stream(self, data: st.DataObject) -> None:
        request_id, number, _ = data.draw(st.sampled_from(self.attempts_in_flight()))
        if not self.checker.requests[request_id].is_answered:
            self.checker.requests[request_id].is_answered = True
            self.event(ResponseStarted(request_id, number))

    @precondition(lambda self: self.checker.requests)
    @rule(data=st.data())
    def client_leaves(self, data: st.DataObject) -> None:
        request_id = data.draw(st.sampled_from(sorted(self.checker.requests)))
        self.checker.requests[request_id].is_answered = True
        self.event(ClientDisconnected(request_id))

    @rule(
        data=st.data(),
        status=st.sampled_from(EndpointStatus),
        has_started=st.booleans(),
        is_complete=st.booleans(),
    )
    def list_changes(
        self, data: st.DataObject, status: EndpointStatus, has_started: bool, is_complete: bool
    ) -> None:
        endpoint_id = data.draw(st.sampled_from([0, 1, 2, 6, 31]))
        changed = Endpoint(
            endpoint_id,
            status,
            endpoint_id % 2,
            endpoint_id % 3,
            started_at_us=self.now - 5 * MS if has_started else 0,
        )
        kept = [replace(e) for e in self.checker.endpoints.values() if e.id not in (endpoint_id, 3)]
        self.update_list(
            ListUpdateKind.FULL if is_complete else ListUpdateKind.DELTA,
            [*kept, changed] if is_complete else [changed],
        )

    @precondition(lambda self: self.probed_ids)
    @rule(
        outcome=st.sampled_from([Outcome.OK, Outcome.OK, Outcome.TIMEOUT, Outcome.CONNECT_FAILED]),
        count=st.integers(1, 6),
        load=st.sampled_from([0.0, 1.0, 40.0]),
    )
    def echo(self, outcome: Outcome, count: int, load: float) -> None:
        for _ in range(min(count, len(self.probed_ids))):
            report = (load,) if outcome is Outcome.OK else ()
            self.event(ProbeEnded(self.probed_ids.pop(0), outcome, 0, report))

    @precondition(lambda self: self.list_calls)
    @rule(fails=st.booleans())
    def call_answered(self, fails: bool) -> None:
        self.list_calls -= 1
        self.update_list(ListUpdateKind.FAILED if fails else ListUpdateKind.DELTA, [])

    @rule(us=st.sampled_from([1, MS, 10 * MS, 100 * MS, 700 * MS, 5 * SECOND]))
    def time_passes(self, us: int) -> None:
        until = self.now + max(self.tick_us, us // self.tick_us * self.tick_us)
        while True:
            # Timers are listed by their token and the number -1, timeouts by request id and attempt number.
            due = [(t, token, -1) for t, token in self.timers] + [
                (attempt.timeout_at_us, request_id, number)
                for request_id, number, attempt in self.attempts_in_flight()
            ]
            if not due or min(due)[0] > until:
                break
            at, token_or_request_id, attempt_number = min(due)
            # With ticks, an event is delivered in the tick after the one in which it is due.
            delivered_at = (at // self.tick_us + 1) * self.tick_us if self.balancer_settings.tick_us else at
            self.now = max(self.now, delivered_at)
            self.checker.check_deadlines(self.now)
            if attempt_number < 0:
                self.timers.remove((at, token_or_request_id))
                self.event(TimerFired(token_or_request_id))
            else:
                self.end_attempt(token_or_request_id, attempt_number, Outcome.TIMEOUT)
        self.now = max(self.now, until)
        self.checker.check_deadlines(self.now)


LIMITS = settings(
    max_examples=200,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.generate,),
)


def test_the_rules_hold_in_any_order_of_events() -> None:
    run_state_machine_as_test(HostileCaller, settings=LIMITS)


class NeverRejecting(Balancer):
    """A balancer that breaks rule 1: it gives no final answer where it should reject a request."""

    def handle(self, now: int, event: Event) -> list[Action]:
        return [a for a in super().handle(now, event) if not isinstance(a, RejectRequest)]


class RetryingAfterErrors(Balancer):
    """A balancer that breaks rule 2: it takes an error as proof that the request never ran."""

    def handle(self, now: int, event: Event) -> list[Action]:
        if isinstance(event, AttemptEnded) and event.outcome is Outcome.ERROR:
            event = replace(event, outcome=Outcome.REJECTED)
        return super().handle(now, event)


class IgnoringDrains(Balancer):
    """A balancer that breaks rule 3: it ignores all endpoints in a list update that are not ready."""

    def handle(self, now: int, event: Event) -> list[Action]:
        if isinstance(event, EndpointsChanged):
            event = replace(event, endpoints=[e for e in event.endpoints if e.status is EndpointStatus.READY])
        return super().handle(now, event)


class IgnoringWarmUp(Balancer):
    """A balancer that breaks rule 4: restarted endpoints count as warm, the only ones, and never full."""

    def _hopeful(self, *_: Any) -> bool:
        return True

    def handle(self, now: int, event: Event) -> list[Action]:
        if isinstance(event, EndpointsChanged):
            restarted = [e for e in event.endpoints if e.started_at_us]
            event = replace(
                event,
                endpoints=[replace(e, started_at_us=0) for e in restarted or event.endpoints],
                kind=ListUpdateKind.FULL if restarted else event.kind,
            )
        return super().handle(now, event)


@pytest.mark.parametrize(
    ("faulty_balancer", "message"),
    [
        (NeverRejecting, "rule 1"),
        (RetryingAfterErrors, "rule 2"),
        (IgnoringDrains, "rule 3"),
        (IgnoringWarmUp, "rule 4"),
    ],
)
def test_the_checker_notices_each_broken_rule(faulty_balancer: type[Balancer], message: str) -> None:
    machine = type("Faulty", (HostileCaller,), {"make": staticmethod(faulty_balancer)})
    with pytest.raises(AssertionError, match=message):
        run_state_machine_as_test(machine, settings=settings(LIMITS, max_examples=400))
