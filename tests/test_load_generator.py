"""The load generator and the emulated endpoints: what they count has to be right before any figure is."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from functools import partial
from itertools import chain, islice, repeat
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hdrh.histogram import HdrHistogram

from nickelmount.fleet import request_tracker
from nickelmount.fleet.arrivals import arrival_times_ns
from nickelmount.fleet.emulated_endpoints import EmulatedEndpoints
from nickelmount.fleet.load_connections import LoadConnectionPool
from nickelmount.fleet.load_generator import LoadGenerator, RequestStream
from nickelmount.fleet.load_messages import AgentTarget, DirectTarget, LoadSettings
from nickelmount.fleet.request_statistics import RequestPath
from nickelmount.fleet.request_tracker import RequestTracker

from .loopback import Message, ScriptedServer, StreamConnection

MS_NS = 1_000_000
HISTOGRAM_KEYS = ("from_due", "from_written", "lateness")


def within(body: Callable[[], Awaitable[None]]) -> None:
    """Run a test; one that hangs fails."""

    async def bounded() -> None:
        async with asyncio.timeout(30):  # nothing is timed by this
            await body()
            await asyncio.sleep(0)  # what was closed is closed in the next turn

    asyncio.run(bounded())


@contextlib.asynccontextmanager
async def emulated_endpoints(
    number: int = 1, work_ms: float = 0.0
) -> AsyncIterator[tuple[EmulatedEndpoints, list[int]]]:
    """Endpoints that listen, and their ports."""
    endpoints = EmulatedEndpoints()
    try:
        yield endpoints, (await endpoints.start(number, work_ms=work_ms)).ports
    finally:
        endpoints.close()


@contextlib.contextmanager
def new_pool(port: int, tracker: RequestTracker) -> Iterator[LoadConnectionPool]:
    """A pool of connections that is closed at the end."""
    pool = LoadConnectionPool(port, tracker.end)
    try:
        yield pool
    finally:
        pool.close()


def new_tracker(timeout_ms: int = 5000, method: str = "GET", body_bytes: int = 0) -> RequestTracker:
    tracker = RequestTracker("tile", method, timeout_ms, body_bytes, 1)
    tracker.begin_phase("calm")
    return tracker


def result(tracker: RequestTracker, path: RequestPath = "direct", phase: str = "calm") -> dict[str, Any]:
    return tracker.phases[phase][path].result()


def decoded(figures: dict[str, Any]) -> dict[str, Any]:
    return {name: HdrHistogram.decode(figures[name]) for name in HISTOGRAM_KEYS}


def test_every_request_is_answered_once_and_counts_in_its_phase_and_path() -> None:
    """A phase ends while its requests are in flight. They count in the phase in which they were due."""

    async def body() -> None:
        tracker = new_tracker()
        async with emulated_endpoints(2, work_ms=1.0) as (endpoints, ports):
            with new_pool(ports[0], tracker) as through, new_pool(ports[1], tracker) as direct:
                started: list[tuple[LoadConnectionPool, RequestPath, str, int]] = [
                    (through, "through", "calm", 20),
                    (direct, "direct", "calm", 30),
                    (direct, "direct", "changes", 5),
                ]
                for pool, path, phase, number in started:
                    tracker.begin_phase(phase)
                    for _ in range(number):
                        tracker.start(pool, path, time.monotonic_ns())
                await tracker.all_ended.wait()
                expected: dict[tuple[str, RequestPath], int] = {
                    ("calm", "through"): 20,
                    ("calm", "direct"): 30,
                    ("changes", "through"): 0,
                    ("changes", "direct"): 5,
                }
                for (phase, path), number in expected.items():
                    figures = result(tracker, path, phase)
                    assert figures["calls"] == figures["served"] == number
                    assert figures["refused"] == figures["failed"] == figures["lost"] == 0
                    assert [h.get_total_count() for h in decoded(figures).values()] == [number] * 3
                status = await endpoints.status()
                assert status.requests == 55
                assert status.repeated_ids == 0

    within(body)


def test_a_request_without_an_answer_is_lost_after_its_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """An endpoint accepts a request and never answers. The request is lost, and its connection closed.

    The answer might still arrive, and would be taken for that of the connection's next request.
    """

    async def body() -> None:
        monkeypatch.setattr(request_tracker, "ANSWER_GRACE_S", 0.02)
        peer, tracker = await ScriptedServer().start(), new_tracker(timeout_ms=30)
        pool = LoadConnectionPool(peer.port, tracker.end)
        tracker.start(pool, "direct", time.monotonic_ns())
        await tracker.all_ended.wait()
        figures = result(tracker)
        assert figures["lost"] == figures["calls"] == 1
        assert decoded(figures)["from_due"].get_max_value() >= 50_000
        assert not pool.ready
        await (await peer.requests.get()).connection.wait_for_close()
        await peer.stop()

    within(body)


async def result_of_one(respond: Callable[[Message], Awaitable[None]]) -> dict[str, Any]:
    """The result of one request that is responded to like this."""
    peer, tracker = await ScriptedServer().start(), new_tracker(method="POST", body_bytes=7)
    pool = LoadConnectionPool(peer.port, tracker.end)
    tracker.start(pool, "direct", time.monotonic_ns())
    message = await peer.requests.get()
    assert message.body == b"x" * 7
    assert message.headers["request-timeout-ms"] == "5000"
    await respond(message)
    await tracker.all_ended.wait()
    pool.close()
    await peer.stop()
    return result(tracker)


def test_rejected_failed_and_lost_requests_are_counted_apart() -> None:
    """An endpoint rejects, fails, sends what is no HTTP, closes without an answer, or does not listen."""

    async def close(message: Message) -> None:
        message.connection.close()

    async def body() -> None:
        for status, kind in ((200, "served"), (429, "refused"), (503, "refused"), (500, "failed")):
            assert (await result_of_one(partial(Message.answer, status=status)))[kind] == 1
        assert (await result_of_one(lambda m: m.connection.write(b"what?\r\n\r\n")))["failed"] == 1
        assert (await result_of_one(close))["lost"] == 1
        peer, tracker = await ScriptedServer().start(), new_tracker()
        await peer.stop()
        pool = LoadConnectionPool(peer.port, tracker.end)  # nobody listens
        tracker.start(pool, "direct", time.monotonic_ns())
        await tracker.all_ended.wait()
        figures = result(tracker)
        assert figures["failed"] == 1
        assert [h.get_total_count() for h in decoded(figures).values()] == [1, 0, 0]

    within(body)


def test_no_connection_is_reused_before_its_delay() -> None:
    """A request finds a connection that was used just now. It gets a new one, as it would in the agent."""

    async def body() -> None:
        tracker = new_tracker()
        async with emulated_endpoints() as (endpoints, ports):
            with new_pool(ports[0], tracker) as pool:
                await pool.open_ahead(1)
                for last_used_ns, connections in ((0, 1), (0, 1), (time.monotonic_ns() + 10**12, 2)):
                    pool.ready[0].last_used_ns = last_used_ns
                    tracker.start(pool, "direct", time.monotonic_ns())
                    await tracker.all_ended.wait()
                    assert (await endpoints.status()).connections == connections
                assert result(tracker)["waited"] == 1

    within(body)


@pytest.mark.parametrize("arrivals", ["poisson", "even"])
def test_the_same_seed_gives_the_same_arrival_times(arrivals: str) -> None:
    def times(seed: int, name: str) -> list[int]:
        return list(islice(arrival_times_ns(70.0, arrivals, seed, name), 7000))

    one = times(1, "n1")
    assert one == times(1, "n1")
    assert one == sorted(one)
    assert 95 < one[-1] / 1e9 < 105
    assert one[0] not in (times(2, "n1")[0], times(1, "n2")[0])


def block_loop(duration_s: float) -> None:
    time.sleep(duration_s)


def test_requests_due_while_the_loop_is_blocked_count_their_lateness() -> None:
    """The load generator's loop is blocked for 51 ms, in which six requests fall due, 10 ms apart.

    They are sent together afterwards. Measured from when they were written, nothing of that is seen; measured
    from when they were due, all of it is.
    """

    async def body() -> None:
        tracker = new_tracker()
        async with emulated_endpoints() as (_, ports):
            with new_pool(ports[0], tracker) as pool:
                await pool.open_ahead(6)
                due_ns = chain([n * 10 * MS_NS for n in range(6)], repeat(10**15))
                stream = RequestStream(tracker, "direct", [pool], due_ns)
                stream.start(time.monotonic_ns())
                block_loop(0.051)
                while not tracker.current["direct"].started:
                    await asyncio.sleep(0)
                await tracker.all_ended.wait()
                stream.stop()
        figures = result(tracker)
        from_due, from_written, lateness = decoded(figures).values()
        assert figures["served"] == 6
        assert figures["waited"] == 0
        assert lateness.get_max_value() >= 50_000
        assert lateness.get_mean_value() >= 25_900
        assert from_due.get_mean_value() - from_written.get_mean_value() >= 25_900

    within(body)


def test_an_endpoint_answers_probes_and_reports_its_load() -> None:
    """Two requests are in flight, with the same Request-Id. One client disconnects: it counts no more."""

    async def body() -> None:
        async with emulated_endpoints(work_ms=20_000.0) as (endpoints, ports):
            clients: list[StreamConnection] = []

            async def send(target: str, *headers: str) -> StreamConnection:
                client = StreamConnection(*await asyncio.open_connection("127.0.0.1", ports[0]))
                clients.append(client)
                lines = [f"GET {target} HTTP/1.1", "Host: a", *headers, "", ""]
                await client.write("\r\n".join(lines).encode())
                return client

            assert (await (await send("/api")).read()).status == 404
            in_flight = [await send("/api", "Request-Id: a1") for _ in range(2)]
            while (await endpoints.status()).requests < 2:
                await asyncio.sleep(0)
            probe = await (await send("/_load")).read()
            assert (probe.status, probe.body) == (200, b"inflight=2,queue=0,latency_ms=0.000")
            assert probe.headers["server-load"] == probe.body.decode()
            in_flight[0].close()
            while (answer := await (await send("/ping")).read()).body[:10] != b"inflight=1":
                assert answer.status == 200
            status = await endpoints.status()
            assert status.requests == 2
            assert status.repeated_ids == 1
            assert status.probes >= 2
            for client in clients:
                client.close()

    within(body)


class RoleProcess:
    """The process of a role."""

    async def start(self, module: str) -> RoleProcess:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            cwd=Path(__file__).parent.parent,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            limit=2**24,
        )
        return self

    async def call(self, name: str, /, **arguments: Any) -> dict[str, Any]:
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        self.process.stdin.write(msgspec.json.encode({"do": name, **arguments}) + b"\n")
        answer = msgspec.json.decode(await self.process.stdout.readline(), type=dict[str, dict[str, Any]])
        return answer["ok"]

    async def end(self) -> None:
        _, errors = await self.process.communicate(b"")  # closes its input
        assert (self.process.returncode, errors) == (0, b"")


def test_both_roles_as_processes_agree_on_the_requests() -> None:
    async def body() -> None:
        endpoints = await RoleProcess().start("nickelmount.fleet.emulated_endpoints")
        load_generator = await RoleProcess().start("nickelmount.fleet.load_generator")
        ports = (await endpoints.call("start", ports=3, work_ms=0))["ports"]
        await load_generator.call(
            "start",
            agents=[{"name": "n1", "port": ports[0]}],
            rate=200,
            direct_rate=200,
            direct=[{"port": p} for p in ports[1:]],
            arrivals="poisson",
            seed=3,
            request_class="tile",
            method="GET",
            timeout_ms=5000,
            body_bytes=0,
        )
        for phase, min_requests in (("calm", 50), ("changes", 100)):
            await load_generator.call("phase", name=phase)
            while (await endpoints.call("counts"))["requests"] < min_requests:
                pass
        await load_generator.call("stop")
        results = await load_generator.call("results")
        paths = [path for phase in results["phases"].values() for path in phase.values()]
        reached = await endpoints.call("counts")
        assert reached["requests"] == sum(p["calls"] for p in paths) == sum(p["served"] for p in paths)
        assert reached["ids_seen_twice"] == 0
        assert set(results["phases"]) == {"warm", "calm", "changes"}
        assert all(results["phases"]["changes"][path]["calls"] for path in ("through", "direct"))
        assert results["cpu_s"] > 0
        await load_generator.end()
        await endpoints.end()

    within(body)


def load_settings(arrivals: str, agents: list[AgentTarget], body_bytes: int = 0) -> LoadSettings:
    return LoadSettings(
        agents=agents,
        direct=list[DirectTarget](),
        rate=1.0,
        direct_rate=0.0,
        arrivals=arrivals,
        seed=1,
        request_class="tile",
        method="GET",
        timeout_ms=100,
        body_bytes=body_bytes,
    )


def test_a_load_generator_says_what_it_cannot_do() -> None:
    async def body() -> None:
        generator = LoadGenerator()
        with pytest.raises(ValueError, match="not started"):
            await generator.stop()
        with pytest.raises(ValueError, match="arrivals"):
            await generator.start(load_settings("bursts", [AgentTarget("n1", 9)]))
        with pytest.raises(ValueError, match="body_bytes"):
            await generator.start(load_settings("even", [], body_bytes=5))

    within(body)
