"""The events that a caller hands to Balancer.handle, in the order in which they happened.

All times are integer microseconds on one monotonic clock that the caller passes in. An endpoint id may be any
hashable value; it is handed back unmodified.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum

EndpointId = Hashable


class EndpointStatus(Enum):
    """What the list says of an endpoint."""

    READY = "ready"
    DRAINING = "draining"  # finishes what it has, and is to get nothing new
    REMOVED = "removed"


class ListUpdateKind(Enum):
    """How a list update changes what is known."""

    CACHED = "cached"  # the complete list as last held, perhaps stale; the first event of a balancer
    FULL = "full"  # the complete list; what it does not name is removed
    DELTA = "delta"  # only the entries that changed
    FAILED = "failed"  # a watch or a fetch failed, or the watch broke


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # the endpoint said so; may have run
    REJECTED = "rejected"  # turned away by the endpoint; never ran
    TIMEOUT = "timeout"  # no answer in time; may have run or still run
    CONNECT_FAILED = "connect_failed"  # not connected, or lost before the last byte was written; never ran
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # may have run or still run
    NOT_SENT = "not_sent"  # never left this process; never ran


NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


@dataclass(slots=True)
class Endpoint:
    """One entry of the endpoint list."""

    id: EndpointId
    status: EndpointStatus = EndpointStatus.READY
    zone: int = 0
    cell: int = 0
    capacity_hint: float = 1.0  # rough, relative to other endpoints
    started_at_us: int = 0  # clock time of its latest start; 0: long past


@dataclass(slots=True)
class EndpointsChanged:
    """The endpoint list, or changes to it. The first event of a balancer is of kind CACHED, if only empty."""

    kind: ListUpdateKind
    endpoints: list[Endpoint]


@dataclass(slots=True)
class RequestArrived:
    """A request is now this balancer's; it must get one final answer before timeout_us is up."""

    request_id: int
    request_class: int  # index into Settings.classes
    timeout_us: int  # how long the client waits from now
    tenant: int = 0  # index into Settings.tenants
    cost_us: int = 0  # rough work on a standard core; 0: unknown
    is_retry: bool = False  # the client asked before and was rejected or not answered


@dataclass(slots=True)
class ResponseStarted:
    """A streamed answer began; the attempt now belongs to the client."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """The one end of an attempt."""

    request_id: int
    attempt: int  # attempts of a request count 0, 1, 2 ... in the order of its SendAttempt actions
    endpoint_id: EndpointId
    outcome: Outcome
    latency_us: int
    finished: bool  # the client has its answer and nothing more is owed
    load_report: tuple[float, ...] = ()  # by Settings.load_report_fields; (): none came along


@dataclass(slots=True)
class ClientDisconnected:
    """The client left; nothing more is owed."""

    request_id: int


@dataclass(slots=True)
class TimerFired:
    """The delay of a SetTimer action is over."""

    token: int


@dataclass(slots=True)
class ProbeEnded:
    """The one end of a probe."""

    endpoint_id: EndpointId
    outcome: Outcome
    latency_us: int
    load_report: tuple[float, ...] = ()  # by Settings.load_report_fields


@dataclass(slots=True)
class GossipReceived:
    """A message of another balancer; it may be late or wrong."""

    sender: int  # its instance index
    payload: bytes


Event = (
    EndpointsChanged
    | RequestArrived
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | ProbeEnded
    | GossipReceived
)
