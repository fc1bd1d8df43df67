"""Emulated discovery: ``python -m nickelmount.fleet.emulated_discovery``.

It serves an endpoint list on loopback by the protocol's page, changes it and fails on command.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Mapping
from random import Random

import msgspec

from nickelmount.agent.http import HttpMessage, encode_response
from nickelmount.errors import HttpError

from .discovery_messages import (
    DiscoveryCounts,
    DiscoveryStart,
    DiscoveryStarted,
    DiscoveryStatus,
    HistoryAfterOutage,
    ListPublished,
    OutageBegun,
    OutageEnded,
    OutageKind,
    PublishedChange,
)
from .large_responses import LARGE_RESPONSE_BYTES, LargeResponseQueue
from .list_calls import parse_list_call
from .listening_port import ListeningPort
from .role import Command, Nothing, run, serve, typed_command, usage
from .steady_changes import SteadyChanges, unix_time_ms
from .versioned_list import Phase, VersionedList, Where, generate, pick
from .waiting_watches import SLOT_S, WaitingWatches
from .watch_connection import WatchConnection

BURST_WINDOW_NS = 100_000_000  # in which calls are counted for their peak
MAX_PUBLISHED_CHANGES = 100_000  # whose times are kept


class EmulatedDiscovery:
    """Discovery of one run. `commands` are those of its process."""

    def __init__(self) -> None:
        self.counts = DiscoveryCounts()
        self._loop = asyncio.get_running_loop()
        self._list = VersionedList([], 0)
        self._responses: dict[int | None, bytes] = {}  # head and body, by base revision, until a change
        self._outage: OutageKind | None = None
        self._port = ListeningPort(lambda: WatchConnection(self))
        self._connections: set[WatchConnection] = set()
        self._all_disconnected = asyncio.Event()
        # Only watches at the present revision wait; any other is answered at once.
        self._waiting = WaitingWatches(self._loop.time())
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._large_responses = LargeResponseQueue(self._loop, self._respond)
        self._recent_calls_ns: deque[int] = deque()  # within BURST_WINDOW_NS
        self._published: deque[PublishedChange] = deque(maxlen=MAX_PUBLISHED_CHANGES)
        self._steady_changes = SteadyChanges(lambda: self._list, lambda: self._publish(1))

    # Commands

    def commands(self) -> Mapping[str, Command]:
        """Return the commands of the process, by their names on the wire."""
        return {
            "start": typed_command(DiscoveryStart, self.start),
            "change": self.change,
            "begin_outage": self.begin_outage,
            "end_outage": self.end_outage,
            "drip": self.set_steady_changes,
            "counts": self.status,
            "made": self.published_changes,
        }

    async def start(self, settings: DiscoveryStart) -> DiscoveryStarted:
        """Generate a list and serve it; raises ValueError where it has started before."""
        if self._port.is_reserved:
            raise ValueError("started already")
        self._list = VersionedList(generate(settings), settings.history, settings.revision)
        self._port.reserve()
        await self._port.open()
        self._answer_expired()
        return DiscoveryStarted(
            port=self._port.number,
            revision=self._list.revision,
            list_bytes=len(self._list.response_body(None)),
            at_ns=time.monotonic_ns(),
        )

    async def change(
        self,
        phase: Phase,
        share: float | None = None,
        count: int | None = None,
        where: Where = "any",
        seed: int = 0,
        replaced: bool = False,
    ) -> ListPublished:
        """Publish one revision, in which servers change to `phase`.

        SERVING: all that do not serve are ready again, those deleted under new ids where `replaced`. Any
        other phase: a share or a count of those that serve, or all of them in one place, drawn with `seed`.
        """
        msgspec.convert(phase, Phase)
        random = Random(seed)
        if phase == "SERVING":
            restored = self._list.restore(unix_time_ms(), random if replaced else None)
            return self._publish(len(restored))
        ids = pick(self._list.entries("SERVING"), where, random, share=share, count=count)
        self._list.change(ids, phase)
        return self._publish(len(ids))

    async def begin_outage(self, kind: OutageKind) -> OutageBegun:
        """Fail from now on; raises ValueError where it has not started or is down.

        "refused": the port is closed, and all connections are reset. "silent": connections stay, the kernel
        alone accepts new ones, and no call is answered; only a response that has begun is written on.
        """
        if self._outage is not None or not self._port.is_accepting:
            raise ValueError("no discovery to fail")
        self._outage = msgspec.convert(kind, OutageKind)
        at_ns = time.monotonic_ns()
        self._port.stop_accepting()
        self.counts.failed += len(self._waiting.remove_all()) + self._large_responses.remove_all()
        if kind == "refused":
            await self._disconnect_all()
        return OutageBegun(at_ns)

    async def end_outage(self, history: HistoryAfterOutage = "kept") -> OutageEnded:
        """Serve again; raises ValueError where there is no outage.

        Connections that remain are reset, those included that only the kernel has accepted.
        """
        if self._outage is None:
            raise ValueError("no outage")
        msgspec.convert(history, HistoryAfterOutage)
        await self._disconnect_all()
        if history != "kept":
            self._list.forget_history(renumber=history == "renumbered")
            self._responses.clear()
        self._outage = None
        await self._port.open()
        return OutageEnded(time.monotonic_ns(), self._list.revision)

    async def set_steady_changes(self, per_s: float, seed: int = 0) -> Nothing:
        """Publish so many single changes a second from now on; 0: none any more."""
        self._steady_changes.stop()
        if per_s > 0:
            self._steady_changes.start(per_s, seed)
        return Nothing()

    async def status(self) -> DiscoveryStatus:
        """Return the counts since the start, the state and the usage."""
        used = usage()
        return DiscoveryStatus(
            **msgspec.structs.asdict(self.counts),
            open_connections=len(self._connections),
            waiting=len(self._waiting),
            queued=len(self._large_responses),
            revision=self._list.revision,
            cpu_s=used.cpu_s,
            rss_mb=used.rss_mb,
        )

    async def published_changes(self) -> dict[str, list[PublishedChange]]:
        """Return the latest changes, the oldest first."""
        return {"changes": list(self._published)}

    def serving_ids(self) -> set[str]:
        """Return the ids of the servers that serve."""
        return {entry.id for entry in self._list.entries("SERVING")}

    async def close(self) -> None:
        """Stop serving, and give the port back."""
        self._steady_changes.stop()
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        self._port.stop_accepting()
        await self._disconnect_all()
        self._port.release()

    # Changes

    def _publish(self, changed: int) -> ListPublished:
        """Answer all watches that wait for the change just made to `changed` entries."""
        at_ns = time.monotonic_ns()
        revision = self._list.revision
        if changed:
            self._published.append(PublishedChange(revision, at_ns, changed))
            self._responses.clear()
            for connection in self._waiting.remove_all():
                self._answer(connection)
        return ListPublished(revision, at_ns, changed)

    # Connections

    async def _disconnect_all(self) -> None:
        """Refuse new connections and reset the present ones."""
        self._port.refuse()
        for connection in self._connections:
            connection.reset()
        if self._connections:
            self._all_disconnected.clear()
            await self._all_disconnected.wait()

    def on_connected(self, connection: WatchConnection) -> None:
        """Count a connection; one that came up while the port was closed is reset."""
        self.counts.connections += 1
        self._connections.add(connection)
        if not self._port.is_open:
            connection.reset()

    def on_bytes_received(self, number: int) -> None:
        """Count bytes."""
        self.counts.bytes_received += number

    def on_abandoned(self, connection: WatchConnection) -> None:
        """Forget the call of a connection, where it waits or its response is queued."""
        if self._waiting.remove(connection) or self._large_responses.remove(connection):
            self.counts.abandoned += 1

    def on_all_written(self, connection: WatchConnection) -> None:
        """Make room for the next large response."""
        self._large_responses.mark_written(connection)

    def on_disconnected(self, connection: WatchConnection) -> None:
        """Forget a connection that has closed."""
        self._connections.discard(connection)
        self._large_responses.mark_written(connection)
        if not self._connections:
            self._all_disconnected.set()

    # Calls

    def on_request(self, connection: WatchConnection, request: HttpMessage | HttpError) -> None:
        """Answer a call, let it wait for a change, or refuse what is none."""
        self._count_call()
        if self._outage is not None:
            self.counts.failed += 1
            return
        try:
            if isinstance(request, HttpError):
                raise request
            call = parse_list_call(request)
        except HttpError as error:
            return self._refuse(connection, error.status)
        connection.call = call
        if call.wait_ms and call.index == self._list.revision:
            self._waiting.add(connection, self._loop.time(), call.wait_ms)
            self.counts.peak_waiting = max(self.counts.peak_waiting, len(self._waiting))
        else:
            self._answer(connection)

    def _count_call(self) -> None:
        self.counts.calls += 1
        now_ns = time.monotonic_ns()
        self._recent_calls_ns.append(now_ns)
        while self._recent_calls_ns[0] <= now_ns - BURST_WINDOW_NS:
            self._recent_calls_ns.popleft()
        self.counts.peak_calls_in_100_ms = max(self.counts.peak_calls_in_100_ms, len(self._recent_calls_ns))

    def _refuse(self, connection: WatchConnection, status: int) -> None:
        self.counts.failed += 1
        response = encode_response(status, [("Connection", "close")], b"")
        self.counts.bytes_sent += len(response)
        connection.send(response)
        connection.finish_sending()
        connection.close()

    def _answer_expired(self) -> None:
        """Answer the watches whose wait has ended, now and then once a slot."""
        self._expiry_timer = self._loop.call_later(SLOT_S, self._answer_expired)
        for connection in self._waiting.remove_expired(self._loop.time()):
            self._answer(connection)

    def _answer(self, connection: WatchConnection) -> None:
        """Answer a call now, or in its turn where the response is large."""
        assert connection.call is not None
        base = self._list.base_revision(connection.call.index)
        if len(self._response(base)) <= LARGE_RESPONSE_BYTES:
            self._respond(connection)
            return
        self._large_responses.add(connection)
        self.counts.peak_queued = max(self.counts.peak_queued, len(self._large_responses))
        self._large_responses.schedule()

    def _respond(self, connection: WatchConnection) -> None:
        """Write the response with what is known by now."""
        call, connection.call = connection.call, None
        assert call is not None
        base = self._list.base_revision(call.index)
        self._count_response(base)
        response = self._response(base)
        self.counts.bytes_sent += len(response)
        connection.send(response)
        if not connection.all_written and len(response) > LARGE_RESPONSE_BYTES:
            self._large_responses.mark_writing(connection)
        if not call.keep_alive:
            connection.close()

    def _count_response(self, base: int | None) -> None:
        if base is None:
            self.counts.complete_lists += 1
        elif base == self._list.revision:
            self.counts.empty += 1
        else:
            self.counts.deltas += 1

    def _response(self, base: int | None) -> bytes:
        """Return the response to a client that has revision `base`; None: with the complete list."""
        response = self._responses.get(base)
        if response is None:
            body = self._list.response_body(base)
            response = encode_response(200, [("Content-Type", "application/json")], body)
            self._responses[base] = response
        return response


async def main() -> None:
    """Run the role until its input ends."""
    discovery = EmulatedDiscovery()
    try:
        await serve(discovery.commands())
    finally:
        await discovery.close()


if __name__ == "__main__":
    run(main)
