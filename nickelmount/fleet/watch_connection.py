"""A client's connection to emulated discovery."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from typing import Protocol

from httptools import HttpRequestParser

from nickelmount.agent.connection import Connection
from nickelmount.agent.http_message import HttpMessage
from nickelmount.agent.http_reader import HttpReader
from nickelmount.errors import HttpError

from .list_calls import ListCall


class WatchConnectionHandler(Protocol):
    """The events that a connection reports to its owner."""

    def on_connected(self, connection: WatchConnection) -> None:
        """Handle a new connection."""

    def on_bytes_received(self, number: int) -> None:
        """Handle received bytes before they are parsed."""

    def on_request(self, connection: WatchConnection, request: HttpMessage | HttpError) -> None:
        """Handle a request, or an HttpError for bytes that are not a request.

        No other call is in progress on the connection.
        """

    def on_abandoned(self, connection: WatchConnection) -> None:
        """Handle a client that no longer needs an answer, even if no call is in progress.

        This is called when the client closes its side, and when the connection closes, whichever side closes
        it. It may therefore be called several times.
        """

    def on_all_written(self, connection: WatchConnection) -> None:
        """Handle the end of a write: the kernel has accepted all bytes sent."""

    def on_disconnected(self, connection: WatchConnection) -> None:
        """Handle a closed connection. This is called once, as the last of these methods."""


class WatchConnection(Connection):
    """A connection of a client that carries one call at a time."""

    def __init__(self, handler: WatchConnectionHandler) -> None:
        super().__init__()
        self._handler = handler
        self._reader = HttpReader(HttpRequestParser, 0)
        self.call: ListCall | None = None  # Call that has not been answered yet.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the new connection."""
        super().connection_made(transport)
        self._handler.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the closed connection, on which a call in progress is abandoned."""
        super().connection_lost(exc)
        self._handler.on_abandoned(self)
        self._handler.on_disconnected(self)

    def resume_writing(self) -> None:
        """Report that all bytes have been written."""
        super().resume_writing()
        self._handler.on_all_written(self)

    def on_data(self, data: bytes) -> None:
        """Report a request, or close the connection if a second one arrives before the first is answered."""
        self._handler.on_bytes_received(len(data))
        request, error = self._reader.feed(data), self._reader.error
        if self.call is not None or (request is not None and error is not None):
            # The answer to one request could be taken for the answer to the other one.
            self.abort()
        elif error is not None:
            self._handler.on_request(self, error)
        elif request is not None:
            self._handler.on_request(self, request)

    def on_handler_error(self) -> None:
        """Close the connection at once."""
        self.abort()

    def on_peer_closed(self) -> None:
        """Report that the client needs no answer."""
        self._handler.on_abandoned(self)

    def reset(self) -> None:
        """Close the connection at once, so that the client receives a reset."""
        if self.transport is None:
            return
        self.discards_input = True
        with suppress(OSError):  # The client may have reset the connection already.
            self.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        self.transport.abort()
