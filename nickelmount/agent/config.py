"""The configuration of an agent, read from the file that RELAY_CONFIG names.

This is the one place where the keys of that file are translated; its `settings` are translated in
nickelmount.protocol.settings and its `known` list in nickelmount.protocol.endpoint_list. In the environment,
RELAY_LISTEN and RELAY_DISCOVERY override the file, and RELAY_NAME counts where the file has no name.
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

DEFAULT_MAX_SOCKETS = 1024
# On sockets a change of the list counts as notified this long after it was made, or earlier if the settings
# say so.
MAX_NOTIFIED_AFTER_US = 6_000_000
# Of the time until a change counts as notified, one call may take so much: a call that fails and the next one
# are then both over in time.
CALLS_PER_NOTIFICATION = 3
NO_ENDPOINTS = {"revision": 0, "complete": True, "members": []}


@dataclass(slots=True, frozen=True)
class Config:
    """All that an agent is given at its start."""

    name: str  # of this agent, for its log
    listen: Address  # where clients connect
    discovery: Address
    seed: int  # of all random draws
    max_sockets: int  # file descriptors that this process may hold
    cached_list: EndpointList  # to begin with; perhaps stale
    list_parser: EndpointListParser  # for the lists that follow; it has read cached_list
    settings: Settings  # as they apply on sockets
    connect_timeout_us: int  # for a connection to an endpoint, or to discovery
    idle_timeout_us: int  # an endpoint closes a connection that has been idle for so long


def load(env: Mapping[str, str], clock: Clock) -> Config:
    """Read the file that RELAY_CONFIG names; raises ConfigurationError."""
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigurationError("RELAY_CONFIG is not set")
    try:
        document = json.loads(Path(path).read_text())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigurationError(f"RELAY_CONFIG: {error}") from None
    return config_from(document, env, clock)


def reload(env: Mapping[str, str], clock: Clock) -> Config:
    """Read the file again while running; raises ConfigurationError.

    RELAY_DISCOVERY is skipped: a process cannot be given a new environment, so that variable still names the
    discovery of the start. The address in the file counts.
    """
    return load({name: value for name, value in env.items() if name != "RELAY_DISCOVERY"}, clock)


def config_from(document: Mapping[str, Any], env: Mapping[str, str], clock: Clock) -> Config:
    """Translate a document of the form of RELAY_CONFIG's file; raises ConfigurationError."""
    try:
        return _config(document, env, clock)
    except KeyError as error:
        raise ConfigurationError(f"RELAY_CONFIG: {error} is missing") from None
    except (
        TypeError,
        AttributeError,
        ValueError,
        OverflowError,
        SettingsError,
        EndpointListError,
    ) as error:
        raise ConfigurationError(f"RELAY_CONFIG: {error}") from None


def _config(document: Mapping[str, Any], env: Mapping[str, str], clock: Clock) -> Config:
    deployment = document["settings"]
    allowed = deployment["allowed"]
    parser = EndpointListParser(clock, tuple(deployment.get("localities") or ()))
    settings = _settings_on_sockets(settings_from(deployment))
    return Config(
        name=str(document.get("name") or env.get("RELAY_NAME") or ""),
        listen=parse_address(env.get("RELAY_LISTEN") or document["listen"]),
        discovery=parse_address(env.get("RELAY_DISCOVERY") or document["discovery"]),
        seed=int(document["seed"], 16),
        max_sockets=int((document.get("limits") or {}).get("sockets") or DEFAULT_MAX_SOCKETS),
        # Without a list the agent starts with no endpoints, and revision 0 asks for every change there was.
        cached_list=parser.parse(document.get("known") or NO_ENDPOINTS),
        list_parser=parser,
        settings=settings,
        connect_timeout_us=int(allowed["connectTimeoutUs"]),
        idle_timeout_us=int(allowed["connIdleUs"]),
    )


def _settings_on_sockets(settings: Settings) -> Settings:
    """The settings of a deployment as they apply to an agent on sockets.

    - Gossip is off: agents have no channel to each other.
    - The endpoint list is always polled, because discovery sends nothing unless it is called. PUSH in the
      settings means that discovery runs on this machine for this agent alone: it answers at once, and calls
      put no load on a service that others share.
    - A change counts as notified after MAX_NOTIFIED_AFTER_US at the latest. The balancer plans the delays
      between calls of the watch with calls that take CALL_TIMEOUT_S, or a third of that time if it is less.
    """
    notified_after_us = min(settings.notified_after_us, MAX_NOTIFIED_AFTER_US)
    return replace(
        settings,
        can_gossip=False,
        discovery_mode=DiscoveryMode.POLL,
        discovery_is_local=settings.discovery_mode is DiscoveryMode.PUSH,
        notified_after_us=notified_after_us,
        list_call_timeout_us=min(int(CALL_TIMEOUT_S * 1e6), notified_after_us // CALLS_PER_NOTIFICATION),
    )
