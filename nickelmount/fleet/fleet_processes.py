"""The processes of one run: discovery, endpoints, agents and load generator; their start, status and end."""

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
from .role import Nothing
from .role_process import RoleProcess
from .usage_figures import FleetStatus
from .versioned_list import generate

FIRST_REVISION = 1000  # so that revisions that start from 1 again are seen to
MEMORY_CHECK_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class RealAgents:
    """The processes that exist only where there are real agents."""

    agents: RoleProcess  # keeps them
    load_generator: RoleProcess


class FleetProcesses:
    """All processes of a run. Whoever creates it calls `end`, also where `start` failed."""

    def __init__(self, experiment: Experiment, seed: int, report_progress: Callable[[str], None]) -> None:
        self._experiment, self._seed, self._report_progress = experiment, seed, report_progress
        self._processes: list[RoleProcess] = []
        self._discovery: RoleProcess | None = None
        self._endpoints: RoleProcess | None = None
        self._real: RealAgents | None = None
        self.workers: list[HollowWorker] = []
        self.first_revision = 0  # the one that all agents start with
        self.peak_memory_mb = 0.0

    # Start and end

    async def start(self) -> Figures:
        """Start all; returns what that took. Raises RoleError and OSError."""
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
        known_list = {
            "revision": discovery.revision,
            "complete": True,
            "members": msgspec.to_builtins(generate(settings)),
        }
        figures: Figures = {"list.size.bytes": discovery.list_bytes}
        if experiment.agents.hollow:
            figures |= await self._start_hollow_agents(discovery.port, known_list)
        if experiment.agents.real:
            figures |= await self._start_real_agents(discovery.port, known_list, endpoints.ports)
        return figures

    async def end(self) -> None:
        """End all processes, also those that no longer answer."""
        await asyncio.gather(*(process.end() for process in reversed(self._processes)))

    async def watch_memory(self, max_mb: float) -> None:
        """Note the peak of the memory in use, for ever; raises RunError where it passes `max_mb`."""
        while True:
            used_mb = sum(
                await asyncio.to_thread(lambda: [process.memory_mb() for process in self._processes])
            )
            self.peak_memory_mb = max(self.peak_memory_mb, used_mb)
            if used_mb > max_mb:
                raise RunError(f"memory: {used_mb:.0f} MB in use, {max_mb:.0f} MB allowed; take fewer agents")
            await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)

    async def _start_role(self, module: str) -> RoleProcess:
        process = await RoleProcess.start(module)
        self._processes.append(process)
        return process

    async def _start_hollow_agents(self, discovery_port: int, known_list: dict[str, Any]) -> Figures:
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
                    config=build_agent_config(experiment, 0, discovery_port, known_list),
                    numbers=worker.agent_numbers,
                    shared=agents.share_lists,
                )
                for worker in self.workers
            )
        )
        grown_mb = sum(answer.rss_mb - answer.before.rss_mb for answer in answers)
        return {
            "hollow.memory.mb": grown_mb / agents.hollow,
            "hollow.start.s": time.monotonic() - started_s,
        }

    async def _start_real_agents(
        self, discovery_port: int, known_list: dict[str, Any], endpoint_ports: list[int]
    ) -> Figures:
        experiment, requests = self._experiment, self._experiment.requests
        hollow, real = experiment.agents.hollow, experiment.agents.real
        self._report_progress(f"starting {real} real agents")
        agents = await self._start_role("agent_processes")
        load_generator = await self._start_role("load_generator")
        self._real = RealAgents(agents, load_generator)
        configs = [
            build_agent_config(experiment, hollow + n, discovery_port, known_list) for n in range(real)
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
        await load_generator.call(Nothing, "start", **msgspec.structs.asdict(settings))
        return {"real.ready.s": max(started.ready_s)}

    # Commands to the processes

    @property
    def discovery(self) -> RoleProcess:
        """Emulated discovery."""
        assert self._discovery is not None
        return self._discovery

    async def begin_phase(self, name: str) -> None:
        """Count requests due from now on in this phase."""
        if self._real is not None:
            await self._real.load_generator.call(Nothing, "phase", name=name)

    async def restart_real_agents(self, indices: list[int]) -> list[float]:
        """Kill and start these; returns the seconds until each was ready again."""
        if not indices:
            return []
        assert self._real is not None
        return (await self._real.agents.call(AgentsRestarted, "restart", indices=indices)).ready_s

    async def restart_hollow_agents(self, numbers: frozenset[int]) -> None:
        """End and start these."""
        await asyncio.gather(
            *(
                worker.process.call(
                    WorkerRestarted, "restart", numbers=[n for n in worker.agent_numbers if n in numbers]
                )
                for worker in self.workers
            )
        )

    async def stop_load(self) -> None:
        """Send no more requests, and wait for those in flight."""
        if self._real is not None:
            await self._real.load_generator.call(Nothing, "stop")

    async def load_results(self) -> dict[str, Any] | None:
        """Return what the load generator measured; None: there is none. Only after `stop_load`."""
        return None if self._real is None else await self._real.load_generator.call(dict[str, Any], "results")

    async def repeated_request_ids(self) -> int:
        """Return how many Request-Ids the endpoints have seen more than once."""
        assert self._endpoints is not None
        return (await self._endpoints.call(EndpointsStatus, "counts")).repeated_ids

    async def discovery_status(self) -> DiscoveryStatus:
        """Return the counts and the usage of discovery."""
        return await self.discovery.call(DiscoveryStatus, "counts")

    async def status(self) -> FleetStatus:
        """Return the counts and the usage of all."""
        workers = await asyncio.gather(
            *(worker.process.call(WorkerStatus, "counts") for worker in self.workers)
        )
        real: list[AgentUsage] = []
        if self._real is not None:
            real = (await self._real.agents.call(AgentUsages, "counts")).agents
        return FleetStatus(await self.discovery_status(), workers, real)
