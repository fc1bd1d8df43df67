"""One run of an experiment: starts the processes, makes the events happen and gathers the figures."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import Random

import psutil

from .discovery_messages import ListPublished, OutageBegun, OutageEnded
from .errors import RunError
from .experiment import AgentRestart, Event, Experiment, ListChange, Outage, SteadyChangeRate
from .figures import Figures
from .fleet_processes import FleetProcesses
from .propagation import PropagationMeasurement, PropagationTarget
from .request_figures import request_figures
from .request_statistics import WARM_UP_PHASE
from .role import Nothing
from .usage_figures import usage_figures

MAX_MEMORY_SHARE = 0.5  # of the machine's memory
START_AND_END_TIMEOUT_S = 120.0  # of all processes together, besides the durations in the file
WATCH_TIMEOUT_S = 60.0  # until all agents watch
WATCH_POLL_INTERVAL_S = 0.1
PROGRESS_INTERVAL_S = 2.0
FIRST_PHASE = "steady"  # from the start of the measured time until the first event


class OutageEnd(Event, tag="back", frozen=True):
    """Discovery returns. Not in the file: it follows from the outage."""

    outage: Outage


class ExperimentRun:
    """One run; `report_progress` is called with one line at a time."""

    def __init__(self, experiment: Experiment, seed: int, report_progress: Callable[[str], None]) -> None:
        self._experiment, self._report_progress = experiment, report_progress
        self._random = Random(seed)
        self._fleet = FleetProcesses(experiment, seed, report_progress)
        # The list of workers is shared: the fleet fills it as it starts them.
        self._propagation = PropagationMeasurement(self._fleet.workers)
        self._figures: Figures = {}
        self._started_s = 0.0  # of the measured time
        self._revision = 0  # of the list, now
        self._discovery_is_down = self._changed_while_down = False

    async def run(self) -> Figures:
        """Return the figures. All processes have ended then, also where it raises.

        Raises RunError where the run takes too long or too much memory, RoleError where a process failed.
        """
        experiment = self._experiment
        timeout_s = (
            START_AND_END_TIMEOUT_S
            + experiment.warm_up_s
            + experiment.measured_s
            + experiment.max_settle_s
            + 2 * experiment.requests.timeout_ms / 1000
        )
        max_memory_mb = psutil.virtual_memory().total * MAX_MEMORY_SHARE / 1e6
        try:
            async with asyncio.timeout(timeout_s), asyncio.TaskGroup() as group:
                memory_watch = group.create_task(self._fleet.watch_memory(max_memory_mb))
                await self._start_and_measure()
                memory_watch.cancel()
        except TimeoutError:
            raise RunError(f"not over within {timeout_s:.0f} s") from None
        except BaseExceptionGroup as errors:
            raise errors.exceptions[0] from None
        finally:
            # Shielded, so that a cancellation that arrives meanwhile does not stop it half-way.
            await asyncio.shield(self._fleet.end())
        self._figures["fleet.memory_most.mb"] = self._fleet.peak_memory_mb
        return self._figures

    async def _start_and_measure(self) -> None:
        self._figures |= await self._fleet.start()
        self._revision = self._fleet.first_revision
        await self._fleet.begin_phase(WARM_UP_PHASE)
        await self._warm_up()
        await self._measure()

    async def _warm_up(self) -> None:
        """Wait until all agents watch, and for the warm-up time at least."""
        experiment, started_s = self._experiment, time.monotonic()
        agents = experiment.agents.hollow + experiment.agents.real
        while True:
            waiting = (await self._fleet.discovery_status()).waiting
            elapsed_s = time.monotonic() - started_s
            if waiting >= agents and elapsed_s >= experiment.warm_up_s:
                return
            if elapsed_s > WATCH_TIMEOUT_S:
                raise RunError(f"only {waiting} of {agents} agents watch after {WATCH_TIMEOUT_S:.0f} s")
            await asyncio.sleep(WATCH_POLL_INTERVAL_S)

    async def _measure(self) -> None:
        experiment = self._experiment
        before = await self._fleet.status()
        self._started_s = time.monotonic()
        await self._fleet.begin_phase(FIRST_PHASE)
        for event in _events_in_order(experiment):
            await self._sleep_until(event.at_s)
            self._report_progress(f"{event.at_s:6.1f} s  {event.label}")
            await self._fleet.begin_phase(event.label)
            await self._carry_out(event)
        await self._sleep_until(experiment.measured_s)
        after = await self._fleet.status()
        await self._fleet.stop_load()
        self._figures |= await self._propagation.settle(experiment.max_settle_s)
        self._figures |= usage_figures(experiment, before, after)
        results = await self._fleet.load_results()
        if results is not None:
            self._figures |= request_figures(results)
            self._figures["servers.seen_twice.count"] = await self._fleet.repeated_request_ids()

    async def _sleep_until(self, at_s: float) -> None:
        """Sleep until a time of the experiment, with a line of progress now and then."""
        while (remaining_s := self._started_s + at_s - time.monotonic()) > 0:
            await asyncio.sleep(min(remaining_s, PROGRESS_INTERVAL_S))
            if remaining_s > PROGRESS_INTERVAL_S:
                status = await self._fleet.discovery_status()
                self._report_progress(
                    f"{time.monotonic() - self._started_s:6.1f} s  revision {self._revision}, "
                    f"{status.waiting} wait, {status.calls} calls, {status.bytes_sent / 1e6:.1f} MB sent"
                )

    # Events

    async def _carry_out(self, event: Event) -> None:
        if isinstance(event, ListChange):
            await self._change_list(event)
        elif isinstance(event, SteadyChangeRate):
            await self._fleet.discovery.call(Nothing, "drip", per_s=event.per_s, seed=self._next_seed())
        elif isinstance(event, AgentRestart):
            await self._restart_agents(event)
        elif isinstance(event, Outage):
            await self._fleet.discovery.call(OutageBegun, "begin_outage", kind=event.outage_kind)
            self._discovery_is_down, self._changed_while_down = True, False
        elif isinstance(event, OutageEnd):
            await self._end_outage(event)

    async def _change_list(self, event: ListChange) -> None:
        published = await self._fleet.discovery.call(
            ListPublished,
            "change",
            count=event.count,
            where=event.where,
            phase=event.phase,
            replaced=event.replaced,
            seed=self._next_seed(),
        )
        self._revision = published.revision
        if self._discovery_is_down:
            self._changed_while_down = True
        else:
            self._propagation.add(PropagationTarget(event.label, published.revision, published.at_ns))

    async def _end_outage(self, event: OutageEnd) -> None:
        latest: OutageEnded | ListPublished = await self._fleet.discovery.call(
            OutageEnded, "end_outage", history=event.outage.history
        )
        self._discovery_is_down = False
        if not self._changed_while_down:
            # Without a change the agents would get no list, and their recovery could not be seen.
            latest = await self._fleet.discovery.call(
                ListPublished, "change", count=1, where="any", phase="DRAINING", seed=self._next_seed()
            )
        self._revision = latest.revision
        self._propagation.add(PropagationTarget(event.label, latest.revision, latest.at_ns))

    async def _restart_agents(self, event: AgentRestart) -> None:
        agents = self._experiment.agents
        hollow_count = round(event.share * agents.hollow)
        numbers = frozenset(self._random.sample(range(agents.hollow), hollow_count))
        indices: list[int] = []
        if event.real and agents.real:
            real_count = max(1, round(event.share * agents.real))
            indices = self._random.sample(range(agents.real), real_count)
        at_ns = time.monotonic_ns()
        _, ready_s = await asyncio.gather(
            self._fleet.restart_hollow_agents(numbers), self._fleet.restart_real_agents(indices)
        )
        if ready_s:
            self._figures["real.ready_again.s"] = max(ready_s)
        # At the first revision the list that agents start with is the latest, and they receive none.
        if self._revision > self._fleet.first_revision and numbers:
            target = PropagationTarget(event.label, self._revision, at_ns, numbers)
            self._propagation.add(target)

    def _next_seed(self) -> int:
        return self._random.randrange(1 << 30)


def _events_in_order(experiment: Experiment) -> list[Event]:
    """Return the events of the file and the ends of its outages; the former first at equal times."""
    outage_ends = [
        OutageEnd(at_s=event.at_s + event.duration_s, outage=event)
        for event in experiment.events
        if isinstance(event, Outage)
    ]
    return sorted([*experiment.events, *outage_ends], key=lambda event: event.at_s)
