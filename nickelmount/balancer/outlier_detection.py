"""Outlier detection: which endpoints are ejected from sampling, and how they are readmitted.

An endpoint is ejected

- after three failures in a row, or after two if the last one is a failed connect or the endpoint's failure
  rate is high;
- after any further failure while it is being readmitted, except that a reset or a failed connect only counts
  as one more failure in a row;
- for as long as it is unresponsive, which means that at least two attempts are in flight, the oldest of them
  for more than five typical latencies, and that no attempt has succeeded in that time.

The first ejection lasts half a second, and each further one twice as long as the one before, up to four
seconds. Jitter of up to a quarter is added or taken off. Then the endpoint is readmitted with a limit of one
attempt in flight, which grows by one with each success and ends after eight successes. If most endpoints look
like outliers, a common cause is assumed and all of them may be sampled, because the remaining endpoints would
otherwise be overloaded.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from .endpoint import TrackedEndpoint, printable_id
from .events import Outcome
from .units import MILLISECOND_US, SECOND_US

FAILURE_RATE_SMOOTHING = 0.1  # Smoothing factor of an endpoint's failure rate.
MAX_FAILURE_STREAK = 3  # An endpoint is ejected after this many failures in a row.
# It is ejected after this many if the last one is a failed connect or its failure rate is high.
MAX_FAILURE_STREAK_IF_SUSPECT = 2
HIGH_FAILURE_RATE = 0.3
# An endpoint is unresponsive if at least MIN_UNRESPONSIVE_ATTEMPTS attempts are in flight, and if more than
# this many typical latencies have passed since the oldest was sent and since the last success.
UNRESPONSIVE_LATENCIES = 5
MIN_UNRESPONSIVE_ATTEMPTS = 2
FIRST_EJECTION_US = 500 * MILLISECOND_US
MAX_EJECTION_US = 4 * SECOND_US
READMISSION_TRIALS = 8  # A readmitted endpoint has no limit any more after this many successes.


class OutlierDetector:
    """The rules that eject endpoints, on strong evidence only. Log lines are passed to `log`."""

    def __init__(self, rng: Random, log: Callable[[str], None]) -> None:
        self._rng, self._log = rng, log
        self._has_common_cause = False  # True if most endpoints look like outliers.

    def refresh(self, endpoints: list[TrackedEndpoint], now_us: int, typical_latency_us: float) -> None:
        """Check whether most of the endpoints look like outliers, which indicates a common cause."""
        outlier_count = sum(self._is_outlier(e, now_us, typical_latency_us) for e in endpoints)
        self._has_common_cause = 2 * outlier_count > len(endpoints)

    def admits(self, endpoint: TrackedEndpoint, now_us: int, typical_latency_us: float) -> bool:
        """Return whether an endpoint may be sampled."""
        return self._has_common_cause or not self._is_outlier(endpoint, now_us, typical_latency_us)

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
        """Record a success or a failure. An attempt that was not sent or was cancelled is neither."""
        if outcome is Outcome.OK:
            self._record_success(endpoint, now_us)
        elif outcome is not Outcome.NOT_SENT and outcome is not Outcome.CANCELLED:
            self._record_failure(endpoint, outcome, now_us)

    def _record_success(self, endpoint: TrackedEndpoint, now_us: int) -> None:
        endpoint.failure_rate -= FAILURE_RATE_SMOOTHING * endpoint.failure_rate
        endpoint.failure_streak = 0
        if endpoint.trial_limit and endpoint.ejected_until_us <= now_us:
            endpoint.trial_limit += 1
            if endpoint.trial_limit > READMISSION_TRIALS:
                endpoint.trial_limit = endpoint.ejection_us = 0
                self._log(f"endpoint {printable_id(endpoint.id)} readmitted in full")

    def _record_failure(self, endpoint: TrackedEndpoint, outcome: Outcome, now_us: int) -> None:
        endpoint.failure_rate += FAILURE_RATE_SMOOTHING * (1.0 - endpoint.failure_rate)
        endpoint.failure_streak += 1
        # One broken connection says little about the process at the endpoint. A process that has died refuses
        # the next connection as well.
        is_connect_failure = outcome is Outcome.CONNECT_FAILED
        fails_readmission = (
            endpoint.trial_limit > 0 and not is_connect_failure and outcome is not Outcome.RESET
        )
        is_suspect = is_connect_failure or endpoint.failure_rate > HIGH_FAILURE_RATE
        if (
            fails_readmission
            or endpoint.failure_streak >= MAX_FAILURE_STREAK
            or (endpoint.failure_streak >= MAX_FAILURE_STREAK_IF_SUSPECT and is_suspect)
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
