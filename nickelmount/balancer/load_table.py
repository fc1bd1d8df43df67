"""The load table: what each endpoint holds, and how fast it works.

Both come from load reports, and from this balancer's own attempts: how many are in flight and how long they
take. Loads are in requests, times in microseconds.
"""

from __future__ import annotations

from random import Random

from .endpoint import DEFAULT_PENALTY_FADE_US, TrackedEndpoint
from .events import AttemptEnded, Outcome
from .settings import Settings
from .units import SECOND_US

LOAD_FIELDS = ("inflight", "queue")  # fields of a load report that tell what an endpoint holds, best first
SERVICE_TIME_FIELD = "latency_ms"

FRESH_REPORT_US = SECOND_US  # a report this young counts in full; an older one as FRESH_REPORT_US / age
SMOOTHING = 0.1  # weight of a new sample of an endpoint
MEAN_SMOOTHING = SMOOTHING / 4  # weight of a new sample in means over all endpoints
SERVICE_SMOOTHING = 0.3  # weight of a new reported service time, which the endpoint has smoothed itself
HALF_WEIGHT_SAMPLES = 4  # an endpoint's own speed counts half after so many answers
# And half as much when its last attempt ended this long ago: an endpoint that was avoided is tried again.
HALF_WEIGHT_AGE_US = 5 * SECOND_US
FAILURE_PENALTY_LATENCIES = 10  # half of the penalty of a failed attempt is left after so many latencies
BROKEN_PENALTY_LATENCIES = 1  # the same after a reset or a cancel (a client left, or another attempt won)


class LoadTable:
    """What is known of the load and speed of all endpoints, and its means."""

    def __init__(self, settings: Settings) -> None:
        fields = settings.load_report_fields
        self.load_column = next((fields.index(name) for name in LOAD_FIELDS if name in fields), -1)
        self.service_column = fields.index(SERVICE_TIME_FIELD) if SERVICE_TIME_FIELD in fields else -1
        self.has_capacity_hints = settings.has_capacity_hints
        # Over the endpoints that are sampled, as of the last refresh:
        self.cutoffs: list[float] = []
        self.mean_load = 0.0
        self.mean_capacity_hint = 1.0
        self.median_reported_service_ms = 0.0
        self.median_last_report_at_us = 0
        # Over all answers:
        self.mean_cost_us = 0.0  # of requests, by their hints
        self.mean_service_time_us = 0.0  # 0: nothing was answered yet
        self.typical_latency_us = 0.0

    @property
    def has_load_reports(self) -> bool:
        """Whether endpoints report what they hold."""
        return self.load_column >= 0

    def refresh_means(self, endpoints: list[TrackedEndpoint], now_us: int) -> None:
        """Compute the means over these endpoints."""
        # Weighted by age: an endpoint that is avoided for its load is not heard of again, and its last report
        # would keep the mean up.
        weights = [
            FRESH_REPORT_US / max(FRESH_REPORT_US, now_us - e.load_updated_at_us)
            if e.load_updated_at_us
            else 0.0
            for e in endpoints
        ]
        weighted_load = sum(
            weight * (e.own_in_flight(now_us) + max(0.0, e.other_in_flight))
            for weight, e in zip(weights, endpoints, strict=True)
            if weight
        )
        self.mean_load = weighted_load / sum(weights) if weighted_load else 0.0
        heard_from = sorted(e.last_report_at_us for e in endpoints)
        self.median_last_report_at_us = heard_from[len(heard_from) // 2] if heard_from else 0
        # The median: a few overloaded ones report a hundred times the rest and would make all others look
        # fast.
        service = sorted(e.reported_service_ms for e in endpoints if e.reported_service_ms)
        self.median_reported_service_ms = service[len(service) // 2] if service else 0.0
        if self.has_capacity_hints and endpoints:
            self.mean_capacity_hint = sum(e.capacity_hint for e in endpoints) / len(endpoints)

    def estimated_other_in_flight(self, endpoint: TrackedEndpoint, now_us: int) -> float:
        """What all other balancers hold at an endpoint: as reported, an old report fading to the mean.

        An endpoint that was not heard from enters at that mean; a warming one at as much of it as it is warm,
        since it started empty and has been sent no more since.
        """
        load = self.mean_load * endpoint.warm_share
        if endpoint.load_updated_at_us:
            age_us = max(FRESH_REPORT_US, now_us - endpoint.load_updated_at_us)
            load += (max(0.0, endpoint.other_in_flight) - load) * FRESH_REPORT_US / age_us
        if not endpoint.in_flight or not self.mean_service_time_us or self.load_column < 0:
            return load
        # An attempt that has been in flight for long waits behind as many, whatever was reported last.
        oldest_us = now_us - next(iter(endpoint.in_flight.values()))
        return max(load, oldest_us / self.mean_service_time_us - len(endpoint.in_flight))

    def total_in_flight(self, endpoint: TrackedEndpoint, now_us: int) -> float:
        """What an endpoint holds in all."""
        return endpoint.own_in_flight(now_us) + self.estimated_other_in_flight(endpoint, now_us)

    def backlog_time_us(self, endpoint: TrackedEndpoint, now_us: int, rng: Random) -> float:
        """Time until an endpoint has worked off what it holds; the table is cut by this.

        A random fraction is added, or small counts tie: with half of the endpoints idle the median itself is.
        """
        return (self.total_in_flight(endpoint, now_us) + rng.random()) * endpoint.service_time_us

    def record_cost(self, cost_us: int) -> float:
        """Take in a request's cost hint; return it as a multiple of the mean, 1 where there is no hint."""
        if not cost_us:
            return 1.0
        weight = MEAN_SMOOTHING if self.mean_cost_us else 1.0
        self.mean_cost_us += weight * (cost_us - self.mean_cost_us)
        return cost_us / self.mean_cost_us

    def relative_capacity(self, endpoint: TrackedEndpoint) -> float:
        """An endpoint's capacity as a share of the mean, at most 1: hints are rough."""
        return min(1.0, endpoint.capacity_hint / self.mean_capacity_hint) if self.has_capacity_hints else 1.0

    def estimate_service_time_us(self, endpoint: TrackedEndpoint, now_us: int, warm_share: float) -> float:
        """Service time of an endpoint per unit of load: the inverse of its relative capacity."""
        time_us = (self.mean_service_time_us or 1.0) / warm_share
        if self.has_capacity_hints:
            time_us *= self.mean_capacity_hint / endpoint.capacity_hint
        if endpoint.reported_service_ms:
            time_us *= endpoint.reported_service_ms / self.median_reported_service_ms
        if endpoint.sample_count:
            weight = endpoint.sample_count / (endpoint.sample_count + HALF_WEIGHT_SAMPLES)
            age_us = now_us - endpoint.last_attempt_ended_at_us
            weight = weight * HALF_WEIGHT_AGE_US / (HALF_WEIGHT_AGE_US + age_us)
            time_us += weight * (endpoint.latency_us / endpoint.load_at_send - time_us)
        return time_us

    # What is learned

    def set_load(self, endpoint: TrackedEndpoint, load: float, now_us: int) -> None:
        """Take in what a probe or another balancer tells: it is a direct measurement and not smoothed."""
        endpoint.other_in_flight = load - len(endpoint.in_flight)
        endpoint.load_updated_at_us = endpoint.last_report_at_us = now_us

    def record_service_time(self, endpoint: TrackedEndpoint, service_ms: float) -> None:
        """Take in a reported service time, queueing left out."""
        if service_ms > 0:
            weight = SERVICE_SMOOTHING if endpoint.reported_service_ms else 1.0
            endpoint.reported_service_ms += weight * (service_ms - endpoint.reported_service_ms)

    def record_attempt_end(
        self, endpoint: TrackedEndpoint, event: AttemptEnded, load_at_send: float, now_us: int
    ) -> None:
        """Learn from an attempt that has just been taken off endpoint.in_flight."""
        if event.outcome is Outcome.NOT_SENT:
            return  # nothing of it reached the endpoint
        endpoint.last_attempt_ended_at_us = now_us
        report = event.load_report
        if self.load_column >= 0 and len(report) > self.load_column:
            self._learn_load(endpoint, report[self.load_column], now_us)
            # The load at sending may be an old guess: a queue that grew unseen would make the endpoint look
            # slow.
            load_at_send = max(load_at_send, report[self.load_column])
        if 0 <= self.service_column < len(report):
            self.record_service_time(endpoint, report[self.service_column])
        if event.outcome is Outcome.OK or (
            event.outcome is Outcome.TIMEOUT and event.latency_us > self.typical_latency_us
        ):
            self._learn_speed(endpoint, event.latency_us, load_at_send)
        if event.outcome is Outcome.OK:
            endpoint.last_success_at_us = now_us
            self._learn_means(event.latency_us, load_at_send)
        else:
            self._learn_from_failure(endpoint, event, now_us)

    def _learn_load(self, endpoint: TrackedEndpoint, load: float, now_us: int) -> None:
        # The report counts our own attempts too, the one that ended included.
        other_in_flight = load - len(endpoint.in_flight) - 1
        weight = 1.0
        if endpoint.load_updated_at_us:
            weight = max(SMOOTHING, min(1.0, (now_us - endpoint.load_updated_at_us) / FRESH_REPORT_US))
        endpoint.other_in_flight += weight * (other_in_flight - endpoint.other_in_flight)
        endpoint.load_updated_at_us = endpoint.last_report_at_us = now_us

    def _learn_speed(self, endpoint: TrackedEndpoint, latency_us: int, load_at_send: float) -> None:
        weight = max(SMOOTHING, 1 / (endpoint.sample_count + 1))
        endpoint.latency_us += weight * (latency_us - endpoint.latency_us)
        endpoint.load_at_send += weight * (load_at_send - endpoint.load_at_send)
        endpoint.sample_count += 1

    def _learn_means(self, latency_us: int, load_at_send: float) -> None:
        weight = MEAN_SMOOTHING if self.mean_service_time_us else 1.0
        self.typical_latency_us += weight * (latency_us - self.typical_latency_us)
        self.mean_service_time_us += weight * (latency_us / load_at_send - self.mean_service_time_us)

    def _learn_from_failure(self, endpoint: TrackedEndpoint, event: AttemptEnded, now_us: int) -> None:
        outcome = event.outcome
        if (
            outcome in (Outcome.TIMEOUT, Outcome.CANCELLED)
            and self.load_column >= 0
            and self.mean_service_time_us
        ):
            # It brings no report, but its own time tells as much: at least so many were before it.
            load = event.latency_us / self.mean_service_time_us
            if load > self.estimated_other_in_flight(endpoint, now_us):
                endpoint.other_in_flight = load - len(endpoint.in_flight)
                endpoint.load_updated_at_us = now_us
        # The attempt goes on to count for a while: an endpoint that fails attempts at once must not look
        # idle.
        endpoint.penalty = endpoint.own_in_flight(now_us) - len(endpoint.in_flight) + 1.0
        endpoint.penalty_at_us = now_us
        # One that was reset or cancelled is worked off there like any other.
        is_broken = outcome in (Outcome.RESET, Outcome.CANCELLED)
        latencies = BROKEN_PENALTY_LATENCIES if is_broken else FAILURE_PENALTY_LATENCIES
        fade_us = int(latencies * self.typical_latency_us) or DEFAULT_PENALTY_FADE_US
        endpoint.penalty_fade_us = min(DEFAULT_PENALTY_FADE_US, fade_us)
