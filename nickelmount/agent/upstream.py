"""The backends' side: attempts and probes, and how each of them ended."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

from nickelmount.balancer.events import Endpoint, EndpointId, EndpointStatus, Outcome
from nickelmount.protocol.endpoint_list import EndpointList, ListedEndpoint

from .clock import Clock
from .connection_pool import ConnectionPool, PooledConnection
from .http import HttpMessage, encode_request

log = logging.getLogger(__name__)

HOST = (b"Host", b"origin.svc")
LOAD = b"/_load"
PROBE_US = 50_000  # a load told later than this is of no use to the requests that asked for it
EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


@dataclass(slots=True, frozen=True)
class ExchangeResult:
    """How an exchange ended."""

    outcome: Outcome
    latency_us: int
    report: tuple[float, ...] = ()
    body: bytes = b""
    content_type: str | None = None


@dataclass(slots=True, frozen=True)
class UpstreamRequest:
    """What is to be sent to a backend."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""
    told_timeout: bool = False  # the backend is told how long its answer is waited for
    client_has_left: Callable[[], bool] = lambda: False  # whether who asks has left


def parse_report(text: str | None, fields: tuple[str, ...]) -> tuple[float, ...]:
    """A load report by the settings' fields; () where it is missing or bad."""
    if not text or not fields:
        return ()
    try:
        values = dict(part.split("=", 1) for part in text.strip().split(","))
        report = tuple(float(values[f]) for f in fields)
    except (KeyError, ValueError):
        return ()
    # Not finite or below 0 would poison every mean it enters.
    return report if all(0.0 <= x < 1e9 for x in report) else ()


def _same_group(one: ListedEndpoint | None, other: ListedEndpoint | None) -> bool:
    """Whether a repeat that the one may get may go to the other as well."""
    return (
        one is not None
        and other is not None
        and one.endpoint.zone == other.endpoint.zone
        and one.endpoint.cell == other.endpoint.cell
    )


class Exchange:
    """One attempt or probe. Ends exactly once, with a Result."""

    def __init__(
        self,
        backends: Upstream,
        backend: EndpointId,
        ask: UpstreamRequest,
        timeout_us: int,
        done: Callable[[ExchangeResult], None],
    ) -> None:
        self._backends, self._backend, self._ask, self._done = backends, backend, ask, done
        self._loop = asyncio.get_running_loop()
        self._began = backends.clock.now()
        self._until = self._write_until = self._began + timeout_us
        self._unwritten: asyncio.TimerHandle | None = None
        self._chosen: ListedEndpoint | None = None  # as the list had it when it was chosen
        self._connection: PooledConnection | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._answer: HttpMessage | None = None
        self.ended = False
        self._timer = self._loop.call_later(timeout_us / 1e6, self._timed_out)

    def start(self) -> None:
        member = self._chosen = self._backends.ready(self._backend)
        if member is None:
            return self._end(Outcome.NOT_SENT)
        connection = self._backends.pool.take(member)
        if connection is not None:
            return self._write(connection)
        if not self._backends.pool.room():
            return self._end(Outcome.NOT_SENT)
        self._connecting = self._loop.create_task(self._connect(member))
        opening = self._backends.pool.opening
        opening.add(self._connecting)
        self._connecting.add_done_callback(opening.discard)

    def cancel(self) -> None:
        # One whose connection has not come up was never sent: nothing of it is at the backend.
        self._end(Outcome.CANCELLED if self._connection is not None else Outcome.NOT_SENT)

    def end_unsent(self) -> None:
        self._end(Outcome.NOT_SENT)

    def write_within(self, us: int) -> None:
        """Its last byte is written so soon or never; without effect where it is written or has ended."""
        until = self._backends.clock.now() + us
        if self.ended or self._sent() or until >= self._write_until:
            return
        self._write_until = until
        if self._unwritten is not None:
            self._unwritten.cancel()
        self._unwritten = self._loop.call_later(us / 1e6, self._not_written)

    def _not_written(self) -> None:
        if not self._sent():
            self._end(Outcome.NOT_SENT)

    async def _connect(self, member: ListedEndpoint) -> None:
        try:
            connection = await self._backends.pool.open(member)
        except OSError as e:  # a time-out is one too
            # What this machine has run out of says nothing about the backend.
            return self._end(Outcome.NOT_SENT if e.errno in EXHAUSTED else Outcome.CONNECT_FAILED)
        except Exception:
            log.exception("attempt failed before it was sent")
            return self._end(Outcome.NOT_SENT)
        self._connecting = None
        self._write(connection)

    def _write(self, connection: PooledConnection) -> None:
        try:
            self._put(connection)
        except Exception:  # whatever it is, the attempt must end, or its request gets no answer
            log.exception("attempt failed")
            self._end(self._lost())

    def _put(self, connection: PooledConnection) -> None:
        # The list may have changed while the connection came up: nothing new goes to one that drains, nor a
        # repeat to one that has left its group.
        ready = self._backends.ready(self._backend)
        if self.ended or not connection.member.same_process(ready) or not _same_group(self._chosen, ready):
            self._backends.pool.discard(connection)
            return self._end(Outcome.NOT_SENT)
        # The time may be over for which it was chosen, though no timer has fired yet.
        now = self._backends.clock.now()
        if self._ask.client_has_left() or now >= self._write_until:
            self._backends.pool.give_back(connection, True, connection.member)
            return self._end(Outcome.NOT_SENT)
        self._connection, connection.user = connection, self
        ask, headers = self._ask, [HOST, *self._ask.headers]
        if ask.told_timeout:
            headers.append((b"Request-Timeout-Ms", b"%d" % max(1, (self._until - now) // 1000)))
        connection.send(encode_request(ask.method, ask.target, headers, ask.body))

    # What comes back

    def on_response(self, answer: HttpMessage) -> None:
        self._answer = answer
        self._end(self._answered(answer))

    def on_unusable_response(self) -> None:
        # The process answers and the connection stands, so this is no break. The request has run.
        self._end(Outcome.ERROR)

    def on_peer_closed(self) -> None:
        self._end(self._lost())

    def _answered(self, answer: HttpMessage) -> Outcome:
        if answer.status == 200:
            return Outcome.OK
        if answer.status in (503, 504) and answer.headers.get(b"not-started") == b"1":
            return Outcome.REJECTED
        return Outcome.ERROR

    def _lost(self) -> Outcome:
        """What a break means: before the last byte was written, the backend surely did not begin."""
        return Outcome.RESET if self._sent() else Outcome.CONNECT_FAILED

    def _sent(self) -> bool:
        return self._connection is not None and self._connection.all_written

    def _timed_out(self) -> None:
        self._end(Outcome.TIMEOUT if self._sent() else Outcome.CONNECT_FAILED)

    def _end(self, outcome: Outcome) -> None:
        if self.ended:
            return
        self.ended = True
        self._timer.cancel()
        if self._unwritten is not None:
            self._unwritten.cancel()
        if self._connecting is not None and not self._connecting.done():
            self._connecting.cancel()
        answer = self._answer
        if self._connection is not None:
            self._backends.pool.give_back(
                self._connection, answer is not None, self._backends.ready(self._backend)
            )
        latency_us = self._backends.clock.now() - self._began
        if answer is None:
            self._done(ExchangeResult(outcome, latency_us))
        else:
            self._done(
                ExchangeResult(
                    outcome,
                    latency_us,
                    self._report(answer),
                    bytes(answer.body),
                    answer.header(b"content-type"),
                )
            )

    def _report(self, answer: HttpMessage) -> tuple[float, ...]:
        fields = self._backends.load_report_fields
        told = parse_report(answer.header(b"server-load"), fields)
        if not told and self._ask.target == LOAD:
            told = parse_report(answer.body.decode("latin-1"), fields)
        return told


class Upstream:
    """The backends of the list."""

    def __init__(self, clock: Clock, load_report_fields: tuple[str, ...], pool: ConnectionPool) -> None:
        self.clock, self.load_report_fields, self.pool = clock, load_report_fields, pool
        self._members: dict[EndpointId, ListedEndpoint] = {}
        self._probe = UpstreamRequest(b"GET", LOAD if load_report_fields else b"/ping", [])

    def apply(self, listing: EndpointList) -> list[Endpoint]:
        """Take in what discovery says; return what that changes, in the module's form.

        Of a whole list too, which so costs the module no more than what has changed in it. A backend that it
        does not name comes back as gone.
        """
        changed = []
        for member in listing.entries:
            backend = member.endpoint
            old = self._members.get(backend.id)
            if old == member:
                continue
            changed.append(backend)
            if backend.status is EndpointStatus.REMOVED:
                self._members.pop(backend.id, None)
            else:
                self._members[backend.id] = member
            if old is not None and not (old.same_process(member) and backend.status is EndpointStatus.READY):
                self.pool.forget(backend.id)
        if listing.complete:
            named = {m.endpoint.id for m in listing.entries}
            for gone in [i for i in self._members if i not in named]:
                changed.append(replace(self._members.pop(gone).endpoint, status=EndpointStatus.REMOVED))
                self.pool.forget(gone)
        return changed

    def ready(self, backend: EndpointId) -> ListedEndpoint | None:
        member = self._members.get(backend)
        return member if member is not None and member.endpoint.status is EndpointStatus.READY else None

    def exchange(
        self,
        backend: EndpointId,
        ask: UpstreamRequest,
        timeout_us: int,
        done: Callable[[ExchangeResult], None],
    ) -> Exchange:
        exchange = Exchange(self, backend, ask, timeout_us, done)
        try:
            exchange.start()
        except Exception:
            log.exception("attempt could not be started")
            exchange.end_unsent()
        return exchange

    def probe(self, backend: EndpointId, done: Callable[[ExchangeResult], None]) -> None:
        self.exchange(backend, self._probe, PROBE_US, done)
