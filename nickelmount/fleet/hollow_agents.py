"""A process of hollow agents: ``python -m nickelmount.fleet.hollow_agents``.

A hollow agent has the list, the watch and the decision state of a real one, and no clients. Each is the
agent's own Agent with a Balancer, a DiscoveryClient, an EndpointListParser and an Upstream of its own; only
the side of the clients is never opened. With `shared` the agents of one process share the entries of equal
lists, which no two real agents do: figures of memory and of the time to apply a list are then not an agent's.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any, NamedTuple

from nickelmount.agent.agent import Agent
from nickelmount.agent.assembly import build_agent, build_discovery_client
from nickelmount.agent.clock import Clock
from nickelmount.agent.config import Config, config_from
from nickelmount.agent.discovery_client import DiscoveryClient
from nickelmount.protocol.endpoint_list import EndpointList, EndpointListParser

from .agent_config import MAX_ENDPOINT_CONNECTIONS
from .agent_messages import ListTimes, WorkerRestarted, WorkerStarted, WorkerStatus
from .role import run, serve, usage

STARTS_PER_ITERATION = 32  # of the event loop; then the agents started before get to run


class ReceivedList(NamedTuple):
    """A list that an agent has applied."""

    revision: int
    at_ns: int  # of the monotonic clock


class SharingListParser(EndpointListParser):
    """Returns the same entries for equal lists. Only the latest complete list and delta are kept."""

    def __init__(self, parser: EndpointListParser) -> None:
        self._parser = parser
        self._latest: dict[
            bool, tuple[Any, EndpointList]
        ] = {}  # document and list, by whether it is complete

    def parse(self, doc: Any) -> EndpointList:
        """Return the list of a decoded document; raises EndpointListError."""
        is_complete = bool(doc.get("complete")) if isinstance(doc, dict) else False
        latest = self._latest.get(is_complete)
        if latest is None or latest[0] != doc:
            latest = self._latest[is_complete] = doc, self._parser.parse(doc)
        return latest[1]


class RecordingDiscoveryClient(DiscoveryClient):
    """Records when each list had been applied, by the balancer too."""

    def __init__(self, received: list[ReceivedList], *arguments: Any) -> None:
        super().__init__(*arguments)
        self._received = received
        self._is_closed = False
        self.failed_calls = 0

    def watch(self, on_list: Callable[[EndpointList | None], None]) -> None:
        """Watch as the base class does, and record what `on_list` has been called with."""

        def record(endpoint_list: EndpointList | None) -> None:
            on_list(endpoint_list)
            if endpoint_list is None:
                self.failed_calls += 1
            else:
                self._received.append(ReceivedList(endpoint_list.revision, time.monotonic_ns()))

        if not self._is_closed:  # the timers of an agent that has ended still fire
            super().watch(record)

    def close(self) -> None:
        """Cancel the watch, and open no other."""
        self._is_closed = True
        if self._watch_task is not None:
            self._watch_task.cancel()


def _build_agent(
    config: Config, clock: Clock, number: int, seed: int, received: list[ReceivedList]
) -> tuple[Agent, RecordingDiscoveryClient]:
    """Build an agent from its parts, and the client of discovery that it uses."""
    agent_config = replace(config, seed=seed, settings=replace(config.settings, instance_index=number))
    discovery = build_discovery_client(agent_config, partial(RecordingDiscoveryClient, received))
    agent = build_agent(agent_config, clock, MAX_ENDPOINT_CONNECTIONS, discovery_client=discovery)
    return agent, discovery


class HollowAgent:
    """One hollow agent. It ends and starts again as a process would, with the list it was configured with."""

    def __init__(self, config: Config, clock: Clock, number: int) -> None:
        self._config, self._clock, self.number = config, clock, number
        self._starts = 0
        self._discovery: RecordingDiscoveryClient | None = None
        self.received_lists: list[ReceivedList] = []  # over all its starts

    def start(self) -> None:
        """Start it, with a seed of its own for each start."""
        seed = self._config.seed + 7919 * self.number + self._starts
        self._starts += 1
        self.agent, self._discovery = _build_agent(
            self._config, self._clock, self.number, seed, self.received_lists
        )
        self.agent.start(self._config.cached_list)

    def end(self) -> None:
        """End it; its watch is cancelled."""
        if self._discovery is not None:
            self._discovery.close()
            self._discovery = None

    @property
    def is_running(self) -> bool:
        """Whether it has started and not ended since."""
        return self._discovery is not None

    @property
    def failed_calls(self) -> int:
        """The calls to discovery that failed since its latest start; 0 where it has ended."""
        return 0 if self._discovery is None else self._discovery.failed_calls

    def received_at_ns(self, revision: int, since_ns: int) -> int:
        """Return when it had this revision or a later one, `since_ns` at the earliest; 0: not yet."""
        return next(
            (at_ns for held, at_ns in self.received_lists if held >= revision and at_ns >= since_ns), 0
        )


class HollowAgentWorker:
    """The role: the hollow agents of this process. Its public coroutines are the commands."""

    def __init__(self) -> None:
        self._agents: list[HollowAgent] = []

    async def start(self, config: dict[str, Any], numbers: list[int], shared: bool) -> WorkerStarted:
        """Start an agent with each number."""
        gc.collect()
        before = usage()
        clock = Clock()
        base = config_from(config, {}, clock)
        if shared:
            base = replace(base, list_parser=SharingListParser(base.list_parser))
        for position, number in enumerate(numbers):
            # Unless they are shared, each agent has entries of its own for the list that it starts with.
            known_list = base.cached_list if shared else base.list_parser.parse(config["known"])
            agent = HollowAgent(replace(base, cached_list=known_list), clock, number)
            self._agents.append(agent)
            agent.start()
            if position % STARTS_PER_ITERATION == 0:
                await asyncio.sleep(0)
        after = usage()
        return WorkerStarted(before, cpu_s=after.cpu_s, rss_mb=after.rss_mb)

    async def had(self, revision: int, since_ns: int) -> ListTimes:
        """Return when each agent had this revision or a later one, in the order of their numbers."""
        return ListTimes([agent.received_at_ns(revision, since_ns) for agent in self._agents])

    async def restart(self, numbers: list[int]) -> WorkerRestarted:
        """End these agents, then start them."""
        chosen = set(numbers)
        at_ns = time.monotonic_ns()
        agents = [agent for agent in self._agents if agent.number in chosen]
        for agent in agents:
            agent.end()
        for agent in agents:
            agent.start()
            await asyncio.sleep(0)
        return WorkerRestarted(at_ns)

    async def status(self) -> WorkerStatus:
        """Return the counts since the start, and the usage."""
        used = usage()
        return WorkerStatus(
            agents=sum(agent.is_running for agent in self._agents),
            lists=sum(len(agent.received_lists) for agent in self._agents),
            failed_calls=sum(agent.failed_calls for agent in self._agents),
            cpu_s=used.cpu_s,
            rss_mb=used.rss_mb,
        )


async def main() -> None:
    """Run the role until its input ends."""
    logging.basicConfig(level=logging.ERROR)  # warnings of failed calls are left out; the calls are counted
    worker = HollowAgentWorker()
    await serve(
        {"start": worker.start, "had": worker.had, "restart": worker.restart, "counts": worker.status}
    )


if __name__ == "__main__":
    run(main)
