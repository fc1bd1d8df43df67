"""The requests of all streams: their encoding, the phase in which they are counted, and their end."""

from __future__ import annotations

import asyncio
from itertools import count
from random import Random
from time import monotonic_ns

from nickelmount.agent.http_encoding import encode_request

from .load_connections import LoadConnectionPool, LoadRequest
from .request_statistics import PATHS, PathStatistics, RequestOutcome, RequestPath

ANSWER_GRACE_S = 0.5  # A request without an answer counts as lost this long after its own timeout.
_ID_PLACEHOLDER = b"\0id\0"  # Marks the place of the Request-Id in the encoded request.


class RequestEncoder:
    """An encoder of requests that differ only in their Request-Id.

    A Request-Id consists of a prefix that is derived from the seed, and of the number of the request. It is
    unique within a run; runs with the same seed use the same ids.

    Raises ValueError if `timeout_ms` is below 1, if `body_bytes` is below 0, or if a GET has a body.
    """

    def __init__(self, request_class: str, method: str, timeout_ms: int, body_bytes: int, seed: int) -> None:
        if timeout_ms < 1 or body_bytes < 0 or (method == "GET" and body_bytes):
            raise ValueError(
                f"timeout_ms is {timeout_ms} and body_bytes is {body_bytes} for method {method}: timeout_ms "
                "must be at least 1, and body_bytes must be at least 0, or exactly 0 for GET"
            )
        encoded = encode_request(
            method.encode(),
            b"/api",
            [
                (b"Host", b"origin.svc"),
                (b"Request-Class", request_class.encode()),
                (b"Request-Timeout-Ms", b"%d" % timeout_ms),
                (b"Request-Id", _ID_PLACEHOLDER),
            ],
            b"x" * body_bytes,
        )
        self._before_id, self._after_id = encoded.split(_ID_PLACEHOLDER)
        self._id_prefix, self._numbers = Random(f"{seed} ids").getrandbits(32), count()

    def next_message(self) -> bytes:
        """Return the bytes of the next request."""
        return b"%s%08x%08x%s" % (self._before_id, self._id_prefix, next(self._numbers), self._after_id)


class RequestTracker:
    """Starts requests, and counts the end of each one on its path and in the phase in which it was started.

    Raises ValueError if `timeout_ms` is below 1, if `body_bytes` is below 0, or if a GET has a body.
    """

    def __init__(self, request_class: str, method: str, timeout_ms: int, body_bytes: int, seed: int) -> None:
        self._encoder = RequestEncoder(request_class, method, timeout_ms, body_bytes, seed)
        self._timeout_s = timeout_ms / 1000 + ANSWER_GRACE_S
        self._loop = asyncio.get_running_loop()
        self.phases: dict[str, dict[RequestPath, PathStatistics]] = {}
        self.current_phase: dict[RequestPath, PathStatistics] = {}  # Statistics of the current phase by path.
        self.in_flight = 0
        self.all_ended = asyncio.Event()

    def begin_phase(self, name: str) -> None:
        """Count the requests that are started from now on in this phase.

        If a phase with this name has been used before, its counts are continued.
        """
        if name not in self.phases:
            self.phases[name] = {path: PathStatistics() for path in PATHS}
        self.current_phase = self.phases[name]

    def start(self, pool: LoadConnectionPool, path: RequestPath, due_ns: int) -> None:
        """Send a request that is due."""
        statistics = self.current_phase[path]
        request = LoadRequest(due_ns, self._encoder.next_message(), statistics)
        request.timer = self._loop.call_later(self._timeout_s, self._time_out, request)
        statistics.started += 1
        self.in_flight += 1
        self.all_ended.clear()
        pool.send(request)

    def end(self, request: LoadRequest, outcome: RequestOutcome, ended_ns: int) -> None:
        """Count the end of a request. The caller returns its connection to the pool or closes it."""
        assert request.timer is not None
        request.timer.cancel()
        request.timer = request.connection = None
        request.statistics.record_end(outcome, request.due_ns, request.written_ns, ended_ns)
        self.in_flight -= 1
        if not self.in_flight:
            self.all_ended.set()

    def _time_out(self, request: LoadRequest) -> None:
        # The connection is closed, because a late answer would be taken for the answer to its next request.
        if request.connection is not None:
            request.connection.abort()
        self.end(request, RequestOutcome.LOST, monotonic_ns())
