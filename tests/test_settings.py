"""Settings validate themselves; a balancer with no or one server stays sane."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from nickelmount.agent.clock import Clock
from nickelmount.agent.discovery_client import CALL_TIMEOUT_S
from nickelmount.balancer.actions import FailRequest, RejectRequest, SendAttempt, WatchEndpoints
from nickelmount.balancer.events import (
    ClientDisconnected,
    Endpoint,
    EndpointsChanged,
    ListUpdateKind,
    Outcome,
    RequestArrived,
    TimerFired,
)
from nickelmount.balancer.settings import DedupScope, DiscoveryMode, Prices, Settings
from nickelmount.protocol.settings import settings_from
from tests.balancer_driver import MS, SAFE, SECOND, UNSAFE, Drive, only
from tests.loopback import config_doc, load_config
from tests.loopback import settings as wire_settings


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("instance_count", 0),
        ("max_attempts", 0),
        ("warm_up_start_capacity", 0.0),
        ("warm_up_start_capacity", 1.5),
        ("warm_up_us", -1),
        ("overload_multiple", 0.0),
        ("overload_multiple", float("inf")),
        ("instance_index", 1),
        ("overload_window_us", 0),
        ("tick_us", -1),
        ("notified_after_us", 0),
        ("list_call_timeout_us", -1),
        ("list_call_timeout_us", 5_000_000),
    ],
)
def test_out_of_range_names_the_field(name: str, value: float) -> None:
    values: dict[str, Any] = {name: value}
    with pytest.raises(ValueError, match=name):
        Settings(classes=(SAFE,), **values)


@pytest.mark.parametrize("cls", [SAFE, UNSAFE])
def test_no_server_holds_then_refuses_before_the_aim(cls: Any) -> None:
    d = Drive(cls, servers=0)
    request, actions = d.request()
    assert not only(actions, SendAttempt)
    assert not only(actions, RejectRequest)
    later = d.wait(500 * MS)
    assert [a.request_id for a in only(later, RejectRequest)] == [request]
    assert not only(later, FailRequest)


def test_a_held_request_goes_to_the_first_server_named() -> None:
    d = Drive(servers=0)
    d.request()
    d.list(Endpoint("late"))
    assert [s.endpoint_id for s in only(d.wait(100 * MS), SendAttempt)] == ["late"]


def test_the_only_server_is_used_though_it_fails() -> None:
    d = Drive(servers=1)
    for _ in range(6):
        _, actions = d.request()
        for s in only(actions, SendAttempt):
            d.end(s, Outcome.RESET)
        d.wait(100 * MS)
    assert len(only(d.log, SendAttempt)) >= 4


def test_a_failed_list_call_is_repeated_soon_and_only_then() -> None:
    d = Drive(discovery_mode=DiscoveryMode.POLL)
    assert len(only(d.log, WatchEndpoints)) == 1
    d.wait(10 * SECOND)
    assert len(only(d.log, WatchEndpoints)) == 1
    d.event(EndpointsChanged(ListUpdateKind.FAILED, []))
    assert len(only(d.wait(SECOND), WatchEndpoints)) == 1


def test_prices_out_of_range_name_the_field() -> None:
    for price in (-1.0, float("nan"), float("inf")):
        with pytest.raises(ValueError, match="probe"):
            Prices(probe=price)


@pytest.mark.parametrize(
    ("event", "named"),
    [
        (RequestArrived(9, 1, SECOND), "request_class"),
        (RequestArrived(9, -1, SECOND), "request_class"),
        (RequestArrived(9, 0, SECOND, tenant=1), "tenant"),
        (RequestArrived(1, 0, SECOND), "request"),
    ],
)
def test_a_request_that_makes_no_sense_is_named(event: RequestArrived, named: str) -> None:
    d = Drive()
    d.request()
    with pytest.raises(ValueError, match=named):
        d.event(event)


def test_what_is_no_event_is_named() -> None:
    with pytest.raises(TypeError, match="str is no event"):
        Drive().event("gone")  # type: ignore[arg-type]


def test_what_is_no_longer_held_is_passed_over() -> None:
    d = Drive()
    send = only(d.request()[1], SendAttempt)[0]
    d.end(send, Outcome.OK)
    assert not d.end(send, Outcome.OK)
    assert not d.event(ClientDisconnected(send.request_id))
    assert not d.event(TimerFired(5))


def test_optional_keys_may_be_missing_or_null() -> None:
    full = wire_settings()
    for key in ("prices", "report", "tenants", "localities", "skus"):
        for facts in ({k: v for k, v in full.items() if k != key}, full | {key: None}):
            settings_from(facts)
    for key in ("dedupScope", "memorySpanUs", "lateWorth", "aimStretch"):
        changes: tuple[dict[str, Any], ...] = ({}, {key: None})
        for change in changes:
            first = {k: v for k, v in full["profiles"][0].items() if k != key} | change
            cls = settings_from(full | {"profiles": [first]}).classes[0]
            assert cls.dedup_scope is DedupScope.ALL
            assert cls.late_weight == 0.0


def test_a_configuration_without_a_list_starts_with_none(tmp_path: Path) -> None:
    doc = config_doc(9, [])
    del doc["known"]
    config = load_config(tmp_path, doc, Clock())
    assert config.known_list.revision == 0
    assert config.known_list.complete
    assert not config.known_list.entries


@pytest.mark.parametrize(
    ("within_us", "told_us"), [(0, 6 * SECOND), (9 * SECOND, 6 * SECOND), (SECOND, SECOND)]
)
def test_the_calls_that_must_fit_in_before_a_list_counts_as_told(
    tmp_path: Path, within_us: int, told_us: int
) -> None:
    doc = config_doc(9, [])
    doc["settings"]["rules"]["askWithinUs"] = within_us
    settings = load_config(tmp_path, doc, Clock()).settings
    assert settings.notified_after_us == told_us
    assert settings.list_call_timeout_us == min(int(CALL_TIMEOUT_S * SECOND), told_us // 3)
