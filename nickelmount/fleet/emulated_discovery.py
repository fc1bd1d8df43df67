"""A stand-in for discovery on loopback: serves a catalog by the protocol's page, and can fail in order."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections import OrderedDict, defaultdict, deque
from collections.abc import Mapping, Sequence
from contextlib import suppress
from dataclasses import asdict, dataclass
from random import Random
from typing import Any, Literal

import msgspec
from httptools import HttpRequestParser

from nickelmount.agent.connection import Connection
from nickelmount.agent.http import HttpMessage, HttpReader, encode_response
from nickelmount.errors import HttpError
from nickelmount.protocol.http_names import ENDPOINT_LIST_PATH

from .catalog import Catalog, Phase, Where, generate, pick
from .role import Command, run, serve, usage

HOST = "127.0.0.1"
WAIT_MOST_MS = 60_000
BACKLOG = 4096  # all agents may come at once
ACCEPTS = 256  # in one turn of the loop
LARGE = 64 * 1024  # bytes; what the kernel may not take at once, and would lie here thousands of times
SEND_BUFFER = 128 * 1024  # bytes; left to itself the kernel takes whole lists unread, thousands of them
LARGE_AT_ONCE = 64  # so many such answers are written at a time, the others wait in order of arrival
SLOT_S = 0.01  # waits end up to two of these late: a timer for each call would cost more than its answer
BURST_NS = 100_000_000
MADE_MOST = 100_000  # changes whose times are kept

Outage = Literal["refused", "silent"]
History = Literal["kept", "gone", "renumbered"]


@dataclass(slots=True)
class Counts:
    """Since the start. Each call ends as whole, delta, empty, failed or left, or is held still."""

    calls: int = 0
    whole: int = 0
    deltas: int = 0
    empty: int = 0
    failed: int = 0  # 4xx, or an outage came between
    left: int = 0  # the caller closed its connection first
    bytes_out: int = 0  # handed to the transport
    bytes_in: int = 0
    connections: int = 0
    waiting_most: int = 0
    queue_most: int = 0  # large answers not begun yet
    most_calls_in_100ms: int = 0


class Watcher(Connection):
    """A connection of an agent; one call at a time."""

    def __init__(self, host: Standin) -> None:
        super().__init__()
        self._host = host
        self._reader = HttpReader(HttpRequestParser, 0)
        # Of the call in hand:
        self.held = False
        self.index: int | None = None  # None: asks for the whole list
        self.slot = 0  # in which its wait ends
        self.keep_alive = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._host.came(self)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._host.left(self)
        self._host.lost(self)

    def resume_writing(self) -> None:
        super().resume_writing()
        self._host.drained(self)

    def on_data(self, data: bytes) -> None:
        self._host.counts.bytes_in += len(data)
        requests = self._reader.feed(data)
        if self.held or len(requests) > 1:  # an answer to one would be taken for the other's
            self.abort()
        elif self._reader.error is not None:
            self._host.take(self, self._reader.error)
        elif requests:
            self._host.take(self, requests[0])

    def on_handler_error(self) -> None:
        self.abort()

    def on_peer_closed(self) -> None:
        self._host.left(self)

    def reset(self) -> None:
        if self.transport is None:
            return
        self.discards_input = True
        with suppress(OSError):  # the peer may have reset it already
            self.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        self.transport.abort()


class Standin:
    """Discovery, for one run; its public coroutines are the commands of its process."""

    def __init__(self) -> None:
        self.counts = Counts()
        self._loop = asyncio.get_running_loop()
        self._catalog = Catalog([], 0)
        self._messages: dict[int | None, bytes] = {}  # answers whole with their heads, by base, till a change
        self._outage: Outage | None = None
        self._holder: socket.socket | None = None  # keeps the port while no one listens at it
        self._socket: socket.socket | None = None
        self._listener: asyncio.Server | None = None
        self._open: set[Watcher] = set()
        self._none_open = asyncio.Event()
        # Watches. Each waits at the present revision, since any other is answered at once.
        self._waiting: dict[Watcher, None] = {}  # in order of arrival
        self._slots: defaultdict[int, dict[Watcher, None]] = defaultdict(dict)
        self._slot = 0  # the first whose waits have not ended
        self._ticking: asyncio.TimerHandle | None = None
        # Large answers
        self._queue: OrderedDict[Watcher, None] = OrderedDict()
        self._writing: set[Watcher] = set()
        self._pumping = False
        self._arrivals: deque[int] = deque()  # of calls within the last BURST_NS
        self._made: deque[tuple[int, int, int]] = deque(maxlen=MADE_MOST)
        self._dripping: asyncio.Task[None] | None = None
        self._drained: str | None = None  # by the drip, and to come back next

    # Commands

    def commands(self) -> Mapping[str, Command]:
        return {
            "start": self.start,
            "change": self.change,
            "begin_outage": self.begin_outage,
            "end_outage": self.end_outage,
            "drip": self.drip,
            "counts": self.count,
            "made": self.made,
        }

    async def start(
        self,
        servers: int,
        seed: int,
        regions: int,
        zones_per_region: int,
        racks_per_zone: int,
        ports: Sequence[int],
        history: int,
        revision: int = 1,
    ) -> dict[str, Any]:
        if self._holder is not None:
            raise ValueError("started already")
        entries = generate(servers, seed, regions, zones_per_region, racks_per_zone, ports)
        self._catalog = Catalog(entries, history, revision)
        self._holder = _bound(0)
        await self._listen()
        self._slot = int(self._loop.time() / SLOT_S)
        self._tick()
        return {
            "port": self._holder.getsockname()[1],
            "revision": self._catalog.revision,
            "list_bytes": len(self._catalog.answer(None)),
            "at_ns": time.monotonic_ns(),
        }

    async def change(
        self,
        phase: Phase,
        share: float | None = None,
        count: int | None = None,
        where: Where = "any",
        seed: int = 0,
        replaced: bool = False,
    ) -> dict[str, Any]:
        """One revision. SERVING: all that do not serve come back; else so many of those that serve change."""
        msgspec.convert(phase, Phase)
        random = Random(seed)
        if phase == "SERVING":
            back = self._catalog.restore(_unix_ms(), random if replaced else None)
            return self._tell(len(back))
        ids = pick(self._catalog.entries("SERVING"), where, random, share=share, count=count)
        self._catalog.change(ids, phase)
        return self._tell(len(ids))

    async def begin_outage(self, kind: Outage) -> dict[str, Any]:
        """`refused`: the port is closed, and all connections are reset. `silent`: they stay, new ones come up
        in the kernel alone, and no call is answered; only an answer that has begun is written on.
        """
        if self._outage is not None or self._listener is None:
            raise ValueError("no discovery to fail")
        self._outage = msgspec.convert(kind, Outage)
        at_ns = time.monotonic_ns()
        self._listener.close()  # of its own copy of the socket: the kernel goes on to take connections
        self._listener = None
        self.counts.failed += len(self._waiting) + len(self._queue)
        self._waiting.clear()
        self._slots.clear()
        self._queue.clear()
        if kind == "refused":
            await self._vanish()
        return {"at_ns": at_ns}

    async def end_outage(self, history: History = "kept") -> dict[str, Any]:
        """Connections that were left are reset, those included that the kernel alone has taken."""
        if self._outage is None:
            raise ValueError("no outage")
        msgspec.convert(history, History)
        await self._vanish()
        if history != "kept":
            self._catalog.forget_history(renumber=history == "renumbered")
            self._messages.clear()
        self._outage = None
        await self._listen()
        return {"at_ns": time.monotonic_ns(), "revision": self._catalog.revision}

    async def drip(self, per_s: float, seed: int = 0) -> dict[str, Any]:
        """From now on one change at a time, so many a second: a server drains, then is back as restarted."""
        if self._dripping is not None:
            self._dripping.cancel()
            self._dripping = None
        if per_s > 0:
            self._dripping = self._loop.create_task(self._drip(1 / per_s, Random(seed)))
        return {}

    async def count(self) -> dict[str, Any]:
        return {
            **asdict(self.counts),
            "open": len(self._open),
            "waiting": len(self._waiting),
            "queued": len(self._queue),
            "revision": self._catalog.revision,
            **usage(),
        }

    async def made(self) -> dict[str, Any]:
        """The last changes: the revision and the time of each, and how many entries it had."""
        return {"changes": list(self._made)}

    async def close(self) -> None:
        await self.drip(0)
        if self._ticking is not None:
            self._ticking.cancel()
        if self._listener is not None:
            self._listener.close()
        await self._vanish()
        if self._holder is not None:
            self._holder.close()

    # Changes

    def _tell(self, changed: int) -> dict[str, Any]:
        """Answer all that wait for the change that was made."""
        at_ns = time.monotonic_ns()
        revision = self._catalog.revision
        if changed:
            self._made.append((revision, at_ns, changed))
            self._messages.clear()
            waiting, self._waiting = self._waiting, {}
            self._slots.clear()
            for watcher in waiting:
                self._answer(watcher)
        return {"revision": revision, "at_ns": at_ns, "changed": changed}

    async def _drip(self, every_s: float, random: Random) -> None:
        due = self._loop.time()
        while True:
            due = max(due + every_s, self._loop.time())  # what it is behind is not made up for at once
            await asyncio.sleep(due - self._loop.time())
            back, self._drained = self._drained, None
            if back is not None and self._catalog.phase(back) == "DRAINING":
                self._catalog.change([back], "SERVING", up_since_ms=_unix_ms())
                self._tell(1)
            elif serving := self._catalog.entries("SERVING"):
                self._drained = random.choice(serving).id
                self._catalog.change([self._drained], "DRAINING")
                self._tell(1)

    # The network

    async def _listen(self) -> None:
        assert self._holder is not None
        self._socket = sock = _bound(self._holder.getsockname()[1])
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)  # of its connections too
        self._listener = await self._loop.create_server(
            lambda: Watcher(self), sock=sock.dup(), backlog=ACCEPTS
        )
        sock.listen(BACKLOG)  # asyncio's backlog is both: what waits in the kernel, and accepts in one turn

    async def _vanish(self) -> None:
        """Refuse new connections and reset the present ones."""
        if self._socket is not None:
            self._socket.close()  # resets those that were not accepted yet
            self._socket = None
        for watcher in self._open:
            watcher.reset()
        if self._open:
            self._none_open.clear()
            await self._none_open.wait()

    def came(self, watcher: Watcher) -> None:
        self.counts.connections += 1
        self._open.add(watcher)
        if self._socket is None:
            watcher.reset()

    def left(self, watcher: Watcher) -> None:
        """Its call needs no answer; may come twice."""
        if watcher in self._waiting:
            del self._waiting[watcher]
            del self._slots[watcher.slot][watcher]
            self.counts.left += 1
        elif watcher in self._queue:
            del self._queue[watcher]
            self.counts.left += 1

    def lost(self, watcher: Watcher) -> None:
        self._open.discard(watcher)
        self.drained(watcher)
        if not self._open:
            self._none_open.set()

    # Calls

    def take(self, watcher: Watcher, request: HttpMessage | HttpError) -> None:
        self._arrived()
        if self._outage is not None:
            self.counts.failed += 1
            return
        try:
            if isinstance(request, HttpError):
                raise request
            watcher.index, wait_ms = _asked(request)
        except HttpError as e:
            return self._refuse(watcher, e.status)
        watcher.held, watcher.keep_alive = True, request.keep_alive
        if wait_ms and watcher.index == self._catalog.revision:
            watcher.slot = int((self._loop.time() + wait_ms / 1000) / SLOT_S)
            self._waiting[watcher] = self._slots[watcher.slot][watcher] = None
            self.counts.waiting_most = max(self.counts.waiting_most, len(self._waiting))
        else:
            self._answer(watcher)

    def _refuse(self, watcher: Watcher, status: int) -> None:
        self.counts.failed += 1
        message = encode_response(status, [("Connection", "close")], b"")
        self.counts.bytes_out += len(message)
        watcher.send(message)
        watcher.finish_sending()
        watcher.close()

    def _arrived(self) -> None:
        self.counts.calls += 1
        now = time.monotonic_ns()
        self._arrivals.append(now)
        while self._arrivals[0] <= now - BURST_NS:
            self._arrivals.popleft()
        self.counts.most_calls_in_100ms = max(self.counts.most_calls_in_100ms, len(self._arrivals))

    def _tick(self) -> None:
        """Answer those whose wait is over."""
        self._ticking = self._loop.call_later(SLOT_S, self._tick)
        now = int(self._loop.time() / SLOT_S)
        for slot in range(self._slot, now):
            for watcher in self._slots.pop(slot, ()):
                del self._waiting[watcher]
                self._answer(watcher)
        self._slot = now

    def _answer(self, watcher: Watcher) -> None:
        if len(self._message(self._catalog.base(watcher.index))) <= LARGE:
            self._write(watcher)
            return
        self._queue[watcher] = None
        self.counts.queue_most = max(self.counts.queue_most, len(self._queue))
        self._pump_soon()

    def _pump_soon(self) -> None:
        if self._queue and len(self._writing) < LARGE_AT_ONCE and not self._pumping:
            self._pumping = True
            self._loop.call_soon(self._pump)

    def _pump(self) -> None:
        """Begin as many large answers as there is room for, in one turn of the loop."""
        self._pumping = False
        for _ in range(min(LARGE_AT_ONCE - len(self._writing), len(self._queue))):
            watcher, _none = self._queue.popitem(last=False)
            self._write(watcher)
        self._pump_soon()

    def _write(self, watcher: Watcher) -> None:
        base = self._catalog.base(watcher.index)
        if base is None:
            self.counts.whole += 1
        elif base == self._catalog.revision:
            self.counts.empty += 1
        else:
            self.counts.deltas += 1
        message = self._message(base)
        self.counts.bytes_out += len(message)
        watcher.held = False
        watcher.send(message)
        if not watcher.all_written and len(message) > LARGE:
            self._writing.add(watcher)
        if not watcher.keep_alive:
            watcher.close()

    def _message(self, base: int | None) -> bytes:
        message = self._messages.get(base)
        if message is None:
            body = self._catalog.answer(base)
            message = self._messages[base] = encode_response(
                200, [("Content-Type", "application/json")], body
            )
        return message

    def drained(self, watcher: Watcher) -> None:
        """The kernel has taken the whole answer, or never will."""
        self._writing.discard(watcher)
        self._pump_soon()


def _asked(request: HttpMessage) -> tuple[int | None, int]:
    """The index and the wait in milliseconds of a watch; None and 0 of a call for the whole list."""
    path, mark, query = request.target.partition(b"?")
    if path != ENDPOINT_LIST_PATH.encode():
        raise HttpError(404, "no such path")
    if request.method != b"GET":
        raise HttpError(400, "no such method")
    if not mark:
        return None, 0
    pairs = [pair.partition(b"=")[::2] for pair in query.split(b"&")]
    fields = {name: int(value) for name, value in pairs if value.isdigit() and len(value) < 19}
    if len(pairs) != 2 or fields.keys() != {b"index", b"wait"} or fields[b"wait"] > WAIT_MOST_MS:
        raise HttpError(400, "neither a watch nor a call for the list")
    return fields[b"index"], fields[b"wait"]


def _bound(port: int) -> socket.socket:
    """A socket that does not listen. The port may be shared with others that do not listen either."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, port))
    return sock


def _unix_ms() -> int:
    return time.time_ns() // 1_000_000


async def main() -> None:
    standin = Standin()
    try:
        await serve(standin.commands())
    finally:
        await standin.close()


if __name__ == "__main__":
    run(main)
