"""Histograms and counts of the requests that were started on one path in one phase."""

from __future__ import annotations

from enum import Enum
from typing import Any, Literal

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000  # Longer latencies are recorded as this value.
SIGNIFICANT_DIGITS = 3  # Precision of the histograms.

WARM_UP_PHASE = "warm"  # The phase until another one begins; its requests are left out of all figures.

RequestPath = Literal["through", "direct"]  # Requests go through an agent, or directly to an endpoint.
PATHS: tuple[RequestPath, ...] = ("through", "direct")


class RequestOutcome(Enum):
    """The outcome of a request; the value is the key of its count in the results."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"  # A status other than 200, 429 and 503, invalid HTTP, or no connection.
    LOST = "lost"  # No answer before the timeout, or the connection closed before the answer.


OUTCOME_KEYS = tuple(outcome.value for outcome in RequestOutcome)
HISTOGRAM_KEYS = ("from_due", "from_written", "lateness")


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of times in us."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


class PathStatistics:
    """The statistics of one path in one phase.

    Every request that has ended is in `latency_from_due`; a lost one is recorded with the time until it was
    counted as lost. A request that was never written, because no connection was opened for it in time, is in
    neither of the other histograms.
    """

    def __init__(self) -> None:
        self.latency_from_due = new_histogram()
        self.latency_from_written = new_histogram()
        self.lateness = new_histogram()  # Time from when a request was due until it was written.
        self.outcomes = dict.fromkeys(RequestOutcome, 0)
        self.started = 0
        # Number of requests that had to open a new connection; their latency includes its handshake.
        self.without_ready_connection = 0

    def record_end(self, outcome: RequestOutcome, due_ns: int, written_ns: int, ended_ns: int) -> None:
        """Count a request that has ended; `written_ns` is 0 if it was never written."""
        self.outcomes[outcome] += 1
        _record(self.latency_from_due, ended_ns - due_ns)
        if written_ns:
            _record(self.latency_from_written, ended_ns - written_ns)
            _record(self.lateness, written_ns - due_ns)

    def result(self) -> dict[str, Any]:
        """Return the statistics under their keys in the results, with the histograms encoded as text."""
        histograms = (self.latency_from_due, self.latency_from_written, self.lateness)
        return {
            **{
                key: histogram.encode().decode()
                for key, histogram in zip(HISTOGRAM_KEYS, histograms, strict=True)
            },
            "calls": self.started,
            "waited": self.without_ready_connection,
            **{outcome.value: number for outcome, number in self.outcomes.items()},
        }


def _record(histogram: HdrHistogram, duration_ns: int) -> None:
    histogram.record_value(min(MAX_LATENCY_US, max(0, duration_ns) // 1000))
