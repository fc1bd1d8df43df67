"""The messages between the runner and the process of emulated discovery.

Field names are keys on the wire; a field with another name gives its key as `name`.
"""

from __future__ import annotations

from typing import Literal, NamedTuple

import msgspec

from .versioned_list import ServerLayout

# In a "refused" outage, new connections are refused, and existing ones are reset. In a "silent" outage,
# existing connections stay open, the kernel accepts new ones, and no call is answered.
OutageKind = Literal["refused", "silent"]
# After an outage, discovery still has its history of changes ("kept"), has lost it ("gone"), or has lost it
# and counts revisions from 1 again ("renumbered").
HistoryAfterOutage = Literal["kept", "gone", "renumbered"]


class PublishedChange(NamedTuple):
    """One revision of the list in the answer to the command `made`."""

    revision: int
    at_ns: int  # Monotonic time in ns at which the revision was published.
    entries: int  # Number of entries that changed in this revision.


class DiscoveryStart(ServerLayout, frozen=True):
    """Arguments of the command `start`, which generates a list and serves it."""

    history: int  # Number of changes that discovery remembers.
    revision: int = 1  # Revision of the generated list.


class DiscoveryStarted(msgspec.Struct, frozen=True):
    """Answer to the command `start`."""

    port: int
    revision: int
    list_bytes: int  # Size of the encoded complete list.
    at_ns: int  # Monotonic time in ns at which the list was first served.


class ListPublished(msgspec.Struct, frozen=True):
    """Answer to the command `change`."""

    revision: int  # Revision of the list after the command.
    at_ns: int  # Monotonic time in ns at which the revision was published.
    # Number of entries that changed; if it is 0, the revision is the same as before the command.
    changed_entries: int = msgspec.field(name="changed")


class OutageBegun(msgspec.Struct, frozen=True):
    """Answer to the command `begin_outage`."""

    at_ns: int  # Monotonic time in ns at which the outage began.


class OutageEnded(msgspec.Struct, frozen=True):
    """Answer to the command `end_outage`."""

    at_ns: int  # Monotonic time in ns at which discovery served again.
    revision: int


class DiscoveryCounts(msgspec.Struct):
    """Counts since the start of discovery.

    Each call is counted in `calls` when it arrives, and later in one of `complete_lists`, `deltas`, `empty`,
    `failed` and `abandoned`.
    """

    calls: int = 0
    complete_lists: int = msgspec.field(name="whole", default=0)
    deltas: int = 0
    empty: int = 0  # Calls answered with a delta without entries.
    failed: int = 0  # Calls answered with a 4xx status, or left without an answer because of an outage.
    # Calls whose connection was closed before the response was begun.
    abandoned: int = msgspec.field(name="left", default=0)
    bytes_sent: int = msgspec.field(name="bytes_out", default=0)  # Bytes passed to the transport.
    bytes_received: int = msgspec.field(name="bytes_in", default=0)
    connections: int = 0  # Accepted connections, including those that have closed since.
    peak_waiting: int = msgspec.field(name="waiting_most", default=0)  # Peak of `DiscoveryStatus.waiting`.
    # Peak number of large responses that had not been begun.
    peak_queued: int = msgspec.field(name="queue_most", default=0)
    peak_calls_in_100_ms: int = msgspec.field(name="most_calls_in_100ms", default=0)


class DiscoveryStatus(DiscoveryCounts, kw_only=True):
    """Answer to the command `counts`: the counts, the current state and the resource usage."""

    open_connections: int = msgspec.field(name="open")
    waiting: int  # Number of watches that wait for a change.
    queued: int  # Number of large responses that have not been begun.
    revision: int
    cpu_s: float
    rss_mb: float
