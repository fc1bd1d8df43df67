"""One TCP connection: what is common to those with clients, with endpoints and with discovery."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from contextlib import suppress

log = logging.getLogger(__name__)

RECEIVE_BUFFER_BYTES = 256 * 1024
# Shared by all connections: what was read is copied and handled before the event loop reads again.
_RECEIVE_BUFFER = memoryview(bytearray(RECEIVE_BUFFER_BYTES))


class Connection(asyncio.BufferedProtocol):
    """Hands received bytes to a subclass, and knows whether all that was sent has been written.

    A subclass overrides on_data, on_handler_error and on_peer_closed.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None  # until the connection is established
        self.all_written = True  # the kernel has taken every byte that was sent
        self.closed = False  # nothing more can be sent: it was lost, or aborted on this side
        self.discards_input = False  # received bytes are dropped unread

    # Overridden by subclasses

    def on_data(self, data: bytes) -> None:
        """Handle bytes from the peer."""

    def on_handler_error(self) -> None:
        """Clean up after on_data has raised."""

    def on_peer_closed(self) -> None:
        """The peer has closed, half-closed or reset the connection. May be called twice."""

    # Called by asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, with a write buffer that reports when it is empty."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # resume_writing then means that all is written

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory that the event loop reads into."""
        return _RECEIVE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Hand on what the event loop has read."""
        if self.discards_input:
            return
        try:
            self.on_data(bytes(_RECEIVE_BUFFER[:nbytes]))
        except Exception:
            # Catches all: asyncio would close the transport on any error that is raised here, the subclass
            # would see that as a close by the peer, and a fault of this program would look like one of the
            # network.
            log.exception("handling of received bytes failed")
            self.discards_input = True
            self.on_handler_error()

    def eof_received(self) -> None:
        """Treat a half-close as a close; returning None lets asyncio close the transport."""
        self.on_peer_closed()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection, whichever side it came from."""
        self.closed = True
        self.on_peer_closed()

    def resume_writing(self) -> None:
        """Note that the write buffer is empty."""
        self.all_written = True

    # Used by subclasses and by the owners of a connection

    def send(self, data: bytes) -> None:
        """Write all of `data` with one call to the transport."""
        assert self.transport is not None
        self.transport.write(data)
        # A write that fails empties the buffer as well. The bytes then look written although the peer never
        # got them; the failed transport is closing, which tells the two apart.
        self.all_written = not self.transport.is_closing() and self.transport.get_write_buffer_size() == 0

    def has_nothing_to_read(self) -> bool:
        """Whether the connection is open and its socket has nothing to read, not even the peer's close.

        The event loop reads a socket only in its next cycle. A close or a stray byte that arrives before
        that is visible in the kernel only, so the kernel is polled.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        return not self._poll_socket(select.POLLIN | select.POLLHUP)

    def peer_has_closed(self) -> bool:
        """Whether the peer has closed, half-closed or reset the connection, as far as the kernel knows.

        The event loop finds a close only once it has read all bytes that precede it. The kernel is polled
        so that a client which has disconnected is noticed before anything is sent for it. A reset is
        reported as POLLERR and POLLHUP, which poll returns without being asked for them.
        """
        if self.closed or self.transport is None or self.transport.is_closing():
            return True
        return self._poll_socket(select.POLLRDHUP)

    def _poll_socket(self, events: int) -> bool:
        """Whether the kernel reports any of these events, without waiting."""
        assert self.transport is not None
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), events)
        return bool(poll.poll(0))

    def finish_sending(self) -> None:
        """Half-close: send nothing more, and drop what still arrives.

        If this side closed a socket that has unread bytes, the kernel would send a reset, and the peer's
        kernel would drop the last answer where the peer has not read it yet: the client would see a reset
        in place of its answer. After a half-close the event loop goes on reading, so nothing stays unread.
        """
        assert self.transport is not None
        self.discards_input = True
        with suppress(OSError):  # the peer may have reset the connection already
            self.transport.write_eof()

    def close(self) -> None:
        """Close once everything is written."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once; the peer sees it before this returns.

        transport.abort() closes the socket only in the next iteration of the event loop. By then the next
        attempt of the same request may have been sent, and two endpoints would hold it at once, which is
        wrong where hedged requests are not allowed. The socket is shut down first, which takes effect
        immediately.
        """
        self.discards_input = self.closed = True
        if self.transport is None or self.transport.is_closing():
            return
        with suppress(OSError):  # the peer may have reset the connection already
            self.transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
        self.transport.abort()
