"""The client of discovery: the watch for changes of the endpoint list, and the fetch of the complete one.

A watch is a chain of long polls: each asks for what changed after the revision that is held, and discovery
holds its answer back until something does or the wait in the call is over. The balancer decides when a watch
that has failed is opened again, and when the complete list is fetched.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random

from nickelmount.errors import DiscoveryError, StaleRevisionError
from nickelmount.protocol.address import Address
from nickelmount.protocol.endpoint_list import (
    EndpointList,
    EndpointListParser,
    changes_target,
    complete_list_target,
)

from .discovery_connection import DiscoverySession

log = logging.getLogger(__name__)

# The longest wait of a long poll. A shared discovery is called seldom: each call costs what all agents share.
SHARED_LONG_POLL_MS = 20_000
# A local discovery serves this agent alone. A watch that has fallen silent is found out at the end of a long
# poll, and has to be before the change that it missed counts as notified.
LOCAL_LONG_POLL_MS = 2_000
# Bounds a call that discovery answers at once, the opening of its connection included.
CALL_TIMEOUT_S = 2.0
# How long after the end of its wait the answer to a long poll may arrive. Without a bound a discovery whose
# machine is cut off, and which closes nothing, would keep the watch waiting for ever.
LONG_POLL_GRACE_S = 0.5
# The wait of a call that asks for changes at once; the protocol has no wait of 0.
IMMEDIATE_POLL_MS = 1

ListCallback = Callable[[EndpointList | None], None]


class DiscoveryClient:
    """Calls discovery. A watch goes on from call to call until one fails."""

    def __init__(
        self,
        address: Address,
        parser: EndpointListParser,
        revision: int | None,
        connect_timeout_s: float,
        long_poll_ms: int = SHARED_LONG_POLL_MS,
        jitter_random: Random | None = None,
    ) -> None:
        """`revision` is that of the list which is held at the start; None: no list is held.

        `jitter_random` is given where all agents share discovery; each long poll then draws its wait from it.
        A change ends the calls of all agents at once. With equal waits, all of these watches would fall
        silent together, and all agents would call again in the same moment, more than discovery can answer
        in time.
        """
        self._address, self._parser = address, parser
        self._connect_timeout_s, self._long_poll_ms = connect_timeout_s, long_poll_ms
        self._jitter_random = jitter_random
        self._revision = revision  # None: the next call asks for the complete list
        # The next call does not wait for a change: what was missed arrives at once, and silence shows soon.
        self._poll_immediately = False
        self._watch_task: asyncio.Task[None] | None = None
        self._fetch_tasks: set[asyncio.Task[None]] = set()

    def watch(self, on_list: ListCallback) -> None:
        """Report each list from now on; None, once, when the watch has failed.

        Does nothing while a watch runs.
        """
        if self._watch_task is None or self._watch_task.done():
            self._watch_task = asyncio.get_running_loop().create_task(self._watch(on_list))

    def fetch(self, on_list: ListCallback) -> None:
        """Report the complete list once, or None if the call has failed."""
        task = asyncio.get_running_loop().create_task(self._fetch(on_list))
        self._fetch_tasks.add(task)
        task.add_done_callback(self._fetch_tasks.discard)

    def change_address(self, address: Address, on_list: ListCallback) -> None:
        """Watch at another address from now on, beginning with the complete list.

        Calls to the old address end unreported. The revision is dropped, because those of one discovery mean
        nothing to another.
        """
        if address == self._address:
            return
        for task in (self._watch_task, *self._fetch_tasks):
            if task is not None:
                task.cancel()
        self._address, self._revision, self._watch_task = address, None, None
        self.watch(on_list)

    # The watch

    async def _watch(self, on_list: ListCallback) -> None:
        """Call, read, apply and report, over and over; report None after the first failure."""
        with self._new_session() as session:
            try:
                while True:
                    await self._watch_step(session, on_list)
            # All of them: the balancer waits for the report of the failure before it opens the next watch. If
            # the task ended without one, the agent would never hear of a change again.
            except Exception as error:
                _log_failure(error)
                # During an outage of a shared discovery the next connection may be silent as well. If the
                # next call were a long poll, that would be found out after its wait, by when the changes
                # that it missed have long counted as notified. A local discovery needs no such care, as its
                # long polls are short.
                self._poll_immediately = self._jitter_random is not None
        self._watch_task = None  # before the report: the balancer may answer it with the next watch
        on_list(None)

    async def _watch_step(self, session: DiscoverySession, on_list: ListCallback) -> None:
        body = await self._call(session)
        if body is None:
            return
        # Outside of the timeouts of the call: the answer has arrived, and how long this agent takes to read
        # it says nothing of discovery.
        endpoint_list = await self._parser.parse_body(body)
        self._poll_immediately = False
        self._apply_watched(endpoint_list)
        if endpoint_list.entries or endpoint_list.is_complete:
            on_list(endpoint_list)

    async def _call(self, session: DiscoverySession) -> bytes | None:
        """Choose the call and make it: complete list, changes at once, or long poll.

        None: the long poll went unanswered, and the next call asks for the changes at once.
        """
        if self._revision is None or self._poll_immediately:
            return await self._call_immediately(session)
        return await self._long_poll(session)

    async def _call_immediately(self, session: DiscoverySession) -> bytes:
        async with _call_timeout():
            await session.connect()
            if self._revision is None:
                return await session.get(complete_list_target())
            return await session.get(changes_target(self._revision, IMMEDIATE_POLL_MS))

    async def _long_poll(self, session: DiscoverySession) -> bytes | None:
        await session.connect()
        wait_ms = self._draw_wait_ms()
        try:
            async with asyncio.timeout(wait_ms / 1000 + LONG_POLL_GRACE_S):
                return await session.get(changes_target(self._revision, wait_ms))
        except TimeoutError:
            # The connection no longer leads anywhere, and nothing has closed it. That is no sign of an
            # overloaded discovery, so there is no pause: the watch goes on at once, on a new connection.
            log.warning("watch of discovery fell silent; opening a new connection")
            session.disconnect()
            self._poll_immediately = True
            return None

    def _draw_wait_ms(self) -> int:
        """The wait of the next long poll: at a shared discovery, drawn from the upper half of the range."""
        if self._jitter_random is None:
            return self._long_poll_ms
        return int(self._long_poll_ms * (0.5 + 0.5 * self._jitter_random.random()))

    def _apply_watched(self, endpoint_list: EndpointList) -> None:
        try:
            self._hold_revision(endpoint_list)
        except StaleRevisionError:
            # Either a fetch has brought a newer list since this call began, or discovery has started to count
            # from the beginning. The complete list is right in both cases.
            self._revision = None
            raise

    # The fetch

    async def _fetch(self, on_list: ListCallback) -> None:
        endpoint_list: EndpointList | None = None
        with self._new_session() as session:
            try:
                endpoint_list = await self._fetch_complete_list(session)
            # All of them: the balancer counts on one report of each fetch, unless the address changes.
            except Exception as error:
                _log_failure(error)
        on_list(endpoint_list)

    async def _fetch_complete_list(self, session: DiscoverySession) -> EndpointList:
        async with _call_timeout():
            await session.connect()
            body = await session.get(complete_list_target())
        endpoint_list = await self._parser.parse_body(body)
        self._hold_revision(endpoint_list)
        return endpoint_list

    # What both need

    def _new_session(self) -> DiscoverySession:
        return DiscoverySession(self._address, min(self._connect_timeout_s, CALL_TIMEOUT_S))

    def _hold_revision(self, endpoint_list: EndpointList) -> None:
        """Hold the revision of a list; raises StaleRevisionError if it is older than the one that is held."""
        if self._revision is not None and endpoint_list.revision < self._revision:
            raise StaleRevisionError(endpoint_list.revision, self._revision)
        self._revision = endpoint_list.revision


@asynccontextmanager
async def _call_timeout() -> AsyncIterator[None]:
    """Bound a call that discovery answers at once; raises DiscoveryError when its time is up."""
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            yield
    except TimeoutError:
        raise DiscoveryError(f"no answer within {CALL_TIMEOUT_S} s") from None


def _log_failure(error: Exception) -> None:
    """What discovery does wrong is one line; a fault of this program is logged with its trace."""
    foreseen = isinstance(error, DiscoveryError)
    log.warning("call to discovery failed: %s", str(error) or type(error).__name__, exc_info=not foreseen)
