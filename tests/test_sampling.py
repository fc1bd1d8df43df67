"""Sampling: the cost of a selection."""

from __future__ import annotations

from nickelmount.balancer.actions import SendAttempt
from nickelmount.balancer.endpoint import TrackedEndpoint
from nickelmount.balancer.events import Endpoint, EndpointStatus
from nickelmount.balancer.request import Request

from .balancer_driver import MS, BalancerDriver, of_type


def test_a_selection_costs_the_same_in_a_large_fleet() -> None:
    # Incident i39cc3d: with 60 endpoints and 950 requests per second, checking all endpoints for each request
    # took more CPU time than allowed.
    driver = BalancerDriver(endpoint_count=320)
    driver.serve(400, MS)  # With this much traffic all endpoints are sampled.
    refreshed, checked = [], []
    sampler, table = driver.balancer.sampler, driver.balancer.table
    refresh_means, accepts = table.refresh_means, sampler.accepts

    def record_refresh(endpoints: list[TrackedEndpoint], now_us: int) -> None:
        refreshed.extend(endpoints)
        refresh_means(endpoints, now_us)

    def record_check(request: Request, endpoint: TrackedEndpoint, now_us: int) -> bool:
        checked.append(endpoint)
        return accepts(request, endpoint, now_us)

    table.refresh_means = record_refresh  # type: ignore[method-assign]
    sampler.accepts = record_check  # type: ignore[method-assign]
    sends = [s for _ in range(160) for s in of_type(driver.request()[1], SendAttempt)]
    assert len(sends) == 160
    assert len(refreshed) <= 2 * 320
    assert len(checked) <= 3 * 160
    for send in sends[:20]:
        driver.update_list(Endpoint(send.endpoint_id, EndpointStatus.DRAINING))
    draining = {send.endpoint_id for send in sends[:20]}
    assert not draining & {
        s.endpoint_id for _ in range(200) for s in of_type(driver.request()[1], SendAttempt)
    }
