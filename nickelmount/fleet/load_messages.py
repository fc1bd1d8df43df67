"""The messages that the runner sends to the load generator. Field names are keys on the wire."""

from __future__ import annotations

import msgspec


class AgentTarget(msgspec.Struct, frozen=True):
    """An agent that requests are sent through; `port` is on 127.0.0.1."""

    name: str
    port: int


class DirectTarget(msgspec.Struct, frozen=True):
    """An endpoint that requests are sent to directly; `port` is on 127.0.0.1."""

    port: int


class LoadSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Arguments of the command `start`. If a rate is 0, no requests are sent on its path."""

    agents: list[AgentTarget]
    direct: list[DirectTarget]
    rate: float  # Requests per second to each agent.
    direct_rate: float  # Requests per second to all direct targets together.
    arrivals: str  # "poisson" or "even".
    seed: int
    request_class: str
    method: str
    timeout_ms: int
    body_bytes: int
