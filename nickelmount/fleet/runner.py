"""One run of an experiment: it starts the processes, triggers the events and collects the figures."""

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
from .role import EmptyAnswer
from .usage_figures import usage_figures

MAX_MEMORY_SHARE = 0.5  # Share of the machine's memory that all processes together may use.
START_AND_END_TIMEOUT_S = 120.0  # Time allowed for a run in addition to the durations in the file.
WATCH_TIMEOUT_S = 60.0  # Maximum duration of the warm-up, by whose end all agents must watch the list.
WATCH_POLL_INTERVAL_S = 0.1
PROGRESS_INTERVAL_S = 2.0
FIRST_PHASE = "steady"  # The phase from the start of the measured time until the first event.


class OutageEnd(Event, tag="back", frozen=True):
    """The end of an outage. It is not listed in the file, because it follows from the outage."""

    outage: Outage


class ExperimentRun:
    """One run of an experiment. `report_progress` is called with one line of text at a time."""

    def __init__(self, experiment: Experiment, seed: int, report_progress: Callable[[str], None]) -> None:
        self._experiment, self._report_progress = experiment, report_progress
        self._random = Random(seed)
        self._fleet = FleetProcesses(experiment, seed, report_progress)
        # This is the fleet's own list of workers, which is still empty here; the fleet adds each worker to
        # it when it starts the worker.
        self._propagation = PropagationMeasurement(self._fleet.workers)
        self._figures: Figures = {}
        self._measuring_since_s = 0.0  # Monotonic time at which the measured time started.
        # Revision of the endpoint list in the latest answer of discovery to a command of this run. Revisions
        # that steady changes have made since then are not known here.
        self._revision = 0
        self._discovery_is_down = self._changed_while_down = False

    async def run(self) -> Figures:
        """Carry out the run and return its figures.

        All processes have ended when this returns or raises. Raises RunError if the run takes too long or
        uses too much memory, and RoleError if a process fails.
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
            raise RunError(f"the run did not end within {timeout_s:.0f} s") from None
        except BaseExceptionGroup as errors:
            raise errors.exceptions[0] from None
        finally:
            # The shield keeps a cancellation that arrives now from interrupting the end of the processes.
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
        """Wait until all agents watch the endpoint list, and at least for the warm-up time.

        Raises RunError if this takes longer than WATCH_TIMEOUT_S.
        """
        experiment, started_s = self._experiment, time.monotonic()
        agents = experiment.agents.hollow + experiment.agents.real
        while True:
            waiting = (await self._fleet.discovery_status()).waiting
            elapsed_s = time.monotonic() - started_s
            if waiting >= agents and elapsed_s >= experiment.warm_up_s:
                return
            if elapsed_s > WATCH_TIMEOUT_S:
                raise RunError(
                    f"only {waiting} of {agents} agents watch the list after {WATCH_TIMEOUT_S:.0f} s"
                )
            await asyncio.sleep(WATCH_POLL_INTERVAL_S)

    async def _measure(self) -> None:
        experiment = self._experiment
        before = await self._fleet.status()
        self._measuring_since_s = time.monotonic()
        await self._fleet.begin_phase(FIRST_PHASE)
        for event in _events_in_order(experiment):
            await self._sleep_until(event.at_s)
            self._report_progress(f"{event.at_s:6.1f} s  {event.label}")
            await self._fleet.begin_phase(event.label)
            await self._trigger(event)
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
        """Sleep until `at_s` seconds of the measured time have passed, and report progress meanwhile."""
        while (remaining_s := self._measuring_since_s + at_s - time.monotonic()) > 0:
            await asyncio.sleep(min(remaining_s, PROGRESS_INTERVAL_S))
            if remaining_s > PROGRESS_INTERVAL_S:
                status = await self._fleet.discovery_status()
                self._report_progress(
                    f"{time.monotonic() - self._measuring_since_s:6.1f} s  revision {self._revision}, "
                    f"{status.waiting} watches waiting, {status.calls} calls, "
                    f"{status.bytes_sent / 1e6:.1f} MB sent"
                )

    # Events

    async def _trigger(self, event: Event) -> None:
        if isinstance(event, ListChange):
            await self._change_list(event)
        elif isinstance(event, SteadyChangeRate):
            await self._fleet.discovery.call(EmptyAnswer, "drip", per_s=event.per_s, seed=self._next_seed())
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
            # The recovery of the agents is measured as the time until they receive a list. Without a change
            # they would receive none, unless discovery has renumbered its revisions.
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
        # If the list still has its first revision, the restarted agents begin with the latest list and
        # receive no other one, so there is no delay to measure. Nothing is measured either after an outage in
        # which discovery has renumbered its revisions, because they are then lower than the first one.
        if self._revision > self._fleet.first_revision and numbers:
            target = PropagationTarget(event.label, self._revision, at_ns, numbers)
            self._propagation.add(target)

    def _next_seed(self) -> int:
        return self._random.randrange(1 << 30)


def _events_in_order(experiment: Experiment) -> list[Event]:
    """Return the events of the file and the ends of its outages in order of time.

    At equal times, the events of the file come first.
    """
    outage_ends = [
        OutageEnd(at_s=event.at_s + event.duration_s, outage=event)
        for event in experiment.events
        if isinstance(event, Outage)
    ]
    return sorted([*experiment.events, *outage_ends], key=lambda event: event.at_s)
