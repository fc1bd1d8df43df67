"""The runner's side of a role: the child process, its commands and its end."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from typing import Any, TypeVar

import msgspec
import psutil

from .errors import RoleError
from .role import MAX_LINE_BYTES

END_TIMEOUT_S = 3.0  # A role that has not ended this long after the end of its input is killed.

Answer = TypeVar("Answer")


class RoleProcess:
    """A child process that executes one command at a time. Several roles run in parallel."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name, self._process = name, process
        self._lock = asyncio.Lock()

    @classmethod
    async def start(cls, module: str) -> RoleProcess:
        """Start the role that is defined in a module of this package."""
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
        """Send a command and return its answer.

        Raises RoleError if the command fails, the process has ended, or the answer is not of `answer_type`.
        """
        line = await self._exchange(msgspec.json.encode({"do": command, **arguments}) + b"\n")
        if not line:
            raise RoleError(f"{self.name}: {command}: the process ended without an answer")
        try:
            answer = msgspec.json.decode(line, type=dict[str, Any])
            if "error" in answer:
                raise RoleError(f"{self.name}: {command}: {answer['error']}")
            return msgspec.convert(answer.get("ok"), answer_type)
        except msgspec.DecodeError as error:
            raise RoleError(f"{self.name}: {command}: unexpected answer: {error}") from error

    async def _exchange(self, line: bytes) -> bytes:
        """Send a line, and return the line that answers it, or an empty one if the process has ended."""
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
        """Return the resident memory of the process and its children, or 0 if the process has ended.

        A page that several processes share is counted once for each of them.
        """
        with contextlib.suppress(psutil.NoSuchProcess):
            process = psutil.Process(self._process.pid)
            processes = (process, *process.children(recursive=True))
            return float(sum(member.memory_info().rss for member in processes)) / 1e6
        return 0.0

    async def end(self) -> None:
        """Close the input of the process and wait until it ends; kill it after END_TIMEOUT_S."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
