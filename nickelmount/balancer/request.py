"""What one balancer knows of one request, until its final answer is given and its attempts have ended."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

from .endpoint import TrackedEndpoint
from .events import RequestArrived
from .settings import RequestClass, Settings, require


def check_arrival(event: RequestArrived, settings: Settings, open_requests: Container[int]) -> None:
    """Raise ValueError, naming the field, where a request that arrives makes no sense."""
    is_class = 0 <= event.request_class < len(settings.classes)
    require(is_class, "request_class", f"no class {event.request_class}")
    is_tenant = 0 <= event.tenant < max(1, len(settings.tenants))
    require(is_tenant, "tenant", f"no tenant {event.tenant}")
    is_new = event.request_id not in open_requests
    require(is_new, "request_id", f"{event.request_id} has no final answer yet")


@dataclass(slots=True, eq=False)
class RandomDraws:
    """The random numbers of one request, from 0 up to 1.

    They are drawn once: a request that is looked at again and again must not draw until a rule lets it pass.
    """

    slow_start: float  # which warming endpoints it may be sent to, and which that gossip is silent about
    exploration: float  # whether it may try an endpoint of which nothing is known

    @property
    def concurrency(self) -> float:
        """Whether it may use the fraction of a small concurrency limit."""
        return (self.slow_start + self.exploration) % 1.0


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request."""

    number: int
    endpoint: TrackedEndpoint
    sent_at_us: int
    load_at_send: float  # what the endpoint held by the load table, this attempt included


class Request:
    """A request that this balancer has taken."""

    __slots__ = (
        "attempted",
        "attempts_sent",
        "candidates",
        "deadline_us",
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
        self.deadline_us = now_us + event.timeout_us
        self.objective_at_us = min(now_us + objective_us, self.deadline_us)
        self.draws = draws
        self.relative_cost = relative_cost  # its work as a multiple of the mean request's
        self.is_low_priority = False  # a client's retry, or beyond its tenant's quota
        self.is_done = False  # the final answer is given, or none is owed any more
        self.attempts_sent = 0
        self.in_flight: dict[int, Attempt] = {}  # by number
        self.may_have_run: list[Attempt] = []  # all that are not proven never to have run, oldest first
        self.attempted: list[TrackedEndpoint] = []
        # probing.py
        self.candidates: tuple[TrackedEndpoint, TrackedEndpoint] | None = None  # samples that are probed
        self.unanswered_probes: list[TrackedEndpoint] = []  # those of them whose load has not come yet
        self.probed_pair_count = 0
        self.max_probed_pairs = max_probed_pairs
