"""The state of one request, which is kept until its final answer is given and its attempts have ended."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

from .endpoint import TrackedEndpoint
from .events import RequestArrived
from .settings import RequestClass, Settings, require


def validate_arrival(event: RequestArrived, settings: Settings, open_requests: Container[int]) -> None:
    """Check a request that arrives.

    Raises ValueError with the name of the field if a value is invalid.
    """
    is_class = 0 <= event.request_class < len(settings.classes)
    require(is_class, "request_class", f"{event.request_class} is not an index into Settings.classes")
    is_tenant = 0 <= event.tenant < max(1, len(settings.tenants))
    require(is_tenant, "tenant", f"{event.tenant} is not an index into Settings.tenants")
    is_new = event.request_id not in open_requests
    require(is_new, "request_id", f"request {event.request_id} is still open")


@dataclass(slots=True, eq=False)
class RandomDraws:
    """The random numbers of one request, at least 0 and below 1.

    They are drawn once per request, because a request that is tried repeatedly could otherwise draw again
    until a rule admits it.
    """

    slow_start: float  # Decides which warming endpoints, and which silent ones, the request may be sent to.
    exploration: float  # Decides whether the request may explore an endpoint.

    @property
    def concurrency(self) -> float:
        """The number that decides whether the request may use the fraction of a small concurrency limit."""
        return (self.slow_start + self.exploration) % 1.0


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at an endpoint."""

    number: int
    endpoint: TrackedEndpoint
    sent_at_us: int
    load_at_send: float  # The load of the endpoint according to the load table, this attempt included.


class Request:
    """A request that has arrived at this balancer."""

    __slots__ = (
        "attempted_endpoints",
        "attempts_sent",
        "candidate_starts_us",
        "candidates",
        "deadline_at_us",
        "draws",
        "id",
        "in_flight",
        "is_done",
        "is_low_priority",
        "max_probed_pairs",
        "may_have_run",
        "objective_at_us",
        "probed_pair_count",
        "relative_cost",
        "request_class",
        "unanswered_probes",
    )

    def __init__(
        self,
        event: RequestArrived,
        request_class: RequestClass,
        now_us: int,
        draws: RandomDraws,
        relative_cost: float,
        max_probed_pairs: int,
    ) -> None:
        objective_us = request_class.latency_objective_us
        objective_us += int(request_class.objective_stretch * event.cost_us)
        self.id = event.request_id
        self.request_class = request_class
        self.deadline_at_us = now_us + event.timeout_us
        self.objective_at_us = min(now_us + objective_us, self.deadline_at_us)
        self.draws = draws
        self.relative_cost = relative_cost  # Its cost hint, as a multiple of the mean; 1 if it has none.
        self.is_low_priority = False  # True for a client's retry or a request beyond its tenant's quota.
        self.is_done = False  # True when a final answer is given or has begun, or none is needed.
        self.attempts_sent = 0
        self.in_flight: dict[int, Attempt] = {}  # Attempts in flight, by number.
        # Attempts that are in flight or may have run, oldest first.
        self.may_have_run: list[Attempt] = []
        self.attempted_endpoints: list[TrackedEndpoint] = []
        # The following fields belong to probing.py.
        self.candidates: tuple[TrackedEndpoint, TrackedEndpoint] | None = None  # The samples to be compared.
        self.candidate_starts_us = (0, 0)  # The start times of the candidates when they were drawn.
        self.unanswered_probes: list[TrackedEndpoint] = []  # The candidates whose load is not known yet.
        self.probed_pair_count = 0
        self.max_probed_pairs = max_probed_pairs
