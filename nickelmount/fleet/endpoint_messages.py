"""The messages that the process of emulated endpoints sends to the runner.

Field names are keys on the wire; a field with another name gives its key as `name`.
"""

from __future__ import annotations

import msgspec


class EndpointsStarted(msgspec.Struct, frozen=True):
    """Answer to the command `start`."""

    ports: list[int]


class EndpointsStatus(msgspec.Struct, frozen=True):
    """Answer to the command `counts`: the counts since the start and the resource usage of the process."""

    requests: int
    probes: int
    connections: int  # Accepted connections, including those that have closed since.
    # Number of Request-Ids that were received more than once.
    repeated_ids: int = msgspec.field(name="ids_seen_twice")
    cpu_s: float
    rss_mb: float
