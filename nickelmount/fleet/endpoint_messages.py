"""What the process of emulated endpoints answers the runner. The keys are those on the wire."""

from __future__ import annotations

import msgspec


class EndpointsStarted(msgspec.Struct, frozen=True):
    """The answer to the command `start`."""

    ports: list[int]


class EndpointsStatus(msgspec.Struct, frozen=True):
    """The answer to the command `counts`: what has reached the endpoints, and what the process has used."""

    requests: int
    probes: int
    connections: int  # accepted, open or not
    repeated_ids: int = msgspec.field(name="ids_seen_twice")  # Request-Ids seen more than once
    cpu_s: float
    rss_mb: float
