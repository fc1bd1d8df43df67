"""Case 8: requests that come whole at the end of a planned restart are reset without an answer."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from peers import (  # noqa: E402
    AgentProcess,
    Client,
    Discovery,
    MapServer,
    Received,
    Sent,
    Stage,
    profile,
    read_message,
    run_case,
    settings,
)

DEADLINE_S = 0.45  # The longest deadline of the classes, as on a day whose deadlines are short.
KILL_AFTER_S = DEADLINE_S + 0.7  # SIGKILL comes no earlier than this after SIGTERM.
SLOW_CLIENTS = 120
LAST_BYTES_S = (KILL_AFTER_S - 0.1, KILL_AFTER_S)  # When their last bytes come, counted from SIGTERM.
PIECE_BYTES, PIECE_S = 60, 0.1  # A slow client writes a piece of this size at this interval.
ROUNDS = 5


async def serve(received: Received) -> None:
    """Answer after 20 ms, like a map server without trouble."""
    await asyncio.sleep(0.02)
    if not received.writer.is_closing():
        received.write(200, received.body_for())


def is_open(writer: asyncio.StreamWriter) -> bool:
    """Return whether the agent has neither answered nor closed a connection, as far as the kernel knows."""
    try:
        with writer.get_extra_info("socket").dup() as sock:
            sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


class SlowClient:
    """A client that has had one answer on its connection, and writes its next request slowly."""

    def __init__(self, client: Client, number: int) -> None:
        self.client, self.number = client, number

    async def connect(self) -> None:
        """Open the connection, and send a first request at once."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.client.port)
        first = Sent(f"{self.client.prefix}{self.number:04x}a", "copy-order", int(DEADLINE_S * 1000))
        self.writer.write(self.client.encode(first, b"x" * 100))
        await read_message(self.reader)

    async def write_slowly(self, last_byte_at: float) -> str:
        """Write a request whose last byte comes at the given time, and return what came of it."""
        sent = Sent(f"{self.client.prefix}{self.number:04x}b", "copy-order", int(DEADLINE_S * 1000))
        data = self.client.encode(sent, b"y" * 800)
        while time.monotonic() < last_byte_at - PIECE_S and len(data) > 2 * PIECE_BYTES:
            self.writer.write(data[:PIECE_BYTES])
            data = data[PIECE_BYTES:]
            await asyncio.sleep(PIECE_S)
        await asyncio.sleep(max(0.0, last_byte_at - time.monotonic()))
        result = await self._end_request(sent, data)
        self.writer.close()
        self.client.record.write(f"{sent.request_id}: {result}")
        return result

    async def _end_request(self, sent: Sent, rest: bytes) -> str:
        if not is_open(self.writer):
            return "the connection was closed or answered before the last byte"
        try:
            with self.writer.get_extra_info("socket").dup() as sock:
                sock.send(rest)
        except OSError:
            return "the last byte could not be written"
        self.client.record.write(f"{sent.request_id}: last byte written")
        try:
            async with asyncio.timeout(DEADLINE_S + 2):
                line, _, _ = await read_message(self.reader)
                return f"answered: {line}"
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError) as error:
            reason = type(error).__name__
        # The client sends the request once more on a new connection, as it would after a crossing close.
        again = await self.client.request("copy-order", int(DEADLINE_S * 1000))
        return f"answered again: {again.status}" if again.status else f"LOST: {reason}, then {again.end}"


async def restart(agent: AgentProcess, discovery: Discovery, terminated_at: float) -> None:
    """Restart the agent as planned: SIGTERM, SIGKILL if it has not ended by then, and a new process."""
    await asyncio.sleep(terminated_at - time.monotonic())
    agent.signal(signal.SIGTERM)
    while agent.is_running() and time.monotonic() < terminated_at + KILL_AFTER_S:  # noqa: ASYNC110
        await asyncio.sleep(0.002)
    agent.record.write("the agent has ended" if not agent.is_running() else "the agent is killed")
    agent.end()
    await asyncio.sleep(DEADLINE_S + 2.5)
    await agent.start(discovery)


async def case(stage: Stage) -> list[str]:
    """Restart the agent several times while clients write slowly, and count what gets no answer."""
    deadline_ms = int(DEADLINE_S * 1000)
    classes = [
        profile("tile-read", "retryable", 200, deadline_ms),
        profile("copy-order", "fragile", 220, deadline_ms, value=10.0),
    ]
    servers = [await MapServer(f"s-{i}", stage.record, serve).start() for i in range(9)]
    discovery = await Discovery(stage.record, [server.entry() for server in servers]).start()
    deployment = settings(profiles=classes)
    agent = AgentProcess(stage.folder, stage.record, deployment, [server.entry() for server in servers])
    results: list[str] = []
    try:
        await agent.start(discovery)
        for _ in range(ROUNDS):
            client = Client(agent.port, stage.record)
            clients = [SlowClient(client, number) for number in range(SLOW_CLIENTS)]
            for slow in clients:
                await slow.connect()
            terminated_at = time.monotonic() + 0.3
            first, last = (terminated_at + s for s in LAST_BYTES_S)
            writes = [
                slow.write_slowly(first + (last - first) * slow.number / SLOW_CLIENTS) for slow in clients
            ]
            if stage.trouble:
                results += (await asyncio.gather(restart(agent, discovery, terminated_at), *writes))[1:]
            else:
                results += await asyncio.gather(*writes)
    finally:
        agent.end()
    answered = sum(result.startswith("answered") for result in results)
    stage.record.write(f"{answered} of {len(results)} slow requests were answered")
    return [result for result in results if result.startswith("LOST")]


if __name__ == "__main__":
    sys.exit(run_case(case, HERE))
