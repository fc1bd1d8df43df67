"""The base class of TCP connections with clients, endpoints and discovery."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from contextlib import suppress

from .buffer_budget import BufferBudget
from .input_scheduler import InputScheduler

log = logging.getLogger(__name__)

RECEIVE_BUFFER_BYTES = 256 * 1024
# A read with more header fields and chunks than this is expensive, and the next one has to wait for its turn.
MAX_PARTS_PER_READ = 128
# All connections can share one buffer, because the bytes of each read are copied and handled before the event
# loop reads again.
_RECEIVE_BUFFER = memoryview(bytearray(RECEIVE_BUFFER_BYTES))


class Connection(asyncio.BufferedProtocol):
    """A TCP connection that passes received bytes to its subclass and tracks whether sent bytes are written.

    A subclass overrides on_data, on_handler_error and on_peer_closed. If it has a budget for the messages
    that it keeps in memory, it also overrides buffered_bytes, can_evict_buffers and evict_buffers. If it has
    a scheduler for expensive input, it also overrides parsed_parts and max_read_bytes.
    """

    # Limit on the bytes of one read. It bounds the time that the connection takes in an iteration of the
    # event loop, because the parser handles all bytes of a read before it returns.
    max_read_bytes = RECEIVE_BUFFER_BYTES

    def __init__(self, budget: BufferBudget | None = None, scheduler: InputScheduler | None = None) -> None:
        """Create a connection whose buffers count against a budget, or against none.

        With a scheduler, expensive input waits for its turn.
        """
        self._budget, self._scheduler = budget, scheduler
        self._budgeted_bytes = 0  # The size of the buffers that the budget was last told.
        self.transport: asyncio.Transport | None = None  # None until the connection is established.
        self.all_written = True  # Whether the kernel has taken every byte that was sent.
        # Whether nothing more may be sent: the connection was lost or was aborted on this side, or the
        # subclass has decided not to use it again.
        self.closed = False
        self.discards_input = False  # Whether received bytes are dropped without being handled.

    # Methods that subclasses override

    def on_data(self, data: bytes) -> None:
        """Handle bytes from the peer."""

    def on_handler_error(self) -> None:
        """Clean up after on_data has raised an exception."""

    def on_peer_closed(self) -> None:
        """Handle the end of the connection: the peer closed, half-closed or reset it, or this side closed it.

        May be called twice.
        """

    def on_eof(self) -> None:
        """Handle an orderly close or half-close by the peer, after all bytes that it sent were handled.

        A reset is no orderly close. The default is to handle it like any other end of the connection.
        """
        self.on_peer_closed()

    def buffered_bytes(self) -> int:
        """Return the size of the messages that this connection keeps in memory.

        This includes the bytes that were sent and that the kernel has not taken yet.
        """
        if self.all_written or self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    @property
    def parsed_parts(self) -> int:
        """The number of header fields and chunks in the latest read, if the message is not complete."""
        return 0

    @property
    def can_evict_buffers(self) -> bool:
        """Whether the message that takes the memory may be given up."""
        return True

    def evict_buffers(self) -> None:
        """Give up the message that takes the memory; the default is to close the connection immediately."""
        self.abort()

    # Methods that asyncio calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and have it call resume_writing when its write buffer is empty."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        # With a high-water mark of 0, asyncio calls resume_writing only when every byte has been written.
        transport.set_write_buffer_limits(high=0)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the event loop reads into.

        Bytes that are dropped cost little, and a close by the peer can be read only behind them.
        """
        return _RECEIVE_BUFFER if self.discards_input else _RECEIVE_BUFFER[: self.max_read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Pass the bytes that the event loop has read to on_data."""
        if self.discards_input:
            return
        try:
            self.on_data(bytes(_RECEIVE_BUFFER[:nbytes]))
            self._update_budget()
            if self._scheduler is not None and self.parsed_parts > MAX_PARTS_PER_READ:
                self._scheduler.defer(self)
        except Exception:
            # Every exception is caught, because asyncio would close the transport if one left this method.
            # The subclass would take that for a close by the peer, so that a bug in this program would look
            # like a network failure.
            log.exception("failed to handle received bytes")
            self.discards_input = True
            self.on_handler_error()

    def eof_received(self) -> None:
        """Treat a half-close as a close; asyncio closes the transport because this returns None."""
        if self.discards_input:
            self.on_peer_closed()
            return
        try:
            self.on_eof()
        except Exception:
            # See buffer_updated for the reason why every exception is caught.
            log.exception("failed to handle the end of a connection")
            self.discards_input = True
            self.on_handler_error()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the connection has ended, whichever side ended it."""
        self.closed = True
        self._update_budget()
        self.on_peer_closed()

    def resume_writing(self) -> None:
        """Record that the write buffer is empty."""
        self.all_written = True
        self._update_budget()

    # Methods that the scheduler calls

    def pause_input(self) -> None:
        """Leave arriving bytes in the kernel."""
        assert self.transport is not None
        self.transport.pause_reading()

    def resume_input(self) -> bool:
        """Read again; return False if the connection has ended."""
        if self.transport is None or self.transport.is_closing():
            return False
        self.transport.resume_reading()
        return True

    # Methods for subclasses and for the owners of a connection

    def send(self, data: bytes) -> None:
        """Write all of `data` with one call to the transport."""
        assert self.transport is not None
        self.transport.write(data)
        # A failed write empties the buffer too, although the peer never got the bytes. The transport is
        # closing in that case, so both conditions are checked.
        self.all_written = not self.transport.is_closing() and self.transport.get_write_buffer_size() == 0
        self._update_budget()

    def has_nothing_to_read(self) -> bool:
        """Return whether the connection is open and its socket holds neither bytes nor a close by the peer.

        The event loop reads a socket only in its next iteration. Until then, only the kernel knows of a close
        or of an unexpected byte that has arrived, so this polls the kernel.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        return not self._poll_socket(select.POLLIN | select.POLLHUP)

    def peer_has_closed(self) -> bool:
        """Return whether the kernel knows that the peer has closed, half-closed or reset the connection.

        Also returns True if this side has closed the connection or has not established it yet.

        The event loop notices a close only after it has read all bytes that precede it. This polls the kernel
        instead, so that a client that has disconnected is noticed before a request is sent on its behalf. The
        kernel reports a reset as POLLERR and POLLHUP, which poll returns even if they are not requested.
        """
        if self.closed or self.transport is None or self.transport.is_closing():
            return True
        return self._poll_socket(select.POLLRDHUP)

    def _poll_socket(self, events: int) -> bool:
        """Return whether the kernel reports any of these poll events for the socket now, without waiting."""
        assert self.transport is not None
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), events)
        return bool(poll.poll(0))

    def finish_sending(self) -> None:
        """Half-close the connection: send nothing more, and drop the bytes that still arrive.

        If this side closed a socket that holds unread bytes, the kernel would send a reset. The peer's kernel
        would then drop an answer that the peer has not read yet, and a client would see a reset instead of
        its answer. After a half-close the event loop continues to read, so no bytes stay unread.
        """
        assert self.transport is not None
        self.discards_input = True
        with suppress(OSError):  # The peer may have reset the connection already.
            self.transport.write_eof()

    def close(self) -> None:
        """Close the connection after all sent bytes have been written."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection immediately; the close is sent to the peer before this returns.

        transport.abort() closes the socket only in the next iteration of the event loop. By then the next
        attempt of the same request may have been sent, so that two endpoints would hold the request at the
        same time, which must not happen if hedged requests are not allowed. Therefore the socket is shut down
        first, which takes effect immediately.
        """
        self.discards_input = self.closed = True
        self._update_budget()
        if self.transport is None or self.transport.is_closing():
            return
        with suppress(OSError):  # The peer may have reset the connection already.
            self.transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
        self.transport.abort()

    def _update_budget(self) -> None:
        """Record the present size of the buffers, which may end this connection or another one."""
        if self._budget is None:
            return
        size = 0 if self.closed else self.buffered_bytes()
        if size != self._budgeted_bytes:
            self._budgeted_bytes = size
            self._budget.set_size(self, size)
