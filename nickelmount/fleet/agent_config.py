"""The configuration of each agent of the fleet, in the format of the file that RELAY_CONFIG names."""

from __future__ import annotations

from typing import Any

from .experiment import Experiment

REQUEST_CLASS, METHOD = "read", "GET"  # All requests have this class and this method.
# Limit on the number of connections to endpoints for hollow agents and for the parts that `slopes` measures.
# The value has no effect, because neither of them sends requests to endpoints.
MAX_ENDPOINT_CONNECTIONS = 512


def build_agent_config(
    experiment: Experiment, number: int, discovery_port: int, cached_list: dict[str, Any]
) -> dict[str, Any]:
    """Return the configuration of the agent with this number; numbers start at 0.

    `discovery_port` is the port of discovery on loopback. `cached_list` is the endpoint list that the agent
    starts with.
    """
    return {
        "name": f"n{number}",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": f"{experiment.seed * 1_000_003 + number:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": cached_list,
        "settings": _settings(experiment, number),
    }


def _settings(experiment: Experiment, number: int) -> dict[str, Any]:
    servers, agents = experiment.servers, experiment.agents
    timeout_us = experiment.requests.timeout_ms * 1000
    return {
        "siblings": max(experiment.instance_count, agents.hollow + agents.real),
        "me": number,
        "zone": 0,
        "quantumUs": 5000,
        "registryMode": experiment.discovery.mode,
        "localities": [
            f"r{region}-z{zone}"
            for region in range(servers.regions)
            for zone in range(servers.zones_per_region)
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
                "aimUs": min(750_000, timeout_us),
                "deadlineUs": timeout_us,
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
    }
