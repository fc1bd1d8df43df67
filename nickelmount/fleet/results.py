"""Results of a run: one JSON file, and a short table."""

from __future__ import annotations

import os
import platform
import statistics
import subprocess
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
import psutil

from .experiment import Experiment


class Figure(msgspec.Struct):
    """One figure over all plays; the unit is the end of its name."""

    median: float
    least: float
    most: float
    plays: list[float | None]  # None: not measured in that play


class Results(msgspec.Struct):
    """What a run has found, and all that is needed to do it again."""

    name: str
    at: str  # UTC
    version: str  # of the program
    seed: int
    cores: int
    memory_gb: float
    python: str
    experiment: dict[str, Any]
    notes: list[str]
    figures: dict[str, Figure]


def gathered(e: Experiment, plays: list[dict[str, float]]) -> Results:
    """The figures of all plays of an experiment, each with its spread."""
    notes = []
    if e.agents.shared and e.agents.hollow:
        notes.append(
            "hollow agents of a process share the entries of equal lists: their memory, and the "
            "time to take in a whole list, are not an agent's"
        )
    if e.agents.hollow > (psutil.cpu_count() or 1):
        notes.append(
            "hollow agents share the cores of this machine: the time to force of a change holds the "
            "wait for a processor behind the others"
        )
    return results(e.name, e.seed, msgspec.to_builtins(e), plays, notes)


def results(
    name: str, seed: int, experiment: dict[str, Any], plays: list[dict[str, float]], notes: list[str]
) -> Results:
    """The figures of all plays, each with its spread."""
    figures = {}
    for key in dict.fromkeys(k for play in plays for k in play):
        values = [play.get(key) for play in plays]
        known = [v for v in values if v is not None]
        figures[key] = Figure(statistics.median(known), min(known), max(known), values)
    return Results(
        name=name,
        at=time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        version=version(),
        seed=seed,
        cores=psutil.cpu_count() or 1,
        memory_gb=round(psutil.virtual_memory().total / 1e9, 1),
        python=platform.python_version(),
        experiment=experiment,
        notes=notes,
        figures=figures,
    )


def version() -> str:
    """The commit that runs, marked where files differ from it."""
    try:
        told = subprocess.run(
            ["git", "describe", "--always", "--dirty", "--exclude=*"],
            capture_output=True,
            text=True,
            timeout=10,
            cwd=Path(__file__).parent,
        )
    except (OSError, subprocess.TimeoutExpired):
        return "unknown"
    return told.stdout.strip() or "unknown"


def write(results: Results, folder: Path) -> Path:
    """Whole or not at all; raises OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{results.name}-{results.at.replace(':', '')}.json"
    part = path.with_suffix(".part")
    try:
        part.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1))
        os.replace(part, path)
    finally:
        part.unlink(missing_ok=True)
    return path


def table(results: Results) -> str:
    """The figures that a person looks at first: median of the plays, and least to most of several."""
    f = results.figures
    rows = [f"{results.name}: version {results.version}, seed {results.seed}, {results.cores} cores"]
    forced = _labels(f, "force.", ".reached.share")
    if forced:
        rows.append(_row("time to force, ms", ("agents", "reached", *_LISTS)))
    for label in forced:
        columns = ("agents.count", "reached.share", *(f"{c}.ms" for c in _LISTS))
        rows.append(_row(label, [_cell(f, f"force.{label}.{c}") for c in columns]))
    phases = _labels(f, "calls.", ".added.p50.us")
    if phases:
        rows.append(_row("calls, us from written", _CALLS))
    for phase in phases:
        rows.append(_row(phase, [_cell(f, f"calls.{phase}.{c}") for c in _CALLS.values()]))
    several = any(len(figure.plays) > 1 for figure in f.values())
    for key, figure in f.items():
        if not key.startswith(("calls.", "force.")):
            spread = f"   {_short(figure.least)} to {_short(figure.most)}" if several else ""
            rows.append(f"  {key:<40}{_short(figure.median):>12}{spread}")
    return "\n".join([*rows, *(f"  ({note})" for note in results.notes)])


_LISTS = ("p50", "p90", "p99", "max")
_CALLS = {
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


def _cell(figures: dict[str, Figure], key: str) -> str:
    return _short(figures[key].median) if key in figures else "-"


def _labels(figures: dict[str, Figure], before: str, behind: str) -> list[str]:
    return [
        key[len(before) : -len(behind)] for key in figures if key.startswith(before) and key.endswith(behind)
    ]


def _row(head: str, cells: Iterable[str]) -> str:
    return f"  {head:<24}" + "".join(f"{cell:>12}" for cell in cells)


def by_size(results: Results, sizes: list[int]) -> str:
    """Figures named ``size.figure``: a row each, a column a size, then the slope for each thousand more."""
    names = list(dict.fromkeys(key.partition(".")[2] for key in results.figures))
    rows = [
        f"{results.name}: version {results.version}, seed {results.seed}, {results.cores} cores; median, "
        "slope for each thousand servers, and the widest spread of the plays as a share of their median",
        "  ".join([f"{'servers':<18}", *(f"{n:>9}" for n in sizes), f"{'slope':>9}", f"{'spread':>6}"]),
    ]
    for name in names:
        figures = [results.figures[f"{n}.{name}"] for n in sizes]
        middle = [f.median for f in figures]
        slope = statistics.linear_regression(sizes, middle).slope * 1000 if len(sizes) > 1 else 0.0
        spread = max((f.most - f.least) / f.median if f.median else 0.0 for f in figures)
        rows.append(
            "  ".join(
                [
                    f"{name:<18}",
                    *(f"{_short(x):>9}" for x in middle),
                    f"{_short(slope):>9}",
                    f"{spread:>6.0%}",
                ]
            )
        )
    return "\n".join(rows)


def _short(x: float) -> str:
    return f"{x:.0f}" if abs(x) >= 1000 or x == int(x) else f"{x:.3g}"
