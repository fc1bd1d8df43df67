"""The figures of the resource usage and the calls of discovery and the agents in the measured time."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from .agent_messages import AgentUsage, WorkerStatus
from .discovery_messages import DiscoveryStatus
from .experiment import Experiment
from .figures import Figures


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """The counts and the resource usage of discovery and all agents at one time."""

    discovery: DiscoveryStatus
    workers: list[WorkerStatus]  # One for each process of hollow agents.
    real: list[AgentUsage]  # One for each real agent.


def usage_figures(experiment: Experiment, before: FleetStatus, after: FleetStatus) -> Figures:
    """Return the figures between two times that are `experiment.measured_s` apart.

    Peaks cover all the time from the start of discovery until `after`. Failed calls of hollow agents are
    counted from the latest start of each agent until `after`.
    """
    duration_s = experiment.measured_s
    hollow, real = experiment.agents.hollow, experiment.agents.real
    figures = _discovery_figures(before.discovery, after.discovery, duration_s, hollow + real)
    if hollow:
        used_s = _cpu_s(before.workers, after.workers)
        figures["hollow.cpu.percent"] = 100 * used_s / duration_s / hollow
        figures["hollow.calls_failed.count"] = sum(worker.failed_calls for worker in after.workers)
    if real:
        used_s = _cpu_s(before.real, after.real)
        figures["real.cpu.percent"] = 100 * used_s / duration_s / real
        figures["real.memory.mb"] = max(agent.rss_mb for agent in after.real)
        figures["real.alive.count"] = sum(agent.alive for agent in after.real)
    return figures


def _discovery_figures(
    before: DiscoveryStatus, after: DiscoveryStatus, duration_s: float, agents: int
) -> Figures:
    calls, bytes_sent = after.calls - before.calls, after.bytes_sent - before.bytes_sent
    return {
        "discovery.cpu.percent": 100 * (after.cpu_s - before.cpu_s) / duration_s,
        "discovery.memory.mb": after.rss_mb,
        "discovery.calls.count": calls,
        "discovery.whole.count": after.complete_lists - before.complete_lists,
        "discovery.deltas.count": after.deltas - before.deltas,
        "discovery.empty.count": after.empty - before.empty,
        "discovery.failed.count": after.failed - before.failed,
        "discovery.out.kb_per_s": bytes_sent / 1e3 / duration_s,
        "discovery.waiting_most.count": after.peak_waiting,
        "discovery.calls_in_100ms_most.count": after.peak_calls_in_100_ms,
        "agent.list.kb_per_s": bytes_sent / 1e3 / duration_s / agents,
        "agent.list.calls_per_s": calls / duration_s / agents,
    }


def _cpu_s(before: Sequence[WorkerStatus | AgentUsage], after: Sequence[WorkerStatus | AgentUsage]) -> float:
    return sum(new.cpu_s - old.cpu_s for old, new in zip(before, after, strict=True))
