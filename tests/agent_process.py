"""An agent that runs in a separate process, with its configuration file and its log."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from tests.loopback import ScriptedServer, StreamConnection


class AgentProcess:
    """An agent in a separate process."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "config.json"
        self._process: asyncio.subprocess.Process | None = None
        self.port = 0  # The port on which the agent listens; 0 until it has started.

    @property
    def process(self) -> asyncio.subprocess.Process:
        """The process of the agent, which must have been started."""
        assert self._process is not None
        return self._process

    def write_config(self, text: str) -> None:
        """Replace the configuration file in one step."""
        new_path = self._path.with_suffix(".new")
        new_path.write_text(text)
        new_path.replace(self._path)

    def write_config_with_discovery(self, document: dict[str, Any], discovery: ScriptedServer) -> None:
        """Write the configuration with the address of another discovery, without a signal to the agent."""
        self.write_config(json.dumps(document | {"discovery": f"127.0.0.1:{discovery.port}"}))

    async def start(self, document: dict[str, Any]) -> None:
        """Start the process, and return when the agent listens."""
        self.write_config(json.dumps(document))
        # RELAY_DISCOVERY keeps the address of the first discovery until the process ends.
        env = {**os.environ, "RELAY_CONFIG": str(self._path), "RELAY_DISCOVERY": document["discovery"]}
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "nickelmount", env=env, stderr=asyncio.subprocess.PIPE
        )
        self.port = int((await self.wait_for_log_line("listens on")).rpartition(":")[2])

    async def wait_for_log_line(self, text: str) -> str:
        """Return the next line of the agent's log that contains the text; fails if the log ends before."""
        assert self.process.stderr is not None
        while text.encode() not in (line := await self.process.stderr.readline()):
            assert line, f"the log ended without a line that contains {text!r}"
        return line.decode()

    async def client(self) -> StreamConnection:
        """Open a new connection of a client to the agent."""
        return StreamConnection(*await asyncio.open_connection("127.0.0.1", self.port))

    async def stop(self) -> None:
        """Shut the agent down gracefully; fails if its exit code is not 0."""
        self.process.send_signal(signal.SIGTERM)
        assert await self.process.wait() == 0

    def private_memory_mb(self) -> float:
        """Return the private memory (RssAnon) of the process in MB of 2^20 bytes."""
        return self._memory_mb("RssAnon")

    def resident_memory_mb(self) -> float:
        """Return the memory of the process with the pages of files (VmRSS) in MB of 2^20 bytes."""
        return self._memory_mb("VmRSS")

    def _memory_mb(self, field: str) -> float:
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        return int(next(line.split()[1] for line in lines if line.startswith(f"{field}:"))) / 1024

    def kill(self) -> None:
        """Kill the process if it is still running."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()


@contextlib.asynccontextmanager
async def agent_process(folder: Path, document: dict[str, Any]) -> AsyncIterator[AgentProcess]:
    """Run an agent that listens, and kill its process at the end of the block if it is still running."""
    agent = AgentProcess(folder)
    try:
        await agent.start(document)
        yield agent
    finally:
        agent.kill()


@contextlib.asynccontextmanager
async def started_peers(count: int) -> AsyncIterator[list[ScriptedServer]]:
    """Start scripted servers, and stop them at the end of the block."""
    peers = [await ScriptedServer().start() for _ in range(count)]
    try:
        yield peers
    finally:
        for peer in peers:
            await peer.stop()


def complete_list_body(revision: int, *members: dict[str, Any]) -> bytes:
    """Return the body of an answer of discovery with a complete endpoint list."""
    return json.dumps({"revision": revision, "complete": True, "members": members}).encode()
