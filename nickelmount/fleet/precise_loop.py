"""An event loop whose timers have a resolution of less than a millisecond."""

from __future__ import annotations

import asyncio
import select
import selectors


class PreciseSelector(selectors.EpollSelector):
    """An epoll selector whose timeout is not rounded up to whole milliseconds.

    epoll waits for whole milliseconds, which would make requests 0.7 ms late on average. select waits with a
    resolution of microseconds. It is used only on the descriptor of epoll and costs one more system call per
    iteration of the event loop.
    """

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait up to `timeout` seconds, or without a limit if it is None, and return the ready events."""
        if timeout is not None and timeout > 0:
            select.select((self.fileno(),), (), (), timeout)
            timeout = 0
        return super().select(timeout)


class PreciseEventLoopPolicy(asyncio.DefaultEventLoopPolicy):
    """An event loop policy that creates event loops with a PreciseSelector."""

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Return a new event loop with a PreciseSelector."""
        return asyncio.SelectorEventLoop(PreciseSelector())
