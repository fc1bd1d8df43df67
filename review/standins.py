"""Stand-ins for the clients, the map servers, discovery and the platform, for the cases of the review.

Everything runs on loopback addresses with ports that the operating system picks. The settings are those of a
small deployment: nine map servers, two agents and 82 requests per second in all.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import logging
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # Exit codes of a case.
TIME_LIMIT_S = 110.0  # A case that runs for longer than this could not run.
READY_WITHIN_S = 30.0
GIVE_UP_AFTER_S = 0.5  # A client waits this long after the time of its request.
ZONES = ("esbjerg", "herning", "aarhus")
SERVERS, AGENTS = 9, 2
REQUESTS_PER_S = 82.0  # Over all agents.
# Name, share of the requests, time that the client waits in seconds, and what a repeat does.
CLASSES = (
    ("tile-read", 63, 3.0, "retryable"),
    ("copy-order", 25, 4.0, "fragile"),
    ("note-add", 12, 4.0, "fragile"),
)
AIMS_US = {"tile-read": 750_000, "copy-order": 1_200_000, "note-add": 800_000}
WORTH = {"tile-read": 3.0, "copy-order": 10.0, "note-add": 3.0}


def settings(number: int) -> dict[str, Any]:
    """Return the settings of the agent with this number."""
    return {
        "allowed": {
            "cancel": True,
            "connIdleUs": 10_000_000,
            "connectTimeoutUs": 250_000,
            "maxAttempts": 6,
            "maxOpen": 20_000,
            "maxRetryAfterUs": 2_000_000,
            "multiplex": 1,
            "peers": False,
            "probes": True,
            "retryAfter": True,
            "secondCopies": True,
        },
        "clients": {"marksRetry": True},
        "countedBy": "request",
        "kindOfService": "mesh",
        "localities": list(ZONES),
        "me": number,
        "prices": {"crossZone": 0.0067, "handshake": 0.02, "lateFail": 0.1, "probe": 0.06, "waste": 0.2},
        "profiles": [
            {
                "name": name,
                "aimUs": AIMS_US[name],
                "deadlineUs": int(wait_s * 1e6),
                "dedupScope": "all",
                "memorySpanUs": 5_000_000,
                "lateWorth": 0.3,
                "repeat": repeat,
                "streamed": False,
                "value": WORTH[name],
            }
            for name, _, wait_s, repeat in CLASSES
        ],
        "quantumUs": 5000,
        "registryMode": "push",
        "report": {"columns": ["inflight", "queue", "latency_ms"], "source": "inline"},
        "rules": {
            "askWithinUs": 10_000_000,
            "drainGraceUs": 500_000,
            "fallMultiple": 3.0,
            "graceToAnswerUs": 20_000,
            "startCapacity": 0.13,
            "tipAfterUs": 2_000_000,
            "warmUpUs": 24_000_000,
        },
        "siblings": AGENTS,
        "skus": ["fast-1c", "mid-1c", "slow-1c"],
        "tenants": [],
        "tier": 0,
        "tiers": ["kort-servere"],
        "weightKind": "rough",
        "zone": number % len(ZONES),
    }


class Record:
    """The file record.txt of a case, with the time since its start on each line."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._started_at:9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line, and print it as well."""
        self.add(text)
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass(eq=False)
class Call:
    """A client's request, what became of it, and the answers that map servers made for it."""

    id: str
    request_class: str
    target: str
    body: bytes
    wait_s: float
    sent_at: float = 0.0
    answer: int | None = None  # The status of the answer; None if there was none.
    answer_body: bytes = b""
    runs: list[str] = field(default_factory=list)  # The map servers that ran it.
    is_open: bool = True

    @property
    def method(self) -> str:
        """The method of the request's class."""
        return "GET" if self.request_class == "tile-read" else "POST"

    @property
    def sheet(self) -> bytes:
        """The body of a map server's answer to this request."""
        return f"sheet for request {self.id}\n".encode()

    def encode(self) -> bytes:
        """Return the bytes of the request."""
        length = f"Content-Length: {len(self.body)}\r\n" if self.body else ""
        head = (
            f"{self.method} {self.target} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {self.id}\r\n"
            f"Request-Class: {self.request_class}\r\nRequest-Timeout-Ms: {int(self.wait_s * 1000)}\r\n"
            f"{length}\r\n"
        )
        return head.encode() + self.body


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read a message with Content-Length: its first line, its header fields and its body."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines[1:] if x)}
    return lines[0], fields, await reader.readexactly(int(fields.get("content-length", "0")))


def whole_answer(body: bytes) -> bytes:
    """Return the bytes of a proper 200 answer."""
    load = b"Server-Load: inflight=1,queue=0,latency_ms=80"
    return b"HTTP/1.1 200 OK\r\n%b\r\nContent-Length: %d\r\n\r\n%b" % (load, len(body), body)


# Writes the answer to a call; returns whether the connection stays open.
Answerer = Callable[[Call, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]


class World:
    """The stand-ins of a case: their clock, their random numbers, the calls, and the record."""

    def __init__(self, record: Record, seed: int) -> None:
        self.record, self.random = record, random.Random(seed)
        self.calls: dict[str, Call] = {}
        self._numbers = itertools.count(1)

    def new_call(self) -> Call:
        """Return a new request of a random class."""
        shares = [share for _, share, _, _ in CLASSES]
        name, _, wait_s, _ = self.random.choices(CLASSES, shares)[0]
        call = Call(
            id=f"{next(self._numbers):06x}{self.random.getrandbits(40):010x}",
            request_class=name,
            target=f"/api?obj={self.random.randrange(1000):016x}",
            body=b"" if name == "tile-read" else b"sheet=7;note=checked",
            wait_s=wait_s,
        )
        self.calls[call.id] = call
        return call


class MapServer:
    """A map server, which works on each request for 50 to 120 ms and then calls `answer`."""

    def __init__(self, world: World, number: int, answer: Answerer) -> None:
        self._world, self._answer = world, answer
        self.name, self._zone = f"s-{number}", ZONES[number % len(ZONES)]
        self._port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._port = server.sockets[0].getsockname()[1]

    def member(self) -> dict[str, Any]:
        """Return the entry of this server in discovery's list."""
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self._port}",
            "locality": self._zone,
            "flavor": "mid-1c",
            "cell": 1,
            "phase": "SERVING",
            "size": 1.0,
            "up_since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while await self._serve_one(reader, writer):
                pass
        writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        line, fields, _ = await read_message(reader)
        if line.split()[1] in ("/_load", "/ping"):
            writer.write(whole_answer(b"inflight=1,queue=0,latency_ms=80"))
            return True
        call = self._world.calls[fields["request-id"]]
        call.runs.append(self.name)
        self._world.record.add(f"{self.name} runs {call.request_class} {call.id}")
        await asyncio.sleep(self._world.random.uniform(0.05, 0.12))
        return await self._answer(call, reader, writer)


class Discovery:
    """The discovery of one agent, on the agent's own machine, with a list that does not change."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        self.members = members
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def whole_list(self) -> dict[str, Any]:
        """Return the complete list."""
        return {"revision": 41, "complete": True, "members": self.members}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                line, _, _ = await read_message(reader)
                query = dict(x.split("=") for x in line.split()[1].partition("?")[2].split("&") if x)
                document = self.whole_list()
                if int(query.get("index", 0)) >= document["revision"]:
                    await asyncio.sleep(int(query.get("wait", 0)) / 1000)
                    document = {"revision": 41, "complete": False, "members": []}
                body = json.dumps(document).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        writer.close()


class Agent:
    """An agent, started with the command of the deploy file."""

    def __init__(self, number: int, discovery: Discovery, memory_mb: int, folder: Path) -> None:
        self.name, self.memory_mb = f"n{number}", memory_mb
        self._folder = folder / self.name
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = int(free.getsockname()[1])
        self._document = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": f"8c1f30d27a5be96{number:x}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 256},
            "known": discovery.whole_list(),
            "settings": settings(number),
        }
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, and return when it is ready."""
        self._folder.mkdir()
        config = self._folder / "config.json"
        config.write_text(json.dumps(self._document))
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        env = {name: value for name, value in os.environ.items() if name != "PYTHONPATH"}
        env |= {
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": self._document["listen"],
            "RELAY_DISCOVERY": self._document["discovery"],
            "RELAY_CONFIG": str(config),
            "TMPDIR": str(self._folder),
        }
        with (self._folder / "log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        async with asyncio.timeout(READY_WITHIN_S):
            while True:
                if await self._is_ready():
                    return
                await asyncio.sleep(0.05)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        writer.write(b"GET /_health HTTP/1.1\r\nHost: agent\r\nConnection: close\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def memory_in_use_mb(self) -> float:
        """Return the private memory (RssAnon, without files and shared pages) in MB of 2^20 bytes."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def kill(self) -> None:
        """Kill the process if it runs."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(signal.SIGKILL)


class Application:
    """The application beside one agent. It keeps connections, and opens more when all are busy."""

    def __init__(self, world: World, agent: Agent) -> None:
        self._world, self._agent = world, agent
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def run(self, until: float) -> None:
        """Send requests at random times until `until`, and wait for all answers."""
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < until and self._agent.is_running:
                await asyncio.sleep(self._world.random.expovariate(REQUESTS_PER_S / AGENTS))
                group.create_task(self.send(self._world.new_call()))

    async def send(self, call: Call) -> None:
        """Send a request, once more if the agent has closed a resting connection, and record the answer."""
        for _ in range(2):
            connection, is_new = await self._connect()
            if connection is None:
                break
            try:
                await self._exchange(call, *connection)
                break
            except TimeoutError:
                connection[1].close()
                break
            except (asyncio.IncompleteReadError, ConnectionError):
                connection[1].close()
                if is_new or call.runs:
                    break
        call.is_open = False
        outcome = f"answered {call.answer}" if call.answer else "got no answer"
        self._world.record.add(f"{self._agent.name} client: {call.request_class} {call.id} {outcome}")

    async def _connect(self) -> tuple[tuple[asyncio.StreamReader, asyncio.StreamWriter] | None, bool]:
        while self._idle:
            reader, writer = self._idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return (reader, writer), False
            writer.close()
        try:
            return await asyncio.open_connection("127.0.0.1", self._agent.port), True
        except OSError:
            return None, True

    async def _exchange(self, call: Call, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        call.sent_at = time.monotonic()
        self._world.record.add(f"{self._agent.name} client: sends {call.request_class} {call.id}")
        writer.write(call.encode())
        async with asyncio.timeout(call.wait_s + GIVE_UP_AFTER_S):
            line, fields, call.answer_body = await read_message(reader)
        call.answer = int(line.split()[1])
        if fields.get("connection", "").lower() == "close":
            writer.close()
        else:
            self._idle.append((reader, writer))


@dataclass
class Deployment:
    """The running stand-ins and agents of a case."""

    world: World
    agents: list[Agent]
    applications: list[Application]

    async def serve(self, seconds: float) -> None:
        """Send requests to all agents for this long."""
        until = time.monotonic() + seconds
        await asyncio.gather(*(application.run(until) for application in self.applications))


@contextlib.asynccontextmanager
async def deployment(record: Record, answer: Answerer, seed: int, memory_mb: int) -> Any:
    """Start map servers, discovery and agents, and end the agents after the block."""
    world = World(record, seed)
    servers = [MapServer(world, number, answer) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    agents: list[Agent] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            for number in range(AGENTS):
                discovery = Discovery([server.member() for server in servers])
                await discovery.start()
                agents.append(Agent(number, discovery, memory_mb, Path(folder)))
                await agents[-1].start()
                record.add(f"{agents[-1].name} is ready")
            yield Deployment(world, agents, [Application(world, agent) for agent in agents])
        finally:
            for agent in agents:
                agent.kill()
                if agent.process is not None:
                    await agent.process.wait()


def has_trouble() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, case: Callable[[Record], Coroutine[Any, Any, int]]) -> int:
    """Run a case and return its exit code; a case that fails for another reason could not run."""
    record = Record(folder / "record.txt")
    record.say(f"TROUBLE={int(has_trouble())}")

    async def limited() -> int:
        task = asyncio.current_task()
        assert task is not None
        # A case that is told to end ends its agents first.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(TIME_LIMIT_S):
            return await case(record)

    # The stand-ins' own broken connections are part of a case.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    try:
        code = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:
        record.say(f"the case could not run: {type(error).__name__} {error}")
        code = COULD_NOT_RUN
    record.say(f"exit code {code}")
    record.close()
    return code


def main(folder: Path, case: Callable[[Record], Coroutine[Any, Any, int]]) -> None:
    """Run a case as a program."""
    sys.exit(run_case(folder, case))
