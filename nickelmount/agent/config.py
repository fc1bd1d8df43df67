"""RELAY_CONFIG as typed values."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from nickelmount.balancer.settings import DiscoveryMode, Settings
from nickelmount.errors import ConfigurationError, EndpointListError, SettingsError
from nickelmount.protocol.address import Address, parse_address
from nickelmount.protocol.endpoint_list import EndpointList, EndpointListParser
from nickelmount.protocol.settings import settings_from

from .clock import Clock
from .discovery_client import CALL_TIMEOUT_S

TOLD_US = 6_000_000  # on sockets, what discovery has to tell counts as told so much later


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    max_sockets: int  # file descriptors this process may hold
    known_list: EndpointList
    list_parser: EndpointListParser
    settings: Settings
    connect_timeout_us: int
    idle_timeout_us: int


def load(env: Mapping[str, str], clock: Clock) -> Config:
    """Read the file that RELAY_CONFIG names."""
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigurationError("RELAY_CONFIG is not set")
    try:
        doc = json.loads(Path(path).read_text())
    except (OSError, ValueError, RecursionError) as e:
        raise ConfigurationError(f"RELAY_CONFIG: {e}") from None
    try:
        return config_from(doc, env, clock)
    except KeyError as e:
        raise ConfigurationError(f"RELAY_CONFIG: {e} is missing") from None
    except (TypeError, AttributeError, ValueError, OverflowError, SettingsError, EndpointListError) as e:
        raise ConfigurationError(f"RELAY_CONFIG: {e}") from None


def reload(env: Mapping[str, str], clock: Clock) -> Config:
    """Read it anew while running. RELAY_DISCOVERY is as old as the process: now the file's address counts."""
    return load({k: v for k, v in env.items() if k != "RELAY_DISCOVERY"}, clock)


def config_from(doc: dict[str, Any], env: Mapping[str, str], clock: Clock) -> Config:
    """The configuration in a document as RELAY_CONFIG's file holds it; raises what its first fault raises."""
    facts = doc["settings"]
    allowed = facts["allowed"]
    parser = EndpointListParser(clock, tuple(facts.get("localities") or ()))
    settings = settings_from(facts)
    told_us = min(settings.notified_after_us, TOLD_US)
    return Config(
        name=str(doc.get("name") or env.get("RELAY_NAME") or ""),
        listen=parse_address(env.get("RELAY_LISTEN") or doc["listen"]),
        discovery=parse_address(env.get("RELAY_DISCOVERY") or doc["discovery"]),
        seed=int(doc["seed"], 16),
        max_sockets=int((doc.get("limits") or {}).get("sockets") or 1024),
        # Without one it begins with none, and asks for all that has ever changed.
        known_list=parser.parse(doc.get("known") or {"revision": 0, "complete": True, "members": []}),
        list_parser=parser,
        # The agent has no channel to its peers, so the module must not count on one. Nor does a list come by
        # itself on sockets: where the simulator pushes it, here it is to be watched all the same, but from an
        # agent on this machine, which answers at once and at no cost.
        settings=replace(
            settings,
            can_gossip=False,
            discovery_mode=DiscoveryMode.POLL,
            discovery_is_local=settings.discovery_mode is DiscoveryMode.PUSH,
            notified_after_us=told_us,
            list_call_timeout_us=min(int(CALL_TIMEOUT_S * 1e6), told_us // 3),
        ),
        connect_timeout_us=int(allowed["connectTimeoutUs"]),
        idle_timeout_us=int(allowed["connIdleUs"]),
    )
