"""Settings validate themselves; a balancer with no or one server stays sane."""

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
def test_out_of_range_names_the_field(name: str, value: float) -> None:
    values: dict[str, Any] = {name: value}
    with pytest.raises(ValueError, match=name):
        Settings(classes=(IDEMPOTENT,), **values)


def test_prices_out_of_range_name_the_field() -> None:
    for price in (-1.0, float("nan"), float("inf")):
        with pytest.raises(ValueError, match="probe"):
            Prices(probe=price)


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
    assert config.cached_list.revision == 0
    assert config.cached_list.is_complete
    assert not config.cached_list.entries


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
