"""The watch of the endpoint list: when it is opened at the start, and reopened after a failed call.

A long poll that stops responding and a changed address of discovery are handled in
agent/discovery_client.py.
"""

from __future__ import annotations

from random import Random

from .events import ListUpdateKind
from .settings import DiscoveryMode, Settings
from .units import MILLISECOND_US, SECOND_US

FIRST_BACKOFF_US = 200 * MILLISECOND_US
MAX_BACKOFF_US = 2 * SECOND_US
# Range of the random factor on each backoff, so that calls that failed together are not repeated together.
BACKOFF_JITTER = (0.5, 1.5)
# Time that a shared discovery is assumed to need for the call of one instance.
DISCOVERY_TIME_PER_CALL_US = 100 * MILLISECOND_US
SIMULTANEOUS_FIRST_CALLS = 10  # Up to this many instances may call a shared discovery at the same time.


class EndpointWatch:
    """The state of the watch, and the delays after which it is opened or reopened.

    A shared discovery gets the calls of all instances. The first calls are spread over time, and the backoff
    grows with the number of instances; otherwise discovery would work on calls that the agents have already
    given up. On the other hand, a change counts as notified `notified_after_us` after discovery can be
    reached again. A call that began just before the end of the outage and still fails, the longest backoff
    and the next call must together fit into this time.

    A local discovery answers at once. Its changes count as notified even if no watch is open. The next call
    must therefore come well within `drain_grace_us`, the time for which requests may still be sent to
    draining endpoints.
    """

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._rng = rng
        self._is_polled = settings.discovery_mode is DiscoveryMode.POLL
        self._is_open = False
        if settings.discovery_is_local:
            self._first_call_spread_us = 0
            max_backoff_us = max(10 * MILLISECOND_US, settings.drain_grace_us // 4)
            self._first_backoff_us = self._max_backoff_us = min(FIRST_BACKOFF_US, max_backoff_us)
        else:
            all_calls_us = settings.instance_count * DISCOVERY_TIME_PER_CALL_US
            notified_after_us = settings.notified_after_us
            # The largest backoff that still leaves time for two calls, even with the largest jitter.
            limit_us = int((notified_after_us - 2 * settings.list_call_timeout_us) / BACKOFF_JITTER[1])
            simultaneous_calls_us = SIMULTANEOUS_FIRST_CALLS * DISCOVERY_TIME_PER_CALL_US
            self._first_call_spread_us = min(all_calls_us - simultaneous_calls_us, notified_after_us // 2)
            self._first_backoff_us = min(
                limit_us, max(FIRST_BACKOFF_US, min(all_calls_us, notified_after_us) // 2)
            )
            self._max_backoff_us = min(
                limit_us, max(MAX_BACKOFF_US, min(2 * all_calls_us, notified_after_us))
            )
        self._backoff_us = self._first_backoff_us

    def open(self) -> bool:
        """Mark the watch as open, and return whether it was closed before."""
        was_open, self._is_open = self._is_open, True
        return not was_open

    def delay_after_us(self, kind: ListUpdateKind) -> int | None:
        """Return the delay after which to open the watch, now that a list update of this kind has come.

        After FAILED, this is the backoff. Otherwise it is None if the watch is open or changes are pushed.
        The delay of the first call, after CACHED, is random if many instances share discovery. In all other
        cases the delay is 0.
        """
        if kind is ListUpdateKind.FAILED:
            self._is_open = False
            return self._next_backoff_us()
        if kind is not ListUpdateKind.CACHED:
            self._backoff_us = self._first_backoff_us  # A call was answered.
        if not self._is_polled or self._is_open:
            return None
        if kind is ListUpdateKind.CACHED and self._first_call_spread_us > 0:
            return max(1, int(self._first_call_spread_us * self._rng.random()))
        return 0

    def _next_backoff_us(self) -> int:
        """Return the current backoff with jitter, and double the backoff for the next failure."""
        delay_us = int(self._backoff_us * self._rng.uniform(*BACKOFF_JITTER))
        self._backoff_us = min(2 * self._backoff_us, self._max_backoff_us)
        return max(1, delay_us)
