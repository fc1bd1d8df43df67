"""The watches that wait for a change of the list. Nothing here does I/O or reads a clock."""

from __future__ import annotations

from collections import defaultdict

from .watch_connection import WatchConnection

# Duration of a slot into which waits are grouped, because a timer for each call would cost more than its
# answer. A wait therefore ends up to two slots late.
SLOT_S = 0.01


class WaitingWatches:
    """The watches of the current revision, grouped into slots by the time at which their wait ends.

    The caller passes the current time in seconds, always from the same clock.
    """

    def __init__(self, now_s: float) -> None:
        self._slot_of: dict[WatchConnection, int] = {}  # Slot of each connection, in order of arrival.
        self._by_slot: defaultdict[int, dict[WatchConnection, None]] = defaultdict(dict)
        self._next_slot = int(now_s / SLOT_S)  # First slot whose waits have not ended.

    def __len__(self) -> int:
        return len(self._slot_of)

    def add(self, connection: WatchConnection, now_s: float, wait_ms: int) -> None:
        """Add the watch of a connection, which waits until `wait_ms` after `now_s`."""
        slot = int((now_s + wait_ms / 1000) / SLOT_S)
        self._slot_of[connection] = slot
        self._by_slot[slot][connection] = None

    def remove(self, connection: WatchConnection) -> bool:
        """Remove the watch of a connection, and return whether the connection had a waiting watch."""
        slot = self._slot_of.pop(connection, None)
        if slot is None:
            return False
        del self._by_slot[slot][connection]
        return True

    def remove_all(self) -> list[WatchConnection]:
        """Remove all watches, and return their connections in order of arrival."""
        connections = list(self._slot_of)
        self._slot_of.clear()
        self._by_slot.clear()
        return connections

    def remove_expired(self, now_s: float) -> list[WatchConnection]:
        """Remove the watches whose wait has ended, and return their connections, earliest slot first."""
        current_slot = int(now_s / SLOT_S)
        expired = [
            connection
            for slot in range(self._next_slot, current_slot)
            for connection in self._by_slot.pop(slot, ())
        ]
        for connection in expired:
            del self._slot_of[connection]
        self._next_slot = current_slot
        return expired
