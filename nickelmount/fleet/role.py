"""One process of the fleet: carries out commands from its standard input, and ends when that ends.

A command is one line, ``{"do": name, ...arguments}``; its answer is one line, ``{"ok": {...}}`` or
``{"error": "one line"}``, in order. Since the end of its input ends the process, none is left behind even if
the runner is killed.
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

Command = Callable[..., Awaitable[object]]  # answers with what msgspec encodes as a JSON object
Arguments = TypeVar("Arguments")

MAX_LINE_BYTES = 64 * 1024 * 1024  # histograms, and times of thousands of agents, are one line


class EmptyAnswer(msgspec.Struct, frozen=True):
    """The answer of a command that has nothing to say."""


class Usage(msgspec.Struct, frozen=True):
    """What a process has used."""

    cpu_s: float  # processor time, user and system
    rss_mb: float  # resident memory


def usage() -> Usage:
    """Return what this process has used."""
    process = psutil.Process()
    times = process.cpu_times()
    return Usage(cpu_s=times.user + times.system, rss_mb=process.memory_info().rss / 1e6)


def typed_command(
    arguments_type: type[Arguments], handler: Callable[[Arguments], Awaitable[object]]
) -> Command:
    """Return a command whose arguments are converted to one typed message.

    The command raises msgspec.ValidationError where they do not have its form.
    """

    async def command(**arguments: Any) -> object:
        return await handler(msgspec.convert(arguments, arguments_type))

    return command


async def serve(commands: Mapping[str, Command]) -> None:
    """Carry out commands until standard input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        answer = await _carry_out(commands, line)
        await asyncio.to_thread(_write_to_stdout, msgspec.json.encode(answer) + b"\n")


async def _carry_out(commands: Mapping[str, Command], line: bytes) -> dict[str, Any]:
    try:
        arguments = msgspec.json.decode(line, type=dict[str, Any])
        name = arguments.pop("do")
        return {"ok": await commands[name](**arguments)}
    except (
        Exception
    ) as error:  # a command may raise anything, and without a line the runner would wait forever
        return {"error": f"{type(error).__name__}: {error}".replace("\n", " ")}


def _write_to_stdout(line: bytes) -> None:
    while line:
        line = line[os.write(1, line) :]


def run(main: Callable[[], Awaitable[None]]) -> None:
    """Run a role until its input ends, or a SIGTERM.

    An interrupt of the terminal reaches the runner as well, which then ends the input.
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
