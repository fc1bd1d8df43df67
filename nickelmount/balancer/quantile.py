"""The Quantile process of Los and Sauerwald: of two samples the one in the lower band wins.

The load table is cut at a few quantiles. Of two uniform samples the one in the lower band takes the request;
a tie goes at random.
"""

from __future__ import annotations

from functools import lru_cache
from math import ceil, log2
from random import Random

QUANTILE_QUERIES = 8  # k of Quantile(d1 .. dk): at most this many cutoffs


@lru_cache(maxsize=4096)
def cutoff_ranks(count: int, queries: int = QUANTILE_QUERIES) -> tuple[int, ...]:
    """The ranks, counted from the most loaded, at which Quantile(d1 .. dk) cuts so many endpoints."""
    deltas = [2 ** (-0.5 * log2(count) ** ((queries - i) / queries)) for i in range(1, queries)]
    ranks = {ceil(delta * count - 1e-9) for delta in deltas if delta < 0.5} | {ceil(count / 2)}
    return tuple(sorted(ranks))


def cutoffs(loads: list[float]) -> list[float]:
    """The loads at these ranks."""
    ordered = sorted(loads, reverse=True)
    return [ordered[rank - 1] for rank in cutoff_ranks(len(loads))]


def takes_request(rng: Random, cutoff_loads: list[float], load: float, other_load: float) -> bool:
    """Whether the first of two samples takes the request: it lies in the lower band, or wins the tie."""
    band = sum(load >= cutoff for cutoff in cutoff_loads)
    other_band = sum(other_load >= cutoff for cutoff in cutoff_loads)
    return band < other_band or (band == other_band and rng.random() < 0.5)
