"""The load generator's process: ``python -m nickelmount.fleet.load_generator``.

It sends the requests that are measured, through agents and directly to endpoints. Arrivals are open loop: a
request is due at its time whatever became of the ones before it, and its latency counts from then. Both paths
use the same code, interleaved, on connections opened ahead, so that they differ by the agent alone. What this
process adds itself is measured too: how late it wrote each request.
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

CONNECTION_BUSY_S = 0.03  # with one request: its answer and the delay until reuse, as an upper estimate
POLL_AHEAD_NS = 400_000  # before a request is due the loop only polls: to wake up takes 0.2 to 0.3 ms


@dataclass(frozen=True, slots=True)
class _StreamSettings:
    path: RequestPath
    name: str
    ports: list[int]
    rate_per_s: float


class RequestStream:
    """The requests of one path at one rate, each sent when it is due, to the pools in turn."""

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
        """Send from now on; arrivals count from `at_ns` of the monotonic clock."""
        self._started_ns = at_ns
        self._next_due_ns = at_ns + next(self._arrivals_ns)
        self._schedule()

    def stop(self) -> None:
        """Send no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self) -> None:
        wake_ns = self._next_due_ns - POLL_AHEAD_NS
        if monotonic_ns() < wake_ns:  # the loop's clock is the same, in seconds
            self._timer = self._loop.call_at(wake_ns / 1e9, self._send_due)
        else:
            self._timer = self._loop.call_soon(self._send_due)

    def _send_due(self) -> None:
        """Send all that is due: several requests after the loop was blocked, each with its own lateness."""
        while self._next_due_ns <= monotonic_ns():
            pool = self._pools[self._next_pool]
            self._next_pool = (self._next_pool + 1) % len(self._pools)
            self._tracker.start(pool, self._path, self._next_due_ns)
            self._next_due_ns = self._started_ns + next(self._arrivals_ns)
        self._schedule()


def connections_ahead(rate_per_s: float) -> int:
    """Return how many connections a port needs at this rate, so that hardly any request opens a new one.

    The number that is busy is close to Poisson: its mean and six times its standard deviation.
    """
    mean_busy = rate_per_s * CONNECTION_BUSY_S
    return math.ceil(mean_busy + 6 * math.sqrt(mean_busy)) + 2


class LoadGenerator:
    """The role: all streams of this process. Its public coroutines are the commands."""

    def __init__(self) -> None:
        self._tracker: RequestTracker | None = None
        self._pools: list[LoadConnectionPool] = []
        self._streams: list[RequestStream] = []

    async def start(self, settings: LoadSettings) -> EmptyAnswer:
        """Open the connections, then send; requests count in the phase "warm" until another is named.

        Raises ValueError where the settings make no sense or it has started before, and OSError where a port
        cannot be connected to.
        """
        if self._tracker is not None:
            raise ValueError("started already")
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
        """Count requests due from now on in the phase of this name."""
        self._require_started().begin_phase(name)
        return EmptyAnswer()

    async def stop(self) -> EmptyAnswer:
        """Send no more, and wait for the requests in flight, each of which ends by its timeout."""
        tracker = self._require_started()
        for stream in self._streams:
            stream.stop()
        if tracker.in_flight:
            await tracker.all_ended.wait()
        self.close()
        return EmptyAnswer()

    async def results(self) -> dict[str, Any]:
        """Return the statistics by phase and path; times in the histograms are in us.

        Only after `stop`: encoding them blocks the loop.
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
            await pool.open_ahead(connections_ahead(stream.rate_per_s / len(pools)))
        return pools

    def _require_started(self) -> RequestTracker:
        if self._tracker is None:
            raise ValueError("not started")
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
    """Collect once and never again: a collection would delay all requests that are due meanwhile.

    What is allocated from now on has no reference cycles that matter.
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
