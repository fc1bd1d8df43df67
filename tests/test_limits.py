"""Limits of an agent process: its file descriptors, and its processor time until it is ready."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
from pathlib import Path

import pytest

from tests.agent_process import AgentProcess, agent_process, complete_list_body, started_peers
from tests.async_test import async_test
from tests.loopback import ScriptedServer, StreamConnection, config_doc, member, post

HEALTH_CHECK = b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"
MAX_DESCRIPTORS = 256
# Nine of ten agents must be ready within this time if each gets this share of a core.
READY_WITHIN_S, CORE_SHARE = 10.0, 0.05


async def start_server_at(port: int) -> ScriptedServer:
    """Start a scripted server on the given port."""
    server = ScriptedServer()
    server.server, server.port = await asyncio.start_server(server.serve, "127.0.0.1", port), port
    return server


async def connect_idle_clients(agent: AgentProcess, count: int, send_request: bool) -> list[StreamConnection]:
    """Open connections of clients, which are idle from the start or after one request each."""
    clients: list[StreamConnection] = []
    for _ in range(count):
        clients.append(await agent.client())
        if send_request:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                await clients[-1].write(HEALTH_CHECK)
                await clients[-1].read()
    return clients


async def is_served(client: StreamConnection, endpoint: ScriptedServer, request_id: str) -> bool:
    """Send a request, answer it if it reaches the endpoint, and return whether the client got status 200."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        answer = asyncio.create_task(client.read())
        await client.write(post(Request_Id=request_id))
        arrival = asyncio.create_task(endpoint.requests.get())
        await asyncio.wait([arrival, answer], return_when=asyncio.FIRST_COMPLETED)
        if arrival.done():
            await arrival.result().answer()
        arrival.cancel()
        return (await answer).status == 200
    return False


@pytest.mark.parametrize("send_request", [False, True])
@async_test(timeout_s=30.0)
async def test_idle_clients_leave_descriptors_for_connections_after_an_outage_of_discovery(
    tmp_path: Path, send_request: bool
) -> None:
    # Clients open as many idle connections as there are descriptors. After the outage, the agent must still
    # connect to discovery, and to an endpoint to which it has no connection yet.
    async with started_peers(3) as (discovery, removed, new):
        document = config_doc(discovery.port, [member("a", removed.port)])
        document["limits"]["sockets"] = MAX_DESCRIPTORS
        async with agent_process(tmp_path, document) as agent:
            pid = agent.process.pid
            resource.prlimit(pid, resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))
            watch = await discovery.requests.get()
            discovery.server.close()
            watch.connection.reset()
            await agent.wait_for_log_line("call to discovery failed")
            clients = await connect_idle_clients(agent, MAX_DESCRIPTORS, send_request)
            # The agent goes on calling discovery while all these connections are open.
            await agent.wait_for_log_line("call to discovery failed")
            restarted_discovery = await start_server_at(discovery.port)
            call = await restarted_discovery.requests.get()
            await call.answer(200, complete_list_body(42, member("b", new.port)))
            assert "index=42&" in (await restarted_discovery.requests.get()).start_line
            # One request is sent on a connection that stayed open, and one on a new connection. A new
            # connection may be closed unread while the limit on connections is reached; then the next one is
            # tried.
            client = next(client for client in clients if not client.peer_has_closed())
            served = 0
            while served < 2:
                served += await is_served(client, new, f"9b{served}")
                clients.append(client := await agent.client())
            assert removed.requests.empty()
            assert len(os.listdir(f"/proc/{pid}/fd")) <= MAX_DESCRIPTORS
            for client in clients:
                client.close()
            await agent.stop()
        await restarted_discovery.stop()


def processor_time_s(pid: int) -> float:
    """Return the processor time that a process has used in all of its threads."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@pytest.mark.parametrize("endpoint_count", [20, 200, 6300])
@async_test()
async def test_an_agent_is_ready_in_time_on_a_small_share_of_a_core(
    tmp_path: Path, endpoint_count: int
) -> None:
    async with started_peers(1) as (discovery,):
        entries = [member(f"s-{i:08x}", 1 + i % 60000) for i in range(endpoint_count)]
        document = config_doc(discovery.port, entries)
        document["settings"]["siblings"] = endpoint_count
        async with agent_process(tmp_path, document) as agent:
            client = await agent.client()
            await client.write(HEALTH_CHECK)
            assert (await client.read()).status == 200
            used_s = processor_time_s(agent.process.pid)
            print(f"{endpoint_count} entries: ready after {used_s:.2f} s of processor time")
            assert used_s < READY_WITHIN_S * CORE_SHARE
            client.close()
            await agent.stop()
