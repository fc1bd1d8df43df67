"""The life of one attempt or probe, from the choice of a connection to its one end."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from nickelmount.balancer.events import EndpointId, Outcome
from nickelmount.protocol import http_names
from nickelmount.protocol.endpoint_list import ListedEndpoint
from nickelmount.protocol.load_report import parse_load_report

from .clock import Clock
from .connection_pool import ConnectionPool, PooledConnection
from .http import HttpMessage, encode_request

log = logging.getLogger(__name__)

# Fields as they are sent
HOST_FIELD = (b"Host", http_names.UPSTREAM_HOST)
REQUEST_TIMEOUT_FIELD_NAME = b"Request-Timeout-Ms"

# Errors of connect that mean that this machine has run out of something; they say nothing about the endpoint.
LOCAL_RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class ExchangeState(Enum):
    """The states of an exchange, in their order. Each may be followed by ENDED."""

    CONNECTING = "connecting"  # has no connection yet; nothing is at the endpoint
    WRITING = "writing"  # the kernel has not taken all bytes; an endpoint does not begin on a part
    AWAITING_RESPONSE = "awaiting response"  # all is written; the request may run
    ENDED = "ended"


# What ends an exchange with which outcome. Beside these, an exchange ends
# - as NOT_SENT, and only while CONNECTING: if the endpoint is not ready, or is another process or in another
#   zone or cell once the connection is established; if no more connections may be opened, or this machine
#   has run out of resources; if the client has disconnected; if a fault of this program prevents connecting;
# - as NOT_SENT, while CONNECTING or WRITING: if the time set by write_within is over;
# - as CONNECT_FAILED, while CONNECTING: if the connection is refused, or not established in time.
# A fault of this program while it sends counts as a lost connection.
ON_CONNECTION_LOST: Mapping[ExchangeState, Outcome] = {
    ExchangeState.CONNECTING: Outcome.CONNECT_FAILED,
    ExchangeState.WRITING: Outcome.CONNECT_FAILED,
    ExchangeState.AWAITING_RESPONSE: Outcome.RESET,
}
ON_TIMEOUT: Mapping[ExchangeState, Outcome] = {
    ExchangeState.CONNECTING: Outcome.CONNECT_FAILED,
    ExchangeState.WRITING: Outcome.CONNECT_FAILED,
    ExchangeState.AWAITING_RESPONSE: Outcome.TIMEOUT,
}
ON_CANCEL: Mapping[ExchangeState, Outcome] = {
    ExchangeState.CONNECTING: Outcome.NOT_SENT,
    ExchangeState.WRITING: Outcome.CANCELLED,
    ExchangeState.AWAITING_RESPONSE: Outcome.CANCELLED,
}
# The process responds and the connection is intact, so this is no lost connection. The request may have run.
ON_UNUSABLE_RESPONSE = Outcome.ERROR


def outcome_of_response(response: HttpMessage) -> Outcome:
    """What a complete response means, in any state."""
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504) and response.headers.get(http_names.NOT_STARTED) == b"1":
        return Outcome.REJECTED
    return Outcome.ERROR


@dataclass(slots=True, frozen=True)
class UpstreamRequest:
    """What is to be sent to an endpoint."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]  # beside Host, Content-Length and the timeout
    body: bytes = b""
    sends_timeout: bool = False  # the endpoint is sent how long the agent waits for its response
    client_has_disconnected: Callable[[], bool] = lambda: False  # asked directly before sending


@dataclass(slots=True, frozen=True)
class ExchangeResult:
    """How an exchange ended."""

    outcome: Outcome
    latency_us: int  # from the start of the exchange, its connect included
    load_report: tuple[float, ...] = ()  # by Settings.load_report_fields; (): none
    body: bytes = b""
    content_type: str | None = None


class ExchangeContext(Protocol):
    """What exchanges share."""

    clock: Clock
    load_report_fields: tuple[str, ...]
    pool: ConnectionPool

    def ready_endpoint(self, endpoint_id: EndpointId) -> ListedEndpoint | None:
        """Return the endpoint as it is listed now; None if it is not listed as ready."""


def _in_same_zone_and_cell(one: ListedEndpoint | None, other: ListedEndpoint | None) -> bool:
    """Whether any dedup scope that has the one endpoint has the other as well."""
    return (
        one is not None
        and other is not None
        and one.endpoint.zone == other.endpoint.zone
        and one.endpoint.cell == other.endpoint.cell
    )


class Exchange:
    """One attempt or probe: sends a request to an endpoint, and calls `on_end` exactly once.

    All ends lead through `_end`, which ignores any but the first. When `on_end` is called, the timers are
    cancelled, and the connection is back in the pool or closed, as seen by the endpoint.
    """

    def __init__(
        self,
        context: ExchangeContext,
        endpoint_id: EndpointId,
        request: UpstreamRequest,
        timeout_us: int,
        on_end: Callable[[ExchangeResult], None],
    ) -> None:
        self._context, self._endpoint_id = context, endpoint_id
        self._request, self._on_end = request, on_end
        self._loop = asyncio.get_running_loop()
        self._started_at_us = context.clock.now()
        self._deadline_us = self._started_at_us + timeout_us
        self._write_deadline_us = self._deadline_us  # all is written before this, or never
        self._write_timer: asyncio.TimerHandle | None = None
        self._listed_at_start: ListedEndpoint | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._connection: PooledConnection | None = None
        self._response: HttpMessage | None = None
        self._has_ended = False
        self._timeout_timer = self._loop.call_later(timeout_us / 1e6, self._on_timeout)

    @property
    def has_ended(self) -> bool:
        """Whether `on_end` has been called or is being called."""
        return self._has_ended

    @property
    def connection(self) -> PooledConnection | None:
        """The connection on which the request was sent; None before that."""
        return self._connection

    @property
    def state(self) -> ExchangeState:
        """The present state."""
        if self._has_ended:
            return ExchangeState.ENDED
        if self._connection is None:
            return ExchangeState.CONNECTING
        return ExchangeState.AWAITING_RESPONSE if self._connection.all_written else ExchangeState.WRITING

    # From the choice of a connection to the last byte

    def start(self) -> None:
        """Send on an idle connection, or begin to open one."""
        listed = self._listed_at_start = self._context.ready_endpoint(self._endpoint_id)
        if listed is None:
            return self._end(Outcome.NOT_SENT)
        pool = self._context.pool
        connection = pool.acquire(listed)
        if connection is not None:
            return self._send_or_end(connection)
        if not pool.ensure_capacity():
            return self._end(Outcome.NOT_SENT)
        self._connect_task = self._loop.create_task(self._connect(listed))
        pool.track_opening(self._connect_task)

    async def _connect(self, listed: ListedEndpoint) -> None:
        try:
            connection = await self._context.pool.open(listed)
        except OSError as e:  # TimeoutError is one
            is_local = e.errno in LOCAL_RESOURCE_ERRNOS
            return self._end(Outcome.NOT_SENT if is_local else Outcome.CONNECT_FAILED)
        except Exception:
            # Catches all: an exchange that did not end would leave its request without an answer.
            log.exception("connecting to endpoint %s failed", self._endpoint_id)
            return self._end(Outcome.NOT_SENT)
        self._connect_task = None
        self._send_or_end(connection)

    def _send_or_end(self, connection: PooledConnection) -> None:
        try:
            self._check_and_send(connection)
        except Exception:
            # Catches all: an exchange that did not end would leave its request without an answer. Once the
            # connection is this exchange's, it is not known whether the endpoint got the request.
            log.exception("sending to endpoint %s failed", self._endpoint_id)
            self._end_by(ON_CONNECTION_LOST)

    def _check_and_send(self, connection: PooledConnection) -> None:
        """Send if what held when the endpoint was chosen still holds; connecting takes time.

        The list may have changed meanwhile: nothing new goes to an endpoint that drains or was replaced, and
        no repeat to one in another dedup scope. The client may have disconnected, and the time in which a
        repeat is dropped may be over, while the event loop has run neither the read of that close nor the
        timer yet: both would show only after the request was sent.
        """
        pool = self._context.pool
        listed_now = self._context.ready_endpoint(self._endpoint_id)
        if (
            self._has_ended
            or not connection.listed.is_same_process_as(listed_now)
            or not _in_same_zone_and_cell(self._listed_at_start, listed_now)
        ):
            pool.discard(connection)
            return self._end(Outcome.NOT_SENT)
        now_us = self._context.clock.now()
        if self._request.client_has_disconnected() or now_us >= self._write_deadline_us:
            pool.release(connection, True, connection.listed)
            return self._end(Outcome.NOT_SENT)
        self._send(connection, now_us)

    def _send(self, connection: PooledConnection, now_us: int) -> None:
        self._connection, connection.owner = connection, self
        request, headers = self._request, [HOST_FIELD, *self._request.headers]
        if request.sends_timeout:
            remaining_ms = max(1, (self._deadline_us - now_us) // 1000)
            headers.append((REQUEST_TIMEOUT_FIELD_NAME, b"%d" % remaining_ms))
        connection.send(encode_request(request.method, request.target, headers, request.body))

    def write_within(self, limit_us: int) -> None:
        """End as NOT_SENT unless the last byte is written within this time. The earliest limit holds."""
        deadline_us = self._context.clock.now() + limit_us
        if self._is_written_or_ended() or deadline_us >= self._write_deadline_us:
            return
        self._write_deadline_us = deadline_us
        if self._write_timer is not None:
            self._write_timer.cancel()
        self._write_timer = self._loop.call_later(limit_us / 1e6, self._on_write_deadline)

    def _is_written_or_ended(self) -> bool:
        return self.state in (ExchangeState.AWAITING_RESPONSE, ExchangeState.ENDED)

    # What ends it

    def cancel(self) -> None:
        """Stop waiting for it."""
        self._end_by(ON_CANCEL)

    def end_unsent(self) -> None:
        """End it where it could not be started."""
        self._end(Outcome.NOT_SENT)

    def on_response(self, response: HttpMessage) -> None:
        """End with a complete response."""
        self._response = response
        self._end(outcome_of_response(response))

    def on_unusable_response(self) -> None:
        """End with what cannot be read as a response."""
        self._end(ON_UNUSABLE_RESPONSE)

    def on_peer_closed(self) -> None:
        """End with the loss of the connection."""
        self._end_by(ON_CONNECTION_LOST)

    def _on_timeout(self) -> None:
        self._end_by(ON_TIMEOUT)

    def _on_write_deadline(self) -> None:
        if not self._is_written_or_ended():
            self._end(Outcome.NOT_SENT)

    # The one end

    def _end_by(self, outcomes: Mapping[ExchangeState, Outcome]) -> None:
        if not self._has_ended:
            self._end(outcomes[self.state])

    def _end(self, outcome: Outcome) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        self._timeout_timer.cancel()
        if self._write_timer is not None:
            self._write_timer.cancel()
        if self._connect_task is not None and not self._connect_task.done():
            self._connect_task.cancel()
        if self._connection is not None:
            listed_now = self._context.ready_endpoint(self._endpoint_id)
            self._context.pool.release(self._connection, self._response is not None, listed_now)
        self._on_end(self._result(outcome, self._context.clock.now() - self._started_at_us))

    def _result(self, outcome: Outcome, latency_us: int) -> ExchangeResult:
        response = self._response
        if response is None:
            return ExchangeResult(outcome, latency_us)
        return ExchangeResult(
            outcome,
            latency_us,
            self._load_report(response),
            bytes(response.body),
            response.header(http_names.CONTENT_TYPE),
        )

    def _load_report(self, response: HttpMessage) -> tuple[float, ...]:
        """Return the report in the header or, of a probe, in the body; () where there is none."""
        field_names = self._context.load_report_fields
        report = parse_load_report(response.header(http_names.SERVER_LOAD), field_names)
        if not report and self._request.target == http_names.LOAD_PATH:
            report = parse_load_report(response.body.decode("latin-1"), field_names)
        return report
