"""Sampling: the two endpoints that are compared for an attempt, and which of them takes it.

Two uniform samples are drawn with replacement among the endpoints of the subset that are eligible for the
request; the one in the lower band of the load table wins, and a tie goes at random.

An endpoint of the subset is allowed by the rules of retry.py, accepted by those of slow start and outlier
detection, and eligible if admission finds it worth sampling as well.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from .admission import AdmissionControl
from .endpoint import TrackedEndpoint
from .load_table import FRESH_REPORT_US, LoadTable
from .outlier_detection import OutlierDetector
from .quantile import cutoffs, takes_request
from .request import Request
from .retry import RetryRules
from .slow_start import SlowStart
from .subset import Subset

Pair = tuple[TrackedEndpoint, TrackedEndpoint]

MAX_DRAWS = 16  # until two samples are eligible
MAX_ENDPOINTS_CHECKED = 16  # no more endpoints than this are looked at one by one
ENDPOINTS_PER_SELECTION = 4  # a refresh over n endpoints serves n / 4 selections: its cost is shared by them
MAX_QUIET_FACTOR = 2  # gossip: an endpoint not heard of for so many times the usual age is unresponsive


@dataclass(slots=True, frozen=True)
class EligibilityRules:
    """The rules of other modules that an endpoint has to pass."""

    admission: AdmissionControl
    outliers: OutlierDetector
    slow_start: SlowStart
    retry: RetryRules
    is_probed: bool  # samples are asked for their load before anything is sent
    hears_all: bool  # gossip tells of the answers of all endpoints


class Sampler:
    """Draws samples, and compares them."""

    def __init__(self, rules: EligibilityRules, table: LoadTable, subset: Subset, rng: Random) -> None:
        self._rules, self._table, self._subset, self._rng = rules, table, subset, rng
        self._selections_left = 0  # that the last refresh still serves

    def invalidate(self) -> None:
        """Refresh before the next selection: the subset has changed."""
        self._selections_left = 0

    def refresh(self, now_us: int) -> None:
        """Compute means and cutoffs over the subset, unless the last ones still serve."""
        self._selections_left -= 1
        if self._selections_left >= 0:
            return
        endpoints, table, rules = self._subset.endpoints, self._table, self._rules
        self._selections_left = len(endpoints) // ENDPOINTS_PER_SELECTION
        rules.outliers.refresh(endpoints, now_us, table.typical_latency_us)
        table.refresh_means(endpoints, now_us)
        rules.slow_start.refresh(endpoints, now_us)
        for endpoint in endpoints:
            endpoint.warm_share = rules.slow_start.ramp.warm_share(endpoint, now_us)
            endpoint.service_time_us = table.estimate_service_time_us(endpoint, now_us, endpoint.warm_share)
        ranks = [table.backlog_time_us(endpoint, now_us, self._rng) for endpoint in endpoints]
        table.cutoffs = cutoffs(ranks) if ranks else []

    def endpoints_retry_allows(self, request: Request, now_us: int) -> list[TrackedEndpoint]:
        """Those of the subset to which the request may be sent by the rules of retry.py."""
        if self._rules.retry.is_unrestricted(request):
            return self._subset.endpoints
        return [e for e in self._subset.endpoints if self._rules.retry.allows(request, e, now_us)]

    def accepts(self, request: Request, endpoint: TrackedEndpoint, now_us: int) -> bool:
        """Whether an endpoint takes part: it is responsive, warm enough for this request, and no outlier."""
        rules, table = self._rules, self._table
        if rules.hears_all and self._is_unheard_of(request, endpoint, now_us):
            return False
        return rules.slow_start.admits(
            endpoint, request.draws.slow_start, rules.is_probed, table, now_us
        ) and rules.outliers.admits(endpoint, now_us, table.typical_latency_us)

    def _is_unheard_of(self, request: Request, endpoint: TrackedEndpoint, now_us: int) -> bool:
        """Where gossip tells of every answer, an endpoint of which nothing is heard is unresponsive.

        Some requests still try it, by their draw; of a warming one less is heard.
        """
        quiet_us: float = now_us - endpoint.last_report_at_us
        quiet_us = (
            quiet_us * request.draws.slow_start * self._rules.slow_start.ramp.warm_share(endpoint, now_us)
        )
        usual_us = max(FRESH_REPORT_US, now_us - self._table.median_last_report_at_us)
        return quiet_us > MAX_QUIET_FACTOR * usual_us

    def draw_pair(self, request: Request, allowed: list[TrackedEndpoint], now_us: int) -> Pair | None:
        """Two uniform samples with replacement among the eligible endpoints that were not attempted yet.

        None: too few draws succeeded. Of few endpoints each is looked at before that, attempted ones
        included.
        """
        random, count = self._rng.random, len(allowed)
        admission = self._rules.admission
        limit_us = admission.predicted_time_limit_us(request, now_us)
        left_us = request.objective_at_us - now_us
        eligible: list[TrackedEndpoint] = []
        draws = 0
        max_draws = max(2, min(MAX_DRAWS, count // 2))
        while draws < max_draws and len(eligible) < 2:
            endpoint = allowed[int(random() * count)]
            draws += 1
            if (
                endpoint not in request.attempted
                and self.accepts(request, endpoint, now_us)
                and admission.is_worth_sampling(request, endpoint, limit_us, left_us, now_us)
            ):
                eligible.append(endpoint)
        self._rules.slow_start.drew(len(eligible) / draws, draws, count, now_us)
        if len(eligible) == 2:
            return eligible[0], eligible[1]
        if count <= MAX_ENDPOINTS_CHECKED:
            eligible = [e for e in allowed if self.accepts(request, e, now_us)]
            eligible = [e for e in eligible if e not in request.attempted] or eligible
            eligible = [
                e for e in eligible if admission.is_worth_sampling(request, e, limit_us, left_us, now_us)
            ]
        if not eligible:
            return None
        return eligible[int(random() * len(eligible))], eligible[int(random() * len(eligible))]

    def lighter(self, pair: Pair, now_us: int) -> TrackedEndpoint:
        """The sample in the lower band."""
        one, other = pair
        table, rng = self._table, self._rng
        load, other_load = table.backlog_time_us(one, now_us, rng), table.backlog_time_us(other, now_us, rng)
        return one if takes_request(rng, table.cutoffs, load, other_load) else other
