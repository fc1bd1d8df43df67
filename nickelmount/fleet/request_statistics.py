"""What became of the requests of one path that were due in one phase: histograms and counts."""

from __future__ import annotations

from enum import Enum
from typing import Any, Literal

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000  # longer ones count as this
SIGNIFICANT_DIGITS = 3  # of the histograms

WARM_UP_PHASE = "warm"  # the phase until another is named; its requests count in no figure

RequestPath = Literal["through", "direct"]  # through an agent, or directly to an endpoint
PATHS: tuple[RequestPath, ...] = ("through", "direct")


class RequestOutcome(Enum):
    """How a request ended; the value is the key of its count in the results."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"  # any other answer, bytes that are no answer, or no connection
    LOST = "lost"  # no answer in time, or the connection broke


OUTCOME_KEYS = tuple(outcome.value for outcome in RequestOutcome)
HISTOGRAM_KEYS = ("from_due", "from_written", "lateness")


def new_histogram() -> HdrHistogram:
    """Return an empty histogram, in us."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


class PathStatistics:
    """The statistics of one path in one phase.

    Every request that has ended is in `latency_from_due`, a lost one with the time for which it was waited.
    A request that was never written, since no connection came up, is in neither of the other histograms.
    """

    def __init__(self) -> None:
        self.latency_from_due = new_histogram()
        self.latency_from_written = new_histogram()
        self.lateness = new_histogram()  # of the write, after the request was due
        self.outcomes = dict.fromkeys(RequestOutcome, 0)
        self.started = 0
        self.without_ready_connection = 0  # their latency contains a connection's handshake

    def record_end(self, outcome: RequestOutcome, due_ns: int, written_ns: int, ended_ns: int) -> None:
        """Count one request that has ended; `written_ns` is 0 for one that was never written."""
        self.outcomes[outcome] += 1
        _record(self.latency_from_due, ended_ns - due_ns)
        if written_ns:
            _record(self.latency_from_written, ended_ns - written_ns)
            _record(self.lateness, written_ns - due_ns)

    def result(self) -> dict[str, Any]:
        """Return the statistics under the keys of the results, with histograms encoded as text."""
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
