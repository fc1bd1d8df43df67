"""The endpoint list of emulated discovery, with its revision and its latest changes.

Nothing here does I/O or reads a clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any, Literal

import msgspec
from msgspec import field

Phase = Literal["SERVING", "DRAINING", "DELETED"]  # Phase of an entry as it is on the wire.
ChangeScope = Literal["any", "rack", "zone", "region"]

CAPACITIES = {"fast-1c": 2.0, "mid-1c": 1.2, "slow-1c": 0.8}  # Capacity by machine type.


class ListEntry(msgspec.Struct, frozen=True, gc=False):
    """A server as discovery lists it. A field whose name differs from its key gives the key as `name`."""

    id: str
    address: str = field(name="host_port")
    zone: str = field(name="locality")  # For example "r0-z1" for region 0, zone 1.
    machine_type: str = field(name="flavor")
    rack: int = field(name="cell")  # Rack number, which is unique across zones.
    phase: Phase
    capacity: float = field(name="size")
    started_at_ms: int = field(name="up_since_ms")  # Unix time in ms; 0 if long ago.


class _Body(msgspec.Struct):
    revision: int
    is_complete: bool = field(name="complete")
    entries: list[ListEntry] = field(name="members")


_encode = msgspec.json.Encoder().encode


class VersionedList:
    """The endpoint list, its revision, and up to `history` of its latest changes.

    Response bodies are cached until the next change, because thousands of watches ask for the same one.
    """

    def __init__(self, entries: Iterable[ListEntry], history: int, revision: int = 1) -> None:
        self.revision = revision
        self._listed = {entry.id: entry for entry in entries}
        self._deleted: dict[str, ListEntry] = {}  # Deleted entries by id; `restore` lists them again.
        # The entries that each revision changed, as they were in that revision, with the latest revision
        # last. Deltas are built from these entries, because a deleted server is no longer listed.
        self._history: deque[tuple[ListEntry, ...]] = deque(maxlen=history)
        self._bodies: dict[int | None, bytes] = {}  # Cached response bodies by base revision.

    def entries(self, phase: Phase | None = None) -> list[ListEntry]:
        """Return all entries, or those in one phase. The same sequence of changes gives the same order."""
        return [entry for entry in self._listed.values() if phase is None or entry.phase == phase]

    def phase(self, id_: str) -> Phase | None:
        """Return the phase of an entry, or None if it is not listed."""
        entry = self._listed.get(id_)
        return None if entry is None else entry.phase

    # Changes. Each call of `change`, `add` or `restore` makes one new revision that contains all changed
    # entries. If no entry changes, no revision is made.

    def change(self, ids: Iterable[str], phase: Phase, *, started_at_ms: int | None = None) -> int:
        """Move listed servers to a phase, and return the revision; raises KeyError if one is not listed."""
        changes: dict[str, Any] = {"phase": phase}
        if started_at_ms is not None:
            changes["started_at_ms"] = started_at_ms
        return self._publish([msgspec.structs.replace(self._listed[id_], **changes) for id_ in ids])

    def add(self, entries: Iterable[ListEntry]) -> int:
        """Add servers to the list, and return the revision."""
        return self._publish(list(entries))

    def restore(self, started_at_ms: int, id_generator: Random | None = None) -> list[ListEntry]:
        """Let all draining and deleted servers serve again, and return their new entries.

        `started_at_ms` is the Unix time in ms at which their processes started. With `id_generator`, deleted
        servers get new random ids, as if other servers had taken their places.
        """
        restored = [entry for entry in self._listed.values() if entry.phase != "SERVING"]
        deleted, self._deleted = self._deleted, {}
        used_ids = {*self._listed, *deleted}
        restored += [
            entry
            if id_generator is None
            else msgspec.structs.replace(entry, id=_unused_id(id_generator, used_ids))
            for entry in deleted.values()
        ]
        restored = [
            msgspec.structs.replace(entry, phase="SERVING", started_at_ms=started_at_ms) for entry in restored
        ]
        self._publish(restored)
        return restored

    def forget_history(self, renumber: bool = False) -> None:
        """Forget all changes but keep the list, as after a restart of discovery.

        With `renumber`, revisions start again from 1.
        """
        self._history.clear()
        self._bodies.clear()
        if renumber:
            self.revision = 1

    def _publish(self, entries: Sequence[ListEntry]) -> int:
        if not entries:
            return self.revision
        for entry in entries:
            if entry.phase == "DELETED":
                self._listed.pop(entry.id, None)
                self._deleted[entry.id] = entry
            else:
                self._listed[entry.id] = entry
                self._deleted.pop(entry.id, None)
        self.revision += 1
        self._history.append(tuple(entries))
        self._bodies.clear()
        return self.revision

    # Responses

    def base_revision(self, index: int | None) -> int | None:
        """Return the revision from which a delta can be sent to a client that has revision `index`.

        Returns None if the client needs the complete list.
        """
        is_remembered = index is not None and self.revision - len(self._history) <= index <= self.revision
        return index if is_remembered else None

    def response_body(self, index: int | None) -> bytes:
        """Return the encoded delta from revision `index`, or the complete list if a delta is not possible.

        A delta has each changed entry once, in its latest state.
        """
        base = self.base_revision(index)
        body = self._bodies.get(base)
        if body is None:
            entries = self._listed.values() if base is None else self._changed_since(base)
            body = self._bodies[base] = _encode(_Body(self.revision, base is None, list(entries)))
        return body

    def _changed_since(self, base: int) -> Iterable[ListEntry]:
        latest: dict[str, ListEntry] = {}
        for age in range(self.revision - base):
            for entry in self._history[-1 - age]:
                latest.setdefault(entry.id, entry)
        return latest.values()


def pick_server_ids(
    entries: Sequence[ListEntry],
    where: ChangeScope,
    random: Random,
    *,
    share: float | None = None,
    count: int | None = None,
) -> list[str]:
    """Return the ids of a random choice of servers.

    If `where` is "any", the choice is a share or a count of the entries. Otherwise it is all entries of one
    rack, zone or region. Raises ValueError if `where` is "any" and not exactly one of `share` and `count` is
    given.
    """
    if where == "any":
        if (share is None) == (count is None):
            raise ValueError("where 'any' needs either a share or a count")
        sample_size = count if count is not None else round((share or 0.0) * len(entries))
        return [entry.id for entry in random.sample(entries, min(sample_size, len(entries)))]
    place_of = _PLACES[where]
    places = sorted({place_of(entry) for entry in entries})
    chosen = random.choice(places) if places else None
    return [entry.id for entry in entries if place_of(entry) == chosen]


_PLACES: dict[str, Callable[[ListEntry], str]] = {
    "rack": lambda entry: f"{entry.zone} {entry.rack}",
    "zone": lambda entry: entry.zone,
    "region": lambda entry: entry.zone.partition("-")[0],
}


class ServerLayout(msgspec.Struct, frozen=True):
    """The number of servers and their distribution over regions, zones, racks and ports."""

    servers: int
    seed: int  # Seed of the random ids and machine types.
    regions: int
    zones_per_region: int
    racks_per_zone: int
    ports: list[int]  # Ports on 127.0.0.1, which are assigned to the servers in rotation.


def generate_entries(layout: ServerLayout) -> list[ListEntry]:
    """Return the entries of servers spread evenly over racks; equal layouts give equal entries."""
    random = Random(layout.seed)
    zones = [
        f"r{region}-z{zone}" for zone in range(layout.zones_per_region) for region in range(layout.regions)
    ]
    racks = [
        (zone, position * layout.racks_per_zone + rack)
        for rack in range(layout.racks_per_zone)
        for position, zone in enumerate(zones)
    ]
    used_ids: set[str] = set()
    entries = []
    for number in range(layout.servers):
        zone, rack = racks[number % len(racks)]
        machine_type = random.choice(list(CAPACITIES))
        entries.append(
            ListEntry(
                id=_unused_id(random, used_ids),
                address=f"127.0.0.1:{layout.ports[number % len(layout.ports)]}",
                zone=zone,
                machine_type=machine_type,
                rack=rack,
                phase="SERVING",
                capacity=CAPACITIES[machine_type],
                started_at_ms=0,
            )
        )
    return entries


def _unused_id(random: Random, used_ids: set[str]) -> str:
    while (id_ := f"s-{random.getrandbits(32):08x}") in used_ids:
        pass
    used_ids.add(id_)
    return id_
