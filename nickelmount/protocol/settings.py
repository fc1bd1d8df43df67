"""The translation of a deployment's JSON settings for the agent and the simulator's adapter.

This is the only place that maps the names in that document to the names that the balancer uses.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from nickelmount.balancer.settings import (
    DedupScope,
    DiscoveryMode,
    Idempotency,
    Prices,
    RequestClass,
    Settings,
    Tenant,
)
from nickelmount.errors import SettingsError

IDEMPOTENCY = {
    "retryable": Idempotency.ALWAYS,
    "dedup": Idempotency.WITH_KEY,
    "fragile": Idempotency.NEVER,
}
DEDUP_SCOPES = {"all": DedupScope.ALL, "zone": DedupScope.ZONE, "cell": DedupScope.CELL}
DISCOVERY_MODES = {"push": DiscoveryMode.PUSH, "ask": DiscoveryMode.POLL}

DEFAULT_NOTIFIED_AFTER_US = 10_000_000
DEFAULT_DRAIN_GRACE_US = 500_000


def settings_from(document: Mapping[str, Any]) -> Settings:
    """Translate the settings of a deployment. All times in the document are in microseconds.

    Keys that are unknown, or that no decision uses, are ignored. Raises SettingsError if a required key is
    missing or a value is invalid; the message names the key or the field.
    """
    try:
        return _settings(document)
    except KeyError as e:
        raise SettingsError(f"settings: a required key is missing or a value is unknown: {e}") from None
    except (TypeError, AttributeError, ValueError, OverflowError) as e:
        raise SettingsError(f"settings: {e}") from None


def _settings(document: Mapping[str, Any]) -> Settings:
    allowed, rules = document["allowed"], document["rules"]
    report = document.get("report") or {}
    reports_load = report.get("source") != "off"
    return Settings(
        classes=tuple(_request_class(profile) for profile in document["profiles"]),
        tenants=tuple(_tenant(tenant) for tenant in document.get("tenants") or ()),
        instance_count=int(document["siblings"]),
        instance_index=int(document.get("me", 0)),
        load_report_fields=tuple(report.get("columns") or ()) if reports_load else (),
        discovery_mode=DISCOVERY_MODES[document["registryMode"]],
        notified_after_us=int(rules.get("askWithinUs") or DEFAULT_NOTIFIED_AFTER_US),
        drain_grace_us=int(rules.get("drainGraceUs", DEFAULT_DRAIN_GRACE_US)),
        can_cancel=bool(allowed["cancel"]),
        can_probe=bool(allowed["probes"]),
        can_gossip=bool(allowed.get("peers")),
        can_hedge=bool(allowed["secondCopies"]),
        max_attempts=int(allowed["maxAttempts"]),
        can_send_retry_after=bool(allowed.get("retryAfter")),
        max_retry_after_us=int(allowed.get("maxRetryAfterUs") or 0),
        tick_us=int(document["quantumUs"]),
        answer_slack_us=int(rules.get("graceToAnswerUs") or 0),
        has_capacity_hints=document.get("weightKind", "off") != "off",
        warm_up_start_capacity=float(rules["startCapacity"]),
        warm_up_us=int(rules["warmUpUs"]),
        overload_multiple=float(rules["fallMultiple"]),
        overload_window_us=int(rules["tipAfterUs"]),
        prices=_prices(document.get("prices") or {}),
    )


def _request_class(profile: Mapping[str, Any]) -> RequestClass:
    return RequestClass(
        name=str(profile["name"]),
        latency_objective_us=int(profile["aimUs"]),
        deadline_us=int(profile["deadlineUs"]),
        idempotency=IDEMPOTENCY[profile["repeat"]],
        dedup_scope=DEDUP_SCOPES[profile.get("dedupScope") or "all"],
        dedup_window_us=int(profile.get("memorySpanUs") or 0),
        priority_weight=float(profile.get("value", 1.0)),
        late_weight=float(profile.get("lateWorth") or 0.0),
        objective_stretch=float(profile.get("aimStretch") or 0.0),
    )


def _tenant(tenant: Mapping[str, Any]) -> Tenant:
    return Tenant(name=str(tenant["name"]), quota_per_s=float(tenant.get("quotaPerS") or 0.0))


def _prices(prices: Mapping[str, Any]) -> Prices:
    return Prices(probe=float(prices.get("probe", 0.0)), gossip=float(prices.get("peer", 0.0)))
