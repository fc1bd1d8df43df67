"""A client's connection to emulated discovery."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from typing import Protocol

from httptools import HttpRequestParser

from nickelmount.agent.connection import Connection
from nickelmount.agent.http import HttpMessage, HttpReader
from nickelmount.errors import HttpError

from .list_calls import ListCall


class WatchConnectionHandler(Protocol):
    """What a connection reports to its owner."""

    def on_connected(self, connection: WatchConnection) -> None:
        """It was accepted."""

    def on_bytes_received(self, number: int) -> None:
        """Bytes have arrived, before they are parsed."""

    def on_request(self, connection: WatchConnection, request: HttpMessage | HttpError) -> None:
        """One request has arrived, or bytes that are none; nothing else is in hand on the connection."""

    def on_abandoned(self, connection: WatchConnection) -> None:
        """The client needs no answer any more. Is called twice where the connection then closes."""

    def on_all_written(self, connection: WatchConnection) -> None:
        """The kernel has taken all bytes sent."""

    def on_disconnected(self, connection: WatchConnection) -> None:
        """It has closed; called once, the last."""


class WatchConnection(Connection):
    """A connection of a client; one call at a time."""

    def __init__(self, handler: WatchConnectionHandler) -> None:
        super().__init__()
        self._handler = handler
        self._reader = HttpReader(HttpRequestParser, 0)
        self.call: ListCall | None = None  # in hand: neither answered nor refused yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report it."""
        super().connection_made(transport)
        self._handler.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report it; a call in hand is abandoned."""
        super().connection_lost(exc)
        self._handler.on_abandoned(self)
        self._handler.on_disconnected(self)

    def resume_writing(self) -> None:
        """Report that all is written."""
        super().resume_writing()
        self._handler.on_all_written(self)

    def on_data(self, data: bytes) -> None:
        """Report a request, or close at once where a second one arrives before the first is answered."""
        self._handler.on_bytes_received(len(data))
        requests = self._reader.feed(data)
        if self.call is not None or len(requests) > 1:  # an answer to one would be taken for the other's
            self.abort()
        elif self._reader.error is not None:
            self._handler.on_request(self, self._reader.error)
        elif requests:
            self._handler.on_request(self, requests[0])

    def on_handler_error(self) -> None:
        """Close at once."""
        self.abort()

    def on_peer_closed(self) -> None:
        """Report that no answer is needed."""
        self._handler.on_abandoned(self)

    def reset(self) -> None:
        """Close at once, so that the client sees a reset."""
        if self.transport is None:
            return
        self.discards_input = True
        with suppress(OSError):  # the peer may have reset it already
            self.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        self.transport.abort()
