"""A reader of HTTP/1.1 messages that limits their size.

The reader serves both directions: requests of clients, and responses of endpoints and of discovery. The
syntax of a message (characters, lengths, Content-Length together with Transfer-Encoding) is checked by
llhttp, through httptools; its size and its transfer coding are checked here.

The parser calls back for each header field and each chunk, and works on all bytes that it is given before it
returns. A small message with many of them takes as much processor time as a large one with few. The reader
therefore counts these calls, and stops the parser at the end of the first message.
"""

from __future__ import annotations

import weakref

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser, HttpResponseParser

from nickelmount.errors import HttpError

from .http_message import HttpMessage

# Limit on a head (the request or status line and the header fields), on a chunk header and on a trailer.
MAX_HEAD_BYTES = 32 * 1024
MAX_FIELDS = 100  # Limit on the header fields and trailer fields of a message together.
MAX_INTERIM_RESPONSES = 16  # Limit on the responses with a status of 1xx that precede a final response.

CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
CHUNKED = b"chunked"  # The value of Transfer-Encoding for a body in chunks without any other coding.
SUPPORTED_VERSIONS = ("1.1", "1.0")
STATUSES_WITHOUT_BODY = (204, 304)  # A response with a status of 1xx has no body either.
HEADER_LINE_OVERHEAD_BYTES = 4  # A header line consists of its name, ": ", its value and CR LF.
HEADER_OBJECT_BYTES = 128  # Memory of two bytes objects and their dict entry, without the text itself.


class HttpReader:
    """A reader that turns bytes into complete messages; after an error it reads nothing more.

    It reads one message at a time: bytes behind a complete message that were fed together with it are an
    error, except for line ends.

    Limits, and the status of the error if one is exceeded:

    - The head, a chunk header and the trailer have at most MAX_HEAD_BYTES (400).
    - The head and the trailer have at most MAX_FIELDS fields together (400).
    - The body has at most `max_body_bytes` (413). Content-Length is checked before the body arrives; without
      it, the body is checked as it arrives.
    - At most MAX_INTERIM_RESPONSES interim responses precede a final response (502).

    If no header states the length of a response's body, the body ends with the connection. `feed_eof`
    completes such a response. It must be called only if the peer has closed the connection in order: a reset
    may have truncated the body.

    Public attributes, read-only for other modules: `incomplete` is the message that has arrived only in part
    (None after an error), `has_read_head` says whether the head of the latest message is complete, and
    `error` is the error that ended the reading.

    No object that the reader owns refers back to it, so that the last reference to the reader frees the
    message that has arrived in part. If there was a cycle of references, the message would stay in memory
    until a full run of the garbage collector, which can be minutes away.
    """

    def __init__(
        self, parser_type: type[HttpRequestParser] | type[HttpResponseParser], max_body_bytes: int
    ) -> None:
        self._builder = _MessageBuilder(self, max_body_bytes)
        # The parser; None after an error, so that the part of a line that it has buffered is freed.
        self._parser: HttpRequestParser | HttpResponseParser | None = parser_type(self._builder)

    @property
    def incomplete(self) -> HttpMessage | None:
        """The message that has arrived only in part; None after an error."""
        return self._builder.incomplete

    @property
    def has_read_head(self) -> bool:
        """Whether the head of the latest message is complete."""
        return self._builder.has_read_head

    @property
    def error(self) -> HttpError | None:
        """The error that ended the reading."""
        return self._builder.error

    @property
    def parser(self) -> HttpRequestParser | HttpResponseParser:
        """The parser, which must not have been dropped."""
        assert self._parser is not None
        return self._parser

    @property
    def buffered_bytes(self) -> int:
        """The memory that the message that has arrived in part takes, approximately."""
        return 0 if self._builder.incomplete is None else self._builder.incomplete_memory_bytes()

    def stop(self) -> None:
        """Read nothing more, and free the message that has arrived in part."""
        builder = self._builder
        builder.error = builder.error or HttpError(400, "reading was stopped")
        self._parser = builder.incomplete = None

    @property
    def parsed_parts(self) -> int:
        """The number of header fields and pieces of a body that the last call of `feed` has read.

        It is 0 if no message has arrived only in part.
        """
        return 0 if self._builder.incomplete is None else self._builder.parsed_parts

    def feed(self, data: bytes) -> HttpMessage | None:
        """Return the message that these bytes complete, or None; set `error` if bytes follow it."""
        builder = self._builder
        builder.parsed_parts = 0
        if builder.error is not None:
            return None
        body_bytes_before = builder.total_body_bytes
        self._parse(data)
        if builder.incomplete is not None:
            builder.limit_unfinished(len(data), body_grew=builder.total_body_bytes != body_bytes_before)
        if builder.error is not None:
            self.stop()
        return builder.take_completed()

    def feed_eof(self) -> HttpMessage | None:
        """Return the response that the end of the connection completes, or None if there is none.

        Must be called only after the peer has closed the connection in order, and not after a reset.
        """
        response = self.incomplete
        if response is None or not self.has_read_head or not _ends_with_connection(response):
            return None
        self.stop()
        return response

    def _parse(self, data: bytes) -> None:
        builder = self._builder
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade:
            builder.error = HttpError(400, "no other protocol is spoken here")
            builder.take_completed()  # The request that asks for the upgrade.
        except HttpParserError as error:
            # The parser converts an exception of a callback, such as _ReadingStopped, to this error.
            builder.error = builder.error or HttpError(400, f"malformed message: {error}")


class _ReadingStopped(Exception):  # noqa: N818 - It stops the parser; the error is HttpReader.error.
    """Raised in a callback of the parser to make it stop."""


class _MessageBuilder:
    """The callbacks of a parser, which build messages from its events and check their size.

    A parser refers to its callbacks strongly for as long as it lives. Because these refer to the reader,
    which owns the parser, only weakly, the reader and its parser do not keep each other alive.
    """

    def __init__(self, reader: HttpReader, max_body_bytes: int) -> None:
        self._reader = weakref.ref(reader)
        self._max_body_bytes = max_body_bytes
        self._completed: HttpMessage | None = None  # The complete message that was not taken yet.
        self._field_count = 0  # Number of fields of the latest message, in its head and its trailer.
        self.parsed_parts = 0  # Number of fields and pieces of a body since the reader set it to 0.
        self._head_bytes = 0  # Size of the target and of the complete header lines of the latest head.
        # Number of bytes fed since the present message began, or since a byte of its body was last read.
        self._unfinished_bytes = 0
        self._interim_responses = 0  # Number of interim responses since the last final response.
        self.total_body_bytes = 0  # Size of the bodies of all messages together.
        self.incomplete: HttpMessage | None = None
        self.has_read_head = False
        self.error: HttpError | None = None

    def take_completed(self) -> HttpMessage | None:
        """Return the complete message that was not taken yet, if there is one."""
        completed, self._completed = self._completed, None
        return completed

    def incomplete_memory_bytes(self) -> int:
        """Return the memory that the message that has arrived in part takes, approximately."""
        assert self.incomplete is not None
        memory_bytes = self._unfinished_bytes + len(self.incomplete.body)
        return memory_bytes + self._head_bytes + HEADER_OBJECT_BYTES * len(self.incomplete.headers)

    def limit_unfinished(self, size: int, body_grew: bool) -> None:
        """Limit the part of a line that the parser buffers.

        The parser buffers a header line, a chunk header or a trailer until the end of the line arrives, and
        calls back only then. A peer that never sends the end could use up the memory of the process.
        """
        self._unfinished_bytes = 0 if body_grew else self._unfinished_bytes + size
        if self._unfinished_bytes > MAX_HEAD_BYTES:
            self.error = self.error or HttpError(400, "head too large")

    # Events of the parser, in the order in which they occur. An exception that one raises stops the parser.

    def on_message_begin(self) -> None:
        """Begin a new message, or stop the parser behind a complete one."""
        if self._completed is not None:
            self._fail(400, "one message at a time")
        self.incomplete, self.has_read_head = HttpMessage(), False
        self._head_bytes = self._unfinished_bytes = self._field_count = 0

    def on_url(self, url: bytes) -> None:
        """Append a part of the target of a request."""
        assert self.incomplete is not None
        self.incomplete.target += url
        self._limit_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; the fields of a trailer are dropped."""
        self.parsed_parts += 1
        self._field_count += 1
        if self._field_count > MAX_FIELDS:
            self._fail(400, "too many header fields")
        if self.has_read_head:
            return
        assert self.incomplete is not None
        self._limit_head(len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES)
        name = name.lower()
        if name in self.incomplete.headers:
            self.incomplete.repeated_headers.add(name)
        else:
            self.incomplete.headers[name] = value

    def on_headers_complete(self) -> None:
        """Store the method or the status, and check the HTTP version and the stated length of the body."""
        message, reader = self.incomplete, self._reader()
        assert message is not None
        assert reader is not None  # The parser is called by the reader alone.
        parser = reader.parser
        self.has_read_head = True
        message.head_memory_bytes = self._head_bytes + HEADER_OBJECT_BYTES * len(message.headers)
        if parser.get_http_version() not in SUPPORTED_VERSIONS:
            self._fail(400, "unknown version of HTTP")
        if TRANSFER_ENCODING in message.headers and not _is_chunked_alone(message):
            self._fail(400, "unsupported transfer coding")
        if isinstance(parser, HttpRequestParser):
            message.method = parser.get_method()
        else:
            message.status = parser.get_status_code()
        if int(message.headers.get(CONTENT_LENGTH, 0)) > self._max_body_bytes:
            self._fail(413, "body too large")
        message.keep_alive = parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.parsed_parts += 1
        assert self.incomplete is not None
        self.incomplete.body += body
        self.total_body_bytes += len(body)
        if len(self.incomplete.body) > self._max_body_bytes:
            self._fail(413, "body too large")

    def on_message_complete(self) -> None:
        """Complete the message, or drop it if it is an interim response."""
        message, self.incomplete = self.incomplete, None
        assert message is not None
        if not _is_interim(message):
            self._interim_responses = 0
            self._completed = message
            return
        self._interim_responses += 1
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            self._fail(502, "too many interim responses")

    def _limit_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            self._fail(400, "head too large")

    def _fail(self, status: int, message: str) -> None:
        """Set the error and stop the parser.

        The error itself is not raised. Its traceback would refer to this reader and to the bytes that were
        read, and the reader refers to the error.
        """
        self.error = HttpError(status, message)
        raise _ReadingStopped


def _is_interim(message: HttpMessage) -> bool:
    return 100 <= message.status < 200


def _is_chunked_alone(message: HttpMessage) -> bool:
    """Whether the parser decodes the transfer coding of a message that has one.

    The parser decodes chunks alone. A body with another coding below them would be passed on as it was coded,
    without the header field that says so.
    """
    if TRANSFER_ENCODING in message.repeated_headers:
        return False
    return message.headers[TRANSFER_ENCODING].strip().lower() == CHUNKED


def _ends_with_connection(message: HttpMessage) -> bool:
    """Whether a message is a response whose body ends only with the connection.

    This is the case if no header states the length of the body.
    """
    if message.status < 200 or message.status in STATUSES_WITHOUT_BODY:
        return False
    return message.headers.keys().isdisjoint((CONTENT_LENGTH, TRANSFER_ENCODING))
