"""What discovery knows: the map servers, the revision of that list, and its last changes. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any, Literal

import msgspec

Phase = Literal["SERVING", "DRAINING", "DELETED"]
Where = Literal["any", "rack", "zone", "region"]

SIZES = {"fast-1c": 2.0, "mid-1c": 1.2, "slow-1c": 0.8}  # by flavor


class Entry(msgspec.Struct, frozen=True, gc=False):
    """A map server as discovery lists it. `cell` is the rack's number, and no two zones share one."""

    id: str
    host_port: str
    locality: str
    flavor: str
    cell: int
    phase: Phase
    size: float
    up_since_ms: int  # Unix time; 0: long ago


class _Body(msgspec.Struct):
    revision: int
    complete: bool
    members: list[Entry]


_encode = msgspec.json.Encoder().encode


class Catalog:
    """The list and its last `history` changes.

    All bodies are kept until the next change: thousands of watches ask for the same one.
    """

    def __init__(self, entries: Iterable[Entry], history: int, revision: int = 1) -> None:
        self.revision = revision
        self._listed = {e.id: e for e in entries}
        self._deleted: dict[str, Entry] = {}  # that may come back
        # By revision, the newest last, each entry as it was made then: a deleted one is told from here.
        self._history: deque[tuple[Entry, ...]] = deque(maxlen=history)
        self._bodies: dict[int | None, bytes] = {}  # by base

    def entries(self, phase: Phase | None = None) -> list[Entry]:
        """Those listed, or those of them in one phase; in an order that the same changes always give."""
        return [e for e in self._listed.values() if phase is None or e.phase == phase]

    def phase(self, id_: str) -> Phase | None:
        """None: it is not listed."""
        entry = self._listed.get(id_)
        return None if entry is None else entry.phase

    # Changes; each is one revision with all its entries, and none at all where it has none

    def change(self, ids: Iterable[str], phase: Phase, *, up_since_ms: int | None = None) -> int:
        """Put listed servers into a phase; returns the revision. KeyError: one is not listed."""
        news: dict[str, Any] = {"phase": phase}
        if up_since_ms is not None:
            news["up_since_ms"] = up_since_ms
        return self._made([msgspec.structs.replace(self._listed[i], **news) for i in ids])

    def add(self, entries: Iterable[Entry]) -> int:
        return self._made(list(entries))

    def restore(self, up_since_ms: int, replaced: Random | None = None) -> list[Entry]:
        """All that do not serve come back as processes started at this Unix time, in milliseconds. With
        `replaced` those that were deleted come under ids drawn from it, as others in their places.
        """
        back = [e for e in self._listed.values() if e.phase != "SERVING"]
        gone, self._deleted = self._deleted, {}
        taken = {*self._listed, *gone}
        back += [
            e if replaced is None else msgspec.structs.replace(e, id=_fresh_id(replaced, taken))
            for e in gone.values()
        ]
        back = [msgspec.structs.replace(e, phase="SERVING", up_since_ms=up_since_ms) for e in back]
        self._made(back)
        return back

    def forget_history(self, renumber: bool = False) -> None:
        """As after a restart that has kept the list alone; `renumber`: and counts revisions from 1 again."""
        self._history.clear()
        self._bodies.clear()
        if renumber:
            self.revision = 1

    def _made(self, entries: Sequence[Entry]) -> int:
        if not entries:
            return self.revision
        for e in entries:
            if e.phase == "DELETED":
                self._listed.pop(e.id, None)
                self._deleted[e.id] = e
            else:
                self._listed[e.id] = e
                self._deleted.pop(e.id, None)
        self.revision += 1
        self._history.append(tuple(entries))
        self._bodies.clear()
        return self.revision

    # Answers

    def base(self, index: int | None) -> int | None:
        """The revision whose changes since answer a call with this index; None: only the whole list does."""
        reaches = index is not None and self.revision - len(self._history) <= index <= self.revision
        return index if reaches else None

    def answer(self, index: int | None) -> bytes:
        """What changed after `index`, each id once in its last state; or the whole list."""
        base = self.base(index)
        body = self._bodies.get(base)
        if body is None:
            members = self._listed.values() if base is None else self._since(base)
            body = self._bodies[base] = _encode(_Body(self.revision, base is None, list(members)))
        return body

    def _since(self, base: int) -> Iterable[Entry]:
        last: dict[str, Entry] = {}
        for age in range(self.revision - base):
            for e in self._history[-1 - age]:
                last.setdefault(e.id, e)
        return last.values()


def pick(
    entries: Sequence[Entry],
    where: Where,
    random: Random,
    *,
    share: float | None = None,
    count: int | None = None,
) -> list[str]:
    """Ids of so many entries, drawn anywhere, or of all in one whole rack, zone or region."""
    if where == "any":
        if (share is None) == (count is None):
            raise ValueError("either a share or a count")
        most = count if count is not None else round((share or 0.0) * len(entries))
        return [e.id for e in random.sample(entries, min(most, len(entries)))]
    unit = _UNITS[where]
    units = sorted({unit(e) for e in entries})
    chosen = random.choice(units) if units else None
    return [e.id for e in entries if unit(e) == chosen]


_UNITS: dict[str, Callable[[Entry], str]] = {
    "rack": lambda e: f"{e.locality} {e.cell}",
    "zone": lambda e: e.locality,
    "region": lambda e: e.locality.partition("-")[0],
}


def generate(
    servers: int, seed: int, regions: int, zones_per_region: int, racks_per_zone: int, ports: Sequence[int]
) -> list[Entry]:
    """A fleet spread evenly over its racks, the same for the same arguments."""
    random = Random(seed)
    zones = [f"r{r}-z{z}" for z in range(zones_per_region) for r in range(regions)]
    racks = [
        (zone, n * racks_per_zone + rack) for rack in range(racks_per_zone) for n, zone in enumerate(zones)
    ]
    taken: set[str] = set()
    entries = []
    for i in range(servers):
        zone, rack = racks[i % len(racks)]
        flavor = random.choice(list(SIZES))
        host_port = f"127.0.0.1:{ports[i % len(ports)]}"
        size = SIZES[flavor]
        entries.append(Entry(_fresh_id(random, taken), host_port, zone, flavor, rack, "SERVING", size, 0))
    return entries


def _fresh_id(random: Random, taken: set[str]) -> str:
    while (id_ := f"s-{random.getrandbits(32):08x}") in taken:
        pass
    taken.add(id_)
    return id_
