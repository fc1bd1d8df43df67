"""One play of an experiment: starts the roles, makes the events happen, and gathers the figures."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec
import psutil
from hdrh.histogram import HdrHistogram

from .agent_config import METHOD, REQUEST_CLASS, config
from .experiment import Change, Drip, Event, Experiment, Outage, Restart
from .role_process import Role
from .versioned_list import generate

MEMORY_SHARE = 0.5  # of the machine's, at most
START_S = 120.0  # the most that all roles may take to start and to end, besides the time of the file
WATCH_S = 60.0  # the most until all agents watch
FIRST_REVISION = 1000  # one that counts anew from 1 is to be told from one that goes on
LOOK_S = 0.5  # memory is looked at so often
PERCENTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9, "max": 100.0}

Figures = dict[str, float]  # by dotted name, which ends in its unit


class PlayError(Exception):
    """The play was given up; the text is one line."""


@dataclass(slots=True, frozen=True)
class Mark:
    """A revision that all hollow agents are to have, and from when that is counted."""

    label: str
    revision: int
    at_ns: int
    numbers: tuple[int, ...] = ()  # of these agents only; (): of all


class Play:
    """One play; `say` is told what happens, one line each."""

    def __init__(self, experiment: Experiment, seed: int, say: Callable[[str], None]) -> None:
        self._e, self._say = experiment, say
        self._rng = Random(seed)
        self._seed = seed
        self._roles: list[Role] = []
        self._workers: list[tuple[Role, list[int]]] = []
        self._marks: list[Mark] = []
        self._figures: Figures = {}
        self._began = 0.0  # of the measured time
        self._revision = self._first_revision = 0
        self._down = self._changed_while_down = False  # of discovery
        self._memory_mb = 0.0

    async def run(self) -> Figures:
        """The figures; whatever happens, all processes have ended then."""
        e = self._e
        within_s = START_S + e.warm_s + e.seconds + e.settle_s + 2 * e.calls.timeout_ms / 1000
        try:
            async with asyncio.timeout(within_s), asyncio.TaskGroup() as group:
                watch = group.create_task(self._watch_memory())
                await self._whole()
                watch.cancel()
        except TimeoutError:
            raise PlayError(f"not over within {within_s:.0f} s") from None
        except BaseExceptionGroup as errors:
            raise errors.exceptions[0] from None
        finally:
            await asyncio.shield(asyncio.gather(*(r.end() for r in reversed(self._roles))))
        self._figures["fleet.memory_most.mb"] = self._memory_mb
        return self._figures

    async def _watch_memory(self) -> None:
        most_mb = psutil.virtual_memory().total * MEMORY_SHARE / 1e6
        while True:
            used = sum(await asyncio.to_thread(lambda: [r.memory_mb() for r in self._roles]))
            self._memory_mb = max(self._memory_mb, used)
            if used > most_mb:
                raise PlayError(f"memory: {used:.0f} MB in use, {most_mb:.0f} MB allowed; take fewer agents")
            await asyncio.sleep(LOOK_S)

    async def _role(self, module: str) -> Role:
        role = await Role.begin(module)
        self._roles.append(role)
        return role

    async def _whole(self) -> None:
        e = self._e
        servers = await self._role("emulated_endpoints")
        self._standin = await self._role("emulated_discovery")
        begun = await servers.call("start", ports=e.servers.sockets, work_ms=e.servers.work_ms)
        ports = begun["ports"]
        s = e.servers
        shape = {
            "servers": s.listed,
            "seed": self._seed,
            "regions": s.regions,
            "zones_per_region": s.zones_per_region,
            "racks_per_zone": s.racks_per_zone,
            "ports": ports,
        }
        begun = await self._standin.call(
            "start", **shape, history=e.discovery.history, revision=FIRST_REVISION
        )
        self._revision = self._first_revision = begun["revision"]
        self._figures["list.size.bytes"] = begun["list_bytes"]
        known = {
            "revision": begun["revision"],
            "complete": True,
            "members": msgspec.to_builtins(generate(**shape)),
        }
        await self._start_hollow(begun["port"], known)
        await self._start_real(begun["port"], known, ports)
        await self._warm()
        await self._measured(servers)

    async def _start_hollow(self, port: int, known: dict[str, Any]) -> None:
        e = self._e
        if not e.agents.hollow:
            return
        cores = psutil.cpu_count() or 1
        count = min(e.agents.workers or max(1, cores - 2), e.agents.hollow)
        self._say(f"starting {e.agents.hollow} hollow agents in {count} processes")
        for i in range(count):
            numbers = list(range(i, e.agents.hollow, count))
            self._workers.append((await self._role("hollow_agents"), numbers))
        begun = time.monotonic()
        answers = await asyncio.gather(
            *(
                role.call("start", config=config(e, 0, port, known), numbers=numbers, shared=e.agents.shared)
                for role, numbers in self._workers
            )
        )
        grown = sum(a["rss_mb"] - a["before"]["rss_mb"] for a in answers)
        self._figures["hollow.memory.mb"] = grown / e.agents.hollow
        self._figures["hollow.start.s"] = time.monotonic() - begun

    async def _start_real(self, port: int, known: dict[str, Any], ports: list[int]) -> None:
        e = self._e
        if not e.agents.real:
            return
        self._say(f"starting {e.agents.real} real agents")
        self._keeper, self._caller = await self._role("agent_processes"), await self._role("load_generator")
        configs = [config(e, e.agents.hollow + i, port, known) for i in range(e.agents.real)]
        begun = await self._keeper.call("start", configs=configs)
        self._figures["real.ready.s"] = max(begun["ready_s"])
        agents = [{"name": c["name"], "port": p} for c, p in zip(configs, begun["ports"], strict=True)]
        await self._caller.call(
            "start",
            agents=agents,
            direct=[{"port": p} for p in ports],
            rate=e.calls.rate,
            direct_rate=e.calls.direct_rate,
            arrivals=e.calls.arrivals,
            seed=self._seed,
            request_class=REQUEST_CLASS,
            method=METHOD,
            timeout_ms=e.calls.timeout_ms,
            body_bytes=e.calls.body_bytes,
        )
        await self._phase("warm")

    async def _phase(self, name: str) -> None:
        if self._e.agents.real:
            await self._caller.call("phase", name=name)

    async def _warm(self) -> None:
        """Until all agents watch, and `warm_s` at the least."""
        e, began = self._e, time.monotonic()
        wanted = e.agents.hollow + e.agents.real
        while True:
            waiting = (await self._standin.call("counts"))["waiting"]
            if waiting >= wanted and time.monotonic() - began >= e.warm_s:
                return
            if time.monotonic() - began > WATCH_S:
                raise PlayError(f"only {waiting} of {wanted} agents watch after {WATCH_S:.0f} s")
            await asyncio.sleep(0.1)

    async def _measured(self, servers: Role) -> None:
        e = self._e
        before = await self._counts()
        self._began = time.monotonic()
        await self._phase("steady")
        happenings = sorted(
            [
                *((ev.at_s, ev) for ev in e.events),
                *(
                    (ev.at_s + ev.for_s, Back(at_s=ev.at_s + ev.for_s, outage=ev))
                    for ev in e.events
                    if isinstance(ev, Outage)
                ),
            ],
            key=lambda h: h[0],
        )
        for at_s, event in happenings:
            await self._until(at_s)
            label = f"{type(event).__name__.lower()}@{at_s:g}"
            self._say(f"{at_s:6.1f} s  {label}")
            await self._phase(label)
            await self._happen(event, label)
        await self._until(e.seconds)
        after = await self._counts()
        if e.agents.real:
            await self._caller.call("stop")
        await self._settle()
        self._usage(before, after, e.seconds)
        if e.agents.real:
            self._calls(await self._caller.call("results"))
            self._figures["servers.seen_twice.count"] = (await servers.call("counts"))["ids_seen_twice"]

    async def _until(self, at_s: float) -> None:
        """With a line of progress now and then."""
        while (left := self._began + at_s - time.monotonic()) > 0:
            await asyncio.sleep(min(left, 2.0))
            if left > 2.0:
                c = await self._standin.call("counts")
                self._say(
                    f"{time.monotonic() - self._began:6.1f} s  revision {self._revision}, "
                    f"{c['waiting']} wait, {c['calls']} calls, {c['bytes_out'] / 1e6:.1f} MB told"
                )

    # Events

    async def _happen(self, event: Event, label: str) -> None:
        if isinstance(event, Change):
            await self._change(event, label)
        elif isinstance(event, Drip):
            await self._standin.call("drip", per_s=event.per_s, seed=self._rng.randrange(1 << 30))
        elif isinstance(event, Restart):
            await self._restart(event, label)
        elif isinstance(event, Outage):
            await self._standin.call("begin_outage", kind=event.how)
            self._down, self._changed_while_down = True, False
        elif isinstance(event, Back):
            await self._back(event, label)

    async def _change(self, event: Change, label: str) -> None:
        made = await self._standin.call(
            "change",
            count=event.count,
            where=event.where,
            phase=event.phase,
            replaced=event.replaced,
            seed=self._rng.randrange(1 << 30),
        )
        self._revision = made["revision"]
        if self._down:
            self._changed_while_down = True
        else:
            self._marks.append(Mark(label, made["revision"], made["at_ns"]))

    async def _back(self, event: Back, label: str) -> None:
        ended = await self._standin.call("end_outage", history=event.outage.history)
        self._down = False
        if not self._changed_while_down:  # or there would be nothing to hear of, and to see when it was heard
            ended |= await self._standin.call(
                "change", count=1, where="any", phase="DRAINING", seed=self._rng.randrange(1 << 30)
            )
        self._revision = ended["revision"]
        self._marks.append(Mark(label, ended["revision"], ended["at_ns"]))

    async def _restart(self, event: Restart, label: str) -> None:
        e = self._e
        chosen = set(self._rng.sample(range(e.agents.hollow), round(event.share * e.agents.hollow)))
        work = [
            role.call("restart", numbers=[n for n in numbers if n in chosen])
            for role, numbers in self._workers
        ]
        if event.real and e.agents.real:
            count = max(1, round(event.share * e.agents.real))
            work.append(self._keeper.call("restart", indices=self._rng.sample(range(e.agents.real), count)))
        at_ns = time.monotonic_ns()
        answers = await asyncio.gather(*work)
        ready = [s for a in answers for s in a.get("ready_s", ())]
        if ready:
            self._figures["real.ready_again.s"] = max(ready)
        if self._revision > self._first_revision and chosen:  # else what they come with is the latest
            self._marks.append(Mark(label, self._revision, at_ns, tuple(sorted(chosen))))

    # Figures

    async def _counts(self) -> dict[str, Any]:
        hollow = await asyncio.gather(*(role.call("counts") for role, _ in self._workers))
        real = (await self._keeper.call("counts"))["agents"] if self._e.agents.real else []
        return {"standin": await self._standin.call("counts"), "hollow": hollow, "real": real}

    async def _settle(self) -> None:
        """Wait for lists that are still to come, then note how long each change took."""
        until = time.monotonic() + self._e.settle_s
        while True:
            times = {m.label: await self._took_ms(m) for m in self._marks}
            if all(min(t, default=0.0) >= 0 for t in times.values()) or time.monotonic() > until:
                break
            await asyncio.sleep(0.2)
        for label, took in times.items():
            heard = sorted(t for t in took if t >= 0)
            self._figures[f"force.{label}.agents.count"] = len(took)
            self._figures[f"force.{label}.reached.share"] = len(heard) / max(1, len(took))
            for name, p in PERCENTILES.items():
                if heard:
                    at = min(len(heard) - 1, int(p / 100 * len(heard)))
                    self._figures[f"force.{label}.{name}.ms"] = heard[at]

    async def _took_ms(self, mark: Mark) -> list[float]:
        """For each agent; -1: it has not got there."""
        answers = await asyncio.gather(
            *(role.call("had", revision=mark.revision, since_ns=mark.at_ns) for role, _ in self._workers)
        )
        chosen = set(mark.numbers)
        return [
            (at_ns - mark.at_ns) / 1e6 if at_ns else -1.0
            for (_, numbers), a in zip(self._workers, answers, strict=True)
            for number, at_ns in zip(numbers, a["at_ns"], strict=True)
            if not chosen or number in chosen
        ]

    def _usage(self, before: dict[str, Any], after: dict[str, Any], seconds: float) -> None:
        e, f = self._e, self._figures
        old, new = before["standin"], after["standin"]
        agents = e.agents.hollow + e.agents.real
        f["discovery.cpu.percent"] = 100 * (new["cpu_s"] - old["cpu_s"]) / seconds
        f["discovery.memory.mb"] = new["rss_mb"]
        for name in ("calls", "whole", "deltas", "empty", "failed"):
            f[f"discovery.{name}.count"] = new[name] - old[name]
        f["discovery.out.kb_per_s"] = (new["bytes_out"] - old["bytes_out"]) / 1e3 / seconds
        f["discovery.waiting_most.count"] = new["waiting_most"]
        f["discovery.calls_in_100ms_most.count"] = new["most_calls_in_100ms"]
        f["agent.list.kb_per_s"] = (new["bytes_out"] - old["bytes_out"]) / 1e3 / seconds / agents
        f["agent.list.calls_per_s"] = (new["calls"] - old["calls"]) / seconds / agents
        if e.agents.hollow:
            used = _used(before["hollow"], after["hollow"])
            f["hollow.cpu.percent"] = 100 * used / seconds / e.agents.hollow
            f["hollow.calls_failed.count"] = sum(b["broken"] for b in after["hollow"])
        if e.agents.real:
            f["real.cpu.percent"] = 100 * _used(before["real"], after["real"]) / seconds / e.agents.real
            f["real.memory.mb"] = max(a["rss_mb"] for a in after["real"])
            f["real.alive.count"] = sum(a["alive"] for a in after["real"])

    def _calls(self, results: dict[str, Any]) -> None:
        """Added time is the difference of the two paths at the same percentile, in the same run.

        From when it was written: what the client adds by being late is on both paths, and not the agent's.
        """
        f = self._figures
        phases = {name: told for name, told in results["phases"].items() if name != "warm"}
        whole: dict[str, HdrHistogram] = {}
        for path in ("through", "direct"):
            for kind in ("calls", "served", "refused", "failed", "lost"):
                for name, told in phases.items():
                    f[f"calls.{name}.{path}.{kind}.count"] = told[path][kind]
                f[f"calls.all.{path}.{kind}.count"] = sum(told[path][kind] for told in phases.values())
        for name, told in phases.items():
            found = {
                f"{path}.{what}": HdrHistogram.decode(told[path][what])
                for path in ("through", "direct")
                for what in ("from_due", "from_written", "lateness")
            }
            for key, histogram in found.items():
                whole.setdefault(key, HdrHistogram(1, 60_000_000, 3)).add(histogram)
            self._latencies(name, found)
        self._latencies("all", whole)

    def _latencies(self, phase: str, found: dict[str, HdrHistogram]) -> None:
        f = self._figures
        told = {key: _percentiles(histogram) for key, histogram in found.items()}
        for key, values in told.items():
            for name, us in values.items():
                f[f"calls.{phase}.{key}.{name}.us"] = us
        for name in PERCENTILES:
            f[f"calls.{phase}.added.{name}.us"] = (
                told["through.from_written"][name] - told["direct.from_written"][name]
            )


class Back(Event, tag="back", frozen=True):
    """Discovery returns. Not in the file: it follows from the outage."""

    outage: Outage


def _used(before: list[dict[str, float]], after: list[dict[str, float]]) -> float:
    return sum(b["cpu_s"] - a["cpu_s"] for a, b in zip(before, after, strict=True))


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    if not histogram.get_total_count():
        return dict.fromkeys(PERCENTILES, 0.0)
    return {name: float(histogram.get_value_at_percentile(p)) for name, p in PERCENTILES.items()}
