"""The settings of a balancer, which it gets at its start: request classes, tenants, limits and prices.

All times are integer microseconds. The module nickelmount.protocol.settings translates the JSON form of a
deployment's settings into these types.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import isfinite


class Idempotency(Enum):
    """The idempotency of a class of requests, which decides whether they may run more than once."""

    ALWAYS = "always"  # Repeats are harmless.
    # Repeats are harmless if they carry the same idempotency key, because endpoints drop them. This holds
    # only at endpoints in the dedup scope, and only within the dedup window.
    WITH_KEY = "with_key"
    NEVER = "never"  # The request must not run twice.


class DedupScope(Enum):
    """The group of endpoints that share their memory of idempotency keys and so drop each other's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """The way in which changes of the endpoint list reach a balancer."""

    PUSH = "push"  # Changes arrive without a call.
    POLL = "poll"  # Changes arrive only in answer to WatchEndpoints or FetchEndpoints.


def require(condition: bool, name: str, message: str) -> None:
    """Raise ValueError with the field's name and the message if the condition is false."""
    if not condition:
        raise ValueError(f"{name}: {message}")


def _require_not_negative(value: float, name: str) -> None:
    require(isfinite(value) and value >= 0, name, f"must be finite and not negative, but is {value}")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests with the same objective, deadline, idempotency and weight.

    Raises ValueError, naming the field, if a value is out of range.
    """

    name: str
    latency_objective_us: int  # An answer within this time earns the full weight.
    deadline_us: int  # The longest time that a client waits, over all attempts.
    idempotency: Idempotency = Idempotency.ALWAYS
    dedup_scope: DedupScope = DedupScope.ALL  # Used for WITH_KEY only.
    # Used for WITH_KEY only: endpoints drop repeats for this time after the first attempt that may have run
    # was sent.
    dedup_window_us: int = 0
    # Value of an answer within the objective, in any unit that all classes share.
    priority_weight: float = 1.0
    late_weight: float = 0.0  # Share of the weight that an answer after the objective still earns.
    objective_stretch: float = 0.0  # The objective grows by this multiple of the request's own cost.

    def __post_init__(self) -> None:
        require(
            self.latency_objective_us > 0,
            "latency_objective_us",
            f"must be above 0, but is {self.latency_objective_us}",
        )
        require(self.deadline_us > 0, "deadline_us", f"must be above 0, but is {self.deadline_us}")
        require(
            self.dedup_window_us >= 0,
            "dedup_window_us",
            f"must not be negative, but is {self.dedup_window_us}",
        )
        _require_not_negative(self.priority_weight, "priority_weight")
        require(0 <= self.late_weight <= 1, "late_weight", f"must be in 0..1, but is {self.late_weight}")
        _require_not_negative(self.objective_stretch, "objective_stretch")


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer, whose requests may be limited by a quota.

    Raises ValueError if the quota is negative or not finite.
    """

    name: str
    quota_per_s: float = 0.0  # Requests per second, over all balancers; 0 if there is no quota.

    def __post_init__(self) -> None:
        _require_not_negative(self.quota_per_s, "quota_per_s")


@dataclass(slots=True, frozen=True)
class Prices:
    """The costs of the balancer's own messages, as shares of the weight of all requests.

    Raises ValueError, naming the field, if a price is negative or not finite.
    """

    probe: float = 0.0  # The cost if one probe is sent for each first attempt.
    gossip: float = 0.0  # The cost if 256 bytes are delivered to another balancer for each first attempt.

    def __post_init__(self) -> None:
        _require_not_negative(self.probe, "probe")
        _require_not_negative(self.gossip, "gossip")


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a balancer. Raises ValueError, naming the field, if a value is out of range."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    instance_count: int = 1  # Number of all balancers, including this one.
    instance_index: int = 0  # Number of this balancer among all, counted from 0.
    load_report_fields: tuple[str, ...] = ()  # Names of the values in a load report; () if there are none.
    discovery_mode: DiscoveryMode = DiscoveryMode.PUSH
    # A change counts as notified this long after it was made, even without a poll. This limits the delays of
    # the watch, unless discovery_is_local.
    notified_after_us: int = 10_000_000
    # A call to discovery that does not wait for a change is answered or fails within this time.
    list_call_timeout_us: int = 0
    # Whether calls to discovery are answered immediately and put no load on a shared service.
    discovery_is_local: bool = False
    # Time for which requests may still be sent to an endpoint after it was told to drain.
    drain_grace_us: int = 500_000
    can_cancel: bool = True
    can_probe: bool = False
    can_gossip: bool = False  # Balancers may send each other short messages, which may be lost.
    can_hedge: bool = True  # Two attempts of one request may be in flight at once.
    max_attempts: int = 6  # Attempts of one request, including the first and hedged ones.
    can_send_retry_after: bool = False  # A rejection may state a delay after which to retry.
    max_retry_after_us: int = 1_000_000
    tick_us: int = 1_000  # Events arrive in rounds that are at least this far apart.
    answer_slack_us: int = 0  # A final answer that is this late after the client's timeout still counts.
    has_capacity_hints: bool = False  # Endpoint.capacity_hint is set from the size of the endpoint.
    warm_up_start_capacity: float = 1.0  # An endpoint starts with at least this share of its capacity.
    warm_up_us: int = 0  # An endpoint has its full capacity at the latest this time after its start.
    # A warming endpoint fails if it gets more than overload_multiple times what it can process within any
    # window of overload_window_us.
    overload_multiple: float = 3.0
    overload_window_us: int = 1_000_000
    prices: Prices = field(default_factory=Prices)

    def __post_init__(self) -> None:
        require(len(self.classes) > 0, "classes", "must contain at least one class, but is empty")
        require(
            self.instance_count >= 1, "instance_count", f"must be 1 or more, but is {self.instance_count}"
        )
        require(
            0 <= self.instance_index < self.instance_count,
            "instance_index",
            f"must be in 0..instance_count - 1, but is {self.instance_index} of {self.instance_count}",
        )
        require(self.max_attempts >= 1, "max_attempts", f"must be 1 or more, but is {self.max_attempts}")
        require(self.tick_us >= 0, "tick_us", f"must not be negative, but is {self.tick_us}")
        require(
            self.answer_slack_us >= 0,
            "answer_slack_us",
            f"must not be negative, but is {self.answer_slack_us}",
        )
        require(
            self.notified_after_us > 0,
            "notified_after_us",
            f"must be above 0, but is {self.notified_after_us}",
        )
        require(
            0 <= 2 * self.list_call_timeout_us < self.notified_after_us,
            "list_call_timeout_us",
            f"must be 0 or more and less than half of notified_after_us ({self.notified_after_us}), "
            f"but is {self.list_call_timeout_us}",
        )
        require(
            self.drain_grace_us >= 0,
            "drain_grace_us",
            f"must not be negative, but is {self.drain_grace_us}",
        )
        require(
            self.max_retry_after_us >= 0,
            "max_retry_after_us",
            f"must not be negative, but is {self.max_retry_after_us}",
        )
        require(
            0 < self.warm_up_start_capacity <= 1,
            "warm_up_start_capacity",
            f"must be above 0 and at most 1, but is {self.warm_up_start_capacity}",
        )
        require(self.warm_up_us >= 0, "warm_up_us", f"must not be negative, but is {self.warm_up_us}")
        require(
            isfinite(self.overload_multiple) and self.overload_multiple > 0,
            "overload_multiple",
            f"must be finite and above 0, but is {self.overload_multiple}",
        )
        require(
            self.overload_window_us > 0,
            "overload_window_us",
            f"must be above 0, but is {self.overload_window_us}",
        )
