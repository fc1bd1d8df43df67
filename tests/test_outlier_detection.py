"""Outlier detection: what ejects an endpoint, and what does not."""

from __future__ import annotations

from nickelmount.balancer.actions import LogMessage, RejectRequest, SendAttempt
from nickelmount.balancer.events import Outcome

from .balancer_driver import MS, BalancerDriver, of_type


def test_a_broken_connection_does_not_eject_its_endpoint() -> None:
    # A tenth of all attempts was reset on one day, and each shut its endpoint out for half a second and more:
    # half of the endpoints were out at any time.
    driver = BalancerDriver(endpoint_count=4)
    broken, answered = 0, dict.fromkeys((b.id for b in driver.initial_endpoints), 0)
    for _ in range(300):
        for s in of_type(driver.request()[1], SendAttempt):
            if answered[s.endpoint_id] < 6:
                answered[s.endpoint_id] += 1
                driver.end_attempt(s, Outcome.OK)
                continue
            answered[s.endpoint_id], broken = 0, broken + 1
            for again in of_type(
                driver.end_attempt(s, (Outcome.RESET, Outcome.CONNECT_FAILED)[broken % 2]), SendAttempt
            ):
                driver.end_attempt(again, Outcome.OK)
        driver.advance(20 * MS)
    assert broken > 30
    assert not of_type(driver.actions, RejectRequest)
    assert not of_type(driver.actions, LogMessage)
    # A process that has died rejects the second connection too.
    for _ in range(40):
        for s in of_type(driver.request()[1], SendAttempt):
            driver.end_attempt(s, Outcome.CONNECT_FAILED if s.endpoint_id == "s0" else Outcome.OK)
        driver.advance(2 * MS)
    assert [a.text for a in of_type(driver.actions, LogMessage)] == ["endpoint s0 ejected: connect_failed"]


def test_a_timeout_of_an_endpoint_that_still_answers_is_no_failure() -> None:
    driver = BalancerDriver(endpoint_count=1)
    driver.serve(5)
    _, slow = driver.request()
    _, quick = driver.request()
    driver.advance(100 * MS)
    driver.end_attempt(of_type(quick, SendAttempt)[0], Outcome.OK, 100 * MS)
    driver.advance(200 * MS)
    before = driver.balancer.endpoints.by_id["s0"].failure_streak
    driver.end_attempt(of_type(slow, SendAttempt)[0], Outcome.TIMEOUT, 300 * MS)
    assert driver.balancer.endpoints.by_id["s0"].failure_streak == before == 0
