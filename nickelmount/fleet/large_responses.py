"""The queue of large responses, which limits how many of them are written at the same time.

The kernel may not accept a large response at once, and the rest of the response then stays in memory. After a
restart of discovery, thousands of clients ask for the complete list at the same time. If all responses were
written at once, they would need gigabytes of memory. A response is therefore begun only when fewer than
MAX_CONCURRENT_RESPONSES are being written, and it contains the list as it is at that time.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from .watch_connection import WatchConnection

LARGE_RESPONSE_BYTES = 64 * 1024  # Responses larger than this are queued.
MAX_CONCURRENT_RESPONSES = 64


class LargeResponseQueue:
    """A queue that begins responses in order of arrival; `begin` writes the response of a connection."""

    def __init__(self, loop: asyncio.AbstractEventLoop, begin: Callable[[WatchConnection], None]) -> None:
        self._loop, self._begin = loop, begin
        self._queued: OrderedDict[WatchConnection, None] = OrderedDict()
        self._writing: set[WatchConnection] = set()
        self._is_scheduled = False

    def __len__(self) -> int:
        """Return the number of responses that have not been begun."""
        return len(self._queued)

    def add(self, connection: WatchConnection) -> None:
        """Queue the response of a connection."""
        self._queued[connection] = None

    def remove(self, connection: WatchConnection) -> bool:
        """Remove the response of a connection, and return whether one was queued."""
        if connection not in self._queued:
            return False
        del self._queued[connection]
        return True

    def remove_all(self) -> int:
        """Remove all responses that have not been begun, and return their number."""
        count = len(self._queued)
        self._queued.clear()
        return count

    def mark_writing(self, connection: WatchConnection) -> None:
        """Count the response of a connection as being written until `mark_written` is called."""
        self._writing.add(connection)

    def mark_written(self, connection: WatchConnection) -> None:
        """Stop counting the response of a connection, which the kernel has accepted or will never accept."""
        self._writing.discard(connection)
        self.schedule()

    def schedule(self) -> None:
        """Begin queued responses in the next iteration of the event loop, if the limit allows it."""
        has_capacity = len(self._writing) < MAX_CONCURRENT_RESPONSES
        if self._queued and has_capacity and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._begin_responses)

    def _begin_responses(self) -> None:
        """Begin queued responses up to the limit."""
        self._is_scheduled = False
        for _ in range(min(MAX_CONCURRENT_RESPONSES - len(self._writing), len(self._queued))):
            connection, _none = self._queued.popitem(last=False)
            self._begin(connection)
        self.schedule()
