"""The start, the status and the end of the processes of one run.

These processes are discovery, the endpoints, the agents and the load generator.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import psutil

from .agent_config import METHOD, REQUEST_CLASS, build_agent_config
from .agent_messages import (
    AgentsRestarted,
    AgentsStarted,
    AgentUsage,
    AgentUsages,
    WorkerRestarted,
    WorkerStarted,
    WorkerStatus,
)
from .discovery_messages import DiscoveryStart, DiscoveryStarted, DiscoveryStatus
from .endpoint_messages import EndpointsStarted, EndpointsStatus
from .errors import RunError
from .experiment import Experiment
from .figures import Figures
from .load_messages import AgentTarget, DirectTarget, LoadSettings
from .propagation import HollowWorker
from .role import EmptyAnswer
from .role_process import RoleProcess
from .usage_figures import FleetStatus
from .versioned_list import generate_entries

FIRST_REVISION = 1000  # A number above 1, so that revisions that start again from 1 can be recognized.
MEMORY_CHECK_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class RealAgents:
    """The processes that exist only if the experiment has real agents."""

    agents: RoleProcess  # The process that starts and ends the real agents.
    load_generator: RoleProcess


class FleetProcesses:
    """All processes of a run. The owner must call `end`, even if `start` fails."""

    def __init__(self, experiment: Experiment, seed: int, report_progress: Callable[[str], None]) -> None:
        self._experiment, self._seed, self._report_progress = experiment, seed, report_progress
        self._processes: list[RoleProcess] = []
        self._discovery: RoleProcess | None = None
        self._endpoints: RoleProcess | None = None
        self._real: RealAgents | None = None
        self.workers: list[HollowWorker] = []
        self.first_revision = 0  # Revision of the list that all agents start with.
        self.peak_memory_mb = 0.0

    # Start and end

    async def start(self) -> Figures:
        """Start all processes, and return figures of the time and memory that this took.

        Raises RoleError if a process fails, and OSError if one cannot be started.
        """
        experiment, servers = self._experiment, self._experiment.servers
        self._endpoints = await self._start_role("emulated_endpoints")
        self._discovery = await self._start_role("emulated_discovery")
        endpoints = await self._endpoints.call(
            EndpointsStarted, "start", ports=servers.sockets, work_ms=servers.work_ms
        )
        settings = DiscoveryStart(
            servers=servers.listed,
            seed=self._seed,
            regions=servers.regions,
            zones_per_region=servers.zones_per_region,
            racks_per_zone=servers.racks_per_zone,
            ports=endpoints.ports,
            history=experiment.discovery.history,
            revision=FIRST_REVISION,
        )
        discovery = await self._discovery.call(DiscoveryStarted, "start", **msgspec.structs.asdict(settings))
        self.first_revision = discovery.revision
        cached_list = {
            "revision": discovery.revision,
            "complete": True,
            "members": msgspec.to_builtins(generate_entries(settings)),
        }
        figures: Figures = {"list.size.bytes": discovery.list_bytes}
        if experiment.agents.hollow:
            figures |= await self._start_hollow_agents(discovery.port, cached_list)
        if experiment.agents.real:
            figures |= await self._start_real_agents(discovery.port, cached_list, endpoints.ports)
        return figures

    async def end(self) -> None:
        """End all processes, including those that no longer answer."""
        await asyncio.gather(*(process.end() for process in reversed(self._processes)))

    async def watch_memory(self, max_mb: float) -> None:
        """Record the peak memory of all processes until cancelled.

        Raises RunError if they use more than `max_mb`.
        """
        while True:
            used_mb = sum(
                await asyncio.to_thread(lambda: [process.memory_mb() for process in self._processes])
            )
            self.peak_memory_mb = max(self.peak_memory_mb, used_mb)
            if used_mb > max_mb:
                raise RunError(f"memory: {used_mb:.0f} MB in use, {max_mb:.0f} MB allowed; use fewer agents")
            await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)

    async def _start_role(self, module: str) -> RoleProcess:
        process = await RoleProcess.start(module)
        self._processes.append(process)
        return process

    async def _start_hollow_agents(self, discovery_port: int, cached_list: dict[str, Any]) -> Figures:
        experiment, agents = self._experiment, self._experiment.agents
        cores = psutil.cpu_count() or 1
        count = min(agents.workers or max(1, cores - 2), agents.hollow)
        self._report_progress(f"starting {agents.hollow} hollow agents in {count} processes")
        for first in range(count):
            numbers = list(range(first, agents.hollow, count))
            self.workers.append(HollowWorker(await self._start_role("hollow_agents"), numbers))
        started_s = time.monotonic()
        answers = await asyncio.gather(
            *(
                worker.process.call(
                    WorkerStarted,
                    "start",
                    config=build_agent_config(experiment, 0, discovery_port, cached_list),
                    numbers=worker.agent_numbers,
                    shared=agents.share_lists,
                )
                for worker in self.workers
            )
        )
        growth_mb = sum(answer.rss_mb - answer.before.rss_mb for answer in answers)
        return {
            "hollow.memory.mb": growth_mb / agents.hollow,
            "hollow.start.s": time.monotonic() - started_s,
        }

    async def _start_real_agents(
        self, discovery_port: int, cached_list: dict[str, Any], endpoint_ports: list[int]
    ) -> Figures:
        experiment, requests = self._experiment, self._experiment.requests
        hollow, real = experiment.agents.hollow, experiment.agents.real
        self._report_progress(f"starting {real} real agents")
        agents = await self._start_role("agent_processes")
        load_generator = await self._start_role("load_generator")
        self._real = RealAgents(agents, load_generator)
        configs = [
            build_agent_config(experiment, hollow + n, discovery_port, cached_list) for n in range(real)
        ]
        started = await agents.call(AgentsStarted, "start", configs=configs)
        targets = [
            AgentTarget(agent_config["name"], port)
            for agent_config, port in zip(configs, started.ports, strict=True)
        ]
        settings = LoadSettings(
            agents=targets,
            direct=[DirectTarget(port) for port in endpoint_ports],
            rate=requests.rate_per_s,
            direct_rate=requests.direct_rate_per_s,
            arrivals=requests.arrivals,
            seed=self._seed,
            request_class=REQUEST_CLASS,
            method=METHOD,
            timeout_ms=requests.timeout_ms,
            body_bytes=requests.body_bytes,
        )
        await load_generator.call(EmptyAnswer, "start", **msgspec.structs.asdict(settings))
        return {"real.ready.s": max(started.ready_s)}

    # Commands to the processes

    @property
    def discovery(self) -> RoleProcess:
        """The process of emulated discovery. It must have been started."""
        assert self._discovery is not None
        return self._discovery

    async def begin_phase(self, name: str) -> None:
        """Count the requests that the load generator starts from now on in the phase with this name."""
        if self._real is not None:
            await self._real.load_generator.call(EmptyAnswer, "phase", name=name)

    async def restart_real_agents(self, indices: list[int]) -> list[float]:
        """Kill and restart the real agents at these indices.

        Returns, for each of them, the seconds from its restart until it was ready again.
        """
        if not indices:
            return []
        assert self._real is not None
        return (await self._real.agents.call(AgentsRestarted, "restart", indices=indices)).ready_s

    async def restart_hollow_agents(self, numbers: frozenset[int]) -> None:
        """End and restart the hollow agents with these numbers."""
        await asyncio.gather(
            *(
                worker.process.call(
                    WorkerRestarted, "restart", numbers=[n for n in worker.agent_numbers if n in numbers]
                )
                for worker in self.workers
            )
        )

    async def stop_load(self) -> None:
        """Stop sending requests, and wait for those in flight."""
        if self._real is not None:
            await self._real.load_generator.call(EmptyAnswer, "stop")

    async def load_results(self) -> dict[str, Any] | None:
        """Return the results of the load generator, or None if there is no load generator.

        May be called only after `stop_load`.
        """
        return None if self._real is None else await self._real.load_generator.call(dict[str, Any], "results")

    async def repeated_request_ids(self) -> int:
        """Return the number of Request-Ids that the endpoints have received more than once."""
        assert self._endpoints is not None
        return (await self._endpoints.call(EndpointsStatus, "counts")).repeated_ids

    async def discovery_status(self) -> DiscoveryStatus:
        """Return the counts and the resource usage of discovery."""
        return await self.discovery.call(DiscoveryStatus, "counts")

    async def status(self) -> FleetStatus:
        """Return the counts and the resource usage of discovery and all agents."""
        workers = await asyncio.gather(
            *(worker.process.call(WorkerStatus, "counts") for worker in self.workers)
        )
        real: list[AgentUsage] = []
        if self._real is not None:
            real = (await self._real.agents.call(AgentUsages, "counts")).agents
        return FleetStatus(await self.discovery_status(), workers, real)
