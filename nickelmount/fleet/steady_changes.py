"""Changes of the endpoint list at a constant rate, each of one server."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import Random

from .versioned_list import VersionedList


class SteadyChanges:
    """A source of changes: one change lets a server drain, and the next one lets the same server serve again.

    A server that serves again has a new start time, as after a restart. `get_list` returns the list to
    change. `on_change` is called after each change; its result is ignored.
    """

    def __init__(self, get_list: Callable[[], VersionedList], on_change: Callable[[], object]) -> None:
        self._get_list, self._on_change = get_list, on_change
        self._task: asyncio.Task[None] | None = None
        self._drained_id: str | None = None  # Server that the latest change drained, if any.

    def start(self, per_s: float, seed: int) -> None:
        """Make `per_s` changes per second from now on."""
        self.stop()
        self._task = asyncio.get_running_loop().create_task(self._run(1 / per_s, Random(seed)))

    def stop(self) -> None:
        """Stop making changes."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _run(self, interval_s: float, random: Random) -> None:
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        while True:
            due_s = max(due_s + interval_s, loop.time())  # Late changes are not made up for in a burst.
            await asyncio.sleep(due_s - loop.time())
            self._change_one(random)

    def _change_one(self, random: Random) -> None:
        versioned_list = self._get_list()
        drained_id, self._drained_id = self._drained_id, None
        if drained_id is not None and versioned_list.phase(drained_id) == "DRAINING":
            versioned_list.change([drained_id], "SERVING", started_at_ms=unix_time_ms())
            self._on_change()
        elif serving := versioned_list.entries("SERVING"):
            self._drained_id = random.choice(serving).id
            versioned_list.change([self._drained_id], "DRAINING")
            self._on_change()


def unix_time_ms() -> int:
    """Return the current Unix time in ms."""
    return time.time_ns() // 1_000_000
