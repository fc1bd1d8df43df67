"""The command line of the fleet tool, ``python -m nickelmount.fleet``.

It runs experiments with a small fleet of agents on loopback.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import NoReturn

import click

from .errors import ExperimentError, RoleError, RunError
from .experiment import Experiment, read_experiment
from .figures import Figures
from .results import experiment_results, results_of, write_results
from .role_process import RoleProcess
from .runner import ExperimentRun
from .tables import experiment_table, scaling_table

EXIT_FAILED = 1  # A run failed.
EXIT_USAGE = 2  # An experiment file or an option is invalid.
EXIT_INTERRUPTED = 130  # The status that a shell reports after SIGINT.
MAX_SERVERS = 20_000

OVERRIDES = click.option(
    "--set",
    "overrides",
    multiple=True,
    metavar="KEY=VALUE",
    help="Override the value of a key in the file, for example agents.hollow=20.",
)
OUT = click.option(
    "--out",
    "folder",
    type=click.Path(path_type=Path),
    default=Path("runs"),
    show_default=True,
    help="Folder in which the results file is written.",
)


@click.group()
def main() -> None:
    """Run experiments with a small fleet of agents on loopback."""


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@OVERRIDES
def check(file: Path, overrides: tuple[str, ...]) -> None:
    """Check whether an experiment file is valid."""
    experiment = _read_or_exit(file, overrides)
    agents = experiment.agents
    click.echo(
        f"{file}: {experiment.name}: {experiment.servers.listed} servers, {agents.hollow} hollow and "
        f"{agents.real} real agents, {len(experiment.events)} events in {experiment.measured_s:g} s"
    )


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@OVERRIDES
@OUT
@click.option("--quiet", is_flag=True, help="Print no progress.")
def run(file: Path, overrides: tuple[str, ...], folder: Path, quiet: bool) -> None:
    """Run an experiment, write its results to a file and print a short table."""
    experiment = _read_or_exit(file, overrides)
    started_s = time.monotonic()

    def report_progress(text: str) -> None:
        if not quiet:
            click.echo(f"[{time.monotonic() - started_s:6.1f} s] {text}", err=True)

    def run_all() -> None:
        runs = []
        for number in range(experiment.runs):
            report_progress(f"{experiment.name}: run {number + 1} of {experiment.runs}")
            experiment_run = ExperimentRun(experiment, experiment.seed + number, report_progress)
            runs.append(asyncio.run(experiment_run.run()))
        results = experiment_results(experiment, runs)
        path = write_results(results, folder)
        click.echo(experiment_table(results))
        click.echo(f"  written to {path}")

    _run_or_exit(run_all)


@main.command()
@click.option("--sizes", default="20,200,1000,2000,6300", show_default=True, help="Numbers of servers.")
@click.option("--plays", "runs", default=3, show_default=True, type=click.IntRange(1, 20))
@click.option("--seed", default=1, show_default=True)
@OUT
def slopes(sizes: str, runs: int, seed: int, folder: Path) -> None:
    """Measure the cost of lists, changes and decisions in one agent by the number of listed servers."""
    try:
        counts = _parse_sizes(sizes)
    except ValueError as error:
        _exit(f"sizes: {error}", EXIT_USAGE)

    def run_all() -> None:
        figures = [asyncio.run(_measure_sizes(counts, seed + number)) for number in range(runs)]
        results = results_of("slopes", seed, {"sizes": counts}, figures, [])
        path = write_results(results, folder)
        click.echo(scaling_table(results, counts))
        click.echo(f"  written to {path}")

    _run_or_exit(run_all)


def _parse_sizes(sizes: str) -> list[int]:
    counts = [int(size) for size in sizes.split(",")]
    if min(counts) < 1 or max(counts) > MAX_SERVERS:
        raise ValueError(f"{sizes!r} has a number of servers that is not between 1 and {MAX_SERVERS}")
    return counts


async def _measure_sizes(counts: list[int], seed: int) -> Figures:
    """Measure each size in a separate process, so that the memory of the process is that of one agent."""
    figures: Figures = {}
    for servers in counts:
        process = await RoleProcess.start("slopes")
        try:
            measured = await process.call(Figures, "measure", servers=servers, seed=seed)
        finally:
            await process.end()
        figures |= {f"{servers}.{key}": value for key, value in measured.items()}
    return figures


def _run_or_exit(function: Callable[[], None]) -> None:
    """Call the function; if it fails, end the program with a one-line message."""
    try:
        function()
    except KeyboardInterrupt:
        _exit("interrupted", EXIT_INTERRUPTED)
    except (RunError, RoleError, OSError, MemoryError) as error:
        _exit(" ".join(str(error).split()) or type(error).__name__, EXIT_FAILED)


def _read_or_exit(file: Path, overrides: tuple[str, ...]) -> Experiment:
    try:
        return read_experiment(file, overrides)
    except ExperimentError as error:
        _exit(str(error), EXIT_USAGE)


def _exit(reason: str, status: int) -> NoReturn:
    """Print the reason in one line on standard error, and end the program with the exit status."""
    click.echo(f"fleet: {reason}", err=True)
    sys.exit(status)


if __name__ == "__main__":
    main()
