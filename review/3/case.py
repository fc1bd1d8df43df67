"""Case 3: the agent forwards no answer that has no length, although the answer comes whole.

One answer in four has neither Content-Length nor a transfer coding: it ends with the connection, which the
map server closes properly right after the last byte.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

from standins import BROKEN, COULD_NOT_RUN, HELD, Call, Record, deployment, has_trouble, main, whole_answer

MEMORY_MB = 64
SERVE_S = 30.0
NO_LENGTH_SHARE = 0.25
SEED = 12


async def case(record: Record) -> int:
    """Serve requests while one answer in four has no length."""
    came_whole: list[Call] = []

    async def answer(call: Call, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        if not has_trouble() or running.world.random.random() >= NO_LENGTH_SHARE:
            writer.write(whole_answer(call.sheet))
            return True
        if call.is_open and not reader.at_eof():
            came_whole.append(call)
            record.add(f"{call.runs[-1]} answers {call.request_class} {call.id} whole, without a length")
        # The head, the body and the end of the connection leave together, so the answer always comes whole.
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + call.sheet)
        writer.write_eof()
        return False

    async with deployment(record, answer, SEED, MEMORY_MB) as running:
        await running.serve(SERVE_S)
    calls = list(running.world.calls.values())
    served = sum(call.answer == 200 for call in calls)
    record.say(f"{len(calls)} requests, {served} served")
    # A request that is safe to repeat may be served by a later attempt. Its answer counts as forwarded.
    forwarded = sum(call.answer == 200 for call in came_whole)
    record.say(f"answers without a length that came whole: {len(came_whole)}, forwarded: {forwarded}")
    by_class = {name: Counter() for name in ("tile-read", "copy-order", "note-add")}
    for call in came_whole:
        by_class[call.request_class][call.answer or 0] += 1
    for name, statuses in by_class.items():
        record.say(f"  {name}: answers to the clients by status: {dict(statuses)}")
    once_only = [call for call in came_whole if call.method == "POST"]
    lost = [call for call in once_only if call.answer != 200]
    record.say(
        f"orders and notes that ran and whose whole answer was dropped: {len(lost)} of {len(once_only)}"
    )
    if served < len(calls) // 2:
        return COULD_NOT_RUN
    if 2 * sum(call.answer == 200 for call in once_only) < len(once_only):
        record.say("BROKEN: fewer than half of these answers were forwarded")
        return BROKEN
    return HELD


main(Path(__file__).resolve().parent, case)
