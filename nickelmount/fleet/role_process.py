"""The runner's side of a role: a child process, its commands and its end."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from typing import Any, TypeVar

import msgspec
import psutil

from .errors import RoleError
from .role import MAX_LINE_BYTES

END_TIMEOUT_S = 3.0  # then a role that does not end with its input is killed

Answer = TypeVar("Answer")


class RoleProcess:
    """A child process that takes commands, one at a time; several roles work side by side."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name, self._process = name, process
        self._lock = asyncio.Lock()

    @classmethod
    async def start(cls, module: str) -> RoleProcess:
        """Start the role of a module of this package."""
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

    async def call(self, answer_type: type[Answer], command: str, /, **arguments: Any) -> Answer:
        """Return the answer to a command; raises RoleError."""
        line = await self._exchange(msgspec.json.encode({"do": command, **arguments}) + b"\n")
        if not line:
            raise RoleError(f"{self.name} has ended during {command}")
        try:
            answer = msgspec.json.decode(line, type=dict[str, Any])
            if "error" in answer:
                raise RoleError(f"{self.name}: {command}: {answer['error']}")
            return msgspec.convert(answer.get("ok"), answer_type)
        except msgspec.DecodeError as error:
            raise RoleError(f"{self.name}: {command}: unexpected answer: {error}") from error

    async def _exchange(self, line: bytes) -> bytes:
        """Return the line that answers a line; empty where the process has ended."""
        stdin, stdout = self._process.stdin, self._process.stdout
        assert stdin is not None
        assert stdout is not None
        async with self._lock:
            try:
                stdin.write(line)
                await stdin.drain()
                return await stdout.readline()
            except ConnectionError:
                return b""

    def memory_mb(self) -> float:
        """Return the resident memory of it and its children; shared pages count once for each."""
        with contextlib.suppress(psutil.NoSuchProcess):
            process = psutil.Process(self._process.pid)
            family = (process, *process.children(recursive=True))
            return float(sum(member.memory_info().rss for member in family)) / 1e6
        return 0.0

    async def end(self) -> None:
        """Close its input and wait; one that does not end by its timeout is killed."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
