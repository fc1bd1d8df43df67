"""Case 8: an agent whose discovery is slow sends to a draining map server for as long as it is slow."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from peers import AgentProcess, Client, Discovery, MapServer, Received, Stage, run_case, settings  # noqa: E402

ANSWER_AFTER_S = 2.5  # How long slow discovery takes for each answer.
DRAIN_AT_S = 24.0  # After the end of the agent's first long poll, which lasts 10 to 20 s.
RUN_S = 40.0
RATE_PER_S = 40.0
TIMEOUT_MS = 2000
TOLD_AFTER_S = 6.0  # A change counts as told 6 s after discovery had it and could be reached.
GRACE_S = 0.5 + 0.05  # The settings' grace, and the 50 ms of the rules on sockets.
LOOPBACK_S = 0.1  # Time for a request that was sent in time to arrive.


async def serve(received: Received) -> None:
    """Answer after 20 ms, like a map server without trouble."""
    await asyncio.sleep(0.02)
    received.write(200, received.body_for(), "Server-Load: inflight=1,queue=0,latency_ms=20")


async def case(stage: Stage) -> list[str]:
    """Let one map server drain, and check when the last request was sent to it."""
    servers = [await MapServer(f"s-{i}", stage.record, serve).start() for i in range(4)]
    discovery = await Discovery(stage.record, [server.entry() for server in servers]).start()
    discovery.answer_delay_s = ANSWER_AFTER_S if stage.trouble else 0.0
    deployment = settings(registryMode="ask")
    agent = AgentProcess(stage.folder, stage.record, deployment, [server.entry() for server in servers])
    draining, drained_at = servers[0], 0.0
    try:
        await agent.start(discovery)
        client = Client(agent.port, stage.record)
        tasks = []
        started_at = time.monotonic()
        while time.monotonic() < started_at + RUN_S:
            if not drained_at and time.monotonic() > started_at + DRAIN_AT_S:
                draining.phase, drained_at = "DRAINING", time.monotonic()
                discovery.change(draining.entry())
            tasks.append(asyncio.create_task(client.request("tile-read", TIMEOUT_MS)))
            await asyncio.sleep(random.expovariate(RATE_PER_S))
        await asyncio.gather(*tasks)
    finally:
        code = agent.end()
    breaches = [] if code is None else [f"the agent ended with {code}"]
    last_s = TOLD_AFTER_S + GRACE_S + LOOPBACK_S
    late = [received for received in draining.received if received.at - drained_at > last_s]
    if late:
        breaches.append(
            f"{len(late)} requests reached {draining.name} after it counted as told that it drains, "
            f"the last one {late[-1].at - drained_at:.2f} s after the change"
        )
    return breaches


if __name__ == "__main__":
    sys.exit(run_case(case, HERE))
