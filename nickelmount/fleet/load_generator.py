"""The load generator's process: ``python -m nickelmount.fleet.load_generator``.

It sends the measured requests through agents and directly to endpoints. Arrivals are open loop: the time at
which a request is due does not depend on earlier requests, and its latency is measured from that time. Both
paths run interleaved, with the same code and with connections that are opened in advance, so that they differ
only by the agent. The delay that this process itself adds is measured too: how late it wrote each request.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import math
from collections.abc import Iterator
from dataclasses import dataclass
from time import monotonic_ns
from typing import Any

import msgspec

from .arrivals import arrival_times_ns
from .load_connections import LoadConnectionPool
from .load_messages import LoadSettings
from .precise_loop import PreciseEventLoopPolicy
from .request_statistics import WARM_UP_PHASE, RequestPath
from .request_tracker import RequestTracker
from .role import EmptyAnswer, run, serve, typed_command, usage

# Upper estimate of the time for which one request occupies a connection: its latency and the delay before the
# connection may be reused.
CONNECTION_BUSY_S = 0.03
# The event loop polls without sleeping for this time before a request is due, because waking up from a sleep
# takes 0.2 to 0.3 ms.
POLL_AHEAD_NS = 400_000


@dataclass(frozen=True, slots=True)
class _StreamSettings:
    """The path, the targets and the rate of one stream of requests."""

    path: RequestPath
    name: str
    ports: list[int]
    rate_per_s: float


class RequestStream:
    """A stream of requests on one path at one rate.

    Each request is sent when it is due. The stream uses its connection pools in rotation.
    """

    def __init__(
        self,
        tracker: RequestTracker,
        path: RequestPath,
        pools: list[LoadConnectionPool],
        arrivals_ns: Iterator[int],
    ) -> None:
        self._tracker, self._path, self._pools, self._arrivals_ns = tracker, path, pools, arrivals_ns
        self._loop = asyncio.get_running_loop()
        self._started_ns = self._next_due_ns = 0
        self._next_pool = 0
        self._timer: asyncio.Handle | None = None

    def start(self, at_ns: int) -> None:
        """Start sending; arrival times are relative to the monotonic time `at_ns`."""
        self._started_ns = at_ns
        self._next_due_ns = at_ns + next(self._arrivals_ns)
        self._schedule()

    def stop(self) -> None:
        """Stop sending."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self) -> None:
        wake_ns = self._next_due_ns - POLL_AHEAD_NS
        if monotonic_ns() < wake_ns:  # The loop uses the same clock, in seconds.
            self._timer = self._loop.call_at(wake_ns / 1e9, self._send_due)
        else:
            self._timer = self._loop.call_soon(self._send_due)

    def _send_due(self) -> None:
        """Send all requests that are due.

        There are several of them if the event loop was blocked; the lateness of each is recorded.
        """
        while self._next_due_ns <= monotonic_ns():
            pool = self._pools[self._next_pool]
            self._next_pool = (self._next_pool + 1) % len(self._pools)
            self._tracker.start(pool, self._path, self._next_due_ns)
            self._next_due_ns = self._started_ns + next(self._arrivals_ns)
        self._schedule()


def initial_connection_count(rate_per_s: float) -> int:
    """Return how many connections a port needs at this rate so that almost no request opens a new one.

    The number of busy connections is approximately Poisson distributed. The result covers its mean plus six
    standard deviations.
    """
    mean_busy = rate_per_s * CONNECTION_BUSY_S
    return math.ceil(mean_busy + 6 * math.sqrt(mean_busy)) + 2


class LoadGenerator:
    """All streams of this process. The public coroutines are the commands of the role."""

    def __init__(self) -> None:
        self._tracker: RequestTracker | None = None
        self._pools: list[LoadConnectionPool] = []
        self._streams: list[RequestStream] = []

    async def start(self, settings: LoadSettings) -> EmptyAnswer:
        """Open the connections, then start sending.

        Requests are counted in the phase "warm" until another phase begins. Raises ValueError if a setting is
        invalid or the load generator has already been started, and OSError if a connection cannot be opened.
        """
        if self._tracker is not None:
            raise ValueError("the load generator has already been started")
        streams = _streams(settings)
        arrivals_ns = [
            arrival_times_ns(s.rate_per_s, settings.arrivals, settings.seed, f"{s.path} {s.name}")
            for s in streams
        ]
        self._tracker = tracker = RequestTracker(
            settings.request_class,
            settings.method,
            settings.timeout_ms,
            settings.body_bytes,
            settings.seed,
        )
        tracker.begin_phase(WARM_UP_PHASE)
        for stream, times_ns in zip(streams, arrivals_ns, strict=True):
            pools = await self._open_pools(tracker, stream)
            self._streams.append(RequestStream(tracker, stream.path, pools, times_ns))
        _disable_garbage_collection()
        at_ns = monotonic_ns()
        for request_stream in self._streams:
            request_stream.start(at_ns)
        return EmptyAnswer()

    async def phase(self, name: str) -> EmptyAnswer:
        """Count the requests that are started from now on in the phase with this name."""
        self._require_started().begin_phase(name)
        return EmptyAnswer()

    async def stop(self) -> EmptyAnswer:
        """Stop sending, wait for the requests in flight, and close all connections.

        A request in flight counts as lost, and so ends, at the latest ANSWER_GRACE_S after its timeout.
        """
        tracker = self._require_started()
        for stream in self._streams:
            stream.stop()
        if tracker.in_flight:
            await tracker.all_ended.wait()
        self.close()
        return EmptyAnswer()

    async def results(self) -> dict[str, Any]:
        """Return the statistics by phase and path, and the resource usage; the histograms are in us.

        To be called only after `stop`, because encoding the histograms blocks the event loop.
        """
        tracker = self._require_started()
        return {
            "phases": {
                name: {path: statistics.result() for path, statistics in paths.items()}
                for name, paths in tracker.phases.items()
            },
            **msgspec.structs.asdict(usage()),
        }

    def close(self) -> None:
        """Stop all streams and close all connections."""
        for stream in self._streams:
            stream.stop()
        for pool in self._pools:
            pool.close()

    async def _open_pools(self, tracker: RequestTracker, stream: _StreamSettings) -> list[LoadConnectionPool]:
        pools = [LoadConnectionPool(port, tracker.end) for port in stream.ports]
        self._pools += pools
        for pool in pools:
            await pool.open_connections(initial_connection_count(stream.rate_per_s / len(pools)))
        return pools

    def _require_started(self) -> RequestTracker:
        """Return the request tracker; raises ValueError if the load generator has not been started."""
        if self._tracker is None:
            raise ValueError("the load generator has not been started")
        return self._tracker


def _streams(settings: LoadSettings) -> list[_StreamSettings]:
    streams = []
    if settings.rate > 0:
        streams = [_StreamSettings("through", a.name, [a.port], settings.rate) for a in settings.agents]
    if settings.direct and settings.direct_rate > 0:
        ports = [target.port for target in settings.direct]
        streams.append(_StreamSettings("direct", "", ports, settings.direct_rate))
    return streams


def _disable_garbage_collection() -> None:
    """Run the garbage collector once, then disable it.

    A collection would delay all requests that become due during it. Objects allocated from now on have no
    reference cycles that use a relevant amount of memory.
    """
    gc.collect()
    gc.freeze()
    gc.disable()


async def main() -> None:
    """Run the role until its standard input ends."""
    generator = LoadGenerator()
    try:
        await serve(
            {
                "start": typed_command(LoadSettings, generator.start),
                "phase": generator.phase,
                "stop": generator.stop,
                "results": generator.results,
            }
        )
    finally:
        generator.close()


if __name__ == "__main__":
    logging.basicConfig(format="%(levelname)s %(name)s: %(message)s")
    asyncio.set_event_loop_policy(PreciseEventLoopPolicy())
    run(main)
