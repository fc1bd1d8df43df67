"""A role: a process of the fleet that executes commands from its standard input and ends when the input ends.

A command is one line, ``{"do": name, ...arguments}``. Its answer is one line, ``{"ok": {...}}`` or
``{"error": "one line"}``. Answers are in the order of the commands. Because a process ends with its input, no
process is left behind even if the runner is killed.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, TypeVar

import msgspec
import psutil

Command = Callable[..., Awaitable[object]]  # Returns an object that msgspec encodes as a JSON object.
Arguments = TypeVar("Arguments")

# Maximum length of a line, which may contain histograms or the times of thousands of agents.
MAX_LINE_BYTES = 64 * 1024 * 1024


class EmptyAnswer(msgspec.Struct, frozen=True):
    """Answer to a command that returns no values."""


class Usage(msgspec.Struct, frozen=True):
    """Resource usage of a process."""

    cpu_s: float  # Processor time since the start of the process, user and system.
    rss_mb: float  # Resident memory.


def usage() -> Usage:
    """Return the resource usage of this process."""
    process = psutil.Process()
    times = process.cpu_times()
    return Usage(cpu_s=times.user + times.system, rss_mb=process.memory_info().rss / 1e6)


def typed_command(
    arguments_type: type[Arguments], handler: Callable[[Arguments], Awaitable[object]]
) -> Command:
    """Return a command that converts its arguments to one typed message and passes it to the handler.

    The command raises msgspec.ValidationError if the arguments do not match the type.
    """

    async def command(**arguments: Any) -> object:
        return await handler(msgspec.convert(arguments, arguments_type))

    return command


async def serve(commands: Mapping[str, Command]) -> None:
    """Execute commands until standard input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        answer = await _execute(commands, line)
        await asyncio.to_thread(_write_to_stdout, msgspec.json.encode(answer) + b"\n")


async def _execute(commands: Mapping[str, Command], line: bytes) -> dict[str, Any]:
    try:
        arguments = msgspec.json.decode(line, type=dict[str, Any])
        name = arguments.pop("do")
        return {"ok": await commands[name](**arguments)}
    except Exception as error:
        # A command may raise any exception. Without an answer, the runner would wait forever.
        return {"error": f"{type(error).__name__}: {error}".replace("\n", " ")}


def _write_to_stdout(line: bytes) -> None:
    while line:
        line = line[os.write(1, line) :]


def run(main: Callable[[], Awaitable[None]]) -> None:
    """Run a role until its standard input ends or it receives SIGTERM.

    SIGINT is ignored, because an interrupt from the terminal also reaches the runner, which ends its roles.
    """
    signal.signal(signal.SIGINT, signal.SIG_IGN)

    async def run_until_terminated() -> None:
        task = asyncio.ensure_future(main())
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            await task
        except asyncio.CancelledError:
            return

    asyncio.run(run_until_terminated())
