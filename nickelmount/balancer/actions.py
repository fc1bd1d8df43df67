"""The actions that Balancer.handle returns, to be carried out in order.

All times are integer microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from .events import EndpointId


@dataclass(slots=True)
class SendAttempt:
    """Start an attempt; it ends as TIMEOUT after timeout_us. Its one AttemptEnded always comes."""

    request_id: int
    endpoint_id: EndpointId
    timeout_us: int
    attempt: int = 0  # as AttemptEnded counts them
    # Attempts of this request whose last byte is not written within this time end as NOT_SENT, this one and
    # earlier ones in flight: a connection may come up long after the choice, when the window in which a
    # repeat is dropped is over. 0: no limit.
    write_within_us: int = 0


@dataclass(slots=True)
class RejectRequest:
    """Final answer: rejected; trying again is harmless."""

    request_id: int
    retry_after_us: int = 0  # when to come again; 0: no advice


@dataclass(slots=True)
class FailRequest:
    """Final answer: failed; no promise about effects."""

    request_id: int


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for one attempt; its AttemptEnded still comes."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Hand in TimerFired(token) after delay_us. Timers are never revoked."""

    delay_us: int
    token: int


@dataclass(slots=True)
class SendProbe:
    """Ask an endpoint for its load; ProbeEnded follows."""

    endpoint_id: EndpointId


@dataclass(slots=True)
class SendGossip:
    """Send a message of at most 256 bytes to one other balancer; it may be lost."""

    receiver: int  # its instance index
    payload: bytes


@dataclass(slots=True)
class WatchEndpoints:
    """Subscribe to changes of the endpoint list; exactly one EndpointsChanged answers the call."""


@dataclass(slots=True)
class FetchEndpoints:
    """Ask once for the complete endpoint list."""


@dataclass(slots=True)
class LogMessage:
    """A rare line for the operators: endpoint, change of state, reason."""

    text: str


Action = (
    SendAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | SetTimer
    | SendProbe
    | SendGossip
    | WatchEndpoints
    | FetchEndpoints
    | LogMessage
)
