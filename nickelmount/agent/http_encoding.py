"""Encoders for the HTTP/1.1 messages that are sent."""

from __future__ import annotations

from collections.abc import Iterable

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


def encode_request(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b""
) -> bytes:
    """Return the bytes of a request, with Content-Length added unless it is a GET without a body."""
    lines = [b"%s %s HTTP/1.1" % (method, target), *(b"%s: %s" % header for header in headers)]
    if body or method != b"GET":
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_response(status: int, headers: Headers, body: bytes, omit_body: bool = False) -> bytes:
    """Return the bytes of a response, with Content-Length added; `omit_body` is for the response to HEAD."""
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers)
    reason = REASON_PHRASES.get(status, "")
    head = f"HTTP/1.1 {status} {reason}\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + (b"" if omit_body else body)
