"""What the runner and the process of emulated discovery tell each other. The keys are those on the wire."""

from __future__ import annotations

from typing import Literal, NamedTuple

import msgspec

from .versioned_list import ServerLayout

# How an outage looks to clients: connections are refused and reset, or accepted and never answered.
OutageKind = Literal["refused", "silent"]
# What discovery has after an outage: its history of changes, none, or none and revisions from 1 again.
HistoryAfterOutage = Literal["kept", "gone", "renumbered"]


class PublishedChange(NamedTuple):
    """One revision of the list, in the answer to `made`."""

    revision: int
    at_ns: int  # of the monotonic clock
    entries: int  # how many entries it changed


class DiscoveryStart(ServerLayout, frozen=True):
    """The arguments of the command `start`: a list is generated and served."""

    history: int  # how many changes are remembered
    revision: int = 1  # the first


class DiscoveryStarted(msgspec.Struct, frozen=True):
    """The answer to `start`."""

    port: int
    revision: int
    list_bytes: int  # the size of the complete list
    at_ns: int  # of the monotonic clock


class ListPublished(msgspec.Struct, frozen=True):
    """The answer to `change`: the list as it is now."""

    revision: int
    at_ns: int  # of the monotonic clock
    changed_entries: int = msgspec.field(name="changed")  # 0: none, and the revision is the one before


class OutageBegun(msgspec.Struct, frozen=True):
    """The answer to `begin_outage`."""

    at_ns: int  # of the monotonic clock


class OutageEnded(msgspec.Struct, frozen=True):
    """The answer to `end_outage`."""

    at_ns: int  # of the monotonic clock
    revision: int


class DiscoveryCounts(msgspec.Struct):
    """What happened since the start.

    Each call ends as a full list, a delta, empty, failed or abandoned, or is still open.
    """

    calls: int = 0
    complete_lists: int = msgspec.field(name="whole", default=0)
    deltas: int = 0
    empty: int = 0
    failed: int = 0  # answered with 4xx, or cut off by an outage
    abandoned: int = msgspec.field(name="left", default=0)  # the client closed its connection first
    bytes_sent: int = msgspec.field(name="bytes_out", default=0)  # handed to the transport
    bytes_received: int = msgspec.field(name="bytes_in", default=0)
    connections: int = 0  # accepted, open or not
    peak_waiting: int = msgspec.field(name="waiting_most", default=0)
    peak_queued: int = msgspec.field(name="queue_most", default=0)  # large responses not begun yet
    peak_calls_in_100_ms: int = msgspec.field(name="most_calls_in_100ms", default=0)


class DiscoveryStatus(DiscoveryCounts, kw_only=True):
    """The answer to the command `counts`: the counts, and what is the case now."""

    open_connections: int = msgspec.field(name="open")
    waiting: int  # watches
    queued: int  # large responses
    revision: int
    cpu_s: float
    rss_mb: float
