"""Drives one balancer in tests: no clock, no network."""

from __future__ import annotations

from typing import Any, TypeVar

from nickelmount.balancer.actions import Action, FailRequest, RejectRequest, SendAttempt, SetTimer
from nickelmount.balancer.balancer import Balancer
from nickelmount.balancer.events import (
    AttemptEnded,
    Endpoint,
    EndpointsChanged,
    Event,
    ListUpdateKind,
    Outcome,
    RequestArrived,
    TimerFired,
)
from nickelmount.balancer.settings import DedupScope, Idempotency, RequestClass, Settings

ActionType = TypeVar("ActionType")
MS, SECOND = 1_000, 1_000_000
IDEMPOTENT = RequestClass("safe", 500 * MS, 2 * SECOND)
NON_IDEMPOTENT = RequestClass("unsafe", 500 * MS, 2 * SECOND, Idempotency.NEVER)

MAY_HAVE_RUN_OUTCOMES = [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET]
NEVER_RAN_OUTCOMES = [Outcome.REJECTED, Outcome.CONNECT_FAILED]
INFLIGHT = ("inflight",)  # fields of a load report


def class_with_key(dedup_scope: DedupScope, dedup_window_us: int = SECOND) -> RequestClass:
    return RequestClass("keyed", 500 * MS, 2 * SECOND, Idempotency.WITH_KEY, dedup_scope, dedup_window_us)


class BalancerDriver:
    """One balancer with its clock, its pending timers and the actions it has returned."""

    def __init__(
        self,
        request_class: RequestClass = IDEMPOTENT,
        endpoint_count: int = 4,
        seed: int = 1,
        other_classes: tuple[RequestClass, ...] = (),
        **settings: Any,
    ) -> None:
        self.settings = Settings(classes=(request_class, *other_classes), tick_us=MS, **settings)
        self.balancer = Balancer(self.settings, seed)
        self.now = SECOND
        self.actions: list[Action] = []
        self.timers: list[tuple[int, int]] = []
        self.request_count = 0
        self.latest_attempts: dict[int, int] = {}
        self.initial_endpoints = [Endpoint(f"s{i}", zone=i % 2, cell=i % 3) for i in range(endpoint_count)]
        self.event(EndpointsChanged(ListUpdateKind.CACHED, list(self.initial_endpoints)))

    def event(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for a in actions:
            if isinstance(a, SetTimer):
                self.timers.append((self.now + a.delay_us, a.token))
            if isinstance(a, SendAttempt):
                self.latest_attempts[a.request_id] = self.latest_attempts.get(a.request_id, -1) + 1
        self.actions += actions
        return actions

    def request(self, timeout_us: int = SECOND, tenant: int = 0) -> tuple[int, list[Action]]:
        self.request_count += 1
        return self.request_count, self.event(RequestArrived(self.request_count, 0, timeout_us, tenant))

    def end_attempt(
        self,
        send: SendAttempt,
        outcome: Outcome,
        latency_us: int = 20 * MS,
        attempt: int | None = None,
        load_report: tuple[float, ...] = (),
    ) -> list[Action]:
        n = self.latest_attempts[send.request_id] if attempt is None else attempt
        done = outcome is Outcome.OK
        return self.event(
            AttemptEnded(send.request_id, n, send.endpoint_id, outcome, latency_us, done, load_report)
        )

    def advance(self, us: int) -> list[Action]:
        """Let time pass, firing the timers that fall due on the way."""
        until, out = self.now + us, []
        while True:
            due = sorted(t for t in self.timers if t[0] <= until)
            if not due:
                break
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            out += self.event(TimerFired(due[0][1]))
        self.now = until
        return out

    def serve(self, count: int, latency_us: int = 20 * MS) -> None:
        """Let some requests be answered, so that the table knows its servers."""
        for _ in range(count):
            _, actions = self.request()
            for s in of_type(actions, SendAttempt):
                self.end_attempt(s, Outcome.OK, latency_us)
            self.advance(latency_us)

    def update_list(self, *backends: Endpoint, kind: ListUpdateKind = ListUpdateKind.DELTA) -> list[Action]:
        return self.event(EndpointsChanged(kind, list(backends)))


def of_type(actions: list[Action], kind: type[ActionType]) -> list[ActionType]:
    return [a for a in actions if isinstance(a, kind)]


def final_answers(driver: BalancerDriver, request: int) -> list[object]:
    return [
        a for a in driver.actions if isinstance(a, RejectRequest | FailRequest) and a.request_id == request
    ]


def serve_with_load_reports(driver: BalancerDriver, count: int, reported_load: float = 1.0) -> None:
    """So many requests answered at once, each answer reporting what the endpoint holds."""
    for _ in range(count):
        for s in of_type(driver.request()[1], SendAttempt):
            driver.end_attempt(
                s, Outcome.OK, int(20 * MS * max(1.0, reported_load)), load_report=(reported_load,)
            )
        driver.advance(5 * MS)


def send_and_answer(driver: BalancerDriver, count: int) -> list[object]:
    out: list[object] = []
    for _ in range(count):
        for s in of_type(driver.request()[1], SendAttempt):
            out.append(s.endpoint_id)
            driver.end_attempt(s, Outcome.OK, 20 * MS, load_report=(1.0,))
    return out


def serve_with_overload_reports(driver: BalancerDriver, count: int) -> None:
    """Answers, each of which reports an endpoint that is far too full."""
    serve_with_load_reports(driver, count, reported_load=30.0)
