"""The events that a caller passes to Balancer.handle, in the order in which they happened.

All times are integer microseconds. Points in time are on one monotonic clock, which the caller reads and
passes to the balancer. An endpoint id may be any hashable value; actions return it unmodified.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum

EndpointId = Hashable


class EndpointStatus(Enum):
    """The status of an endpoint in the endpoint list."""

    READY = "ready"  # The endpoint takes new requests.
    DRAINING = "draining"  # The endpoint finishes its current requests and must get no new ones.
    REMOVED = "removed"  # The endpoint is no longer listed.


class ListUpdateKind(Enum):
    """The kind of an endpoint list update."""

    # The complete list as it was last known, which may be stale. It is the first event of a balancer.
    CACHED = "cached"
    FULL = "full"  # The complete list: endpoints that it does not contain are removed.
    DELTA = "delta"  # Only the entries that have changed.
    FAILED = "failed"  # A watch or a fetch could not be made, or an open watch broke.


class Outcome(Enum):
    """The outcome of an attempt or a probe, and whether the endpoint may have run the request."""

    OK = "ok"  # The endpoint answered with a result.
    ERROR = "error"  # The endpoint answered with an error. The request may have run.
    REJECTED = "rejected"  # The endpoint rejected the request, which never ran.
    TIMEOUT = "timeout"  # No answer came in time. The request may have run or may still be running.
    # No connection was established, or it broke before the last byte was written. The request never ran.
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # The connection broke. The request may have run.
    CANCELLED = "cancelled"  # The attempt was cancelled. The request may have run or may still be running.
    NOT_SENT = "not_sent"  # The request never left this process, so it never ran.


# The outcomes after which the endpoint certainly did not run the request.
NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


@dataclass(slots=True)
class Endpoint:
    """An entry of the endpoint list."""

    id: EndpointId
    status: EndpointStatus = EndpointStatus.READY
    zone: int = 0
    cell: int = 0
    capacity_hint: float = 1.0  # Approximate capacity relative to other endpoints.
    started_at_us: int = 0  # Time of the latest start of its process; 0 if it started long ago.


@dataclass(slots=True)
class EndpointsChanged:
    """The endpoint list, or changes to it.

    The first event of a balancer must be of kind CACHED, with no endpoints if none are known.
    """

    kind: ListUpdateKind
    endpoints: list[Endpoint]


@dataclass(slots=True)
class RequestArrived:
    """A new request, which must get exactly one final answer within timeout_us."""

    request_id: int
    request_class: int  # Index into Settings.classes.
    timeout_us: int  # The time from now on for which the client waits for the final answer.
    tenant: int = 0  # Index into Settings.tenants.
    cost_us: int = 0  # Approximate processing time on a standard core; 0 if unknown.
    is_retry: bool = False  # The client sends a request again that was rejected or not answered.


@dataclass(slots=True)
class ResponseStarted:
    """The start of a streamed response to an attempt, which is passed on to the client from now on."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """The end of an attempt; each attempt has exactly one."""

    request_id: int
    attempt: int  # Attempts of a request are numbered 0, 1, 2 ... in the order of its SendAttempt actions.
    endpoint_id: EndpointId
    outcome: Outcome
    latency_us: int  # Time since the start of the attempt, including the time to connect.
    finished: bool  # The client has its final answer or has disconnected; the balancer must not answer.
    load_report: tuple[float, ...] = ()  # In the order of Settings.load_report_fields; () if there is none.


@dataclass(slots=True)
class ClientDisconnected:
    """The disconnect of a client, whose request then needs no final answer."""

    request_id: int


@dataclass(slots=True)
class TimerFired:
    """The end of the delay of a SetTimer action."""

    token: int


@dataclass(slots=True)
class ProbeEnded:
    """The end of a probe; each probe has exactly one."""

    endpoint_id: EndpointId
    outcome: Outcome
    latency_us: int
    load_report: tuple[float, ...] = ()  # In the order of Settings.load_report_fields; () if there is none.


@dataclass(slots=True)
class GossipReceived:
    """A gossip message from another balancer; it may be late or wrong."""

    sender: int  # Instance index of the balancer that sent the message.
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
