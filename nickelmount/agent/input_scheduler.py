"""The order in which connections are read whose input takes much processor time.

The event loop reads each connection that has bytes once in each of its iterations. If many peers send input
that is expensive to parse, an iteration takes as long as all of that input together, and every other request
waits. Connections with such input are therefore read one at a time, each in an iteration of its own.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol


class PausableInput(Protocol):
    """A connection that can be left unread for a while."""

    def pause_input(self) -> None:
        """Leave arriving bytes in the kernel."""

    def resume_input(self) -> bool:
        """Read again; return False if the connection has ended, so that there is nothing to read."""


class InputScheduler:
    """A queue of connections that wait to be read; each iteration of the event loop reads one of them."""

    def __init__(self) -> None:
        self._waiting: deque[PausableInput] = deque()

    @property
    def waiting_count(self) -> int:
        """The number of connections that wait to be read."""
        return len(self._waiting)

    def defer(self, connection: PausableInput) -> None:
        """Leave a connection unread until all that wait already have been read once."""
        connection.pause_input()
        self._waiting.append(connection)
        if len(self._waiting) == 1:
            self._schedule()

    def _schedule(self) -> None:
        asyncio.get_running_loop().call_soon(self._resume_next)

    def _resume_next(self) -> None:
        while self._waiting and not self._waiting.popleft().resume_input():
            pass
        if self._waiting:
            self._schedule()
