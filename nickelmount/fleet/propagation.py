"""The propagation delay of list changes: the time until the hollow agents have applied a change."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from .agent_messages import ListTimes
from .figures import PERCENTILES, Figures, quantile
from .role_process import RoleProcess

POLL_INTERVAL_S = 0.2


@dataclass(frozen=True, slots=True)
class HollowWorker:
    """A process of hollow agents, with the numbers of its agents."""

    process: RoleProcess
    agent_numbers: list[int]


@dataclass(frozen=True, slots=True)
class PropagationTarget:
    """A revision that hollow agents should receive, and the time from which its delay is measured."""

    label: str  # Label of the event that is measured.
    revision: int
    since_ns: int  # Monotonic time in ns from which the delay is measured.
    # Numbers of the hollow agents that are measured; if it is empty, all of them are.
    agent_numbers: frozenset[int] = frozenset()


class PropagationMeasurement:
    """The measurement of the propagation delays of one run."""

    def __init__(self, workers: list[HollowWorker]) -> None:
        self._workers = workers
        self._targets: list[PropagationTarget] = []

    def add(self, target: PropagationTarget) -> None:
        """Add a revision whose propagation delay is measured."""
        self._targets.append(target)

    async def settle(self, max_settle_s: float) -> Figures:
        """Wait until the measured agents have applied the revisions of all targets, at most `max_settle_s`.

        Returns figures of the propagation delays.
        """
        deadline_s = time.monotonic() + max_settle_s
        while True:
            delays_ms = {target.label: await self._delays_ms(target) for target in self._targets}
            is_complete = all(None not in delays for delays in delays_ms.values())
            if is_complete or time.monotonic() > deadline_s:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        figures: Figures = {}
        for label, delays in delays_ms.items():
            figures |= _propagation_figures(label, delays)
        return figures

    async def _delays_ms(self, target: PropagationTarget) -> list[float | None]:
        """Return the delay of each measured agent, or None if it does not have the revision yet."""
        answers = await asyncio.gather(
            *(
                worker.process.call(ListTimes, "had", revision=target.revision, since_ns=target.since_ns)
                for worker in self._workers
            )
        )
        return [
            (received_ns - target.since_ns) / 1e6 if received_ns else None
            for worker, answer in zip(self._workers, answers, strict=True)
            for number, received_ns in zip(worker.agent_numbers, answer.at_ns, strict=True)
            if not target.agent_numbers or number in target.agent_numbers
        ]


def _propagation_figures(label: str, delays_ms: list[float | None]) -> Figures:
    reached_delays_ms = sorted(delay for delay in delays_ms if delay is not None)
    figures: Figures = {
        f"force.{label}.agents.count": len(delays_ms),
        f"force.{label}.reached.share": len(reached_delays_ms) / max(1, len(delays_ms)),
    }
    if reached_delays_ms:
        for name, percentile in PERCENTILES.items():
            figures[f"force.{label}.{name}.ms"] = quantile(reached_delays_ms, percentile / 100)
    return figures
