"""The cost of lists, changes and decisions in one agent, by the number of listed servers.

The list parser and the balancer are measured alone, without sockets. Each size of each run is measured in a
process of its own, ``python -m nickelmount.fleet.slopes``, so that the memory of the process is that of one
agent.
"""

from __future__ import annotations

import gc
import json
import resource
import statistics
import time
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import TypeVar

from nickelmount.agent.assembly import build_upstream
from nickelmount.agent.clock import Clock
from nickelmount.agent.config import Config, config_from
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
from nickelmount.protocol.endpoint_list import EndpointList

from .agent_config import MAX_ENDPOINT_CONNECTIONS, build_agent_config
from .experiment import Experiment
from .figures import Figures, quantile
from .role import run, serve, usage
from .steady_changes import unix_time_ms
from .versioned_list import ServerLayout, VersionedList, generate_entries

# The durations below are on the balancer's clock.
CHANGE_COUNT = 200  # Number of measured changes, each of one server.
REPEATED_LISTS = 5  # Number of measured times that the complete list is applied again.
REQUESTS_DURATION_S = 20
REQUEST_RATE_PER_S = 70  # The rate that the operators' capacity page uses.
REQUEST_TIMEOUT_US = 2_000_000
RESPONSE_TIME_US = 20_000  # Time from the start of an attempt until its answer.
CHANGE_INTERVAL_US = 100_000

Result = TypeVar("Result")


def _timed(call: Callable[[], Result]) -> tuple[Result, float]:
    """Return the result of a call and its duration in us."""
    started_ns = time.perf_counter_ns()
    result = call()
    return result, (time.perf_counter_ns() - started_ns) / 1e3


def _build_upstream_and_balancer(
    agent_config: Config, clock: Clock, instance_count: int, seed: int
) -> tuple[Upstream, Balancer]:
    """Build the parts of an agent that apply lists and make decisions."""
    settings = replace(agent_config.settings, instance_count=instance_count)
    upstream = build_upstream(agent_config, clock, MAX_ENDPOINT_CONNECTIONS)
    return upstream, Balancer(settings, seed)


class ScalingMeasurement:
    """The measurement of an agent's lists and decisions, without its sockets, at one number of servers."""

    def __init__(self, servers: int, seed: int) -> None:
        self._random = Random(seed)
        experiment = Experiment(name="slopes", seed=seed)
        layout = ServerLayout(
            servers=servers,
            seed=seed,
            regions=experiment.servers.regions,
            zones_per_region=experiment.servers.zones_per_region,
            racks_per_zone=experiment.servers.racks_per_zone,
            ports=[9000],
        )
        self._list = VersionedList(generate_entries(layout), CHANGE_COUNT)
        clock = Clock()
        empty_list = {"revision": 0, "complete": True, "members": []}
        self._config = config_from(build_agent_config(experiment, 0, 9, empty_list), {}, clock)
        self._upstream, self._balancer = _build_upstream_and_balancer(
            self._config, clock, max(1, servers), seed
        )
        self._now_us = 1_000_000  # Current time on the balancer's clock.
        self._apply(self._config.cached_list, ListUpdateKind.CACHED)

    def figures(self) -> Figures:
        """Measure lists, then changes, then decisions, and return the figures."""
        body = self._list.response_body(None)
        gc.collect()
        before_mb = usage().rss_mb
        _, first_us = _timed(lambda: self._receive(body))
        repeated_us = [_timed(lambda: self._receive(body))[1] for _ in range(REPEATED_LISTS)]
        memory_mb = usage().rss_mb - before_mb
        changes_us = [self._measure_change() for _ in range(CHANGE_COUNT)]
        decisions_us = sorted(self._measure_decisions())
        return {
            "whole.size.bytes": float(len(body)),
            "whole.first.ms": first_us / 1e3,
            "whole.again.ms": statistics.median(repeated_us) / 1e3,
            "change.p50.us": statistics.median(changes_us),
            "change.most.us": max(changes_us),
            "decision.p50.us": statistics.median(decisions_us),
            "decision.p99.us": quantile(decisions_us, 0.99),
            "decision.most.us": max(decisions_us),
            "memory.mb": memory_mb,
            "memory_most.mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1e3,
        }

    def _handle(self, event: Event) -> list[Action]:
        return self._balancer.handle(self._now_us, event)

    def _apply(self, endpoint_list: EndpointList, kind: ListUpdateKind) -> None:
        self._handle(EndpointsChanged(kind, self._upstream.apply(endpoint_list)))

    def _receive(self, body: bytes) -> None:
        self._apply(self._config.list_parser.parse(json.loads(body)), ListUpdateKind.DELTA)

    def _measure_change(self) -> float:
        """Return the time in us to apply one change.

        The change lets a server drain or, if one is draining, lets it serve again.
        """
        versioned_list, base = self._list, self._list.revision
        if len(versioned_list.entries("SERVING")) < len(versioned_list.entries()):
            versioned_list.restore(unix_time_ms())
        else:
            versioned_list.change([self._random.choice(versioned_list.entries()).id], "DRAINING")
        body = versioned_list.response_body(base)
        self._now_us += CHANGE_INTERVAL_US
        return _timed(lambda: self._receive(body))[1]

    def _measure_decisions(self) -> list[float]:
        """Return the time in us that the balancer takes for each request: for its arrival and its answers."""
        durations_us: list[float] = []
        attempts: deque[tuple[int, AttemptEnded]] = deque()  # In flight, ordered by their end time.
        for request_id in range(1, REQUESTS_DURATION_S * REQUEST_RATE_PER_S + 1):
            self._now_us += 1_000_000 // REQUEST_RATE_PER_S
            while attempts and attempts[0][0] <= self._now_us:
                _, end = attempts.popleft()
                durations_us[end.request_id - 1] += self._timed_handle(end)[1]
            actions, duration_us = self._timed_handle(RequestArrived(request_id, 0, REQUEST_TIMEOUT_US))
            durations_us.append(duration_us)
            for action in actions:
                if isinstance(action, SendAttempt):
                    attempts.append((self._now_us + RESPONSE_TIME_US, _successful_end(request_id, action)))
        return durations_us

    def _timed_handle(self, event: Event) -> tuple[list[Action], float]:
        return _timed(lambda: self._handle(event))


def _successful_end(request_id: int, attempt: SendAttempt) -> AttemptEnded:
    load_report = (1.0, 0.0, 10.0)
    return AttemptEnded(
        request_id, attempt.attempt, attempt.endpoint_id, Outcome.OK, RESPONSE_TIME_US, True, load_report
    )


async def main() -> None:
    """Run the role until its standard input ends."""

    async def measure(servers: int, seed: int) -> Figures:
        return ScalingMeasurement(servers, seed).figures()

    await serve({"measure": measure})


if __name__ == "__main__":
    run(main)
