"""The summary tables that are printed after an experiment."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from .results import Figure, Results

_PROPAGATION_COLUMNS = ("p50", "p90", "p99", "max")
# The ends of the figures' names by column heading. Headings that repeat differ in trailing spaces, because
# they are keys.
_REQUEST_COLUMNS = {
    "requests": "through.calls.count",
    "lost": "through.lost.count",
    "direct p50": "direct.from_written.p50.us",
    "p99": "direct.from_written.p99.us",
    "through p50": "through.from_written.p50.us",
    "p99 ": "through.from_written.p99.us",
    "added p50": "added.p50.us",
    "p99  ": "added.p99.us",
    "late p99": "through.lateness.p99.us",
}


def experiment_table(results: Results) -> str:
    """Return a table of the main figures: the median of the runs and, if there are several, their range."""
    heading = f"{results.name}: version {results.version}, seed {results.seed}, {results.cores} cores"
    notes = [f"  ({note})" for note in results.notes]
    figures = results.figures
    rows = [*_propagation_rows(figures), *_request_rows(figures), *_other_rows(figures)]
    return "\n".join([heading, *rows, *notes])


def _propagation_rows(figures: dict[str, Figure]) -> list[str]:
    labels = _labels(figures, "force.", ".reached.share")
    if not labels:
        return []
    suffixes = ("agents.count", "reached.share", *(f"{column}.ms" for column in _PROPAGATION_COLUMNS))
    return [
        _row("propagation delay, ms", ("agents", "reached", *_PROPAGATION_COLUMNS)),
        *(
            _row(label, [_cell(figures, f"force.{label}.{suffix}") for suffix in suffixes])
            for label in labels
        ),
    ]


def _request_rows(figures: dict[str, Figure]) -> list[str]:
    phases = _labels(figures, "calls.", ".added.p50.us")
    if not phases:
        return []
    suffixes = _REQUEST_COLUMNS.values()
    return [
        _row("requests, us from write", _REQUEST_COLUMNS),
        *(
            _row(phase, [_cell(figures, f"calls.{phase}.{suffix}") for suffix in suffixes])
            for phase in phases
        ),
    ]


def _other_rows(figures: dict[str, Figure]) -> list[str]:
    has_several_runs = any(len(figure.by_run) > 1 for figure in figures.values())
    rows = []
    for key, figure in figures.items():
        if key.startswith(("calls.", "force.")):
            continue
        value_range = f"   {_format(figure.minimum)} to {_format(figure.maximum)}" if has_several_runs else ""
        rows.append(f"  {key:<40}{_format(figure.median):>12}{value_range}")
    return rows


def scaling_table(results: Results, sizes: list[int]) -> str:
    """Return a table of the figures named ``size.figure``, with a row for each figure.

    The columns are the sizes, the slope over the sizes, and the widest spread.
    """
    heading = (
        f"{results.name}: version {results.version}, seed {results.seed}, {results.cores} cores; median, "
        "slope per thousand servers, and the widest spread of the runs as a share of their median"
    )
    columns = [f"{'servers':<18}", *(f"{size:>9}" for size in sizes), f"{'slope':>9}", f"{'spread':>6}"]
    names = list(dict.fromkeys(key.partition(".")[2] for key in results.figures))
    rows = [
        _scaling_row(name, [results.figures[f"{size}.{name}"] for size in sizes], sizes) for name in names
    ]
    return "\n".join([heading, "  ".join(columns), *rows])


def _scaling_row(name: str, figures: list[Figure], sizes: list[int]) -> str:
    medians = [figure.median for figure in figures]
    slope = statistics.linear_regression(sizes, medians).slope * 1000 if len(sizes) > 1 else 0.0
    spread = max(
        (figure.maximum - figure.minimum) / figure.median if figure.median else 0.0 for figure in figures
    )
    cells = [
        f"{name:<18}",
        *(f"{_format(x):>9}" for x in medians),
        f"{_format(slope):>9}",
        f"{spread:>6.0%}",
    ]
    return "  ".join(cells)


def _cell(figures: dict[str, Figure], key: str) -> str:
    return _format(figures[key].median) if key in figures else "-"


def _labels(figures: dict[str, Figure], prefix: str, suffix: str) -> list[str]:
    """Return the parts between prefix and suffix of the names that have both."""
    return [
        key[len(prefix) : -len(suffix)] for key in figures if key.startswith(prefix) and key.endswith(suffix)
    ]


def _row(heading: str, cells: Iterable[str]) -> str:
    return f"  {heading:<24}" + "".join(f"{cell:>12}" for cell in cells)


def _format(value: float) -> str:
    return f"{value:.0f}" if abs(value) >= 1000 or value == int(value) else f"{value:.3g}"
