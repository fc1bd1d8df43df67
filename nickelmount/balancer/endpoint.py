"""The state that a balancer keeps for each endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

from .events import Endpoint, EndpointId
from .units import SECOND_US

if TYPE_CHECKING:
    from .request import Request

MIN_CAPACITY_HINT = 1e-6  # Above 0, because other values are divided by a capacity hint.
# Upper limit of TrackedEndpoint.penalty_halving_us, and its value while the typical latency is unknown.
MAX_PENALTY_HALVING_US = SECOND_US


def printable_id(endpoint_id: EndpointId) -> str:
    """Return an endpoint's id as text for log lines and for its gossip tag."""
    return endpoint_id.hex() if isinstance(endpoint_id, bytes) else str(endpoint_id)


def gossip_tag(endpoint_id: EndpointId) -> int:
    """Return the 32-bit number that identifies an endpoint in gossip messages."""
    return crc32(printable_id(endpoint_id).encode())


class TrackedEndpoint:
    """The state of one endpoint. The fields below the name of a module are maintained by that module."""

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
        "penalty_halving_us",
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
        # The times at which this balancer sent its attempts in flight, by request id and attempt number.
        self.in_flight: dict[tuple[int, int], int] = {}
        # endpoint_set.py
        self.order = order  # Sort key in the list of ready endpoints.
        self.is_ready = False  # The endpoint is in the list of ready endpoints.
        # warming_endpoints.py
        self.warming_since_us = 0  # The start time under which it is listed there; 0 if it is not listed.
        # probing.py
        self.probe_sent_at_us = 0  # Time at which the probe in flight was sent; 0 if there is none.
        self.probe_waiters: list[Request] = []  # Requests that wait for the end of that probe.
        # slow_start.py
        self.draw_offset = 0.0  # Start of the interval of random draws that the endpoint admits.
        self.update(entry)
        self.reset(now_us)

    def update(self, entry: Endpoint) -> None:
        """Copy the values of an entry of the endpoint list."""
        self.zone, self.cell, self.status = entry.zone, entry.cell, entry.status
        self.capacity_hint = max(entry.capacity_hint, MIN_CAPACITY_HINT)
        self.started_at_us = entry.started_at_us

    def reset(self, now_us: int) -> None:
        """Reset everything that was learned about an earlier process under the same id."""
        # load_table.py
        # Time of the last report, probe or gossip about its load; the time of this reset before the first.
        self.last_report_at_us = now_us
        self.service_time_us = 1.0  # Estimate for one request, set at each refresh by sampling.py.
        self.warm_share = 1.0  # Share of its capacity that it has warmed up to, set at the same refresh.
        self.penalty = 0.0  # Weight of failed attempts at penalty_at_us, counted like attempts in flight.
        self.penalty_at_us = 0
        self.penalty_halving_us = MAX_PENALTY_HALVING_US  # Time after which half of the penalty is left.
        self.other_in_flight = 0.0  # Estimated attempts of all other balancers at load_updated_at_us.
        self.load_updated_at_us = 0  # Time at which other_in_flight was last set; 0 if it never was.
        self.reported_service_ms = 0.0  # Moving average of reported service times; 0 if there were none.
        # Moving average of the latencies of its successes, and of timeouts longer than the typical latency.
        self.latency_us = 0.0
        # Moving average of its load when those attempts were sent, or of the reported load if that is higher.
        self.load_at_send = 0.0
        self.sample_count = 0  # Number of samples in the averages latency_us and load_at_send.
        self.last_success_at_us = 0
        self.last_attempt_ended_at_us = 0
        # outlier_detection.py
        self.failure_rate = 0.0  # Moving average of the share of attempts that fail.
        self.failure_streak = 0  # Number of failures since the last success.
        self.ejected_until_us = 0
        self.ejection_us = 0  # Duration of the last ejection; 0 if there was none since full readmission.
        self.trial_limit = 0  # Limit on attempts in flight during readmission; 0 if there is no limit.

    def own_in_flight(self, now_us: int) -> float:
        """Return the number of this balancer's attempts in flight, plus what is left of the penalty."""
        penalty = self.penalty and self.penalty * self.penalty_halving_us / (
            self.penalty_halving_us + now_us - self.penalty_at_us
        )
        return len(self.in_flight) + penalty
