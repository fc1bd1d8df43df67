"""The host of many balancers in one process, which dispatches the events of each frame to them."""

from __future__ import annotations

import json
from typing import BinaryIO

from nickelmount.balancer.actions import Action
from nickelmount.balancer.balancer import Balancer
from nickelmount.balancer.events import Endpoint, EndpointsChanged, Event, ListUpdateKind
from nickelmount.errors import FrameError, SettingsError
from nickelmount.protocol.settings import settings_from

from . import codec


class Reply:
    """The reply to one frame, which is built record by record."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def add_action(self, instance: int, action: Action) -> None:
        """Append the record of an action."""
        self._records.append(codec.encode_action(instance, action, self._tail))

    def add_fault(self, instance: int, error: Exception) -> None:
        """Append a record that reports an exception in an instance."""
        text = f"{type(error).__name__}: {error}"
        self._records.append(codec.encode_text(codec.FAULT_CODE, instance, text, self._tail))

    def encode(self) -> bytes:
        """Return the reply as bytes: the header, the records and the tail."""
        body = b"".join(self._records)
        size = codec.REPLY_HEADER.size + len(body) + len(self._tail)
        return codec.REPLY_HEADER.pack(size, len(self._records)) + body + self._tail


class Host:
    """The balancers of this process, by instance number."""

    def __init__(self) -> None:
        self._balancers: dict[int, Balancer] = {}
        # Endpoint lists by number. A record defines a list, and later records of any instance refer to it.
        self._lists: dict[int, list[Endpoint]] = {}

    def handle_frame(self, frame: bytes) -> bytes:
        """Process one complete frame, and return the reply.

        Raises FrameError if the frame is invalid. The message names the frame's clock and, if a record is
        invalid, the record's byte position.
        """
        now_us, _, count = codec.FRAME_HEADER.unpack_from(frame)
        tail = codec.FRAME_HEADER.size + count * codec.EVENT_SIZE
        if tail > len(frame):
            raise FrameError(f"frame at clock {now_us}: {count} records do not fit its {len(frame)} bytes")
        reply = Reply()
        for at in range(codec.FRAME_HEADER.size, tail, codec.EVENT_SIZE):
            try:
                decoded = self._process_record(frame, at, tail)
            except FrameError as e:
                raise FrameError(f"frame at clock {now_us}, byte {at}: {e}") from None
            except (KeyError, ValueError) as e:
                raise FrameError(f"frame at clock {now_us}, byte {at}: bad value {e}") from None
            if decoded is not None:
                self._handle_event(now_us, *decoded, reply)
        return reply.encode()

    def _handle_event(self, now_us: int, instance: int, event: Event, reply: Reply) -> None:
        try:
            actions = self._balancers[instance].handle(now_us, event)
        except Exception as e:  # The reply reports the exception, so that the other instances go on.
            reply.add_fault(instance, e)
            return
        for action in actions:
            reply.add_action(instance, action)

    def _process_record(self, frame: bytes, at: int, tail: int) -> tuple[int, Event] | None:
        """Process the record at a position. For an event, return it with its instance; otherwise None.

        Records that define a list, or that start or stop an instance, are for the host itself.
        """
        code, data_at = frame[at], at + 1  # The record's data begin after its code.
        if code == codec.LIST_CODE:
            self._define_list(frame, data_at, tail)
            return None
        (instance,) = codec.INSTANCE.unpack_from(frame, data_at)
        if code == codec.SPAWN_CODE:
            self._spawn(frame, data_at, tail)
            return None
        if instance not in self._balancers:
            raise FrameError(f"event {code} for instance {instance}, which is not running")
        if code == codec.CRASH_CODE:
            del self._balancers[instance]
            return None
        return instance, self._decode(code, frame, data_at, tail)

    def _decode(self, code: int, frame: bytes, data_at: int, tail: int) -> Event:
        if code == codec.DISCOVERY_CODE:
            return self._endpoints_changed(frame, data_at)
        if code == codec.GOSSIP_CODE:
            return codec.decode_gossip(frame, data_at, tail)
        if code not in codec.DECODERS:
            raise FrameError(f"unknown event code {code}")
        return codec.DECODERS[code](frame, data_at)

    def _spawn(self, frame: bytes, data_at: int, tail: int) -> None:
        instance, seed, offset, size = codec.SPAWN.unpack_from(frame, data_at)
        text = codec.tail_slice(frame, tail, offset, size)
        try:
            document = json.loads(text)
        except ValueError as e:
            raise FrameError(f"settings: not JSON: {e}") from None
        if not isinstance(document, dict):
            raise FrameError(f"settings: must be a JSON object, but are of type {type(document).__name__}")
        try:
            self._balancers[instance] = Balancer(settings_from(document), seed)
        except SettingsError as e:
            raise FrameError(str(e)) from None

    def _define_list(self, frame: bytes, data_at: int, tail: int) -> None:
        number, offset, count = codec.DEFINE_LIST.unpack_from(frame, data_at)
        entries = codec.tail_slice(frame, tail, offset, count * codec.ENTRY_SIZE)
        self._lists[number] = codec.decode_endpoints(entries)

    def _endpoints_changed(self, frame: bytes, data_at: int) -> EndpointsChanged:
        _, _, number, kind_code = codec.DISCOVERY.unpack_from(frame, data_at)
        kind = codec.LIST_UPDATE_KINDS[kind_code]
        if kind is ListUpdateKind.FAILED:
            return EndpointsChanged(kind, [])
        if number not in self._lists:
            raise FrameError(f"list {number} is not defined")
        return EndpointsChanged(kind, self._lists[number])


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Read frames and write replies until the input ends. Each reply is flushed.

    Raises FrameError if the input ends inside a frame or a frame is invalid.
    """
    host = Host()
    while True:
        header = source.read(codec.FRAME_HEADER.size)
        if not header:
            return
        if len(header) < codec.FRAME_HEADER.size:
            raise FrameError(
                f"input ends inside a frame header, {len(header)} of {codec.FRAME_HEADER.size} bytes"
            )
        now_us, size, _ = codec.FRAME_HEADER.unpack(header)
        if size < codec.FRAME_HEADER.size:
            raise FrameError(f"frame at clock {now_us}: length {size} is less than its header")
        body_size = size - codec.FRAME_HEADER.size
        body = source.read(body_size)
        if len(body) < body_size:
            raise FrameError(f"frame at clock {now_us}: input ends {body_size - len(body)} bytes early")
        sink.write(host.handle_frame(header + body))
        sink.flush()
