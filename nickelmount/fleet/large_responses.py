"""The queue of large responses, of which only some are written at a time.

The kernel may not take a large response at once, and what it does not take lies in memory. After a restart of
discovery thousands of clients ask for the complete list together: written all at once, their responses would
need gigabytes. A response is therefore begun only when there is room, and then holds what is known by then.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from .watch_connection import WatchConnection

LARGE_RESPONSE_BYTES = 64 * 1024  # larger ones are queued
MAX_CONCURRENT_RESPONSES = 64


class LargeResponseQueue:
    """Begins responses in order of arrival; `begin` writes the one of a connection."""

    def __init__(self, loop: asyncio.AbstractEventLoop, begin: Callable[[WatchConnection], None]) -> None:
        self._loop, self._begin = loop, begin
        self._queued: OrderedDict[WatchConnection, None] = OrderedDict()
        self._writing: set[WatchConnection] = set()
        self._is_scheduled = False

    def __len__(self) -> int:
        """How many are not begun yet."""
        return len(self._queued)

    def add(self, connection: WatchConnection) -> None:
        """Queue the response of a connection."""
        self._queued[connection] = None

    def remove(self, connection: WatchConnection) -> bool:
        """Forget the response of a connection; False: none was queued."""
        if connection not in self._queued:
            return False
        del self._queued[connection]
        return True

    def remove_all(self) -> int:
        """Forget all that are not begun; returns how many."""
        number = len(self._queued)
        self._queued.clear()
        return number

    def mark_writing(self, connection: WatchConnection) -> None:
        """Count a response as being written until `mark_written`."""
        self._writing.add(connection)

    def mark_written(self, connection: WatchConnection) -> None:
        """The kernel has taken all of a connection's response, or never will."""
        self._writing.discard(connection)
        self.schedule()

    def schedule(self) -> None:
        """Begin responses in the next iteration of the loop, where there are any and there is room."""
        has_room = len(self._writing) < MAX_CONCURRENT_RESPONSES
        if self._queued and has_room and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._begin_responses)

    def _begin_responses(self) -> None:
        """Begin as many as there is room for."""
        self._is_scheduled = False
        for _ in range(min(MAX_CONCURRENT_RESPONSES - len(self._writing), len(self._queued))):
            connection, _none = self._queued.popitem(last=False)
            self._begin(connection)
        self.schedule()
