"""Sampling: what a selection costs."""

from __future__ import annotations

from nickelmount.balancer.actions import SendAttempt
from nickelmount.balancer.endpoint import TrackedEndpoint
from nickelmount.balancer.events import Endpoint, EndpointStatus
from nickelmount.balancer.request import Request

from .balancer_driver import MS, BalancerDriver, of_type


def test_a_selection_costs_the_same_in_a_large_fleet() -> None:
    # i39cc3d: 60 endpoints, 950 requests a second: a look at all endpoints for each took more CPU than
    # allowed.
    driver = BalancerDriver(endpoint_count=320)
    driver.serve(400, MS)  # so many requests that it samples among all
    looks, draws = [], []
    sampler, table = driver.balancer.sampler, driver.balancer.table
    refresh_means, accepts = table.refresh_means, sampler.accepts

    def record_look(endpoints: list[TrackedEndpoint], now_us: int) -> None:
        looks.extend(endpoints)
        refresh_means(endpoints, now_us)

    def record_draw(request: Request, endpoint: TrackedEndpoint, now_us: int) -> bool:
        draws.append(endpoint)
        return accepts(request, endpoint, now_us)

    table.refresh_means = record_look  # type: ignore[method-assign]
    sampler.accepts = record_draw  # type: ignore[method-assign]
    sends = [s for _ in range(160) for s in of_type(driver.request()[1], SendAttempt)]
    assert len(sends) == 160
    assert len(looks) <= 2 * 320
    assert len(draws) <= 3 * 160
    for send in sends[:20]:
        driver.update_list(Endpoint(send.endpoint_id, EndpointStatus.DRAINING))
    drained = {send.endpoint_id for send in sends[:20]}
    assert not drained & {
        s.endpoint_id for _ in range(200) for s in of_type(driver.request()[1], SendAttempt)
    }
