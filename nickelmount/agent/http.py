"""HTTP/1.1 messages: a reader for what arrives, within limits of size, and encoders for what is sent.

The reader serves both directions: requests of clients, and responses of endpoints and of discovery. The form
of a message (characters, lengths, Content-Length beside Transfer-Encoding) is checked by llhttp, through
httptools; its size is checked here.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser, HttpResponseParser

from nickelmount.errors import HttpError

MAX_HEAD_BYTES = 32 * 1024  # request or status line and header fields; also chunk headers and trailers
MAX_INTERIM_RESPONSES = 16  # responses with a status of 1xx ahead of the final one

CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
SUPPORTED_VERSIONS = ("1.1", "1.0")
STATUSES_WITHOUT_BODY = (204, 304)  # and all 1xx
HEADER_LINE_OVERHEAD_BYTES = 4  # ": " and the line end

Headers = list[tuple[str, str]]
REASON_PHRASES = {
    100: "Continue",
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


@dataclass(slots=True, eq=False)
class HttpMessage:
    """A request or a response that was read, or that is being read."""

    method: bytes = b""  # of a request
    target: bytes = b""  # of a request: path and query
    status: int = 0  # of a response
    headers: dict[bytes, bytes] = field(default_factory=dict)  # by name in lower case; the first of each name
    repeated_headers: set[bytes] = field(default_factory=set)  # names that occur more than once
    body: bytearray = field(default_factory=bytearray)  # without its transfer coding
    keep_alive: bool = False  # the sender allows a further message on the connection

    def header(self, name: bytes) -> str | None:
        """Return the first value of a header field; its name is given in lower case."""
        value = self.headers.get(name)
        return None if value is None else value.decode("latin-1")


class HttpReader:
    """Turns bytes into complete messages. After an error it reads nothing more.

    What is bounded, and the status of the error where it is exceeded:

    - the head, a chunk header and the trailer: MAX_HEAD_BYTES (400);
    - the body: `max_body_bytes`, by Content-Length before any of it arrives, else as it arrives (413);
    - interim responses ahead of one final response: MAX_INTERIM_RESPONSES (502).

    A response that would end with its connection is an error (502): one that was cut short could not be told
    from a complete one.

    Public attributes, to be read only: `incomplete` is the message that has begun and is not complete,
    `in_body` whether the head of the latest message has been read, `error` why nothing more is read.
    """

    def __init__(
        self, parser_type: type[HttpRequestParser] | type[HttpResponseParser], max_body_bytes: int
    ) -> None:
        self._parser_type = parser_type
        self._parser = parser_type(self)
        self._max_body_bytes = max_body_bytes
        self._completed: list[HttpMessage] = []  # not yet returned by feed
        self._head_bytes = 0  # of the complete lines of the latest head
        self._unfinished_bytes = 0  # fed without ending a head, or without adding to a body
        self._total_body_bytes = 0  # of all messages
        self._interim_responses = 0  # since the last final response
        self.incomplete: HttpMessage | None = None
        self.in_body = False
        self.error: HttpError | None = None

    def feed(self, data: bytes) -> list[HttpMessage]:
        """Return the messages that these bytes complete; `error` is set if what follows is unreadable."""
        if self.error is not None:
            return []
        body_bytes_before = self._total_body_bytes
        self._parse(data)
        if self.incomplete is not None:
            self._limit_unfinished(len(data), has_body=self._total_body_bytes != body_bytes_before)
        if self.error is not None:
            self._parser = self._parser_type(self)  # frees the part of a line that the old one has buffered
        completed, self._completed = self._completed, []
        return completed

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            self.error = HttpError(400, "no other protocol is spoken here")
            self._completed.clear()  # the request for the upgrade counts as complete
        except HttpParserError as error:
            # An HttpError that a callback raised arrives wrapped in a parser error.
            self.error = self.error or HttpError(400, f"malformed message: {error}")

    def _limit_unfinished(self, size: int, has_body: bool) -> None:
        """Bound what the parser buffers of a line that has not ended.

        It buffers a header line, a chunk header or a trailer until its end arrives, and calls back only then.
        A peer that never ended the line could make the process use all of its memory.
        """
        self._unfinished_bytes = 0 if has_body else self._unfinished_bytes + size
        if self._unfinished_bytes > MAX_HEAD_BYTES:
            self.error = self.error or HttpError(400, "head too large")

    # Callbacks of llhttp, in the order in which they are called. What they raise ends the reading.

    def on_message_begin(self) -> None:
        """Start a message."""
        self.incomplete, self.in_body = HttpMessage(), False
        self._head_bytes = self._unfinished_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Add a piece of the target of a request."""
        assert self.incomplete is not None
        self.incomplete.target += url
        self._limit_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; those of a trailer are dropped."""
        if self.in_body:
            return
        assert self.incomplete is not None
        self._limit_head(len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES)
        name = name.lower()
        if name in self.incomplete.headers:
            self.incomplete.repeated_headers.add(name)
        else:
            self.incomplete.headers[name] = value

    def on_headers_complete(self) -> None:
        """Check what the head says of the message and of its body."""
        message, parser = self.incomplete, self._parser
        assert message is not None
        self.in_body = True
        if parser.get_http_version() not in SUPPORTED_VERSIONS:
            self._fail(400, "unknown version of HTTP")
        if isinstance(parser, HttpRequestParser):
            message.method = parser.get_method()
        else:
            message.status = parser.get_status_code()
            if _ends_with_connection(message):
                self._fail(502, "answer of unknown length")
        if int(message.headers.get(CONTENT_LENGTH, 0)) > self._max_body_bytes:
            self._fail(413, "body too large")
        message.keep_alive = parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Add a piece of the body."""
        assert self.incomplete is not None
        self.incomplete.body += body
        self._total_body_bytes += len(body)
        if len(self.incomplete.body) > self._max_body_bytes:
            self._fail(413, "body too large")

    def on_message_complete(self) -> None:
        """End the message; an interim response is dropped."""
        message, self.incomplete = self.incomplete, None
        assert message is not None
        if not _is_interim(message):
            self._interim_responses = 0
            self._completed.append(message)
            return
        self._interim_responses += 1
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            self._fail(502, "no answer but interim ones")

    def _limit_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            self._fail(400, "head too large")

    def _fail(self, status: int, message: str) -> None:
        """Set the error and raise it through the parser, which then stops."""
        self.error = HttpError(status, message)
        raise self.error


def _is_interim(message: HttpMessage) -> bool:
    return 100 <= message.status < 200


def _ends_with_connection(response: HttpMessage) -> bool:
    """Whether a response has a body whose length nothing states."""
    if response.status < 200 or response.status in STATUSES_WITHOUT_BODY:
        return False
    return response.headers.keys().isdisjoint((CONTENT_LENGTH, TRANSFER_ENCODING))


def encode_request(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b""
) -> bytes:
    """Return a request in one piece; Content-Length is added, but not to a GET without a body."""
    lines = [b"%s %s HTTP/1.1" % (method, target), *(b"%s: %s" % header for header in headers)]
    if body or method != b"GET":
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_response(status: int, headers: Headers, body: bytes, omit_body: bool = False) -> bytes:
    """Return a response in one piece, Content-Length included; to HEAD its body is omitted."""
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers)
    reason = REASON_PHRASES.get(status, "")
    head = f"HTTP/1.1 {status} {reason}\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + (b"" if omit_body else body)
