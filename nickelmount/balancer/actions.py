"""The actions that Balancer.handle returns; the caller must carry them out in order.

All times are integer microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from .events import EndpointId


@dataclass(slots=True)
class SendAttempt:
    """Start an attempt, which ends with outcome TIMEOUT after timeout_us.

    The caller must pass in exactly one AttemptEnded for each attempt.
    """

    request_id: int
    endpoint_id: EndpointId
    timeout_us: int
    attempt: int = 0  # Number of the attempt within its request, as in AttemptEnded.
    # Time from now on within which the last byte of the attempt must be written; 0 if there is no limit. The
    # limit also applies to the earlier attempts of the request that are in flight. An attempt that misses it
    # ends with outcome NOT_SENT. The reason is that a connection may be established long after the endpoint
    # was chosen, when the dedup window, in which endpoints drop repeats, is over.
    write_within_us: int = 0


@dataclass(slots=True)
class RejectRequest:
    """Give the final answer "rejected", which promises that a retry by the client is harmless."""

    request_id: int
    retry_after_us: int = 0  # Delay after which the client should retry; 0 for no advice.


@dataclass(slots=True)
class FailRequest:
    """Give the final answer "failed": the request may or may not have taken effect."""

    request_id: int


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt; its AttemptEnded must still be passed in."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Pass in TimerFired(token) after delay_us. Timers are never cancelled."""

    delay_us: int
    token: int


@dataclass(slots=True)
class SendProbe:
    """Ask an endpoint for its load, and pass in ProbeEnded when the probe has ended."""

    endpoint_id: EndpointId


@dataclass(slots=True)
class SendGossip:
    """Send a message of at most 256 bytes to another balancer; it may be lost."""

    receiver: int  # Instance index of the balancer that gets the message.
    payload: bytes


@dataclass(slots=True)
class WatchEndpoints:
    """Watch the endpoint list, and pass in EndpointsChanged for each change that the watch reports.

    If the watch cannot be opened or breaks, an EndpointsChanged of kind FAILED must be passed in. The
    balancer then opens another watch after a delay.
    """


@dataclass(slots=True)
class FetchEndpoints:
    """Fetch the complete endpoint list once, and pass in one EndpointsChanged (FAILED if that fails)."""


@dataclass(slots=True)
class LogMessage:
    """Log a line for the operators about a change of an endpoint's state. Such lines are rare."""

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
