"""Tests of the subset: the number of endpoints from which a balancer samples."""

from __future__ import annotations

from nickelmount.balancer.actions import SendAttempt
from nickelmount.balancer.events import Outcome

from .balancer_driver import MS, NON_IDEMPOTENT, BalancerDriver, of_type


def sampled_endpoints(driver: BalancerDriver, count: int, interval_us: int) -> set[object]:
    """Make `count` requests at regular intervals, answer each at once, and return the endpoints' ids."""
    sampled: set[object] = set()
    for _ in range(count):
        for send in of_type(driver.request()[1], SendAttempt):
            sampled.add(send.endpoint_id)
            driver.end_attempt(send, Outcome.OK, 20 * MS, load_report=(1.0,))
        driver.advance(interval_us)
    return sampled


def test_a_balancer_with_few_requests_samples_few_endpoints() -> None:
    # If ten requests per second are spread over 120 endpoints, the measurements of an endpoint are outdated
    # and the connection to it is closed long before the next request.
    assert (
        len(
            sampled_endpoints(
                BalancerDriver(NON_IDEMPOTENT, endpoint_count=120, instance_count=200), 200, 100 * MS
            )
        )
        <= 30
    )


def test_a_balancer_with_many_requests_samples_all_endpoints() -> None:
    assert (
        len(
            sampled_endpoints(
                BalancerDriver(NON_IDEMPOTENT, endpoint_count=120, instance_count=200), 2000, 5 * MS
            )
        )
        == 120
    )


def test_all_balancers_together_use_all_endpoints_evenly() -> None:
    uses: dict[object, int] = {}
    for seed in range(200):
        for endpoint_id in sampled_endpoints(
            BalancerDriver(NON_IDEMPOTENT, endpoint_count=60, instance_count=200, seed=seed), 30, 100 * MS
        ):
            uses[endpoint_id] = uses.get(endpoint_id, 0) + 1
    assert len(uses) == 60
    assert max(uses.values()) < 2 * min(uses.values())


def test_the_list_of_a_small_fleet_is_used_completely() -> None:
    assert (
        len(
            sampled_endpoints(
                BalancerDriver(NON_IDEMPOTENT, endpoint_count=17, instance_count=4), 400, 500 * MS
            )
        )
        == 17
    )


def test_ejected_endpoints_are_replaced_in_the_subset() -> None:
    driver = BalancerDriver(NON_IDEMPOTENT, endpoint_count=120, instance_count=200)
    failed = sampled_endpoints(driver, 200, 100 * MS)
    sampled: set[object] = set()
    for _ in range(400):
        sent = of_type(driver.request()[1], SendAttempt)
        while sent:
            send = sent.pop()
            sampled.add(send.endpoint_id)
            outcome = Outcome.CONNECT_FAILED if send.endpoint_id in failed else Outcome.OK
            sent += of_type(driver.end_attempt(send, outcome, 20 * MS), SendAttempt)
        driver.advance(100 * MS)
    assert len(sampled - failed) >= 15
