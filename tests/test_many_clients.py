"""Hundreds of clients at once, each within its own limits: the process stays under its memory limit."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from pathlib import Path
from typing import Any

import pytest

from nickelmount.agent.memory_limit import BYTES_PER_MB, MIN_BUFFER_BYTES, max_buffer_bytes, resident_bytes
from tests.agent_process import AgentProcess, agent_process, complete_list_body, started_peers
from tests.async_test import async_test
from tests.loopback import NOT_IDEMPOTENT, ScriptedServer, config_doc, member, post
from tests.ordinary_clients import OrdinaryClients, answer_all

CLIENTS = 500
MEMORY_LIMIT_MB = (
    32  # The lowest limit that the operators' terms name, with their largest number of descriptors.
)
MAX_SOCKETS = 1024
LISTED = 1_600  # Eight times the endpoints of the operators' usual days.
PIECES = 20  # Number of pieces in which a slow client writes.
PIECE_INTERVAL_S = 0.05
STAY_S = 1.0
LIST_INTERVAL_S = 0.3

HALF_REQUEST = post(NOT_IDEMPOTENT, body=b"x" * 64_000)[:-1]
HEAD_START = post(NOT_IDEMPOTENT, drop=("Content-Length",), body=b"")[:-2]
REQUEST_STARTS = {
    "half of a large request": HALF_REQUEST,
    "a head of many short fields": HEAD_START + b"".join(b"%x:\r\n" % i for i in range(4_000)),
    "a head of large fields": HEAD_START + b"".join(b"%x:%0300x\r\n" % (i, i) for i in range(85)),
}


async def write_slowly_and_stay(agent: AgentProcess, data: bytes, pieces: int) -> None:
    """Write the beginning of a request in pieces, wait, and close the connection."""
    client = await agent.client()
    with contextlib.suppress(ConnectionError):
        for index in range(pieces):
            await client.write(data[index * len(data) // pieces : (index + 1) * len(data) // pieces])
            await asyncio.sleep(PIECE_INTERVAL_S)
    await asyncio.sleep(STAY_S)
    client.close()


async def send_whole_lists(discovery: ScriptedServer, members: list[dict[str, Any]]) -> None:
    """Answer each call of discovery with the complete list, until the task is cancelled."""
    for revision in itertools.count(42):
        call = await discovery.requests.get()
        await asyncio.sleep(LIST_INTERVAL_S)
        await call.answer(200, complete_list_body(revision, *members))


async def watch_memory(agent: AgentProcess) -> float:
    """Return the most memory that the process took until this is cancelled, in MB."""
    most_mb = 0.0
    try:
        while True:
            most_mb = max(most_mb, agent.resident_memory_mb())
            await asyncio.sleep(0.005)
    except asyncio.CancelledError:
        return most_mb


@pytest.mark.parametrize("pieces", [1, PIECES])
@pytest.mark.parametrize("name", REQUEST_STARTS)
@async_test(timeout_s=90.0)
async def test_an_agent_stays_under_its_memory_limit_while_hundreds_of_clients_stop_part_way(
    tmp_path: Path, name: str, pieces: int
) -> None:
    # With a long endpoint list it took 34.9 of 32 MB: the limit on messages ignored what else it needs.
    async with started_peers(2) as (discovery, endpoint):
        members = [member(f"s{i}", endpoint.port) for i in range(9)]
        members += [member(f"d{i}", endpoint.port, phase="DRAINING") for i in range(LISTED)]
        document = config_doc(discovery.port, members)
        document["limits"] = {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": MAX_SOCKETS}
        async with agent_process(tmp_path, document) as agent:
            serving = asyncio.create_task(answer_all(endpoint))
            listing = asyncio.create_task(send_whole_lists(discovery, members))
            watching = asyncio.create_task(watch_memory(agent))
            ordinary = OrdinaryClients(agent)
            bad = [
                asyncio.create_task(write_slowly_and_stay(agent, REQUEST_STARTS[name], pieces))
                for _ in range(CLIENTS)
            ]
            await ordinary.send(80)
            await asyncio.gather(*bad)
            await ordinary.check_answers()
            serving.cancel()
            listing.cancel()
            watching.cancel()
            most_mb = await watching
            print(f"at most {most_mb:.1f} of {MEMORY_LIMIT_MB} MB resident")
            assert most_mb < MEMORY_LIMIT_MB
            await agent.stop()


def test_messages_get_a_part_of_the_memory_that_is_left() -> None:
    def buffer_bytes(resident_mb: int | None, listed: int = 9, limit_mb: int = 32) -> int:
        resident = None if resident_mb is None else resident_mb * BYTES_PER_MB
        return max_buffer_bytes(limit_mb * BYTES_PER_MB, resident, CLIENTS, listed)

    most = 4 * BYTES_PER_MB
    assert MIN_BUFFER_BYTES < buffer_bytes(26, LISTED // 4) < buffer_bytes(26) < buffer_bytes(24) < most
    # A process that is over its limit already, one whose memory is unknown, and one with memory to spare.
    assert buffer_bytes(64) == MIN_BUFFER_BYTES
    assert buffer_bytes(None) == most
    assert buffer_bytes(24, limit_mb=192) == 24 * BYTES_PER_MB


def test_the_memory_of_this_process_is_known() -> None:
    resident = resident_bytes()
    assert resident is not None
    assert resident > BYTES_PER_MB
