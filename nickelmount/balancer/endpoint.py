"""What one balancer knows of one endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

from .events import Endpoint, EndpointId
from .units import SECOND_US

if TYPE_CHECKING:
    from .request import Request

MIN_CAPACITY_HINT = 1e-6  # a hint is divided by
DEFAULT_PENALTY_FADE_US = SECOND_US


def printable_id(endpoint_id: EndpointId) -> str:
    """An endpoint's id as log lines and gossip have it."""
    return endpoint_id.hex() if isinstance(endpoint_id, bytes) else str(endpoint_id)


def gossip_tag(endpoint_id: EndpointId) -> int:
    """The number that stands for an endpoint in gossip, 32 bits."""
    return crc32(printable_id(endpoint_id).encode())


class TrackedEndpoint:
    """The state of one endpoint. Each group of fields belongs to the module named above it."""

    __slots__ = (
        "capacity_hint",
        "cell",
        "draw_offset",
        "ejected_until_us",
        "ejection_us",
        "failure_rate",
        "failure_streak",
        "id",
        "in_flight",
        "is_ready",
        "last_attempt_ended_at_us",
        "last_report_at_us",
        "last_success_at_us",
        "latency_us",
        "load_at_send",
        "load_updated_at_us",
        "order",
        "other_in_flight",
        "penalty",
        "penalty_at_us",
        "penalty_fade_us",
        "probe_sent_at_us",
        "probe_waiters",
        "reported_service_ms",
        "sample_count",
        "service_time_us",
        "started_at_us",
        "status",
        "trial_limit",
        "warm_share",
        "warming_since_us",
        "zone",
    )

    def __init__(self, entry: Endpoint, now_us: int, order: float) -> None:
        self.id = entry.id
        self.in_flight: dict[
            tuple[int, int], int
        ] = {}  # own attempts by request and number: when each was sent
        # endpoint_set.py
        self.order = order  # its place among all
        self.is_ready = False  # whether it is among those that may be sampled
        self.warming_since_us = 0  # the start under which warming_endpoints.py has it; 0: it has not
        # probing.py
        self.probe_sent_at_us = 0  # of the probe in flight; 0: there is none
        self.probe_waiters: list[Request] = []  # requests that wait for its end
        # slow_start.py
        self.draw_offset = 0.0  # where its share of the draws begins
        self.update(entry)
        self.reset(now_us)

    def update(self, entry: Endpoint) -> None:
        """Take over what the list says."""
        self.zone, self.cell, self.status = entry.zone, entry.cell, entry.status
        self.capacity_hint = max(entry.capacity_hint, MIN_CAPACITY_HINT)
        self.started_at_us = entry.started_at_us

    def reset(self, now_us: int) -> None:
        """Forget what was learned of an earlier process under the same id."""
        # load_table.py
        self.last_report_at_us = now_us  # when anything was last heard of it
        self.service_time_us = 1.0  # as of the last refresh of the table
        self.warm_share = 1.0  # share of its capacity that it has, as of the same time
        self.penalty = 0.0  # weight of attempts that ended badly, as of penalty_at_us
        self.penalty_at_us = 0
        self.penalty_fade_us = DEFAULT_PENALTY_FADE_US  # after this long half of it is left
        self.other_in_flight = 0.0  # of all other balancers, by the last load report
        self.load_updated_at_us = 0  # 0: never
        self.reported_service_ms = 0.0  # reported service time, smoothed; 0: none was reported
        self.latency_us = 0.0  # of its answers, smoothed
        self.load_at_send = 0.0  # what it held when these were sent, smoothed
        self.sample_count = 0  # answers in these two
        self.last_success_at_us = 0
        self.last_attempt_ended_at_us = 0
        # outlier_detection.py
        self.failure_rate = 0.0  # of attempts, smoothed
        self.failure_streak = 0  # failures since the last success
        self.ejected_until_us = 0
        self.ejection_us = 0  # length of the last ejection; 0: none, or readmitted in full
        self.trial_limit = 0  # attempts that may be in flight while it is readmitted; 0: no limit

    def own_in_flight(self, now_us: int) -> float:
        """Own attempts in flight, and what is left of the weight of those that ended badly."""
        penalty = self.penalty and self.penalty * self.penalty_fade_us / (
            self.penalty_fade_us + now_us - self.penalty_at_us
        )
        return len(self.in_flight) + penalty
