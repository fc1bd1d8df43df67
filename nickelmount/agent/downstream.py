"""One connection of the application: requests read from it one at a time, answers written to it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from httptools import HttpRequestParser

from nickelmount.errors import HttpError

from .connection import Connection
from .http import Headers, HttpMessage, HttpReader, encode_response
from .request_validation import ClientRequest, RequestValidator

API, HEALTH = b"/api", b"/_health"
BODY_LIMIT = 64 * 1024


@dataclass(slots=True, frozen=True)
class ClientTimeouts:
    """How long a connection may stay as it is, in seconds. All are looked at together, `sweep_s` apart."""

    sweep_s: float = 0.25
    silent_s: float = 2.25  # nothing has come since it was opened
    unfinished_s: float = 2.25  # a request has begun to come; the first counts from the connection's start
    linger_s: float = 3.0  # after an answer that is the last, till the client closes
    spare_s: float = 2.0  # nothing open on it; from then on it makes way where there is no room
    kept_s: float = 20.0  # nothing open on it


class RequestHandler(Protocol):
    """Who takes the calls."""

    def accept(self, call: ClientRequest) -> None: ...

    def client_left(self, call: ClientRequest) -> None:
        """The client has gone."""

    def finish_all(self) -> None:
        """Answer at once whatever is held."""


class ConnectionHost(Protocol):
    """What a connection needs of its server."""

    handler: RequestHandler
    validator: RequestValidator
    is_draining: bool
    is_rejecting: bool
    open_request_ids: set[bytes]

    def connection_opened(self, client: ClientConnection) -> None: ...

    def connection_closed(self, client: ClientConnection) -> None: ...


class ClientConnection(Connection):
    """A connection of the application; one request at a time."""

    def __init__(self, host: ConnectionHost, now: Callable[[], float]) -> None:
        super().__init__()
        self._host, self._now = host, now
        self._reader = HttpReader(HttpRequestParser, BODY_LIMIT)
        self._request: HttpMessage | None = None  # the one in hand
        self._call: ClientRequest | None = None
        self._ahead = False  # more came while it was
        self._continued: HttpMessage | None = None  # has been asked for its body
        self.since = now()  # when the present wait began
        self.asked = False  # a request has been answered
        self.lingers = False

    # Its state

    @property
    def spare(self) -> bool:
        """Nothing of a request has come, as far as the kernel knows."""
        return (
            self._call is None
            and self._reader.incomplete is None
            and not self.discards_input
            and self.nothing_to_read()
        )

    def parted(self, after_s: float) -> bool:
        """The last answer was given so long ago, and closing now resets nothing of it."""
        return (
            self.lingers
            and self.all_written
            and self._now() - self.since > after_s
            and self.nothing_to_read()
        )

    def allowed_s(self, times: ClientTimeouts) -> float | None:
        """How long it may stay as it is; None: a request is in hand, and that is timed elsewhere."""
        if self._call is not None:
            return None
        if self.lingers:
            return times.linger_s
        if self._reader.incomplete is not None:
            return times.unfinished_s
        return times.kept_s if self.asked else times.silent_s

    def expire(self) -> None:
        """It has stayed as it is for too long."""
        if self.lingers or self.discards_input:
            self.abort()
        elif self._reader.incomplete is not None:
            self._error(HttpError(408, "request not complete in time"))
        elif not self.all_written:
            self.abort()  # it does not read its answer, and a close would wait for that
        elif self.nothing_to_read():
            self.close()

    # What comes in

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._host.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._host.connection_closed(self)

    def on_data(self, data: bytes) -> None:
        if self._call is not None:
            # Nothing behind a request in hand is looked at; line ends between messages mean nothing.
            self._ahead = self.discards_input = bool(data.strip(b"\r\n"))
            return
        if not self.all_written:
            return self.abort()  # asks on and reads nothing: its answers would pile up here
        fresh = self._reader.incomplete is None
        whole = self._reader.feed(data)
        current, error = self._reader.incomplete, self._reader.error
        if whole and (len(whole) > 1 or current is not None or error is not None):
            self._error(HttpError(400, "one request at a time"))
        elif error is not None:
            self._error(error)
        elif whole:
            self._take(whole[0])
        elif current is not None:
            if fresh and self.asked:
                self.since = self._now()
            self._continue(current)

    def on_handler_error(self) -> None:
        self._leave()
        if self.transport is None or self.transport.is_closing():
            return
        self._error(HttpError(500, "internal error"))

    def on_peer_closed(self) -> None:
        self._leave()

    def _leave(self) -> None:
        call = self._release()
        if call is not None:
            self._host.handler.client_left(call)

    def _release(self) -> ClientRequest | None:
        call, self._call = self._call, None
        if call is not None:
            self._host.open_request_ids.discard(call.id)
        return call

    def _continue(self, request: HttpMessage) -> None:
        wanted = request.headers.get(b"expect", b"").lower() == b"100-continue"
        if wanted and self._reader.in_body and self._continued is not request:
            self._continued = request
            self.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _take(self, request: HttpMessage) -> None:
        self._request = request
        try:
            path = request.target.partition(b"?")[0]
            if path == HEALTH:
                return self._respond(503 if self._host.is_draining else 200, [], b"")
            if path != API:
                raise HttpError(404, "no such path")
            if self._host.is_rejecting:
                return self._respond(503, [], b"refused\n")
            call = self._host.validator.check(request, self._answer)
            if call.id in self._host.open_request_ids:
                raise HttpError(409, "this Request-Id is open")
        except HttpError as e:
            return self._respond(e.status, [], f"{e}\n".encode())
        call.client_has_left = self.peer_has_closed
        if self.peer_has_closed():
            return self.abort()  # it left while this waited to be read
        self._call = call
        self._host.open_request_ids.add(call.id)
        self._host.handler.accept(call)

    # What goes out

    def _answer(self, call: ClientRequest, status: int, headers: Headers, body: bytes) -> None:
        if self._call is not call:
            return
        self._release()
        self._respond(status, headers, body)
        if self._ahead:
            self._error(HttpError(400, "one request at a time"))

    def _respond(self, status: int, headers: Headers, body: bytes) -> None:
        """The answer to a request that came whole."""
        if self.closed or self.transport is None or self.transport.is_closing():
            return
        request, self._request = self._request, None
        assert request is not None
        last = self._host.is_draining or not request.keep_alive
        if last:
            headers = [*headers, ("Connection", "close")]
        self.send(encode_response(status, headers, body, request.method == b"HEAD"))
        self.asked, self.since = True, self._now()
        if last:
            self.lingers = True
            self.finish_sending()

    def _error(self, e: HttpError) -> None:
        """The answer to what is not, or not yet, a request."""
        if self.lingers or self.closed or self.transport is None or self.transport.is_closing():
            return
        self.send(encode_response(e.status, [("Connection", "close")], f"{e}\n".encode()))
        self.lingers = True
        self.since = self._now()
        self.finish_sending()
