"""The watch of the endpoint list: when it is opened, at the start and again after a call has failed.

A long poll that falls silent, and a changed address of discovery, are handled in agent/discovery_client.py.
"""

from __future__ import annotations

from random import Random

from .events import ListUpdateKind
from .settings import DiscoveryMode, Settings
from .units import MILLISECOND_US, SECOND_US

FIRST_BACKOFF_US = 200 * MILLISECOND_US
MAX_BACKOFF_US = 2 * SECOND_US
# Multiples of the backoff, so that calls that failed together are not repeated together.
BACKOFF_JITTER = (0.5, 1.5)
# A shared discovery is given so long for each instance's call.
DISCOVERY_TIME_PER_CALL_US = 100 * MILLISECOND_US
SIMULTANEOUS_FIRST_CALLS = 10  # so many instances may call a shared discovery at once


class EndpointWatch:
    """Whether the watch is open, and the delays with which it is opened, in microseconds.

    A shared discovery gets the calls of all instances: they are spread at the start, and wait longer after a
    failure the more instances there are, else it would work on calls whose agents have given up. But a change
    counts as notified some time after discovery can be reached again, so a call that began just before and
    fails, the longest delay and the next call must fit into that time.

    A local discovery answers at once. What it has counts as notified though no watch is open: the next call
    must come well within the grace for draining endpoints.
    """

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._rng = rng
        self._is_polled = settings.discovery_mode is DiscoveryMode.POLL
        self._is_open = False
        if settings.discovery_is_local:
            self._spread_us = 0
            max_us = max(10 * MILLISECOND_US, settings.drain_grace_us // 4)
            self._first_us = self._max_us = min(FIRST_BACKOFF_US, max_us)
        else:
            all_calls_us = settings.instance_count * DISCOVERY_TIME_PER_CALL_US
            notified_after_us = settings.notified_after_us
            longest_us = int((notified_after_us - 2 * settings.list_call_timeout_us) / BACKOFF_JITTER[1])
            unspread_us = SIMULTANEOUS_FIRST_CALLS * DISCOVERY_TIME_PER_CALL_US
            self._spread_us = min(all_calls_us - unspread_us, notified_after_us // 2)
            self._first_us = min(longest_us, max(FIRST_BACKOFF_US, min(all_calls_us, notified_after_us) // 2))
            self._max_us = min(longest_us, max(MAX_BACKOFF_US, min(2 * all_calls_us, notified_after_us)))
        self._backoff_us = self._first_us

    def open(self) -> bool:
        """Mark the watch open; return whether it was closed."""
        was_open, self._is_open = self._is_open, True
        return not was_open

    def delay_after_us(self, kind: ListUpdateKind) -> int | None:
        """After which delay the watch is to be opened, now that a list update has come; None: not at all."""
        if kind is ListUpdateKind.FAILED:
            self._is_open = False
            return self._delay_after_failure_us()
        if kind is not ListUpdateKind.CACHED:
            self._backoff_us = self._first_us  # a call was answered
        if not self._is_polled or self._is_open:
            return None
        if kind is ListUpdateKind.CACHED and self._spread_us > 0:
            return max(1, int(self._spread_us * self._rng.random()))
        return 0

    def _delay_after_failure_us(self) -> int:
        """Doubled each time."""
        delay_us = int(self._backoff_us * self._rng.uniform(*BACKOFF_JITTER))
        self._backoff_us = min(2 * self._backoff_us, self._max_us)
        return max(1, delay_us)
