"""The experiment file: sizes, seed and events, read from TOML and checked before anything starts."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

WORKERS_MOST = 64  # processes of hollow agents; with at most 32 real ones and the rest well under 200

Share = Annotated[float, Meta(gt=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=3600)]
Count = Annotated[int, Meta(ge=0, le=100_000)]


class ExperimentError(Exception):
    """The file cannot be used; the text is one line that names the key and the fault."""


class Table(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table of the file. What is not known is refused: a misspelt key must not pass for its default."""


class Servers(Table, frozen=True):
    """The map servers that discovery lists, and the plain ones that answer for them."""

    listed: Annotated[int, Meta(ge=1, le=20_000)] = 200
    regions: Annotated[int, Meta(ge=1, le=100)] = 3
    zones_per_region: Annotated[int, Meta(ge=1, le=100)] = 4
    racks_per_zone: Annotated[int, Meta(ge=1, le=1000)] = 5
    sockets: Annotated[int, Meta(ge=1, le=256)] = 32  # listening sockets that all of them share
    work_ms: Annotated[float, Meta(ge=0, le=10_000)] = 0.0


class Agents(Table, frozen=True):
    """The agents."""

    hollow: Count = 40  # whole lists and decision state, no application
    real: Annotated[int, Meta(ge=0, le=32)] = 1  # processes of their own, with calls
    workers: Annotated[int, Meta(ge=0, le=WORKERS_MOST)] = 0  # processes of hollow ones; 0: by cores
    shared: bool = False  # hollow agents of a process share the entries of equal lists
    siblings: Count = 0  # told to each as the number of agents, if there are no more; 0: one for each server


class DiscoveryTable(Table, frozen=True):
    """The stand-in for discovery."""

    mode: Literal["ask", "push"] = "ask"
    history: Annotated[int, Meta(ge=0, le=1_000_000)] = 1024  # changes that it can tell one by one


class Calls(Table, frozen=True):
    """Open-loop arrivals, through each real agent and, in the same run, sent directly."""

    rate: Annotated[float, Meta(gt=0, le=1000)] = 70.0  # a second for each real agent
    direct_rate: Annotated[float, Meta(gt=0, le=10_000)] = 70.0
    arrivals: Literal["poisson", "even"] = "poisson"
    timeout_ms: Annotated[int, Meta(ge=10, le=60_000)] = 2000
    body_bytes: Annotated[int, Meta(ge=0, le=65_536)] = 0


class Event(Table, tag_field="kind", frozen=True):
    """Something that happens, `at_s` after the measured time began."""

    at_s: Seconds


class Change(Event, tag="change", frozen=True):
    """Servers change their phase, in one revision. SERVING: those that did not serve come back restarted."""

    phase: Literal["DRAINING", "DELETED", "SERVING"] = "DRAINING"
    where: Literal["any", "rack", "zone", "region"] = "any"
    count: Annotated[int, Meta(ge=1, le=20_000)] = 1  # where `any`
    replaced: bool = False  # those that come back have new ids


class Drip(Event, tag="drip", frozen=True):
    """From now on single changes at an even rate; 0 ends it."""

    per_s: Annotated[float, Meta(ge=0, le=100)] = 1.0


class Restart(Event, tag="restart", frozen=True):
    """A share of the agents ends at once and begins anew with the list that it had."""

    share: Share = 0.1
    real: bool = False  # of the real ones too


class Outage(Event, tag="outage", frozen=True):
    """Discovery is down, and comes back with its history or without."""

    for_s: Annotated[float, Meta(gt=0, le=3600)] = 5.0
    how: Literal["refused", "silent"] = "refused"
    history: Literal["kept", "gone", "renumbered"] = "kept"


AnyEvent = Change | Drip | Restart | Outage


class Experiment(Table, frozen=True):
    """One file."""

    name: Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9_-]*$", max_length=60)]
    seed: Annotated[int, Meta(ge=0)] = 1
    plays: Annotated[int, Meta(ge=1, le=20)] = 1
    warm_s: Seconds = 2.0  # before the measured time
    seconds: Annotated[float, Meta(gt=0, le=3600)] = 10.0  # the measured time
    settle_s: Seconds = 13.0  # the most that is waited for lists behind it
    servers: Servers = Servers()
    agents: Agents = Agents()
    discovery: DiscoveryTable = DiscoveryTable()
    calls: Calls = Calls()
    events: list[AnyEvent] = []

    @property
    def siblings(self) -> int:
        return self.agents.siblings or max(1, self.servers.listed)


def read(path: Path, overrides: tuple[str, ...] = ()) -> Experiment:
    """The experiment in the file, with overrides of the form ``table.key=value`` (the value as in TOML)."""
    try:
        doc = tomllib.loads(path.read_text())
    except (OSError, ValueError) as e:
        raise ExperimentError(f"{path}: {' '.join(str(e).split())}") from None
    for text in overrides:
        _override(doc, text)
    try:
        experiment = msgspec.convert(doc, Experiment)
    except msgspec.ValidationError as e:
        raise ExperimentError(f"{path}: {_fault(str(e))}") from None
    _check(path, experiment)
    return experiment


def _override(doc: dict[str, Any], text: str) -> None:
    key, equals, value = text.partition("=")
    try:
        if not equals:
            raise ValueError("is not of the form key=value")
        found = tomllib.loads(f"value = {value}")["value"]
    except ValueError as e:
        raise ExperimentError(f"{key}: {' '.join(str(e).split())}") from None
    *tables, name = key.strip().split(".")
    for table in tables:
        inner = doc.setdefault(table, {})
        if not isinstance(inner, dict):
            raise ExperimentError(f"{key}: {table} is no table")
        doc = inner
    doc[name] = found


def _fault(text: str) -> str:
    """The key first, then what is wrong with it: "Expected `int`, got `str` - at `$.agents.real`"."""
    what, at, path = text.partition(" - at `$")
    return f"{path.strip('`.') or 'the file'}: {what}" if at else text


def _check(path: Path, e: Experiment) -> None:
    """What holds between keys."""
    if not e.agents.hollow and not e.agents.real:
        raise ExperimentError(f"{path}: agents: there are none, neither hollow nor real")
    busy_until = 0.0
    for i, event in enumerate(e.events):
        if event.at_s > e.seconds:
            raise ExperimentError(
                f"{path}: events[{i}].at_s: {event.at_s} is behind the end, seconds = {e.seconds}"
            )
        if i and event.at_s < e.events[i - 1].at_s:
            raise ExperimentError(f"{path}: events[{i}].at_s: events are to be in order of time")
        if isinstance(event, Change) and event.where == "any" and event.count > e.servers.listed:
            raise ExperimentError(f"{path}: events[{i}].count: {event.count} of {e.servers.listed} servers")
        if isinstance(event, Outage):
            if event.at_s < busy_until:
                raise ExperimentError(f"{path}: events[{i}].at_s: discovery is down already")
            busy_until = event.at_s + event.for_s
            if busy_until > e.seconds:
                raise ExperimentError(f"{path}: events[{i}].for_s: it ends behind seconds = {e.seconds}")
