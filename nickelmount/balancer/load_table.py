"""The load table: estimates of the load and the speed of each endpoint.

Both are estimated from load reports and from this balancer's own attempts: how many of them are in flight,
and how long they take. A load is the number of requests that an endpoint has queued or in progress. Times are
in microseconds, except for reported service times, which are in milliseconds.
"""

from __future__ import annotations

from random import Random

from .endpoint import MAX_PENALTY_HALVING_US, TrackedEndpoint
from .events import AttemptEnded, Outcome
from .settings import Settings
from .units import SECOND_US

LOAD_FIELDS = ("inflight", "queue")  # Fields of a load report that state the load, the best one first.
SERVICE_TIME_FIELD = "latency_ms"

# A report that is at most this old has full weight; an older one has the weight FRESH_REPORT_US / age.
FRESH_REPORT_US = SECOND_US
ENDPOINT_SMOOTHING_FACTOR = 0.1  # Weight of a new sample in the moving averages of an endpoint.
MEAN_SMOOTHING_FACTOR = ENDPOINT_SMOOTHING_FACTOR / 4  # The same for means over all requests or successes.
# Weight of a new reported service time. It is larger, because the reported value is a moving average itself.
SERVICE_TIME_SMOOTHING_FACTOR = 0.3
# After this number of samples, the speed that this balancer has measured at an endpoint has half the weight
# in the estimate of its service time.
HALF_WEIGHT_SAMPLES = 4
# The weight of the measured speed is halved again if the last attempt at the endpoint ended this long ago,
# so that an endpoint that was avoided is tried again.
HALF_WEIGHT_AGE_US = 5 * SECOND_US
# The penalty of a failed attempt is halved after this multiple of the typical latency.
FAILURE_PENALTY_LATENCIES = 10
# The same after a reset, or after a cancellation because the client has left or another attempt was faster.
BROKEN_PENALTY_LATENCIES = 1


class LoadTable:
    """The estimated load and speed of all endpoints, with means over them."""

    def __init__(self, settings: Settings) -> None:
        fields = settings.load_report_fields
        # Positions in a load report of the load and of the service time; -1 if they are not reported.
        self.load_column = next((fields.index(name) for name in LOAD_FIELDS if name in fields), -1)
        self.service_column = fields.index(SERVICE_TIME_FIELD) if SERVICE_TIME_FIELD in fields else -1
        self.has_capacity_hints = settings.has_capacity_hints
        # These values are computed over the endpoints of the subset at each refresh.
        self.cutoffs: list[float] = []  # Backlog times that divide the bands, highest first.
        self.mean_load = 0.0
        self.mean_capacity_hint = 1.0
        self.median_reported_service_ms = 0.0
        self.median_last_report_at_us = 0
        # These values are moving averages over all requests or over all successful attempts.
        self.mean_cost_us = 0.0  # Cost hint of a request; 0 if there was none yet.
        # Latency divided by the load at the time of sending; 0 before the first success.
        self.mean_service_time_us = 0.0
        self.typical_latency_us = 0.0  # Latency of an attempt; 0 before the first success.

    @property
    def has_load_reports(self) -> bool:
        """Whether endpoints report their load."""
        return self.load_column >= 0

    def refresh_means(self, endpoints: list[TrackedEndpoint], now_us: int) -> None:
        """Compute the means and medians over the given endpoints."""
        # Reports are weighted by age, because an endpoint that is avoided for its load sends no new report,
        # and its last one would otherwise keep the mean high.
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
        report_times_us = sorted(e.last_report_at_us for e in endpoints)
        self.median_last_report_at_us = report_times_us[len(report_times_us) // 2] if report_times_us else 0
        # This is the median and not the mean, because a few overloaded endpoints report a service time a
        # hundred times that of the others and would make all others look fast.
        service_ms = sorted(e.reported_service_ms for e in endpoints if e.reported_service_ms)
        self.median_reported_service_ms = service_ms[len(service_ms) // 2] if service_ms else 0.0
        if self.has_capacity_hints and endpoints:
            self.mean_capacity_hint = sum(e.capacity_hint for e in endpoints) / len(endpoints)

    def estimated_other_in_flight(self, endpoint: TrackedEndpoint, now_us: int) -> float:
        """Estimate how many attempts all other balancers have in flight at an endpoint.

        The estimate is the last report, which gives way to the mean load of the subset as it ages. For an
        endpoint without a report it is that mean. For a warming endpoint the mean is multiplied by the share
        of its capacity that it has, because it started empty and has not been sent more since then.
        """
        load = self.mean_load * endpoint.warm_share
        if endpoint.load_updated_at_us:
            age_us = max(FRESH_REPORT_US, now_us - endpoint.load_updated_at_us)
            load += (max(0.0, endpoint.other_in_flight) - load) * FRESH_REPORT_US / age_us
        if not endpoint.in_flight or not self.mean_service_time_us or self.load_column < 0:
            return load
        # The age of the oldest own attempt in flight shows how many requests are ahead of it, whatever the
        # last report said.
        oldest_us = now_us - next(iter(endpoint.in_flight.values()))
        return max(load, oldest_us / self.mean_service_time_us - len(endpoint.in_flight))

    def total_in_flight(self, endpoint: TrackedEndpoint, now_us: int) -> float:
        """Estimate the load of an endpoint from the attempts of all balancers."""
        return endpoint.own_in_flight(now_us) + self.estimated_other_in_flight(endpoint, now_us)

    def backlog_time_us(self, endpoint: TrackedEndpoint, now_us: int, rng: Random) -> float:
        """Estimate the time in which an endpoint processes its current load.

        The cutoffs between the bands of the table are computed from this time. A random fraction of a request
        is added to the load, because small loads would otherwise tie: if half of the endpoints are idle, the
        median is 0 as well.
        """
        return (self.total_in_flight(endpoint, now_us) + rng.random()) * endpoint.service_time_us

    def record_cost(self, cost_us: int) -> float:
        """Record the cost hint of a request, and return it as a multiple of the mean.

        Return 1 if there is no hint.
        """
        if not cost_us:
            return 1.0
        weight = MEAN_SMOOTHING_FACTOR if self.mean_cost_us else 1.0
        self.mean_cost_us += weight * (cost_us - self.mean_cost_us)
        return cost_us / self.mean_cost_us

    def relative_capacity(self, endpoint: TrackedEndpoint) -> float:
        """Return an endpoint's capacity hint relative to the mean, limited to 1 because hints are rough."""
        return min(1.0, endpoint.capacity_hint / self.mean_capacity_hint) if self.has_capacity_hints else 1.0

    def estimate_service_time_us(self, endpoint: TrackedEndpoint, now_us: int, warm_share: float) -> float:
        """Estimate the service time of an endpoint per request of its load.

        It is inversely proportional to the endpoint's capacity. The mean over all successes is adjusted by
        the share of capacity that the endpoint has warmed up to, its capacity hint and its reported service
        time. The speed that this balancer has measured at the endpoint is then averaged in, with a weight
        that grows with the number of samples and falls with the time since the last attempt ended.
        """
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

    # Updates

    def set_load(self, endpoint: TrackedEndpoint, load: float, now_us: int) -> None:
        """Set the load from a probe or from gossip, without smoothing because it is a direct measurement."""
        endpoint.other_in_flight = load - len(endpoint.in_flight)
        endpoint.load_updated_at_us = endpoint.last_report_at_us = now_us

    def record_service_time(self, endpoint: TrackedEndpoint, service_ms: float) -> None:
        """Record a reported service time, which does not include time in a queue."""
        if service_ms > 0:
            weight = SERVICE_TIME_SMOOTHING_FACTOR if endpoint.reported_service_ms else 1.0
            endpoint.reported_service_ms += weight * (service_ms - endpoint.reported_service_ms)

    def record_attempt_end(
        self, endpoint: TrackedEndpoint, event: AttemptEnded, load_at_send: float, now_us: int
    ) -> None:
        """Update the estimates from an attempt that has just been removed from endpoint.in_flight."""
        if event.outcome is Outcome.NOT_SENT:
            return  # The attempt did not reach the endpoint.
        endpoint.last_attempt_ended_at_us = now_us
        report = event.load_report
        if self.load_column >= 0 and len(report) > self.load_column:
            self._record_load(endpoint, report[self.load_column], now_us)
            # The load at the time of sending may be an old estimate that missed a growing queue. Without the
            # reported load, the endpoint would then look slow.
            load_at_send = max(load_at_send, report[self.load_column])
        if 0 <= self.service_column < len(report):
            self.record_service_time(endpoint, report[self.service_column])
        if event.outcome is Outcome.OK or (
            event.outcome is Outcome.TIMEOUT and event.latency_us > self.typical_latency_us
        ):
            self._record_speed(endpoint, event.latency_us, load_at_send)
        if event.outcome is Outcome.OK:
            endpoint.last_success_at_us = now_us
            self._record_mean_speed(event.latency_us, load_at_send)
        else:
            self._record_failure(endpoint, event, now_us)

    def _record_load(self, endpoint: TrackedEndpoint, load: float, now_us: int) -> None:
        """Record a load that was reported with a response, with more weight if the last report is old."""
        # The report includes this balancer's own attempts and the one that has just ended.
        other_in_flight = load - len(endpoint.in_flight) - 1
        weight = 1.0
        if endpoint.load_updated_at_us:
            weight = max(
                ENDPOINT_SMOOTHING_FACTOR, min(1.0, (now_us - endpoint.load_updated_at_us) / FRESH_REPORT_US)
            )
        endpoint.other_in_flight += weight * (other_in_flight - endpoint.other_in_flight)
        endpoint.load_updated_at_us = endpoint.last_report_at_us = now_us

    def _record_speed(self, endpoint: TrackedEndpoint, latency_us: int, load_at_send: float) -> None:
        weight = max(ENDPOINT_SMOOTHING_FACTOR, 1 / (endpoint.sample_count + 1))
        endpoint.latency_us += weight * (latency_us - endpoint.latency_us)
        endpoint.load_at_send += weight * (load_at_send - endpoint.load_at_send)
        endpoint.sample_count += 1

    def _record_mean_speed(self, latency_us: int, load_at_send: float) -> None:
        weight = MEAN_SMOOTHING_FACTOR if self.mean_service_time_us else 1.0
        self.typical_latency_us += weight * (latency_us - self.typical_latency_us)
        self.mean_service_time_us += weight * (latency_us / load_at_send - self.mean_service_time_us)

    def _record_failure(self, endpoint: TrackedEndpoint, event: AttemptEnded, now_us: int) -> None:
        outcome = event.outcome
        if (
            outcome in (Outcome.TIMEOUT, Outcome.CANCELLED)
            and self.load_column >= 0
            and self.mean_service_time_us
        ):
            # The attempt has no report, but the load follows from its latency: at least as many requests were
            # ahead of it as an endpoint of mean speed processes in this time.
            load = event.latency_us / self.mean_service_time_us
            if load > self.estimated_other_in_flight(endpoint, now_us):
                endpoint.other_in_flight = load - len(endpoint.in_flight)
                endpoint.load_updated_at_us = now_us
        # A failed attempt still counts as load for a while; otherwise an endpoint that fails attempts at once
        # would look idle.
        endpoint.penalty = endpoint.own_in_flight(now_us) - len(endpoint.in_flight) + 1.0
        endpoint.penalty_at_us = now_us
        # The endpoint still processes a request that was reset or cancelled, but only for the usual time.
        is_broken = outcome in (Outcome.RESET, Outcome.CANCELLED)
        latencies = BROKEN_PENALTY_LATENCIES if is_broken else FAILURE_PENALTY_LATENCIES
        halving_us = int(latencies * self.typical_latency_us) or MAX_PENALTY_HALVING_US
        endpoint.penalty_halving_us = min(MAX_PENALTY_HALVING_US, halving_us)
