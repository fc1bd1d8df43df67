"""Retries: where and when a request may be sent again."""

from __future__ import annotations

import pytest

from nickelmount.balancer.actions import FailRequest, RejectRequest, SendAttempt
from nickelmount.balancer.events import Outcome
from nickelmount.balancer.retry import MAX_RETRY_BUDGET, RETRY_BUDGET_PER_REQUEST
from nickelmount.balancer.settings import DedupScope

from .balancer_driver import (
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


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN_OUTCOMES)
def test_a_non_idempotent_request_that_may_have_run_is_failed_not_rejected(outcome: Outcome) -> None:
    driver = BalancerDriver(NON_IDEMPOTENT)
    request, actions = driver.request()
    later_actions = driver.end_attempt(of_type(actions, SendAttempt)[0], outcome)
    assert not of_type(later_actions, SendAttempt)
    assert isinstance(final_answers(driver, request)[0], FailRequest)


@pytest.mark.parametrize("outcome", NEVER_RAN_OUTCOMES)
def test_a_non_idempotent_request_that_never_ran_is_sent_again(outcome: Outcome) -> None:
    driver = BalancerDriver(NON_IDEMPOTENT)
    _, actions = driver.request()
    assert of_type(driver.end_attempt(of_type(actions, SendAttempt)[0], outcome), SendAttempt)


def test_a_retry_with_key_stays_in_its_dedup_scope() -> None:
    for seed in range(20):
        driver = BalancerDriver(class_with_key(DedupScope.CELL), endpoint_count=12, seed=seed)
        cells = {e.id: e.cell for e in driver.initial_endpoints}
        _, actions = driver.request()
        first = of_type(actions, SendAttempt)[0]
        retries = of_type(driver.end_attempt(first, Outcome.ERROR), SendAttempt)
        assert retries
        assert cells[retries[0].endpoint_id] == cells[first.endpoint_id]


@pytest.mark.parametrize(
    ("dedup_scope", "answer"), [(DedupScope.ZONE, FailRequest), (DedupScope.ALL, RejectRequest)]
)
def test_a_retry_with_key_is_not_sent_after_its_dedup_window(dedup_scope: DedupScope, answer: type) -> None:
    driver = BalancerDriver(class_with_key(dedup_scope, dedup_window_us=100 * MS))
    request, actions = driver.request()
    driver.now += 100 * MS
    assert not of_type(driver.end_attempt(of_type(actions, SendAttempt)[0], Outcome.ERROR), SendAttempt)
    assert isinstance(final_answers(driver, request)[0], answer)


@pytest.mark.parametrize("outcome", [*MAY_HAVE_RUN_OUTCOMES, *NEVER_RAN_OUTCOMES])
def test_a_retry_with_key_must_be_written_within_the_rest_of_its_dedup_window(outcome: Outcome) -> None:
    driver = BalancerDriver(class_with_key(DedupScope.ALL, dedup_window_us=SECOND))
    _, actions = driver.request(timeout_us=2 * SECOND)
    first = of_type(actions, SendAttempt)[0]
    assert first.write_within_us == 0
    driver.now += 300 * MS
    retry = of_type(driver.end_attempt(first, outcome), SendAttempt)[0]
    assert (
        retry.write_within_us == 0
        if outcome in NEVER_RAN_OUTCOMES
        else 600 * MS < retry.write_within_us <= 700 * MS
    )


def test_full_endpoints_do_not_cause_a_retry_storm() -> None:
    # Incident i00db6e: when all endpoints were full, retries were not limited, and each request made twenty
    # attempts.
    driver = BalancerDriver(endpoint_count=8)
    request_count, send_count = 200, 0
    for _ in range(request_count):
        _, actions = driver.request()
        pending = of_type(actions, SendAttempt)
        while pending:
            send_count += 1
            driver.now += MS
            pending = of_type(driver.end_attempt(pending[0], Outcome.REJECTED, MS), SendAttempt)
    assert send_count <= request_count * (1 + RETRY_BUDGET_PER_REQUEST) + MAX_RETRY_BUDGET + 1
