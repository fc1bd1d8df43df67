"""What the processes of agents answer the runner. The keys are those on the wire."""

from __future__ import annotations

import msgspec

from .role import Usage


class WorkerStarted(msgspec.Struct, frozen=True):
    """The answer of a process of hollow agents to the command `start`."""

    before: Usage  # the usage of the process before the agents were started
    cpu_s: float  # and after
    rss_mb: float


class ListTimes(msgspec.Struct, frozen=True):
    """The answer of a process of hollow agents to the command `had`."""

    at_ns: list[int]  # of the monotonic clock, in the order of the agents' numbers; 0: not yet


class WorkerRestarted(msgspec.Struct, frozen=True):
    """The answer of a process of hollow agents to the command `restart`."""

    at_ns: int  # of the monotonic clock, when its agents were ended


class WorkerStatus(msgspec.Struct, frozen=True):
    """The answer of a process of hollow agents to the command `counts`."""

    agents: int  # that run
    lists: int  # received since the start, over all agents
    failed_calls: int = msgspec.field(name="broken")  # to discovery, of the agents that run
    cpu_s: float
    rss_mb: float


class AgentsStarted(msgspec.Struct, frozen=True):
    """The answer of the process that keeps the real agents to the command `start`."""

    ports: list[int]
    ready_s: list[float]  # how long each took until it was ready


class AgentsRestarted(msgspec.Struct, frozen=True):
    """The answer of the process that keeps the real agents to the command `restart`."""

    ready_s: list[float]


class AgentUsage(msgspec.Struct, frozen=True):
    """What the process of one real agent uses."""

    cpu_s: float  # over all its restarts
    rss_mb: float
    alive: float  # 1.0, or 0.0 where it has ended


class AgentUsages(msgspec.Struct, frozen=True):
    """The answer of the process that keeps the real agents to the command `counts`."""

    agents: list[AgentUsage]
