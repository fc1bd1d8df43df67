"""The Quantile process against cutoffs worked out by hand and the paper's probability vector (3.1)."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from nickelmount.balancer.quantile import cutoff_ranks, cutoffs, takes_request


def choose(rng: Random, loads: list[float], cutoff_loads: list[float]) -> int:
    """Draw two uniform samples with replacement; return the index of the one that takes the request."""
    i, j = rng.randrange(len(loads)), rng.randrange(len(loads))
    return i if takes_request(rng, cutoff_loads, loads[i], loads[j]) else j


@pytest.mark.parametrize(
    ("n", "ranks"),
    [
        (1, (1,)),
        (2, (1,)),
        (10, (5,)),
        (16, (8,)),
        (17, (9,)),
        (20, (10,)),
        (64, (28, 32)),
        (1000, (335, 500)),
    ],
)
def test_cutoffs_for_two_queries(n: int, ranks: tuple[int, ...]) -> None:
    assert cutoff_ranks(n, 2) == ranks


@pytest.mark.parametrize("n", [10, 64])
def test_frequency_by_rank_follows_the_paper(n: int) -> None:
    loads = [float(n - i) for i in range(n)]  # The loads are distinct, and each index is the rank less one.
    rng, draws = Random(5), 200_000
    counts = Counter(choose(rng, loads, cutoffs(loads)) for _ in range(draws))
    bounds = [0, *cutoff_ranks(n), n]
    deltas = [bound / n for bound in bounds]
    for i in range(1, len(bounds)):
        expected = (deltas[i - 1] + deltas[i]) / n
        measured = (
            sum(counts[r] for r in range(bounds[i - 1], bounds[i])) / draws / (bounds[i] - bounds[i - 1])
        )
        assert measured == pytest.approx(expected, rel=0.03)


def test_equal_loads_are_chosen_equally_often() -> None:
    rng = Random(3)
    counts = Counter(choose(rng, [2.0] * 8, cutoffs([2.0] * 8)) for _ in range(80_000))
    assert all(counts[i] == pytest.approx(10_000, rel=0.05) for i in range(8))


def test_a_load_equal_to_the_cutoff_is_in_the_upper_band() -> None:
    # Three of four loads equal the load at the median rank, so all three are in the upper band, and the one
    # lower load is preferred.
    rng, loads = Random(3), [3.0, 3.0, 3.0, 1.0]
    counts = Counter(choose(rng, loads, cutoffs(loads)) for _ in range(40_000))
    assert counts[3] / 40_000 == pytest.approx(7 / 16, rel=0.05)
