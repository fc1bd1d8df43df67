"""The way of a request: one final answer, whatever comes."""

from __future__ import annotations

from typing import Any

import pytest

from nickelmount.balancer.actions import FailRequest, RejectRequest, SendAttempt
from nickelmount.balancer.events import ClientDisconnected, Endpoint, Outcome, RequestArrived, TimerFired
from nickelmount.balancer.settings import DedupScope, RequestClass

from .balancer_driver import (
    IDEMPOTENT,
    MAY_HAVE_RUN_OUTCOMES,
    MS,
    NEVER_RAN_OUTCOMES,
    NON_IDEMPOTENT,
    SECOND,
    BalancerDriver,
    class_with_key,
    final_answers,
    of_type,
)


@pytest.mark.parametrize("cls", [IDEMPOTENT, NON_IDEMPOTENT])
def test_without_endpoints_a_request_waits_and_is_rejected_before_its_objective(cls: Any) -> None:
    driver = BalancerDriver(cls, endpoint_count=0)
    request, actions = driver.request()
    assert not of_type(actions, SendAttempt)
    assert not of_type(actions, RejectRequest)
    later = driver.advance(500 * MS)
    assert [a.request_id for a in of_type(later, RejectRequest)] == [request]
    assert not of_type(later, FailRequest)


def test_a_waiting_request_goes_to_the_first_endpoint_listed() -> None:
    driver = BalancerDriver(endpoint_count=0)
    driver.request()
    driver.update_list(Endpoint("late"))
    assert [s.endpoint_id for s in of_type(driver.advance(100 * MS), SendAttempt)] == ["late"]


def test_the_only_endpoint_is_used_though_it_fails() -> None:
    driver = BalancerDriver(endpoint_count=1)
    for _ in range(6):
        _, actions = driver.request()
        for s in of_type(actions, SendAttempt):
            driver.end_attempt(s, Outcome.RESET)
        driver.advance(100 * MS)
    assert len(of_type(driver.actions, SendAttempt)) >= 4


@pytest.mark.parametrize(
    ("event", "named"),
    [
        (RequestArrived(9, 1, SECOND), "request_class"),
        (RequestArrived(9, -1, SECOND), "request_class"),
        (RequestArrived(9, 0, SECOND, tenant=1), "tenant"),
        (RequestArrived(1, 0, SECOND), "request"),
    ],
)
def test_a_request_that_makes_no_sense_is_named(event: RequestArrived, named: str) -> None:
    driver = BalancerDriver()
    driver.request()
    with pytest.raises(ValueError, match=named):
        driver.event(event)


def test_what_is_no_event_is_named() -> None:
    with pytest.raises(TypeError, match="str is no event"):
        BalancerDriver().event("gone")  # type: ignore[arg-type]


def test_events_of_a_finished_request_are_passed_over() -> None:
    driver = BalancerDriver()
    send = of_type(driver.request()[1], SendAttempt)[0]
    driver.end_attempt(send, Outcome.OK)
    assert not driver.end_attempt(send, Outcome.OK)
    assert not driver.event(ClientDisconnected(send.request_id))
    assert not driver.event(TimerFired(5))


@pytest.mark.parametrize("cls", [IDEMPOTENT, NON_IDEMPOTENT, class_with_key(DedupScope.CELL)])
@pytest.mark.parametrize("outcome", [*MAY_HAVE_RUN_OUTCOMES, *NEVER_RAN_OUTCOMES])
def test_one_final_answer_when_every_attempt_fails(cls: RequestClass, outcome: Outcome) -> None:
    driver = BalancerDriver(cls, max_attempts=3)
    request, actions = driver.request()
    pending = of_type(actions, SendAttempt)
    for _ in range(20):
        if not pending:
            break
        driver.advance(10 * MS)
        pending = of_type(driver.end_attempt(pending[0], outcome), SendAttempt)
    driver.advance(2 * SECOND)
    assert len(final_answers(driver, request)) == 1
    assert len([a for a in driver.actions if isinstance(a, SendAttempt)]) <= 3


def test_a_timeout_at_the_clients_time_is_answered_at_once() -> None:
    driver = BalancerDriver()
    request, actions = driver.request(timeout_us=300 * MS)
    send = of_type(actions, SendAttempt)[0]
    assert send.timeout_us <= 300 * MS
    driver.now += 300 * MS
    driver.end_attempt(send, Outcome.TIMEOUT)
    assert len(final_answers(driver, request)) == 1


def test_no_time_left_is_answered_at_once() -> None:
    driver = BalancerDriver()
    request, actions = driver.request(timeout_us=0)
    assert len(final_answers(driver, request)) == 1
    assert not of_type(actions, SendAttempt)


def test_nothing_is_sent_after_the_client_has_disconnected() -> None:
    driver = BalancerDriver()
    request, actions = driver.request()
    send = of_type(actions, SendAttempt)[0]
    driver.event(ClientDisconnected(request))
    driver.end_attempt(send, Outcome.ERROR)
    driver.advance(2 * SECOND)
    assert not final_answers(driver, request)
    assert len(of_type(driver.actions, SendAttempt)) == 1
    driver.event(ClientDisconnected(request))  # known no more: ignored
    driver.end_attempt(send, Outcome.ERROR)
