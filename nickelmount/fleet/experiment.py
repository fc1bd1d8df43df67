"""The experiment file: sizes, seed and events, read from TOML and checked before anything starts.

Attributes that have another name than their key give the key as `name`.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, field

from .discovery_messages import HistoryAfterOutage, OutageKind
from .errors import ExperimentError
from .versioned_list import Phase, Where

MAX_WORKERS = 64  # processes of hollow agents; with at most 32 real ones and the rest well under 200

Share = Annotated[float, Meta(gt=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=3600)]
Count = Annotated[int, Meta(ge=0, le=100_000)]


class Table(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table of the file. An unknown key is refused: a misspelt one must not pass for its default."""


class ServerSettings(Table, frozen=True):
    """The servers that discovery lists, and the emulated endpoints that answer for them."""

    listed: Annotated[int, Meta(ge=1, le=20_000)] = 200
    regions: Annotated[int, Meta(ge=1, le=100)] = 3
    zones_per_region: Annotated[int, Meta(ge=1, le=100)] = 4
    racks_per_zone: Annotated[int, Meta(ge=1, le=1000)] = 5
    sockets: Annotated[int, Meta(ge=1, le=256)] = 32  # listening sockets that all of them share
    work_ms: Annotated[float, Meta(ge=0, le=10_000)] = 0.0  # until an endpoint answers


class AgentSettings(Table, frozen=True):
    """The agents."""

    hollow: Count = 40  # complete lists and decision state, no clients
    real: Annotated[int, Meta(ge=0, le=32)] = 1  # processes of their own, with requests
    workers: Annotated[int, Meta(ge=0, le=MAX_WORKERS)] = 0  # processes of hollow agents; 0: by cores
    # Hollow agents of a process share the entries of equal lists.
    share_lists: bool = field(name="shared", default=False)
    # What each agent takes for the number of agents, unless there are more; 0: one for each server.
    instance_count: Count = field(name="siblings", default=0)


class DiscoverySettings(Table, frozen=True):
    """Emulated discovery."""

    mode: Literal["ask", "push"] = "ask"
    history: Annotated[int, Meta(ge=0, le=1_000_000)] = 1024  # changes that it remembers


class RequestSettings(Table, frozen=True):
    """Open-loop arrivals, through each real agent and, in the same run, sent directly."""

    # A second, to each real agent.
    rate_per_s: Annotated[float, Meta(gt=0, le=1000)] = field(name="rate", default=70.0)
    direct_rate_per_s: Annotated[float, Meta(gt=0, le=10_000)] = field(name="direct_rate", default=70.0)
    arrivals: Literal["poisson", "even"] = "poisson"
    timeout_ms: Annotated[int, Meta(ge=10, le=60_000)] = 2000
    body_bytes: Annotated[int, Meta(ge=0, le=65_536)] = 0


class Event(Table, tag_field="kind", frozen=True):
    """Something that happens `at_s` after the measured time began."""

    at_s: Seconds

    @property
    def label(self) -> str:
        """The event's name in results and progress, such as ``change@2.5``."""
        return f"{type(self).__struct_config__.tag}@{self.at_s:g}"


class ListChange(Event, tag="change", frozen=True):
    """Servers change their phase, in one revision. SERVING: those that did not serve come back restarted."""

    phase: Phase = "DRAINING"
    where: Where = "any"
    count: Annotated[int, Meta(ge=1, le=20_000)] = 1  # where `any`
    replaced: bool = False  # those that come back have new ids


class SteadyChangeRate(Event, tag="drip", frozen=True):
    """From now on single changes at an even rate; 0 ends them."""

    per_s: Annotated[float, Meta(ge=0, le=100)] = 1.0


class AgentRestart(Event, tag="restart", frozen=True):
    """A share of the agents ends at once, and starts again with the list that it started with before."""

    share: Share = 0.1
    real: bool = False  # of the real ones too


class Outage(Event, tag="outage", frozen=True):
    """Discovery is down, and returns with its history or without."""

    duration_s: Annotated[float, Meta(gt=0, le=3600)] = field(name="for_s", default=5.0)
    outage_kind: OutageKind = field(name="how", default="refused")
    history: HistoryAfterOutage = "kept"


FileEvent = ListChange | SteadyChangeRate | AgentRestart | Outage


class Experiment(Table, frozen=True):
    """One file."""

    name: Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9_-]*$", max_length=60)]
    seed: Annotated[int, Meta(ge=0)] = 1
    runs: Annotated[int, Meta(ge=1, le=20)] = field(name="plays", default=1)
    warm_up_s: Seconds = field(name="warm_s", default=2.0)  # before the measured time, at least
    measured_s: Annotated[float, Meta(gt=0, le=3600)] = field(name="seconds", default=10.0)
    max_settle_s: Seconds = field(name="settle_s", default=13.0)  # after it, until all agents have the list
    servers: ServerSettings = ServerSettings()
    agents: AgentSettings = AgentSettings()
    discovery: DiscoverySettings = DiscoverySettings()
    requests: RequestSettings = field(name="calls", default=RequestSettings())
    events: list[FileEvent] = []

    @property
    def instance_count(self) -> int:
        """The number of agents that each one is configured with, unless the fleet has more."""
        return self.agents.instance_count or max(1, self.servers.listed)


def read_experiment(path: Path, overrides: tuple[str, ...] = ()) -> Experiment:
    """Return the experiment in the file, with overrides ``table.key=value`` (the value as in TOML).

    Raises ExperimentError.
    """
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise ExperimentError(f"{path}: {_one_line(error)}") from None
    for override in overrides:
        _apply_override(document, override)
    try:
        experiment = msgspec.convert(document, Experiment)
    except msgspec.ValidationError as error:
        raise ExperimentError(f"{path}: {_key_first(str(error))}") from None
    _check_between_keys(path, experiment)
    return experiment


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())


def _apply_override(document: dict[str, Any], override: str) -> None:
    key, separator, value_text = override.partition("=")
    try:
        if not separator:
            raise ValueError("is not of the form key=value")
        value = tomllib.loads(f"value = {value_text}")["value"]
    except ValueError as error:
        raise ExperimentError(f"{key}: {_one_line(error)}") from None
    *tables, name = key.strip().split(".")
    for table in tables:
        inner = document.setdefault(table, {})
        if not isinstance(inner, dict):
            raise ExperimentError(f"{key}: {table} is no table")
        document = inner
    document[name] = value


def _key_first(text: str) -> str:
    """Turn "Expected `int`, got `str` - at `$.agents.real`" round: the key first, then the fault."""
    fault, separator, path = text.partition(" - at `$")
    return f"{path.strip('`.') or 'the file'}: {fault}" if separator else text


def _check_between_keys(path: Path, experiment: Experiment) -> None:
    """Raise ExperimentError where keys contradict each other."""
    if not experiment.agents.hollow and not experiment.agents.real:
        raise ExperimentError(f"{path}: agents: there are none, neither hollow nor real")
    outage_ends_s = previous_s = 0.0
    for index, event in enumerate(experiment.events):
        key = f"{path}: events[{index}]"
        _check_event(key, event, previous_s, experiment)
        previous_s = event.at_s
        if isinstance(event, Outage):
            if event.at_s < outage_ends_s:
                raise ExperimentError(f"{key}.at_s: discovery is down already")
            outage_ends_s = event.at_s + event.duration_s
            if outage_ends_s > experiment.measured_s:
                raise ExperimentError(f"{key}.for_s: it ends behind seconds = {experiment.measured_s}")


def _check_event(key: str, event: FileEvent, previous_s: float, experiment: Experiment) -> None:
    if event.at_s > experiment.measured_s:
        raise ExperimentError(
            f"{key}.at_s: {event.at_s} is behind the end, seconds = {experiment.measured_s}"
        )
    if event.at_s < previous_s:
        raise ExperimentError(f"{key}.at_s: events are to be in order of time")
    listed = experiment.servers.listed
    if isinstance(event, ListChange) and event.where == "any" and event.count > listed:
        raise ExperimentError(f"{key}.count: {event.count} of {listed} servers")
