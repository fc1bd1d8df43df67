"""Hedged requests."""

from __future__ import annotations

import pytest

from nickelmount.balancer.actions import CancelAttempt, SendAttempt
from nickelmount.balancer.events import Outcome
from nickelmount.balancer.settings import DedupScope, RequestClass

from .balancer_driver import IDEMPOTENT, MS, BalancerDriver, class_with_key, of_type


@pytest.mark.parametrize("cls", [IDEMPOTENT, class_with_key(DedupScope.ALL)])
def test_one_attempt_at_a_time_where_hedging_is_forbidden(cls: RequestClass) -> None:
    # Nor is an overdue attempt cancelled to be tried elsewhere: on a quiet ibarra day, where a cancel stops
    # nothing, that made 1.2 attempts of each request and cost more time than it saved.
    driver = BalancerDriver(cls, can_hedge=False)
    driver.serve(20)
    _, actions = driver.request()
    first = of_type(actions, SendAttempt)[0]
    later = driver.advance(300 * MS)
    assert not of_type(later, CancelAttempt)
    assert not of_type(later, SendAttempt)
    again = of_type(driver.end_attempt(first, Outcome.ERROR), SendAttempt)
    assert again
    assert again[0].endpoint_id != first.endpoint_id


def test_a_slow_attempt_is_hedged_where_that_is_allowed() -> None:
    driver = BalancerDriver(IDEMPOTENT, can_hedge=True)
    driver.serve(20)
    first = of_type(driver.request()[1], SendAttempt)[0]
    second = of_type(driver.advance(300 * MS), SendAttempt)
    assert second
    assert second[0].endpoint_id != first.endpoint_id
