"""Tests of probing: sampled endpoints are asked for their load before they are compared."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from math import sqrt
from typing import Any

from nickelmount.balancer.actions import SendAttempt, SendProbe
from nickelmount.balancer.events import EndpointId, EndpointsChanged, ListUpdateKind, Outcome, ProbeEnded
from nickelmount.balancer.settings import Prices

from .balancer_driver import MS, SECOND, BalancerDriver, of_type


def probing_driver(endpoint_count: int, **settings: Any) -> BalancerDriver:
    return BalancerDriver(
        endpoint_count=endpoint_count, can_probe=True, load_report_fields=("inflight",), **settings
    )


def test_a_balancer_with_little_traffic_probes_both_samples() -> None:
    # Each of 322 balancers gets a load report from an endpoint only once a minute. Without probes, comparing
    # two samples is then no better than a random choice.
    driver = probing_driver(40)
    sent_to_lighter = 0
    for _ in range(60):
        driver.advance(SECOND)
        _, actions = driver.request()
        probed = [p.endpoint_id for p in of_type(actions, SendProbe)]
        assert not of_type(actions, SendAttempt)
        assert len(probed) in (1, 2)
        sends = []
        for i, endpoint_id in enumerate(probed):
            sends += of_type(driver.event(ProbeEnded(endpoint_id, Outcome.OK, MS, (9.0 * i,))), SendAttempt)
        assert len(sends) == 1
        sent_to_lighter += sends[0].endpoint_id == probed[0]
        driver.end_attempt(sends[0], Outcome.OK, 20 * MS, load_report=(1.0,))
    # Not all 60 requests go to the lighter sample, because bands are coarse.
    assert sent_to_lighter >= 50


def test_a_sample_that_does_not_answer_its_probe_is_passed_over_in_time() -> None:
    for outcome in (None, Outcome.TIMEOUT):
        driver = probing_driver(40)
        while True:
            _, actions = driver.request()
            probed = [p.endpoint_id for p in of_type(actions, SendProbe)]
            if len(probed) == 2:
                break
            driver.advance(SECOND)
        sent = of_type(driver.event(ProbeEnded(probed[0], Outcome.OK, MS, (9.0,))), SendAttempt)
        assert not sent  # The other endpoint may still answer its probe.
        sent = of_type(
            driver.event(ProbeEnded(probed[1], outcome, MS)) if outcome else driver.advance(25 * MS),
            SendAttempt,
        )
        assert [s.endpoint_id for s in sent] == [probed[0]]


def test_without_any_probe_answer_the_load_table_decides() -> None:
    driver = probing_driver(40)
    driver.request()
    assert len(of_type(driver.advance(25 * MS), SendAttempt)) == 1


def test_probes_that_cost_too_much_are_not_sent() -> None:
    driver = probing_driver(40, prices=Prices(probe=0.05))
    _, actions = driver.request()
    assert of_type(actions, SendAttempt)
    assert not of_type(actions, SendProbe)


def sent_after_probes(driver: BalancerDriver, probed: set[EndpointId]) -> list[SendAttempt]:
    """Answer probes with a load of 0, and return the attempts that are sent then."""
    sends: list[SendAttempt] = []
    for endpoint_id in sorted(probed, key=str):
        sends += of_type(driver.event(ProbeEnded(endpoint_id, Outcome.OK, MS, (0.0,))), SendAttempt)
    return sends


def test_requests_that_wait_for_a_probe_do_not_overload_an_endpoint_that_has_restarted() -> None:
    # Requests wait for the probe of the only endpoint. The list says that it has restarted, and then the
    # probe ends with a load of 0. All requests were sent to the endpoint at once, although slow start admits
    # only few of them.
    start_capacity, seeds, waiting = 0.05, 20, 8
    sent = 0
    for seed in range(seeds):
        driver = probing_driver(1, seed=seed, warm_up_start_capacity=start_capacity, warm_up_us=24 * SECOND)
        (endpoint,) = driver.initial_endpoints
        for _ in range(waiting):
            driver.request()
        restarted = replace(endpoint, started_at_us=driver.now)
        driver.event(EndpointsChanged(ListUpdateKind.DELTA, [restarted]))
        sent += len(sent_after_probes(driver, {endpoint.id}))
    mean = start_capacity * seeds * waiting
    assert sent <= mean + 3 * sqrt(mean)


def test_requests_that_wait_for_a_probe_are_not_sent_to_an_endpoint_that_was_ejected() -> None:
    # Requests wait for the probes of four endpoints. Meanwhile attempts at one of them fail until it is
    # ejected, and then the probes end. Requests were sent to that endpoint all the same.
    driver = probing_driver(4)
    probed: set[EndpointId] = set()
    for _ in range(8):
        probed |= {probe.endpoint_id for probe in of_type(driver.request()[1], SendProbe)}
    sends = sent_after_probes(driver, probed)
    (target, _), *_ = Counter(send.endpoint_id for send in sends).most_common()
    driver.advance(30 * MS)  # The loads are too old now.
    probed = set()
    for _ in range(8):
        probed |= {probe.endpoint_id for probe in of_type(driver.request()[1], SendProbe)}
    assert target in probed
    for send in sends:
        if send.endpoint_id == target:
            driver.end_attempt(send, Outcome.CONNECT_FAILED)
    after = sent_after_probes(driver, probed)
    assert after
    assert target not in {send.endpoint_id for send in after}
