"""Results of a run: one JSON file, and a short table."""
from __future__ import annotations

import os
import platform
import statistics
import subprocess
import time
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
        notes.append("hollow agents of a process share the entries of equal lists: their memory, and the time to take "
                     "in a whole list, are not an agent's")
    if e.agents.hollow > (psutil.cpu_count() or 1):
        notes.append("hollow agents share the cores of this machine: the time to force of a change holds the wait "
                     "for a processor behind the others")
    return results(e.name, e.seed, msgspec.to_builtins(e), plays, notes)


def results(name: str, seed: int, experiment: dict[str, Any], plays: list[dict[str, float]],
            notes: list[str]) -> Results:
    """The figures of all plays, each with its spread."""
    figures = {}
    for key in dict.fromkeys(k for play in plays for k in play):
        values = [play.get(key) for play in plays]
        known = [v for v in values if v is not None]
        figures[key] = Figure(statistics.median(known), min(known), max(known), values)
    return Results(
        name=name, at=time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()), version=version(), seed=seed,
        cores=psutil.cpu_count() or 1, memory_gb=round(psutil.virtual_memory().total / 1e9, 1),
        python=platform.python_version(), experiment=experiment, notes=notes, figures=figures)


def version() -> str:
    """The commit that runs, marked where files differ from it."""
    try:
        told = subprocess.run(["git", "describe", "--always", "--dirty", "--exclude=*"], capture_output=True,
                              text=True, timeout=10, cwd=Path(__file__).parent)
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
    """The figures that a person looks at first, a row each: median, and least to most of several plays."""
    rows = [f"{results.name}: version {results.version}, seed {results.seed}, {results.cores} cores"]
    several = any(len(f.plays) > 1 for f in results.figures.values())
    for key, f in results.figures.items():
        if _looked_at(key):
            spread = f"   {_short(f.least)} to {_short(f.most)}" if several else ""
            rows.append(f"  {key:<44} {_short(f.median):>10}{spread}")
    return "\n".join([*rows, *(f"  ({note})" for note in results.notes)])


def by_size(results: Results, sizes: list[int]) -> str:
    """Figures named ``size.figure``: a row each, a column a size, then the slope for each thousand more."""
    names = list(dict.fromkeys(key.partition(".")[2] for key in results.figures))
    rows = [f"{results.name}: version {results.version}, seed {results.seed}, {results.cores} cores; median, and "
            "the widest spread of its plays as a share of it",
            "  ".join([f"{'servers':<18}", *(f"{n:>9}" for n in sizes), f"{'per 1000':>9}", f"{'spread':>6}"])]
    for name in names:
        figures = [results.figures[f"{n}.{name}"] for n in sizes]
        middle = [f.median for f in figures]
        slope = statistics.linear_regression(sizes, middle).slope * 1000 if len(sizes) > 1 else 0.0
        spread = max((f.most - f.least) / f.median if f.median else 0.0 for f in figures)
        rows.append("  ".join([f"{name:<18}", *(f"{_short(x):>9}" for x in middle), f"{_short(slope):>9}",
                               f"{spread:>6.0%}"]))
    return "\n".join(rows)


def _looked_at(key: str) -> bool:
    if key.startswith("calls."):
        at_percentile = key.endswith((".p50.us", ".p99.us")) and (".from_written." in key or ".added." in key
                                                                   or ".lateness." in key)
        return at_percentile or key.endswith((".through.calls.count", ".through.lost.count"))
    return not key.endswith((".p90.ms", ".p999.ms"))


def _short(x: float) -> str:
    return f"{x:.0f}" if abs(x) >= 1000 or x == int(x) else f"{x:.3g}"
