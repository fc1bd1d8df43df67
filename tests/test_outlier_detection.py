"""Outlier detection: which failures eject an endpoint, and which do not."""

from __future__ import annotations

from nickelmount.balancer.actions import LogMessage, RejectRequest, SendAttempt
from nickelmount.balancer.events import Outcome

from .balancer_driver import MS, BalancerDriver, of_type


def test_a_broken_connection_does_not_eject_its_endpoint() -> None:
    # When a tenth of all attempts was reset, each reset ejected its endpoint for half a second or more, so
    # that half of the endpoints were ejected at any time.
    driver = BalancerDriver(endpoint_count=4)
    broken_count, successes = 0, dict.fromkeys((e.id for e in driver.initial_endpoints), 0)
    for _ in range(300):
        for s in of_type(driver.request()[1], SendAttempt):
            if successes[s.endpoint_id] < 6:
                successes[s.endpoint_id] += 1
                driver.end_attempt(s, Outcome.OK)
                continue
            successes[s.endpoint_id], broken_count = 0, broken_count + 1
            for retry in of_type(
                driver.end_attempt(s, (Outcome.RESET, Outcome.CONNECT_FAILED)[broken_count % 2]), SendAttempt
            ):
                driver.end_attempt(retry, Outcome.OK)
        driver.advance(20 * MS)
    assert broken_count > 30
    assert not of_type(driver.actions, RejectRequest)
    assert not of_type(driver.actions, LogMessage)
    # A process that has died refuses the next connection as well.
    for _ in range(40):
        for s in of_type(driver.request()[1], SendAttempt):
            driver.end_attempt(s, Outcome.CONNECT_FAILED if s.endpoint_id == "s0" else Outcome.OK)
        driver.advance(2 * MS)
    assert [a.text for a in of_type(driver.actions, LogMessage)] == ["endpoint s0 ejected: connect_failed"]


def test_a_timeout_at_an_endpoint_that_still_answers_is_not_a_failure() -> None:
    driver = BalancerDriver(endpoint_count=1)
    driver.serve(5)
    _, slow = driver.request()
    _, quick = driver.request()
    driver.advance(100 * MS)
    driver.end_attempt(of_type(quick, SendAttempt)[0], Outcome.OK, 100 * MS)
    driver.advance(200 * MS)
    streak_before = driver.balancer.endpoints.by_id["s0"].failure_streak
    driver.end_attempt(of_type(slow, SendAttempt)[0], Outcome.TIMEOUT, 300 * MS)
    assert driver.balancer.endpoints.by_id["s0"].failure_streak == streak_before == 0
