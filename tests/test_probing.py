"""Probing: samples are asked for their load first."""

from __future__ import annotations

from typing import Any

from nickelmount.balancer.actions import SendAttempt, SendProbe
from nickelmount.balancer.events import Outcome, ProbeEnded
from nickelmount.balancer.settings import Prices

from .balancer_driver import MS, SECOND, BalancerDriver, of_type


def probing_drive(servers: int, **settings: Any) -> BalancerDriver:
    return BalancerDriver(
        endpoint_count=servers, can_probe=True, load_report_fields=("inflight",), **settings
    )


def test_a_balancer_with_little_traffic_probes_both_samples() -> None:
    # ibarra big-1: 322 balancers, each hearing from an endpoint once a minute, did no better than random.
    driver = probing_drive(40)
    light = 0
    for _ in range(60):
        driver.advance(SECOND)
        _, actions = driver.request()
        asked = [p.endpoint_id for p in of_type(actions, SendProbe)]
        assert not of_type(actions, SendAttempt)
        assert len(asked) in (1, 2)
        sends = []
        for i, b in enumerate(asked):
            sends += of_type(driver.event(ProbeEnded(b, Outcome.OK, MS, (9.0 * i,))), SendAttempt)
        assert len(sends) == 1
        light += sends[0].endpoint_id == asked[0]
        driver.end_attempt(sends[0], Outcome.OK, 20 * MS, load_report=(1.0,))
    assert light >= 50  # of 60; bands are coarse


def test_a_sample_that_does_not_answer_its_probe_is_passed_over_in_time() -> None:
    for outcome in (None, Outcome.TIMEOUT):
        driver = probing_drive(40)
        while True:
            _, actions = driver.request()
            asked = [p.endpoint_id for p in of_type(actions, SendProbe)]
            if len(asked) == 2:
                break
            driver.advance(SECOND)
        sent = of_type(driver.event(ProbeEnded(asked[0], Outcome.OK, MS, (9.0,))), SendAttempt)
        assert not sent  # the other may still answer
        sent = of_type(
            driver.event(ProbeEnded(asked[1], outcome, MS)) if outcome else driver.advance(25 * MS),
            SendAttempt,
        )
        assert [s.endpoint_id for s in sent] == [asked[0]]


def test_without_any_probe_answer_the_load_table_decides() -> None:
    driver = probing_drive(40)
    driver.request()
    assert len(of_type(driver.advance(25 * MS), SendAttempt)) == 1


def test_probes_that_cost_too_much_are_not_sent() -> None:
    driver = probing_drive(40, prices=Prices(probe=0.05))
    _, actions = driver.request()
    assert of_type(actions, SendAttempt)
    assert not of_type(actions, SendProbe)
