"""The codec of the simulator's binary protocol, which decodes events and encodes actions.

A frame consists of a header, records of a fixed size, and a tail with data of variable length. Records refer
to data in the tail by offset and length. All numbers are big-endian. This is the only place that defines the
codes and layouts of the protocol. The codec has no state and makes no decisions.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any

from nickelmount.balancer.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    FetchEndpoints,
    LogMessage,
    RejectRequest,
    SendAttempt,
    SendGossip,
    SendProbe,
    SetTimer,
    WatchEndpoints,
)
from nickelmount.balancer.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointStatus,
    Event,
    GossipReceived,
    ListUpdateKind,
    Outcome,
    ProbeEnded,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from nickelmount.errors import FrameError

FRAME_HEADER = struct.Struct(">QII")  # Clock in microseconds, frame length, number of records.
REPLY_HEADER = struct.Struct(">II")  # Reply length, number of records.
EVENT_SIZE, ENTRY_SIZE = 48, 24  # Size in bytes of an event record and of an entry of an endpoint list.

# Layouts of event records after their code, which is one byte. Each layout except DEFINE_LIST begins with the
# number of an instance. An instance is one balancer.
INSTANCE = struct.Struct(">H")
SPAWN = struct.Struct(">HQII")
DISCOVERY = struct.Struct(">HQBB")
REQUEST = struct.Struct(">HQIIQHBI")
RESPONSE_STARTED = struct.Struct(">HQH")
ATTEMPT_ENDED = struct.Struct(">HQBHI6sHB4f")
INSTANCE_AND_ID = struct.Struct(">HQ")  # The id is that of a request or the token of a timer.
PROBE_ENDED = struct.Struct(">H6sHIB4f")
GOSSIP = struct.Struct(">HHII")
DEFINE_LIST = struct.Struct(">BII")

ENTRY = struct.Struct(">6sHBHBfQ")  # Layout of an entry of an endpoint list in the tail.

SPAWN_CODE, DISCOVERY_CODE, GOSSIP_CODE, CRASH_CODE, LIST_CODE = 10, 20, 90, 100, 110

# Layouts of action records, including their code
SEND_ATTEMPT = struct.Struct(">BHQI6s3x")
REJECT_REQUEST = struct.Struct(">BHQI9x")
FAIL_REQUEST = struct.Struct(">BHQ13x")
CANCEL_ATTEMPT = struct.Struct(">BHQH11x")
SET_TIMER = struct.Struct(">BHIQ9x")
SEND_PROBE = struct.Struct(">BH6s15x")
SEND_GOSSIP = struct.Struct(">BHHII11x")
TEXT = struct.Struct(">BHII13x")
WATCH_ENDPOINTS = struct.Struct(">BHB20x")
FETCH_ENDPOINTS = struct.Struct(">BH21x")

LOG_CODE, FAULT_CODE = 90, 100
U32_MAX = 0xFFFFFFFF
HAS_COST, IS_RETRY = 1, 2  # Bits in the flags of a request.

OUTCOMES = {
    0: Outcome.OK,
    255: Outcome.ERROR,
    254: Outcome.REJECTED,
    253: Outcome.TIMEOUT,
    252: Outcome.CONNECT_FAILED,
    251: Outcome.RESET,
    250: Outcome.CANCELLED,
    249: Outcome.NOT_SENT,
}
STATUSES = {0: EndpointStatus.REMOVED, 1: EndpointStatus.READY, 2: EndpointStatus.DRAINING}
LIST_UPDATE_KINDS = {
    0: ListUpdateKind.CACHED,
    1: ListUpdateKind.DELTA,
    2: ListUpdateKind.FULL,
    4: ListUpdateKind.FAILED,
}


def tail_slice(frame: bytes, tail: int, offset: int, size: int) -> bytes:
    """Return the part of a frame's tail that a record refers to.

    `tail` is the position of the tail in the frame. Raises FrameError if the part exceeds the tail.
    """
    if tail + offset + size > len(frame):
        raise FrameError(
            f"offset {offset} and length {size} lie beyond the tail of {len(frame) - tail} bytes"
        )
    return frame[tail + offset : tail + offset + size]


# Events. Each decoder of a record takes the frame and the position after the record's code.


def decode_endpoints(entries: bytes) -> list[Endpoint]:
    """Decode the entries of an endpoint list. The machine type is ignored."""
    return [
        Endpoint(id_, STATUSES[status], zone, cell, capacity_hint, started_at_us)
        for id_, zone, _machine_type, cell, status, capacity_hint, started_at_us in ENTRY.iter_unpack(entries)
    ]


def decode_gossip(frame: bytes, at: int, tail: int) -> GossipReceived:
    """Decode a gossip message from another instance. `tail` is the position of the tail in the frame."""
    _, sender, offset, size = GOSSIP.unpack_from(frame, at)
    return GossipReceived(sender, tail_slice(frame, tail, offset, size))


def _decode_request(frame: bytes, at: int) -> Event:
    # The key of the request is ignored.
    _, request_id, tenant, timeout_us, _key, class_, flags, cost_us = REQUEST.unpack_from(frame, at)
    known_cost_us = cost_us if flags & HAS_COST else 0
    return RequestArrived(request_id, class_, timeout_us, tenant, known_cost_us, bool(flags & IS_RETRY))


def _decode_attempt_ended(frame: bytes, at: int) -> Event:
    _, request_id, finished, attempt, latency_us, endpoint_id, outcome, count, *numbers = (
        ATTEMPT_ENDED.unpack_from(frame, at)
    )
    report = tuple(numbers[:count])
    return AttemptEnded(
        request_id, attempt, endpoint_id, OUTCOMES[outcome], latency_us, finished != 0, report
    )


def _decode_response_started(frame: bytes, at: int) -> Event:
    _, request_id, attempt = RESPONSE_STARTED.unpack_from(frame, at)
    return ResponseStarted(request_id, attempt)


def _decode_client_disconnected(frame: bytes, at: int) -> Event:
    return ClientDisconnected(INSTANCE_AND_ID.unpack_from(frame, at)[1])


def _decode_timer_fired(frame: bytes, at: int) -> Event:
    return TimerFired(INSTANCE_AND_ID.unpack_from(frame, at)[1])


def _decode_probe_ended(frame: bytes, at: int) -> Event:
    _, endpoint_id, outcome, latency_us, count, *numbers = PROBE_ENDED.unpack_from(frame, at)
    return ProbeEnded(endpoint_id, OUTCOMES[outcome], latency_us, tuple(numbers[:count]))


DECODERS: dict[int, Callable[[bytes, int], Event]] = {
    30: _decode_request,
    40: _decode_response_started,
    50: _decode_attempt_ended,
    60: _decode_client_disconnected,
    70: _decode_timer_fired,
    80: _decode_probe_ended,
}


# Actions. Each encoder takes the number of the instance, the action, and the reply's tail, to which it may
# append data, and returns the record.


def _encode_send_attempt(instance: int, a: SendAttempt, tail: bytearray) -> bytes:
    return SEND_ATTEMPT.pack(10, instance, a.request_id, min(a.timeout_us, U32_MAX), a.endpoint_id)


def _encode_reject(instance: int, a: RejectRequest, tail: bytearray) -> bytes:
    return REJECT_REQUEST.pack(20, instance, a.request_id, min(a.retry_after_us, U32_MAX))


def _encode_fail(instance: int, a: FailRequest, tail: bytearray) -> bytes:
    return FAIL_REQUEST.pack(30, instance, a.request_id)


def _encode_cancel(instance: int, a: CancelAttempt, tail: bytearray) -> bytes:
    return CANCEL_ATTEMPT.pack(40, instance, a.request_id, a.attempt)


def _encode_set_timer(instance: int, a: SetTimer, tail: bytearray) -> bytes:
    return SET_TIMER.pack(50, instance, min(a.delay_us, U32_MAX), a.token)


def _encode_send_probe(instance: int, a: SendProbe, tail: bytearray) -> bytes:
    return SEND_PROBE.pack(60, instance, a.endpoint_id)


def _encode_send_gossip(instance: int, a: SendGossip, tail: bytearray) -> bytes:
    offset = len(tail)
    tail += a.payload
    return SEND_GOSSIP.pack(80, instance, a.receiver, offset, len(a.payload))


def _encode_log(instance: int, a: LogMessage, tail: bytearray) -> bytes:
    return encode_text(LOG_CODE, instance, a.text, tail)


def _encode_watch(instance: int, a: WatchEndpoints, tail: bytearray) -> bytes:
    return WATCH_ENDPOINTS.pack(110, instance, 1)


def _encode_fetch(instance: int, a: FetchEndpoints, tail: bytearray) -> bytes:
    return FETCH_ENDPOINTS.pack(120, instance)


def encode_text(code: int, instance: int, text: str, tail: bytearray) -> bytes:
    """Return a record that refers to a text, and append the text to the tail."""
    encoded = text.encode()
    offset = len(tail)
    tail += encoded
    return TEXT.pack(code, instance, offset, len(encoded))


ENCODERS: dict[type, Callable[[int, Any, bytearray], bytes]] = {
    SendAttempt: _encode_send_attempt,
    RejectRequest: _encode_reject,
    FailRequest: _encode_fail,
    CancelAttempt: _encode_cancel,
    SetTimer: _encode_set_timer,
    SendProbe: _encode_send_probe,
    SendGossip: _encode_send_gossip,
    LogMessage: _encode_log,
    WatchEndpoints: _encode_watch,
    FetchEndpoints: _encode_fetch,
}


def encode_action(instance: int, action: Action, tail: bytearray) -> bytes:
    """Return the record of an instance's action. Data of variable length is appended to the tail."""
    return ENCODERS[type(action)](instance, action, tail)
