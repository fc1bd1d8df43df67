"""What a discovery answers by index: the client ends with its list, whatever has become of the history."""

from __future__ import annotations

import json
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from nickelmount.fleet.catalog import Catalog, Entry, Where, generate, pick

NOW = 1_700_000_000_000


def catalog(servers: int = 8, history: int = 100) -> Catalog:
    return Catalog(generate(servers, 1, 2, 2, 2, [9001, 9002, 9003]), history)


def ids(c: Catalog) -> list[str]:
    return [e.id for e in c.entries()]


def asked(c: Catalog, index: int | None) -> Any:
    return json.loads(c.answer(index))


def test_changes_are_folded_to_the_last_state_of_each() -> None:
    c = catalog()
    a, b, other = ids(c)[:3]
    assert c.change([a, b], "DRAINING") == 2
    assert c.change([a], "SERVING", up_since_ms=NOW) == 3
    assert c.change([b], "DELETED") == 4
    body = asked(c, 1)
    assert (body["revision"], body["complete"]) == (4, False)
    assert {(m["id"], m["phase"], m["up_since_ms"]) for m in body["members"]} == {
        (a, "SERVING", NOW),
        (b, "DELETED", 0),
    }
    assert [m["id"] for m in asked(c, 3)["members"]] == [b]
    assert asked(c, 4) == {"revision": 4, "complete": False, "members": []}
    assert b not in ids(c)
    assert other in ids(c)
    assert c.change([], "DRAINING") == 4  # nothing is no change


def test_the_whole_list_where_changes_do_not_tell() -> None:
    c = catalog(history=2)
    gone, *_, last = ids(c)
    for id_ in (gone, last, ids(c)[1]):
        c.change([id_], "DELETED" if id_ == gone else "DRAINING")
    for index in (None, 1, 5, 10**17):  # none, out of reach, ahead
        body = asked(c, index)
        assert body["complete"]
        assert body["revision"] == 4
        assert [m["id"] for m in body["members"]] == ids(c)
        assert gone not in ids(c)
        assert all(m["phase"] != "DELETED" for m in body["members"])
    assert not asked(c, 2)["complete"]
    c.forget_history()
    assert asked(c, 3)["complete"]
    assert not asked(c, 4)["complete"]
    c.forget_history(renumber=True)
    assert asked(c, 4)["complete"]
    assert asked(c, None)["revision"] == 1


def test_the_same_body_until_the_next_change() -> None:
    c = catalog(history=1)
    c.change(ids(c)[:1], "DRAINING")
    held = [c.answer(1), c.answer(2), c.answer(None)]
    assert c.answer(1) is held[0]
    assert c.answer(2) is held[1]
    assert c.answer(0) is c.answer(None) is c.answer(7) is held[2]
    c.change(ids(c)[:1], "SERVING", up_since_ms=NOW)
    assert c.answer(2) not in held


def test_what_was_deleted_comes_back_as_it_was_or_replaced() -> None:
    for replaced in (None, Random(5)):
        c = catalog()
        places = sorted((e.host_port, e.locality, e.cell, e.flavor, e.size) for e in c.entries())
        gone, drains = ids(c)[:2], ids(c)[2]
        c.change(gone, "DELETED")
        c.change([drains], "DRAINING")
        back = c.restore(NOW, replaced)
        assert c.revision == 4
        assert len(back) == 3
        assert len(c.entries("SERVING")) == 8
        assert all(e.up_since_ms == NOW for e in back)
        assert drains in {e.id for e in back}
        assert (set(gone) <= set(ids(c))) == (replaced is None)
        assert places == sorted((e.host_port, e.locality, e.cell, e.flavor, e.size) for e in c.entries())
        assert c.restore(NOW) == []
        assert c.revision == 4


def test_a_fleet_is_spread_over_its_racks_and_picked_from_by_place() -> None:
    fleet = generate(120, 3, 2, 3, 4, [9001, 9002])
    assert fleet == generate(120, 3, 2, 3, 4, [9001, 9002]) != generate(120, 4, 2, 3, 4, [9001, 9002])
    assert len({e.id for e in fleet}) == 120
    assert len({e.host_port for e in fleet}) == 2
    assert {e.locality for e in fleet} == {f"r{r}-z{z}" for r in range(2) for z in range(3)}
    assert len({e.cell for e in fleet}) == len({(e.locality, e.cell) for e in fleet}) == 24
    by_id = {e.id: e for e in fleet}
    places: list[tuple[Where, int, slice]] = [("zone", 20, slice(None)), ("region", 60, slice(2))]
    for where, size, part in places:
        picked = pick(fleet, where, Random(1))
        assert len(picked) == size
        assert len({by_id[i].locality[part] for i in picked}) == 1
    rack = pick(fleet, "rack", Random(1))
    assert len(rack) == 5
    assert len({by_id[i].cell for i in rack}) == 1
    assert len(set(pick(fleet, "any", Random(1), share=0.3))) == 36
    assert len(pick(fleet, "any", Random(1), count=500)) == 120
    assert pick([], "rack", Random(1)) == []
    with pytest.raises(ValueError, match="either a share or a count"):
        pick(fleet, "any", Random(1))


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["drain", "delete", "back", "replace", "add", "forget", "ask"]), st.integers(0, 5)
    ),
    max_size=30,
)


@given(history=st.integers(0, 12), steps=STEPS, servers=st.integers(0, 8))
def test_who_applies_the_answers_ends_with_the_list(
    history: int, steps: list[tuple[str, int]], servers: int
) -> None:
    c = catalog(servers, history)
    known: dict[str, Any] = {}
    index: int | None = None
    for n, (step, count) in enumerate([*steps, ("ask", 0)]):
        random = Random(n)
        if step in ("drain", "delete"):
            picked = pick(c.entries(), "any", random, count=count)
            c.change(picked, "DRAINING" if step == "drain" else "DELETED")
        elif step in ("back", "replace"):
            c.restore(NOW + n, random if step == "replace" else None)
        elif step == "add":
            c.add(
                [Entry(f"new-{n}-{i}", "h:1", "r0-z0", "mid-1c", 0, "SERVING", 1.0, 0) for i in range(count)]
            )
        elif step == "forget":
            c.forget_history()
        else:
            body = asked(c, index)
            index = body["revision"]
            if body["complete"]:
                known = {}
            named = [m["id"] for m in body["members"]]
            assert len(named) == len(set(named))
            known.update((m["id"], m) for m in body["members"])
            known = {id_: m for id_, m in known.items() if m["phase"] != "DELETED"}
    assert known == {m["id"]: m for m in asked(c, None)["members"]}
