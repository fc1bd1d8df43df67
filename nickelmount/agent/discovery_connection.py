"""HTTP calls to discovery, one at a time, on a connection that is reused while discovery keeps it open."""

from __future__ import annotations

import asyncio
from types import TracebackType

from httptools import HttpResponseParser

from nickelmount.errors import DiscoveryError
from nickelmount.protocol.address import Address
from nickelmount.protocol.http_names import DISCOVERY_HOST

from .connection import Connection
from .http_encoding import encode_request
from .http_message import HttpMessage
from .http_reader import HttpReader

MAX_RESPONSE_BODY_BYTES = 4 * 1024 * 1024


class DiscoveryConnection(Connection):
    """A connection to discovery for one call at a time."""

    def __init__(self) -> None:
        super().__init__()
        self._reader = HttpReader(HttpResponseParser, MAX_RESPONSE_BODY_BYTES)
        self._body_future: asyncio.Future[bytes] | None = None  # None if no call is in flight.

    async def get(self, target: str) -> bytes:
        """Make a call and return the body of the response.

        Raises DiscoveryError if the status is not 200, if the response is malformed, or if the connection
        ends before the response is complete. Sets no time limit.
        """
        self._body_future = asyncio.get_running_loop().create_future()
        self.send(encode_request(b"GET", target.encode(), [(b"Host", DISCOVERY_HOST)]))
        return await self._body_future

    def on_data(self, data: bytes) -> None:
        """Read bytes from discovery; end the call in flight if its response is complete or malformed."""
        response = self._reader.feed(data)
        if self._body_future is None:
            # No call is in flight, and these bytes must not be read as the response to the next call.
            self._fail(DiscoveryError(str(self._reader.error or "received bytes without a call in flight")))
            return
        if response is None:
            if self._reader.error is not None:
                self._fail(DiscoveryError(str(self._reader.error)))
            return
        if not response.keep_alive or self._reader.error is not None:
            # The response is valid, but no response to a further call can be read from this connection, so
            # that the next call has to open a new one.
            self.closed = self.discards_input = True
        self._end_call_with_response(response)

    def on_eof(self) -> None:
        """End the call in flight with the response that the close completes, or fail it if there is none."""
        response = self._reader.feed_eof()
        if response is None:
            return self.on_peer_closed()
        self.closed = self.discards_input = True
        self._end_call_with_response(response)

    def on_handler_error(self) -> None:
        """Fail the call in flight because of a bug in this program."""
        self._fail(DiscoveryError("internal error while reading the response"))

    def on_peer_closed(self) -> None:
        """Fail the call in flight because the connection has ended."""
        self._fail(DiscoveryError("discovery closed or reset the connection"))

    def _end_call_with_response(self, response: HttpMessage) -> None:
        if response.status == 200:
            self._end_call(response.take_body())
        else:
            self._end_call(DiscoveryError(f"response has status {response.status}, expected 200"))

    def _fail(self, error: DiscoveryError) -> None:
        self.closed = self.discards_input = True
        self._end_call(error)

    def _end_call(self, result: bytes | DiscoveryError) -> None:
        future, self._body_future = self._body_future, None
        if future is None or future.done():  # It is done if the caller was cancelled or has timed out.
            return
        if isinstance(result, DiscoveryError):
            future.set_exception(result)
        else:
            future.set_result(result)


class DiscoverySession:
    """A context manager for the calls of one watch or one fetch, which owns and closes their connection."""

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
        """Open a connection unless there is one that discovery keeps open; raises DiscoveryError."""
        if self._connection is not None and not self._connection.closed:
            return
        self.disconnect()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, self._connection = await loop.create_connection(
                    DiscoveryConnection, self._address.host, self._address.port
                )
        except (OSError, ValueError) as error:  # A malformed host name raises ValueError.
            raise DiscoveryError(
                f"cannot connect to {self._address.host}:{self._address.port}: "
                f"{str(error) or type(error).__name__}"
            ) from error

    async def get(self, target: str) -> bytes:
        """Make a call and return the body of the response; raises DiscoveryError.

        The session must be connected.
        """
        assert self._connection is not None
        return await self._connection.get(target)

    def disconnect(self) -> None:
        """Close the connection immediately; a call in flight on it fails."""
        if self._connection is not None:
            self._connection.abort()
        self._connection = None
