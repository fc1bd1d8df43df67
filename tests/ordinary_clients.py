"""Ordinary clients of an agent process, whose requests must be answered in time whatever others do."""

from __future__ import annotations

import asyncio
import contextlib
import time

from tests.agent_process import AgentProcess
from tests.loopback import NOT_IDEMPOTENT, Message, ScriptedServer, post

TIMEOUT_S = 0.3
LATE_S = 0.55  # An answer may come this long after its request's time, according to the rules on sockets.
REQUEST_INTERVAL_S = 0.025


async def answer_all(endpoint: ScriptedServer) -> None:
    """Answer every request of an endpoint at once, until the task is cancelled."""
    while True:
        message: Message = await endpoint.requests.get()
        with contextlib.suppress(ConnectionError):
            await message.answer()


class OrdinaryClients:
    """Clients that send one request each, at a fixed interval, and wait for the answer."""

    def __init__(self, agent: AgentProcess) -> None:
        self._agent = agent
        self._requests: list[asyncio.Task[float]] = []

    async def send(self, count: int) -> None:
        """Send so many requests, and return without waiting for the last answers."""
        for _ in range(count):
            self._requests.append(asyncio.create_task(self._seconds_until_answer(len(self._requests))))
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def check_answers(self) -> None:
        """Wait for all answers, and fail if one was late; fails too if a connection ended without one."""
        durations = await asyncio.gather(*self._requests)
        print(f"the latest of {len(durations)} answers took {max(durations):.3f} s")
        assert max(durations) < TIMEOUT_S + LATE_S

    async def _seconds_until_answer(self, number: int) -> float:
        client = await self._agent.client()
        started_at = time.monotonic()
        timeout_ms = f"{int(TIMEOUT_S * 1000)}"
        await client.write(post(NOT_IDEMPOTENT, Request_Id=f"n{number}", timeout_ms=timeout_ms))
        await client.read()
        client.close()
        return time.monotonic() - started_at
