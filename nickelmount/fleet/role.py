"""One process of the fleet: takes commands on standard input, one JSON object a line, and ends with it.

A command is ``{"do": name, ...arguments}``; its answer is ``{"ok": {...}}`` or ``{"error": "one line"}``, one
line each, in order. As the end of input ends the process, none is left behind whatever becomes of the runner.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import msgspec
import psutil

Command = Callable[..., Awaitable[dict[str, Any]]]

LINE_BYTES = 64 * 1024 * 1024  # histograms and times of thousands of agents come as one line


def usage() -> dict[str, float]:
    """What this process has used: processor seconds, user and system, and resident memory in MB."""
    own = psutil.Process()
    times = own.cpu_times()
    return {"cpu_s": times.user + times.system, "rss_mb": own.memory_info().rss / 1e6}


async def serve(commands: Mapping[str, Command]) -> None:
    """Carry out commands until standard input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        answer = await _carried_out(commands, line)
        await asyncio.to_thread(_say, msgspec.json.encode(answer) + b"\n")


async def _carried_out(commands: Mapping[str, Command], line: bytes) -> dict[str, Any]:
    try:
        arguments = msgspec.json.decode(line, type=dict[str, Any])
        name = arguments.pop("do")
        return {"ok": await commands[name](**arguments)}
    except Exception as e:  # whatever it is, the runner waits for a line
        return {"error": f"{type(e).__name__}: {e}".replace("\n", " ")}


def _say(line: bytes) -> None:
    while line:
        line = line[os.write(1, line) :]


def run(main: Callable[[], Awaitable[None]]) -> None:
    """Run a role to its end. An interrupt of the terminal is the runner's affair, which ends the input."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)

    async def whole() -> None:
        task = asyncio.ensure_future(main())
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            await task
        except asyncio.CancelledError:
            return

    asyncio.run(whole())
