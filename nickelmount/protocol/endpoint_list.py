"""The endpoint list: request targets for the calls to discovery, and a parser for its JSON.

This is the only place that maps the names in that JSON (`members`, `host_port`, `locality`, `phase`,
`size`, `up_since_ms`) to the names that the balancer uses. Fields that no decision uses, such as `flavor`,
are ignored.
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

# Entries that are parsed in one iteration of the event loop, which takes half a millisecond.
ENTRIES_PER_SLICE = 64
MAX_CAPACITY_HINT = 1e9  # The `size` of an entry must be below this.
STATUS_OF_PHASE = {
    "SERVING": EndpointStatus.READY,
    "DRAINING": EndpointStatus.DRAINING,
    "DELETED": EndpointStatus.REMOVED,
}
_NO_ADDRESS = Address("", 0)  # Address of an endpoint that is removed because its entry is invalid.
_get_used_fields = itemgetter("host_port", "locality", "cell", "phase", "size", "up_since_ms")


def complete_list_target() -> str:
    """Return the request target for the complete list, which discovery answers at once."""
    return ENDPOINT_LIST_PATH


def changes_target(revision: int | None, wait_ms: int) -> str:
    """Return the request target for the changes after a revision.

    If there are none, discovery delays its answer until there is a change, for up to wait_ms.
    """
    return f"{ENDPOINT_LIST_PATH}?index={revision}&wait={wait_ms}"


@dataclass(slots=True, frozen=True)
class ListedEndpoint:
    """An entry of the endpoint list: the endpoint as the balancer gets it, and its address."""

    endpoint: Endpoint
    address: Address

    def is_same_process_as(self, other: ListedEndpoint | None) -> bool:
        """Return whether both entries describe the same process, so that connections to it can be kept."""
        return (
            other is not None
            and self.address == other.address
            and self.endpoint.started_at_us == other.endpoint.started_at_us
        )


@dataclass(slots=True, frozen=True)
class EndpointList:
    """An answer of discovery: the complete list, or only the entries that have changed."""

    revision: int
    is_complete: bool
    entries: tuple[ListedEndpoint, ...]


class WallClock(Protocol):
    """The part of the agent's clock that a parser needs."""

    def from_unix_ms(self, ms: int) -> int:
        """Convert a Unix time in milliseconds to monotonic time in microseconds; 0 (long ago) stays 0."""


# A parsed entry: the values of its used fields in the document, and the result of parsing them. It is a plain
# tuple and not a named one, because a large list has thousands of entries and named items are slower to read.
_CachedEntry = tuple[tuple[Any, ...], ListedEndpoint]


class EndpointListParser:
    """A parser for discovery's JSON. It raises EndpointListError if a document is not an endpoint list.

    An entry whose fields have not changed yields the same ListedEndpoint as before, so that a complete list
    with few changes costs little more than decoding its JSON.

    An invalid entry affects only its own endpoint, which counts as removed if the entry has an id. If the
    whole document were rejected, discovery would send a change with one invalid entry again in answer to each
    call, and changes of the other endpoints would never be applied.
    """

    def __init__(self, clock: WallClock, zones: tuple[str, ...]) -> None:
        """Create a parser. The position of a `locality` in `zones` is its zone number in the balancer."""
        self._clock = clock
        self._zone_numbers = {name: number for number, name in enumerate(zones)}
        self._cache: dict[str, _CachedEntry] = {}  # Parsed entries of the listed endpoints, by id.

    @property
    def cached_entry_count(self) -> int:
        """The number of cached entries, which are not parsed again if they have not changed."""
        return len(self._cache)

    def parse(self, document: Any) -> EndpointList:
        """Parse a decoded document in one go."""
        with _as_endpoint_list_error():
            entries = [self._get_or_parse_entry(raw) for raw in _raw_entries(document)]
            return self._build_list(document, entries)

    async def parse_in_slices(self, document: Any) -> EndpointList:
        """Parse a decoded document in slices, over many iterations of the event loop.

        A list of thousands of entries takes 50 ms to parse, which would delay requests if it were done in one
        go.
        """
        with _as_endpoint_list_error():
            raw_entries = _raw_entries(document)
            entries: list[ListedEndpoint | None] = []
            for start in range(0, len(raw_entries), ENTRIES_PER_SLICE):
                if start:
                    await asyncio.sleep(0)
                entries += [
                    self._get_or_parse_entry(raw) for raw in raw_entries[start : start + ENTRIES_PER_SLICE]
                ]
            return self._build_list(document, entries)

    async def parse_body(self, body: bytes) -> EndpointList:
        """Decode the JSON body of an answer, and parse it over many iterations of the event loop.

        If the caller does not keep the body, it is freed before the entries are built.
        """
        try:
            document = json.loads(body)
        except ValueError as error:
            raise EndpointListError(f"endpoint list is not JSON: {error}") from error
        del body
        return await self.parse_in_slices(document)

    def _build_list(self, document: Any, entries: list[ListedEndpoint | None]) -> EndpointList:
        """Return the list without entries that are None.

        If the list is complete, the endpoints that it does not contain are dropped from the cache.
        """
        identified = tuple(entry for entry in entries if entry is not None)
        endpoint_list = EndpointList(int(document["revision"]), bool(document["complete"]), identified)
        if endpoint_list.is_complete:
            listed_ids = {entry.endpoint.id for entry in endpoint_list.entries}
            self._cache = {
                endpoint_id: cached
                for endpoint_id, cached in self._cache.items()
                if endpoint_id in listed_ids
            }
        return endpoint_list

    def _get_or_parse_entry(self, raw: Any) -> ListedEndpoint | None:
        """Return the entry, from the cache if it has not changed; None if it is invalid and has no id."""
        try:
            used_fields = _get_used_fields(raw)
            cached = self._cache.get(raw["id"])
            if cached is not None and cached[0] == used_fields:
                return cached[1]
        except (KeyError, TypeError):
            # The entry is not cached, because it lacks a field or is not an object. If that makes it invalid,
            # parsing logs it.
            used_fields = ()
        listed = self._parse_or_remove(raw)
        if listed is not None:
            self._update_cache(listed, used_fields)
        return listed

    def _update_cache(self, listed: ListedEndpoint, used_fields: tuple[Any, ...]) -> None:
        endpoint_id = str(listed.endpoint.id)
        self._cache.pop(endpoint_id, None)
        if used_fields and listed.endpoint.status is not EndpointStatus.REMOVED:
            # Strings are interned, so that a value that many entries contain is stored once.
            interned = tuple(sys.intern(x) if type(x) is str else x for x in used_fields)
            self._cache[endpoint_id] = interned, listed

    def _parse_or_remove(self, raw: Any) -> ListedEndpoint | None:
        """Parse an entry. An invalid one yields a removed endpoint, or None if it has no id."""
        try:
            return self._parse_entry(raw)
        except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
            log.warning("invalid entry of the endpoint list: %s %s", type(error).__name__, error)
        endpoint_id = raw.get("id") if isinstance(raw, dict) else None
        if not isinstance(endpoint_id, str):
            return None
        return ListedEndpoint(Endpoint(endpoint_id, EndpointStatus.REMOVED), _NO_ADDRESS)

    def _parse_entry(self, raw: Any) -> ListedEndpoint:
        capacity_hint = float(raw.get("size") or 1.0)
        if not 0.0 < capacity_hint < MAX_CAPACITY_HINT:
            # A hint that is infinite, negative or not a number would corrupt every mean that includes it.
            raise ValueError(f"size is {capacity_hint}, but must be above 0 and below {MAX_CAPACITY_HINT:g}")
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
    """Convert the errors from parsing a malformed document to EndpointListError."""
    try:
        yield
    except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
        raise EndpointListError(f"endpoint list is invalid: {type(error).__name__} {error}") from None


def _raw_entries(document: Any) -> list[Any]:
    raw_entries = document["members"]
    if not isinstance(raw_entries, list):
        raise TypeError(f"members is of type {type(raw_entries).__name__}, but must be a list")
    return raw_entries
