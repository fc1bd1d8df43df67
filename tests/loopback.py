"""Scripted peers on loopback, and an agent between them. The system picks the ports; tests wait on events."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from nickelmount.agent.agent import Agent
from nickelmount.agent.assembly import assemble
from nickelmount.agent.clock import Clock
from nickelmount.agent.config import Config, load
from nickelmount.agent.connection_pool import ConnectionPool
from nickelmount.agent.downstream import ClientTimeouts
from nickelmount.agent.listener import Listener
from nickelmount.balancer.balancer import Balancer
from nickelmount.balancer.events import TimerFired
from nickelmount.protocol.address import Address
from nickelmount.protocol.endpoint_list import EndpointList, EndpointListParser

KEYED, NOT_IDEMPOTENT = (
    "registro-servicio",
    "vale-almacen",
)  # classes: repeats are dropped by key; must not run twice
LOAD_REPORT = b"inflight=0,queue=0,util=0.1"
TEST_TIMEOUT_S = 60  # a hang fails the test; nothing is timed by this


def settings(**allowed: Any) -> dict[str, Any]:
    """Settings as a deployment states them; probes are off unless asked for."""
    return {
        "allowed": {
            "cancel": True,
            "connIdleUs": 5_000_000,
            "connectTimeoutUs": 250_000,
            "maxAttempts": 5,
            "peers": False,
            "probes": False,
            "retryAfter": True,
            "maxRetryAfterUs": 2_000_000,
            "secondCopies": False,
            **allowed,
        },
        "profiles": [
            {
                "name": KEYED,
                "aimUs": 20_000_000,
                "deadlineUs": 30_000_000,
                "repeat": "dedup",
                "dedupScope": "all",
                "memorySpanUs": 15_000_000,
                "value": 10.0,
            },
            {
                "name": NOT_IDEMPOTENT,
                "aimUs": 20_000_000,
                "deadlineUs": 30_000_000,
                "repeat": "fragile",
                "value": 3.0,
            },
        ],
        "tenants": [{"name": "norvalle", "quotaPerS": 0.0, "share": 1.0}],
        "report": {"columns": ["inflight", "queue", "util"], "source": "inline"},
        "rules": {
            "startCapacity": 0.13,
            "warmUpUs": 24_000_000,
            "fallMultiple": 2.5,
            "tipAfterUs": 3_000_000,
            "graceToAnswerUs": 5000,
        },
        "siblings": 1,
        "registryMode": "ask",
        "quantumUs": 1000,
        "localities": ["a"],
        "skus": ["m"],
    }


def member(name: str, port: int, phase: str = "SERVING", up_since_ms: int = 0) -> dict[str, Any]:
    return {
        "id": name,
        "host_port": f"127.0.0.1:{port}",
        "locality": "a",
        "flavor": "m",
        "cell": 1,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": up_since_ms,
    }


def endpoint_list(
    *members: dict[str, Any], complete: bool = False, zones: tuple[str, ...] = ("a",)
) -> EndpointList:
    """An endpoint list as the agent reads it."""
    parser = EndpointListParser(Clock(), zones)
    return parser.parse({"revision": 42, "complete": complete, "members": list(members)})


def complete_list(*peers: ScriptedServer) -> EndpointList:
    """A complete endpoint list that names the peers as s0, s1 ...; without peers, an empty one."""
    return endpoint_list(*(member(f"s{i}", peer.port) for i, peer in enumerate(peers)), complete=True)


@dataclass
class Message:
    """A request as a peer got it, or an answer as a client got it."""

    start_line: str
    headers: dict[str, str]
    body: bytes
    connection: StreamConnection

    async def answer(self, status: int = 200, body: bytes = b"done", **headers: str) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
        await self.connection.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    @property
    def status(self) -> int:
        return int(self.start_line.split()[1])


class StreamConnection:
    """Either end of one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.peer_closed: asyncio.Event | None = None  # for a peer, whose requests are read as they come

    async def write(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def read(self) -> Message:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in head[1:] if line)}
        body = await self.reader.readexactly(int(headers.get("content-length", "0")))
        return Message(head[0], headers, body, self)

    async def wait_for_close(self) -> None:
        """Wait until the other side has closed or reset the connection."""
        if self.peer_closed is not None:
            await self.peer_closed.wait()
            return
        with contextlib.suppress(ConnectionError):
            while await self.reader.read(65536):
                pass

    def reset(self) -> None:
        self.writer.transport.abort()

    def shut_down_socket(self) -> None:
        """Close it in the kernel now, without a cycle of the event loop."""
        self.writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)

    def peer_has_closed(self) -> bool:
        """Whether the kernel knows now that the other side has closed."""
        with self.writer.get_extra_info("socket").dup() as s, contextlib.suppress(BlockingIOError):
            return not s.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        return False

    def close(self) -> None:
        self.writer.close()


class ScriptedServer:
    """A server whose requests the test answers one by one; probes are answered at once."""

    def __init__(self, answers_probes: bool = True) -> None:
        self._answers_probes = answers_probes
        self.requests: asyncio.Queue[Message] = asyncio.Queue()
        self.connection_count = 0

    async def start(self) -> ScriptedServer:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        conversation = StreamConnection(reader, writer)
        conversation.peer_closed = asyncio.Event()
        try:
            while True:
                message = await conversation.read()
                if self._answers_probes and message.start_line.startswith("GET /_load"):
                    await message.answer(200, LOAD_REPORT)
                else:
                    self.requests.put_nowait(message)
        except (asyncio.IncompleteReadError, ConnectionError):
            conversation.peer_closed.set()
        finally:
            writer.close()

    async def stop(self) -> None:
        self.server.close()


@contextlib.asynccontextmanager
async def running_server() -> AsyncIterator[ScriptedServer]:
    """A peer that listens until the block ends."""
    peer = await ScriptedServer().start()
    try:
        yield peer
    finally:
        await peer.stop()


def post(
    cls: str = KEYED,
    body: bytes = b"job",
    timeout_ms: str = "30000",
    drop: tuple[str, ...] = (),
    path: str = "/api?obj=7f3a",
    **headers: str,
) -> bytes:
    """A request of the application; headers by name with _ for -."""
    fields = {
        "Host": "origin.svc",
        "Request-Id": "9b1f",
        "Request-Class": cls,
        "Tenant": "norvalle",
        "Request-Timeout-Ms": timeout_ms,
        "Content-Length": str(len(body)),
    }
    if cls == KEYED:
        fields["Idempotency-Key"] = "5c0f"
    fields |= {k.replace("_", "-"): v for k, v in headers.items()}
    head = "".join(f"{k}: {v}\r\n" for k, v in fields.items() if k not in drop)
    return f"POST {path} HTTP/1.1\r\n{head}\r\n".encode() + body


def config_doc(discovery: int, members: list[dict[str, Any]], **allowed: Any) -> dict[str, Any]:
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings(**allowed),
        "known": {"revision": 41, "complete": True, "members": members},
    }


@dataclass
class LoopbackSetup:
    """An agent, its endpoints and its discovery."""

    agent: Agent
    listener: Listener
    port: int
    discovery: ScriptedServer
    endpoints: list[ScriptedServer]
    clock: Clock
    clients: list[StreamConnection] = field(default_factory=list)

    @property
    def pool(self) -> ConnectionPool:
        return self.agent.upstream.pool

    async def client(self) -> StreamConnection:
        client = StreamConnection(*await asyncio.open_connection("127.0.0.1", self.port))
        self.clients.append(client)
        return client

    async def send_request(self, request: bytes) -> StreamConnection:
        client = await self.client()
        await client.write(request)
        return client

    async def next_request(self) -> Message:
        """The next request that reaches any backend."""
        waiting = [asyncio.create_task(b.requests.get()) for b in self.endpoints]
        try:
            done, _ = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            return done.pop().result()
        finally:
            for task in waiting:  # one left waiting would swallow a later request
                task.cancel()

    def nothing_sent(self) -> bool:
        return all(b.requests.empty() for b in self.endpoints)

    # What the balancer holds. Its attributes are named here only.

    @property
    def _balancer(self) -> Balancer:
        return self.agent._balancer

    @property
    def balancer_in_flight_count(self) -> int:
        """Attempts whose end the balancer still waits for."""
        return self._balancer.in_flight_count

    @property
    def balancer_request_count(self) -> int:
        """Requests that have no final answer, as the balancer counts."""
        return len(self._balancer.requests)

    @property
    def balancer_queued_count(self) -> int:
        """Requests that the balancer holds back because no endpoint has capacity."""
        return len(self._balancer.waiting)

    def balancer_load_by_endpoint(self) -> list[float]:
        """What the balancer counts against each endpoint: its attempts, and the penalties for bad ends."""
        balancer = self._balancer
        return [endpoint.own_in_flight(balancer.now_us) for endpoint in balancer.endpoints.by_id.values()]

    def set_typical_latency_us(self, latency_us: float) -> None:
        """Make this the usual latency, from which the balancer derives the delay of a hedged request."""
        self._balancer.table.typical_latency_us = latency_us

    def fire_next_balancer_timer(self) -> None:
        """Fire the balancer's next timer now, ahead of whatever has not been read from sockets."""
        balancer, now = self._balancer, self.clock.now
        early_us = max(0, balancer.timers.next_at_us - now())
        self.clock.now = lambda: now() + early_us  # type: ignore[method-assign]
        self.agent._dispatch(TimerFired(balancer.timers.armed_at_us))


def load_config(folder: Path, doc: dict[str, Any], clock: Clock) -> Config:
    path = folder / "config.json"
    path.write_text(json.dumps(doc))
    return load({"RELAY_CONFIG": str(path)}, clock)


@contextlib.asynccontextmanager
async def loopback_setup(
    folder: Path,
    endpoints: int = 1,
    max_sockets: int | None = None,
    timeouts: ClientTimeouts | None = None,
    **allowed: Any,
) -> AsyncIterator[LoopbackSetup]:
    """Everything up and listening; all of it ends with the block."""
    discovery = await ScriptedServer().start()
    peers = [await ScriptedServer().start() for _ in range(endpoints)]
    doc = config_doc(discovery.port, [member(f"s{i}", p.port) for i, p in enumerate(peers)], **allowed)
    clock = Clock()
    config = load_config(folder, doc, clock)
    if max_sockets is not None:
        config = replace(config, max_sockets=max_sockets)
    agent, listener = assemble(config, clock, timeouts, settle_time_us=0)
    agent.start(config.cached_list)
    port = await listener.listen(Address("127.0.0.1", 0))
    w = LoopbackSetup(agent, listener, port, discovery, peers, clock)
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            yield w
    finally:
        for client in w.clients:
            client.close()
        listener.close()
        for peer in [discovery, *peers]:
            await peer.stop()
