"""What each agent of the fleet is told: its configuration, in the form that RELAY_CONFIG has."""

from __future__ import annotations

from typing import Any

from .experiment import Experiment

REQUEST_CLASS, METHOD = "read", "GET"


def config(e: Experiment, number: int, discovery: int, known: dict[str, Any]) -> dict[str, Any]:
    """The configuration of one agent; `discovery` is a port on loopback, `known` the list that it has."""
    return {
        "name": f"n{number}",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": f"{e.seed * 1_000_003 + number:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": {
            "siblings": max(e.siblings, e.agents.hollow + e.agents.real),
            "me": number,
            "zone": 0,
            "quantumUs": 5000,
            "registryMode": e.discovery.mode,
            "localities": [
                f"r{r}-z{z}" for r in range(e.servers.regions) for z in range(e.servers.zones_per_region)
            ],
            "skus": ["fast-1c", "mid-1c", "slow-1c"],
            "weightKind": "rough",
            "allowed": {
                "cancel": True,
                "probes": False,
                "secondCopies": False,
                "maxAttempts": 6,
                "connectTimeoutUs": 250_000,
                "connIdleUs": 10_000_000,
                "retryAfter": True,
                "maxRetryAfterUs": 2_000_000,
            },
            "profiles": [
                {
                    "name": REQUEST_CLASS,
                    "aimUs": min(750_000, e.calls.timeout_ms * 1000),
                    "deadlineUs": e.calls.timeout_ms * 1000,
                    "repeat": "retryable",
                    "value": 1.0,
                    "lateWorth": 0.3,
                }
            ],
            "report": {"columns": ["inflight", "queue", "latency_ms"], "source": "inline"},
            "rules": {
                "askWithinUs": 10_000_000,
                "drainGraceUs": 500_000,
                "fallMultiple": 3.0,
                "graceToAnswerUs": 20_000,
                "startCapacity": 0.13,
                "tipAfterUs": 2_000_000,
                "warmUpUs": 24_000_000,
            },
            "prices": {"probe": 0.06, "handshake": 0.02},
            "tenants": [],
        },
    }
