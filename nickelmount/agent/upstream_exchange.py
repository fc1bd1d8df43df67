"""Exchanges with endpoints: one attempt or probe each, from the choice of a connection to the outcome."""

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
from .http_encoding import encode_request
from .http_message import HttpMessage

log = logging.getLogger(__name__)

# Header fields, spelled as they are sent.
HOST_FIELD = (b"Host", http_names.UPSTREAM_HOST)
REQUEST_TIMEOUT_FIELD_NAME = b"Request-Timeout-Ms"

# Errors of connect which mean that this machine has run out of a resource. They say nothing about the
# endpoint.
LOCAL_RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class ExchangeState(Enum):
    """The states of an exchange, in the order in which they follow each other; ENDED may follow any state."""

    # The exchange has no connection yet, so the endpoint has received nothing.
    CONNECTING = "connecting"
    # The kernel has not taken all bytes of the request. An endpoint does not run an incomplete request.
    WRITING = "writing"
    # The kernel has taken all bytes of the request, so the endpoint may run it.
    AWAITING_RESPONSE = "awaiting response"
    ENDED = "ended"


# The outcome of each event, by the state in which the event occurs. An exchange can also end in these ways:
# - as NOT_SENT, only in state CONNECTING: if the endpoint is not ready; if the endpoint is another process or
#   is in another zone or cell by the time the connection is established; if no more connections may be
#   opened; if this machine has run out of resources; if the client has disconnected; or if a bug in this
#   program prevents the connect;
# - as NOT_SENT, in state CONNECTING: if a connection is available, but the timeout of the exchange is over
#   and its timer has not run yet;
# - as NOT_SENT, in state CONNECTING or WRITING: if the time limit set by write_within is over;
# - as CONNECT_FAILED, in state CONNECTING: if the connection cannot be established, for example because it is
#   refused, or is not established in time.
# If a bug in this program raises an exception while the request is sent, the connection counts as lost.
OUTCOME_ON_CONNECTION_LOST: Mapping[ExchangeState, Outcome] = {
    ExchangeState.CONNECTING: Outcome.CONNECT_FAILED,
    ExchangeState.WRITING: Outcome.CONNECT_FAILED,
    ExchangeState.AWAITING_RESPONSE: Outcome.RESET,
}
OUTCOME_ON_TIMEOUT: Mapping[ExchangeState, Outcome] = {
    ExchangeState.CONNECTING: Outcome.CONNECT_FAILED,
    ExchangeState.WRITING: Outcome.CONNECT_FAILED,
    ExchangeState.AWAITING_RESPONSE: Outcome.TIMEOUT,
}
OUTCOME_ON_CANCEL: Mapping[ExchangeState, Outcome] = {
    ExchangeState.CONNECTING: Outcome.NOT_SENT,
    ExchangeState.WRITING: Outcome.CANCELLED,
    ExchangeState.AWAITING_RESPONSE: Outcome.CANCELLED,
}
# An unusable response does not count as a lost connection, because the endpoint responds and the connection
# is intact. The request may have run.
OUTCOME_ON_UNUSABLE_RESPONSE = Outcome.ERROR


def outcome_of_response(response: HttpMessage) -> Outcome:
    """Return the outcome of a complete response, which is the same in every state."""
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504) and response.headers.get(http_names.NOT_STARTED) == b"1":
        return Outcome.REJECTED
    return Outcome.ERROR


@dataclass(slots=True, frozen=True)
class UpstreamRequest:
    """A request to an endpoint."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]  # All fields except Host, Content-Length and Request-Timeout-Ms.
    body: bytes = b""
    sends_timeout: bool = False  # Whether Request-Timeout-Ms tells the endpoint how long the agent waits.
    client_has_disconnected: Callable[[], bool] = lambda: False  # Called immediately before sending.


@dataclass(slots=True, frozen=True)
class ExchangeResult:
    """The outcome of an exchange, with the content of its response if there was one."""

    outcome: Outcome
    latency_us: int  # The time since the start of the exchange, including the time to connect.
    load_report: tuple[float, ...] = ()  # In the order of Settings.load_report_fields; () if there is none.
    body: bytes = b""
    content_type: str | None = None


class ExchangeContext(Protocol):
    """The objects that all exchanges share."""

    clock: Clock
    load_report_fields: tuple[str, ...]
    pool: ConnectionPool

    def ready_endpoint(self, endpoint_id: EndpointId) -> ListedEndpoint | None:
        """Return the present list entry of an endpoint, or None if it is not listed as ready."""


def _in_same_zone_and_cell(one: ListedEndpoint | None, other: ListedEndpoint | None) -> bool:
    """Return whether two list entries have the same zone and cell, and therefore the same dedup scopes."""
    return (
        one is not None
        and other is not None
        and one.endpoint.zone == other.endpoint.zone
        and one.endpoint.cell == other.endpoint.cell
    )


class Exchange:
    """One attempt or probe, which sends a request to an endpoint and calls `on_end` exactly once.

    Everything that ends an exchange calls `_end`, which ignores all calls but the first. Before `on_end` is
    called, the timers are cancelled, and the connection is back in the pool or is closed, so that the
    endpoint sees the close before any later attempt of the same request is sent.
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
        # The exchange ends if the last byte is not written by this time.
        self._write_deadline_us = self._deadline_us
        self._write_timer: asyncio.TimerHandle | None = None
        self._listed_at_start: ListedEndpoint | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._connection: PooledConnection | None = None
        self._response: HttpMessage | None = None
        self._has_ended = False
        self._timeout_timer = self._loop.call_later(timeout_us / 1e6, self._on_timeout)

    @property
    def has_ended(self) -> bool:
        """Whether the outcome is decided; `on_end` has been called or is about to be called."""
        return self._has_ended

    @property
    def connection(self) -> PooledConnection | None:
        """The connection on which the request is or was sent; None if sending has not begun."""
        return self._connection

    @property
    def state(self) -> ExchangeState:
        """The present state, derived from the connection."""
        if self._has_ended:
            return ExchangeState.ENDED
        if self._connection is None:
            return ExchangeState.CONNECTING
        return ExchangeState.AWAITING_RESPONSE if self._connection.all_written else ExchangeState.WRITING

    # Connecting and sending

    def start(self) -> None:
        """Send the request on an idle connection, or begin to open a new one."""
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
        except OSError as error:  # This includes TimeoutError.
            is_local = error.errno in LOCAL_RESOURCE_ERRNOS
            return self._end(Outcome.NOT_SENT if is_local else Outcome.CONNECT_FAILED)
        except Exception:
            # Every exception is caught, because a request would get no answer if its exchange never ended.
            log.exception("failed to connect to endpoint %s", self._endpoint_id)
            return self._end(Outcome.NOT_SENT)
        self._connect_task = None
        self._send_or_end(connection)

    def _send_or_end(self, connection: PooledConnection) -> None:
        try:
            self._check_and_send(connection)
        except Exception:
            # Every exception is caught, because a request would get no answer if its exchange never ended. If
            # the exchange already owns the connection, it is unknown whether the endpoint got the request.
            log.exception("failed to send a request to endpoint %s", self._endpoint_id)
            self._end_by_state(OUTCOME_ON_CONNECTION_LOST)

    def _check_and_send(self, connection: PooledConnection) -> None:
        """Send the request if the conditions under which the endpoint was chosen still hold.

        They may have changed while the connection was being established. According to the present list, the
        endpoint may no longer be ready, may be another process, or may be in another zone or cell, where it
        may not recognize a repeat of the request. The client may have disconnected. The exchange's timeout or
        the dedup window, in which an endpoint drops a repeat, may be over. The close and the times are
        checked here, because the event loop may have neither read the close nor run the timers yet, and would
        do so only after the request was sent.
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
        """End the exchange as NOT_SENT if the last byte is not written within `limit_us`.

        The limit counts from this call. If this is called more than once, the earliest deadline applies.
        """
        deadline_us = self._context.clock.now() + limit_us
        if self._is_written_or_ended() or deadline_us >= self._write_deadline_us:
            return
        self._write_deadline_us = deadline_us
        if self._write_timer is not None:
            self._write_timer.cancel()
        self._write_timer = self._loop.call_later(limit_us / 1e6, self._on_write_deadline)

    def _is_written_or_ended(self) -> bool:
        return self.state in (ExchangeState.AWAITING_RESPONSE, ExchangeState.ENDED)

    # Events that end the exchange

    def cancel(self) -> None:
        """End the exchange because its result is no longer needed."""
        self._end_by_state(OUTCOME_ON_CANCEL)

    def end_unsent(self) -> None:
        """End the exchange as NOT_SENT because it could not be started."""
        self._end(Outcome.NOT_SENT)

    def on_response(self, response: HttpMessage) -> None:
        """End the exchange with the outcome of a complete response."""
        self._response = response
        self._end(outcome_of_response(response))

    def on_unusable_response(self) -> None:
        """End the exchange because the received bytes are not a usable response."""
        self._end(OUTCOME_ON_UNUSABLE_RESPONSE)

    def on_peer_closed(self) -> None:
        """End the exchange because the connection is lost."""
        self._end_by_state(OUTCOME_ON_CONNECTION_LOST)

    def _on_timeout(self) -> None:
        self._end_by_state(OUTCOME_ON_TIMEOUT)

    def _on_write_deadline(self) -> None:
        if not self._is_written_or_ended():
            self._end(Outcome.NOT_SENT)

    # The end of the exchange

    def _end_by_state(self, outcomes: Mapping[ExchangeState, Outcome]) -> None:
        """End the exchange with the outcome that belongs to its present state."""
        if not self._has_ended:
            self._end(outcomes[self.state])

    def _end(self, outcome: Outcome) -> None:
        """Release all resources and call `on_end`; do nothing if the exchange has already ended."""
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
        """Return the load report from the header or, for a probe, from the body; () if there is none."""
        field_names = self._context.load_report_fields
        report = parse_load_report(response.header(http_names.SERVER_LOAD), field_names)
        if not report and self._request.target == http_names.LOAD_PATH:
            report = parse_load_report(response.body.decode("latin-1"), field_names)
        return report
