"""The ids of requests whose clients left before the answer, and which an endpoint may run or have run.

A client gives every request a fresh id. If it leaves and sends the same request again under the same id,
nobody knows whether the first one has run. Sent on, the request could run twice.
"""

from __future__ import annotations

from collections.abc import Callable

REMEMBER_S = 60.0  # A client that comes again after this time has long given its request up.
MAX_IDS = 4096  # The memory of so many is some 0.5 MB.


class AbandonedRequests:
    """The ids of abandoned requests, each kept for REMEMBER_S; above MAX_IDS the oldest is dropped.

    Only the hashes of the ids are kept, so that long ids take no more memory than short ones. `now` returns
    the time in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._expires_at_by_hash: dict[int, float] = {}  # In the order in which they were added.

    def __len__(self) -> int:
        return len(self._expires_at_by_hash)

    def __contains__(self, request_id: bytes) -> bool:
        return self._expires_at_by_hash.get(hash(request_id), 0.0) > self._now()

    def add(self, request_id: bytes) -> None:
        """Remember an id from now on."""
        key, now_s = hash(request_id), self._now()
        self._expires_at_by_hash.pop(key, None)
        self._expires_at_by_hash[key] = now_s + REMEMBER_S
        self._drop_oldest(now_s)

    def _drop_oldest(self, now_s: float) -> None:
        while True:
            oldest = next(iter(self._expires_at_by_hash))
            if len(self._expires_at_by_hash) <= MAX_IDS and self._expires_at_by_hash[oldest] > now_s:
                return
            del self._expires_at_by_hash[oldest]
