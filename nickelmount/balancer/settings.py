"""What a balancer is told once, at its start: request classes, tenants, limits and prices.

All times are integer microseconds. The forms in which a deployment states these values are translated in
nickelmount.protocol.settings.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import isfinite


class Idempotency(Enum):
    """What happens if a request runs more than once."""

    ALWAYS = "always"  # harmless
    WITH_KEY = "with_key"  # endpoints drop the repeats of an idempotency key, in a scope and for a while
    NEVER = "never"  # it must not run twice


class DedupScope(Enum):
    """Which endpoints share the memory in which repeats of an idempotency key are found."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """How changes of the endpoint list reach a balancer."""

    PUSH = "push"  # by themselves
    POLL = "poll"  # only after WatchEndpoints or FetchEndpoints


def require(condition: bool, name: str, message: str) -> None:
    """Raise ValueError with the name of a field and what it has to be."""
    if not condition:
        raise ValueError(f"{name}: {message}")


def _require_not_negative(value: float, name: str) -> None:
    require(isfinite(value) and value >= 0, name, "must be finite and not negative")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests. Weights are in the caller's units."""

    name: str
    latency_objective_us: int  # an answer within this earns the full weight
    deadline_us: int  # the longest a client waits, over all attempts
    idempotency: Idempotency = Idempotency.ALWAYS
    dedup_scope: DedupScope = DedupScope.ALL  # WITH_KEY only
    dedup_window_us: int = (
        0  # WITH_KEY only: repeats are dropped so long after the first send that may have run
    )
    priority_weight: float = 1.0  # what an answer within the objective is worth
    late_weight: float = 0.0  # share of the weight that an answer after the objective still earns
    objective_stretch: float = 0.0  # the objective grows by this multiple of the request's own cost

    def __post_init__(self) -> None:
        require(self.latency_objective_us > 0, "latency_objective_us", "must be above 0")
        require(self.deadline_us > 0, "deadline_us", "must be above 0")
        require(self.dedup_window_us >= 0, "dedup_window_us", "must not be negative")
        _require_not_negative(self.priority_weight, "priority_weight")
        require(0 <= self.late_weight <= 1, "late_weight", "must lie in 0..1")
        _require_not_negative(self.objective_stretch, "objective_stretch")


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer with a quota."""

    name: str
    quota_per_s: float = 0.0  # requests a second, over all balancers; 0: no quota

    def __post_init__(self) -> None:
        _require_not_negative(self.quota_per_s, "quota_per_s")


@dataclass(slots=True, frozen=True)
class Prices:
    """What a message of the balancer's own costs, as a share of the weight of all requests."""

    probe: float = 0.0  # each probe, per first attempt
    gossip: float = 0.0  # each 256 bytes delivered to another balancer, per first attempt

    def __post_init__(self) -> None:
        _require_not_negative(self.probe, "probe")
        _require_not_negative(self.gossip, "gossip")


@dataclass(slots=True, frozen=True)
class Settings:
    """All that a balancer is told once. Raises ValueError, naming the field, where a value makes no sense."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    instance_count: int = 1  # how many balancers there are in all, this one included
    instance_index: int = 0  # the number of this one among them, from 0
    load_report_fields: tuple[str, ...] = ()  # meaning of the numbers in a load report; (): there are none
    discovery_mode: DiscoveryMode = DiscoveryMode.PUSH
    notified_after_us: int = 10_000_000  # POLL: a change counts as notified so long after it, polled or not
    list_call_timeout_us: int = 0  # POLL: a call that need not wait is answered, or has failed, within this
    discovery_is_local: bool = False  # POLL: calls are answered at once and put no load on a shared service
    drain_grace_us: int = 500_000  # how long an endpoint that was told to drain may still be sent to
    can_cancel: bool = True
    can_probe: bool = False
    can_gossip: bool = False  # balancers may send each other short messages, which may be lost
    can_hedge: bool = True  # two attempts of one request may be in flight at once
    max_attempts: int = 6  # of one request, the first and hedged ones included
    can_send_retry_after: bool = False  # a rejection may say when to come again
    max_retry_after_us: int = 1_000_000
    tick_us: int = 1_000  # events come in rounds at least this far apart
    answer_slack_us: int = 0  # a final answer this late after the client's timeout still counts
    has_capacity_hints: bool = False  # Endpoint.capacity_hint says something of its size
    warm_up_start_capacity: float = 1.0  # an endpoint starts at this share of its capacity or above
    warm_up_us: int = 0  # and has all of it no later than this
    overload_multiple: float = 3.0  # a warming endpoint that gets more than this multiple of what it can do
    overload_window_us: int = 1_000_000  # within any such window fails
    prices: Prices = field(default_factory=Prices)

    def __post_init__(self) -> None:
        require(len(self.classes) > 0, "classes", "at least one is needed")
        require(self.instance_count >= 1, "instance_count", "must be 1 or more")
        require(
            0 <= self.instance_index < self.instance_count,
            "instance_index",
            "must lie in 0..instance_count - 1",
        )
        require(self.max_attempts >= 1, "max_attempts", "must be 1 or more")
        require(self.tick_us >= 0, "tick_us", "must not be negative")
        require(self.answer_slack_us >= 0, "answer_slack_us", "must not be negative")
        require(self.notified_after_us > 0, "notified_after_us", "must be above 0")
        require(
            0 <= 2 * self.list_call_timeout_us < self.notified_after_us,
            "list_call_timeout_us",
            "must not be negative, and two calls must take less than notified_after_us",
        )
        require(self.drain_grace_us >= 0, "drain_grace_us", "must not be negative")
        require(self.max_retry_after_us >= 0, "max_retry_after_us", "must not be negative")
        require(
            0 < self.warm_up_start_capacity <= 1,
            "warm_up_start_capacity",
            "must lie above 0 and at most at 1",
        )
        require(self.warm_up_us >= 0, "warm_up_us", "must not be negative")
        require(
            isfinite(self.overload_multiple) and self.overload_multiple > 0,
            "overload_multiple",
            "must be finite and above 0",
        )
        require(self.overload_window_us > 0, "overload_window_us", "must be above 0")
