"""One connection of a client: requests are read from it one at a time, and their answers written to it.

A connection is in one of these states (ClientState):

- IDLE: nothing of a request has arrived since it was opened, or since its last answer.
- READING: a request has begun to arrive and is not complete.
- IN_FLIGHT: a complete request is with the handler, which answers it. Bytes that arrive meanwhile, but for
  line ends, are a pipelined request: they are dropped, and an error follows the answer.
- LINGERING: the last answer was sent, with Connection: close, and the sending side is closed. What still
  arrives is read and dropped until the client closes. If it were closed with unread bytes, the kernel would
  reset it, and the client could lose the answer.

    IDLE -> READING -> IN_FLIGHT -> IDLE       the answer allows a further request
                       IN_FLIGHT -> LINGERING  the client asked for a close, it sent a pipelined request,
                                               or the agent is draining
    IDLE, READING -> LINGERING                 malformed input, or READING took too long
    any -> closed                              by the client, or by the listener

A request that arrives complete at once skips READING. One that needs no handler (the health check, a request
that is not valid) is answered at once and skips IN_FLIGHT.

A client that closes its sending side counts as disconnected, since a half-close cannot be told from a close.
The handler drops the request in flight (RequestHandler.client_disconnected), and asyncio closes the
connection.
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

from .connection import Connection
from .http import Headers, HttpMessage, HttpReader, encode_response
from .request_validation import ClientRequest, RequestValidator

MAX_BODY_BYTES = 64 * 1024  # of a request
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
CONNECTION_CLOSE = ("Connection", "close")


class ClientState(Enum):
    """What a connection is doing; see the module's docstring."""

    IDLE = "idle"
    READING = "reading"
    IN_FLIGHT = "in_flight"
    LINGERING = "lingering"


@dataclass(slots=True, frozen=True)
class ClientTimeouts:
    """How long a connection may stay in a state, in seconds; IN_FLIGHT has the request's own timeout."""

    sweep_interval_s: float = 0.25  # between two looks at all connections: a limit is exceeded by up to this
    first_byte_s: float = 2.25  # IDLE since the connection was opened
    request_s: float = 2.25  # READING; for the first request, counted from when the connection was opened
    linger_s: float = 3.0  # LINGERING
    evictable_after_s: float = 2.0  # IDLE since an answer; from then on it is closed where a new one needs it
    keepalive_s: float = 20.0  # IDLE since an answer


class RequestHandler(Protocol):
    """Answers the requests of clients."""

    def accept(self, request: ClientRequest) -> None:
        """Become responsible for a request: `request.respond` is to be called once."""

    def client_disconnected(self, request: ClientRequest) -> None:
        """Drop a request whose client has disconnected; no answer is due."""

    def finish_all(self) -> None:
        """Answer every request that is in flight at once."""


class ConnectionHost(Protocol):
    """What a connection needs of its listener."""

    handler: RequestHandler
    validator: RequestValidator
    is_draining: bool  # every answer is the last of its connection
    is_rejecting: bool  # requests that arrive are rejected
    open_request_ids: set[bytes]  # of the requests that are in flight on any connection

    def connection_opened(self, client: ClientConnection) -> None:
        """Admit a new connection, or close it."""

    def connection_closed(self, client: ClientConnection) -> None:
        """Forget a connection that has ended."""


class ClientConnection(Connection):
    """A connection of a client; one request at a time.

    Public attributes, to be read only: `has_answered` is whether a request has been answered on it,
    `is_lingering` whether it is in state LINGERING, `timer_started_at` the time by `now`, in seconds, from
    which the limit of the present state counts.
    """

    def __init__(self, host: ConnectionHost, now: Callable[[], float]) -> None:
        super().__init__()
        self._host, self._now = host, now
        self._reader = HttpReader(HttpRequestParser, MAX_BODY_BYTES)
        self._message: HttpMessage | None = None  # the complete request that is still to be answered
        self._request: ClientRequest | None = None  # the same, while it is with the handler
        self._has_pipelined_input = False  # more than line ends arrived while a request was in flight
        self._continue_sent_for: HttpMessage | None = None
        self.timer_started_at = now()
        self.has_answered = False
        self.is_lingering = False

    # State and time limits

    @property
    def state(self) -> ClientState:
        """What the connection is doing, as far as its bytes have been read."""
        if self._request is not None:
            return ClientState.IN_FLIGHT
        if self.is_lingering:
            return ClientState.LINGERING
        if self._reader.incomplete is not None:
            return ClientState.READING
        return ClientState.IDLE

    def is_idle(self) -> bool:
        """Whether nothing of a request has arrived, not even in the kernel: closing it now loses nothing."""
        return self.state is ClientState.IDLE and not self.discards_input and self.has_nothing_to_read()

    def has_lingered(self, duration_s: float) -> bool:
        """Whether its last answer is older than this and all written, and a close would not reset it."""
        return (
            self.is_lingering
            and self.all_written
            and self._now() - self.timer_started_at > duration_s
            and self.has_nothing_to_read()
        )

    def time_limit_s(self, timeouts: ClientTimeouts) -> float | None:
        """How long it may stay as it is, from `timer_started_at`; None: the request's own timeout applies."""
        state = self.state
        if state is ClientState.IN_FLIGHT:
            return None
        if state is ClientState.LINGERING:
            return timeouts.linger_s
        if state is ClientState.READING:
            return timeouts.request_s
        return timeouts.keepalive_s if self.has_answered else timeouts.first_byte_s

    def expire(self) -> None:
        """End a connection that has exceeded its time limit."""
        if self.is_lingering or self.discards_input:
            self.abort()  # nothing is owed any more: the client has not closed after its last answer
        elif self._reader.incomplete is not None:
            self._send_error(HttpError(408, "request not complete in time"))
        elif not self.all_written:
            self.abort()  # the client does not read its answer, and close() would wait until it does
        elif self.has_nothing_to_read():
            self.close()

    # Called by Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask the listener for admission."""
        super().connection_made(transport)
        self._host.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the listener of the end."""
        super().connection_lost(exc)
        self._host.connection_closed(self)

    def on_data(self, data: bytes) -> None:
        """Read what the client sent; nothing of a pipelined request is looked at."""
        if self._request is not None:
            self._has_pipelined_input = self.discards_input = bool(data.strip(b"\r\n"))
        elif not self.all_written:
            # The client sends requests and reads no answers: these would pile up in the memory of the agent.
            self.abort()
        else:
            self._read(data)

    def on_handler_error(self) -> None:
        """Answer that the agent itself failed, if the connection still allows an answer."""
        self._disconnect_request()
        self._send_error(HttpError(500, "internal error"))

    def on_peer_closed(self) -> None:
        """Drop the request in flight; the client no longer waits for it."""
        self._disconnect_request()

    # Requests

    def _read(self, data: bytes) -> None:
        was_idle = self._reader.incomplete is None
        messages = self._reader.feed(data)
        incomplete, error = self._reader.incomplete, self._reader.error
        has_more = len(messages) > 1 or incomplete is not None or error is not None
        if messages and has_more:
            self._send_error(_pipelining_error())
        elif error is not None:
            self._send_error(error)
        elif messages:
            self._dispatch(messages[0])
        elif incomplete is not None:
            if was_idle and self.has_answered:  # the limit of the first request counts from the opening
                self.timer_started_at = self._now()
            self._send_continue_if_expected(incomplete)

    def _send_continue_if_expected(self, message: HttpMessage) -> None:
        """Ask once for the body of a request whose client waits for that before it sends the body."""
        is_expected = message.headers.get(EXPECT, b"").lower() == b"100-continue"
        if is_expected and self._reader.in_body and self._continue_sent_for is not message:
            self._continue_sent_for = message
            self.send(CONTINUE_RESPONSE)

    def _dispatch(self, message: HttpMessage) -> None:
        """Answer a complete request at once, or hand it to the handler."""
        self._message = message
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
        """Hand a request to the handler, if it is valid and its client is still there."""
        try:
            request = self._host.validator.check(message, self._on_answer)
            if request.client_request_id in self._host.open_request_ids:
                raise HttpError(409, "this Request-Id is open")
        except HttpError as error:
            self._send_response(error.status, [], _error_body(error))
            return
        if self.peer_has_closed():
            self.abort()  # the client disconnected while its request waited in the kernel to be read
            return
        request.has_client_disconnected = self.peer_has_closed
        self._request = request
        self._host.open_request_ids.add(request.client_request_id)
        self._host.handler.accept(request)

    def _release_request(self) -> ClientRequest | None:
        """End the state IN_FLIGHT; return the request that was, if any."""
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
        """Send the handler's answer; one for a request that is no longer in flight is dropped."""
        if self._request is not request:
            return
        self._release_request()
        self._send_response(status, headers, body)
        if self._has_pipelined_input:
            self._send_error(_pipelining_error())

    def _send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Answer the complete request `_message`."""
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
        """Answer bytes that are not, or not yet, a complete request; nothing more is read after that."""
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


def _error_body(error: HttpError) -> bytes:
    return f"{error}\n".encode()
