"""The process that runs the real agents: ``python -m nickelmount.fleet.agent_processes``.

Each real agent is a child process, ``python -m nickelmount``. When the standard input of this process ends,
the process kills the agents and then ends itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import psutil

from .agent_messages import AgentsRestarted, AgentsStarted, AgentUsage, AgentUsages
from .errors import RoleError
from .role import run, serve

READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 1.0  # An agent that has not ended this long after its signal is killed.
HEALTH_POLL_INTERVAL_S = 0.01
_LISTENING = re.compile(rb"listens on [\d.]+:(\d+)")  # The log line in which an agent names its port.


class AgentProcess:
    """A real agent: its current process, and its address, which stays the same across restarts."""

    def __init__(self, config: dict[str, Any], folder: Path) -> None:
        self._config, self._config_path = config, folder / f"{config['name']}.json"
        self._log_reader: asyncio.Task[None] | None = None
        self._process: asyncio.subprocess.Process | None = None
        self._ended_cpu_s = 0.0  # Processor time of the agent's processes that have ended.
        self.port = 0

    async def start(self) -> float:
        """Start the agent, and return the seconds until its health check succeeded.

        Raises RoleError if the agent ends before it listens on a port, and TimeoutError if it is not ready
        after READY_TIMEOUT_S.
        """
        self._config_path.write_text(json.dumps(self._config))
        started_s = time.monotonic()
        environment = {**os.environ, "RELAY_CONFIG": str(self._config_path)}
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "nickelmount",
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        async with asyncio.timeout(READY_TIMEOUT_S):
            self.port = await self._listening_port(self._process)
            self._config["listen"] = f"127.0.0.1:{self.port}"
            await self._poll_until_healthy()
        return time.monotonic() - started_s

    async def _listening_port(self, process: asyncio.subprocess.Process) -> int:
        """Read the log of the agent until it names the listening port, and return the port."""
        assert process.stderr is not None
        last_line = b""
        while line := await process.stderr.readline():
            last_line = line
            if match := _LISTENING.search(line):
                self._log_reader = asyncio.create_task(_discard_all(process.stderr))
                return int(match[1])
        raise RoleError(
            f"the agent ended before it listened on a port: {last_line.decode(errors='replace').strip()}"
        )

    async def _poll_until_healthy(self) -> None:
        """Repeat the health check until it succeeds.

        The agent is another process and has no event that could be awaited here.
        """
        while True:
            if await self._is_healthy():
                return
            await asyncio.sleep(HEALTH_POLL_INTERVAL_S)

    async def _is_healthy(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
            status_line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in status_line

    async def end(self, signal_number: signal.Signals) -> None:
        """Send a signal to the agent and wait until it ends; kill it after STOP_TIMEOUT_S."""
        process, self._process = self._process, None
        if process is None:
            return
        with contextlib.suppress(psutil.NoSuchProcess):
            self._ended_cpu_s += _cpu_s(psutil.Process(process.pid))
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal_number)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
        if self._log_reader is not None:
            await self._log_reader

    def usage(self) -> AgentUsage:
        """Return the processor time of the agent over all restarts, and its resident memory."""
        if self._process is None or self._process.returncode is not None:
            return AgentUsage(cpu_s=self._ended_cpu_s, rss_mb=0.0, alive=0.0)
        process = psutil.Process(self._process.pid)
        rss_mb = process.memory_info().rss / 1e6
        return AgentUsage(cpu_s=self._ended_cpu_s + _cpu_s(process), rss_mb=rss_mb, alive=1.0)


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


async def _discard_all(stream: asyncio.StreamReader) -> None:
    """Read and discard the log of an agent, because a full pipe would block the agent at its next write."""
    while await stream.read(65536):
        pass


class AgentProcesses:
    """All real agents of a run. The public coroutines are the commands of the role."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._agents: list[AgentProcess] = []

    async def start(self, configs: list[dict[str, Any]]) -> AgentsStarted:
        """Start one agent for each configuration, one after the other.

        Agents that start at the same time would compete for processors, so that the measured times would be
        too long.
        """
        ready_s = []
        for config in configs:
            agent = AgentProcess(config, self._folder)
            self._agents.append(agent)
            ready_s.append(await agent.start())
        return AgentsStarted([agent.port for agent in self._agents], ready_s)

    async def restart(self, indices: list[int]) -> AgentsRestarted:
        """Kill and restart the agents at these indices, one after the other."""
        ready_s = []
        for index in indices:
            await self._agents[index].end(signal.SIGKILL)
            ready_s.append(await self._agents[index].start())
        return AgentsRestarted(ready_s)

    async def usages(self) -> AgentUsages:
        """Return the resource usage of each agent."""
        return AgentUsages([agent.usage() for agent in self._agents])

    async def end(self) -> None:
        """Kill all agents."""
        await asyncio.gather(*(agent.end(signal.SIGKILL) for agent in self._agents))


async def main() -> None:
    """Run the role until its standard input ends."""
    with tempfile.TemporaryDirectory(prefix="nickelmount-fleet-") as folder:
        agents = AgentProcesses(Path(folder))
        try:
            await serve({"start": agents.start, "restart": agents.restart, "counts": agents.usages})
        finally:
            await agents.end()


if __name__ == "__main__":
    run(main)
