"""The watches that wait for a change of the list. No I/O, no clock."""

from __future__ import annotations

from collections import defaultdict

from .watch_connection import WatchConnection

SLOT_S = 0.01  # a wait ends up to two slots late: a timer for each call would cost more than its answer


class WaitingWatches:
    """Watches at the present revision, in slots by the time at which their wait ends.

    All times are in seconds of one clock that the caller passes in.
    """

    def __init__(self, now_s: float) -> None:
        self._slot_of: dict[WatchConnection, int] = {}  # in order of arrival
        self._by_slot: defaultdict[int, dict[WatchConnection, None]] = defaultdict(dict)
        self._next_slot = int(now_s / SLOT_S)  # the first whose waits have not ended

    def __len__(self) -> int:
        return len(self._slot_of)

    def add(self, connection: WatchConnection, now_s: float, wait_ms: int) -> None:
        """Let the watch of a connection wait."""
        slot = int((now_s + wait_ms / 1000) / SLOT_S)
        self._slot_of[connection] = slot
        self._by_slot[slot][connection] = None

    def remove(self, connection: WatchConnection) -> bool:
        """Forget the watch of a connection; False: it had none that waited."""
        slot = self._slot_of.pop(connection, None)
        if slot is None:
            return False
        del self._by_slot[slot][connection]
        return True

    def remove_all(self) -> list[WatchConnection]:
        """Forget all, and return them in order of arrival."""
        connections = list(self._slot_of)
        self._slot_of.clear()
        self._by_slot.clear()
        return connections

    def remove_expired(self, now_s: float) -> list[WatchConnection]:
        """Forget those whose wait has ended, and return them in order of its end."""
        now_slot = int(now_s / SLOT_S)
        expired = [
            connection
            for slot in range(self._next_slot, now_slot)
            for connection in self._by_slot.pop(slot, ())
        ]
        for connection in expired:
            del self._slot_of[connection]
        self._next_slot = now_slot
        return expired
