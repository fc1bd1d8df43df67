"""Requests that come again under the same id after their clients have left: none of them runs twice."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from nickelmount.agent import abandoned_requests
from nickelmount.agent.abandoned_requests import MAX_IDS, REMEMBER_S, AbandonedRequests
from nickelmount.agent.request_validation import is_repeatable
from nickelmount.balancer.settings import DedupScope, Idempotency, RequestClass
from nickelmount.protocol.endpoint_list import EndpointList
from tests.async_test import async_test
from tests.event_order import wait_for_accepted
from tests.loopback import (
    NOT_IDEMPOTENT,
    LoopbackSetup,
    StreamConnection,
    complete_list,
    loopback_setup,
    post,
)


async def leave(setup: LoopbackSetup, client: StreamConnection) -> None:
    """Close a client's connection, and wait until the agent has dropped it."""
    client.close()
    while setup.listener.connections:
        await asyncio.sleep(0)


@async_test()
async def test_a_request_that_may_have_run_is_not_sent_again_after_its_client_has_left(
    tmp_path: Path,
) -> None:
    # An order ran twice: its client left, and sent it again under the same id on a new connection.
    async with loopback_setup(tmp_path) as setup:
        client = await setup.send_request(post(NOT_IDEMPOTENT))
        first = await setup.next_request()
        await leave(setup, client)
        await first.connection.wait_for_close()
        for _ in range(2):
            client = await setup.send_request(post(NOT_IDEMPOTENT))
            assert (await client.read()).status == 409
        assert setup.nothing_sent()
        assert setup.agent.pending_count == 0
        # The connection and other ids can be used.
        await client.write(post(NOT_IDEMPOTENT, Request_Id="9b20"))
        await (await setup.next_request()).answer()
        assert (await client.read()).status == 200


@async_test()
async def test_a_request_that_was_never_sent_may_come_again_after_its_client_has_left(tmp_path: Path) -> None:
    async with loopback_setup(tmp_path) as setup:
        setup.agent.on_endpoint_list(EndpointList(42, True, ()))
        client = await setup.send_request(post(NOT_IDEMPOTENT))
        await wait_for_accepted(setup, 1)
        await leave(setup, client)
        setup.agent.on_endpoint_list(complete_list(*setup.endpoints))
        client = await setup.send_request(post(NOT_IDEMPOTENT))
        await (await setup.next_request()).answer()
        assert (await client.read()).status == 200


@async_test()
async def test_a_request_that_no_endpoint_has_begun_may_come_again(tmp_path: Path) -> None:
    async with loopback_setup(tmp_path) as setup:
        client = await setup.send_request(post(NOT_IDEMPOTENT))
        first = await setup.next_request()
        setup.agent.on_endpoint_list(EndpointList(42, True, ()))
        await first.answer(503, b"", Not_Started="1")
        while setup.agent.exchanges_in_flight:
            await asyncio.sleep(0)
        await leave(setup, client)
        setup.agent.on_endpoint_list(complete_list(*setup.endpoints))
        client = await setup.send_request(post(NOT_IDEMPOTENT))
        await (await setup.next_request()).answer()
        assert (await client.read()).status == 200


@pytest.mark.parametrize(
    ("idempotency", "scope", "repeatable"),
    [
        (Idempotency.ALWAYS, DedupScope.ZONE, True),
        (Idempotency.NEVER, DedupScope.ALL, False),
        (Idempotency.WITH_KEY, DedupScope.ALL, True),
        (Idempotency.WITH_KEY, DedupScope.ZONE, False),
        (Idempotency.WITH_KEY, DedupScope.CELL, False),
    ],
)
def test_a_request_is_repeatable_if_any_endpoint_may_get_it_again(
    idempotency: Idempotency, scope: DedupScope, repeatable: bool
) -> None:
    request_class = RequestClass(
        "a", 1_000, 1_000, idempotency=idempotency, dedup_scope=scope, dedup_window_us=1_000
    )
    assert is_repeatable(request_class) is repeatable


def test_ids_are_forgotten_after_their_time_and_above_their_number(monkeypatch: pytest.MonkeyPatch) -> None:
    # Memory grew without end if clients left under ever new ids.
    now = [1000.0]
    abandoned = AbandonedRequests(lambda: now[0])
    assert b"a" not in abandoned
    abandoned.add(b"a")
    now[0] += REMEMBER_S - 1
    abandoned.add(b"b")
    assert b"a" in abandoned
    now[0] += 2
    assert b"a" not in abandoned
    assert b"b" in abandoned
    monkeypatch.setattr(abandoned_requests, "MAX_IDS", 100)
    assert MAX_IDS > 100
    for number in range(300):
        abandoned.add(b"%d" % number)
    assert len(abandoned) == 100
    assert b"199" not in abandoned
    assert b"200" in abandoned
    now[0] += REMEMBER_S + 1
    abandoned.add(b"c")
    assert len(abandoned) == 1
