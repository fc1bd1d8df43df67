"""Hollow agents, many in a process: list, watch and decision state of real ones, without an application.

Each is the agent's own Agent with a Balancer, a Discovery, a ListingParser and Backends of its own; only the
application's side is never opened. `shared` lets those of one process share the entries of equal lists, which
no two real agents do: figures of memory and of taking in a list are then not an agent's.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import time
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from nickelmount.agent.agent import Agent
from nickelmount.agent.clock import Clock
from nickelmount.agent.config import Config, config_from
from nickelmount.agent.connection_pool import ConnectionPool
from nickelmount.agent.discovery_client import (
    LOCAL_LONG_POLL_MS,
    SHARED_LONG_POLL_MS,
    DiscoveryClient,
)
from nickelmount.agent.upstream import Upstream
from nickelmount.balancer.balancer import Balancer
from nickelmount.protocol.endpoint_list import EndpointList, EndpointListParser

from .role import run, serve, usage

STARTS_AT_ONCE = 32  # then others have a turn
CONNECTIONS = 512  # that an agent may have to map servers; a hollow one opens none


class SharedParser(EndpointListParser):
    """Gives equal lists the same entries. Only the latest whole list and change are kept."""

    def __init__(self, parser: EndpointListParser) -> None:
        self._parser = parser
        self._latest: dict[bool, tuple[Any, EndpointList]] = {}

    def parse(self, doc: Any) -> EndpointList:
        kind = bool(doc.get("complete")) if isinstance(doc, dict) else False
        latest = self._latest.get(kind)
        if latest is None or latest[0] != doc:
            latest = self._latest[kind] = doc, self._parser.parse(doc)
        return latest[1]


class RecordingDiscoveryClient(DiscoveryClient):
    """Notes when each list had been taken in, by the module too."""

    def __init__(self, taken: list[tuple[int, int]], *arguments: Any) -> None:
        super().__init__(*arguments)
        self._taken = taken  # revision, monotonic ns
        self.broken = 0  # calls that failed
        self._closed = False

    def watch(self, told: Callable[[EndpointList | None], None]) -> None:
        def noted(listing: EndpointList | None) -> None:
            told(listing)
            if listing is None:
                self.broken += 1
            else:
                self._taken.append((listing.revision, time.monotonic_ns()))

        if not self._closed:  # the timers of an agent that has ended still fire
            super().watch(noted)

    def close(self) -> None:
        self._closed = True
        if self._watching is not None:
            self._watching.cancel()


class Hollow:
    """One hollow agent; ends and begins anew as a process would, with the list it was configured with."""

    def __init__(self, config: Config, clock: Clock, number: int) -> None:
        self._config, self._clock, self.number = config, clock, number
        self._lives = 0
        self.taken: list[tuple[int, int]] = []  # over all its lives
        self.discovery: RecordingDiscoveryClient | None = None

    def start(self) -> None:
        settings = replace(self._config.settings, instance_index=self.number)
        seed = self._config.seed + 7919 * self.number + self._lives
        self._lives += 1
        config, hand = self._config, settings.discovery_is_local
        self.discovery = RecordingDiscoveryClient(
            self.taken,
            config.discovery,
            config.list_parser,
            config.known_list.revision,
            config.connect_timeout_us / 1e6,
            LOCAL_LONG_POLL_MS if hand else SHARED_LONG_POLL_MS,
            None if hand else Random(seed),
        )
        pool = ConnectionPool(self._clock, config.connect_timeout_us, config.idle_timeout_us, CONNECTIONS)
        backends = Upstream(self._clock, settings.load_report_fields, pool)
        self.agent = Agent(Balancer(settings, seed), self._clock, backends, self.discovery)
        self.agent.start(config.known_list)

    def end(self) -> None:
        if self.discovery is not None:
            self.discovery.close()
            self.discovery = None

    def had(self, revision: int, since_ns: int) -> int:
        """When it had that revision or a later one, `since_ns` at the earliest; 0: it has not."""
        return next((at for r, at in self.taken if r >= revision and at >= since_ns), 0)


class Worker:
    """A process of them."""

    def __init__(self) -> None:
        self._agents: list[Hollow] = []

    async def start(self, config: dict[str, Any], numbers: list[int], shared: bool) -> dict[str, Any]:
        gc.collect()
        before = usage()
        clock = Clock()
        made = config_from(config, {}, clock)
        if shared:
            made = replace(made, list_parser=SharedParser(made.list_parser))
        for i, number in enumerate(numbers):
            # Its own entries of the list it has, unless they are to be shared.
            known = made.known_list if shared else made.list_parser.parse(config["known"])
            self._agents.append(Hollow(replace(made, known_list=known), clock, number))
            self._agents[-1].start()
            if i % STARTS_AT_ONCE == 0:
                await asyncio.sleep(0)
        return {"before": before, **usage()}

    async def had(self, revision: int, since_ns: int) -> dict[str, Any]:
        return {"at_ns": [a.had(revision, since_ns) for a in self._agents]}

    async def restart(self, numbers: list[int]) -> dict[str, Any]:
        chosen = set(numbers)
        at_ns = time.monotonic_ns()
        for agent in self._agents:
            if agent.number in chosen:
                agent.end()
        for agent in self._agents:
            if agent.number in chosen:
                agent.start()
                await asyncio.sleep(0)
        return {"at_ns": at_ns}

    async def counts(self) -> dict[str, Any]:
        alive = [a.discovery for a in self._agents if a.discovery is not None]
        return {
            "agents": len(alive),
            "lists": sum(len(a.taken) for a in self._agents),
            "broken": sum(d.broken for d in alive),
            **usage(),
        }


async def main() -> None:
    logging.basicConfig(level=logging.ERROR)  # failed calls are counted
    worker = Worker()
    await serve(
        {"start": worker.start, "had": worker.had, "restart": worker.restart, "counts": worker.counts}
    )


if __name__ == "__main__":
    run(main)
