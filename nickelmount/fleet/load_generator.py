"""The calls that are measured, through agents and directly: ``python -m nickelmount.fleet.load_generator``.

Arrivals are open loop: a call is due at its time whatever became of the ones before it, and its wait counts
from then. Both paths take the same code, interleaved, on connections opened ahead, so that they differ by the
agent alone. What this process adds itself is counted too: how late it wrote each call.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import math
import select
import selectors
from collections import deque
from collections.abc import Iterator
from itertools import accumulate, count
from random import Random
from time import monotonic_ns
from typing import Any

from hdrh.histogram import HdrHistogram
from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from nickelmount.agent.http import encode_request

from . import role

log = logging.getLogger(__name__)

HIGHEST_US, DIGITS = 60_000_000, 3  # of the histograms
GRACE_S = 0.5  # past its own time; then a call without an answer is lost
# The agent lets a connection to a map server rest for so long after each answer. Direct calls do too, and
# calls to the agents too, so that neither path finds its connections warmer than the other.
REST_NS = 10_000_000
BUSY_S = 0.03  # rest and answer of one call, for the number of connections opened ahead
KINDS = {200: "served", 429: "refused", 503: "refused"}  # of answers by status; any other has failed
POLL_NS = 400_000  # before a call is due the loop only polls: to wake up takes 0.2 to 0.3 ms
MARK = b"\0id\0"  # stands for the Request-Id in a template


class PreciseSelector(selectors.EpollSelector):
    """epoll waits in whole milliseconds, rounded up, and calls would be late by 0.7 ms in the mean. select
    waits in microseconds; on the descriptor of epoll alone it costs one more system call a turn.
    """

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is not None and timeout > 0:
            select.select((self.fileno(),), (), (), timeout)
            timeout = 0
        return super().select(timeout)


class PrecisePolicy(asyncio.DefaultEventLoopPolicy):
    """Loops with timers finer than a millisecond."""

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        return asyncio.SelectorEventLoop(PreciseSelector())


def due_times(rate: float, arrivals: str, seed: int, name: str) -> Iterator[int]:
    """When the calls of one stream are due, in ns after its start: the same for the same seed and name.

    `arrivals` is "poisson" or "even"; an even stream begins somewhere in its first interval, or all streams
    would fall together.
    """
    random = Random(f"{seed} {name}")
    if arrivals == "even":
        first = random.random()
        return (int((first + n) / rate * 1e9) for n in count())
    if arrivals == "poisson":
        return (int(s * 1e9) for s in accumulate(random.expovariate(rate) for _ in count()))
    raise ValueError(f"arrivals are poisson or even, not {arrivals}")


class Figures:
    """What became of the calls of one path that were due in one phase.

    Every call that has ended is in `from_due`, a lost one with the time that it was waited for; one that was
    never written, since no connection came up, is in none of the other histograms.
    """

    def __init__(self) -> None:
        self.from_due, self.from_written, self.lateness = (
            HdrHistogram(1, HIGHEST_US, DIGITS) for _ in range(3)
        )
        self.ends = {"served": 0, "refused": 0, "failed": 0, "lost": 0}
        self.calls = 0
        self.waited = 0  # calls that found no connection ready; their times hold a handshake

    def result(self) -> dict[str, Any]:
        histograms = {
            name: getattr(self, name).encode().decode() for name in ("from_due", "from_written", "lateness")
        }
        return {**histograms, "calls": self.calls, "waited": self.waited, **self.ends}


def _record(histogram: HdrHistogram, ns: int) -> None:
    histogram.record_value(min(HIGHEST_US, max(0, ns) // 1000))


class Call:
    """One request, from when it is due to its one end."""

    __slots__ = ("due_ns", "written_ns", "message", "figures", "timer", "connection")

    def __init__(self, due_ns: int, message: bytes, figures: Figures) -> None:
        self.due_ns, self.message, self.figures = due_ns, message, figures
        self.written_ns = 0
        self.timer: asyncio.TimerHandle | None = None
        self.connection: Connection | None = None


class Connection(asyncio.Protocol):
    """A kept connection; one call at a time."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._parser: HttpResponseParser | None = HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._came_ns = 0
        self.call: Call | None = None
        self.used_ns = 0

    def send(self, call: Call) -> None:
        assert self._transport is not None
        self.call, call.connection = call, self
        message, write = call.message, self._transport.write
        call.written_ns = monotonic_ns()
        write(message)

    def usable(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def abort(self) -> None:
        self.call = None
        self._pool.forget(self)
        if self._transport is not None:
            self._transport.abort()

    # asyncio's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._pool.closed:
            transport.abort()
        else:
            self._pool.all.add(self)

    def data_received(self, data: bytes) -> None:
        self._came_ns = monotonic_ns()
        if self.call is None:
            return self._unasked()
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as e:
            log.warning("port %d: unreadable answer: %s", self._pool.port, e)
            call = self.call
            self.abort()
            if call is not None:
                self._pool.calls.end(call, "failed", self._came_ns)

    def connection_lost(self, exc: Exception | None) -> None:
        call, self.call, self._parser = self.call, None, None  # parser and connection hold each other
        self._pool.forget(self)
        if call is not None:
            self._pool.calls.end(call, "lost", monotonic_ns())

    # llhttp's side

    def on_message_complete(self) -> None:
        parser, call = self._parser, self.call
        assert parser is not None
        status = parser.get_status_code()
        if status < 200:
            return
        if call is None:
            return self._unasked()
        self.call = None
        keep = parser.should_keep_alive()
        self._pool.calls.end(call, KINDS.get(status, "failed"), self._came_ns)
        if keep:
            self.used_ns = self._came_ns
            self._pool.ready.append(self)
        else:
            self.abort()

    def _unasked(self) -> None:
        log.warning("port %d: bytes that no call asked for", self._pool.port)
        self.abort()


class Pool:
    """The connections to one port of 127.0.0.1, used in turn."""

    def __init__(self, calls: Calls, port: int) -> None:
        self.calls, self.port = calls, port
        self.ready: deque[Connection] = deque()  # by the time of their last use, the longest ago first
        self.all: set[Connection] = set()
        self._opening: set[asyncio.Task[None]] = set()
        self.closed = False

    async def open(self) -> Connection:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(lambda: Connection(self), "127.0.0.1", self.port)
        return connection

    async def open_ahead(self, number: int) -> None:
        self.ready.extend(await asyncio.gather(*(self.open() for _ in range(number))))

    def send(self, call: Call) -> None:
        """On the connection that has rested longest, or on a new one where all are busy or rest."""
        rested = monotonic_ns() - REST_NS
        while self.ready and self.ready[0].used_ns <= rested:
            connection = self.ready.popleft()
            if connection.usable():
                return connection.send(call)
        call.figures.waited += 1
        task = asyncio.get_running_loop().create_task(self._send_on_new(call))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _send_on_new(self, call: Call) -> None:
        try:
            connection = await self.open()
        except OSError:  # nobody has got the call
            if call.timer is not None:
                self.calls.end(call, "failed", monotonic_ns())
            return
        if call.timer is not None:
            connection.send(call)
        elif connection.usable():
            self.ready.appendleft(connection)

    def forget(self, connection: Connection) -> None:
        self.all.discard(connection)
        with contextlib.suppress(ValueError):
            self.ready.remove(connection)

    def close(self) -> None:
        self.closed = True
        self.ready.clear()
        for task in self._opening:
            task.cancel()
        for connection in list(self.all):
            connection.abort()


class Calls:
    """What all streams share: how a request looks, the phase, and how calls end."""

    def __init__(self, request_class: str, method: str, timeout_ms: int, body_bytes: int, seed: int) -> None:
        if timeout_ms < 1 or body_bytes < 0 or (method == "GET" and body_bytes):
            raise ValueError("timeout_ms from 1 and body_bytes from 0 are wanted, and none with GET")
        template = encode_request(
            method.encode(),
            b"/api",
            [
                (b"Host", b"origin.svc"),
                (b"Request-Class", request_class.encode()),
                (b"Request-Timeout-Ms", b"%d" % timeout_ms),
                (b"Request-Id", MARK),
            ],
            b"x" * body_bytes,
        )
        self._before, self._after = template.split(MARK)
        self._life_s = timeout_ms / 1000 + GRACE_S
        self._run, self._numbers = Random(f"{seed} ids").getrandbits(32), count()
        self._loop = asyncio.get_running_loop()
        self.phases: dict[str, dict[str, Figures]] = {}
        self.now: dict[str, Figures] = {}  # of the phase that runs, by path
        self.open = 0
        self.none_open = asyncio.Event()

    def begin(self, phase: str) -> None:
        """Calls due from now on count in this phase; in one that was named before they are added."""
        if phase not in self.phases:
            self.phases[phase] = {"through": Figures(), "direct": Figures()}
        self.now = self.phases[phase]

    def start(self, pool: Pool, path: str, due_ns: int) -> None:
        """Send a call that is due."""
        figures = self.now[path]
        message = b"%s%08x%08x%s" % (self._before, self._run, next(self._numbers), self._after)
        call = Call(due_ns, message, figures)
        call.timer = self._loop.call_later(self._life_s, self._give_up, call)
        figures.calls += 1
        self.open += 1
        self.none_open.clear()
        pool.send(call)

    def end(self, call: Call, how: str, at_ns: int) -> None:
        """Count a call, once; whoever ends it has seen to its connection."""
        assert call.timer is not None
        call.timer.cancel()
        call.timer = call.connection = None
        figures = call.figures
        figures.ends[how] += 1
        _record(figures.from_due, at_ns - call.due_ns)
        if call.written_ns:
            _record(figures.from_written, at_ns - call.written_ns)
            _record(figures.lateness, call.written_ns - call.due_ns)
        self.open -= 1
        if not self.open:
            self.none_open.set()

    def _give_up(self, call: Call) -> None:
        # Its answer may still come: the connection is of no use to another call.
        if call.connection is not None:
            call.connection.abort()
        self.end(call, "lost", monotonic_ns())


class Stream:
    """The calls of one path at one rate, each sent when it is due."""

    def __init__(self, calls: Calls, path: str, pools: list[Pool], due: Iterator[int]) -> None:
        self._calls, self._path, self._pools, self._due = calls, path, pools, due
        self._loop = asyncio.get_running_loop()
        self._began_ns = self._next_ns = 0
        self._turn = 0
        self._timer: asyncio.Handle | None = None

    def start(self, at_ns: int) -> None:
        self._began_ns = at_ns
        self._next_ns = at_ns + next(self._due)
        self._wait()

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _wait(self) -> None:
        wake_ns = self._next_ns - POLL_NS
        if monotonic_ns() < wake_ns:  # the loop's clock is the same, in seconds
            self._timer = self._loop.call_at(wake_ns / 1e9, self._send_due)
        else:
            self._timer = self._loop.call_soon(self._send_due)

    def _send_due(self) -> None:
        """All that is due: after a hold several calls are, and each counts its own wait."""
        while self._next_ns <= monotonic_ns():
            pool = self._pools[self._turn]
            self._turn = (self._turn + 1) % len(self._pools)
            self._calls.start(pool, self._path, self._next_ns)
            self._next_ns = self._began_ns + next(self._due)
        self._wait()


def ahead(rate: float) -> int:
    """How many connections a port needs for so many calls a second, that hardly any waits for a new one."""
    busy = rate * BUSY_S
    return math.ceil(busy + 6 * math.sqrt(busy)) + 2


class Caller:
    """The role: all streams of this process."""

    def __init__(self) -> None:
        self._calls: Calls | None = None
        self._pools: list[Pool] = []
        self._streams: list[Stream] = []

    async def start(
        self,
        agents: list[dict[str, Any]],
        direct: list[dict[str, Any]],
        rate: float,
        direct_rate: float,
        arrivals: str,
        seed: int,
        request_class: str,
        method: str,
        timeout_ms: int,
        body_bytes: int,
    ) -> dict[str, Any]:
        """Open the connections, then call: every agent at `rate` a second, the direct ports in turn at
        `direct_rate` in all; 0 leaves a path out. Figures go into the phase "warm" till another is named.
        """
        if self._calls is not None:
            raise ValueError("started already")
        wanted = [("through", str(a["name"]), [int(a["port"])], rate) for a in agents if rate > 0]
        if direct and direct_rate > 0:
            wanted.append(("direct", "", [int(d["port"]) for d in direct], direct_rate))
        due = [due_times(r, arrivals, seed, f"{path} {name}") for path, name, _, r in wanted]
        self._calls = calls = Calls(request_class, method, timeout_ms, body_bytes, seed)
        calls.begin("warm")
        for (path, _, ports, r), times in zip(wanted, due, strict=True):
            pools = [Pool(calls, port) for port in ports]
            self._pools += pools
            for pool in pools:
                await pool.open_ahead(ahead(r / len(ports)))
            self._streams.append(Stream(calls, path, pools, times))
        # A collection would hold all calls that fall into it; nothing here makes cycles that matter.
        gc.collect()
        gc.freeze()
        gc.disable()
        at_ns = monotonic_ns()
        for stream in self._streams:
            stream.start(at_ns)
        return {}

    async def phase(self, name: str) -> dict[str, Any]:
        """Calls due from now on count in the phase of this name."""
        self._started().begin(name)
        return {}

    async def stop(self) -> dict[str, Any]:
        """Call no more, and wait for the calls that are open, each of which ends in its time."""
        calls = self._started()
        for stream in self._streams:
            stream.stop()
        if calls.open:
            await calls.none_open.wait()
        self.close()
        return {}

    async def results(self) -> dict[str, Any]:
        """The figures by phase and path; times in the histograms are in us. To be asked for after `stop`:
        encoding them holds the loop.
        """
        calls = self._started()
        return {
            "phases": {
                name: {path: figures.result() for path, figures in paths.items()}
                for name, paths in calls.phases.items()
            },
            **role.usage(),
        }

    def close(self) -> None:
        for stream in self._streams:
            stream.stop()
        for pool in self._pools:
            pool.close()

    def _started(self) -> Calls:
        if self._calls is None:
            raise ValueError("not started")
        return self._calls


async def main() -> None:
    caller = Caller()
    try:
        await role.serve(
            {"start": caller.start, "phase": caller.phase, "stop": caller.stop, "results": caller.results}
        )
    finally:
        caller.close()


if __name__ == "__main__":
    logging.basicConfig(format="%(levelname)s %(name)s: %(message)s")
    asyncio.set_event_loop_policy(PrecisePolicy())
    role.run(main)
