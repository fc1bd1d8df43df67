"""Tests of settings: values out of range are rejected, and optional keys may be missing."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from nickelmount.agent.clock import Clock
from nickelmount.agent.discovery_client import CALL_TIMEOUT_S
from nickelmount.balancer.settings import DedupScope, Prices, Settings
from nickelmount.protocol.settings import settings_from
from tests.loopback import config_doc, load_config
from tests.loopback import settings as wire_settings

from .balancer_driver import IDEMPOTENT, SECOND


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
def test_the_error_for_a_value_out_of_range_names_the_field(name: str, value: float) -> None:
    values: dict[str, Any] = {name: value}
    with pytest.raises(ValueError, match=name):
        Settings(classes=(IDEMPOTENT,), **values)


def test_the_error_for_a_price_out_of_range_names_the_field() -> None:
    for price in (-1.0, float("nan"), float("inf")):
        with pytest.raises(ValueError, match="probe"):
            Prices(probe=price)


def test_optional_keys_may_be_missing_or_null() -> None:
    full = wire_settings()
    for key in ("prices", "report", "tenants", "localities", "skus"):
        for document in ({k: v for k, v in full.items() if k != key}, full | {key: None}):
            settings_from(document)
    for key in ("dedupScope", "memorySpanUs", "lateWorth", "aimStretch"):
        changes: tuple[dict[str, Any], ...] = ({}, {key: None})
        for change in changes:
            profile = {k: v for k, v in full["profiles"][0].items() if k != key} | change
            request_class = settings_from(full | {"profiles": [profile]}).classes[0]
            assert request_class.dedup_scope is DedupScope.ALL
            assert request_class.late_weight == 0.0


def test_a_configuration_without_a_list_starts_with_an_empty_one(tmp_path: Path) -> None:
    doc = config_doc(9, [])
    del doc["known"]
    config = load_config(tmp_path, doc, Clock())
    assert config.cached_list.revision == 0
    assert config.cached_list.is_complete
    assert not config.cached_list.entries


@pytest.mark.parametrize(
    ("configured_us", "notified_after_us"), [(0, 6 * SECOND), (9 * SECOND, 6 * SECOND), (SECOND, SECOND)]
)
def test_the_timeout_of_list_calls_fits_into_the_time_until_changes_count_as_notified(
    tmp_path: Path, configured_us: int, notified_after_us: int
) -> None:
    doc = config_doc(9, [])
    doc["settings"]["rules"]["askWithinUs"] = configured_us
    settings = load_config(tmp_path, doc, Clock()).settings
    assert settings.notified_after_us == notified_after_us
    assert settings.list_call_timeout_us == min(int(CALL_TIMEOUT_S * SECOND), notified_after_us // 3)
