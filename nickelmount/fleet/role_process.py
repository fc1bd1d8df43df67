"""The runner's side of a role: a child process, its commands and its end."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from typing import Any

import msgspec
import psutil

from .role import MAX_LINE_BYTES

END_S = 3.0  # then a role that does not end with its input is killed


class RoleError(Exception):
    """A role could not carry out a command, or has ended."""


class Role:
    """A child process that takes commands. One at a time; several roles work side by side."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name, self._process = name, process
        self._lock = asyncio.Lock()

    @classmethod
    async def begin(cls, module: str) -> Role:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"nickelmount.fleet.{module}",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
            start_new_session=True,
        )
        return cls(module, process)

    async def call(self, name: str, /, **arguments: Any) -> dict[str, Any]:
        """The answer to a command; raises RoleError."""
        stdin, stdout = self._process.stdin, self._process.stdout
        assert stdin is not None
        assert stdout is not None
        async with self._lock:
            try:
                stdin.write(msgspec.json.encode({"do": name, **arguments}) + b"\n")
                await stdin.drain()
                line = await stdout.readline()
            except ConnectionError:
                line = b""
        if not line:
            raise RoleError(f"{self.name} has ended during {name}")
        answer = msgspec.json.decode(line, type=dict[str, Any])
        if "error" in answer:
            raise RoleError(f"{self.name}: {name}: {answer['error']}")
        found: dict[str, Any] = answer["ok"]
        return found

    def memory_mb(self) -> float:
        """Of it and its children; shared pages count once for each."""
        with contextlib.suppress(psutil.NoSuchProcess):
            p = psutil.Process(self._process.pid)
            return float(sum(q.memory_info().rss for q in (p, *p.children(recursive=True)))) / 1e6
        return 0.0

    async def end(self) -> None:
        """Close its input and wait; one that does not end is killed."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            async with asyncio.timeout(END_S):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
