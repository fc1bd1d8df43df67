"""An agent process under broken endpoints, clients and discovery, which all misbehave at random.

Every ordinary request gets one answer in time, a served one with a whole body that an endpoint made for it. A
request that must not run twice runs once. The process stays under its memory limit and ends in order.

The run is short and seeded. `SOAK_S` and `SOAK_SEED` in the environment give a longer run or another one.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from tests.agent_process import AgentProcess, agent_process, started_peers
from tests.async_test import async_test
from tests.loopback import (
    KEYED,
    NOT_IDEMPOTENT,
    Message,
    ScriptedServer,
    StreamConnection,
    config_doc,
    member,
    post,
)

DURATION_S = float(os.environ.get("SOAK_S", "45"))
SEED = int(os.environ.get("SOAK_SEED", "32"))
REQUESTS_PER_S = 40.0
ENDPOINTS = 9
MEMORY_LIMIT_MB = 32  # The lowest limit that the operators' terms name.
TIMEOUT_S = 3.0
GRACE_S = 0.5  # An answer may come this long after the request's time.
SERVICE_TIME_S = (0.01, 0.08)
WATCH_ANSWER_S = 0.5  # Discovery answers a watch after this time.
CHUNK = b"4000\r\n" + b"m" * 0x4000 + b"\r\n"
OK = b"HTTP/1.1 200 OK\r\n"


@dataclass
class SoakRequest:
    """A request of an ordinary client, with what the endpoints did for it."""

    request_class: str
    runs: int = 0  # The number of endpoints that ran it.
    whole_bodies: set[bytes] = field(default_factory=set)  # Bodies of the whole 200 answers made for it.


class Soak:
    """The endpoints, the discovery and the clients of a run, and what they saw."""

    def __init__(self, agent: AgentProcess, endpoints: list[ScriptedServer]) -> None:
        self.random = random.Random(SEED)
        self.agent, self.endpoints = agent, endpoints
        self.requests: dict[str, SoakRequest] = {}
        self.counts: Counter[str] = Counter()
        self.faults: list[str] = []
        self.most_memory_mb = 0.0
        # What an endpoint may do with a request, with its weight.
        self._endpoint_behaviors: list[tuple[float, Callable[[Message, SoakRequest], Awaitable[None]]]] = [
            (60, self._answer_whole),
            (6, self._answer_without_length),
            (5, self._reset_without_length),
            (6, self._reject_unstarted),
            (4, self._answer_large),
            (4, self._truncate),
            (3, self._never_end),
            (3, self._send_garbage),
            (2, self._stay_silent),
        ]
        self._client_behaviors: list[tuple[float, Callable[[str], Awaitable[None]]]] = [
            (85, self._ordinary_client),
            (5, self._leaving_client),
            (4, self._client_that_stops),
            (3, self._client_with_many_fields),
            (3, self._client_that_reads_nothing),
        ]

    # Endpoints

    async def serve_endpoint(self, server: ScriptedServer) -> None:
        """Take the requests of one endpoint and respond to each at random."""
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._respond(await server.requests.get()))

    async def _respond(self, message: Message) -> None:
        request_id = message.headers["request-id"]
        request = self.requests.get(request_id)
        if request is None:
            self.faults.append(f"request {request_id} was sent by no client")
            return
        weights, behaviors = zip(*self._endpoint_behaviors, strict=True)
        behavior = self.random.choices(behaviors, weights)[0]
        self.counts[f"endpoint:{behavior.__name__}"] += 1
        if behavior != self._reject_unstarted:
            request.runs += 1
            if request.runs > 1 and request.request_class == NOT_IDEMPOTENT:
                self.faults.append(f"request {request_id} ran twice")
        await asyncio.sleep(self.random.uniform(*SERVICE_TIME_S))
        with contextlib.suppress(ConnectionError, OSError):
            await behavior(message, request)

    def _new_body(self, request: SoakRequest, size: int = 0) -> bytes:
        body = self.random.randbytes(16).hex().encode() + b"x" * size
        request.whole_bodies.add(body)
        return body

    async def _answer_whole(self, message: Message, request: SoakRequest) -> None:
        await message.answer(200, self._new_body(request))

    async def _answer_large(self, message: Message, request: SoakRequest) -> None:
        await message.answer(200, self._new_body(request, size=900_000))

    async def _answer_without_length(self, message: Message, request: SoakRequest) -> None:
        await message.connection.write(OK + b"\r\n" + self._new_body(request))
        message.connection.close()

    async def _reset_without_length(self, message: Message, _: SoakRequest) -> None:
        await message.connection.write(OK + b"\r\n" + b"truncated" * self.random.randrange(1000))
        await asyncio.sleep(self.random.choice((0, 0.005)))
        message.connection.reset_in_kernel()

    async def _reject_unstarted(self, message: Message, _: SoakRequest) -> None:
        await message.answer(503, b"", Not_Started="1")

    async def _truncate(self, message: Message, _: SoakRequest) -> None:
        await message.connection.write(OK + b"Content-Length: 70000\r\n\r\n" + b"x" * 60_000)
        message.connection.close()

    async def _never_end(self, message: Message, _: SoakRequest) -> None:
        await message.connection.write(OK + b"Transfer-Encoding: chunked\r\n\r\n")
        while not message.connection.writer.is_closing():
            await message.connection.write(CHUNK * 4)
            await asyncio.sleep(0.005)

    async def _send_garbage(self, message: Message, _: SoakRequest) -> None:
        await message.connection.write(self.random.randbytes(200))

    async def _stay_silent(self, message: Message, _: SoakRequest) -> None:
        await message.connection.wait_for_close()

    # Discovery

    async def serve_discovery(self, server: ScriptedServer) -> None:
        """Answer the calls of the watch; one of five answers is broken."""
        members = [member(f"s{i}", endpoint.port) for i, endpoint in enumerate(self.endpoints)]
        body = json.dumps({"revision": 41, "complete": True, "members": members}).encode()
        while True:
            call = await server.requests.get()
            await asyncio.sleep(WATCH_ANSWER_S)
            with contextlib.suppress(ConnectionError, OSError):
                draw = self.random.random()
                if draw < 0.1:
                    await call.connection.write(OK + b"Content-Length: 9000000\r\n\r\n" + b"[" * 60_000)
                    call.connection.reset_in_kernel()
                elif draw < 0.2:
                    await call.connection.write(OK + b"\r\n" + body)
                    call.connection.close()
                else:
                    await call.answer(200, body)

    # Clients

    async def send_requests(self) -> None:
        """Start clients at random times until the end of the run, and wait for all of them."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + DURATION_S
        weights, behaviors = zip(*self._client_behaviors, strict=True)
        async with asyncio.TaskGroup() as group:
            number = 0
            while loop.time() < end_at:
                await asyncio.sleep(self.random.expovariate(REQUESTS_PER_S))
                number += 1
                behavior = self.random.choices(behaviors, weights)[0]
                self.counts[f"client:{behavior.__name__}"] += 1
                group.create_task(self._run_client(behavior, f"{number}"))

    async def _run_client(self, behavior: Callable[[str], Awaitable[None]], request_id: str) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await behavior(request_id)

    def _new_request(self, request_id: str) -> bytes:
        request_class = self.random.choice((KEYED, NOT_IDEMPOTENT))
        self.requests[request_id] = SoakRequest(request_class)
        body = b"b" * self.random.choice((3, 3, 3, 40_000))
        timeout_ms = str(int(TIMEOUT_S * 1000))
        if request_class == KEYED:
            return post(KEYED, body, timeout_ms, Request_Id=request_id, Idempotency_Key=request_id)
        return post(NOT_IDEMPOTENT, body, timeout_ms, Request_Id=request_id)

    async def _ordinary_client(self, request_id: str) -> None:
        client = await self.agent.client()
        await client.write(self._new_request(request_id))
        try:
            async with asyncio.timeout(TIMEOUT_S + GRACE_S):
                answer = await client.read()
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError) as error:
            self.faults.append(f"request {request_id} got no answer: {type(error).__name__}")
            return
        finally:
            client.close()
        self.counts[f"status:{answer.status}"] += 1
        if answer.status == 200 and answer.body not in self.requests[request_id].whole_bodies:
            self.faults.append(f"request {request_id} was served with a body that no endpoint made for it")

    async def _leaving_client(self, request_id: str) -> None:
        client = await self.agent.client()
        await client.write(self._new_request(request_id))
        await asyncio.sleep(self.random.uniform(0, 0.05))
        client.close()

    async def _client_that_stops(self, request_id: str) -> None:
        client = await self.agent.client()
        await client.write(post(body=b"b" * 60_000, Request_Id=request_id)[:-1])
        await self._stay(client)

    async def _client_with_many_fields(self, request_id: str) -> None:
        client = await self.agent.client()
        fields = b"".join(b"%x:y\r\n" % number for number in range(3000))
        await client.write(post(body=b"", Request_Id=request_id)[:-2] + fields)
        await self._stay(client)

    async def _client_that_reads_nothing(self, request_id: str) -> None:
        client = await self.agent.client()
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        await client.write(self._new_request(request_id))
        await self._stay(client)

    async def _stay(self, client: StreamConnection) -> None:
        await asyncio.sleep(self.random.uniform(0, TIMEOUT_S))
        client.close()

    # Memory

    async def watch_memory(self) -> None:
        """Record the largest private memory of the agent."""
        while True:
            self.most_memory_mb = max(self.most_memory_mb, self.agent.private_memory_mb())
            await asyncio.sleep(0.05)


@async_test(timeout_s=DURATION_S + 60)
async def test_an_agent_keeps_the_rules_and_its_memory_limit_among_broken_peers(tmp_path: Path) -> None:
    async with started_peers(1 + ENDPOINTS) as (discovery, *endpoints):
        document = config_doc(
            discovery.port, [member(f"s{i}", e.port) for i, e in enumerate(endpoints)], probes=True
        )
        document["limits"] = {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": 256}
        async with agent_process(tmp_path, document) as agent:
            soak = Soak(agent, endpoints)
            background = [asyncio.create_task(soak.serve_endpoint(endpoint)) for endpoint in endpoints]
            background += [asyncio.create_task(soak.serve_discovery(discovery))]
            background += [asyncio.create_task(soak.watch_memory())]
            log = asyncio.create_task(agent.wait_for_log_line("buffers took at most"))
            await soak.send_requests()
            background.pop().cancel()  # The memory cannot be read when the process has ended.
            await agent.stop()
            print(f"at most {soak.most_memory_mb:.1f} MB; {(await log).strip()}")
            print(dict(sorted(soak.counts.items())))
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
            assert soak.faults == []
            assert soak.counts["status:200"] > 0
            assert soak.most_memory_mb < MEMORY_LIMIT_MB
