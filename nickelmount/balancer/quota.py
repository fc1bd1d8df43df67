"""Tenant quotas: which requests exceed the quota of their tenant.

A quota applies to all balancers together. The part of one balancer equals its share of the traffic, which it
estimates by comparing its own attempts in flight at the endpoints with those of the other balancers.
"""

from __future__ import annotations

from .settings import Settings
from .units import SECOND_US

TRAFFIC_SHARE_SMOOTHING = 0.002  # Smoothing factor of the estimated share of the traffic.


class TenantQuotas:
    """A token bucket for each tenant; each request takes one token.

    A bucket holds this balancer's part of the quota of one second, but at least one token.
    """

    def __init__(self, settings: Settings) -> None:
        self._quotas_per_us = [tenant.quota_per_s / SECOND_US for tenant in settings.tenants]
        self._traffic_share = 1.0 / settings.instance_count
        # The tokens of each tenant, and the time in us at which they were last counted; 0 if never.
        self._buckets = [(1.0, 0)] * len(self._quotas_per_us)

    def update_traffic_share(self, own_in_flight: int, other_in_flight: float) -> None:
        """Update this balancer's share of the traffic from the attempts in flight at one endpoint."""
        if own_in_flight + other_in_flight > 0:
            share = own_in_flight / (own_in_flight + other_in_flight)
            self._traffic_share += TRAFFIC_SHARE_SMOOTHING * (share - self._traffic_share)

    def is_exceeded(self, tenant: int, now_us: int) -> bool:
        """Take a token for a request that has arrived, and return whether there was none.

        Return False, without taking one, if the tenant has no quota.
        """
        if not self._quotas_per_us or not self._quotas_per_us[tenant]:
            return False
        rate = self._quotas_per_us[tenant] * self._traffic_share
        tokens, updated_at_us = self._buckets[tenant]
        refilled = tokens + rate * (now_us - updated_at_us) if updated_at_us else 1.0
        tokens = min(max(1.0, rate * SECOND_US), refilled)
        self._buckets[tenant] = (tokens - 1.0 if tokens >= 1.0 else tokens, now_us)
        return tokens < 1.0
