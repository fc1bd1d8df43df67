"""Slow start: how many requests an endpoint gets while it is warming up.

An endpoint that has just started has only a part of its capacity, and fails if it gets more requests than
this part can serve. Each balancer sends only a share of its requests to such an endpoint. Random draws decide
which requests these are, so that all balancers together send the endpoint its share, however the traffic is
split between them.
"""

from __future__ import annotations

from math import exp, sqrt
from random import Random

from .endpoint import TrackedEndpoint
from .load_table import LOAD_FIELDS, LoadTable
from .settings import Settings
from .units import SECOND_US

SHARE_SMOOTHING = 0.1  # Smoothing factor of the served and the eligible share.
DRAW_RATE_WINDOW_US = SECOND_US  # Draws are counted over about this time, with exponential decay.
# Below this overload multiple, the share of a warming endpoint is scaled down in proportion.
FULL_SHARE_OVERLOAD_MULTIPLE = 4.0
# An endpoint without load reports may always be offered this share of the capacity that it surely has.
UNREPORTED_LOAD_SHARE = 0.5
# Margin below the overload limit, in standard deviations of the number of requests.
GUARANTEE_DEVIATIONS = 3


class WarmUpRamp:
    """The slowest warm-up that the settings allow: capacity grows linearly with the time since the start."""

    def __init__(self, settings: Settings) -> None:
        self.start_capacity = settings.warm_up_start_capacity
        self.duration_us = max(1, settings.warm_up_us)

    def warm_share(self, endpoint: TrackedEndpoint, now_us: int) -> float:
        """Return the least share of its full capacity that an endpoint has now; 1 if it is warm."""
        age_us = now_us - endpoint.started_at_us
        if not endpoint.started_at_us or age_us >= self.duration_us:
            return 1.0
        return self.start_capacity + (1.0 - self.start_capacity) * max(0, age_us) / self.duration_us


class SlowStart:
    """The rules that decide whether a request may be sent to a warming endpoint."""

    def __init__(self, settings: Settings, ramp: WarmUpRamp, rng: Random) -> None:
        self.ramp, self._rng = ramp, rng
        self._overload_multiple = settings.overload_multiple
        self._overload_window_us = settings.overload_window_us
        self._share_scale = min(1.0, settings.overload_multiple / FULL_SHARE_OVERLOAD_MULTIPLE)
        self._has_load_reports = any(name in settings.load_report_fields for name in LOAD_FIELDS)
        # Number of balancers that sample the same endpoint.
        self.instances_per_endpoint = float(settings.instance_count)
        self._served_share = 1.0  # Moving average of the share of requests that are served.
        self._eligible_share = 1.0  # Moving average of the share of draws that find an eligible endpoint.
        # Mean number of draws of one endpoint by this balancer within DRAW_RATE_WINDOW_US, with exponential
        # decay.
        self._draws_per_endpoint = 0.0
        self._last_draw_at_us = 0
        # The same number per microsecond. Repeated draws for one attempt count too.
        self._draw_rate = 0.0
        self._even_share = 1.0  # An even share of the requests, per unit of warm share.

    def refresh(self, endpoints: list[TrackedEndpoint], now_us: int) -> None:
        """Set the start of each endpoint's interval, which contains the draws of the requests it admits.

        The starts are spaced so that intervals of an even share lie side by side. If each endpoint had a draw
        of its own for each request instead, about a third of the requests would be admitted by no endpoint
        while the whole fleet is warming up.
        """
        warm_shares = [self.ramp.warm_share(e, now_us) for e in endpoints]
        self._even_share = 1.0 / max(1.0, sum(warm_shares), len(endpoints) / 2)
        offset = 0.0
        for endpoint, warm_share in zip(endpoints, warm_shares, strict=True):
            endpoint.draw_offset, offset = offset, offset + warm_share * self._even_share

    def admits(
        self, endpoint: TrackedEndpoint, draw: float, is_probed: bool, table: LoadTable, now_us: int
    ) -> bool:
        """Return whether the request with this draw may be sent to an endpoint.

        1. A warm endpoint admits any request.
        2. If the rate that an endpoint may be offered in any case (see _guaranteed_rate) is a larger share of
           its draws than rule 3 gives it, it admits that share, by a new random number each time. With rule 3
           alone most endpoints would be idle while many requests are rejected.
        3. Otherwise it admits the requests whose draw falls into its interval.

        `is_probed` says that the endpoint is asked for its load before a request is sent.
        """
        if not endpoint.started_at_us:
            return True
        warm_share = self.ramp.warm_share(endpoint, now_us)
        if warm_share >= 1.0:
            return True
        # A smaller machine fails at a lower load, so its share is smaller.
        capacity = table.relative_capacity(endpoint)
        share = capacity * self._request_share(is_probed)
        draw_rate = warm_share * self.instances_per_endpoint * self._draw_rate
        if table.mean_service_time_us and draw_rate:
            service_rate = capacity * warm_share / table.mean_service_time_us
            guaranteed_share = self._guaranteed_rate(service_rate) / draw_rate
            if guaranteed_share > share:
                return self._rng.random() < warm_share * guaranteed_share
        return (draw - endpoint.draw_offset) % 1.0 < warm_share * share

    def _request_share(self, is_probed: bool) -> float:
        """Return the share of requests for an endpoint of mean capacity, as a multiple of its warm share.

        The share follows the requests that are served, not those that arrive, and it does not grow when few
        other endpoints are eligible, because otherwise the retries of an overloaded fleet would overload the
        endpoint. It is at least an even share, because otherwise a fleet that rejects would send restarted
        endpoints nothing, and would go on rejecting. None of this is needed if the endpoint is probed.
        """
        if is_probed:
            return self._share_scale
        return max(self._share_scale * self._served_share * self._eligible_share, self._even_share)

    def _guaranteed_rate(self, service_rate: float) -> float:
        """Return the rate that an endpoint of at least this service rate may be offered, per microsecond.

        For an endpoint that reports its load, this is the highest rate whose arrivals in an overload window
        stay within the overload limit with a margin of three standard deviations. It may be more than the
        service rate, because real warm-ups are faster than the slowest one, and because the load table shows
        the load of an endpoint that cannot keep up.
        """
        if not self._has_load_reports:
            return UNREPORTED_LOAD_SHARE * service_rate
        limit = self._overload_multiple * service_rate * self._overload_window_us
        # If x requests arrive on average, at most x + GUARANTEE_DEVIATIONS * sqrt(x) arrive in a window. This
        # solves for the x at which that equals the limit.
        half = GUARANTEE_DEVIATIONS / 2
        mean = (sqrt(limit + half * half) - half) ** 2
        return mean / self._overload_window_us

    def record_draws(self, eligible_share: float, draws: int, endpoint_count: int, now_us: int) -> None:
        """Record the draws made for one attempt among `endpoint_count` endpoints.

        `eligible_share` is the share of these draws that found an eligible endpoint.
        """
        self._eligible_share += SHARE_SMOOTHING * (eligible_share - self._eligible_share)
        decay = exp((self._last_draw_at_us - now_us) / DRAW_RATE_WINDOW_US)
        self._draws_per_endpoint = self._draws_per_endpoint * decay + draws / endpoint_count
        self._last_draw_at_us = now_us
        self._draw_rate = self._draws_per_endpoint / DRAW_RATE_WINDOW_US

    def record_final_answer(self, is_served: bool) -> None:
        """Record whether a request was served or got a rejection or a failure."""
        self._served_share += SHARE_SMOOTHING * (is_served - self._served_share)
