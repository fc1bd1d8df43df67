"""The fleet tool on its command line: its counts, its one-line errors, and the end of its processes."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import psutil
import pytest

from nickelmount.fleet import runner
from nickelmount.fleet.errors import RunError
from nickelmount.fleet.experiment import read_experiment
from nickelmount.fleet.runner import ExperimentRun

ROOT = Path(__file__).parent.parent
SMALL = ROOT / "experiments" / "small.toml"


def run_fleet_tool(*arguments: str | Path) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "nickelmount.fleet", *map(str, arguments)],
        cwd=ROOT,
        timeout=120,
        capture_output=True,
        text=True,
    )


def read_medians(folder: Path) -> dict[str, Any]:
    (path,) = folder.glob("*.json")
    return {name: f["median"] for name, f in json.loads(path.read_text())["figures"].items()}


def test_every_agent_has_the_last_change_and_no_request_is_lost(tmp_path: Path) -> None:
    """Servers drain, a rack is lost, agents restart, and discovery fails and loses its history.

    Because the history is lost, each agent needs the complete list again.
    """
    completed = run_fleet_tool("run", SMALL, "--quiet", "--out", tmp_path)
    assert completed.returncode == 0, completed.stderr
    measured = read_medians(tmp_path)
    reached = {name: x for name, x in measured.items() if name.endswith(".reached.share")}
    assert len(reached) == 5, reached
    assert set(reached.values()) == {1.0}, reached
    calls = {name: x for name, x in measured.items() if name.startswith("calls.") and name.endswith(".count")}
    assert sum(x for name, x in calls.items() if name.endswith(".calls.count")) > 200
    assert sum(x for name, x in calls.items() if name.endswith(".lost.count")) == 0, calls
    assert measured["servers.seen_twice.count"] == 0
    assert measured["discovery.whole.count"] >= 24


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("name = 'x'\nseconds = 'long'", "seconds: Expected `float`, got `str`"),
        ("name = 'x'\n[agents]\nreel = 2", "agents: Object contains unknown field `reel`"),
        ("name = 'x'\n[agents]\nhollow = 0\nreal = 0", "agents: hollow and real are both 0"),
        ("name = 'x'\n[[events]]\nkind = 'quake'\nat_s = 1.0", "events[0].kind: Invalid value 'quake'"),
        ("name = 'x'\n[[events]]\nkind = 'drip'\nat_s = 99.0", "events[0].at_s: 99.0 is after the end"),
        ("name = 'x'\n[[events]]\nkind = 'outage'\nat_s = 9.0\nfor_s = 4.0", "events[0].for_s"),
        (
            "name = 'x'\n[[events]]\nkind = 'change'\nat_s = 1.0\ncount = 999",
            "events[0].count: 999 is more than the 200 servers",
        ),
        ("name = ", "Invalid value"),
        ("", "missing required field `name`"),
    ],
)
def test_an_invalid_file_is_reported_in_one_line_with_key_and_fault(
    tmp_path: Path, text: str, message: str
) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(text)
    completed = run_fleet_tool("check", path)
    assert completed.returncode == 2
    assert not completed.stdout
    (line,) = completed.stderr.splitlines()
    assert message in line
    assert str(path) in line


def test_a_missing_file_and_a_bad_override_are_reported_in_one_line(tmp_path: Path) -> None:
    missing = tmp_path / "none.toml"
    for arguments in ([missing], [SMALL, "--set", "agents.real=many"], [SMALL, "--set", "seed"]):
        completed = run_fleet_tool("run", *arguments)
        assert completed.returncode == 2, completed.stderr
        assert len(completed.stderr.splitlines()) == 1, completed.stderr


def start_run(out: Path) -> subprocess.Popen[str]:
    """Start a run, and return its process as soon as its first event has happened."""
    command = [sys.executable, "-m", "nickelmount.fleet", "run", str(SMALL), "--out", str(out)]
    process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True)
    assert process.stderr is not None
    while "change@0.5" not in (line := process.stderr.readline()):
        assert line, "the run ended before its first event"
    return process


def test_an_interrupted_run_leaves_no_process_behind(tmp_path: Path) -> None:
    """A person interrupts a run. The run prints one line and writes no results, and all its processes end."""
    with start_run(tmp_path) as process:
        children = psutil.Process(process.pid).children(recursive=True)
        # These are the endpoints, discovery, two workers of hollow agents, the process that starts the real
        # agents, one real agent, and the load generator.
        assert len(children) >= 7
        process.send_signal(signal.SIGINT)
        assert process.wait(20) == 130
        assert process.stderr is not None
        assert process.stderr.read().splitlines()[-1] == "fleet: interrupted"
    _, alive = psutil.wait_procs(children, timeout=10)
    assert not alive
    assert not list(tmp_path.iterdir())


def test_a_runner_that_is_killed_leaves_no_process_behind(tmp_path: Path) -> None:
    """The runner is killed and cannot end its processes. They end because their input ends."""
    with start_run(tmp_path) as process:
        children = psutil.Process(process.pid).children(recursive=True)
        process.kill()
    _, alive = psutil.wait_procs(children, timeout=10)
    assert not alive


@pytest.mark.parametrize(
    ("limit", "value", "message"),
    [("MAX_MEMORY_SHARE", 1e-6, "memory: "), ("START_AND_END_TIMEOUT_S", -22.0, "did not end within")],
)
def test_a_run_that_exceeds_a_limit_is_stopped_and_leaves_no_process(
    monkeypatch: pytest.MonkeyPatch, limit: str, value: float, message: str
) -> None:
    """A run uses more memory or more time than its limit allows."""
    monkeypatch.setattr(runner, limit, value)
    with pytest.raises(RunError, match=message):
        asyncio.run(ExperimentRun(read_experiment(SMALL), 1, lambda _: None).run())
    assert not psutil.Process().children(recursive=True)
