"""When the requests of one stream are due. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import accumulate, count
from random import Random


def arrival_times_ns(rate_per_s: float, process: str, seed: int, name: str) -> Iterator[int]:
    """Yield when the requests of a stream are due, in ns after its start, without end.

    `process` is "poisson" or "even"; anything else raises ValueError. The same seed and name give the same
    times. An even stream begins at a random point of its first interval, so that streams do not coincide.
    """
    random = Random(f"{seed} {name}")
    if process == "even":
        first = random.random()
        return (int((first + number) / rate_per_s * 1e9) for number in count())
    if process == "poisson":
        intervals_s = (random.expovariate(rate_per_s) for _ in count())
        return (int(time_s * 1e9) for time_s in accumulate(intervals_s))
    raise ValueError(f"arrivals are poisson or even, not {process}")
