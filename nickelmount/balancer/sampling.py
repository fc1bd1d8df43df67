"""Sampling: which two endpoints are compared for an attempt, and which of them gets it.

Two uniform samples are drawn with replacement among the endpoints of the subset that are eligible for the
request. The sample in the lower band of the load table gets the attempt; a tie is decided at random.

An endpoint of the subset is

- allowed for a request if the rules of retry.py permit it;
- accepted if slow start and outlier detection admit it and, with gossip, it is not silent;
- eligible if it is allowed and accepted, and admission.py finds it worth sampling.
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

MAX_DRAWS = 16  # Maximum number of draws to find two eligible samples.
MAX_ENDPOINTS_CHECKED = 16  # Maximum number of endpoints that are checked one by one.
# A refresh over n endpoints also serves the next n / 4 selections, so that its cost is shared by them.
ENDPOINTS_PER_SELECTION = 4
# With gossip, an endpoint is silent if its last load report is older than this multiple of the usual age.
MAX_SILENCE_FACTOR = 2


@dataclass(slots=True, frozen=True)
class EligibilityRules:
    """The rules of other modules that decide whether an endpoint is eligible."""

    admission: AdmissionControl
    outliers: OutlierDetector
    slow_start: SlowStart
    retry: RetryRules
    is_probed: bool  # Samples are asked for their load before a request is sent.
    has_gossip: bool  # Other balancers report the answers that they get from any endpoint.


class Sampler:
    """Draws two samples for an attempt, and compares them."""

    def __init__(self, rules: EligibilityRules, table: LoadTable, subset: Subset, rng: Random) -> None:
        self._rules, self._table, self._subset, self._rng = rules, table, subset, rng
        self._selections_left = 0  # Selections that the last refresh still serves.

    def invalidate(self) -> None:
        """Force a refresh before the next selection, because the subset has changed."""
        self._selections_left = 0

    def refresh(self, now_us: int) -> None:
        """Recompute the values that depend on the whole subset, such as the means and cutoffs.

        Nothing is recomputed if the last refresh still serves this selection.
        """
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
        backlogs_us = [table.backlog_time_us(endpoint, now_us, self._rng) for endpoint in endpoints]
        table.cutoffs = cutoffs(backlogs_us) if backlogs_us else []

    def allowed_endpoints(self, request: Request, now_us: int) -> list[TrackedEndpoint]:
        """Return the endpoints of the subset to which the rules of retry.py permit sending the request."""
        if self._rules.retry.is_unrestricted(request):
            return self._subset.endpoints
        return [e for e in self._subset.endpoints if self._rules.retry.allows(request, e, now_us)]

    def accepts(self, request: Request, endpoint: TrackedEndpoint, now_us: int) -> bool:
        """Return whether an endpoint is not silent, admits the request in slow start, and is no outlier."""
        rules, table = self._rules, self._table
        if rules.has_gossip and self._is_silent(request, endpoint, now_us):
            return False
        return rules.slow_start.admits(
            endpoint, request.draws.slow_start, rules.is_probed, table, now_us
        ) and rules.outliers.admits(endpoint, now_us, table.typical_latency_us)

    def still_accepts(
        self, request: Request, endpoint: TrackedEndpoint, drawn_start_us: int, now_us: int
    ) -> bool:
        """Return whether an endpoint that was accepted when it was drawn for a request is accepted now.

        `drawn_start_us` is its start time when it was drawn. Slow start is asked again only if another
        process runs there now, because it admits some requests by a new random number each time: if it was
        asked twice, a warming endpoint would get a smaller share.
        """
        if endpoint.started_at_us != drawn_start_us:
            return self.accepts(request, endpoint, now_us)
        return self._rules.outliers.admits(endpoint, now_us, self._table.typical_latency_us)

    def _is_silent(self, request: Request, endpoint: TrackedEndpoint, now_us: int) -> bool:
        """Return whether an endpoint seems to have stopped answering, by the time since its last load report.

        The time since the last report is scaled by a draw of the request, so that some requests still try the
        endpoint, and by the warm share, because a warming endpoint is reported less often. The usual time is
        the median over the endpoints of the subset, but at least FRESH_REPORT_US.
        """
        silence_us: float = now_us - endpoint.last_report_at_us
        silence_us = (
            silence_us * request.draws.slow_start * self._rules.slow_start.ramp.warm_share(endpoint, now_us)
        )
        usual_silence_us = max(FRESH_REPORT_US, now_us - self._table.median_last_report_at_us)
        return silence_us > MAX_SILENCE_FACTOR * usual_silence_us

    def draw_pair(self, request: Request, allowed: list[TrackedEndpoint], now_us: int) -> Pair | None:
        """Draw two uniform samples with replacement among the eligible endpoints not yet attempted.

        If too few draws succeed, and at most MAX_ENDPOINTS_CHECKED endpoints are allowed, each of them is
        checked; those that were attempted are then included if no others are accepted. Both samples may be
        the same endpoint. Return None if no eligible endpoint is found.
        """
        random, count = self._rng.random, len(allowed)
        admission = self._rules.admission
        time_limit_us = admission.predicted_time_limit_us(request, now_us)
        time_to_objective_us = request.objective_at_us - now_us
        eligible: list[TrackedEndpoint] = []
        draws = 0
        max_draws = max(2, min(MAX_DRAWS, count // 2))
        while draws < max_draws and len(eligible) < 2:
            endpoint = allowed[int(random() * count)]
            draws += 1
            if (
                endpoint not in request.attempted_endpoints
                and self.accepts(request, endpoint, now_us)
                and admission.is_worth_sampling(
                    request, endpoint, time_limit_us, time_to_objective_us, now_us
                )
            ):
                eligible.append(endpoint)
        self._rules.slow_start.record_draws(len(eligible) / draws, draws, count, now_us)
        if len(eligible) == 2:
            return eligible[0], eligible[1]
        if count <= MAX_ENDPOINTS_CHECKED:
            eligible = [e for e in allowed if self.accepts(request, e, now_us)]
            eligible = [e for e in eligible if e not in request.attempted_endpoints] or eligible
            eligible = [
                e
                for e in eligible
                if admission.is_worth_sampling(request, e, time_limit_us, time_to_objective_us, now_us)
            ]
        if not eligible:
            return None
        return eligible[int(random() * len(eligible))], eligible[int(random() * len(eligible))]

    def less_loaded(self, pair: Pair, now_us: int) -> TrackedEndpoint:
        """Return the sample in the lower band, or either one at random if both are in the same band."""
        first, second = pair
        table, rng = self._table, self._rng
        load, second_load = (
            table.backlog_time_us(first, now_us, rng),
            table.backlog_time_us(second, now_us, rng),
        )
        return first if takes_request(rng, table.cutoffs, load, second_load) else second
