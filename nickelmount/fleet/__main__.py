"""``python -m nickelmount.fleet``: runs experiments on a small fleet on loopback."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import NoReturn

import click

from .experiment import Experiment, ExperimentError, read
from .results import by_size, gathered, results, table, write
from .role_process import Role, RoleError
from .runner import Play, PlayError

INTERRUPTED = 130  # as a shell has it after SIGINT

OVERRIDES = click.option(
    "--set",
    "overrides",
    multiple=True,
    metavar="KEY=VALUE",
    help="Another value for a key of the file, such as agents.hollow=20.",
)
OUT = click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=Path("runs"),
    show_default=True,
    help="Where the file of results goes.",
)


@click.group()
def main() -> None:
    """Run experiments on a small fleet of agents on loopback."""


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@OVERRIDES
def check(file: Path, overrides: tuple[str, ...]) -> None:
    """Say whether an experiment file can be used."""
    e = _read(file, overrides)
    click.echo(
        f"{file}: {e.name}: {e.servers.listed} servers, {e.agents.hollow} hollow and {e.agents.real} "
        f"real agents, {len(e.events)} events in {e.seconds:g} s"
    )


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@OVERRIDES
@OUT
@click.option("--quiet", is_flag=True, help="No progress.")
def run(file: Path, overrides: tuple[str, ...], out: Path, quiet: bool) -> None:
    """Play an experiment; write its results and print a short table."""
    e = _read(file, overrides)
    began = time.monotonic()

    def say(text: str) -> None:
        if not quiet:
            click.echo(f"[{time.monotonic() - began:6.1f} s] {text}", err=True)

    def whole() -> None:
        plays = []
        for n in range(e.plays):
            say(f"{e.name}: play {n + 1} of {e.plays}")
            plays.append(asyncio.run(Play(e, e.seed + n, say).run()))
        made = gathered(e, plays)
        path = write(made, out)
        click.echo(table(made))
        click.echo(f"  written to {path}")

    _to_the_end(whole)


@main.command()
@click.option("--sizes", default="20,200,1000,2000,6300", show_default=True, help="Servers listed.")
@click.option("--plays", default=3, show_default=True, type=click.IntRange(1, 20))
@click.option("--seed", default=1, show_default=True)
@OUT
def slopes(sizes: str, plays: int, seed: int, out: Path) -> None:
    """What lists, changes and decisions cost one agent, by the number of servers listed."""
    try:
        counts = [int(s) for s in sizes.split(",")]
        if min(counts) < 1 or max(counts) > 20_000:
            raise ValueError("from 1 to 20000 servers")
    except ValueError as e:
        _end(f"sizes: {e}", 2)

    async def play(seed: int) -> dict[str, float]:
        found: dict[str, float] = {}
        for servers in counts:
            role = await Role.begin("slopes")
            try:
                figures = await role.call("measure", servers=servers, seed=seed)
            finally:
                await role.end()
            found |= {f"{servers}.{key}": value for key, value in figures.items()}
        return found

    def whole() -> None:
        found = [asyncio.run(play(seed + n)) for n in range(plays)]
        made = results("slopes", seed, {"sizes": counts}, found, [])
        path = write(made, out)
        click.echo(by_size(made, counts))
        click.echo(f"  written to {path}")

    _to_the_end(whole)


def _to_the_end(work: Callable[[], None]) -> None:
    """What goes wrong is one line."""
    try:
        work()
    except KeyboardInterrupt:
        _end("interrupted", INTERRUPTED)
    except (PlayError, RoleError, OSError, MemoryError) as e:
        _end(" ".join(str(e).split()) or type(e).__name__, 1)


def _read(file: Path, overrides: tuple[str, ...]) -> Experiment:
    try:
        return read(file, overrides)
    except ExperimentError as e:
        _end(str(e), 2)


def _end(why: str, status: int) -> NoReturn:
    click.echo(f"fleet: {why}", err=True)
    sys.exit(status)


if __name__ == "__main__":
    main()
