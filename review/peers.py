"""Stand-ins for the clients, map servers, discovery and platform around an agent, for the cases 6 to 10.

They follow the operators' pages. Every address is on loopback, the ports are free ones, and each case decides
what its stand-ins do wrong. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2  # Exit codes of a case.
Members = list[dict[str, Any]]


class Record:
    """The file `record.txt` of a case: one line for each event, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._file = path.open("w")

    def write(self, text: str) -> None:
        """Write a line; do nothing after the end of the case, when tasks of stand-ins may still end."""
        if self._file.closed:
            return
        self._file.write(f"{time.monotonic() - self._started_at:9.4f}  {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass
class Received:
    """A request that a map server has received whole."""

    server: MapServer
    request_id: str
    request_class: str
    method: str
    told_ms: int | None
    body: bytes
    at: float
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    fields: dict[str, str]

    def write(self, status: int, body: bytes, *headers: str) -> None:
        """Write an answer with a length."""
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def body_for(self) -> bytes:
        """Return the body that belongs to this request alone."""
        return f"{self.server.name} served {self.request_id}".encode()

    def reset(self) -> None:
        """Reset the connection."""
        reset(self.writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


Handler = Callable[[Received], Awaitable[None]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Return the start line, the header fields and the body of a message with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
    return head[0], fields, await reader.readexactly(int(fields.get("content-length", "0")))


class MapServer:
    """A map server, which passes each whole request to a handler."""

    def __init__(self, name: str, record: Record, handler: Handler) -> None:
        self.name, self.record, self.handler = name, record, handler
        self.received: list[Received] = []
        self.phase, self.up_since_ms, self.cell, self.locality = "SERVING", 0, 1, "a"
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> MapServer:
        """Listen, and return this server."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 20)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                line, fields, body = await read_message(reader)
                method, target, _ = line.split(" ")
                if not target.startswith("/api"):
                    self._answer_probe(writer, target)
                    continue
                told = fields.get("request-timeout-ms")
                received = Received(
                    self,
                    fields.get("request-id", ""),
                    fields.get("request-class", ""),
                    method,
                    int(told) if told else None,
                    body,
                    time.monotonic(),
                    reader,
                    writer,
                    fields,
                )
                self.received.append(received)
                self.record.write(
                    f"{self.name} received {received.request_id} {received.request_class} timeout={told}"
                )
                await self.handler(received)
                if writer.is_closing():
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _answer_probe(self, writer: asyncio.StreamWriter, target: str) -> None:
        body = b"inflight=0,queue=0,latency_ms=20,util=0.1" if target == "/_load" else b""
        status = 200 if target in ("/_load", "/ping") else 404
        writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)

    def entry(self) -> dict[str, Any]:
        """Return the entry of the list."""
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": self.locality,
            "flavor": "m",
            "cell": self.cell,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": self.up_since_ms,
        }

    def die(self) -> None:
        """Reset all connections and refuse new ones, as when a process dies."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)


class Discovery:
    """Discovery, with a list of entries and the changes of each revision."""

    def __init__(self, record: Record, entries: Members, revision: int = 41) -> None:
        self.record, self.revision = record, revision
        self.entries = {entry["id"]: entry for entry in entries}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Event()
        self.answer_delay_s = 0.0
        self.told: list[tuple[float, dict[str, Any]]] = []
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Discovery:
        """Listen, and return this discovery."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self

    def change(self, entry: dict[str, Any]) -> None:
        """Make a change, and wake the calls that wait for one."""
        self.revision += 1
        if entry["phase"] == "DELETED":
            self.entries.pop(entry["id"], None)
        else:
            self.entries[entry["id"]] = entry
        self.changes.append((self.revision, entry))
        self.record.write(f"discovery has {entry['id']} {entry['phase']} as revision {self.revision}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                line, _, _ = await read_message(reader)
                await self._answer(line.split(" ")[1], writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        self.record.write(f"discovery is asked {target}")
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        if "index" not in query:
            news, complete = list(self.entries.values()), True
        else:
            index, complete = int(query["index"]), False
            if self.revision <= index:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), int(query["wait"]) / 1000)
            news = [entry for revision, entry in self.changes if revision > index]
        if self.answer_delay_s:
            await asyncio.sleep(self.answer_delay_s)
        body = json.dumps({"revision": self.revision, "complete": complete, "members": news}).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        self.told += [(time.monotonic(), entry) for entry in news]
        self.record.write(f"discovery answers revision {self.revision}, {len(news)} entries")


def profile(name: str, repeat: str, aim_ms: int, deadline_ms: int, **more: Any) -> dict[str, Any]:
    """Return a class of requests as the settings state it."""
    return {
        "name": name,
        "aimUs": aim_ms * 1000,
        "deadlineUs": deadline_ms * 1000,
        "repeat": repeat,
        "dedupScope": "all",
        "memorySpanUs": 5_000_000,
        "value": 3.0,
        "lateWorth": 0.3,
        "streamed": False,
        **more,
    }


# The classes of kortarkiv-vest, the operators' small deployment.
CLASSES = [
    profile("tile-read", "retryable", 750, 3000),
    profile("copy-order", "fragile", 1200, 4000, value=10.0, lateWorth=0.25),
    profile("note-add", "fragile", 800, 4000, lateWorth=0.25),
]


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings like those of kortarkiv-vest; keywords replace keys, `allowed` and `rules` in part."""
    allowed = {
        "cancel": True,
        "connIdleUs": 10_000_000,
        "connectTimeoutUs": 250_000,
        "cpuUsPerS": 80_000,
        "maxAttempts": 6,
        "maxOpen": 20_000,
        "maxRetryAfterUs": 2_000_000,
        "multiplex": 1,
        "peers": False,
        "probes": True,
        "retryAfter": True,
        "secondCopies": True,
    }
    rules = {
        "askWithinUs": 10_000_000,
        "drainGraceUs": 500_000,
        "fallMultiple": 3.0,
        "graceToAnswerUs": 20_000,
        "startCapacity": 0.13,
        "tipAfterUs": 2_000_000,
        "warmUpUs": 24_000_000,
    }
    return {
        "allowed": allowed | changes.pop("allowed", {}),
        "rules": rules | changes.pop("rules", {}),
        "profiles": CLASSES,
        "clients": {"marksRetry": True},
        "countedBy": "request",
        "kindOfService": "mesh",
        "localities": ["a", "b", "c"],
        "skus": ["m"],
        "me": 0,
        "siblings": 2,
        "prices": {"handshake": 0.02, "lateFail": 0.1, "probe": 0.06, "waste": 0.2},
        "quantumUs": 5000,
        "registryMode": "push",
        "report": {"columns": ["inflight", "queue", "latency_ms"], "source": "inline"},
        "tenants": [],
        "weightKind": "rough",
        "zone": 0,
        **changes,
    }


def free_port() -> int:
    """Return a port of loopback that is free now.

    It is below the ports that the system picks for connections, so that nothing else takes it meanwhile.
    """
    while True:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


class AgentProcess:
    """An agent, started with the `run` command of the deploy file."""

    def __init__(self, folder: Path, record: Record, deployment: dict[str, Any], known: Members) -> None:
        self.folder, self.record = folder, record
        self.port = free_port()
        self.document = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": "",
            "seed": f"{random.getrandbits(63):x}",
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512},
            "known": {"revision": 41, "complete": True, "members": known},
            "settings": deployment,
        }
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self, discovery: Discovery) -> None:
        """Write the configuration file with this discovery's address."""
        self.document["discovery"] = f"127.0.0.1:{discovery.port}"
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(self.document))
        path.with_suffix(".new").replace(path)

    async def start(self, discovery: Discovery) -> None:
        """Start the process, and return when it is ready; raises TimeoutError after 30 s."""
        self.write_config(discovery)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        env = os.environ | {
            "RELAY_NAME": "n1",
            "RELAY_LISTEN": f"127.0.0.1:{self.port}",
            "RELAY_DISCOVERY": self.document["discovery"],
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / "agent.log").open("ab") as log:
            self.process = subprocess.Popen(  # noqa: ASYNC220 - The start takes a millisecond.
                ["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.write(f"the agent starts as process {self.process.pid}")
        async with asyncio.timeout(30):
            while not await self._is_ready():  # noqa: ASYNC110 - The other process sets no event.
                await asyncio.sleep(0.02)
        assert self.is_running(), "another process answers at the agent's address"
        self.record.write("the agent is ready")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.write(f"the agent gets {number.name}")
        self.process.send_signal(number)

    def end(self) -> int | None:
        """Kill the process if it still runs, and return its exit code if it had ended."""
        if self.process is None:
            return None
        code = self.process.poll()
        if code is None:
            self.process.kill()
            self.process.wait()
        return code


@dataclass
class Sent:
    """A request of a client, and what came back."""

    request_id: str
    request_class: str
    timeout_ms: int
    first_byte_at: float = 0.0
    last_byte_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0  # 0 if there was no whole answer.
    body: bytes = b""
    end: str = ""  # Why there was no whole answer.
    left_at: float = 0.0  # When the client closed its connection; 0 if it waited.


@dataclass
class Client:
    """The application beside the agent: it sends one request at a time on each of its connections."""

    port: int
    record: Record
    sent: list[Sent] = field(default_factory=list)
    idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = field(default_factory=list)
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    prefix: str = field(default_factory=lambda: f"{random.getrandbits(40):010x}")
    methods: dict[str, str] = field(default_factory=lambda: {"tile-read": "GET"})
    keyed: set[str] = field(default_factory=set)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return an idle connection, or open one."""
        while self.idle:
            reader, writer = self.idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        return await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 21)

    def encode(self, sent: Sent, body: bytes) -> bytes:
        """Return the bytes of a request."""
        method = self.methods.get(sent.request_class, "POST")
        lines = [
            f"{method} /api?obj={random.getrandbits(64):016x} HTTP/1.1",
            "Host: origin.svc",
            f"Request-Id: {sent.request_id}",
            f"Request-Class: {sent.request_class}",
            f"Request-Timeout-Ms: {sent.timeout_ms}",
        ]
        if sent.request_class in self.keyed:
            lines.append(f"Idempotency-Key: k-{sent.request_id}")
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body if method == "POST" else b"")

    async def request(
        self, request_class: str, timeout_ms: int, body: bytes = b"x" * 100, leave_after_s: float = 0.0
    ) -> Sent:
        """Send a request and wait for its answer; a crossing close is answered with one more send."""
        sent = Sent(f"{self.prefix}{next(self.numbers):06x}", request_class, timeout_ms)
        self.sent.append(sent)
        for is_again in (False, True):
            sent.end = ""
            was_reused = bool(self.idle)
            try:
                reader, writer = await self.connect()
            except OSError as error:
                sent.end = f"connect: {type(error).__name__}"
                break
            try:
                await self._exchange(sent, reader, writer, body, leave_after_s)
            except (ConnectionError, asyncio.IncompleteReadError) as error:
                sent.end = f"{'again ' if is_again else ''}closed: {type(error).__name__}"
                writer.close()
            if not (sent.end and was_reused and not is_again and not sent.left_at):
                break
        sent.ended_at = time.monotonic()
        self.record.write(
            f"client {sent.request_id} {request_class} ends: {sent.status or sent.end} {sent.body[:60]!r}"
        )
        return sent

    async def _exchange(
        self,
        sent: Sent,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        body: bytes,
        leave_after_s: float,
    ) -> None:
        data = self.encode(sent, body)
        sent.first_byte_at = time.monotonic()
        writer.write(data)
        await writer.drain()
        sent.last_byte_at = time.monotonic()
        # A client of these cases waits longer than its time, so that a late answer can be told from none.
        wait_s = leave_after_s or sent.timeout_ms / 1000 + 2.0
        try:
            async with asyncio.timeout(wait_s):
                line, fields, sent.body = await read_message(reader)
                sent.status = int(line.split(" ")[1])
        except TimeoutError:
            sent.end = "left" if leave_after_s else "no answer"
            sent.left_at = time.monotonic()
            writer.close()
            return
        if fields.get("connection") == "close":
            writer.close()
        else:
            self.idle.append((reader, writer))


@dataclass
class Stage:
    """What every case needs: its record, a temporary folder, and whether there is trouble."""

    record: Record
    folder: Path
    trouble: bool


async def _run(case: Callable[[Stage], Awaitable[list[str]]], folder: Path) -> int:
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with tempfile.TemporaryDirectory() as temporary:
            try:
                async with asyncio.timeout(110):
                    breaches = await case(Stage(record, Path(temporary), trouble))
            except Exception as error:  # Whatever keeps a case from running is no breach.
                record.write(f"NOT RUN: {type(error).__name__} {error}")
                print(f"not run: {type(error).__name__} {error}")
                return NOT_RUN
        for breach in breaches:
            record.write(f"BROKEN: {breach}")
            print(f"broken: {breach}")
        if not breaches:
            record.write("HELD")
            print("held")
        return BROKEN if breaches else HELD
    finally:
        record.close()


def run_case(case: Callable[[Stage], Awaitable[list[str]]], folder: Path) -> int:
    """Run a case, write its record into the folder, and return the exit code of its script."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # The agent is ended on the way out.
    return asyncio.run(_run(case, folder))
