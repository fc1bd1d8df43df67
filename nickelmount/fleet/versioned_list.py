"""The endpoint list of emulated discovery: entries, revision and last changes. No I/O, no clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any, Literal

import msgspec
from msgspec import field

Phase = Literal["SERVING", "DRAINING", "DELETED"]  # of an entry, as on the wire
Where = Literal["any", "rack", "zone", "region"]

CAPACITIES = {"fast-1c": 2.0, "mid-1c": 1.2, "slow-1c": 0.8}  # by machine type


class ListEntry(msgspec.Struct, frozen=True, gc=False):
    """A server as discovery lists it. Attributes with another name than their key give the key."""

    id: str
    address: str = field(name="host_port")
    zone: str = field(name="locality")  # such as "r0-z1": region 0, zone 1
    machine_type: str = field(name="flavor")
    rack: int = field(name="cell")  # no two zones share a number
    phase: Phase
    capacity: float = field(name="size")
    started_at_ms: int = field(name="up_since_ms")  # Unix time; 0: long ago


class _Body(msgspec.Struct):
    revision: int
    is_complete: bool = field(name="complete")
    entries: list[ListEntry] = field(name="members")


_encode = msgspec.json.Encoder().encode


class VersionedList:
    """The list, its revision, and its last `history` changes.

    All response bodies are kept until the next change: thousands of watches ask for the same one.
    """

    def __init__(self, entries: Iterable[ListEntry], history: int, revision: int = 1) -> None:
        self.revision = revision
        self._listed = {entry.id: entry for entry in entries}
        self._deleted: dict[str, ListEntry] = {}  # that `restore` lists again
        # By revision, the newest last, each entry as it was then: a delta names a deleted one from here.
        self._history: deque[tuple[ListEntry, ...]] = deque(maxlen=history)
        self._bodies: dict[int | None, bytes] = {}  # by base revision

    def entries(self, phase: Phase | None = None) -> list[ListEntry]:
        """Return the entries, or those in one phase; in an order that the same changes always give."""
        return [entry for entry in self._listed.values() if phase is None or entry.phase == phase]

    def phase(self, id_: str) -> Phase | None:
        """Return the phase of an entry; None: it is not listed."""
        entry = self._listed.get(id_)
        return None if entry is None else entry.phase

    # Changes. Each is one revision with all its entries, and none at all where it has none.

    def change(self, ids: Iterable[str], phase: Phase, *, started_at_ms: int | None = None) -> int:
        """Put listed servers into a phase; returns the revision. Raises KeyError where one is not listed."""
        changes: dict[str, Any] = {"phase": phase}
        if started_at_ms is not None:
            changes["started_at_ms"] = started_at_ms
        return self._publish([msgspec.structs.replace(self._listed[id_], **changes) for id_ in ids])

    def add(self, entries: Iterable[ListEntry]) -> int:
        """List more servers; returns the revision."""
        return self._publish(list(entries))

    def restore(self, started_at_ms: int, replaced: Random | None = None) -> list[ListEntry]:
        """Let all that do not serve do so, as processes started at this Unix time; returns their entries.

        With `replaced`, those that were deleted get new ids drawn from it, as other servers in their places.
        """
        restored = [entry for entry in self._listed.values() if entry.phase != "SERVING"]
        deleted, self._deleted = self._deleted, {}
        used_ids = {*self._listed, *deleted}
        restored += [
            entry if replaced is None else msgspec.structs.replace(entry, id=_unused_id(replaced, used_ids))
            for entry in deleted.values()
        ]
        restored = [
            msgspec.structs.replace(entry, phase="SERVING", started_at_ms=started_at_ms) for entry in restored
        ]
        self._publish(restored)
        return restored

    def forget_history(self, renumber: bool = False) -> None:
        """Forget all changes but not the list, as after a restart; `renumber`: and count revisions from 1."""
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
        """Return the revision whose changes since answer a call with this index; None: the complete list."""
        is_remembered = index is not None and self.revision - len(self._history) <= index <= self.revision
        return index if is_remembered else None

    def response_body(self, index: int | None) -> bytes:
        """Return what changed after `index`, each id once in its last state; or the complete list."""
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


def pick(
    entries: Sequence[ListEntry],
    where: Where,
    random: Random,
    *,
    share: float | None = None,
    count: int | None = None,
) -> list[str]:
    """Return ids drawn at random: a share or a count from anywhere, or all of one rack, zone or region.

    Raises ValueError where `where` is "any" and not exactly one of share and count is given.
    """
    if where == "any":
        if (share is None) == (count is None):
            raise ValueError("either a share or a count")
        wanted = count if count is not None else round((share or 0.0) * len(entries))
        return [entry.id for entry in random.sample(entries, min(wanted, len(entries)))]
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
    """How many servers there are, and where."""

    servers: int
    seed: int  # of their ids and machine types
    regions: int
    zones_per_region: int
    racks_per_zone: int
    ports: list[int]  # of 127.0.0.1, which the servers share in turn


def generate(layout: ServerLayout) -> list[ListEntry]:
    """Return servers spread evenly over racks, the same for the same layout."""
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
