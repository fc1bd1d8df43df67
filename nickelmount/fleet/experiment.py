"""The experiment file: sizes, seed and events, read from TOML and validated before any process starts.

An attribute whose name differs from its key in the file gives the key as `name`.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, field

from .discovery_messages import HistoryAfterOutage, OutageKind
from .errors import ExperimentError
from .versioned_list import ChangeScope, Phase

# Limit on the processes of hollow agents. With at most 32 real agents and the other roles, a run then has
# well under 200 processes.
MAX_WORKERS = 64

Share = Annotated[float, Meta(gt=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=3600)]
Count = Annotated[int, Meta(ge=0, le=100_000)]


class Table(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table of the file. An unknown key is an error; otherwise a misspelt key would keep its default."""


class ServerSettings(Table, frozen=True):
    """The servers that discovery lists, and the emulated endpoints that answer for them."""

    listed: Annotated[int, Meta(ge=1, le=20_000)] = 200
    regions: Annotated[int, Meta(ge=1, le=100)] = 3
    zones_per_region: Annotated[int, Meta(ge=1, le=100)] = 4
    racks_per_zone: Annotated[int, Meta(ge=1, le=1000)] = 5
    sockets: Annotated[int, Meta(ge=1, le=256)] = 32  # Listening sockets that all servers share.
    work_ms: Annotated[float, Meta(ge=0, le=10_000)] = 0.0  # Time that an endpoint takes for each request.


class AgentSettings(Table, frozen=True):
    """The number of agents of each kind, and how they are configured."""

    hollow: Count = 40  # Agents with an endpoint list and decision state, but without clients.
    real: Annotated[int, Meta(ge=0, le=32)] = 1  # Agents in processes of their own that handle requests.
    # Processes that the hollow agents are spread over; 0 derives the number from the cores of the machine.
    workers: Annotated[int, Meta(ge=0, le=MAX_WORKERS)] = 0
    # Whether the hollow agents of one process share equal lists after parsing them once.
    share_lists: bool = field(name="shared", default=False)
    # The number of agents that is stated in the configuration of each agent; 0 stands for the number of
    # listed servers. If the fleet has more agents, their number is stated instead.
    instance_count: Count = field(name="siblings", default=0)


class DiscoverySettings(Table, frozen=True):
    """The behaviour of emulated discovery, and the mode in which agents use it."""

    mode: Literal["ask", "push"] = "ask"
    # Number of changes that discovery remembers, so that it can answer with a delta.
    history: Annotated[int, Meta(ge=0, le=1_000_000)] = 1024


class RequestSettings(Table, frozen=True):
    """Open-loop requests, sent through each real agent and, in the same run, directly to endpoints."""

    # Requests per second to each real agent.
    rate_per_s: Annotated[float, Meta(gt=0, le=1000)] = field(name="rate", default=70.0)
    # Requests per second that are sent directly to all endpoints together.
    direct_rate_per_s: Annotated[float, Meta(gt=0, le=10_000)] = field(name="direct_rate", default=70.0)
    arrivals: Literal["poisson", "even"] = "poisson"
    timeout_ms: Annotated[int, Meta(ge=10, le=60_000)] = 2000
    body_bytes: Annotated[int, Meta(ge=0, le=65_536)] = 0


class Event(Table, tag_field="kind", frozen=True):
    """An event that happens `at_s` seconds after the start of the measured time."""

    at_s: Seconds

    @property
    def label(self) -> str:
        """The name of the event in results and in progress lines, such as ``change@2.5``."""
        return f"{type(self).__struct_config__.tag}@{self.at_s:g}"


class ListChange(Event, tag="change", frozen=True):
    """A change of the phase of some servers, published as one revision.

    The servers are chosen at random among those that serve: `count` servers if `where` is "any", otherwise
    all in one rack, zone or region. With the phase SERVING, all servers that are draining or deleted return
    as if they had restarted, and `where` and `count` have no effect.
    """

    phase: Phase = "DRAINING"
    where: ChangeScope = "any"
    count: Annotated[int, Meta(ge=1, le=20_000)] = 1  # Has an effect only if `where` is "any".
    replaced: bool = False  # Whether deleted servers that return get new ids.


class SteadyChangeRate(Event, tag="drip", frozen=True):
    """The start of changes of one server each at a constant rate; a rate of 0 stops them."""

    per_s: Annotated[float, Meta(ge=0, le=100)] = 1.0


class AgentRestart(Event, tag="restart", frozen=True):
    """An abrupt restart of a share of the agents, each with the list that it was configured with."""

    share: Share = 0.1
    real: bool = False  # Whether real agents are restarted too.


class Outage(Event, tag="outage", frozen=True):
    """An outage of discovery, after which discovery has either kept or lost its history of changes."""

    duration_s: Annotated[float, Meta(gt=0, le=3600)] = field(name="for_s", default=5.0)
    outage_kind: OutageKind = field(name="how", default="refused")
    history: HistoryAfterOutage = "kept"


FileEvent = ListChange | SteadyChangeRate | AgentRestart | Outage


class Experiment(Table, frozen=True):
    """The contents of an experiment file."""

    name: Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9_-]*$", max_length=60)]
    seed: Annotated[int, Meta(ge=0)] = 1
    runs: Annotated[int, Meta(ge=1, le=20)] = field(name="plays", default=1)
    # Minimum duration of the warm-up before the measured time.
    warm_up_s: Seconds = field(name="warm_s", default=2.0)
    measured_s: Annotated[float, Meta(gt=0, le=3600)] = field(name="seconds", default=10.0)
    # Maximum time to wait, after the measured time, until the hollow agents have applied all changes whose
    # propagation delay is measured.
    max_settle_s: Seconds = field(name="settle_s", default=13.0)
    servers: ServerSettings = ServerSettings()
    agents: AgentSettings = AgentSettings()
    discovery: DiscoverySettings = DiscoverySettings()
    requests: RequestSettings = field(name="calls", default=RequestSettings())
    events: list[FileEvent] = []

    @property
    def instance_count(self) -> int:
        """The number of agents to state in the configuration of each agent, unless the fleet has more."""
        return self.agents.instance_count or max(1, self.servers.listed)


def read_experiment(path: Path, overrides: tuple[str, ...] = ()) -> Experiment:
    """Read an experiment file and apply overrides of the form ``table.key=value``, with the value in TOML.

    Raises ExperimentError if the file cannot be read, or if it or an override is invalid.
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
        raise ExperimentError(f"{path}: {_with_key_first(str(error))}") from None
    _check_consistency(path, experiment)
    return experiment


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())


def _apply_override(document: dict[str, Any], override: str) -> None:
    key, separator, value_text = override.partition("=")
    try:
        if not separator:
            raise ValueError("the override has no '='; expected key=value")
        value = tomllib.loads(f"value = {value_text}")["value"]
    except ValueError as error:
        raise ExperimentError(f"{key}: {_one_line(error)}") from None
    *tables, name = key.strip().split(".")
    for table in tables:
        inner = document.setdefault(table, {})
        if not isinstance(inner, dict):
            raise ExperimentError(f"{key}: {table} is not a table")
        document = inner
    document[name] = value


def _with_key_first(text: str) -> str:
    """Return an error text of msgspec with the key moved to its beginning.

    For example, "Expected `int`, got `str` - at `$.agents.real`" becomes
    "agents.real: Expected `int`, got `str`".
    """
    fault, separator, path = text.partition(" - at `$")
    return f"{path.strip('`.') or 'the file'}: {fault}" if separator else text


def _check_consistency(path: Path, experiment: Experiment) -> None:
    """Raise ExperimentError if the values of different keys contradict each other."""
    if not experiment.agents.hollow and not experiment.agents.real:
        raise ExperimentError(f"{path}: agents: hollow and real are both 0; at least one agent is needed")
    outage_ends_s = previous_s = 0.0
    for index, event in enumerate(experiment.events):
        key = f"{path}: events[{index}]"
        _check_event(key, event, previous_s, experiment)
        previous_s = event.at_s
        if isinstance(event, Outage):
            if event.at_s < outage_ends_s:
                raise ExperimentError(
                    f"{key}.at_s: {event.at_s} is before the end of the previous outage at {outage_ends_s} s"
                )
            outage_ends_s = event.at_s + event.duration_s
            if outage_ends_s > experiment.measured_s:
                raise ExperimentError(
                    f"{key}.for_s: the outage ends at {outage_ends_s} s, after the end of the measured time "
                    f"(seconds = {experiment.measured_s})"
                )


def _check_event(key: str, event: FileEvent, previous_s: float, experiment: Experiment) -> None:
    if event.at_s > experiment.measured_s:
        raise ExperimentError(
            f"{key}.at_s: {event.at_s} is after the end of the measured time "
            f"(seconds = {experiment.measured_s})"
        )
    if event.at_s < previous_s:
        raise ExperimentError(
            f"{key}.at_s: {event.at_s} is before the previous event at {previous_s} s; events must be in "
            "order of time"
        )
    listed = experiment.servers.listed
    if isinstance(event, ListChange) and event.where == "any" and event.count > listed:
        raise ExperimentError(f"{key}.count: {event.count} is more than the {listed} servers listed")
