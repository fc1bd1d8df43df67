"""What lists, changes and decisions cost one agent, by the number of servers listed: parser and module alone.

One size and one play is one fresh process, so that memory is that of one agent.
"""

from __future__ import annotations

import gc
import json
import resource
import statistics
import time
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from nickelmount.agent.clock import Clock
from nickelmount.agent.config import config_from
from nickelmount.agent.connection_pool import ConnectionPool
from nickelmount.agent.upstream import Upstream
from nickelmount.balancer.actions import Action, SendAttempt
from nickelmount.balancer.balancer import Balancer
from nickelmount.balancer.events import (
    AttemptEnded,
    EndpointsChanged,
    Event,
    ListUpdateKind,
    Outcome,
    RequestArrived,
)

from .agent_config import config
from .experiment import Experiment
from .role import run, serve, usage
from .versioned_list import VersionedList, generate

CHANGES = 200  # single ones, each timed
SECONDS = 20  # of requests, on the module's clock
RATE = 70  # requests a second, as SCALE has it
ANSWER_US = 20_000  # an answer takes so long


def _timed(call: Callable[[], Any]) -> tuple[Any, float]:
    began = time.perf_counter_ns()
    found = call()
    return found, (time.perf_counter_ns() - began) / 1e3


class One:
    """An agent's list and decisions, without its sockets."""

    def __init__(self, servers: int, seed: int) -> None:
        self._random = Random(seed)
        self._e = Experiment(name="slopes", seed=seed)
        shape = {
            "regions": self._e.servers.regions,
            "zones_per_region": self._e.servers.zones_per_region,
            "racks_per_zone": self._e.servers.racks_per_zone,
        }
        self._catalog = VersionedList(generate(servers, seed, ports=[9000], **shape), CHANGES)
        empty = {"revision": 0, "complete": True, "members": []}
        clock = Clock()
        self._config = config_from(config(self._e, 0, 9, empty), {}, clock)
        settings = replace(self._config.settings, instance_count=max(1, servers))
        pool = ConnectionPool(clock, self._config.connect_timeout_us, self._config.idle_timeout_us, 512)
        self._backends = Upstream(clock, settings.load_report_fields, pool)
        self._balancer = Balancer(settings, seed)
        self._now = 1_000_000
        self._told(self._config.known_list, ListUpdateKind.CACHED)

    def _handle(self, event: Event) -> list[Action]:
        return self._balancer.handle(self._now, event)

    def _told(self, listing: Any, kind: ListUpdateKind) -> None:
        self._handle(EndpointsChanged(kind, self._backends.apply(listing)))

    def _take(self, body: bytes) -> None:
        self._told(self._config.list_parser.parse(json.loads(body)), ListUpdateKind.DELTA)

    def figures(self) -> dict[str, float]:
        body = self._catalog.response_body(None)
        gc.collect()
        before_mb = usage()["rss_mb"]
        _, whole_us = _timed(lambda: self._take(body))
        again = [_timed(lambda: self._take(body))[1] for _ in range(5)]
        memory_mb = usage()["rss_mb"] - before_mb
        changes = [self._change() for _ in range(CHANGES)]
        decisions = self._decisions()
        return {
            "whole.size.bytes": float(len(body)),
            "whole.first.ms": whole_us / 1e3,
            "whole.again.ms": statistics.median(again) / 1e3,
            "change.p50.us": statistics.median(changes),
            "change.most.us": max(changes),
            "decision.p50.us": statistics.median(decisions),
            "decision.p99.us": _at(decisions, 0.99),
            "decision.most.us": max(decisions),
            "memory.mb": memory_mb,
            "memory_most.mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1e3,
        }

    def _change(self) -> float:
        """One server drains, or one that did is back."""
        catalog, before = self._catalog, self._catalog.revision
        if len(catalog.entries("SERVING")) < len(catalog.entries()):
            catalog.restore(time.time_ns() // 1_000_000)
        else:
            catalog.change([self._random.choice(catalog.entries()).id], "DRAINING")
        body = catalog.response_body(before)
        self._now += 100_000
        return _timed(lambda: self._take(body))[1]

    def _decisions(self) -> list[float]:
        """Each request's arrival and its answer, in the module, in microseconds."""
        took: list[float] = []
        ends: list[tuple[int, AttemptEnded]] = []
        for number in range(1, SECONDS * RATE + 1):
            self._now += 1_000_000 // RATE
            while ends and ends[0][0] <= self._now:
                _, end = ends.pop(0)
                took[end.request_id - 1] += _timed(lambda end=end: self._handle(end))[1]  # type: ignore[misc]
            arrived = RequestArrived(number, 0, 2_000_000)
            actions, us = _timed(lambda arrived=arrived: self._handle(arrived))  # type: ignore[misc]
            took.append(us)
            for send in actions:
                if isinstance(send, SendAttempt):
                    ends.append(
                        (
                            self._now + ANSWER_US,
                            AttemptEnded(
                                number,
                                send.attempt,
                                send.endpoint_id,
                                Outcome.OK,
                                ANSWER_US,
                                True,
                                (1.0, 0.0, 10.0),
                            ),
                        )
                    )
        return took


def _at(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def main() -> None:
    async def measure(servers: int, seed: int) -> dict[str, Any]:
        return dict(One(servers, seed).figures())

    await serve({"measure": measure})


if __name__ == "__main__":
    run(main)
