"""The Quantile process of Los and Sauerwald, which compares two samples by the bands of their loads.

Cutoffs at a few quantiles divide the load table into bands. Of two uniform samples the one in the lower band
takes the request; a tie is decided at random.
"""

from __future__ import annotations

from functools import lru_cache
from math import ceil, log2
from random import Random

QUANTILE_QUERIES = 8  # Parameter k of Quantile(d1 .. dk), which is the largest number of cutoffs.


@lru_cache(maxsize=4096)
def cutoff_ranks(count: int, queries: int = QUANTILE_QUERIES) -> tuple[int, ...]:
    """Return the cutoff ranks of Quantile(d1 .. dk) among `count` endpoints. Rank 1 is the most loaded."""
    deltas = [2 ** (-0.5 * log2(count) ** ((queries - i) / queries)) for i in range(1, queries)]
    ranks = {ceil(delta * count - 1e-9) for delta in deltas if delta < 0.5} | {ceil(count / 2)}
    return tuple(sorted(ranks))


def cutoffs(loads: list[float]) -> list[float]:
    """Return the loads at the cutoff ranks, highest first."""
    descending = sorted(loads, reverse=True)
    return [descending[rank - 1] for rank in cutoff_ranks(len(loads))]


def takes_request(rng: Random, cutoff_loads: list[float], load: float, other_load: float) -> bool:
    """Return whether the first of two samples is in the lower band, or wins the random draw of a tie."""
    band = sum(load >= cutoff for cutoff in cutoff_loads)
    other_band = sum(other_load >= cutoff for cutoff in cutoff_loads)
    return band < other_band or (band == other_band and rng.random() < 0.5)
