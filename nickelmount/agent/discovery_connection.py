"""HTTP to discovery: one call at a time, on a connection that is used again while discovery keeps it open."""

from __future__ import annotations

import asyncio
from types import TracebackType

from httptools import HttpResponseParser

from nickelmount.errors import DiscoveryError
from nickelmount.protocol.address import Address
from nickelmount.protocol.http_names import DISCOVERY_HOST

from .connection import Connection
from .http import HttpReader, encode_request

MAX_RESPONSE_BODY_BYTES = 4 * 1024 * 1024  # of the body of an answer


class DiscoveryConnection(Connection):
    """A connection to discovery; one call at a time."""

    def __init__(self) -> None:
        super().__init__()
        self._reader = HttpReader(HttpResponseParser, MAX_RESPONSE_BODY_BYTES)
        self._answer: asyncio.Future[bytes] | None = None  # of the call in flight

    async def get(self, target: str) -> bytes:
        """The body of the answer; raises DiscoveryError where the status is not 200 or no answer comes."""
        self._answer = asyncio.get_running_loop().create_future()
        self.send(encode_request(b"GET", target.encode(), [(b"Host", DISCOVERY_HOST)]))
        return await self._answer

    def on_data(self, data: bytes) -> None:
        """Bytes from discovery: they end the call in flight once the answer is complete."""
        messages = self._reader.feed(data)
        if self._answer is None:
            # Bytes that no call asked for must not become the answer to the next one.
            self._fail(DiscoveryError(str(self._reader.error or "bytes that no call asked for")))
            return
        if not messages:
            if self._reader.error is not None:
                self._fail(DiscoveryError(str(self._reader.error)))
            return
        answer = messages[0]
        if not answer.keep_alive or len(messages) > 1 or self._reader.error is not None:
            # The answer counts, but what follows it cannot be trusted: the next call needs a new connection.
            self.closed = self.discards_input = True
        if answer.status == 200:
            self._end_call(bytes(answer.body))
        else:
            self._end_call(DiscoveryError(f"status {answer.status}"))

    def on_handler_error(self) -> None:
        """A fault of this program while it read: the call in flight fails."""
        self._fail(DiscoveryError("fault while reading the answer"))

    def on_peer_closed(self) -> None:
        """Discovery has closed or reset the connection: the call in flight fails."""
        self._fail(DiscoveryError("connection ended"))

    def _fail(self, error: DiscoveryError) -> None:
        self.closed = self.discards_input = True
        self._end_call(error)

    def _end_call(self, result: bytes | DiscoveryError) -> None:
        answer, self._answer = self._answer, None
        if answer is None or answer.done():  # done: its caller was cancelled or has timed out
            return
        if isinstance(result, DiscoveryError):
            answer.set_exception(result)
        else:
            answer.set_result(result)


class DiscoverySession:
    """The calls of one watch or one fetch: owns their connection, and closes it when the block ends."""

    def __init__(self, address: Address, connect_timeout_s: float) -> None:
        self._address, self._connect_timeout_s = address, connect_timeout_s
        self._connection: DiscoveryConnection | None = None

    def __enter__(self) -> DiscoverySession:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.disconnect()

    async def connect(self) -> None:
        """Keep the connection while discovery does, else open a new one; raises DiscoveryError."""
        if self._connection is not None and not self._connection.closed:
            return
        self.disconnect()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, self._connection = await loop.create_connection(
                    DiscoveryConnection, self._address.host, self._address.port
                )
        except (OSError, ValueError) as error:  # ValueError: a host name that cannot be looked up
            raise DiscoveryError(f"cannot connect: {str(error) or type(error).__name__}") from error

    async def get(self, target: str) -> bytes:
        """The body of the answer; raises DiscoveryError. The session must be connected."""
        assert self._connection is not None
        return await self._connection.get(target)

    def disconnect(self) -> None:
        """Close the connection at once; a call in flight on it fails."""
        if self._connection is not None:
            self._connection.abort()
        self._connection = None
