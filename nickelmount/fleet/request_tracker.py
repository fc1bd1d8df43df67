"""The requests of all streams: their form, the phase in which they count, and their one end each."""

from __future__ import annotations

import asyncio
from itertools import count
from random import Random
from time import monotonic_ns

from nickelmount.agent.http import encode_request

from .load_connections import LoadConnectionPool, LoadRequest
from .request_statistics import PATHS, PathStatistics, RequestOutcome, RequestPath

ANSWER_GRACE_S = 0.5  # after its own timeout a request without an answer is lost
_ID_PLACEHOLDER = b"\0id\0"  # stands for the Request-Id in the encoded request


class RequestEncoder:
    """Encodes requests that differ only in their Request-Id, which is unique over runs."""

    def __init__(self, request_class: str, method: str, timeout_ms: int, body_bytes: int, seed: int) -> None:
        if timeout_ms < 1 or body_bytes < 0 or (method == "GET" and body_bytes):
            raise ValueError("timeout_ms from 1 and body_bytes from 0 are wanted, and none with GET")
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
    """Starts requests, and counts the one end of each in the phase and path in which it was due.

    Raises ValueError where `timeout_ms` is below 1, or `body_bytes` below 0 or not 0 for a GET.
    """

    def __init__(self, request_class: str, method: str, timeout_ms: int, body_bytes: int, seed: int) -> None:
        self._encoder = RequestEncoder(request_class, method, timeout_ms, body_bytes, seed)
        self._timeout_s = timeout_ms / 1000 + ANSWER_GRACE_S
        self._loop = asyncio.get_running_loop()
        self.phases: dict[str, dict[RequestPath, PathStatistics]] = {}
        self.current: dict[RequestPath, PathStatistics] = {}  # of the phase that runs
        self.in_flight = 0
        self.all_ended = asyncio.Event()

    def begin_phase(self, name: str) -> None:
        """Count requests due from now on in this phase; a name used before continues its counts."""
        if name not in self.phases:
            self.phases[name] = {path: PathStatistics() for path in PATHS}
        self.current = self.phases[name]

    def start(self, pool: LoadConnectionPool, path: RequestPath, due_ns: int) -> None:
        """Send a request that is due."""
        statistics = self.current[path]
        request = LoadRequest(due_ns, self._encoder.next_message(), statistics)
        request.timer = self._loop.call_later(self._timeout_s, self._time_out, request)
        statistics.started += 1
        self.in_flight += 1
        self.all_ended.clear()
        pool.send(request)

    def end(self, request: LoadRequest, outcome: RequestOutcome, ended_ns: int) -> None:
        """Count the one end of a request; the caller has dealt with its connection."""
        assert request.timer is not None
        request.timer.cancel()
        request.timer = request.connection = None
        request.statistics.record_end(outcome, request.due_ns, request.written_ns, ended_ns)
        self.in_flight -= 1
        if not self.in_flight:
            self.all_ended.set()

    def _time_out(self, request: LoadRequest) -> None:
        # The answer may still arrive, and would be taken for that of the connection's next request.
        if request.connection is not None:
            request.connection.abort()
        self.end(request, RequestOutcome.LOST, monotonic_ns())
