"""An HTTP/1.1 message that was read from a connection."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class HttpMessage:
    """A request or a response that was read, or that is being read."""

    method: bytes = b""  # Method of a request; empty for a response.
    target: bytes = b""  # Path and query of a request; empty for a response.
    status: int = 0  # Status of a response; 0 for a request.
    # Value of each header field by its name in lower case. If a name is repeated, its first value is kept.
    headers: dict[bytes, bytes] = field(default_factory=dict)
    repeated_headers: set[bytes] = field(default_factory=set)  # Names of headers that occur more than once.
    body: bytearray = field(default_factory=bytearray)  # The body after its transfer coding was decoded.
    keep_alive: bool = False  # The sender allows another message on the connection.
    head_memory_bytes: int = 0  # The memory that the target and the header fields take, approximately.

    @property
    def memory_bytes(self) -> int:
        """The memory that the message takes, approximately."""
        return self.head_memory_bytes + len(self.body)

    def take_body(self) -> bytes:
        """Return the body, and keep it no longer."""
        body, self.body = bytes(self.body), bytearray()
        return body

    def header(self, name: bytes) -> str | None:
        """Return the first value of a header field, or None if it is absent; `name` is in lower case."""
        value = self.headers.get(name)
        return None if value is None else value.decode("latin-1")
