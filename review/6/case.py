"""Case 6: requests of the application are lost while bad clients send much at once and go."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from peers import AgentProcess, Client, Discovery, MapServer, Received, Stage, run_case, settings  # noqa: E402

BAD_CLIENTS = 100
WAVES_AT_S = (2.0, 6.0, 10.0)
RUN_S = 14.0
RATE_PER_S = 40.0
TIMEOUT_MS = 300
# The answer is due 0.5 s after the request's time at the latest; the rules on sockets add 50 ms.
LATE_S = 0.55


async def serve(received: Received) -> None:
    """Answer after 20 ms, like a map server without trouble."""
    await asyncio.sleep(0.02)
    received.write(200, received.body_for(), "Server-Load: inflight=1,queue=0,latency_ms=20")


async def flood(stage: Stage, port: int) -> None:
    """Run the waves of bad clients, in a process of their own."""
    started_at = time.monotonic()
    for at_s in WAVES_AT_S:
        await asyncio.sleep(max(0.0, started_at + at_s - time.monotonic()))
        stage.record.write(f"{BAD_CLIENTS} bad clients send 288 kB each and go")
        process = await asyncio.create_subprocess_exec(
            sys.executable, str(HERE / "flood.py"), str(port), str(BAD_CLIENTS)
        )
        await process.wait()


async def case(stage: Stage) -> list[str]:
    """Send requests at a steady rate, and check that each gets its answer in time."""
    servers = [await MapServer(f"s-{i}", stage.record, serve).start() for i in range(9)]
    discovery = await Discovery(stage.record, [server.entry() for server in servers]).start()
    agent = AgentProcess(stage.folder, stage.record, settings(), [server.entry() for server in servers])
    try:
        await agent.start(discovery)
        client = Client(agent.port, stage.record)
        trouble = asyncio.create_task(flood(stage, agent.port)) if stage.trouble else None
        tasks = []
        held_up_s = 0.0  # How long the stand-ins themselves were held up at most.
        end_at = time.monotonic() + RUN_S
        while time.monotonic() < end_at:
            tasks.append(asyncio.create_task(client.request("tile-read", TIMEOUT_MS)))
            wait_s, before = random.expovariate(RATE_PER_S), time.monotonic()
            await asyncio.sleep(wait_s)
            held_up_s = max(held_up_s, time.monotonic() - before - wait_s)
        await asyncio.gather(*tasks)
        if trouble is not None:
            await trouble
    finally:
        code = agent.end()
    stage.record.write(f"the stand-ins were held up for {held_up_s:.3f} s at most")
    assert len(client.sent) > RUN_S * RATE_PER_S / 2, "the clients could not keep their rate"
    breaches = [] if code is None else [f"the agent ended with {code}"]
    for sent in client.sent:
        late_s = sent.ended_at - sent.last_byte_at - sent.timeout_ms / 1000
        if sent.status == 0:
            breaches.append(f"{sent.request_id} got no answer: {sent.end}")
        elif late_s > LATE_S + held_up_s:
            breaches.append(f"{sent.request_id} got {sent.status} {late_s:.2f} s after its time")
    return breaches


if __name__ == "__main__":
    sys.exit(run_case(case, HERE))
