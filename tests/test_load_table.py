"""The load table: what is learned of an endpoint's load and speed, and how it fades."""

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


def send_to(driver: BalancerDriver, backend: str) -> SendAttempt:
    """Requests until one goes to this endpoint; it is left without an answer."""
    while True:
        send = of_type(driver.request()[1], SendAttempt)[0]
        if send.endpoint_id == backend:
            return send
        driver.end_attempt(send, Outcome.OK, 20 * MS, load_report=(1.0,))


def test_a_timeout_tells_how_much_an_endpoint_holds() -> None:
    # A overloaded endpoint answers nothing and so reports nothing: its last word, from before, made it look
    # light.
    driver = BalancerDriver(NON_IDEMPOTENT, endpoint_count=2, load_report_fields=INFLIGHT, instance_count=3)
    serve_with_load_reports(driver, 40)
    lost = send_to(driver, "s0")
    serve_with_load_reports(driver, 20)
    driver.advance(SECOND)
    driver.end_attempt(lost, Outcome.TIMEOUT, SECOND, attempt=0)
    assert send_and_answer(driver, 40) == ["s1"] * 40


def test_an_attempt_long_in_flight_tells_it_before_its_timeout() -> None:
    driver = BalancerDriver(NON_IDEMPOTENT, endpoint_count=2, load_report_fields=INFLIGHT, instance_count=3)
    serve_with_load_reports(driver, 40)
    send_to(driver, "s0")
    serve_with_load_reports(driver, 20)
    driver.advance(800 * MS)
    assert send_and_answer(driver, 40) == ["s1"] * 40


def test_a_load_guessed_from_a_late_answer_gives_way_to_the_next_report() -> None:
    driver = BalancerDriver(NON_IDEMPOTENT, endpoint_count=2, load_report_fields=INFLIGHT, instance_count=3)
    serve_with_load_reports(driver, 40)
    late = send_to(driver, "s0")
    driver.advance(800 * MS)
    driver.end_attempt(late, Outcome.OK, 800 * MS, attempt=0, load_report=(1.0,))
    assert "s0" in send_and_answer(driver, 40)


def test_old_reports_do_not_keep_the_mean_load_up() -> None:
    # Endpoints shunned for what they held are not heard of again; new ones enter at the mean of the others.
    driver = BalancerDriver(NON_IDEMPOTENT, endpoint_count=12, load_report_fields=INFLIGHT, instance_count=40)
    serve_with_load_reports(driver, 200, reported_load=1.0)
    serve_with_overload_reports(driver, 60)
    table = driver.balancer.table
    driver.advance(20 * SECOND)
    for _ in range(400):  # one in thirteen of them has this balancer's part of the pass to idle endpoints
        for s in of_type(driver.request()[1], SendAttempt)[:1]:
            if s.endpoint_id in ("s0", "s1"):
                driver.end_attempt(s, Outcome.OK, 20 * MS, load_report=(1.0,))
    assert table.mean_load < 6, table.mean_load


def test_a_few_overloaded_endpoints_do_not_make_the_others_look_fast() -> None:
    # They report a hundred times the service time of the rest, and the mean was theirs.
    driver = BalancerDriver(NON_IDEMPOTENT, endpoint_count=17, load_report_fields=("inflight", "latency_ms"))
    for _ in range(51):
        for s in of_type(driver.request()[1], SendAttempt):
            choked = s.endpoint_id in ("s0", "s1", "s2")
            driver.end_attempt(s, Outcome.OK, 50 * MS, load_report=(1.0, 5000.0 if choked else 50.0))
        driver.advance(20 * MS)
    table, endpoints = driver.balancer.table, driver.balancer.endpoints.by_id
    assert endpoints["s0"].reported_service_ms > 1000
    assert endpoints["s9"].sample_count
    assert endpoints["s9"].service_time_us > table.mean_service_time_us / 2


def test_the_penalty_of_a_failed_attempt_fades_by_itself() -> None:
    # It once faded only when the next failure came, so an endpoint that had failed was shunned for ever.
    driver = BalancerDriver(endpoint_count=2)
    _, actions = driver.request()
    send = of_type(actions, SendAttempt)[0]
    driver.end_attempt(send, Outcome.ERROR)
    server = driver.balancer.endpoints.by_id[send.endpoint_id]
    first = server.own_in_flight(driver.now) - len(server.in_flight)
    later = server.own_in_flight(driver.now + 10 * SECOND) - len(server.in_flight)
    assert first == 1.0
    assert 0.0 < later < 0.2


def test_the_penalty_of_a_broken_connection_fades_soon() -> None:
    # Fading over ten answers' time is for endpoints that end attempts at once; here most of the weight at all
    # endpoints was that of requests long done.
    left = {}
    for outcome in (Outcome.RESET, Outcome.ERROR):
        driver = BalancerDriver(endpoint_count=1)
        driver.serve(10)
        driver.end_attempt(of_type(driver.request()[1], SendAttempt)[0], outcome)
        server = driver.balancer.endpoints.by_id["s0"]
        left[outcome] = server.own_in_flight(driver.now + 60 * MS) - len(
            server.in_flight
        )  # three times the usual answer's time
    assert 0.0 < left[Outcome.RESET] < 0.3
    assert left[Outcome.ERROR] > 0.7


def test_a_queue_that_grew_unseen_does_not_make_endpoints_look_slow() -> None:
    # bajio, crash: answers were set against loads told long before; all endpoints looked slow, all was
    # rejected.
    driver = BalancerDriver(endpoint_count=1, instance_count=400, load_report_fields=("inflight",))
    for _ in range(300):
        driver.end_attempt(
            of_type(driver.request()[1], SendAttempt)[0], Outcome.OK, 400 * MS, load_report=(10.0,)
        )
        driver.balancer.endpoints.by_id[
            "s0"
        ].other_in_flight = 0.0  # what it is taken to hold at the next send
    assert driver.balancer.table.mean_service_time_us < 80 * MS


def test_a_reported_service_time_tells_slow_endpoints_apart() -> None:
    # bajio: speeds differ by 2.5, and no balancer sees enough answers of one endpoint to learn its pace.
    driver = BalancerDriver(endpoint_count=2, load_report_fields=("latency_ms", "inflight"))
    for _ in range(40):
        send = of_type(driver.request()[1], SendAttempt)[0]
        slow = send.endpoint_id == "s0"
        driver.end_attempt(send, Outcome.OK, 100 * MS, load_report=(200.0 if slow else 50.0, 1.0))
        driver.advance(100 * MS)
    driver.request()
    assert driver.balancer.endpoints.by_id["s0"].reported_service_ms == 200.0
    assert (
        driver.balancer.endpoints.by_id["s0"].service_time_us
        > driver.balancer.endpoints.by_id["s1"].service_time_us
    )


def test_attempts_of_disconnected_clients_do_not_pile_up_as_load() -> None:
    # rate: clients left 200 times a second, each left a weight that faded over a second, and idle endpoints
    # were taken for full.
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
    assert all(s.own_in_flight(driver.now) < 5.0 for s in driver.balancer.endpoints.by_id.values())


def test_attempts_of_disconnected_clients_do_not_make_an_endpoint_look_crowded() -> None:
    # Where one client in eight left early, what they left was counted as held for ten answers' time, and idle
    # endpoints were taken for crowded: a fifth was rejected while answers took 12 of 190 ms.
    driver = BalancerDriver(endpoint_count=1, instance_count=2)
    driver.serve(40, 10 * MS)
    for _ in range(6):
        number, actions = driver.request()
        for send in of_type(actions, SendAttempt):
            driver.event(ClientDisconnected(number))
            driver.end_attempt(send, Outcome.CANCELLED, 10 * MS)
        driver.advance(30 * MS)  # three answers' time: that work is done
    assert [len(of_type(driver.request()[1], SendAttempt)) for _ in range(3)] == [1, 1, 1]
