"""Hedged requests."""

from __future__ import annotations

import pytest

from nickelmount.balancer.actions import CancelAttempt, SendAttempt
from nickelmount.balancer.events import Outcome
from nickelmount.balancer.settings import DedupScope, RequestClass

from .balancer_driver import IDEMPOTENT, MS, BalancerDriver, class_with_key, of_type


@pytest.mark.parametrize("request_class", [IDEMPOTENT, class_with_key(DedupScope.ALL)])
def test_one_attempt_at_a_time_if_hedging_is_not_allowed(request_class: RequestClass) -> None:
    # A slow attempt is not cancelled either in order to try another endpoint. Cancelled attempts ran on at
    # their endpoints, so that each request made 1.2 attempts, which cost more time than was saved.
    driver = BalancerDriver(request_class, can_hedge=False)
    driver.serve(20)
    _, actions = driver.request()
    first = of_type(actions, SendAttempt)[0]
    later_actions = driver.advance(300 * MS)
    assert not of_type(later_actions, CancelAttempt)
    assert not of_type(later_actions, SendAttempt)
    retries = of_type(driver.end_attempt(first, Outcome.ERROR), SendAttempt)
    assert retries
    assert retries[0].endpoint_id != first.endpoint_id


def test_a_slow_attempt_is_hedged_if_hedging_is_allowed() -> None:
    driver = BalancerDriver(IDEMPOTENT, can_hedge=True)
    driver.serve(20)
    first = of_type(driver.request()[1], SendAttempt)[0]
    hedges = of_type(driver.advance(300 * MS), SendAttempt)
    assert hedges
    assert hedges[0].endpoint_id != first.endpoint_id
