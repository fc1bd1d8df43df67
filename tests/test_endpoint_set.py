"""Tests of the endpoint set: list updates, removal, and lists of thousands of endpoints."""

from __future__ import annotations

import pytest

from nickelmount.balancer.actions import SendAttempt
from nickelmount.balancer.events import Endpoint, EndpointStatus, ListUpdateKind, Outcome, ProbeEnded

from .balancer_driver import INFLIGHT, MS, NON_IDEMPOTENT, BalancerDriver, of_type, send_and_answer


@pytest.mark.parametrize("status", [EndpointStatus.DRAINING, EndpointStatus.REMOVED])
def test_nothing_is_sent_to_a_draining_or_removed_endpoint(status: EndpointStatus) -> None:
    driver = BalancerDriver(endpoint_count=2)
    driver.update_list(Endpoint("s0", status))
    for _ in range(50):
        assert all(s.endpoint_id == "s1" for s in of_type(driver.request()[1], SendAttempt))


def test_an_endpoint_missing_from_a_full_list_is_removed() -> None:
    driver = BalancerDriver(endpoint_count=3)
    driver.update_list(Endpoint("s2"), kind=ListUpdateKind.FULL)
    for _ in range(50):
        assert all(s.endpoint_id == "s2" for s in of_type(driver.request()[1], SendAttempt))


def test_all_parts_of_a_list_of_more_than_a_thousand_are_used_and_deleted_when_replaced() -> None:
    # The list arrives as a complete list, as changes, and as a complete list that replaces all endpoints.
    # There are about as many balancers as endpoints.
    count, part_count = 1500, 15
    # The parts of the list to which requests were sent, by the way in which the list arrived. The ids of the
    # endpoints begin with the first letter of the kind.
    used_parts = {kind: set[int]() for kind in ("whole", "changes", "replaced")}
    for seed in range(60):
        driver = BalancerDriver(
            NON_IDEMPOTENT,
            endpoint_count=0,
            load_report_fields=INFLIGHT,
            instance_count=1400,
            instance_index=seed,
            seed=seed,
        )
        driver.update_list(*[Endpoint(f"w{i}") for i in range(count)], kind=ListUpdateKind.FULL)
        for kind in used_parts:
            if kind == "changes":
                driver.update_list(kind=ListUpdateKind.FULL)
                for first in range(0, count, 100):
                    driver.update_list(*[Endpoint(f"c{i}") for i in range(first, first + 100)])
            if kind == "replaced":
                driver.update_list(*[Endpoint(f"r{i}") for i in range(count)], kind=ListUpdateKind.FULL)
            for endpoint_id in send_and_answer(driver, 20):
                assert str(endpoint_id)[0] == kind[0]
                used_parts[kind].add(int(str(endpoint_id)[1:]) * part_count // count)
            assert len(driver.balancer.endpoints.by_id) == count
            driver.advance(200 * MS)
    assert all(len(parts) == part_count for parts in used_parts.values())


def test_removed_endpoints_are_deleted_once_nothing_is_in_flight_to_them() -> None:
    # Over a long run, endpoints are replaced under new ids. If removed ones were kept, each list update would
    # have to go through all of them.
    driver = BalancerDriver(endpoint_count=1, can_probe=True, load_report_fields=INFLIGHT)
    driver.request()
    send = of_type(driver.advance(25 * MS), SendAttempt)[0]
    for i in range(50):
        driver.update_list(Endpoint(f"new{i}"), Endpoint(f"new{i - 1}", EndpointStatus.REMOVED))
    driver.update_list(Endpoint("s0", EndpointStatus.REMOVED))
    # Only the last endpoint and the one with an attempt in flight are left.
    assert set(driver.balancer.endpoints.by_id) == {"s0", "new49"}
    assert len(driver.balancer.endpoints.by_gossip_tag) == 2
    driver.end_attempt(send, Outcome.OK)
    driver.event(ProbeEnded("s0", Outcome.TIMEOUT, 50 * MS))
    driver.update_list()
    assert set(driver.balancer.endpoints.by_id) == {"new49"}
    assert len(driver.balancer.endpoints.by_gossip_tag) == 1
