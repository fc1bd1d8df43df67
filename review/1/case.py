"""Case 1: answers that never end take the agent over its memory limit.

One answer in twenty never ends: a stream of chunks that goes on until the agent closes the connection. The
platform's stand-in reads the agent's memory every 50 ms and kills it over `memory_mb`, as DEPLOY says.
"""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

from standins import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Agent,
    Call,
    Deployment,
    Record,
    deployment,
    has_trouble,
    main,
    whole_answer,
)

MEMORY_MB = 64
SERVE_S = 90.0
SPOILT_SHARE = 0.05
CHUNK = b"400\r\n" + b"m" * 1024 + b"\r\n"
BURST, PAUSE_S = 16 * CHUNK, 0.01  # A stream of 1.6 MB/s.
SEED = 11


async def never_ending(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """Send chunks until the agent closes the connection."""
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    while not reader.at_eof() and not writer.is_closing():
        writer.write(BURST)
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
    return False


class Platform:
    """The platform, which kills an agent whose memory is over its limit."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.most_mb: dict[str, float] = {}
        self.killed: list[str] = []

    async def watch(self, running: Deployment) -> None:
        """Read the memory of all agents until this task is cancelled."""
        while True:
            for agent in running.agents:
                if agent.is_running:
                    self._check(agent)
            await asyncio.sleep(0.05)

    def _check(self, agent: Agent) -> None:
        used_mb = agent.memory_in_use_mb()
        if used_mb > self.most_mb.get(agent.name, 0.0) + 1.0:
            self.most_mb[agent.name] = used_mb
            self._record.add(f"platform: {agent.name} uses {used_mb:.1f} MB of {agent.memory_mb}")
        if used_mb > agent.memory_mb:
            self._record.say(
                f"platform: {agent.name} uses {used_mb:.1f} MB of {agent.memory_mb} and is killed"
            )
            self.killed.append(agent.name)
            agent.kill()


async def case(record: Record) -> int:
    """Serve requests while one answer in twenty never ends."""
    spoilt: list[Call] = []

    async def answer(call: Call, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        if has_trouble() and running.world.random.random() < SPOILT_SHARE:
            spoilt.append(call)
            record.add(f"{call.runs[-1]} never ends its answer to {call.id}")
            return await never_ending(reader, writer)
        writer.write(whole_answer(call.sheet))
        return True

    platform = Platform(record)
    async with deployment(record, answer, SEED, MEMORY_MB) as running:
        watching = asyncio.create_task(platform.watch(running))
        await running.serve(SERVE_S)
        watching.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watching
        ended = [agent.name for agent in running.agents if not agent.is_running]
    calls = list(running.world.calls.values())
    served = sum(call.answer == 200 for call in calls)
    unanswered = sum(call.answer is None for call in calls)
    record.say(
        f"{len(calls)} requests, {served} served, {unanswered} without an answer, {len(spoilt)} spoilt"
    )
    record.say(f"most memory in MB: { {name: round(mb, 1) for name, mb in platform.most_mb.items()} }")
    if platform.killed or ended:
        record.say(f"BROKEN: agents over their memory limit or ended: {platform.killed or ended}")
        return BROKEN
    if served < len(calls) // 2:
        return COULD_NOT_RUN
    return HELD


main(Path(__file__).resolve().parent, case)
