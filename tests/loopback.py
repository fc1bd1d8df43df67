"""An agent in the test's process, with scripted endpoints, a scripted discovery and clients on loopback.

The operating system picks the ports. Tests wait for events instead of fixed times.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
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

# Two request classes. Endpoints drop repeats of a KEYED request by its idempotency key. A NOT_IDEMPOTENT
# request must not run twice.
KEYED, NOT_IDEMPOTENT = "registro-servicio", "vale-almacen"
LOAD_REPORT = b"inflight=0,queue=0,util=0.1"
TEST_TIMEOUT_S = 60  # A test that hangs fails after this time. No other result depends on it.


def settings(**allowed: Any) -> dict[str, Any]:
    """Return the settings section of a configuration file.

    Keyword arguments replace or add keys of its section `allowed`. By default, the agent may neither probe
    nor hedge nor gossip.
    """
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
    """Return the entry of an endpoint on loopback, as discovery writes it in an endpoint list."""
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
    """Return the endpoint list that the agent's parser reads from these entries, with revision 42.

    `zones` are the localities that the parser knows; it treats any other locality as the first of them.
    """
    parser = EndpointListParser(Clock(), zones)
    return parser.parse({"revision": 42, "complete": complete, "members": list(members)})


def complete_list(*servers: ScriptedServer) -> EndpointList:
    """Return a complete endpoint list that names the servers s0, s1 and so on; it may be empty."""
    return endpoint_list(*(member(f"s{i}", server.port) for i, server in enumerate(servers)), complete=True)


@dataclass
class Message:
    """A request that a scripted server received, or a response that a client received."""

    start_line: str
    headers: dict[str, str]
    body: bytes
    connection: StreamConnection

    async def answer(self, status: int = 200, body: bytes = b"done", **headers: str) -> None:
        """Send the response to this request; in names of headers, "_" stands for "-"."""
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
        await self.connection.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start_line.split()[1])


class StreamConnection:
    """One end of a TCP connection, either a client's or a scripted server's."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        # At a scripted server, an event that is set when the other side has closed; None at a client.
        self.peer_closed: asyncio.Event | None = None

    async def write(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def read(self) -> Message:
        """Return the next request or response."""
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
        """Close the connection without writing the bytes that are still buffered.

        The kernel sends a reset only if it holds bytes that have not been read, and a normal close otherwise.
        """
        self.writer.transport.abort()

    def reset_in_kernel(self) -> None:
        """Close the connection with a reset, even if no bytes are unread."""
        linger_for_no_time = struct.pack("ii", 1, 0)
        self.writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, linger_for_no_time
        )
        self.writer.transport.abort()

    def shut_down_socket(self) -> None:
        """Close the connection in the kernel immediately, without an iteration of the event loop."""
        self.writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)

    def peer_has_closed(self) -> bool:
        """Return whether the kernel knows of a close by the other side; False if unread bytes precede it."""
        with self.writer.get_extra_info("socket").dup() as s, contextlib.suppress(BlockingIOError):
            return not s.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        return False

    def close(self) -> None:
        self.writer.close()


class ScriptedServer:
    """An HTTP server, used as an endpoint or as discovery, whose requests the test answers one by one.

    By default, it answers probes itself.
    """

    def __init__(self, answers_probes: bool = True) -> None:
        self._answers_probes = answers_probes
        self.requests: asyncio.Queue[Message] = asyncio.Queue()  # The requests that the test has not taken.
        self.connection_count = 0  # The number of connections that were ever accepted.

    async def start(self) -> ScriptedServer:
        """Listen on a port that the operating system picks, and return this server."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read the requests of one connection until the other side closes it."""
        self.connection_count += 1
        connection = StreamConnection(reader, writer)
        connection.peer_closed = asyncio.Event()
        try:
            while True:
                message = await connection.read()
                if self._answers_probes and message.start_line.startswith("GET /_load"):
                    await message.answer(200, LOAD_REPORT)
                else:
                    self.requests.put_nowait(message)
        except (asyncio.IncompleteReadError, ConnectionError):
            connection.peer_closed.set()
        finally:
            writer.close()

    async def stop(self) -> None:
        self.server.close()


@contextlib.asynccontextmanager
async def running_server() -> AsyncIterator[ScriptedServer]:
    """Yield a scripted server that listens until the block ends."""
    server = await ScriptedServer().start()
    try:
        yield server
    finally:
        await server.stop()


def post(
    request_class: str = KEYED,
    body: bytes = b"job",
    timeout_ms: str = "30000",
    drop: tuple[str, ...] = (),
    path: str = "/api?obj=7f3a",
    **headers: str,
) -> bytes:
    """Return the bytes of a POST request of a client.

    `headers` are added or replace default ones; in their names, "_" stands for "-". `drop` names default
    headers that are left out.
    """
    fields = {
        "Host": "origin.svc",
        "Request-Id": "9b1f",
        "Request-Class": request_class,
        "Tenant": "norvalle",
        "Request-Timeout-Ms": timeout_ms,
        "Content-Length": str(len(body)),
    }
    if request_class == KEYED:
        fields["Idempotency-Key"] = "5c0f"
    fields |= {k.replace("_", "-"): v for k, v in headers.items()}
    head = "".join(f"{k}: {v}\r\n" for k, v in fields.items() if k not in drop)
    return f"POST {path} HTTP/1.1\r\n{head}\r\n".encode() + body


def config_doc(discovery_port: int, members: list[dict[str, Any]], **allowed: Any) -> dict[str, Any]:
    """Return a configuration file's content, whose cached endpoint list has these members at revision 41."""
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings(**allowed),
        "known": {"revision": 41, "complete": True, "members": members},
    }


@dataclass
class LoopbackSetup:
    """An agent with its listener, its endpoints, its discovery and its clients."""

    agent: Agent
    listener: Listener
    port: int  # The port on which the listener accepts clients.
    discovery: ScriptedServer
    endpoints: list[ScriptedServer]
    clock: Clock
    clients: list[StreamConnection] = field(default_factory=list)

    @property
    def pool(self) -> ConnectionPool:
        return self.agent.upstream.pool

    async def client(self) -> StreamConnection:
        """Connect a new client to the agent."""
        client = StreamConnection(*await asyncio.open_connection("127.0.0.1", self.port))
        self.clients.append(client)
        return client

    async def send_request(self, request: bytes) -> StreamConnection:
        """Send a request from a new client, and return the client."""
        client = await self.client()
        await client.write(request)
        return client

    async def next_request(self) -> Message:
        """Wait for the next request that reaches any endpoint, and return it."""
        waiting = [asyncio.create_task(endpoint.requests.get()) for endpoint in self.endpoints]
        try:
            done, _ = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            return done.pop().result()
        finally:
            for task in waiting:  # A task that was left waiting would take a later request.
                task.cancel()

    def nothing_sent(self) -> bool:
        """Return whether the test has taken every request that any endpoint received."""
        return all(endpoint.requests.empty() for endpoint in self.endpoints)

    # The balancer's state. Only the following methods name attributes of the balancer.

    @property
    def _balancer(self) -> Balancer:
        return self.agent._balancer

    @property
    def balancer_in_flight_count(self) -> int:
        """The number of attempts whose end the balancer still waits for."""
        return self._balancer.in_flight_count

    @property
    def balancer_request_count(self) -> int:
        """The number of requests that have no final answer or still have attempts in flight."""
        return len(self._balancer.requests)

    @property
    def balancer_queued_count(self) -> int:
        """The number of requests that the balancer holds back because the endpoints are busy."""
        return len(self._balancer.waiting)

    def balancer_load_by_endpoint(self) -> list[float]:
        """Return the load that the balancer counts for each endpoint.

        It consists of the attempts in flight and of penalties for attempts that ended badly.
        """
        balancer = self._balancer
        return [endpoint.own_in_flight(balancer.now_us) for endpoint in balancer.endpoints.by_id.values()]

    def set_typical_latency_us(self, latency_us: float) -> None:
        """Set the typical latency, from which the balancer derives the delay of a hedged request."""
        self._balancer.table.typical_latency_us = latency_us

    def fire_next_balancer_timer(self) -> None:
        """Fire the balancer's next timer now, before the event loop reads from any socket.

        The clock is put forward to the time of the timer.
        """
        balancer, now = self._balancer, self.clock.now
        remaining_us = max(0, balancer.timers.next_at_us - now())
        self.clock.now = lambda: now() + remaining_us  # type: ignore[method-assign]
        self.agent._dispatch(TimerFired(balancer.timers.armed_at_us))


def load_config(folder: Path, doc: dict[str, Any], clock: Clock) -> Config:
    """Write a configuration file into the folder and load it."""
    path = folder / "config.json"
    path.write_text(json.dumps(doc))
    return load({"RELAY_CONFIG": str(path)}, clock)


@contextlib.asynccontextmanager
async def loopback_setup(
    folder: Path,
    endpoints: int = 1,
    max_sockets: int | None = None,
    timeouts: ClientTimeouts | None = None,
    max_buffer_bytes: int | None = None,
    **allowed: Any,
) -> AsyncIterator[LoopbackSetup]:
    """Yield an agent that listens, with its endpoints s0, s1 and so on, and stop all of them after the block.

    `max_sockets`, `timeouts` and `max_buffer_bytes` replace the defaults if they are given; see `settings`
    for `allowed`. The settle time is 0, so that a connection may be reused as soon as it is idle.
    """
    discovery = await ScriptedServer().start()
    servers = [await ScriptedServer().start() for _ in range(endpoints)]
    doc = config_doc(
        discovery.port, [member(f"s{i}", server.port) for i, server in enumerate(servers)], **allowed
    )
    clock = Clock()
    config = load_config(folder, doc, clock)
    if max_sockets is not None:
        config = replace(config, max_sockets=max_sockets)
    if max_buffer_bytes is not None:
        config = replace(config, max_buffer_bytes=max_buffer_bytes)
    agent, listener = assemble(config, clock, timeouts, settle_time_us=0)
    agent.start(config.cached_list)
    port = await listener.listen(Address("127.0.0.1", 0))
    setup = LoopbackSetup(agent, listener, port, discovery, servers, clock)
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            yield setup
    finally:
        for client in setup.clients:
            client.close()
        listener.close()
        for server in [discovery, *servers]:
            await server.stop()
