"""The short tables that are printed after an experiment."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from .results import Figure, Results

_PROPAGATION_COLUMNS = ("p50", "p90", "p99", "max")
_REQUEST_COLUMNS = {  # heading, and the end of the figure's name; headings differ in spaces where they repeat
    "calls": "through.calls.count",
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
    """Return the figures that a person looks at first: the median of the runs, and the range of several."""
    heading = f"{results.name}: version {results.version}, seed {results.seed}, {results.cores} cores"
    notes = [f"  ({note})" for note in results.notes]
    figures = results.figures
    rows = [*_propagation_rows(figures), *_request_rows(figures), *_other_rows(figures)]
    return "\n".join([heading, *rows, *notes])


def _propagation_rows(figures: dict[str, Figure]) -> list[str]:
    labels = _labels(figures, "force.", ".reached.share")
    if not labels:
        return []
    ends = ("agents.count", "reached.share", *(f"{column}.ms" for column in _PROPAGATION_COLUMNS))
    return [
        _row("time to force, ms", ("agents", "reached", *_PROPAGATION_COLUMNS)),
        *(_row(label, [_cell(figures, f"force.{label}.{end}") for end in ends]) for label in labels),
    ]


def _request_rows(figures: dict[str, Figure]) -> list[str]:
    phases = _labels(figures, "calls.", ".added.p50.us")
    if not phases:
        return []
    ends = _REQUEST_COLUMNS.values()
    return [
        _row("calls, us from written", _REQUEST_COLUMNS),
        *(_row(phase, [_cell(figures, f"calls.{phase}.{end}") for end in ends]) for phase in phases),
    ]


def _other_rows(figures: dict[str, Figure]) -> list[str]:
    has_several_runs = any(len(figure.by_run) > 1 for figure in figures.values())
    rows = []
    for key, figure in figures.items():
        if key.startswith(("calls.", "force.")):
            continue
        spread = f"   {_short(figure.minimum)} to {_short(figure.maximum)}" if has_several_runs else ""
        rows.append(f"  {key:<40}{_short(figure.median):>12}{spread}")
    return rows


def scaling_table(results: Results, sizes: list[int]) -> str:
    """Return a table of figures named ``size.figure``: a row each, a column a size, then the slope."""
    heading = (
        f"{results.name}: version {results.version}, seed {results.seed}, {results.cores} cores; median, "
        "slope for each thousand servers, and the widest spread of the plays as a share of their median"
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
    cells = [f"{name:<18}", *(f"{_short(x):>9}" for x in medians), f"{_short(slope):>9}", f"{spread:>6.0%}"]
    return "  ".join(cells)


def _cell(figures: dict[str, Figure], key: str) -> str:
    return _short(figures[key].median) if key in figures else "-"


def _labels(figures: dict[str, Figure], prefix: str, suffix: str) -> list[str]:
    """Return what stands between prefix and suffix in the names that have both."""
    return [
        key[len(prefix) : -len(suffix)] for key in figures if key.startswith(prefix) and key.endswith(suffix)
    ]


def _row(heading: str, cells: Iterable[str]) -> str:
    return f"  {heading:<24}" + "".join(f"{cell:>12}" for cell in cells)


def _short(value: float) -> str:
    return f"{value:.0f}" if abs(value) >= 1000 or value == int(value) else f"{value:.3g}"
