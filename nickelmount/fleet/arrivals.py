"""The arrival times of the requests of one stream. Nothing here does I/O or reads a clock."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import accumulate, count
from random import Random


def arrival_times_ns(rate_per_s: float, process: str, seed: int, name: str) -> Iterator[int]:
    """Return an endless iterator over the times at which requests are due, in ns after the stream's start.

    `process` is "poisson" or "even"; any other value raises ValueError. The same seed and name give the same
    times. An even stream begins at a random point in its first interval, so that the requests of several
    streams do not coincide.
    """
    random = Random(f"{seed} {name}")
    if process == "even":
        first = random.random()
        return (int((first + number) / rate_per_s * 1e9) for number in count())
    if process == "poisson":
        intervals_s = (random.expovariate(rate_per_s) for _ in count())
        return (int(time_s * 1e9) for time_s in accumulate(intervals_s))
    raise ValueError(f"arrivals is {process!r}; expected 'poisson' or 'even'")
