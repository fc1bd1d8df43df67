"""The figures that a run measures. Their names are dotted and end in the unit."""

from __future__ import annotations

from collections.abc import Sequence

Figures = dict[str, float]

PERCENTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9, "max": 100.0}


def quantile(ordered: Sequence[float], share: float) -> float:
    """Return the value below which this share of the sorted values lies; there must be at least one value."""
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
