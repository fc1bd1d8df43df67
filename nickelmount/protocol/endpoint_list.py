"""The endpoint list: the calls that ask discovery for it, and its JSON.

This is the one place where the names of that document (`members`, `host_port`, `locality`, `phase`, `size`,
`up_since_ms`) stand beside the balancer's. Fields that no decision uses, such as `flavor`, are skipped.
"""

from __future__ import annotations

import asyncio
import json
import logging
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from operator import itemgetter
from typing import Any, Protocol

from nickelmount.balancer.events import Endpoint, EndpointStatus
from nickelmount.errors import EndpointListError

from .address import Address, parse_address
from .http_names import ENDPOINT_LIST_PATH

log = logging.getLogger(__name__)

ENTRIES_PER_SLICE = 64  # read in one iteration of the event loop: half a millisecond
MAX_CAPACITY_HINT = 1e9
STATUS_OF_PHASE = {
    "SERVING": EndpointStatus.READY,
    "DRAINING": EndpointStatus.DRAINING,
    "DELETED": EndpointStatus.REMOVED,
}
_NO_ADDRESS = Address("", 0)  # of an endpoint that is removed because its entry could not be read
_DECISIVE_FIELDS = itemgetter("host_port", "locality", "cell", "phase", "size", "up_since_ms")


def complete_list_target() -> str:
    """The request target that asks for the complete list; discovery answers it at once."""
    return ENDPOINT_LIST_PATH


def changes_target(revision: int | None, wait_ms: int) -> str:
    """The request target that asks for what changed after a revision.

    Where nothing has, discovery holds its answer back for up to wait_ms, until something does.
    """
    return f"{ENDPOINT_LIST_PATH}?index={revision}&wait={wait_ms}"


@dataclass(slots=True, frozen=True)
class ListedEndpoint:
    """An entry of the list: what the balancer is to know of an endpoint, and where it listens."""

    endpoint: Endpoint
    address: Address

    def is_same_process_as(self, other: ListedEndpoint | None) -> bool:
        """Whether a connection to the one leads to the other."""
        return (
            other is not None
            and self.address == other.address
            and self.endpoint.started_at_us == other.endpoint.started_at_us
        )


@dataclass(slots=True, frozen=True)
class EndpointList:
    """An answer of discovery: the complete list, or the entries that changed."""

    revision: int
    is_complete: bool
    entries: tuple[ListedEndpoint, ...]


class WallClock(Protocol):
    """What a parser needs of the agent's clock."""

    def from_unix_ms(self, ms: int) -> int:
        """A Unix time in milliseconds as monotonic time in microseconds; 0 (long ago) stays 0."""


# An entry as it was last read: its fields as they stood in the document, and what they were read as. It is a
# plain tuple because a large list has thousands, and a lookup in one takes longer where its items have names.
_CachedEntry = tuple[tuple[Any, ...], ListedEndpoint]


class EndpointListParser:
    """Turns discovery's JSON into an EndpointList; raises EndpointListError where the document is none.

    An entry that reads as it last did gives the same ListedEndpoint, so that a complete list of which little
    has changed costs little more than its JSON.

    An entry that cannot be read harms itself only: its endpoint, where it is named, counts as removed. Were
    the document refused, a change with one bad entry would be sent again in answer to each call, and no
    change of the other endpoints would become known.
    """

    def __init__(self, clock: WallClock, zones: tuple[str, ...]) -> None:
        """`zones` are the known values of `locality`; the balancer counts zones by their place in it."""
        self._clock = clock
        self._zone_numbers = {name: number for number, name in enumerate(zones)}
        self._cache: dict[str, _CachedEntry] = {}  # by id, of the endpoints that are listed

    @property
    def cached_entry_count(self) -> int:
        """How many entries are remembered, so that equal ones need not be read again."""
        return len(self._cache)

    def parse(self, document: Any) -> EndpointList:
        """Read a decoded document in one go."""
        with _as_endpoint_list_error():
            entries = [self._read_entry(raw) for raw in _raw_entries(document)]
            return self._build_list(document, entries)

    async def parse_in_slices(self, document: Any) -> EndpointList:
        """Read a decoded document over many turns of the event loop.

        A list of thousands takes 50 ms, for which requests would be held up if it were read in one go.
        """
        with _as_endpoint_list_error():
            raw_entries = _raw_entries(document)
            entries: list[ListedEndpoint | None] = []
            for start in range(0, len(raw_entries), ENTRIES_PER_SLICE):
                if start:
                    await asyncio.sleep(0)
                entries += [self._read_entry(raw) for raw in raw_entries[start : start + ENTRIES_PER_SLICE]]
            return self._build_list(document, entries)

    async def parse_body(self, body: bytes) -> EndpointList:
        """Decode the body of an answer, and read it over many turns of the event loop."""
        try:
            document = json.loads(body)
        except ValueError as error:
            raise EndpointListError(f"endpoint list: {error}") from error
        return await self.parse_in_slices(document)

    def _build_list(self, document: Any, entries: list[ListedEndpoint | None]) -> EndpointList:
        readable = tuple(entry for entry in entries if entry is not None)
        endpoint_list = EndpointList(int(document["revision"]), bool(document["complete"]), readable)
        if endpoint_list.is_complete:
            listed_ids = {entry.endpoint.id for entry in endpoint_list.entries}
            self._cache = {name: cached for name, cached in self._cache.items() if name in listed_ids}
        return endpoint_list

    def _read_entry(self, raw: Any) -> ListedEndpoint | None:
        """The entry, from the cache if it reads as before; None if it cannot be read and names no one."""
        try:
            decisive_fields = _DECISIVE_FIELDS(raw)
            cached = self._cache.get(raw["id"])
            if cached is not None and cached[0] == decisive_fields:
                return cached[1]
        except (KeyError, TypeError):
            decisive_fields = ()  # not cached; a field is missing, and if it is not optional, that is logged
        listed = self._parse_or_remove(raw)
        if listed is not None:
            self._remember(listed, decisive_fields)
        return listed

    def _remember(self, listed: ListedEndpoint, decisive_fields: tuple[Any, ...]) -> None:
        name = str(listed.endpoint.id)
        self._cache.pop(name, None)
        if decisive_fields and listed.endpoint.status is not EndpointStatus.REMOVED:
            # Strings that stand in many entries are stored once.
            interned = tuple(sys.intern(x) if type(x) is str else x for x in decisive_fields)
            self._cache[name] = interned, listed

    def _parse_or_remove(self, raw: Any) -> ListedEndpoint | None:
        try:
            return self._parse_entry(raw)
        except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
            log.warning("entry of the endpoint list skipped: %s %s", type(error).__name__, error)
        name = raw.get("id") if isinstance(raw, dict) else None
        if not isinstance(name, str):
            return None
        return ListedEndpoint(Endpoint(name, EndpointStatus.REMOVED), _NO_ADDRESS)

    def _parse_entry(self, raw: Any) -> ListedEndpoint:
        capacity_hint = float(raw.get("size") or 1.0)
        if not 0.0 < capacity_hint < MAX_CAPACITY_HINT:
            # Infinite, negative or not a number, it would spoil every mean that it enters.
            raise ValueError(f"size {capacity_hint}")
        endpoint = Endpoint(
            id=str(raw["id"]),
            status=STATUS_OF_PHASE[raw["phase"]],
            zone=self._zone_numbers.get(raw.get("locality"), 0),
            cell=int(raw.get("cell") or 0),
            capacity_hint=capacity_hint,
            started_at_us=self._clock.from_unix_ms(int(raw.get("up_since_ms") or 0)),
        )
        return ListedEndpoint(endpoint, parse_address(raw["host_port"]))


@contextmanager
def _as_endpoint_list_error() -> Iterator[None]:
    """Map the errors of reading a document that is no endpoint list."""
    try:
        yield
    except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
        raise EndpointListError(f"endpoint list: {type(error).__name__} {error}") from None


def _raw_entries(document: Any) -> list[Any]:
    raw_entries = document["members"]
    if not isinstance(raw_entries, list):
        raise TypeError("members")
    return raw_entries
