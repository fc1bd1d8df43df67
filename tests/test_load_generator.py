"""The measuring client and the plain map servers: what they count has to be right before any figure is."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable
from functools import partial
from itertools import chain, islice, repeat
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hdrh.histogram import HdrHistogram

from nickelmount.fleet import load_generator as caller
from nickelmount.fleet.emulated_endpoints import MapServers
from nickelmount.fleet.load_generator import Caller, Calls, Pool, Stream, due_times

from .loopback import Conversation, Message, Peer

MS = 1_000_000  # ns
HISTOGRAMS = ("from_due", "from_written", "lateness")


def within(body: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(30):  # a hang fails the test; nothing is timed by this
            await body()
            await asyncio.sleep(0)  # what was closed is closed in the next turn

    asyncio.run(bounded())


def calls_of(timeout_ms: int = 5000, method: str = "GET", body_bytes: int = 0) -> Calls:
    calls = Calls("tile", method, timeout_ms, body_bytes, 1)
    calls.begin("calm")
    return calls


def result(calls: Calls, path: str = "direct", phase: str = "calm") -> dict[str, Any]:
    return calls.phases[phase][path].result()


def decoded(figures: dict[str, Any]) -> dict[str, Any]:
    return {name: HdrHistogram.decode(figures[name]) for name in HISTOGRAMS}


def test_every_call_is_answered_once_and_counts_in_its_phase_and_path() -> None:
    async def body() -> None:
        servers, calls = MapServers(), calls_of()
        ports = (await servers.start(2, work_ms=1.0))["ports"]
        pools = [Pool(calls, port) for port in ports]
        for pool, path, phase, number in (
            (pools[0], "through", "calm", 20),
            (pools[1], "direct", "calm", 30),
            (pools[1], "direct", "changes", 5),
        ):
            calls.begin(phase)  # those of the phase before are still open
            for _ in range(number):
                calls.start(pool, path, time.monotonic_ns())
        await calls.none_open.wait()
        wanted = {
            ("calm", "through"): 20,
            ("calm", "direct"): 30,
            ("changes", "through"): 0,
            ("changes", "direct"): 5,
        }
        for (phase, path), number in wanted.items():
            figures = result(calls, path, phase)
            assert figures["calls"] == figures["served"] == number
            assert figures["refused"] == figures["failed"] == figures["lost"] == 0
            assert [h.get_total_count() for h in decoded(figures).values()] == [number] * 3
        reached = await servers.counts()
        assert reached["requests"] == 55
        assert reached["ids_seen_twice"] == 0
        for pool in pools:
            pool.close()
        servers.close()

    within(body)


def test_a_call_that_nobody_answers_is_lost_after_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    async def body() -> None:
        monkeypatch.setattr(caller, "GRACE_S", 0.02)
        peer, calls = await Peer().start(), calls_of(timeout_ms=30)
        pool = Pool(calls, peer.port)
        calls.start(pool, "direct", time.monotonic_ns())
        await calls.none_open.wait()
        figures = result(calls)
        assert figures["lost"] == figures["calls"] == 1
        assert decoded(figures)["from_due"].get_max_value() >= 50_000
        # What is answered too late must not become the answer to another call.
        assert not pool.ready
        await (await peer.requests.get()).peer.ended()
        await peer.stop()

    within(body)


async def end_of(how: Callable[[Message], Awaitable[None]]) -> dict[str, Any]:
    peer, calls = await Peer().start(), calls_of(method="POST", body_bytes=7)
    pool = Pool(calls, peer.port)
    calls.start(pool, "direct", time.monotonic_ns())
    message = await peer.requests.get()
    assert message.body == b"x" * 7
    assert message.headers["request-timeout-ms"] == "5000"
    await how(message)
    await calls.none_open.wait()
    pool.close()
    await peer.stop()
    return result(calls)


def test_refusals_failures_and_losses_are_told_apart() -> None:
    async def close(message: Message) -> None:
        message.peer.close()

    async def body() -> None:
        for status, kind in ((200, "served"), (429, "refused"), (503, "refused"), (500, "failed")):
            assert (await end_of(partial(Message.answer, status=status)))[kind] == 1
        assert (await end_of(lambda m: m.peer.write(b"what?\r\n\r\n")))["failed"] == 1
        assert (await end_of(close))["lost"] == 1
        peer, calls = await Peer().start(), calls_of()
        await peer.stop()
        calls.start(Pool(calls, peer.port), "direct", time.monotonic_ns())  # nobody listens
        await calls.none_open.wait()
        figures = result(calls)
        assert figures["failed"] == 1
        assert [h.get_total_count() for h in decoded(figures).values()] == [1, 0, 0]

    within(body)


def test_no_connection_is_used_twice_before_it_has_rested() -> None:
    async def body() -> None:
        servers, calls = MapServers(), calls_of()
        pool = Pool(calls, (await servers.start(1))["ports"][0])
        await pool.open_ahead(1)
        for used_ns, connections in ((0, 1), (0, 1), (time.monotonic_ns() + 10**12, 2)):
            pool.ready[0].used_ns = used_ns
            calls.start(pool, "direct", time.monotonic_ns())
            await calls.none_open.wait()
            assert (await servers.counts())["connections"] == connections
        assert result(calls)["waited"] == 1
        pool.close()
        servers.close()

    within(body)


@pytest.mark.parametrize("arrivals", ["poisson", "even"])
def test_the_same_seed_gives_the_same_due_times(arrivals: str) -> None:
    def times(seed: int, name: str) -> list[int]:
        return list(islice(due_times(70.0, arrivals, seed, name), 7000))

    one = times(1, "n1")
    assert one == times(1, "n1")
    assert one == sorted(one)
    assert 95 < one[-1] / 1e9 < 105
    assert one[0] not in (times(2, "n1")[0], times(1, "n2")[0])


def test_calls_that_fall_due_while_the_loop_is_held_count_their_wait() -> None:
    async def body() -> None:
        servers, calls = MapServers(), calls_of()
        pool = Pool(calls, (await servers.start(1))["ports"][0])
        await pool.open_ahead(6)
        stream = Stream(calls, "direct", [pool], chain([n * 10 * MS for n in range(6)], repeat(10**15)))
        stream.start(time.monotonic_ns())
        time.sleep(0.051)
        while not calls.now["direct"].calls:
            await asyncio.sleep(0)
        await calls.none_open.wait()
        stream.stop()
        pool.close()
        servers.close()
        figures = result(calls)
        due, written, late = decoded(figures).values()
        assert figures["served"] == 6
        assert figures["waited"] == 0
        assert late.get_max_value() >= 50_000
        # They were due 10 ms apart and sent together; from when they were written nothing of that is seen.
        assert late.get_mean_value() >= 25_900
        assert due.get_mean_value() - written.get_mean_value() >= 25_900

    within(body)


def test_a_map_server_answers_probes_and_tells_its_load() -> None:
    async def body() -> None:
        servers = MapServers()
        port = (await servers.start(1, work_ms=20_000.0))["ports"][0]
        clients: list[Conversation] = []

        async def ask(target: str, *headers: str) -> Conversation:
            client = Conversation(*await asyncio.open_connection("127.0.0.1", port))
            clients.append(client)
            await client.write("\r\n".join([f"GET {target} HTTP/1.1", "Host: a", *headers, "", ""]).encode())
            return client

        assert (await (await ask("/api")).read()).status == 404
        held = [await ask("/api", "Request-Id: a1") for _ in range(2)]
        while (await servers.counts())["requests"] < 2:
            await asyncio.sleep(0)
        probe = await (await ask("/_load")).read()
        assert (probe.status, probe.body) == (200, b"inflight=2,queue=0,latency_ms=0.000")
        assert probe.headers["server-load"] == probe.body.decode()
        held[0].close()  # gives up
        while (answer := await (await ask("/ping")).read()).body[:10] != b"inflight=1":
            assert answer.status == 200
        counts = await servers.counts()
        assert counts["requests"] == 2
        assert counts["ids_seen_twice"] == 1
        assert counts["probes"] >= 2
        for client in clients:
            client.close()
        servers.close()

    within(body)


class Role:
    """A role as a process."""

    async def start(self, module: str) -> Role:
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

    async def do(self, name: str, /, **arguments: Any) -> dict[str, Any]:
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        self.process.stdin.write(msgspec.json.encode({"do": name, **arguments}) + b"\n")
        answer = msgspec.json.decode(await self.process.stdout.readline(), type=dict[str, dict[str, Any]])
        return answer["ok"]

    async def end(self) -> None:
        _, complaints = await self.process.communicate(b"")  # closes its input
        assert (self.process.returncode, complaints) == (0, b"")


def test_both_roles_as_processes_agree_on_what_was_called() -> None:
    async def body() -> None:
        servers = await Role().start("nickelmount.fleet.emulated_endpoints")
        client = await Role().start("nickelmount.fleet.load_generator")
        ports = (await servers.do("start", ports=3, work_ms=0))["ports"]
        await client.do(
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
        for phase, least in (("calm", 50), ("changes", 100)):
            await client.do("phase", name=phase)
            while (await servers.do("counts"))["requests"] < least:
                pass
        await client.do("stop")
        results = await client.do("results")
        paths = [path for phase in results["phases"].values() for path in phase.values()]
        reached = await servers.do("counts")
        assert reached["requests"] == sum(p["calls"] for p in paths) == sum(p["served"] for p in paths)
        assert reached["ids_seen_twice"] == 0
        assert set(results["phases"]) == {"warm", "calm", "changes"}
        assert all(results["phases"]["changes"][path]["calls"] for path in ("through", "direct"))
        assert results["cpu_s"] > 0
        await client.end()
        await servers.end()

    within(body)


def test_a_caller_says_what_it_cannot_do() -> None:
    async def body() -> None:
        client = Caller()
        with pytest.raises(ValueError, match="not started"):
            await client.stop()
        with pytest.raises(ValueError, match="arrivals"):
            await client.start([{"name": "n1", "port": 9}], [], 1.0, 0.0, "bursts", 1, "tile", "GET", 100, 0)
        with pytest.raises(ValueError, match="body_bytes"):
            await client.start([], [], 1.0, 0.0, "even", 1, "tile", "GET", 100, 5)

    within(body)
