"""Many balancers in one process, each fed with its own events of a frame."""

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
    """The reply to one frame, as it grows."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def add_action(self, instance: int, action: Action) -> None:
        """Append the record of an action."""
        self._records.append(codec.encode_action(instance, action, self._tail))

    def add_fault(self, instance: int, error: Exception) -> None:
        """Append the record that says that an instance raised."""
        text = f"{type(error).__name__}: {error}"
        self._records.append(codec.encode_text(codec.FAULT_CODE, instance, text, self._tail))

    def encode(self) -> bytes:
        """The reply in one piece."""
        body = b"".join(self._records)
        size = codec.REPLY_HEADER.size + len(body) + len(self._tail)
        return codec.REPLY_HEADER.pack(size, len(self._records)) + body + self._tail


class Host:
    """All balancers of this process, by the number of their instance."""

    def __init__(self) -> None:
        self._balancers: dict[int, Balancer] = {}
        self._lists: dict[int, list[Endpoint]] = {}  # as defined by earlier records

    def answer(self, frame: bytes) -> bytes:
        """The reply to one complete frame. Raises FrameError, naming the clock and the byte."""
        now, _, count = codec.FRAME_HEADER.unpack_from(frame)
        tail = codec.FRAME_HEADER.size + count * codec.EVENT_SIZE
        if tail > len(frame):
            raise FrameError(f"frame at clock {now}: {count} records do not fit its {len(frame)} bytes")
        reply = Reply()
        for at in range(codec.FRAME_HEADER.size, tail, codec.EVENT_SIZE):
            try:
                decoded = self._take(frame, at, tail)
            except FrameError as e:
                raise FrameError(f"frame at clock {now}, byte {at}: {e}") from None
            except (KeyError, ValueError) as e:
                raise FrameError(f"frame at clock {now}, byte {at}: bad value {e}") from None
            if decoded is not None:
                self._handle(now, *decoded, reply)
        return reply.encode()

    def _handle(self, now: int, instance: int, event: Event, reply: Reply) -> None:
        try:
            actions = self._balancers[instance].handle(now, event)
        except Exception as e:  # a fault of one instance is reported in the reply, and others go on
            reply.add_fault(instance, e)
            return
        for action in actions:
            reply.add_action(instance, action)

    def _take(self, frame: bytes, at: int, tail: int) -> tuple[int, Event] | None:
        """Carry out a record that concerns the host alone; return the instance and the event of any other."""
        code, body = frame[at], at + 1
        if code == codec.LIST_CODE:
            self._define_list(frame, body, tail)
            return None
        (instance,) = codec.INSTANCE.unpack_from(frame, body)
        if code == codec.SPAWN_CODE:
            self._spawn(frame, body, tail)
            return None
        if instance not in self._balancers:
            raise FrameError(f"event {code} for instance {instance}, which is not running")
        if code == codec.CRASH_CODE:
            del self._balancers[instance]
            return None
        return instance, self._decode(code, frame, body, tail)

    def _decode(self, code: int, frame: bytes, body: int, tail: int) -> Event:
        if code == codec.DISCOVERY_CODE:
            return self._endpoints_changed(frame, body)
        if code == codec.GOSSIP_CODE:
            return codec.decode_gossip(frame, body, tail)
        if code not in codec.DECODERS:
            raise FrameError(f"unknown event code {code}")
        return codec.DECODERS[code](frame, body)

    def _spawn(self, frame: bytes, body: int, tail: int) -> None:
        instance, seed, offset, size = codec.SPAWN.unpack_from(frame, body)
        text = codec.tail_slice(frame, tail, offset, size)
        try:
            document = json.loads(text)
        except ValueError as e:
            raise FrameError(f"settings: not JSON: {e}") from None
        if not isinstance(document, dict):
            raise FrameError("settings: not an object")
        try:
            self._balancers[instance] = Balancer(settings_from(document), seed)
        except SettingsError as e:
            raise FrameError(str(e)) from None

    def _define_list(self, frame: bytes, body: int, tail: int) -> None:
        number, offset, count = codec.DEFINE_LIST.unpack_from(frame, body)
        entries = codec.tail_slice(frame, tail, offset, count * codec.ENTRY_SIZE)
        self._lists[number] = codec.decode_endpoints(entries)

    def _endpoints_changed(self, frame: bytes, body: int) -> EndpointsChanged:
        _, _, number, kind_code = codec.DISCOVERY.unpack_from(frame, body)
        kind = codec.LIST_UPDATE_KINDS[kind_code]
        if kind is ListUpdateKind.FAILED:
            return EndpointsChanged(kind, [])
        if number not in self._lists:
            raise FrameError(f"list {number} was never defined")
        return EndpointsChanged(kind, self._lists[number])


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer frames until the input ends; each reply is flushed. Raises FrameError."""
    host = Host()
    while True:
        header = source.read(codec.FRAME_HEADER.size)
        if not header:
            return
        if len(header) < codec.FRAME_HEADER.size:
            raise FrameError(
                f"input ends inside a frame header, {len(header)} of {codec.FRAME_HEADER.size} bytes"
            )
        now, size, _ = codec.FRAME_HEADER.unpack(header)
        if size < codec.FRAME_HEADER.size:
            raise FrameError(f"frame at clock {now}: length {size} is less than its header")
        body_size = size - codec.FRAME_HEADER.size
        body = source.read(body_size)
        if len(body) < body_size:
            raise FrameError(f"frame at clock {now}: input ends {body_size - len(body)} bytes early")
        sink.write(host.answer(header + body))
        sink.flush()
