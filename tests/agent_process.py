"""The agent as a process of its own, with its configuration file and its log."""

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
    """The agent as a process."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "config.json"
        self._process: asyncio.subprocess.Process | None = None
        self.port = 0  # where it listens

    @property
    def process(self) -> asyncio.subprocess.Process:
        """The process that was started."""
        assert self._process is not None
        return self._process

    def write_config(self, text: str) -> None:
        """Replace the configuration file in one step."""
        new = self._path.with_suffix(".new")
        new.write_text(text)
        new.replace(self._path)

    def write_config_with_discovery(self, document: dict[str, Any], discovery: ScriptedServer) -> None:
        """Write the same configuration with another discovery."""
        self.write_config(json.dumps(document | {"discovery": f"127.0.0.1:{discovery.port}"}))

    async def start(self, document: dict[str, Any]) -> None:
        """Return once it listens."""
        self.write_config(json.dumps(document))
        # The environment names the first discovery for as long as the process lives.
        env = {**os.environ, "RELAY_CONFIG": str(self._path), "RELAY_DISCOVERY": document["discovery"]}
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "nickelmount", env=env, stderr=asyncio.subprocess.PIPE
        )
        self.port = int((await self.wait_for_log_line("listens on")).rpartition(":")[2])

    async def wait_for_log_line(self, text: str) -> str:
        """The next line of its log that contains the text."""
        assert self.process.stderr is not None
        while text.encode() not in (line := await self.process.stderr.readline()):
            assert line, "ended"
        return line.decode()

    async def client(self) -> StreamConnection:
        """A new connection of a client."""
        return StreamConnection(*await asyncio.open_connection("127.0.0.1", self.port))

    async def stop(self) -> None:
        """Shut it down; it must end with exit code 0."""
        self.process.send_signal(signal.SIGTERM)
        assert await self.process.wait() == 0

    def kill(self) -> None:
        """End it at once, if it still runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()


@contextlib.asynccontextmanager
async def agent_process(folder: Path, document: dict[str, Any]) -> AsyncIterator[AgentProcess]:
    """An agent that listens; a test that fails before the agent has ended leaves no process behind."""
    agent = AgentProcess(folder)
    try:
        await agent.start(document)
        yield agent
    finally:
        agent.kill()


@contextlib.asynccontextmanager
async def started_peers(count: int) -> AsyncIterator[list[ScriptedServer]]:
    """Scripted servers, stopped at the end of the block."""
    peers = [await ScriptedServer().start() for _ in range(count)]
    try:
        yield peers
    finally:
        for peer in peers:
            await peer.stop()


def complete_list_body(revision: int, *members: dict[str, Any]) -> bytes:
    """An answer of discovery."""
    return json.dumps({"revision": revision, "complete": True, "members": members}).encode()
