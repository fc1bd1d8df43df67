"""Emulated discovery: ``python -m nickelmount.fleet.emulated_discovery``.

It serves an endpoint list on loopback as the protocol's documentation describes. On command it changes the
list and simulates outages.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Mapping
from random import Random

import msgspec

from nickelmount.agent.http_encoding import encode_response
from nickelmount.agent.http_message import HttpMessage
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
from .role import Command, EmptyAnswer, run, serve, typed_command, usage
from .steady_changes import SteadyChanges, unix_time_ms
from .versioned_list import ChangeScope, Phase, VersionedList, generate_entries, pick_server_ids
from .waiting_watches import SLOT_S, WaitingWatches
from .watch_connection import WatchConnection

BURST_WINDOW_NS = 100_000_000  # Time window over which the peak number of calls is counted.
MAX_PUBLISHED_CHANGES = 100_000  # Number of changes whose times are kept.


class EmulatedDiscovery:
    """Emulated discovery for one run. `commands` returns the commands of its process."""

    def __init__(self) -> None:
        self.counts = DiscoveryCounts()
        self._loop = asyncio.get_running_loop()
        self._list = VersionedList([], 0)
        # Encoded responses, with head and body, by their base revision. A change clears them.
        self._responses: dict[int | None, bytes] = {}
        self._outage: OutageKind | None = None
        self._port = ListeningPort(lambda: WatchConnection(self))
        self._connections: set[WatchConnection] = set()
        self._all_disconnected = asyncio.Event()
        # Only watches of the current revision wait; any other watch is answered at once.
        self._waiting = WaitingWatches(self._loop.time())
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._large_responses = LargeResponseQueue(self._loop, self._respond)
        # Monotonic times in ns of the calls within the latest BURST_WINDOW_NS.
        self._recent_calls_ns: deque[int] = deque()
        self._published: deque[PublishedChange] = deque(maxlen=MAX_PUBLISHED_CHANGES)
        self._steady_changes = SteadyChanges(lambda: self._list, lambda: self._publish(1))

    # Commands

    def commands(self) -> Mapping[str, Command]:
        """Return the commands of the process by their names on the wire."""
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
        """Generate a list and serve it; raises ValueError if discovery has already been started."""
        if self._port.is_reserved:
            raise ValueError("discovery has already been started")
        self._list = VersionedList(generate_entries(settings), settings.history, settings.revision)
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
        where: ChangeScope = "any",
        seed: int = 0,
        replaced: bool = False,
    ) -> ListPublished:
        """Publish one revision in which servers change to `phase`.

        With SERVING, all servers that are draining or deleted return; deleted ones get new ids if `replaced`.
        With any other phase, the servers are chosen at random with `seed` among those that serve: a share or
        a count of them if `where` is "any", otherwise all of them in one rack, zone or region.
        """
        msgspec.convert(phase, Phase)
        random = Random(seed)
        if phase == "SERVING":
            restored = self._list.restore(unix_time_ms(), random if replaced else None)
            return self._publish(len(restored))
        ids = pick_server_ids(self._list.entries("SERVING"), where, random, share=share, count=count)
        self._list.change(ids, phase)
        return self._publish(len(ids))

    async def begin_outage(self, kind: OutageKind) -> OutageBegun:
        """Begin an outage; raises ValueError if discovery has not been started or is already down.

        With the kind "refused", the port is closed and all connections are reset. With the kind "silent",
        connections stay open, new ones are accepted by the kernel alone, and no call is answered; a response
        that has been begun is still written to its end.
        """
        if self._outage is not None or not self._port.is_accepting:
            raise ValueError("discovery has not been started or is already down")
        self._outage = msgspec.convert(kind, OutageKind)
        at_ns = time.monotonic_ns()
        self._port.stop_accepting()
        self.counts.failed += len(self._waiting.remove_all()) + self._large_responses.remove_all()
        if kind == "refused":
            await self._disconnect_all()
        return OutageBegun(at_ns)

    async def end_outage(self, history: HistoryAfterOutage = "kept") -> OutageEnded:
        """End the outage and serve again; raises ValueError if there is no outage.

        The remaining connections are reset, including those that only the kernel has accepted.
        """
        if self._outage is None:
            raise ValueError("discovery is not down")
        msgspec.convert(history, HistoryAfterOutage)
        await self._disconnect_all()
        if history != "kept":
            self._list.forget_history(renumber=history == "renumbered")
            self._responses.clear()
        self._outage = None
        await self._port.open()
        return OutageEnded(time.monotonic_ns(), self._list.revision)

    async def set_steady_changes(self, per_s: float, seed: int = 0) -> EmptyAnswer:
        """Publish `per_s` changes of one server each per second from now on; 0 stops them."""
        self._steady_changes.stop()
        if per_s > 0:
            self._steady_changes.start(per_s, seed)
        return EmptyAnswer()

    async def status(self) -> DiscoveryStatus:
        """Return the counts since the start, the current state and the resource usage."""
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
        """Return the latest changes in order of time."""
        return {"changes": list(self._published)}

    def serving_ids(self) -> set[str]:
        """Return the ids of the servers that serve."""
        return {entry.id for entry in self._list.entries("SERVING")}

    async def close(self) -> None:
        """Stop serving, and release the port."""
        self._steady_changes.stop()
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        self._port.stop_accepting()
        await self._disconnect_all()
        self._port.release()

    # Changes

    def _publish(self, changed_entries: int) -> ListPublished:
        """Record a change of `changed_entries` entries, and answer all waiting watches.

        If no entry has changed, nothing is recorded or answered.
        """
        at_ns = time.monotonic_ns()
        revision = self._list.revision
        if changed_entries:
            self._published.append(PublishedChange(revision, at_ns, changed_entries))
            self._responses.clear()
            for connection in self._waiting.remove_all():
                self._answer(connection)
        return ListPublished(revision, at_ns, changed_entries)

    # Connections

    async def _disconnect_all(self) -> None:
        """Refuse new connections, reset the existing ones, and wait until they have closed."""
        self._port.refuse()
        for connection in self._connections:
            connection.reset()
        if self._connections:
            self._all_disconnected.clear()
            await self._all_disconnected.wait()

    def on_connected(self, connection: WatchConnection) -> None:
        """Count a new connection, and reset it if the port has been closed meanwhile."""
        self.counts.connections += 1
        self._connections.add(connection)
        if not self._port.is_open:
            connection.reset()

    def on_bytes_received(self, number: int) -> None:
        """Count received bytes."""
        self.counts.bytes_received += number

    def on_abandoned(self, connection: WatchConnection) -> None:
        """Discard the call of a connection if it is waiting or its response is queued."""
        if self._waiting.remove(connection) or self._large_responses.remove(connection):
            self.counts.abandoned += 1

    def on_all_written(self, connection: WatchConnection) -> None:
        """Free the place of a large response that has been written, so that the next one can begin."""
        self._large_responses.mark_written(connection)

    def on_disconnected(self, connection: WatchConnection) -> None:
        """Remove a connection that has closed."""
        self._connections.discard(connection)
        self._large_responses.mark_written(connection)
        if not self._connections:
            self._all_disconnected.set()

    # Calls

    def on_request(self, connection: WatchConnection, request: HttpMessage | HttpError) -> None:
        """Answer a call, let it wait for a change, or reject a request that is not a call."""
        self._count_call()
        if self._outage is not None:
            self.counts.failed += 1
            return
        try:
            if isinstance(request, HttpError):
                raise request
            call = parse_list_call(request)
        except HttpError as error:
            return self._reject(connection, error.status)
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

    def _reject(self, connection: WatchConnection, status: int) -> None:
        self.counts.failed += 1
        response = encode_response(status, [("Connection", "close")], b"")
        self.counts.bytes_sent += len(response)
        connection.send(response)
        connection.finish_sending()
        connection.close()

    def _answer_expired(self) -> None:
        """Answer the watches whose wait has ended, and repeat this every SLOT_S."""
        self._expiry_timer = self._loop.call_later(SLOT_S, self._answer_expired)
        for connection in self._waiting.remove_expired(self._loop.time()):
            self._answer(connection)

    def _answer(self, connection: WatchConnection) -> None:
        """Answer a call at once, or queue its response if that is large."""
        assert connection.call is not None
        base = self._list.base_revision(connection.call.index)
        if len(self._response(base)) <= LARGE_RESPONSE_BYTES:
            self._respond(connection)
            return
        self._large_responses.add(connection)
        self.counts.peak_queued = max(self.counts.peak_queued, len(self._large_responses))
        self._large_responses.schedule()

    def _respond(self, connection: WatchConnection) -> None:
        """Write the response to a call, with the list as it is at this time."""
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
        """Return the encoded response to a client that has revision `base`.

        If `base` is None, the response is the complete list.
        """
        response = self._responses.get(base)
        if response is None:
            body = self._list.response_body(base)
            response = encode_response(200, [("Content-Type", "application/json")], body)
            self._responses[base] = response
        return response


async def main() -> None:
    """Run the role until its standard input ends."""
    discovery = EmulatedDiscovery()
    try:
        await serve(discovery.commands())
    finally:
        await discovery.close()


if __name__ == "__main__":
    run(main)
