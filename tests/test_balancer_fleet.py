"""What a balancer must do when it is one of many: its own requests are few, and the rest are as blind."""

from __future__ import annotations

import asyncio
from bisect import bisect_left
from math import sqrt
from pathlib import Path
from random import Random

import pytest

from nickelmount.agent.assembly import assemble
from nickelmount.agent.clock import Clock
from nickelmount.agent.discovery_client import CALL_TIMEOUT_S, LONG_POLL_GRACE_S
from nickelmount.balancer.actions import SendAttempt, WatchEndpoints
from nickelmount.balancer.events import Endpoint, ListUpdateKind, Outcome, RequestArrived, TimerFired
from nickelmount.balancer.settings import DiscoveryMode, Idempotency, RequestClass

from .balancer_driver import MS, SECOND, UNSAFE, Drive, only
from .loopback import Peer, config_doc, load_config, member

INFLIGHT = ("inflight",)


def served(d: Drive, count: int, held: float = 1.0) -> None:
    """So many requests answered at once, each answer reporting what the server holds."""
    for _ in range(count):
        for s in only(d.request()[1], SendAttempt):
            d.end(s, Outcome.OK, int(20 * MS * max(1.0, held)), load_report=(held,))
        d.wait(5 * MS)


def send_to(d: Drive, backend: str) -> SendAttempt:
    """Requests until one goes to this server; it is left without an answer."""
    while True:
        send = only(d.request()[1], SendAttempt)[0]
        if send.endpoint_id == backend:
            return send
        d.end(send, Outcome.OK, 20 * MS, load_report=(1.0,))


def sends(d: Drive, count: int) -> list[object]:
    out: list[object] = []
    for _ in range(count):
        for s in only(d.request()[1], SendAttempt):
            out.append(s.endpoint_id)
            d.end(s, Outcome.OK, 20 * MS, load_report=(1.0,))
    return out


def test_a_time_out_tells_how_much_a_server_holds() -> None:
    # A choked server answers nothing and so reports nothing: its last word, from before, made it look light.
    d = Drive(UNSAFE, servers=2, load_report_fields=INFLIGHT, instance_count=3)
    served(d, 40)
    lost = send_to(d, "s0")
    served(d, 20)
    d.wait(SECOND)
    d.end(lost, Outcome.TIMEOUT, SECOND, attempt=0)
    assert sends(d, 40) == ["s1"] * 40


def test_an_attempt_out_for_long_tells_it_before_its_time_out() -> None:
    d = Drive(UNSAFE, servers=2, load_report_fields=INFLIGHT, instance_count=3)
    served(d, 40)
    send_to(d, "s0")
    served(d, 20)
    d.wait(800 * MS)
    assert sends(d, 40) == ["s1"] * 40


def test_what_silence_told_gives_way_to_the_next_report() -> None:
    d = Drive(UNSAFE, servers=2, load_report_fields=INFLIGHT, instance_count=3)
    served(d, 40)
    late = send_to(d, "s0")
    d.wait(800 * MS)
    d.end(late, Outcome.OK, 800 * MS, attempt=0, load_report=(1.0,))
    assert "s0" in sends(d, 40)


def crowded(d: Drive, count: int) -> None:
    """Answers, each of which reports a server that is far too full."""
    served(d, count, held=30.0)


def test_a_cold_server_gets_what_it_can_do_while_all_others_refuse() -> None:
    # After a release most of a fleet is cold: its part of what was served was next to nothing.
    got = 0
    for seed in range(4):  # all of them: the budget is kept in the sum
        d = Drive(
            UNSAFE,
            servers=20,
            load_report_fields=INFLIGHT,
            instance_count=4,
            warm_up_start_capacity=0.2,
            warm_up_us=100 * SECOND,
            seed=seed,
        )
        served(d, 200, held=0.0)
        crowded(d, 200)
        d.list(Endpoint("new", started_at_us=d.now))
        for _ in range(1000):
            for s in only(d.request()[1], SendAttempt):
                held = 0.0 if s.endpoint_id == "new" else 30.0
                got += s.endpoint_id == "new"
                d.end(s, Outcome.OK, int(20 * MS * max(1.0, held)), load_report=(held,))
            d.wait(10 * MS)
    # In these ten seconds it can do some 100 at the least; the rule on cold servers bears thrice that.
    assert 50 <= got <= 200


def test_what_was_heard_long_ago_does_not_keep_the_mean_up() -> None:
    # Servers shunned for what they held are not heard of again; new ones enter at the mean of the others.
    d = Drive(UNSAFE, servers=12, load_report_fields=INFLIGHT, instance_count=40)
    served(d, 200, held=1.0)
    crowded(d, 60)
    table = d.balancer.table
    d.wait(20 * SECOND)
    for _ in range(400):  # one in thirteen of them has this balancer's part of the pass to idle servers
        for s in only(d.request()[1], SendAttempt)[:1]:
            if s.endpoint_id in ("s0", "s1"):
                d.end(s, Outcome.OK, 20 * MS, load_report=(1.0,))
    assert table.mean < 6, table.mean


def calls_of_a_fleet(instance_count: int, seconds: int) -> list[float]:
    """When all balancers of a fleet that starts at once call a discovery that never answers."""
    calls: list[float] = []
    for seed in range(instance_count):
        d = Drive(
            UNSAFE,
            servers=2,
            seed=seed,
            instance_count=instance_count,
            instance_index=seed,
            discovery_mode=DiscoveryMode.POLL,
        )
        asked = list(d.log)
        for _ in range(seconds * 100):
            if only(asked, WatchEndpoints):
                calls.append((d.now - SECOND) / SECOND)
                d.list(kind=ListUpdateKind.FAILED)
            asked = d.wait(10 * MS)
    return sorted(calls)


def test_a_fleet_that_starts_at_once_does_not_call_discovery_at_once() -> None:
    # Of forty calls in one instant fifteen were answered; the rest kept discovery busy with calls that had
    # waited too long, and for as long as the day went on none of them was answered.
    calls = calls_of_a_fleet(40, 3)
    first = [sum(1 for t in calls if at <= t < at + 0.5) for at in (0.0, 0.5, 1.0, 1.5, 2.0, 2.5)]
    assert len(calls) >= 38
    assert max(first) <= 16


def test_a_fleet_whose_calls_fail_lets_the_queue_of_discovery_drain() -> None:
    calls = calls_of_a_fleet(40, 30)
    assert 1 <= sum(1 for t in calls if 15 <= t < 30) / 15 <= 8  # a second


def test_in_a_large_fleet_none_calls_so_late_that_the_list_counts_as_told() -> None:
    # Of two hundred the last waited 19 s for its first call; all that drained meanwhile counted as told.
    for seed in range(20):
        d = Drive(
            UNSAFE,
            servers=2,
            seed=seed,
            instance_count=200,
            discovery_mode=DiscoveryMode.POLL,
            notified_after_us=6 * SECOND,
        )
        assert only(d.log + d.wait(3 * SECOND), WatchEndpoints)
        for _ in range(6):
            d.list(kind=ListUpdateKind.FAILED)
            assert only(d.wait(9 * SECOND), WatchEndpoints)


TOLD_US, CALL_US = 6 * SECOND, int(CALL_TIMEOUT_S * SECOND)  # as the agent on sockets sets them


def next_call(d: Drive) -> int:
    """When it calls discovery next."""
    while True:
        timer = min(d.timers)
        d.timers.remove(timer)
        d.now = timer[0]
        if only(d.event(TimerFired(timer[1])), WatchEndpoints):
            return d.now


def calls_that_fail(instance_count: int, takes_us: int, count: int) -> list[list[int]]:
    """When each balancer of a fleet whose watches broke at once calls a discovery that is down.

    Each call fails so long after it began.
    """
    fleet = []
    for seed in range(instance_count):
        d = Drive(
            UNSAFE,
            servers=2,
            seed=seed,
            instance_count=instance_count,
            instance_index=seed,
            discovery_mode=DiscoveryMode.POLL,
            notified_after_us=TOLD_US,
            list_call_timeout_us=CALL_US,
        )
        if not only(d.log, WatchEndpoints):
            next_call(d)
        d.now, calls = 10 * SECOND, list[int]()
        d.list(kind=ListUpdateKind.FAILED)
        for _ in range(count):
            calls.append(next_call(d))
            d.now += takes_us
            d.list(kind=ListUpdateKind.FAILED)
        fleet.append(calls)
    return fleet


@pytest.mark.parametrize("instance_count", [2, 20, 200, 6300])
def test_after_an_outage_the_list_is_heard_of_before_it_counts_as_told(instance_count: int) -> None:
    # Of two hundred each waited up to 9 s after a failed call, when 6 s after the end all counted as told.
    connect_us, few = 250 * MS, instance_count < 1000
    # The outage may end right behind the beginning of any call, which fails all the same.
    for calls in calls_that_fail(instance_count, CALL_US, 12 if few else 4):
        assert max(after - at for at, after in zip(calls, calls[1:], strict=False)) + CALL_US <= TOLD_US
    # A connection that does not come up fails sooner: then one more may, and the next is still in time.
    for calls in calls_that_fail(instance_count, connect_us, 12 if few else 4):
        assert max(after - at for at, after in zip(calls, calls[2:], strict=False)) <= TOLD_US


@pytest.mark.parametrize("instance_count", [200, 6300])
def test_in_an_outage_the_calls_of_a_fleet_spread_over_the_time_there_is(instance_count: int) -> None:
    fleet = calls_that_fail(instance_count, 0, 6)
    waits = [after - at for calls in fleet for at, after in zip(calls, calls[1:], strict=False)]
    spread = max(waits) - min(waits)
    assert spread >= TOLD_US / 5
    at = sorted(t for calls in fleet for t in calls)
    most = max(bisect_left(at, t + 100 * MS) - i for i, t in enumerate(at))
    even = instance_count * 100 * MS / spread
    assert most <= 2 * even + 2 * sqrt(even), (most, even)  # with what is chance


def test_a_list_that_is_at_hand_is_asked_for_at_once_however_large_the_fleet() -> None:
    d = Drive(
        UNSAFE, servers=2, instance_count=200, discovery_mode=DiscoveryMode.POLL, discovery_is_local=True
    )
    assert only(d.log, WatchEndpoints)
    for _ in range(6):
        d.list(kind=ListUpdateKind.FAILED)
        assert only(d.wait(3 * SECOND), WatchEndpoints)


def test_a_list_that_is_at_hand_is_asked_for_again_well_within_the_grace_for_drains() -> None:
    # What waits there counts as told: after some failures the next call came up to 3 s later.
    for grace_us in (500 * MS, 400 * MS, 80 * MS):
        for seed in range(20):
            d = Drive(
                UNSAFE,
                servers=2,
                seed=seed,
                instance_count=200,
                discovery_mode=DiscoveryMode.POLL,
                discovery_is_local=True,
                drain_grace_us=grace_us,
            )
            for _ in range(8):
                d.list(kind=ListUpdateKind.FAILED)
                assert only(d.wait(grace_us // 2), WatchEndpoints)


def test_a_few_balancers_call_discovery_at_once() -> None:
    d = Drive(UNSAFE, servers=2, instance_count=4, discovery_mode=DiscoveryMode.POLL)
    assert only(d.log, WatchEndpoints)


def drawn(d: Drive, count: int, each_us: int) -> set[object]:
    """The servers that so many requests in a steady stream go to, each answered at once."""
    seen: set[object] = set()
    for _ in range(count):
        for s in only(d.request()[1], SendAttempt):
            seen.add(s.endpoint_id)
            d.end(s, Outcome.OK, 20 * MS, load_report=(1.0,))
        d.wait(each_us)
    return seen


def test_a_balancer_with_few_requests_keeps_to_servers_that_it_sees_often() -> None:
    # With ten requests a second and 120 servers, what it learned of one had aged and its connection there
    # had closed long before the next visit.
    assert len(drawn(Drive(UNSAFE, servers=120, instance_count=200), 200, 100 * MS)) <= 30


def test_a_balancer_with_many_requests_uses_all_servers() -> None:
    assert len(drawn(Drive(UNSAFE, servers=120, instance_count=200), 2000, 5 * MS)) == 120


def test_all_balancers_together_use_all_servers_alike() -> None:
    uses: dict[object, int] = {}
    for seed in range(200):
        for b in drawn(Drive(UNSAFE, servers=60, instance_count=200, seed=seed), 30, 100 * MS):
            uses[b] = uses.get(b, 0) + 1
    assert len(uses) == 60
    assert max(uses.values()) < 2 * min(uses.values())


def test_the_list_of_a_small_fleet_is_used_whole() -> None:
    assert len(drawn(Drive(UNSAFE, servers=17, instance_count=4), 400, 500 * MS)) == 17


def test_servers_that_are_out_give_their_places_to_others() -> None:
    d = Drive(UNSAFE, servers=120, instance_count=200)
    lost = drawn(d, 200, 100 * MS)
    seen: set[object] = set()
    for _ in range(400):
        sent = only(d.request()[1], SendAttempt)
        while sent:
            s = sent.pop()
            seen.add(s.endpoint_id)
            how = Outcome.CONNECT_FAILED if s.endpoint_id in lost else Outcome.OK
            sent += only(d.end(s, how, 20 * MS), SendAttempt)
        d.wait(100 * MS)
    assert len(seen - lost) >= 15


TILE = RequestClass("tile", 500 * MS, 2 * SECOND, Idempotency.NEVER, priority_weight=3.0)
ORDER = RequestClass("order", 500 * MS, 2 * SECOND, Idempotency.NEVER, priority_weight=10.0)


def held_at_once(d: Drive, request_class: int, count: int) -> int:
    """How many of so many requests, none of which is answered, are sent to a server."""
    sent = 0
    for _ in range(count):
        d.requests += 1
        sent += len(only(d.event(RequestArrived(d.requests, request_class, SECOND)), SendAttempt))
        d.wait(30 * MS)
    return sent


def test_a_balancer_that_knows_nothing_has_out_no_more_than_its_part() -> None:
    # Of forty that restart each finds all servers empty: what they sent at once choked most of the fleet.
    d = Drive(TILE, servers=60, instance_count=40, others=(ORDER,))
    assert 4 <= held_at_once(d, 0, 30) <= 12
    alone = Drive(TILE, servers=60, instance_count=1, others=(ORDER,))
    assert held_at_once(alone, 0, 30) == 30


def test_the_class_that_is_worth_most_is_sent_when_the_part_of_the_others_is_used_up() -> None:
    d = Drive(TILE, servers=60, instance_count=40, others=(ORDER,))
    held_at_once(d, 0, 30)
    assert held_at_once(d, 0, 5) == 0
    assert held_at_once(d, 1, 2) == 2


def test_an_answer_makes_room_for_the_next_request() -> None:
    d = Drive(TILE, servers=60, instance_count=40, others=(ORDER,))
    held_at_once(d, 0, 30)
    first = only(d.log, SendAttempt)[0]
    assert held_at_once(d, 0, 3) == 0
    d.end(first, Outcome.OK, 900 * MS)
    assert held_at_once(d, 0, 10) == 1  # after so slow an answer, one that has the pass to idle servers


def test_where_the_list_is_pushed_a_large_fleet_watches_it_from_the_start(tmp_path: Path) -> None:
    # Pushed, it waits with an agent on this machine: nobody stands in its queue.
    async def run() -> None:
        peer = await Peer().start()
        doc = config_doc(peer.port, [member("s", 9)])
        doc["settings"] |= {"siblings": 200, "registryMode": "push"}
        clock = Clock()
        config = load_config(tmp_path, doc, clock)
        agent, _ = assemble(config, clock)
        agent.start(config.known_list)
        async with asyncio.timeout(3):
            first = (await peer.requests.get()).first
        # One that falls silent is to be found so and opened anew before 6 s are over.
        wait_s = int(first.partition("&wait=")[2].split()[0]) / 1000
        assert first.startswith("GET /catalog/members?index=41&")
        assert 0 < wait_s + LONG_POLL_GRACE_S < 5
        await peer.stop()

    asyncio.run(run())


def tried_while_crowded(d: Drive, count: int) -> int:
    """How many of so many requests are sent, each to a server that then reports thirty in hand."""
    sent = 0
    for _ in range(count):
        for s in only(d.request()[1], SendAttempt):
            sent += 1
            d.end(s, Outcome.OK, 600 * MS, load_report=(30.0,))
        d.wait(5 * MS)
    return sent


def test_a_crowded_server_is_not_tried_by_each_of_many_balancers() -> None:
    # Two hundred that each held none there kept choked servers slow to the end of the day.
    d = Drive(UNSAFE, servers=17, load_report_fields=INFLIGHT, instance_count=200)
    tried_while_crowded(d, 200)
    assert tried_while_crowded(d, 200) <= 40
    few = Drive(UNSAFE, servers=17, load_report_fields=INFLIGHT, instance_count=2)
    tried_while_crowded(few, 200)
    assert tried_while_crowded(few, 200) == 200


def test_cold_servers_get_their_part_from_the_few_balancers_that_draw_them() -> None:
    # Each server is drawn by a tenth of the balancers: counted as drawn by all it got less than its part.
    cold, got = {f"s{i}" for i in range(85)}, 0
    for seed in range(6):
        d = Drive(
            UNSAFE,
            servers=170,
            load_report_fields=INFLIGHT,
            instance_count=200,
            warm_up_start_capacity=0.2,
            warm_up_us=100 * SECOND,
            seed=seed,
        )
        crowded(d, 200)
        d.wait(10 * SECOND)
        d.list(*[Endpoint(f"s{i}", started_at_us=d.now) for i in range(85)])
        for _ in range(300):
            for s in only(d.request()[1], SendAttempt):
                held = 0.0 if s.endpoint_id in cold else 30.0
                got += s.endpoint_id in cold
                d.end(s, Outcome.OK, int(20 * MS * max(1.0, held)), load_report=(held,))
            d.wait(100 * MS)
    assert got >= 185


def test_a_few_choked_servers_do_not_make_the_others_look_fast() -> None:
    # They report a hundred times the service time of the rest, and the mean was theirs.
    d = Drive(UNSAFE, servers=17, load_report_fields=("inflight", "latency_ms"))
    for _ in range(51):
        for s in only(d.request()[1], SendAttempt):
            choked = s.endpoint_id in ("s0", "s1", "s2")
            d.end(s, Outcome.OK, 50 * MS, load_report=(1.0, 5000.0 if choked else 50.0))
        d.wait(20 * MS)
    table, servers = d.balancer.table, d.balancer.servers
    assert servers["s0"].service > 1000
    assert servers["s9"].samples
    assert servers["s9"].pace > table.pace / 2


def test_a_small_part_is_held_to_while_servers_are_crowded() -> None:
    # A floor of four each let two hundred balancers have out eight hundred at a hundred servers.
    held = {}
    for told in (1.0, 4.5):
        d = Drive(TILE, servers=120, load_report_fields=INFLIGHT, instance_count=200, others=(ORDER,))
        served(d, 300, told)
        d.wait(8 * SECOND)
        held[told] = held_at_once(d, 0, 8)
    assert held[1.0] >= 4
    assert held[4.5] <= 3


def test_the_part_falls_with_the_capacity_that_is_lost() -> None:
    # Its traffic stays when servers go: in one second, six in ten of them, and the rest were choked by it.
    held = {}
    for left in (120, 48):
        d = Drive(
            TILE,
            servers=120,
            load_report_fields=INFLIGHT,
            instance_count=200,
            others=(ORDER,),
            warm_up_us=20 * SECOND,
        )
        for _ in range(200):
            for s in only(d.request()[1], SendAttempt):
                d.end(s, Outcome.OK, 20 * MS, load_report=(4.5,))
            d.wait(12 * MS)
        d.list(*d.backends[:left], kind=ListUpdateKind.FULL)
        held[left] = held_at_once(d, 0, 60)
    assert 0 < held[48] <= 0.6 * held[120]


def test_cold_servers_are_offered_what_the_rule_on_them_surely_bears() -> None:
    # Half of what a server could do at the least left seventy cold ones idle while the warm ones choked.
    multiple, window_us, at = 3.0, 2 * SECOND, list[int]()
    for seed in range(4):  # all of them: the budget is kept in the sum
        d = Drive(
            UNSAFE,
            servers=20,
            load_report_fields=INFLIGHT,
            instance_count=4,
            warm_up_start_capacity=0.2,
            warm_up_us=100 * SECOND,
            overload_multiple=multiple,
            overload_window_us=window_us,
            seed=seed,
        )
        served(d, 200, held=0.0)
        crowded(d, 200)
        d.list(Endpoint("new", started_at_us=d.now))
        for _ in range(1000):
            for s in only(d.request()[1], SendAttempt):
                held = 0.0 if s.endpoint_id == "new" else 30.0
                at += [d.now] * (s.endpoint_id == "new")
                d.end(s, Outcome.OK, int(20 * MS * max(1.0, held)), load_report=(held,))
            d.wait(10 * MS)
    at.sort()
    # Fifty a second warm, and a fifth of that at first.
    assert len(at) >= 100
    most = max(sum(t <= u < t + window_us for u in at) for t in at)
    assert most <= multiple * 0.2 * 50 * window_us / SECOND


def overloaded(classes: tuple[RequestClass, ...], took_us: int) -> dict[str, int]:
    """What is sent of each class in twelve seconds, when a quarter of the servers are left.

    Those that are worth most come three times as often as each of the others, and have enough for all places.
    """
    d = Drive(
        classes[0],
        servers=60,
        load_report_fields=INFLIGHT,
        instance_count=40,
        others=classes[1:],
        warm_up_us=1000 * SECOND,
    )
    rng, most = Random(1), max(c.priority_weight for c in classes)
    out: list[tuple[int, SendAttempt]] = []
    sent = dict.fromkeys((c.name for c in classes), 0)
    for step in range(600):
        if step == 100:
            d.list(*d.backends[:15], kind=ListUpdateKind.FULL)
        came = [i for i, c in enumerate(classes) for _ in range(3 if c.priority_weight == most else 1)]
        rng.shuffle(came)
        for index in came:
            d.requests += 1
            got = only(d.event(RequestArrived(d.requests, index, SECOND)), SendAttempt)
            out += [(d.now, s) for s in got]
            sent[classes[index].name] += len(got) if step >= 200 else 0
        d.wait(30 * MS)
        while out and out[0][0] <= d.now - took_us:
            d.end(out.pop(0)[1], Outcome.OK, took_us, load_report=(1.0,))
    return sent


def test_a_class_worth_more_does_not_take_every_place_that_comes_free() -> None:
    # It kept what is out above the part of the others for as long as its traffic sufficed.
    sent = overloaded((TILE, ORDER), 100 * MS)
    assert sent["tile"] >= 10, sent


def test_so_it_is_whatever_the_classes_are_called_and_however_many() -> None:
    classes = (
        RequestClass("z", 900 * MS, 2 * SECOND, priority_weight=1.0),
        RequestClass("a", 300 * MS, SECOND, priority_weight=5.0),
        RequestClass("m", 500 * MS, SECOND, Idempotency.NEVER),
        RequestClass("k", 500 * MS, SECOND, priority_weight=5.0),
    )
    for first in range(len(classes)):
        sent = overloaded(classes[first:] + classes[:first], 60 * MS)
        assert min(sent.values()) >= 10, sent


def test_the_part_falls_as_servers_hold_more_in_the_mean_than_they_bear() -> None:
    # In a burst all balancers have more traffic at once, and each took the larger part for its own.
    part = {}
    for crowd in (1.0, 12.0):
        d = Drive(TILE, servers=40, load_report_fields=INFLIGHT, instance_count=200, others=(ORDER,))
        for _ in range(300):
            number, actions = d.request()
            if number in d.balancer.requests:  # not refused
                part[crowd] = d.balancer._part(d.balancer.requests[number])
            for s in only(actions, SendAttempt):
                told = crowd if int(str(s.endpoint_id)[1:]) % 3 else 1.0
                d.end(s, Outcome.OK, 20 * MS, load_report=(told,))
            d.wait(12 * MS)
    assert 1.0 < part[12.0] <= 0.8 * part[1.0], part


def test_a_list_of_more_than_a_thousand_is_used_in_every_part_and_forgotten_whole() -> None:
    # In whole, as changes, and with all replaced at once; siblings are as many.
    count, parts = 1500, 15
    used = {kind: set[int]() for kind in ("whole", "changes", "replaced")}
    for seed in range(60):
        d = Drive(
            UNSAFE,
            servers=0,
            load_report_fields=INFLIGHT,
            instance_count=1400,
            instance_index=seed,
            seed=seed,
        )
        d.list(*[Endpoint(f"w{i}") for i in range(count)], kind=ListUpdateKind.FULL)
        for kind in used:
            if kind == "changes":
                d.list(kind=ListUpdateKind.FULL)
                for first in range(0, count, 100):
                    d.list(*[Endpoint(f"c{i}") for i in range(first, first + 100)])
            if kind == "replaced":
                d.list(*[Endpoint(f"r{i}") for i in range(count)], kind=ListUpdateKind.FULL)
            for backend in sends(d, 20):
                assert str(backend)[0] == kind[0]
                used[kind].add(int(str(backend)[1:]) * parts // count)
            assert len(d.balancer.servers) == count
            d.wait(200 * MS)
    assert all(len(where) == parts for where in used.values())
