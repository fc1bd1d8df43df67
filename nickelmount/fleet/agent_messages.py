"""The messages that the processes of agents send to the runner.

Field names are keys on the wire; a field with another name gives its key as `name`.
"""

from __future__ import annotations

import msgspec

from .role import Usage


class WorkerStarted(msgspec.Struct, frozen=True):
    """Answer of a process of hollow agents to the command `start`."""

    before: Usage  # Usage of the process before the agents were started.
    cpu_s: float  # Processor time of the process after the agents were started.
    rss_mb: float  # Resident memory of the process after the agents were started.


class ListTimes(msgspec.Struct, frozen=True):
    """Answer of a process of hollow agents to the command `had`."""

    # Monotonic time in ns at which each agent applied the revision or a later one, in the order of their
    # numbers; 0 if an agent has not applied one yet.
    at_ns: list[int]


class WorkerRestarted(msgspec.Struct, frozen=True):
    """Answer of a process of hollow agents to the command `restart`."""

    at_ns: int  # Monotonic time in ns at which the agents were ended.


class WorkerStatus(msgspec.Struct, frozen=True):
    """Answer of a process of hollow agents to the command `counts`."""

    agents: int  # Number of agents that are running.
    lists: int  # Number of lists that the watches of all agents together have received since the first start.
    # Number of failed calls of the watches since each running agent was last started.
    failed_calls: int = msgspec.field(name="broken")
    cpu_s: float
    rss_mb: float


class AgentsStarted(msgspec.Struct, frozen=True):
    """Answer of the process that runs the real agents to the command `start`."""

    ports: list[int]  # Listening ports on 127.0.0.1, in the order of the configurations.
    ready_s: list[float]  # Seconds from the start of each agent until it was ready.


class AgentsRestarted(msgspec.Struct, frozen=True):
    """Answer of the process that runs the real agents to the command `restart`."""

    ready_s: list[float]  # Seconds from the restart of each agent until it was ready.


class AgentUsage(msgspec.Struct, frozen=True):
    """Resource usage of one real agent."""

    cpu_s: float  # Processor time of all processes that the agent has had since its first start.
    rss_mb: float
    alive: float  # 1.0 if the process is running; 0.0 if it has ended.


class AgentUsages(msgspec.Struct, frozen=True):
    """Answer of the process that runs the real agents to the command `counts`."""

    agents: list[AgentUsage]
