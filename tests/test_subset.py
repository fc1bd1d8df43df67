"""The subset: among how many endpoints a balancer samples."""

from __future__ import annotations

from nickelmount.balancer.actions import SendAttempt
from nickelmount.balancer.events import Outcome

from .balancer_driver import MS, NON_IDEMPOTENT, BalancerDriver, of_type


def sampled_endpoints(driver: BalancerDriver, count: int, each_us: int) -> set[object]:
    """The endpoints that so many requests in a steady stream go to, each answered at once."""
    seen: set[object] = set()
    for _ in range(count):
        for s in of_type(driver.request()[1], SendAttempt):
            seen.add(s.endpoint_id)
            driver.end_attempt(s, Outcome.OK, 20 * MS, load_report=(1.0,))
        driver.advance(each_us)
    return seen


def test_a_balancer_with_few_requests_samples_few_endpoints() -> None:
    # With ten requests a second and 120 endpoints, what it learned of one had aged and its connection there
    # had closed long before the next visit.
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


def test_all_balancers_together_use_all_endpoints_alike() -> None:
    uses: dict[object, int] = {}
    for seed in range(200):
        for b in sampled_endpoints(
            BalancerDriver(NON_IDEMPOTENT, endpoint_count=60, instance_count=200, seed=seed), 30, 100 * MS
        ):
            uses[b] = uses.get(b, 0) + 1
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


def test_ejected_endpoints_give_their_places_to_others() -> None:
    driver = BalancerDriver(NON_IDEMPOTENT, endpoint_count=120, instance_count=200)
    lost = sampled_endpoints(driver, 200, 100 * MS)
    seen: set[object] = set()
    for _ in range(400):
        sent = of_type(driver.request()[1], SendAttempt)
        while sent:
            s = sent.pop()
            seen.add(s.endpoint_id)
            how = Outcome.CONNECT_FAILED if s.endpoint_id in lost else Outcome.OK
            sent += of_type(driver.end_attempt(s, how, 20 * MS), SendAttempt)
        driver.advance(100 * MS)
    assert len(seen - lost) >= 15
