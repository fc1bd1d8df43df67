"""A process of hollow agents: ``python -m nickelmount.fleet.hollow_agents``.

A hollow agent has the endpoint list, the watch and the decision state of a real agent, but no clients. It is
an instance of the real Agent class with a Balancer, a DiscoveryClient and an Upstream of its own; only the
listener for clients is missing. All hollow agents of a process use the same list parser, which returns cached
entries for entries that have not changed. With `shared`, the agents also share equal lists after parsing them
once. A real agent shares nothing with other agents, so the figures for memory and for the time to apply a
list are not those of a real agent, least of all with `shared`.
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

# Number of agents that are started in one iteration of the event loop. After that, the agents that have
# already been started can run.
STARTS_PER_ITERATION = 32


class ReceivedList(NamedTuple):
    """The record of an endpoint list that an agent has applied."""

    revision: int
    at_ns: int  # Monotonic time in ns at which the list had been applied.


class SharingListParser(EndpointListParser):
    """A list parser whose `parse` returns the same parsed list for equal documents.

    It keeps only the latest complete list and the latest delta.
    """

    def __init__(self, parser: EndpointListParser) -> None:
        self._parser = parser
        # The latest document with its parsed list, by whether the list is complete.
        self._latest: dict[bool, tuple[Any, EndpointList]] = {}

    def parse(self, doc: Any) -> EndpointList:
        """Parse a decoded document; raises EndpointListError if it is invalid."""
        is_complete = bool(doc.get("complete")) if isinstance(doc, dict) else False
        latest = self._latest.get(is_complete)
        if latest is None or latest[0] != doc:
            latest = self._latest[is_complete] = doc, self._parser.parse(doc)
        return latest[1]


class RecordingDiscoveryClient(DiscoveryClient):
    """A discovery client that records when the agent, including its balancer, has applied each watched list.

    Lists from `fetch` are not recorded.
    """

    def __init__(self, received_lists: list[ReceivedList], *arguments: Any) -> None:
        super().__init__(*arguments)
        self._received_lists = received_lists
        self._is_closed = False
        self.failed_calls = 0

    def watch(self, on_list: Callable[[EndpointList | None], None]) -> None:
        """Watch as the base class does, and record each list after `on_list` has applied it.

        Failed calls are counted. Does nothing after `close`.
        """

        def record(endpoint_list: EndpointList | None) -> None:
            on_list(endpoint_list)
            if endpoint_list is None:
                self.failed_calls += 1
            else:
                self._received_lists.append(ReceivedList(endpoint_list.revision, time.monotonic_ns()))

        if not self._is_closed:  # The timers of an agent that has ended still fire and may start a watch.
            super().watch(record)

    def close(self) -> None:
        """Cancel the current watch, and do not open another one."""
        self._is_closed = True
        if self._watch_task is not None:
            self._watch_task.cancel()


def _build_agent(
    config: Config, clock: Clock, number: int, seed: int, received_lists: list[ReceivedList]
) -> tuple[Agent, RecordingDiscoveryClient]:
    """Build an agent from its parts, and return it with the discovery client that it uses."""
    agent_config = replace(config, seed=seed, settings=replace(config.settings, instance_index=number))
    discovery = build_discovery_client(agent_config, partial(RecordingDiscoveryClient, received_lists))
    agent = build_agent(agent_config, clock, MAX_ENDPOINT_CONNECTIONS, discovery_client=discovery)
    return agent, discovery


class HollowAgent:
    """A hollow agent.

    It can end and start again as a process does, each time with the list that it was configured with.
    """

    def __init__(self, config: Config, clock: Clock, number: int) -> None:
        self._config, self._clock, self.number = config, clock, number
        self._start_count = 0
        self._discovery: RecordingDiscoveryClient | None = None
        self.received_lists: list[ReceivedList] = []  # Lists received since the first start.

    def start(self) -> None:
        """Start the agent with a seed that differs for each agent and each start."""
        seed = self._config.seed + 7919 * self.number + self._start_count
        self._start_count += 1
        self.agent, self._discovery = _build_agent(
            self._config, self._clock, self.number, seed, self.received_lists
        )
        self.agent.start(self._config.cached_list)

    def end(self) -> None:
        """End the agent and cancel its watch."""
        if self._discovery is not None:
            self._discovery.close()
            self._discovery = None

    @property
    def is_running(self) -> bool:
        """Whether the agent has been started and has not ended since."""
        return self._discovery is not None

    @property
    def failed_calls(self) -> int:
        """The number of failed calls of its watch since the latest start; 0 if the agent has ended."""
        return 0 if self._discovery is None else self._discovery.failed_calls

    def received_at_ns(self, revision: int, since_ns: int) -> int:
        """Return the monotonic time in ns at which the agent first applied this revision or a later one.

        Lists that were applied before `since_ns` are ignored. Returns 0 if the agent has applied none of
        these revisions since then.
        """
        return next(
            (at_ns for applied, at_ns in self.received_lists if applied >= revision and at_ns >= since_ns), 0
        )


class HollowAgentWorker:
    """The hollow agents of this process. The public coroutines are the commands of the role."""

    def __init__(self) -> None:
        self._agents: list[HollowAgent] = []

    async def start(self, config: dict[str, Any], numbers: list[int], shared: bool) -> WorkerStarted:
        """Start one agent for each number, and return the usage of the process before and after."""
        gc.collect()
        before = usage()
        clock = Clock()
        base = config_from(config, {}, clock)
        if shared:
            base = replace(base, list_parser=SharingListParser(base.list_parser))
        for position, number in enumerate(numbers):
            # Without `shared`, the list that an agent starts with is parsed again for each agent. Its entries
            # come from the cache of the parser, so that the agents of this process share them even then.
            cached_list = base.cached_list if shared else base.list_parser.parse(config["known"])
            agent = HollowAgent(replace(base, cached_list=cached_list), clock, number)
            self._agents.append(agent)
            agent.start()
            if position % STARTS_PER_ITERATION == 0:
                await asyncio.sleep(0)
        after = usage()
        return WorkerStarted(before, cpu_s=after.cpu_s, rss_mb=after.rss_mb)

    async def had(self, revision: int, since_ns: int) -> ListTimes:
        """Return when each agent applied this revision or a later one, in the order of their numbers.

        `HollowAgent.received_at_ns` says what each time means.
        """
        return ListTimes([agent.received_at_ns(revision, since_ns) for agent in self._agents])

    async def restart(self, numbers: list[int]) -> WorkerRestarted:
        """End all agents with these numbers, then start them again."""
        chosen_numbers = set(numbers)
        at_ns = time.monotonic_ns()
        agents = [agent for agent in self._agents if agent.number in chosen_numbers]
        for agent in agents:
            agent.end()
        for agent in agents:
            agent.start()
            await asyncio.sleep(0)
        return WorkerRestarted(at_ns)

    async def status(self) -> WorkerStatus:
        """Return the counts since the start and the resource usage."""
        used = usage()
        return WorkerStatus(
            agents=sum(agent.is_running for agent in self._agents),
            lists=sum(len(agent.received_lists) for agent in self._agents),
            failed_calls=sum(agent.failed_calls for agent in self._agents),
            cpu_s=used.cpu_s,
            rss_mb=used.rss_mb,
        )


async def main() -> None:
    """Run the role until its standard input ends."""
    logging.basicConfig(level=logging.ERROR)  # Failed calls are counted instead of logged as warnings.
    worker = HollowAgentWorker()
    await serve(
        {"start": worker.start, "had": worker.had, "restart": worker.restart, "counts": worker.status}
    )


if __name__ == "__main__":
    run(main)
