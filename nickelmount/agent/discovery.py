"""The list of backends: its form, and the watch that keeps it up to date."""

from __future__ import annotations

import asyncio
import json
import logging
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from operator import itemgetter
from random import Random
from typing import Any

from httptools import HttpResponseParser

from nickelmount.balancer.events import Endpoint, EndpointStatus
from nickelmount.errors import HttpError

from .clock import Clock
from .connection import Connection
from .http import HttpReader, encode_request

log = logging.getLogger(__name__)

PATH = "/catalog/members"
WAIT_MS = 20_000  # long: each call costs discovery, which all agents share
LOCAL_WAIT_MS = 2_000  # a list at hand costs no one, and what a silent watch misses counts as told after 6 s
ANSWER_S = 2.0  # a call that need not wait may take so long, its connection included
LATE_S = 0.5  # and one that waited so long past its wait: 2 s past it, what it misses counts as told
ANSWER_BYTES = 4 * 1024 * 1024  # of an answer
SLICE = 64  # entries of a list that are read in one turn of the loop: half a millisecond
STATES = {
    "SERVING": EndpointStatus.READY,
    "DRAINING": EndpointStatus.DRAINING,
    "DELETED": EndpointStatus.REMOVED,
}


@dataclass(slots=True, frozen=True)
class Address:
    host: str
    port: int


@dataclass(slots=True, frozen=True)
class ListedEndpoint:
    endpoint: Endpoint
    address: Address

    def same_process(self, other: ListedEndpoint | None) -> bool:
        """Whether a connection to the one leads to the other."""
        return (
            other is not None
            and self.address == other.address
            and self.endpoint.started_at_us == other.endpoint.started_at_us
        )


@dataclass(slots=True, frozen=True)
class EndpointList:
    """An answer of discovery: the whole list, or what has changed."""

    revision: int
    complete: bool
    entries: tuple[ListedEndpoint, ...]


def parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not 0 <= int(port) < 65536:
        raise ValueError(f"no address: {text!r}")
    return Address(host, int(port))


_FIELDS = itemgetter("host_port", "locality", "flavor", "cell", "phase", "size", "up_since_ms")


class EndpointListParser:
    """Turns discovery's JSON into a Listing; raises ValueError on what does not fit its form as a whole.

    An entry that reads as it last did gives the same Member, so that a whole list of which little has changed
    costs little more than its JSON.

    An entry that does not fit harms itself only: its backend, where it is named, is taken for gone. Refused
    whole, a change with one bad entry would come again to each call, and nothing be heard of the others.
    """

    def __init__(self, clock: Clock, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self._clock = clock
        self._zones = {name: i for i, name in enumerate(zones)}
        self._kinds = {name: i for i, name in enumerate(kinds)}
        self._read: dict[
            str, tuple[tuple[Any, ...], ListedEndpoint]
        ] = {}  # of each id that is listed, as it came

    def parse(self, doc: Any) -> EndpointList:
        with _form():
            return self._listing(doc, [self._entry(m) for m in _entries(doc)])

    async def parse_aside(self, doc: Any) -> EndpointList:
        """The same in many turns of the loop: a list of thousands would hold up calls for 50 ms."""
        with _form():
            entries, members = _entries(doc), []
            for i in range(0, len(entries), SLICE):
                if i:
                    await asyncio.sleep(0)
                members += [self._entry(m) for m in entries[i : i + SLICE]]
            return self._listing(doc, members)

    def _listing(self, doc: Any, members: list[ListedEndpoint | None]) -> EndpointList:
        told = tuple(m for m in members if m is not None)
        listing = EndpointList(int(doc["revision"]), bool(doc["complete"]), told)
        if listing.complete:
            named = {m.endpoint.id for m in listing.entries}
            self._read = {name: read for name, read in self._read.items() if name in named}
        return listing

    def _entry(self, m: Any) -> ListedEndpoint | None:
        try:
            fields = _FIELDS(m)
            read = self._read.get(m["id"])
            if read is not None and read[0] == fields:
                return read[1]
        except (KeyError, TypeError):
            fields = ()  # some are optional, and what is wrong with the others is said below
        member = self._made(m)
        if member is not None:
            self._read.pop(str(member.endpoint.id), None)
            if fields and member.endpoint.status is not EndpointStatus.REMOVED:
                # What stands in many entries is kept once.
                kept = tuple(sys.intern(x) if type(x) is str else x for x in fields)
                self._read[str(member.endpoint.id)] = kept, member
        return member

    def _made(self, m: Any) -> ListedEndpoint | None:
        try:
            return self._member(m)
        except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as e:
            log.warning("entry of the list left out: %s %s", type(e).__name__, e)
        name = m.get("id") if isinstance(m, dict) else None
        return (
            ListedEndpoint(Endpoint(str(name), EndpointStatus.REMOVED), Address("", 0))
            if isinstance(name, str)
            else None
        )

    def _member(self, m: Any) -> ListedEndpoint:
        size = float(m.get("size") or 1.0)
        if not 0.0 < size < 1e9:  # not finite or below 0 would poison every mean it enters
            raise ValueError(f"size {size}")
        backend = Endpoint(
            str(m["id"]),
            STATES[m["phase"]],
            self._zones.get(m.get("locality"), 0),
            int(m.get("cell") or 0),
            size,
            self._clock.from_unix_ms(int(m.get("up_since_ms") or 0)),
        )
        return ListedEndpoint(backend, parse_address(m["host_port"]))


@contextmanager
def _form() -> Iterator[None]:
    """What is wrong with a list as a whole is a ValueError."""
    try:
        yield
    except (KeyError, TypeError, AttributeError, OverflowError) as e:
        raise ValueError(f"list of backends: {type(e).__name__} {e}") from None


def _entries(doc: Any) -> list[Any]:
    entries = doc["members"]
    if not isinstance(entries, list):
        raise TypeError("members")
    return entries


class _DiscoveryConnection(Connection):
    """A connection to discovery; one call at a time."""

    def __init__(self) -> None:
        super().__init__()
        self._reader = HttpReader(HttpResponseParser, ANSWER_BYTES)
        self._answer: asyncio.Future[bytes] | None = None

    async def get(self, target: str) -> bytes:
        """The body of a 200; anything else raises."""
        self._answer = asyncio.get_running_loop().create_future()
        self.send(encode_request(b"GET", target.encode(), [(b"Host", b"discovery")]))
        return await self._answer

    def on_data(self, data: bytes) -> None:
        whole = self._reader.feed(data)
        if not whole or self._answer is None:
            # Bytes that no one asked for are no answer to the next call.
            if self._reader.error is not None or self._answer is None:
                self._broken(self._reader.error or ConnectionError("unasked bytes"))
            return
        answer = whole[0]
        if not answer.keep_alive or len(whole) > 1 or self._reader.error is not None:
            self.closed = self.discards_input = True
        self._end(None if answer.status == 200 else ConnectionError(f"status {answer.status}"), answer.body)

    def on_handler_error(self) -> None:
        self._broken(ConnectionError("fault while reading"))

    def on_peer_closed(self) -> None:
        self._broken(ConnectionError("connection ended"))

    def _broken(self, error: Exception) -> None:
        self.closed = self.discards_input = True
        self._end(error)

    def _end(self, error: Exception | None, body: bytes | bytearray = b"") -> None:
        answer, self._answer = self._answer, None
        if answer is None or answer.done():
            return
        if error is None:
            answer.set_result(bytes(body))
        else:
            answer.set_exception(error)


class DiscoveryClient:
    """Asks discovery. A watch goes on by itself from call to call until a call fails."""

    def __init__(
        self,
        address: Address,
        parser: EndpointListParser,
        revision: int,
        connect_s: float,
        wait_ms: int = WAIT_MS,
        spread: Random | None = None,
    ) -> None:
        self._address, self._parser, self._connect_s = address, parser, connect_s
        self._wait_ms = wait_ms
        # Where all agents share discovery: a change ends all their calls at once, and did their waits end
        # together too, all would call again at once when they fall silent, and wait in turn beyond the time.
        self._spread = spread
        self._revision: int | None = revision  # None: the next call asks for the whole list
        # The next call does not wait: what was missed is told at once, and silence is found soon.
        self._anew = False
        self._watching: asyncio.Task[None] | None = None
        self._fetches: set[asyncio.Task[None]] = set()

    def watch(self, told: Callable[[EndpointList | None], None]) -> None:
        """Report every change from now on; None, once, when the watch has broken."""
        if self._watching is None or self._watching.done():
            self._watching = asyncio.get_running_loop().create_task(self._watch(told))

    def fetch(self, told: Callable[[EndpointList | None], None]) -> None:
        """Report the whole list once, or None."""
        task = asyncio.get_running_loop().create_task(self._fetch(told))
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def change_address(self, address: Address, told: Callable[[EndpointList | None], None]) -> None:
        """Leave the old address, whose calls end unreported, and begin at the new one with the whole list:
        versions of the one mean nothing to the other.
        """
        if address == self._address:
            return
        for task in (self._watching, *self._fetches):
            if task is not None:
                task.cancel()
        self._address, self._revision, self._watching = address, None, None
        self.watch(told)

    async def _watch(self, told: Callable[[EndpointList | None], None]) -> None:
        call: _DiscoveryConnection | None = None
        try:
            while True:
                if self._revision is None or self._anew:
                    async with asyncio.timeout(ANSWER_S):
                        call = await self._connected(call)
                        body = await call.get(PATH if self._revision is None else self._since(1))
                else:
                    call = await self._connected(call)
                    wait_ms = self._next_wait_ms()
                    try:
                        # Bounded: a machine that is cut off says nothing, and the watch would wait for ever.
                        async with asyncio.timeout(wait_ms / 1000 + LATE_S):
                            body = await call.get(self._since(wait_ms))
                    except TimeoutError:
                        # Silent is no sign of a crowd: opened anew at once, and what it missed is asked for.
                        log.warning("watch of discovery fell silent; opened anew")
                        call.abort()
                        call, self._anew = None, True
                        continue
                # Not timed: it has come, and how long it takes to read is this agent's affair.
                listing = await self._parser.parse_aside(json.loads(body))
                self._anew = False
                if self._revision is not None and listing.revision < self._revision:
                    # Begun ahead of what is known, or of a discovery that counts anew: the whole list tells.
                    held, self._revision = self._revision, None
                    raise ConnectionError(f"revision {listing.revision} is older than {held}")
                self._revision = listing.revision
                if listing.entries or listing.complete:
                    told(listing)
        except Exception as e:
            _failed(e)
            # Where all agents share discovery, one that waited again would be found silent 20 s later, when
            # what it missed has long counted as told. A list at hand comes as soon as it can be had.
            self._anew = self._spread is not None
        finally:
            if call is not None:
                call.abort()
        self._watching = None  # before the report: the answer to it may be the next watch
        told(None)

    def _since(self, wait_ms: int) -> str:
        """What asks for the changes since the list that is held."""
        return f"{PATH}?index={self._revision}&wait={wait_ms}"

    def _next_wait_ms(self) -> int:
        if self._spread is None:
            return self._wait_ms
        return int(self._wait_ms * (0.5 + 0.5 * self._spread.random()))

    async def _fetch(self, told: Callable[[EndpointList | None], None]) -> None:
        call: _DiscoveryConnection | None = None
        listing: EndpointList | None = None
        try:
            async with asyncio.timeout(ANSWER_S):
                call = await self._connected(None)
                body = await call.get(PATH)
            listing = await self._parser.parse_aside(json.loads(body))
            if self._revision is not None and listing.revision < self._revision:
                held, revision, listing = self._revision, listing.revision, None
                raise ConnectionError(f"revision {revision} is older than {held}")
            self._revision = listing.revision
        except Exception as e:
            _failed(e)
        finally:
            if call is not None:
                call.abort()
        told(listing)

    async def _connected(self, call: _DiscoveryConnection | None) -> _DiscoveryConnection:
        """The same connection while discovery keeps it, else a new one."""
        if call is not None:
            if not call.closed:
                return call
            call.abort()
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(min(self._connect_s, ANSWER_S)):
            _, call = await loop.create_connection(
                _DiscoveryConnection, self._address.host, self._address.port
            )
        return call


def _failed(e: Exception) -> None:
    """What discovery does wrong is one line; a fault of the agent's own shows where it is."""
    foreseen = isinstance(e, OSError | ValueError | HttpError)
    log.warning("call to discovery failed: %s", str(e) or type(e).__name__, exc_info=not foreseen)
