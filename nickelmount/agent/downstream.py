"""A connection of a client: reads one request at a time and writes its answer.

A connection is in one of these states (ClientState):

- IDLE: no byte of a request has arrived since the connection was opened, or since its last answer.
- READING: a part of a request has arrived.
- IN_FLIGHT: a complete request is with the handler, which will answer it. If bytes other than line ends
  arrive in this state, they are a pipelined request: they are dropped, and an error follows the answer unless
  the answer is the last one on the connection.
- LINGERING: the last answer was sent with Connection: close, and the sending side is closed. Bytes that still
  arrive are read and dropped until the client closes the connection. If the agent closed it while bytes are
  unread, the kernel would reset it, and the client could lose the answer.

    IDLE -> READING -> IN_FLIGHT -> IDLE       the answer allows another request
                       IN_FLIGHT -> LINGERING  the client asked for a close, it sent a pipelined request,
                                               or the agent is draining
    IDLE, READING -> LINGERING                 the input is malformed or too large, two requests arrive in
                                               one piece, READING took too long, or a shutdown ends
    any -> LINGERING                           the agent could not handle the input because of a fault
    any -> closed                              the client or the agent closes the connection

A request that arrives in one piece skips READING. A request that does not reach the handler (a health check,
an invalid request, or any request while the agent is rejecting) is answered at once and skips IN_FLIGHT.

A client that closes only its sending side counts as disconnected, because the agent cannot tell a half-close
from a close. The handler then drops the request in flight (RequestHandler.client_disconnected), and asyncio
closes the connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from httptools import HttpRequestParser

from nickelmount.errors import HttpError
from nickelmount.protocol.http_names import API_PATH, EXPECT, HEALTH_PATH, REJECTED_BODY

from .buffer_budget import BufferBudget
from .connection import Connection
from .http_encoding import Headers, encode_response
from .http_message import HttpMessage
from .http_reader import HttpReader
from .input_scheduler import InputScheduler
from .request_validation import ClientRequest, RequestValidator

MAX_BODY_BYTES = 64 * 1024  # Limit on the body of a request.
# Limit on one read from a client. Hundreds of clients may send at once, and 4 KB may have 700 chunks.
MAX_READ_BYTES = 4 * 1024
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
CONNECTION_CLOSE = ("Connection", "close")


class ClientState(Enum):
    """The state of a client's connection; the module's docstring describes each state."""

    IDLE = "idle"
    READING = "reading"
    IN_FLIGHT = "in_flight"
    LINGERING = "lingering"


@dataclass(slots=True, frozen=True)
class ClientTimeouts:
    """The time limits of the states of a connection, in seconds.

    IN_FLIGHT has none here, because each request has a timeout of its own.
    """

    # All connections are checked at this interval, so a limit may be exceeded by this much.
    sweep_interval_s: float = 0.25
    first_byte_s: float = 2.25  # Limit on IDLE before the first request.
    # Limit on READING. For the first request it counts from the opening of the connection.
    request_s: float = 2.25
    linger_s: float = 3.0  # Limit on LINGERING.
    # A connection that has been IDLE for this long after an answer may be closed to admit a new connection.
    evictable_after_s: float = 2.0
    keepalive_s: float = 20.0  # Limit on IDLE after an answer.


class RequestHandler(Protocol):
    """The object that answers the requests of clients; in an agent this is the Agent."""

    def accept(self, request: ClientRequest) -> None:
        """Take over a request and call `request.respond` once, unless its client disconnects."""

    def client_disconnected(self, request: ClientRequest) -> None:
        """Drop a request whose client has disconnected or whose connection has failed.

        The handler must not answer the request.
        """

    def answer_all_pending(self) -> None:
        """Answer every request that is in flight now."""


class ConnectionHost(Protocol):
    """The part of the listener that its connections use."""

    handler: RequestHandler
    validator: RequestValidator
    is_draining: bool  # Every answer is the last one on its connection.
    is_rejecting: bool  # Requests that arrive are rejected.
    open_request_ids: set[bytes]  # Request-Id of each request that is in flight, on any connection.
    # The limit on the memory of all messages; None means that there is none.
    buffer_budget: BufferBudget | None
    input_scheduler: InputScheduler

    def connection_opened(self, client: ClientConnection) -> None:
        """Admit a new connection, or close it."""

    def connection_closed(self, client: ClientConnection) -> None:
        """Forget a connection that has ended."""


class ClientConnection(Connection):
    """A connection of a client, which serves one request at a time.

    Public attributes, read-only for other modules: `has_answered` says whether a complete request has been
    answered on the connection, `is_lingering` whether its state is LINGERING. `timer_started_at` is the time,
    in seconds by the clock `now`, from which the time limit of the present state counts.
    """

    max_read_bytes = MAX_READ_BYTES

    def __init__(self, host: ConnectionHost, now: Callable[[], float]) -> None:
        super().__init__(host.buffer_budget, host.input_scheduler)
        self._host, self._now = host, now
        self._reader = HttpReader(HttpRequestParser, MAX_BODY_BYTES)
        self._message: HttpMessage | None = None  # The complete request that has no answer yet.
        self._request: ClientRequest | None = None  # The same request while the handler has it.
        # Whether bytes other than line ends arrived while a request was in flight.
        self._has_pipelined_input = False
        self._continue_sent_for: HttpMessage | None = None  # The last message that got 100 Continue.
        self.timer_started_at = now()
        self.has_answered = False
        self.is_lingering = False

    # State and time limits

    @property
    def state(self) -> ClientState:
        """The state of the connection according to the bytes that were read from it."""
        if self._request is not None:
            return ClientState.IN_FLIGHT
        if self.is_lingering:
            return ClientState.LINGERING
        if self._reader.incomplete is not None:
            return ClientState.READING
        return ClientState.IDLE

    def is_idle(self) -> bool:
        """Whether the state is IDLE, the last answer is written, and the kernel has nothing to read.

        A close then loses no request, and it takes effect at once.
        """
        return (
            self.state is ClientState.IDLE
            and self.all_written
            and not self.discards_input
            and self.has_nothing_to_read()
        )

    def has_lingered(self, duration_s: float) -> bool:
        """Whether the state has been LINGERING for over `duration_s` and a close causes no reset.

        The last answer must be written, and the kernel must have nothing to read.
        """
        return (
            self.is_lingering
            and self.all_written
            and self._now() - self.timer_started_at > duration_s
            and self.has_nothing_to_read()
        )

    def time_limit_s(self, timeouts: ClientTimeouts) -> float | None:
        """Return the limit on the present state, in seconds from `timer_started_at`.

        None means that the timeout of the request in flight applies.
        """
        state = self.state
        if state is ClientState.IN_FLIGHT:
            return None
        if state is ClientState.LINGERING:
            return timeouts.linger_s
        if state is ClientState.READING:
            return timeouts.request_s
        return timeouts.keepalive_s if self.has_answered else timeouts.first_byte_s

    def expire(self) -> None:
        """End a connection that has exceeded the time limit of its state.

        An idle connection stays open if the kernel has bytes to read, because they may be a request.
        """
        if self.is_lingering or self.discards_input:
            self.abort()  # The client has been sent its last answer and has not closed the connection.
        elif self._reader.incomplete is not None:
            self._send_error(HttpError(408, "request not complete in time"))
        elif not self.all_written:
            self.abort()  # The client does not read its answer, and close() would wait until it does.
        elif self.has_nothing_to_read():
            self.close()

    def reject_incomplete(self) -> None:
        """Reject a request that has arrived in part, so that its client does not write the rest."""
        if self._reader.incomplete is not None:
            self._send_error(_shutdown_error())

    def end(self) -> None:
        """Let no further request come: reject one that is incomplete or unread, or close the connection.

        A request in flight must have been answered. A connection that has its last answer stays open, because
        its client may not have read it yet.
        """
        if self.is_lingering or not self.all_written:
            return
        if self.has_nothing_to_read() and self._reader.incomplete is None:
            self.abort()
        else:
            self._send_error(_shutdown_error())

    # Methods that asyncio and Connection call

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask the listener for admission."""
        super().connection_made(transport)
        self._host.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the listener that the connection has ended."""
        super().connection_lost(exc)
        self._host.connection_closed(self)

    def on_data(self, data: bytes) -> None:
        """Read bytes from the client; a pipelined request is not parsed."""
        if self._request is not None:
            self._has_pipelined_input = self.discards_input = bool(data.strip(b"\r\n"))
        elif not self.all_written:
            # The client sends requests without reading the answers, which would fill the agent's memory.
            self.abort()
        else:
            self._read(data)

    def on_handler_error(self) -> None:
        """Drop the request in flight, and answer with an internal error if the connection can still send."""
        self._disconnect_request()
        self._send_error(HttpError(500, "internal error"))

    def on_peer_closed(self) -> None:
        """Drop the request in flight, because its client no longer waits for the answer."""
        self._disconnect_request()

    # Limits

    @property
    def parsed_parts(self) -> int:
        """The number of header fields and chunks in the latest read, if the request is not complete."""
        return self._reader.parsed_parts

    def resume_input(self) -> bool:
        """Read again; drop a connection whose client has gone, with all that it sent."""
        if self.peer_has_closed():
            self.abort()
            return False
        return super().resume_input()

    def buffered_bytes(self) -> int:
        """Return the size of the request that is read or in flight and of the unwritten answer."""
        size = super().buffered_bytes() + self._reader.buffered_bytes
        if self._message is not None:
            size += self._message.memory_bytes
        if self._request is not None:
            size += len(self._request.body)
        return size

    @property
    def can_evict_buffers(self) -> bool:
        """Whether no request is in flight, which could not be given up without its handler."""
        return self._request is None

    def evict_buffers(self) -> None:
        """Reject a request that the handler does not have, or give up an answer that is not read.

        The request was not sent to an endpoint, so that the client may send it again.
        """
        self._message = None
        if self.all_written:
            self._send_error(HttpError(503, "not enough memory"))
        else:
            self.abort()

    # Requests

    def _read(self, data: bytes) -> None:
        was_idle = self._reader.incomplete is None
        message = self._reader.feed(data)
        incomplete, error = self._reader.incomplete, self._reader.error
        if message is not None and error is not None:
            self._send_error(_pipelining_error())
        elif error is not None:
            self._send_error(error)
        elif message is not None:
            self._dispatch(message)
        elif incomplete is not None:
            # The limit of the first request counts from the opening of the connection.
            if was_idle and self.has_answered:
                self.timer_started_at = self._now()
            if self._host.is_rejecting:
                self.reject_incomplete()
            else:
                self._send_continue_if_expected(incomplete)

    def _send_continue_if_expected(self, message: HttpMessage) -> None:
        """Send 100 Continue once for a request whose client sends the body only after this response."""
        is_expected = message.headers.get(EXPECT, b"").lower() == b"100-continue"
        if is_expected and self._reader.has_read_head and self._continue_sent_for is not message:
            self._continue_sent_for = message
            self.send(CONTINUE_RESPONSE)

    def _dispatch(self, message: HttpMessage) -> None:
        """Answer a complete request at once, or hand it to the handler."""
        self._message = message
        self._update_budget()
        if self._message is None:
            return  # The memory for the request would exceed the budget, and the client got its answer.
        path = message.target.partition(b"?")[0]
        if path == HEALTH_PATH:
            self._send_response(503 if self._host.is_draining else 200, [], b"")
        elif path != API_PATH:
            self._send_response(404, [], b"no such path\n")
        elif self._host.is_rejecting:
            self._send_response(503, [], REJECTED_BODY)
        else:
            self._accept(message)

    def _accept(self, message: HttpMessage) -> None:
        """Hand a request to the handler, if it is valid and its client has not disconnected."""
        try:
            request = self._host.validator.validate(message, self._on_answer)
            if request.client_request_id in self._host.open_request_ids:
                raise HttpError(409, "this Request-Id is open")
        except HttpError as error:
            self._send_response(error.status, [], _error_body(error))
            return
        if self.peer_has_closed():
            self.abort()  # The client disconnected before the handler got its request.
            return
        request.has_client_disconnected = self.peer_has_closed
        request.may_client_have_left = self._may_client_have_left
        self._request = request
        self._host.open_request_ids.add(request.client_request_id)
        self._host.handler.accept(request)

    def _may_client_have_left(self) -> bool:
        """Whether the client has closed, or has sent more than its request and the kernel has unread bytes.

        The kernel reports a close only when all bytes before it have arrived, and they do not arrive while
        its receive buffer is full.
        """
        return self.peer_has_closed() or (self._has_pipelined_input and not self.has_nothing_to_read())

    def _release_request(self) -> ClientRequest | None:
        """End the state IN_FLIGHT; return the request that was in flight, or None if there was none."""
        request, self._request = self._request, None
        if request is not None:
            self._host.open_request_ids.discard(request.client_request_id)
        return request

    def _disconnect_request(self) -> None:
        request = self._release_request()
        if request is not None:
            self._host.handler.client_disconnected(request)

    # Answers

    def _on_answer(self, request: ClientRequest, status: int, headers: Headers, body: bytes) -> None:
        """Send the handler's answer, or drop it if its request is no longer in flight on this connection."""
        if self._request is not request:
            return
        self._release_request()
        self._send_response(status, headers, body)
        if self._has_pipelined_input:
            self._send_error(_pipelining_error())

    def _send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Answer the complete request in `_message`."""
        if not self._can_send():
            return
        message, self._message = self._message, None
        assert message is not None
        is_last = self._host.is_draining or not message.keep_alive
        if is_last:
            headers = [*headers, CONNECTION_CLOSE]
        self.send(encode_response(status, headers, body, message.method == b"HEAD"))
        self.has_answered, self.timer_started_at = True, self._now()
        if is_last:
            self._linger()

    def _send_error(self, error: HttpError) -> None:
        """Answer with an error because of incomplete, malformed or pipelined input or because of a fault.

        Bytes that arrive afterwards are dropped, and so is a request that has arrived in part. Nothing is
        sent if the last answer was sent already.
        """
        self._reader.stop()
        if self.is_lingering or not self._can_send():
            return
        self.send(encode_response(error.status, [CONNECTION_CLOSE], _error_body(error)))
        self.timer_started_at = self._now()
        self._linger()

    def _linger(self) -> None:
        self.is_lingering = True
        self.finish_sending()

    def _can_send(self) -> bool:
        return not self.closed and self.transport is not None and not self.transport.is_closing()


def _pipelining_error() -> HttpError:
    return HttpError(400, "one request at a time")


def _shutdown_error() -> HttpError:
    return HttpError(503, "shutting down")


def _error_body(error: HttpError) -> bytes:
    return f"{error}\n".encode()
