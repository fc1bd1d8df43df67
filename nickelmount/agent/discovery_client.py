"""The client of discovery, which watches the endpoint list for changes and fetches the complete list.

A watch is a sequence of calls, most of them long polls. A long poll asks for the changes after the revision
that the client holds, and discovery delays its response until there is a change or until the wait that the
call states is over. The other calls of a watch are answered immediately. They ask for the complete list if
the client holds no revision. They ask for changes if the last long poll got no response or, at a shared
discovery, if the last watch failed. The balancer decides when a failed watch is started again and when a
fetch is made.
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

# The longest wait of a long poll at a discovery that all agents share. The wait is long so that each agent
# calls rarely, because every call uses capacity that the agents share.
SHARED_LONG_POLL_MS = 20_000
# The wait of a long poll at a discovery that serves only this agent. It is short, because a connection that
# no longer delivers responses is detected only at the end of a long poll, and this has to happen before a
# change that the watch has missed counts as notified.
LOCAL_LONG_POLL_MS = 2_000
# The timeout of a call that discovery answers immediately, including the time to connect.
CALL_TIMEOUT_S = 2.0
# How long after the end of its wait the response to a long poll may arrive. Without this limit, the watch
# would wait forever if discovery's machine was cut off from the network, because no connection closes then.
LONG_POLL_GRACE_S = 0.5
# The wait of a call that asks for changes and is to be answered immediately. The protocol has no wait of 0.
IMMEDIATE_POLL_WAIT_MS = 1

ListCallback = Callable[[EndpointList | None], None]


class DiscoveryClient:
    """A client of discovery that runs fetches and at most one watch, which ends when a call fails."""

    def __init__(
        self,
        address: Address,
        parser: EndpointListParser,
        revision: int | None,
        connect_timeout_s: float,
        long_poll_ms: int = SHARED_LONG_POLL_MS,
        jitter_random: Random | None = None,
    ) -> None:
        """Create a client that makes no calls until `watch` or `fetch` is called.

        `revision` is the revision of the list that the agent holds at the start, or None if it holds no list.
        `jitter_random` has to be given if all agents share discovery; the wait of each long poll is then
        random. A change ends the long polls of all agents at the same time, so that the next ones begin
        together. With equal waits they would also time out together if they got no response, and all agents
        would call again at the same time, which is more than discovery can answer in time.
        """
        self._address, self._parser = address, parser
        self._connect_timeout_s, self._long_poll_ms = connect_timeout_s, long_poll_ms
        self._jitter_random = jitter_random
        # The revision of the newest list; if it is None, the watch's next call asks for the complete list.
        self._revision = revision
        # Whether the watch's next call for changes asks for an immediate response. Missed changes then arrive
        # immediately, and a connection that delivers nothing is detected within CALL_TIMEOUT_S.
        self._next_poll_is_immediate = False
        self._watch_task: asyncio.Task[None] | None = None
        self._fetch_tasks: set[asyncio.Task[None]] = set()

    def watch(self, on_list: ListCallback) -> None:
        """Start a watch, which calls `on_list` with each new list, and once with None when it has failed.

        Does nothing if a watch is running.
        """
        if self._watch_task is None or self._watch_task.done():
            self._watch_task = asyncio.get_running_loop().create_task(self._watch(on_list))

    def fetch(self, on_list: ListCallback) -> None:
        """Fetch the complete list and call `on_list` with it, or with None if the call has failed."""
        task = asyncio.get_running_loop().create_task(self._fetch(on_list))
        self._fetch_tasks.add(task)
        task.add_done_callback(self._fetch_tasks.discard)

    def change_address(self, address: Address, on_list: ListCallback) -> None:
        """Watch the discovery at another address from now on, beginning with the complete list.

        Calls to the old address are cancelled and make no report. The client forgets its revision, because
        the revisions of one discovery have no meaning at another. Does nothing if the address is the same.
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
        """Call discovery repeatedly and report each list; after the first failure report None and end."""
        with self._new_session() as session:
            try:
                while True:
                    await self._watch_step(session, on_list)
            # Every exception is caught, because the balancer starts the next watch only after the failure of
            # this one is reported. If the task ended without a report, the agent would get no more changes.
            except Exception as error:
                _log_failure(error)
                # During an outage of a shared discovery, the next connection may deliver nothing either. With
                # a long poll, that would be detected only when its wait is over, long after the changes that
                # were missed count as notified. At a local discovery, a long poll is short enough to detect
                # this in time.
                self._next_poll_is_immediate = self._jitter_random is not None
        # The task is cleared before the report, because the balancer may start the next watch in response to
        # it.
        self._watch_task = None
        on_list(None)

    async def _watch_step(self, session: DiscoverySession, on_list: ListCallback) -> None:
        """Make one call of the watch, and report its list unless that is an empty list of changes."""
        body = await self._call(session)
        if body is None:
            return
        # The timeout of the call does not include parsing, because the time that this agent takes to parse a
        # response says nothing about discovery.
        parsing = self._parser.parse_body(body)
        del body  # A complete list is large, and is not needed any more when it is decoded.
        endpoint_list = await parsing
        self._next_poll_is_immediate = False
        self._store_watched_revision(endpoint_list)
        if endpoint_list.entries or endpoint_list.is_complete:
            on_list(endpoint_list)

    async def _call(self, session: DiscoverySession) -> bytes | None:
        """Ask for the complete list or for changes, and return the body of the response.

        Changes are requested with an immediate response or with a long poll. Returns None if a long poll got
        no response; the next call then asks for an immediate response.
        """
        if self._revision is None or self._next_poll_is_immediate:
            return await self._immediate_call(session)
        return await self._long_poll(session)

    async def _immediate_call(self, session: DiscoverySession) -> bytes:
        async with _call_timeout():
            await session.connect()
            if self._revision is None:
                return await session.get(complete_list_target())
            return await session.get(changes_target(self._revision, IMMEDIATE_POLL_WAIT_MS))

    async def _long_poll(self, session: DiscoverySession) -> bytes | None:
        await session.connect()
        wait_ms = self._next_wait_ms()
        try:
            async with asyncio.timeout(wait_ms / 1000 + LONG_POLL_GRACE_S):
                return await session.get(changes_target(self._revision, wait_ms))
        except TimeoutError:
            # The connection has stopped delivering data without being closed. This is not a sign that
            # discovery is overloaded, so the watch continues on a new connection without a backoff.
            log.warning("no response to a long poll of discovery; opening a new connection")
            session.disconnect()
            self._next_poll_is_immediate = True
            return None

    def _next_wait_ms(self) -> int:
        """Return the wait of the next long poll.

        At a shared discovery, the wait is random, between half of the longest wait and all of it.
        """
        if self._jitter_random is None:
            return self._long_poll_ms
        return int(self._long_poll_ms * (0.5 + 0.5 * self._jitter_random.random()))

    def _store_watched_revision(self, endpoint_list: EndpointList) -> None:
        """Store the revision of a list that the watch received; raises StaleRevisionError."""
        try:
            self._store_revision(endpoint_list)
        except StaleRevisionError:
            # Either a fetch has returned a newer list since this call began, or discovery has restarted its
            # count of revisions. In both cases the complete list has to be requested next.
            self._revision = None
            raise

    # The fetch

    async def _fetch(self, on_list: ListCallback) -> None:
        endpoint_list: EndpointList | None = None
        with self._new_session() as session:
            try:
                endpoint_list = await self._fetch_complete_list(session)
            # Every exception is caught, because the balancer expects one report for each fetch, unless the
            # address changes.
            except Exception as error:
                _log_failure(error)
        on_list(endpoint_list)

    async def _fetch_complete_list(self, session: DiscoverySession) -> EndpointList:
        async with _call_timeout():
            await session.connect()
            parsing = self._parser.parse_body(await session.get(complete_list_target()))
        endpoint_list = await parsing
        self._store_revision(endpoint_list)
        return endpoint_list

    # Used by both the watch and the fetch

    def _new_session(self) -> DiscoverySession:
        return DiscoverySession(self._address, min(self._connect_timeout_s, CALL_TIMEOUT_S))

    def _store_revision(self, endpoint_list: EndpointList) -> None:
        """Store the revision of a list; raises StaleRevisionError if it is older than the stored one."""
        if self._revision is not None and endpoint_list.revision < self._revision:
            raise StaleRevisionError(endpoint_list.revision, self._revision)
        self._revision = endpoint_list.revision


@asynccontextmanager
async def _call_timeout() -> AsyncIterator[None]:
    """Raise DiscoveryError if a call that discovery answers immediately takes longer than CALL_TIMEOUT_S."""
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            yield
    except TimeoutError:
        raise DiscoveryError(f"no response within {CALL_TIMEOUT_S} s") from None


def _log_failure(error: Exception) -> None:
    """Log an error of discovery as one line, and any other error, which is a bug, with its traceback."""
    is_discovery_error = isinstance(error, DiscoveryError)
    log.warning(
        "call to discovery failed: %s", str(error) or type(error).__name__, exc_info=not is_discovery_error
    )
