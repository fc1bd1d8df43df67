"""The figures of the requests of a run by phase and path, computed from the load generator's results."""

from __future__ import annotations

from typing import Any

from hdrh.histogram import HdrHistogram

from .figures import PERCENTILES, Figures
from .request_statistics import HISTOGRAM_KEYS, OUTCOME_KEYS, PATHS, WARM_UP_PHASE, new_histogram

ALL_PHASES = "all"  # Replaces the name of a phase in figures of all phases together, without the warm-up.


def request_figures(results: dict[str, Any]) -> Figures:
    """Return the figures of `results`, which is the load generator's answer to its command `results`.

    The time that agents add is the difference between the two paths at the same percentile in the same run.
    It is measured from when a request was written, because the lateness of the load generator occurs on both
    paths and is not added by the agent.
    """
    phases = {name: paths for name, paths in results["phases"].items() if name != WARM_UP_PHASE}
    return _count_figures(phases) | _all_latency_figures(phases)


def _count_figures(phases: dict[str, Any]) -> Figures:
    figures: Figures = {}
    for path in PATHS:
        for key in ("calls", *OUTCOME_KEYS):
            for name, paths in phases.items():
                figures[f"calls.{name}.{path}.{key}.count"] = paths[path][key]
            total = sum(paths[path][key] for paths in phases.values())
            figures[f"calls.{ALL_PHASES}.{path}.{key}.count"] = total
    return figures


def _all_latency_figures(phases: dict[str, Any]) -> Figures:
    figures: Figures = {}
    all_phases: dict[str, HdrHistogram] = {}
    for name, paths in phases.items():
        histograms = {
            f"{path}.{key}": HdrHistogram.decode(paths[path][key]) for path in PATHS for key in HISTOGRAM_KEYS
        }
        for key, histogram in histograms.items():
            all_phases.setdefault(key, new_histogram()).add(histogram)
        figures |= _latency_figures(name, histograms)
    return figures | _latency_figures(ALL_PHASES, all_phases)


def _latency_figures(phase: str, histograms: dict[str, HdrHistogram]) -> Figures:
    percentiles_us = {key: _percentiles_us(histogram) for key, histogram in histograms.items()}
    figures = {
        f"calls.{phase}.{key}.{name}.us": value_us
        for key, values_us in percentiles_us.items()
        for name, value_us in values_us.items()
    }
    through_us = percentiles_us["through.from_written"]
    direct_us = percentiles_us["direct.from_written"]
    for name in PERCENTILES:
        figures[f"calls.{phase}.added.{name}.us"] = through_us[name] - direct_us[name]
    return figures


def _percentiles_us(histogram: HdrHistogram) -> dict[str, float]:
    if not histogram.get_total_count():
        return dict.fromkeys(PERCENTILES, 0.0)
    return {name: float(histogram.get_value_at_percentile(p)) for name, p in PERCENTILES.items()}
