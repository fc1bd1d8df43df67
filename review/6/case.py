"""Case 6: after a map server has sent an answer twice, orders run twice and clients get foreign answers."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from peers import (  # noqa: E402
    AgentProcess,
    Client,
    Discovery,
    Handler,
    MapServer,
    Received,
    Stage,
    run_case,
    settings,
)

SECOND_ANSWER_AFTER_S = 0.012
SPOILT_SHARE = 0.2
TURNED_AWAY_SHARE = 0.15  # The map servers' queues are full for these requests, with trouble or without.
RUN_S = 60.0
RATE_PER_S = 80.0
TIMEOUT_MS = 2000
UNSAFE = ("copy-order", "note-add")


class Servers:
    """What the map servers do, and which requests they have run."""

    def __init__(self, stage: Stage) -> None:
        self.stage = stage
        self.runs: dict[str, list[str]] = {}  # The servers that ran a request, by its id.

    async def serve(self, received: Received) -> None:
        """Run a request or turn it away, and send some of the answers twice."""
        await asyncio.sleep(0.01)
        if random.random() < TURNED_AWAY_SHARE:
            status, body, header = 503, b"queue full", "Not-Started: 1"
        else:
            self.runs.setdefault(received.request_id, []).append(received.server.name)
            status, body, header = 200, received.body_for(), "Server-Load: inflight=1,queue=0,latency_ms=10"
        self.stage.record.write(f"{received.server.name} answers {received.request_id} with {status}")
        received.write(status, body, header)
        if self.stage.trouble and random.random() < SPOILT_SHARE:
            asyncio.get_running_loop().call_later(
                SECOND_ANSWER_AFTER_S, self._answer_again, received, status, body, header
            )

    def _answer_again(self, received: Received, status: int, body: bytes, header: str) -> None:
        if not received.writer.is_closing():
            self.stage.record.write(f"{received.server.name} answers {received.request_id} a second time")
            received.write(status, body, header)


async def case(stage: Stage) -> list[str]:
    """Send requests at a steady rate; check the bodies of all 200s, and how often each unsafe request ran."""
    behaviour = Servers(stage)
    handler: Handler = behaviour.serve
    servers = [await MapServer(f"s-{i}", stage.record, handler).start() for i in range(9)]
    discovery = await Discovery(stage.record, [server.entry() for server in servers]).start()
    agent = AgentProcess(stage.folder, stage.record, settings(), [server.entry() for server in servers])
    try:
        await agent.start(discovery)
        client = Client(agent.port, stage.record)
        tasks = []
        end_at = time.monotonic() + RUN_S
        while time.monotonic() < end_at:
            name = random.choice(["tile-read", *UNSAFE])
            tasks.append(asyncio.create_task(client.request(name, TIMEOUT_MS)))
            await asyncio.sleep(random.expovariate(RATE_PER_S))
        await asyncio.gather(*tasks)
    finally:
        code = agent.end()
    breaches = [] if code is None else [f"the agent ended with {code}"]
    for sent in client.sent:
        runs = behaviour.runs.get(sent.request_id, [])
        if sent.request_class in UNSAFE and len(runs) > 1:
            breaches.append(f"{sent.request_class} {sent.request_id} ran at {' and '.join(runs)}")
        if sent.status == 200 and not sent.body.endswith(f" served {sent.request_id}".encode()):
            breaches.append(f"{sent.request_class} {sent.request_id} got {sent.body!r}")
        if sent.status in (429, 503) and sent.request_class in UNSAFE and runs:
            breaches.append(f"{sent.request_class} {sent.request_id} was refused and had run at {runs[0]}")
    return breaches


if __name__ == "__main__":
    sys.exit(run_case(case, HERE))
