"""Slow start: how many requests a warming endpoint gets.

An endpoint that has just started bears only a part of its capacity, and fails when it gets more. Of each
balancer's requests only a share may see it at all, drawn for each request and endpoint: in the sum over all
balancers it gets its share, however the traffic is split between them.
"""

from __future__ import annotations

from math import exp, sqrt
from random import Random

from .endpoint import TrackedEndpoint
from .load_table import LOAD_FIELDS, LoadTable
from .settings import Settings
from .units import SECOND_US

SMOOTHING = 0.1
DRAW_RATE_WINDOW_US = SECOND_US  # draws are counted over so long, the latest ones the most
FULL_SHARE_OVERLOAD_MULTIPLE = 4.0  # from this multiple on an endpoint gets its full share
UNREPORTED_LOAD_SHARE = 0.5  # share of its capacity that an endpoint which reports no load may be offered
GUARANTEE_DEVIATIONS = 3  # standard deviations of chance that are left below the overload rule


class WarmUpRamp:
    """The slowest warm-up that the settings allow."""

    def __init__(self, settings: Settings) -> None:
        self.start_capacity = settings.warm_up_start_capacity
        self.duration_us = max(1, settings.warm_up_us)

    def warm_share(self, endpoint: TrackedEndpoint, now_us: int) -> float:
        """The share of its capacity that an endpoint has at the least."""
        age_us = now_us - endpoint.started_at_us
        if not endpoint.started_at_us or age_us >= self.duration_us:
            return 1.0
        return self.start_capacity + (1.0 - self.start_capacity) * max(0, age_us) / self.duration_us


class SlowStart:
    """Decides for each request and warming endpoint whether the one may be sent to the other."""

    def __init__(self, settings: Settings, ramp: WarmUpRamp, rng: Random) -> None:
        self.ramp, self._rng = ramp, rng
        self._overload_multiple = settings.overload_multiple
        self._overload_window_us = settings.overload_window_us
        self._share_scale = min(1.0, settings.overload_multiple / FULL_SHARE_OVERLOAD_MULTIPLE)
        self._reports_load = any(name in settings.load_report_fields for name in LOAD_FIELDS)
        self.instances_per_endpoint = float(settings.instance_count)  # balancers that draw the same endpoint
        self._served_share = 1.0  # of the latest requests
        self._eligible_share = 1.0  # of the latest draws
        self._draws_per_endpoint = 0.0  # within DRAW_RATE_WINDOW_US, decaying
        self._drawn_at_us = 0
        self._draw_rate = 0.0  # draws of any one endpoint in a microsecond, draws in a row included
        self._even_share = 1.0  # share of the requests for each unit of warm share

    def refresh(self, endpoints: list[TrackedEndpoint], now_us: int) -> None:
        """Lay the shares of the endpoints side by side.

        Were the draws independent, a third or so of the requests of a fleet that is all warming would be
        admitted by no endpoint.
        """
        warm_shares = [self.ramp.warm_share(e, now_us) for e in endpoints]
        self._even_share = 1.0 / max(1.0, sum(warm_shares), len(endpoints) / 2)
        offset = 0.0
        for endpoint, warm_share in zip(endpoints, warm_shares, strict=True):
            endpoint.draw_offset, offset = offset, offset + warm_share * self._even_share

    def admits(
        self, endpoint: TrackedEndpoint, draw: float, is_probed: bool, table: LoadTable, now_us: int
    ) -> bool:
        """Whether the request with this draw may be sent to an endpoint.

        1. To a warm endpoint, any request.
        2. However often an endpoint is drawn, it may be offered what it surely works off, by a new draw each
           time. Rule 3 alone would leave most endpoints idle when many requests are rejected.
        3. Else the requests whose draw falls into its share, beside those of the other endpoints.

        `is_probed`: the endpoint is asked for its load before anything is sent.
        """
        if not endpoint.started_at_us:
            return True
        warm_share = self.ramp.warm_share(endpoint, now_us)
        if warm_share >= 1.0:
            return True
        # A small machine fails the sooner, so its share is smaller.
        capacity = table.relative_capacity(endpoint)
        share = capacity * self._request_share(is_probed)
        draw_rate = warm_share * self.instances_per_endpoint * self._draw_rate
        if table.mean_service_time_us and draw_rate:
            service_rate = capacity * warm_share / table.mean_service_time_us
            guaranteed = self._guaranteed_rate(service_rate) / draw_rate
            if guaranteed > share:
                return self._rng.random() < warm_share * guaranteed
        return (draw - endpoint.draw_offset) % 1.0 < warm_share * share

    def _request_share(self, is_probed: bool) -> float:
        """The share of requests that an endpoint of mean capacity may see, as a multiple of its warm share.

        By what is served, not by what is asked for, and no more because few other endpoints are eligible:
        retries of an overloaded fleet would overload it. But no less than an even share: a fleet that rejects
        would give restarted endpoints nothing, and so reject on. Not needed where it is probed.
        """
        if is_probed:
            return self._share_scale
        return max(self._share_scale * self._served_share * self._eligible_share, self._even_share)

    def _guaranteed_rate(self, service_rate: float) -> float:
        """What an endpoint that works off so much at the least may be offered, both per microsecond.

        Where it reports what it holds, as much as the overload rule bears with three deviations of chance to
        spare: ramps are faster than the slowest, and the load table sees the rest.
        """
        if not self._reports_load:
            return UNREPORTED_LOAD_SHARE * service_rate
        limit = self._overload_multiple * service_rate * self._overload_window_us
        # Of x requests in the mean, at most x + GUARANTEE_DEVIATIONS * sqrt(x) arrive: that is to be the
        # limit.
        half = GUARANTEE_DEVIATIONS / 2
        mean = (sqrt(limit + half * half) - half) ** 2
        return mean / self._overload_window_us

    def drew(self, eligible_share: float, draws: int, endpoint_count: int, now_us: int) -> None:
        """Count the draws for one attempt, among so many endpoints, and how many of them were eligible."""
        self._eligible_share += SMOOTHING * (eligible_share - self._eligible_share)
        decay = exp((self._drawn_at_us - now_us) / DRAW_RATE_WINDOW_US)
        self._draws_per_endpoint = self._draws_per_endpoint * decay + draws / endpoint_count
        self._drawn_at_us = now_us
        self._draw_rate = self._draws_per_endpoint / DRAW_RATE_WINDOW_US

    def request_ended(self, is_served: bool) -> None:
        """Count a final answer."""
        self._served_share += SMOOTHING * (is_served - self._served_share)
