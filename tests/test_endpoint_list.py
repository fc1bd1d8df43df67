"""The endpoint list: how it is read, and what of it the balancer is told."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from nickelmount.agent.clock import Clock
from nickelmount.agent.connection_pool import ConnectionPool
from nickelmount.agent.discovery_connection import MAX_RESPONSE_BODY_BYTES
from nickelmount.agent.upstream import Upstream
from nickelmount.balancer.events import EndpointStatus
from nickelmount.protocol.endpoint_list import EndpointListParser
from tests.async_test import async_test
from tests.loopback import member

FLEET_SIZE = 6300
CLOCK = Clock()


def fleet(*changed: dict[str, Any], count: int = 200) -> list[dict[str, Any]]:
    """The entries of a fleet, with some of them changed or added."""
    listed = {f"s{i}": member(f"s{i}", 9000 + i % 8) for i in range(count)}
    return list((listed | {entry["id"]: entry for entry in changed}).values())


def complete_list(revision: int, members: list[dict[str, Any]]) -> dict[str, Any]:
    # As it arrives: no object of one document is an object of another.
    text = json.dumps({"revision": revision, "complete": True, "members": members})
    document: dict[str, Any] = json.loads(text)
    return document


def new_parser() -> EndpointListParser:
    return EndpointListParser(CLOCK, ("a", "b"))


def new_upstream() -> Upstream:
    return Upstream(CLOCK, (), ConnectionPool(CLOCK, 250_000, 10_000_000, 9))


def test_the_same_start_is_always_the_same_time() -> None:
    clock = Clock()
    assert clock.from_unix_ms(0) == 0
    assert clock.from_unix_ms(1_700_000_000_123) == clock.from_unix_ms(1_700_000_000_123) != 0
    assert clock.from_unix_ms(1_700_000_001_000) - clock.from_unix_ms(1_700_000_000_000) == 1_000_000


def test_of_a_complete_list_the_balancer_is_told_what_has_changed() -> None:
    upstream, parser = new_upstream(), new_parser()
    assert len(upstream.apply(parser.parse(complete_list(1, fleet())))) == 200
    assert upstream.apply(parser.parse(complete_list(2, fleet()))) == []
    changed = fleet(
        member("s3", 9003, "DRAINING"), member("s4", 9004, up_since_ms=77_000), member("s5", 9999)
    )
    without_s9 = [entry for entry in changed if entry["id"] != "s9"]
    endpoints = upstream.apply(parser.parse(complete_list(3, without_s9)))
    assert [(endpoint.id, endpoint.status) for endpoint in endpoints] == [
        ("s3", EndpointStatus.DRAINING),
        ("s4", EndpointStatus.READY),
        ("s5", EndpointStatus.READY),
        ("s9", EndpointStatus.REMOVED),
    ]
    assert upstream.ready_endpoint("s9") is None
    assert upstream.ready_endpoint("s3") is None
    (returned,) = upstream.apply(parser.parse(complete_list(4, changed)))
    assert returned.id == "s9"
    assert upstream.ready_endpoint("s9") is not None


def test_an_entry_that_reads_as_before_is_the_same_object_and_only_listed_ones_are_cached() -> None:
    parser = new_parser()
    before = parser.parse(complete_list(1, fleet())).entries
    after = parser.parse(complete_list(2, fleet(member("s3", 9003, "DRAINING"), count=150))).entries
    assert [entry for entry in after if entry not in before] == [after[3]]
    assert all(new is old for new, old in zip(after, before, strict=False) if new is not after[3])
    assert parser.cached_entry_count == 150
    parser.parse({"revision": 3, "complete": False, "members": [member("s7", 9007, "DELETED")]})
    assert parser.cached_entry_count == 149


def test_an_entry_that_has_become_unreadable_is_not_taken_from_the_cache() -> None:
    parser = new_parser()
    parser.parse(complete_list(1, fleet()))
    unreadable = {**member("s8", 9000), "size": float("nan")}
    entries = parser.parse(complete_list(2, fleet(unreadable))).entries
    statuses = [entry.endpoint.status for entry in entries if entry.endpoint.id == "s8"]
    assert statuses == [EndpointStatus.REMOVED]


def test_a_list_of_thousands_is_read_completely() -> None:
    members = [member(f"s-{i:08x}", 1 + i % 60000) for i in range(5000)]
    text = json.dumps({"revision": 42, "complete": True, "members": members}).encode()
    assert len(text) < MAX_RESPONSE_BODY_BYTES
    endpoint_list = new_parser().parse(json.loads(text))
    assert len({entry.endpoint.id for entry in endpoint_list.entries}) == 5000


@async_test()
async def test_a_list_of_thousands_is_read_in_many_turns_of_the_event_loop() -> None:
    document, turns = complete_list(1, fleet(count=FLEET_SIZE)), 0

    async def count_turns() -> None:
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    counting = asyncio.create_task(count_turns())
    endpoint_list = await new_parser().parse_in_slices(document)
    counting.cancel()
    assert turns > 90
    assert endpoint_list == new_parser().parse(document)
