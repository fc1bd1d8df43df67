"""Gossip: what other balancers are told, and what is believed."""

from __future__ import annotations

from nickelmount.balancer.actions import SendAttempt, SendGossip
from nickelmount.balancer.events import GossipReceived, Outcome
from nickelmount.balancer.gossip import MESSAGE

from .balancer_driver import MS, SECOND, BalancerDriver, of_type


def test_other_balancers_are_told_what_a_busy_endpoint_holds() -> None:
    # bajio big days: a balancer heard from each endpoint twice a minute and filled the slow ones.
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
    told = of_type(
        driver.end_attempt(
            of_type(driver.actions, SendAttempt)[0], Outcome.OK, 10 * MS, load_report=(9.0,), attempt=0
        ),
        SendGossip,
    )
    assert not told  # all were idle as far as it knew
    driver.request()
    told = of_type(
        driver.end_attempt(
            of_type(driver.actions, SendAttempt)[1], Outcome.OK, 10 * MS, load_report=(9.0,), attempt=0
        ),
        SendGossip,
    )
    assert told
    assert {t.receiver for t in told} <= {0, 1, 3, 4}
    other = BalancerDriver(
        endpoint_count=4, seed=3, load_report_fields=("inflight",), can_gossip=True, instance_count=5
    )
    for junk in (b"", b"\xff" * len(told[0].payload), told[0].payload + b"\0"):
        other.event(GossipReceived(2, junk))
    assert not any(s.load_updated_at_us for s in other.balancer.endpoints.by_id.values())
    other.event(GossipReceived(2, told[0].payload))
    assert [s.other_in_flight for s in other.balancer.endpoints.by_id.values() if s.load_updated_at_us] == [
        8.0
    ]


def test_gossip_counts_for_listed_endpoints_only() -> None:
    driver = BalancerDriver(
        endpoint_count=4, load_report_fields=("inflight",), can_gossip=True, instance_count=5
    )
    for _ in range(6):
        driver.end_attempt(of_type(driver.request()[1], SendAttempt)[0], Outcome.OK, load_report=(9.0,))
    note = of_type(driver.actions, SendGossip)[0].payload
    empty = BalancerDriver(
        endpoint_count=0, load_report_fields=("inflight",), can_gossip=True, instance_count=5
    )
    empty.request()
    assert not of_type(empty.event(GossipReceived(0, note)) + empty.advance(100 * MS), SendAttempt)


def test_an_endpoint_without_gossip_is_sampled_rarely() -> None:
    # bajio big-2: each of 351 balancers found ten hung endpoints by losing a request to each.
    driver = BalancerDriver(
        endpoint_count=12, load_report_fields=("inflight",), can_gossip=True, instance_count=300
    )
    tags = {s.id: tag for tag, s in driver.balancer.endpoints.by_gossip_tag.items()}
    for _ in range(20):
        for b in driver.initial_endpoints[1:]:
            driver.event(GossipReceived(1, MESSAGE.pack(tags[b.id], 1, 0)))
        driver.advance(SECOND)
    sent = [s.endpoint_id for _ in range(600) for s in of_type(driver.request()[1], SendAttempt)]
    assert 1 <= sent.count("s0") <= 25
    assert len(sent) == 600
    driver.event(GossipReceived(1, MESSAGE.pack(tags["s0"], 1, 0)))
    sent = [s.endpoint_id for _ in range(600) for s in of_type(driver.request()[1], SendAttempt)]
    assert sent.count("s0") >= 30
