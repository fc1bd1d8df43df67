"""Tests of the load table: how the load and speed of endpoints are estimated, and how estimates decay."""

from __future__ import annotations

from nickelmount.balancer.actions import SendAttempt
from nickelmount.balancer.events import ClientDisconnected, Outcome

from .balancer_driver import (
    INFLIGHT,
    MS,
    NON_IDEMPOTENT,
    SECOND,
    BalancerDriver,
    of_type,
    send_and_answer,
    serve_with_load_reports,
    serve_with_overload_reports,
)


def send_to(driver: BalancerDriver, endpoint_id: str) -> SendAttempt:
    """Make requests until one is sent to this endpoint, and return its attempt, which is still in flight."""
    while True:
        send = of_type(driver.request()[1], SendAttempt)[0]
        if send.endpoint_id == endpoint_id:
            return send
        driver.end_attempt(send, Outcome.OK, 20 * MS, load_report=(1.0,))


def test_a_timeout_shows_how_much_load_an_endpoint_has() -> None:
    # An overloaded endpoint does not answer and so reports no load. Its last report, from before the
    # overload, must not make it look lightly loaded.
    driver = BalancerDriver(NON_IDEMPOTENT, endpoint_count=2, load_report_fields=INFLIGHT, instance_count=3)
    serve_with_load_reports(driver, 40)
    unanswered = send_to(driver, "s0")
    serve_with_load_reports(driver, 20)
    driver.advance(SECOND)
    driver.end_attempt(unanswered, Outcome.TIMEOUT, SECOND, attempt=0)
    assert send_and_answer(driver, 40) == ["s1"] * 40


def test_an_attempt_long_in_flight_shows_the_load_before_its_timeout() -> None:
    driver = BalancerDriver(NON_IDEMPOTENT, endpoint_count=2, load_report_fields=INFLIGHT, instance_count=3)
    serve_with_load_reports(driver, 40)
    send_to(driver, "s0")
    serve_with_load_reports(driver, 20)
    driver.advance(800 * MS)
    assert send_and_answer(driver, 40) == ["s1"] * 40


def test_a_load_estimated_from_a_late_answer_is_replaced_by_the_next_report() -> None:
    driver = BalancerDriver(NON_IDEMPOTENT, endpoint_count=2, load_report_fields=INFLIGHT, instance_count=3)
    serve_with_load_reports(driver, 40)
    late = send_to(driver, "s0")
    driver.advance(800 * MS)
    driver.end_attempt(late, Outcome.OK, 800 * MS, attempt=0, load_report=(1.0,))
    assert "s0" in send_and_answer(driver, 40)


def test_old_reports_do_not_keep_the_mean_load_up() -> None:
    # Endpoints that are avoided for their load send no new reports, and new endpoints start at the mean load
    # of the others. Old reports must therefore lose weight in the mean.
    driver = BalancerDriver(NON_IDEMPOTENT, endpoint_count=12, load_report_fields=INFLIGHT, instance_count=40)
    serve_with_load_reports(driver, 200, reported_load=1.0)
    serve_with_overload_reports(driver, 60)
    table = driver.balancer.table
    driver.advance(20 * SECOND)
    for _ in range(400):  # About one request in thirteen may use this balancer's share of exploration.
        for send in of_type(driver.request()[1], SendAttempt)[:1]:
            if send.endpoint_id in ("s0", "s1"):
                driver.end_attempt(send, Outcome.OK, 20 * MS, load_report=(1.0,))
    assert table.mean_load < 6, table.mean_load


def test_a_few_overloaded_endpoints_do_not_make_the_others_look_fast() -> None:
    # Overloaded endpoints report a hundred times the service time of the others. Three of them dominate the
    # mean of all 17, so each endpoint is compared with the median instead.
    driver = BalancerDriver(NON_IDEMPOTENT, endpoint_count=17, load_report_fields=("inflight", "latency_ms"))
    for _ in range(51):
        for send in of_type(driver.request()[1], SendAttempt):
            is_overloaded = send.endpoint_id in ("s0", "s1", "s2")
            driver.end_attempt(
                send, Outcome.OK, 50 * MS, load_report=(1.0, 5000.0 if is_overloaded else 50.0)
            )
        driver.advance(20 * MS)
    table, endpoints = driver.balancer.table, driver.balancer.endpoints.by_id
    assert endpoints["s0"].reported_service_ms > 1000
    assert endpoints["s9"].sample_count
    assert endpoints["s9"].service_time_us > table.mean_service_time_us / 2


def test_the_penalty_of_a_failed_attempt_decays_without_further_events() -> None:
    # If the penalty decayed only at the next failure, an endpoint that has failed would be avoided forever.
    driver = BalancerDriver(endpoint_count=2)
    _, actions = driver.request()
    send = of_type(actions, SendAttempt)[0]
    driver.end_attempt(send, Outcome.ERROR)
    endpoint = driver.balancer.endpoints.by_id[send.endpoint_id]
    first = endpoint.own_in_flight(driver.now) - len(endpoint.in_flight)
    later = endpoint.own_in_flight(driver.now + 10 * SECOND) - len(endpoint.in_flight)
    assert first == 1.0
    assert 0.0 < later < 0.2


def test_the_penalty_of_a_broken_connection_decays_soon() -> None:
    # The slow decay over ten latencies is for endpoints that fail attempts at once. After a reset it would
    # count requests as load that were processed long ago.
    remaining = {}
    for outcome in (Outcome.RESET, Outcome.ERROR):
        driver = BalancerDriver(endpoint_count=1)
        driver.serve(10)
        driver.end_attempt(of_type(driver.request()[1], SendAttempt)[0], outcome)
        endpoint = driver.balancer.endpoints.by_id["s0"]
        # The penalty is read three latencies later.
        remaining[outcome] = endpoint.own_in_flight(driver.now + 60 * MS) - len(endpoint.in_flight)
    assert 0.0 < remaining[Outcome.RESET] < 0.3
    assert remaining[Outcome.ERROR] > 0.7


def test_a_queue_that_grew_unseen_does_not_make_endpoints_look_slow() -> None:
    # If latencies are compared with loads that were reported long before, all endpoints look slow and all
    # requests are rejected.
    driver = BalancerDriver(endpoint_count=1, instance_count=400, load_report_fields=("inflight",))
    for _ in range(300):
        driver.end_attempt(
            of_type(driver.request()[1], SendAttempt)[0], Outcome.OK, 400 * MS, load_report=(10.0,)
        )
        # The balancer must assume that the endpoint is idle when it sends the next request.
        driver.balancer.endpoints.by_id["s0"].other_in_flight = 0.0
    assert driver.balancer.table.mean_service_time_us < 80 * MS


def test_a_reported_service_time_distinguishes_slow_endpoints() -> None:
    # In a fleet whose speeds differ by a factor of 2.5, no balancer gets enough answers from one endpoint to
    # measure its speed.
    driver = BalancerDriver(endpoint_count=2, load_report_fields=("latency_ms", "inflight"))
    for _ in range(40):
        send = of_type(driver.request()[1], SendAttempt)[0]
        is_slow = send.endpoint_id == "s0"
        driver.end_attempt(send, Outcome.OK, 100 * MS, load_report=(200.0 if is_slow else 50.0, 1.0))
        driver.advance(100 * MS)
    driver.request()
    assert driver.balancer.endpoints.by_id["s0"].reported_service_ms == 200.0
    assert (
        driver.balancer.endpoints.by_id["s0"].service_time_us
        > driver.balancer.endpoints.by_id["s1"].service_time_us
    )


def test_attempts_of_disconnected_clients_do_not_pile_up_as_load() -> None:
    # With 200 disconnects per second and a penalty for each that lasts for a second, idle endpoints would
    # look full.
    driver = BalancerDriver(endpoint_count=2, instance_count=2)
    driver.serve(40, 2 * MS)
    sent = 0
    for _ in range(300):
        number, actions = driver.request()
        for send in of_type(actions, SendAttempt):
            sent += 1
            driver.event(ClientDisconnected(number))
            driver.end_attempt(send, Outcome.CANCELLED, 2 * MS)
        driver.advance(5 * MS)
    assert sent == 300
    assert all(e.own_in_flight(driver.now) < 5.0 for e in driver.balancer.endpoints.by_id.values())


def test_attempts_of_disconnected_clients_do_not_make_an_endpoint_look_overloaded() -> None:
    # When one client in eight disconnects early and each of their attempts counts as load for ten latencies,
    # idle endpoints look overloaded: a fifth of the requests was rejected although answers took 12 of the
    # 190 ms that were allowed.
    driver = BalancerDriver(endpoint_count=1, instance_count=2)
    driver.serve(40, 10 * MS)
    for _ in range(6):
        number, actions = driver.request()
        for send in of_type(actions, SendAttempt):
            driver.event(ClientDisconnected(number))
            driver.end_attempt(send, Outcome.CANCELLED, 10 * MS)
        driver.advance(30 * MS)  # After three latencies the cancelled work is done.
    assert [len(of_type(driver.request()[1], SendAttempt)) for _ in range(3)] == [1, 1, 1]
