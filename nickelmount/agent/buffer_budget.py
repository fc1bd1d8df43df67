"""The limit on the memory that the messages of all peers take together.

Each message has a limit on its own size, but their number is limited only by that of the connections. If many
peers send large messages at the same time, or do not read what they are sent, the process would exceed its
memory limit and be killed, with all requests in flight. The budget prevents this: if its limit is exceeded,
the largest message ends early, so that messages of ordinary size go on.
"""

from __future__ import annotations

import logging
import time
from typing import Protocol

log = logging.getLogger(__name__)

LOG_INTERVAL_S = 60.0  # Evictions are logged at most this often, so that many of them do not fill the log.


class BufferOwner(Protocol):
    """An owner of buffers: a connection, with the messages that it reads and writes."""

    @property
    def can_evict_buffers(self) -> bool:
        """Whether the message that takes the memory may be given up."""

    def evict_buffers(self) -> None:
        """Give up the message that takes the memory, and free it."""


class BufferBudget:
    """The memory that buffers may take together, with the present size of each owner's buffers, in bytes.

    Public attributes, read-only for other modules: `total_bytes` is the present size of all buffers,
    `peak_bytes` the largest size so far, and `eviction_count` the number of messages given up so far.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.peak_bytes = 0
        self.eviction_count = 0
        self._size_by_owner: dict[BufferOwner, int] = {}  # Without owners whose buffers are empty.
        self._next_log_at_s = 0.0

    def set_size(self, owner: BufferOwner, size: int) -> None:
        """Record the present size of an owner's buffers, and evict the largest ones above the limit.

        `owner` itself may be evicted before this method returns.
        """
        self._store_size(owner, size)
        self.peak_bytes = max(self.peak_bytes, self.total_bytes)
        while self.total_bytes > self.max_bytes:
            largest = self._find_largest_evictable()
            if largest is None:
                return
            self._evict(largest)

    def _store_size(self, owner: BufferOwner, size: int) -> None:
        self.total_bytes += size - self._size_by_owner.pop(owner, 0)
        if size:
            self._size_by_owner[owner] = size

    def _find_largest_evictable(self) -> BufferOwner | None:
        evictable = (owner for owner in self._size_by_owner if owner.can_evict_buffers)
        return max(evictable, key=self._size_by_owner.__getitem__, default=None)

    def _evict(self, owner: BufferOwner) -> None:
        """Make an owner give up its message; its buffers no longer count, even if it does not free them."""
        size = self._size_by_owner[owner]
        self._store_size(owner, 0)
        self.eviction_count += 1
        self._log_eviction(size)
        owner.evict_buffers()

    def _log_eviction(self, size: int) -> None:
        now_s = time.monotonic()
        if now_s < self._next_log_at_s:
            return
        self._next_log_at_s = now_s + LOG_INTERVAL_S
        log.warning(
            "buffers exceed %d bytes: gave up a message of %d bytes, the %dth since the start",
            self.max_bytes,
            size,
            self.eviction_count,
        )
