"""Outlier detection: which endpoints are ejected from sampling, and how they return.

An endpoint is ejected

- after three failures in a row, or two where the last is a failed connect or its failure rate is
  high;
- while readmitted, after any further failure; a reset or a failed connect counts through the streak only;
- for as long as it is unresponsive: attempts are in flight, and nothing has been answered for long.

An ejection lasts half a second, twice as long each time, with jitter. Then the endpoint is readmitted with
one attempt in flight, one more after each success, and without a limit after eight. Where most endpoints look
like outliers the cause is a shared one, and none is ejected: the rest would be overloaded.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from .endpoint import TrackedEndpoint, printable_id
from .events import Outcome
from .units import MILLISECOND_US, SECOND_US

FAILURE_RATE_SMOOTHING = 0.1
MAX_FAILURE_STREAK = 3
MAX_FAILURE_STREAK_IF_LIKELY = 2  # the same after a failed connect, and above this failure rate:
HIGH_FAILURE_RATE = 0.3
UNRESPONSIVE_LATENCIES = 5  # so many typical latencies without an answer
MIN_UNRESPONSIVE_ATTEMPTS = 2  # with at least so many attempts in flight
FIRST_EJECTION_US = 500 * MILLISECOND_US
MAX_EJECTION_US = 4 * SECOND_US
READMISSION_TRIALS = 8  # successes after which the limit on a readmitted endpoint falls


class OutlierDetector:
    """Ejects endpoints on strong evidence only. Log lines go to `log`."""

    def __init__(self, rng: Random, log: Callable[[str], None]) -> None:
        self._rng, self._log = rng, log
        self._has_shared_cause = False  # most endpoints look like outliers

    def refresh(self, endpoints: list[TrackedEndpoint], now_us: int, typical_latency_us: float) -> None:
        """Look whether most of the endpoints are outliers."""
        outliers = sum(self._is_outlier(e, now_us, typical_latency_us) for e in endpoints)
        self._has_shared_cause = 2 * outliers > len(endpoints)

    def admits(self, endpoint: TrackedEndpoint, now_us: int, typical_latency_us: float) -> bool:
        """Whether an endpoint may be sampled."""
        return self._has_shared_cause or not self._is_outlier(endpoint, now_us, typical_latency_us)

    def _is_outlier(self, endpoint: TrackedEndpoint, now_us: int, typical_latency_us: float) -> bool:
        if endpoint.ejected_until_us > now_us:
            return True
        if endpoint.trial_limit and len(endpoint.in_flight) >= endpoint.trial_limit:
            return True
        if len(endpoint.in_flight) < MIN_UNRESPONSIVE_ATTEMPTS or not typical_latency_us:
            return False
        oldest_sent_at_us = next(iter(endpoint.in_flight.values()))
        unresponsive_us = now_us - max(oldest_sent_at_us, endpoint.last_success_at_us)
        return unresponsive_us > UNRESPONSIVE_LATENCIES * typical_latency_us

    def record_attempt_end(self, endpoint: TrackedEndpoint, outcome: Outcome, now_us: int) -> None:
        """Count a success or a failure; an attempt that was not sent, or cancelled, is neither."""
        if outcome is Outcome.OK:
            self._succeeded(endpoint, now_us)
        elif outcome is not Outcome.NOT_SENT and outcome is not Outcome.CANCELLED:
            self._failed(endpoint, outcome, now_us)

    def _succeeded(self, endpoint: TrackedEndpoint, now_us: int) -> None:
        endpoint.failure_rate -= FAILURE_RATE_SMOOTHING * endpoint.failure_rate
        endpoint.failure_streak = 0
        if endpoint.trial_limit and endpoint.ejected_until_us <= now_us:
            endpoint.trial_limit += 1
            if endpoint.trial_limit > READMISSION_TRIALS:
                endpoint.trial_limit = endpoint.ejection_us = 0
                self._log(f"endpoint {printable_id(endpoint.id)} readmitted in full")

    def _failed(self, endpoint: TrackedEndpoint, outcome: Outcome, now_us: int) -> None:
        endpoint.failure_rate += FAILURE_RATE_SMOOTHING * (1.0 - endpoint.failure_rate)
        endpoint.failure_streak += 1
        # One broken connection says little of the process behind it; a dead one refuses the next too.
        is_connect_failure = outcome is Outcome.CONNECT_FAILED
        fails_readmission = (
            endpoint.trial_limit > 0 and not is_connect_failure and outcome is not Outcome.RESET
        )
        is_likely = is_connect_failure or endpoint.failure_rate > HIGH_FAILURE_RATE
        if (
            fails_readmission
            or endpoint.failure_streak >= MAX_FAILURE_STREAK
            or (endpoint.failure_streak >= MAX_FAILURE_STREAK_IF_LIKELY and is_likely)
        ):
            self._eject(endpoint, outcome, now_us)

    def _eject(self, endpoint: TrackedEndpoint, outcome: Outcome, now_us: int) -> None:
        if endpoint.ejected_until_us > now_us:
            return
        if not endpoint.ejection_us:
            self._log(f"endpoint {printable_id(endpoint.id)} ejected: {outcome.value}")
        endpoint.ejection_us = min(2 * endpoint.ejection_us or FIRST_EJECTION_US, MAX_EJECTION_US)
        endpoint.ejected_until_us = now_us + int(endpoint.ejection_us * (0.75 + 0.5 * self._rng.random()))
        endpoint.trial_limit = 1
