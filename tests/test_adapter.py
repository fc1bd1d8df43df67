"""Tests of the simulator's adapter: errors for invalid input, and replies that depend on the events only."""

from __future__ import annotations

import json
import os
import struct
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent
SETTINGS: dict[str, Any] = {
    "allowed": {"cancel": True, "probes": False, "secondCopies": True, "maxAttempts": 4},
    "siblings": 2,
    "zone": 0,
    "profiles": [{"name": "a", "aimUs": 500000, "deadlineUs": 2000000, "repeat": "retryable"}],
    "unknown": 1,
    "registryMode": "push",
    "quantumUs": 5000,
    "report": {"columns": ["inflight"], "source": "inline"},
    "rules": {"startCapacity": 0.2, "warmUpUs": 10_000_000, "fallMultiple": 3.0, "tipAfterUs": 1_000_000},
}


def frame(now: int, records: list[bytes], tail: bytes = b"") -> bytes:
    body = b"".join(r.ljust(48, b"\0") for r in records) + tail
    return struct.pack(">QII", now, 16 + len(body), len(records)) + body


def spawn(instance: int, settings: bytes) -> bytes:
    return struct.pack(">BHQII", 10, instance, 7 + instance, 0, len(settings))


def list_entries(count: int) -> bytes:
    ids = [bytes([10, 0, 0, i, 1, 2]) for i in range(count)]
    return b"".join(struct.pack(">6sHBHBfQ", id_, 0, 0, 0, 1, 1.0, 0) for id_ in ids)


def request(instance: int, request_id: int) -> bytes:
    return struct.pack(">BHQIIQHBI", 30, instance, request_id, 0, 900000, 0, 0, 0, 0)


def attempt_ended(instance: int, outcome: int) -> bytes:
    return struct.pack(">BHQBHI6sHB4f", 50, instance, 1, 0, 0, 5, b"abcdef", outcome, 0, 0, 0, 0, 0)


def input_for(instances: list[int]) -> bytes:
    """Return frames that start the instances, give each an endpoint list, and then send it 40 requests."""
    settings, entries = json.dumps(SETTINGS).encode(), list_entries(6)
    frames = b""
    for i in instances:
        define_list = struct.pack(">BBII", 110, 0, len(settings), 6)
        endpoints_changed = struct.pack(">BHQBB", 20, i, 1, 0, 0)
        frames += frame(1000, [spawn(i, settings), define_list, endpoints_changed], settings + entries)
    for n in range(40):
        frames += b"".join(frame(2000 + n * 5000, [request(i, 100 * i + n)]) for i in instances)
    return frames


def run(data: bytes, hash_seed: str = "0") -> subprocess.CompletedProcess[bytes]:
    """Run the adapter with the given input until it exits."""
    env = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(ROOT)}
    return subprocess.run(
        [sys.executable, "-m", "nickelmount.simulator"], input=data, capture_output=True, env=env
    )


def split_replies(data: bytes) -> list[bytes]:
    result = []
    while data:
        (size,) = struct.unpack_from(">I", data)
        result.append(data[:size])
        data = data[size:]
    return result


def test_hash_seed_and_other_instances_do_not_change_replies() -> None:
    together = run(input_for([0, 1]))
    assert together.returncode == 0
    assert together.stderr == b""
    assert run(input_for([0, 1]), hash_seed="12345").stdout == together.stdout
    both = split_replies(together.stdout)
    for i in (0, 1):
        alone = split_replies(run(input_for([i])).stdout)
        assert alone == [both[i], *both[2 + i :: 2]]
    assert any(reply[8:9] == b"\x0a" for reply in both)  # Some replies begin with a SendAttempt.


SETTINGS_BYTES = json.dumps(SETTINGS).encode()
RULES = SETTINGS["rules"]
# Settings with invalid values
NAN = json.dumps({**SETTINGS, "rules": {**RULES, "fallMultiple": float("nan")}}).encode()
INFINITE = json.dumps({**SETTINGS, "quantumUs": float("inf")}).encode()
OUT_OF_RANGE = json.dumps({**SETTINGS, "rules": {**RULES, "startCapacity": 1.5}}).encode()
WITHOUT_RULES = json.dumps({k: v for k, v in SETTINGS.items() if k != "rules"}).encode()
# Invalid inputs, each with a part of the error that it must cause
INVALID_INPUTS = {
    "truncated header": (b"\0" * 5, b"inside a frame header"),
    "truncated frame": (frame(1, [b"\x46"])[:-3], b"ends 3 bytes early"),
    "length too small": (struct.pack(">QII", 1, 4, 0), b"less than its header"),
    "records do not fit": (struct.pack(">QII", 1, 16, 2), b"do not fit"),
    "unknown code": (
        frame(1, [spawn(0, SETTINGS_BYTES), struct.pack(">BH", 99, 0)], SETTINGS_BYTES),
        b"code 99",
    ),
    "unknown list": (
        frame(1, [spawn(0, SETTINGS_BYTES), struct.pack(">BHQBB", 20, 0, 1, 3, 2)], SETTINGS_BYTES),
        b"list 3",
    ),
    "not running": (frame(1, [request(5, 1)]), b"instance 5"),
    "beyond the tail": (frame(1, [spawn(0, SETTINGS_BYTES)]), b"beyond the tail"),
    "not JSON": (frame(1, [spawn(0, b"{")], b"{"), b"not JSON"),
    "not finite": (frame(1, [spawn(0, NAN)], NAN), b"overload_multiple"),
    "not an integer": (frame(1, [spawn(0, INFINITE)], INFINITE), b"settings"),
    "out of range": (frame(1, [spawn(0, OUT_OF_RANGE)], OUT_OF_RANGE), b"warm_up_start_capacity"),
    "unknown outcome": (
        frame(1, [spawn(0, SETTINGS_BYTES), attempt_ended(0, 77)], SETTINGS_BYTES),
        b"bad value 77",
    ),
    "gossip beyond the tail": (
        frame(1, [spawn(0, SETTINGS_BYTES), struct.pack(">BHHII", 90, 0, 1, 9999, 4)], SETTINGS_BYTES),
        b"beyond",
    ),
    "frame length beyond the input": (struct.pack(">QII", 1, 1 << 31, 0) + b"x" * 50, b"ends"),
    "missing key": (frame(1, [spawn(0, WITHOUT_RULES)], WITHOUT_RULES), b"rules"),
}


@pytest.mark.parametrize("name", list(INVALID_INPUTS))
def test_invalid_input_causes_one_line_of_error(name: str) -> None:
    data, expected = INVALID_INPUTS[name]
    completed = run(data)
    assert completed.returncode == 2
    assert completed.stdout == b""
    assert expected in completed.stderr
    assert completed.stderr.count(b"\n") == 1
    assert b"Traceback" not in completed.stderr


def test_an_exception_in_a_balancer_is_reported_in_the_reply() -> None:
    invalid = struct.pack(">BHQIIQHBI", 30, 0, 1, 0, 900000, 0, 9, 0, 0)  # Class 9 does not exist.
    completed = run(frame(1, [spawn(0, SETTINGS_BYTES), invalid], SETTINGS_BYTES))
    assert completed.returncode == 0
    assert b"ValueError: request_class" in completed.stdout
    assert completed.stdout[8] == 100


def test_the_adapter_exits_without_output_at_the_end_of_input() -> None:
    completed = run(b"")
    assert completed.returncode == 0
    assert completed.stdout == b""
    assert completed.stderr == b""


def test_invalid_gossip_from_another_instance_is_accepted_without_an_action() -> None:
    settings = {**SETTINGS, "allowed": {**SETTINGS["allowed"], "peers": True}}
    text = json.dumps(settings).encode()
    gossip = struct.pack(">BHHII", 90, 0, 1, len(text), 4)
    completed = run(frame(1, [spawn(0, text), gossip], text + b"junk"))
    assert completed.returncode == 0
    assert split_replies(completed.stdout)[0][4:8] == bytes(4)
