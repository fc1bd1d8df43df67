"""The configuration of an agent, read from the file that RELAY_CONFIG names.

Only this module translates the keys of that file, except that its `settings` are translated in
nickelmount.protocol.settings and its `known` list in nickelmount.protocol.endpoint_list. The environment
variables RELAY_LISTEN and RELAY_DISCOVERY override the file. RELAY_NAME is used if the file has no name.
"""

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
from .memory_limit import BYTES_PER_MB, MAX_BUFFER_SHARE

DEFAULT_MAX_SOCKETS = 1024
DEFAULT_MAX_MEMORY_MB = 192
# An agent on sockets counts a change of the list as notified this long after it was made, or earlier if the
# settings say so.
MAX_NOTIFIED_AFTER_US = 6_000_000
# The balancer assumes that a call takes at most the time until a change counts as notified, divided by this
# number. A call that fails, the delay after it and the next call then fit into that time.
CALL_TIMEOUT_DIVISOR = 3
NO_ENDPOINTS = {"revision": 0, "complete": True, "members": []}


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration that an agent gets at its start."""

    name: str  # Name of the agent in its log.
    listen: Address  # Address to which clients connect.
    discovery: Address
    seed: int  # Seed of all random draws.
    max_sockets: int  # Number of file descriptors that this process may have open.
    max_memory_bytes: int  # Memory that this process may take.
    # Memory that messages of clients and endpoints may take together, as far as it is known before the start.
    max_buffer_bytes: int
    cached_list: EndpointList  # The endpoint list at the start, which may be stale.
    list_parser: EndpointListParser  # Parser that has read cached_list and reads the lists that follow.
    settings: Settings  # The settings as they apply to an agent on sockets.
    connect_timeout_us: int  # Limit on connecting to an endpoint or to discovery.
    idle_timeout_us: int  # An endpoint closes a connection that has been idle for this long.


def load(env: Mapping[str, str], clock: Clock) -> Config:
    """Read the file that RELAY_CONFIG names; raises ConfigurationError if it cannot be used."""
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigurationError("RELAY_CONFIG is not set")
    try:
        document = json.loads(Path(path).read_text())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigurationError(f"RELAY_CONFIG: {error}") from None
    return config_from(document, env, clock)


def reload(env: Mapping[str, str], clock: Clock) -> Config:
    """Read the file again in a running agent; raises ConfigurationError if it cannot be used.

    The address of discovery is taken from the file. RELAY_DISCOVERY is ignored, because the environment of a
    running process cannot be changed and this variable still has the address from the start.
    """
    return load({name: value for name, value in env.items() if name != "RELAY_DISCOVERY"}, clock)


def config_from(document: Mapping[str, Any], env: Mapping[str, str], clock: Clock) -> Config:
    """Translate the parsed file of RELAY_CONFIG; raises ConfigurationError if a key or value is invalid."""
    try:
        return _translate(document, env, clock)
    except KeyError as error:
        raise ConfigurationError(f"RELAY_CONFIG: key {error} is missing") from None
    except (
        TypeError,
        AttributeError,
        ValueError,
        OverflowError,
        SettingsError,
        EndpointListError,
    ) as error:
        raise ConfigurationError(f"RELAY_CONFIG: {error}") from None


def _translate(document: Mapping[str, Any], env: Mapping[str, str], clock: Clock) -> Config:
    deployment = document["settings"]
    allowed = deployment["allowed"]
    limits = document.get("limits") or {}
    max_memory_bytes = int(float(limits.get("memory_mb") or DEFAULT_MAX_MEMORY_MB) * BYTES_PER_MB)
    parser = EndpointListParser(clock, tuple(deployment.get("localities") or ()))
    settings = _settings_on_sockets(settings_from(deployment))
    return Config(
        name=str(document.get("name") or env.get("RELAY_NAME") or ""),
        listen=parse_address(env.get("RELAY_LISTEN") or document["listen"]),
        discovery=parse_address(env.get("RELAY_DISCOVERY") or document["discovery"]),
        seed=int(document["seed"], 16),
        max_sockets=int(limits.get("sockets") or DEFAULT_MAX_SOCKETS),
        max_memory_bytes=max_memory_bytes,
        max_buffer_bytes=int(max_memory_bytes * MAX_BUFFER_SHARE),
        # Without a list the agent starts with no endpoints. Revision 0 asks discovery for all changes.
        cached_list=parser.parse(document.get("known") or NO_ENDPOINTS),
        list_parser=parser,
        settings=settings,
        connect_timeout_us=int(allowed["connectTimeoutUs"]),
        idle_timeout_us=int(allowed["connIdleUs"]),
    )


def _settings_on_sockets(settings: Settings) -> Settings:
    """Return the settings of a deployment as they apply to an agent on sockets.

    - Gossip is off, because agents have no connections to each other.
    - The endpoint list is always polled, because discovery sends nothing unless it is called. PUSH in the
      settings means that discovery runs on this machine for this agent alone. It then answers at once, and
      calls put no load on a service that other agents use.
    - A change counts as notified after MAX_NOTIFIED_AFTER_US at the latest. When the balancer plans the
      delays between calls of the watch, it assumes that a call takes up to CALL_TIMEOUT_S, or a third of the
      time until a change counts as notified if that is less.
    """
    notified_after_us = min(settings.notified_after_us, MAX_NOTIFIED_AFTER_US)
    return replace(
        settings,
        can_gossip=False,
        discovery_mode=DiscoveryMode.POLL,
        discovery_is_local=settings.discovery_mode is DiscoveryMode.PUSH,
        notified_after_us=notified_after_us,
        list_call_timeout_us=min(int(CALL_TIMEOUT_S * 1e6), notified_after_us // CALL_TIMEOUT_DIVISOR),
    )
