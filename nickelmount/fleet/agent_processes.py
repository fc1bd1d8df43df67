"""Keeps the real agents: processes of ``python -m nickelmount``, started, restarted and looked at here.

They end with this process, which ends with its input.
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

from .role import run, serve

READY_S = 60.0
STOP_S = 1.0
LISTENS = re.compile(rb"listens on [\d.]+:(\d+)")


class RealAgent:
    """One agent: its process, and the address that it keeps over restarts."""

    def __init__(self, config: dict[str, Any], folder: Path) -> None:
        self._config, self._path = config, folder / f"{config['name']}.json"
        self._drain: asyncio.Task[None] | None = None
        self.process: asyncio.subprocess.Process | None = None
        self.port = 0
        self.used_s = 0.0  # processor time of its earlier lives

    async def start(self) -> float:
        """Seconds until it answers that it is ready."""
        self._path.write_text(json.dumps(self._config))
        began = time.monotonic()
        env = {**os.environ, "RELAY_CONFIG": str(self._path)}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "nickelmount",
            env=env,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        async with asyncio.timeout(READY_S):
            self.port = await self._listens()
            self._config["listen"] = f"127.0.0.1:{self.port}"
            while not await self._healthy():
                await asyncio.sleep(0.01)
        return time.monotonic() - began

    async def _listens(self) -> int:
        assert self.process is not None
        assert self.process.stderr is not None
        last = b""
        while line := await self.process.stderr.readline():
            last = line
            if found := LISTENS.search(line):
                self._drain = asyncio.create_task(_read_all(self.process.stderr))
                return int(found[1])
        raise RuntimeError(f"agent did not start: {last.decode(errors='replace').strip()}")

    async def _healthy(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    async def end(self, how: signal.Signals) -> None:
        process, self.process = self.process, None
        if process is None:
            return
        with contextlib.suppress(psutil.NoSuchProcess):
            self.used_s += _cpu_s(psutil.Process(process.pid))
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(how)
        try:
            async with asyncio.timeout(STOP_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
        if self._drain is not None:
            await self._drain

    def usage(self) -> dict[str, float]:
        """Processor seconds over all its lives, and resident memory in MB."""
        if self.process is None or self.process.returncode is not None:
            return {"cpu_s": self.used_s, "rss_mb": 0.0, "alive": 0.0}
        p = psutil.Process(self.process.pid)
        return {"cpu_s": self.used_s + _cpu_s(p), "rss_mb": p.memory_info().rss / 1e6, "alive": 1.0}


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


async def _read_all(stream: asyncio.StreamReader) -> None:
    """What it logs is not kept, but a full pipe would hold it up."""
    while await stream.read(65536):
        pass


class Keeper:
    """All real agents of a run."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._agents: list[RealAgent] = []

    async def start(self, configs: list[dict[str, Any]]) -> dict[str, Any]:
        ready = []
        for config in configs:  # one by one: the time to be ready is not to be that of a crowd
            self._agents.append(RealAgent(config, self._folder))
            ready.append(await self._agents[-1].start())
        return {"ports": [a.port for a in self._agents], "ready_s": ready}

    async def restart(self, indices: list[int]) -> dict[str, Any]:
        ready = []
        for i in indices:
            await self._agents[i].end(signal.SIGKILL)
            ready.append(await self._agents[i].start())
        return {"ready_s": ready}

    async def counts(self) -> dict[str, Any]:
        return {"agents": [a.usage() for a in self._agents]}

    async def end(self) -> None:
        await asyncio.gather(*(a.end(signal.SIGKILL) for a in self._agents))


async def main() -> None:
    with tempfile.TemporaryDirectory(prefix="nickelmount-fleet-") as folder:
        keeper = Keeper(Path(folder))
        try:
            await serve({"start": keeper.start, "restart": keeper.restart, "counts": keeper.counts})
        finally:
            await keeper.end()


if __name__ == "__main__":
    run(main)
