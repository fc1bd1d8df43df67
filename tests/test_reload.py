"""Tests of the watch after a start, and of SIGHUP, after which the agent uses the newly configured discovery.

The agent continues to run, and keeps its requests and its connections with clients.
"""

from __future__ import annotations

import json
import signal
from pathlib import Path

import pytest

from tests.agent_process import agent_process, complete_list_body, started_peers
from tests.async_test import async_test
from tests.loopback import Message, ScriptedServer, config_doc, member, post


async def complete_list_call(discovery: ScriptedServer) -> Message:
    """Wait for the next call to discovery, which must ask for the complete list, and return it."""
    call = await discovery.requests.get()
    assert call.start_line == "GET /catalog/members HTTP/1.1"
    return call


@pytest.mark.parametrize("mode", ["push", "ask"])
@async_test()
async def test_the_agent_watches_discovery_after_every_start(tmp_path: Path, mode: str) -> None:
    async with started_peers(3) as (discovery, first, second):
        document = config_doc(discovery.port, [member("a", first.port)])
        document["settings"]["registryMode"] = mode
        for _ in range(2):  # The second start begins with the same outdated list as the first.
            async with agent_process(tmp_path, document) as agent:
                call = await discovery.requests.get()
                assert call.start_line.startswith("GET /catalog/members?index=41&wait=")
                entries = member("a", first.port, "DRAINING"), member("b", second.port)
                await call.answer(200, complete_list_body(42, *entries))
                assert "index=42&" in (await discovery.requests.get()).start_line
                client = await agent.client()
                await client.write(post())
                await (await second.requests.get()).answer()
                assert (await client.read()).status == 200
                assert first.requests.empty()
                await agent.stop()


@async_test()
async def test_a_reload_switches_to_the_new_discovery_and_keeps_connections_and_requests(
    tmp_path: Path,
) -> None:
    async with started_peers(4) as (old, new, first, second):
        document = config_doc(old.port, [member("a", first.port)])
        async with agent_process(tmp_path, document) as agent:
            watch = await old.requests.get()
            client = await agent.client()
            await client.write(post())
            in_flight = await first.requests.get()
            agent.write_config_with_discovery(document, new)
            agent.process.send_signal(signal.SIGHUP)
            call = await complete_list_call(new)
            await watch.connection.wait_for_close()
            await call.answer(200, complete_list_body(7, member("b", second.port)))
            assert "index=7&" in (await new.requests.get()).start_line
            await in_flight.answer()
            assert (await client.read()).status == 200
            # The first endpoint was removed, because the new list does not name it.
            await client.write(post())
            await (await second.requests.get()).answer()
            assert (await client.read()).status == 200
            assert first.requests.empty()
            assert old.requests.empty()
            await agent.stop()


@async_test()
async def test_an_invalid_file_changes_nothing_and_the_last_of_several_reloads_takes_effect(
    tmp_path: Path,
) -> None:
    async with started_peers(3) as (old, between, last):
        document = config_doc(old.port, [])
        async with agent_process(tmp_path, document) as agent:
            watch = await old.requests.get()
            for text in ("{", "", json.dumps(document | {"discovery": "nowhere"})):
                agent.write_config(text)
                agent.process.send_signal(signal.SIGHUP)
                await agent.wait_for_log_line("the old configuration stays")
            assert not watch.connection.peer_has_closed()
            for discovery in (between, last):
                agent.write_config_with_discovery(document, discovery)
                agent.process.send_signal(signal.SIGHUP)
                call = await complete_list_call(discovery)
            await call.answer(200, complete_list_body(3))
            assert "index=3&" in (await last.requests.get()).start_line
            agent.process.send_signal(signal.SIGHUP)
            await agent.stop()  # The agent is stopped immediately after the last reload.


@async_test()
async def test_after_a_failed_call_a_new_discovery_is_asked_for_the_complete_list_again(
    tmp_path: Path,
) -> None:
    async with started_peers(2) as (old, new):
        document = config_doc(old.port, [])
        async with agent_process(tmp_path, document) as agent:
            await old.requests.get()
            agent.write_config_with_discovery(document, new)
            agent.process.send_signal(signal.SIGHUP)
            await (await complete_list_call(new)).answer(503, b"")
            await (await complete_list_call(new)).answer(200, complete_list_body(9))
            assert "index=9&" in (await new.requests.get()).start_line
            await agent.stop()
