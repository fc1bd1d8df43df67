"""The endpoint list of emulated discovery: its changes, and the responses by which clients follow them."""

from __future__ import annotations

import json
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from nickelmount.fleet.versioned_list import (
    ChangeScope,
    ListEntry,
    ServerLayout,
    VersionedList,
    generate_entries,
    pick_server_ids,
)

NOW_MS = 1_700_000_000_000


def new_list(servers: int = 8, history: int = 100) -> VersionedList:
    return VersionedList(generate_entries(ServerLayout(servers, 1, 2, 2, 2, [9001, 9002, 9003])), history)


def ids(versioned_list: VersionedList) -> list[str]:
    return [entry.id for entry in versioned_list.entries()]


def places(versioned_list: VersionedList) -> list[tuple[object, ...]]:
    """Return, for each server, the properties that a server that replaces it must have too."""
    return sorted((e.address, e.zone, e.rack, e.machine_type, e.capacity) for e in versioned_list.entries())


def response(versioned_list: VersionedList, index: int | None) -> Any:
    return json.loads(versioned_list.response_body(index))


def test_a_delta_has_the_latest_state_of_each_changed_server() -> None:
    versioned_list = new_list()
    a, b, other = ids(versioned_list)[:3]
    assert versioned_list.change([a, b], "DRAINING") == 2
    assert versioned_list.change([a], "SERVING", started_at_ms=NOW_MS) == 3
    assert versioned_list.change([b], "DELETED") == 4
    body = response(versioned_list, 1)
    assert (body["revision"], body["complete"]) == (4, False)
    assert {(m["id"], m["phase"], m["up_since_ms"]) for m in body["members"]} == {
        (a, "SERVING", NOW_MS),
        (b, "DELETED", 0),
    }
    assert [m["id"] for m in response(versioned_list, 3)["members"]] == [b]
    assert response(versioned_list, 4) == {"revision": 4, "complete": False, "members": []}
    assert b not in ids(versioned_list)
    assert other in ids(versioned_list)
    assert versioned_list.change([], "DRAINING") == 4  # No entry changes, so no revision is made.


def test_the_response_is_the_complete_list_if_the_history_does_not_reach_back() -> None:
    versioned_list = new_list(history=2)
    deleted, *_, last = ids(versioned_list)
    for id_ in (deleted, last, ids(versioned_list)[1]):
        versioned_list.change([id_], "DELETED" if id_ == deleted else "DRAINING")
    for index in (None, 1, 5, 10**17):  # No index, one before the history, and two ahead.
        body = response(versioned_list, index)
        assert body["complete"]
        assert body["revision"] == 4
        assert [m["id"] for m in body["members"]] == ids(versioned_list)
        assert deleted not in ids(versioned_list)
        assert all(m["phase"] != "DELETED" for m in body["members"])
    assert not response(versioned_list, 2)["complete"]
    versioned_list.forget_history()
    assert response(versioned_list, 3)["complete"]
    assert not response(versioned_list, 4)["complete"]
    versioned_list.forget_history(renumber=True)
    assert response(versioned_list, 4)["complete"]
    assert response(versioned_list, None)["revision"] == 1


def test_a_response_body_is_cached_until_the_next_change() -> None:
    versioned_list = new_list(history=1)
    body = versioned_list.response_body
    versioned_list.change(ids(versioned_list)[:1], "DRAINING")
    bodies = [body(1), body(2), body(None)]
    assert body(1) is bodies[0]
    assert body(2) is bodies[1]
    assert body(0) is body(None) is body(7) is bodies[2]
    versioned_list.change(ids(versioned_list)[:1], "SERVING", started_at_ms=NOW_MS)
    assert body(2) not in bodies


def test_deleted_servers_are_restored_as_they_were_or_replaced() -> None:
    for id_generator in (None, Random(5)):
        versioned_list = new_list()
        places_before = places(versioned_list)
        deleted, draining = ids(versioned_list)[:2], ids(versioned_list)[2]
        versioned_list.change(deleted, "DELETED")
        versioned_list.change([draining], "DRAINING")
        restored = versioned_list.restore(NOW_MS, id_generator)
        assert versioned_list.revision == 4
        assert len(restored) == 3
        assert len(versioned_list.entries("SERVING")) == 8
        assert all(e.started_at_ms == NOW_MS for e in restored)
        assert draining in {e.id for e in restored}
        assert (set(deleted) <= set(ids(versioned_list))) == (id_generator is None)
        assert places(versioned_list) == places_before
        assert versioned_list.restore(NOW_MS) == []
        assert versioned_list.revision == 4


def test_servers_are_spread_evenly_over_racks_and_picked_by_place() -> None:
    layout = ServerLayout(120, 3, 2, 3, 4, [9001, 9002])
    other_seed = ServerLayout(120, 4, 2, 3, 4, [9001, 9002])
    servers = generate_entries(layout)
    assert servers == generate_entries(layout) != generate_entries(other_seed)
    assert len({e.id for e in servers}) == 120
    assert len({e.address for e in servers}) == 2
    assert {e.zone for e in servers} == {f"r{r}-z{z}" for r in range(2) for z in range(3)}
    assert len({e.rack for e in servers}) == len({(e.zone, e.rack) for e in servers}) == 24
    by_id = {e.id: e for e in servers}
    places_to_pick: list[tuple[ChangeScope, int, slice]] = [
        ("zone", 20, slice(None)),
        ("region", 60, slice(2)),
    ]
    for where, size, region_part in places_to_pick:
        picked = pick_server_ids(servers, where, Random(1))
        assert len(picked) == size
        assert len({by_id[i].zone[region_part] for i in picked}) == 1
    rack = pick_server_ids(servers, "rack", Random(1))
    assert len(rack) == 5
    assert len({by_id[i].rack for i in rack}) == 1
    assert len(set(pick_server_ids(servers, "any", Random(1), share=0.3))) == 36
    assert len(pick_server_ids(servers, "any", Random(1), count=500)) == 120
    assert pick_server_ids([], "rack", Random(1)) == []
    with pytest.raises(ValueError, match="where 'any' needs either a share or a count"):
        pick_server_ids(servers, "any", Random(1))


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["drain", "delete", "restore", "replace", "add", "forget", "fetch"]),
        st.integers(0, 5),
    ),
    max_size=30,
)


@given(history=st.integers(0, 12), steps=STEPS, servers=st.integers(0, 8))
def test_a_client_that_applies_all_responses_has_the_list(
    history: int, steps: list[tuple[str, int]], servers: int
) -> None:
    versioned_list = new_list(servers, history)
    known: dict[str, Any] = {}
    index: int | None = None
    for n, (step, count) in enumerate([*steps, ("fetch", 0)]):
        random = Random(n)
        if step in ("drain", "delete"):
            picked = pick_server_ids(versioned_list.entries(), "any", random, count=count)
            versioned_list.change(picked, "DRAINING" if step == "drain" else "DELETED")
        elif step in ("restore", "replace"):
            versioned_list.restore(NOW_MS + n, random if step == "replace" else None)
        elif step == "add":
            versioned_list.add(
                [
                    ListEntry(f"new-{n}-{i}", "h:1", "r0-z0", "mid-1c", 0, "SERVING", 1.0, 0)
                    for i in range(count)
                ]
            )
        elif step == "forget":
            versioned_list.forget_history()
        else:
            body = response(versioned_list, index)
            index = body["revision"]
            if body["complete"]:
                known = {}
            received_ids = [m["id"] for m in body["members"]]
            assert len(received_ids) == len(set(received_ids))
            known.update((m["id"], m) for m in body["members"])
            known = {id_: m for id_, m in known.items() if m["phase"] != "DELETED"}
    assert known == {m["id"]: m for m in response(versioned_list, None)["members"]}
