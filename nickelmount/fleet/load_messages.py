"""What the runner tells the load generator. The keys are those on the wire."""

from __future__ import annotations

import msgspec


class AgentTarget(msgspec.Struct, frozen=True):
    """An agent that requests go through; `port` is on 127.0.0.1."""

    name: str
    port: int


class DirectTarget(msgspec.Struct, frozen=True):
    """An endpoint that requests go to directly; `port` is on 127.0.0.1."""

    port: int


class LoadSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The arguments of the command `start`. A rate of 0 leaves its path out."""

    agents: list[AgentTarget]
    direct: list[DirectTarget]
    rate: float  # requests a second to each agent
    direct_rate: float  # requests a second to all direct targets together
    arrivals: str  # "poisson" or "even"
    seed: int
    request_class: str
    method: str
    timeout_ms: int
    body_bytes: int
