"""The results of an experiment: the figures of its runs, and the file that holds them.

An attribute whose name differs from its key in the file gives the key as `name`.
"""

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
from msgspec import field

from .experiment import Experiment
from .figures import Figures


class Figure(msgspec.Struct):
    """One figure over all runs; its name ends in its unit."""

    median: float
    minimum: float = field(name="least")
    maximum: float = field(name="most")
    by_run: list[float | None] = field(name="plays")  # A value is None if that run did not measure it.


class Results(msgspec.Struct):
    """The figures of an experiment, and the information that is needed to repeat it."""

    name: str
    written_at: str = field(name="at")  # UTC in the format of ISO 8601.
    version: str  # Version of the program, as `program_version` returns it.
    seed: int
    cores: int
    memory_gb: float
    python_version: str = field(name="python")
    experiment: dict[str, Any]
    notes: list[str]
    figures: dict[str, Figure]


def experiment_results(experiment: Experiment, runs: list[Figures]) -> Results:
    """Return the results of an experiment, with notes on the limits of its figures."""
    notes = []
    if experiment.agents.share_lists and experiment.agents.hollow:
        notes.append(
            "the hollow agents of one process share the entries of equal lists, so their memory and the "
            "time to apply a complete list are not those of a real agent"
        )
    if experiment.agents.hollow > (psutil.cpu_count() or 1):
        notes.append(
            "hollow agents share the cores of this machine, so the propagation delay of a change includes "
            "the time for which an agent waits for a processor"
        )
    keys = msgspec.to_builtins(experiment)
    return results_of(experiment.name, experiment.seed, keys, runs, notes)


def results_of(
    name: str, seed: int, experiment: dict[str, Any], runs: list[Figures], notes: list[str]
) -> Results:
    """Return the results of all runs; `experiment` holds the parameters of the runs."""
    figures = {}
    for key in dict.fromkeys(key for run in runs for key in run):
        by_run = [run.get(key) for run in runs]
        measured = [value for value in by_run if value is not None]
        figures[key] = Figure(statistics.median(measured), min(measured), max(measured), by_run)
    return Results(
        name=name,
        written_at=time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        version=program_version(),
        seed=seed,
        cores=psutil.cpu_count() or 1,
        memory_gb=round(psutil.virtual_memory().total / 1e9, 1),
        python_version=platform.python_version(),
        experiment=experiment,
        notes=notes,
        figures=figures,
    )


def program_version() -> str:
    """Return the current commit, marked as dirty if files differ from it.

    Returns "unknown" if this is not a repository or git cannot be run.
    """
    try:
        described = subprocess.run(
            ["git", "describe", "--always", "--dirty", "--exclude=*"],
            capture_output=True,
            text=True,
            timeout=10,
            cwd=Path(__file__).parent,
        )
    except (OSError, subprocess.TimeoutExpired):
        return "unknown"
    return described.stdout.strip() or "unknown"


def write_results(results: Results, folder: Path) -> Path:
    """Write the results file and return its path; raises OSError.

    If writing fails, no incomplete file remains.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{results.name}-{results.written_at.replace(':', '')}.json"
    partial_path = path.with_suffix(".part")
    try:
        partial_path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1))
        os.replace(partial_path, path)
    finally:
        partial_path.unlink(missing_ok=True)
    return path
