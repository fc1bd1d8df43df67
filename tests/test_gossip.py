"""Tests of gossip: which load reports are sent to other balancers, and which messages are applied."""

from __future__ import annotations

from nickelmount.balancer.actions import SendAttempt, SendGossip
from nickelmount.balancer.events import GossipReceived, Outcome
from nickelmount.balancer.gossip import MESSAGE

from .balancer_driver import MS, SECOND, BalancerDriver, of_type


def test_the_load_of_a_busy_endpoint_is_sent_to_other_balancers() -> None:
    # In a large fleet a balancer gets a report from each endpoint only twice a minute. Without gossip, it
    # would overload the slow endpoints.
    driver = BalancerDriver(
        endpoint_count=4,
        load_report_fields=("inflight",),
        can_gossip=True,
        instance_count=5,
        instance_index=2,
    )
    for _ in range(2):
        assert of_type(driver.request()[1], SendAttempt)
        driver.advance(MS)
    messages = of_type(
        driver.end_attempt(
            of_type(driver.actions, SendAttempt)[0], Outcome.OK, 10 * MS, load_report=(9.0,), attempt=0
        ),
        SendGossip,
    )
    assert not messages  # By its load table, all endpoints were idle.
    driver.request()
    messages = of_type(
        driver.end_attempt(
            of_type(driver.actions, SendAttempt)[1], Outcome.OK, 10 * MS, load_report=(9.0,), attempt=0
        ),
        SendGossip,
    )
    assert messages
    assert {m.receiver for m in messages} <= {0, 1, 3, 4}
    other = BalancerDriver(
        endpoint_count=4, seed=3, load_report_fields=("inflight",), can_gossip=True, instance_count=5
    )
    for invalid in (b"", b"\xff" * len(messages[0].payload), messages[0].payload + b"\0"):
        other.event(GossipReceived(2, invalid))
    assert not any(e.load_updated_at_us for e in other.balancer.endpoints.by_id.values())
    other.event(GossipReceived(2, messages[0].payload))
    assert [e.other_in_flight for e in other.balancer.endpoints.by_id.values() if e.load_updated_at_us] == [
        8.0
    ]


def test_gossip_is_applied_to_listed_endpoints_only() -> None:
    driver = BalancerDriver(
        endpoint_count=4, load_report_fields=("inflight",), can_gossip=True, instance_count=5
    )
    for _ in range(6):
        driver.end_attempt(of_type(driver.request()[1], SendAttempt)[0], Outcome.OK, load_report=(9.0,))
    payload = of_type(driver.actions, SendGossip)[0].payload
    empty = BalancerDriver(
        endpoint_count=0, load_report_fields=("inflight",), can_gossip=True, instance_count=5
    )
    empty.request()
    assert not of_type(empty.event(GossipReceived(0, payload)) + empty.advance(100 * MS), SendAttempt)


def test_an_endpoint_without_gossip_is_sampled_rarely() -> None:
    # If endpoints without gossip were sampled as usual, each of 351 balancers would find ten unresponsive
    # endpoints only by losing a request to each.
    driver = BalancerDriver(
        endpoint_count=12, load_report_fields=("inflight",), can_gossip=True, instance_count=300
    )
    tags = {e.id: tag for tag, e in driver.balancer.endpoints.by_gossip_tag.items()}
    for _ in range(20):
        for endpoint in driver.initial_endpoints[1:]:
            driver.event(GossipReceived(1, MESSAGE.pack(tags[endpoint.id], 1, 0)))
        driver.advance(SECOND)
    sent = [s.endpoint_id for _ in range(600) for s in of_type(driver.request()[1], SendAttempt)]
    assert 1 <= sent.count("s0") <= 25
    assert len(sent) == 600
    driver.event(GossipReceived(1, MESSAGE.pack(tags["s0"], 1, 0)))
    sent = [s.endpoint_id for _ in range(600) for s in of_type(driver.request()[1], SendAttempt)]
    assert sent.count("s0") >= 30
