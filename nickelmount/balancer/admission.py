"""Admission control: whether a request is sent now, waits, or is shed.

Times are integer microseconds of the balancer's clock. Loads are numbers of requests.
"""

from __future__ import annotations

from .endpoint import TrackedEndpoint
from .load_table import LoadTable
from .request import Request
from .settings import Settings
from .subset import Subset
from .traffic import TRAFFIC_WINDOW_US, RecentArrivals
from .units import SECOND_US

# An endpoint whose estimated load is this many requests gets no more, except by exploration. An endpoint is
# one core, and becomes slow when it is crowded, even if its predicted answer time is short. An endpoint
# whose load is known is judged by its predicted answer time instead.
MAX_IN_FLIGHT_PER_ENDPOINT = 4.0
# Attempts of all balancers together that may explore one endpoint, whatever answer time is predicted.
MAX_EXPLORING_PER_ENDPOINT = 3.0
# The concurrency limit of a preferred class, as a multiple of the limit of the other classes.
PREFERRED_CLASS_FACTOR = 1.6
# Longest predicted time to an answer, as a share of the time to the objective. The rest is margin.
PREDICTED_TIME_SHARE = 0.45
# The same share for a client's retry and for a request beyond its tenant's quota.
LOW_PRIORITY_TIME_SHARE = 0.2
# A class is preferred, whatever its weight, if no attempt of it was sent for longer than this.
MAX_CLASS_PAUSE_US = SECOND_US
# Requests of all balancers together that may wait for each ready endpoint.
MAX_WAITING_PER_ENDPOINT = 2.0
# A request may only wait while its objective is more than this many typical latencies away.
MIN_LATENCIES_TO_WAIT = 1.5


class AdmissionControl:
    """The rules that decide whether a request is admitted, waits, or is shed.

    `max_known_load_age_us` is the age up to which a reported load counts as known, not as an estimate; -1 if
    none does. `has_concurrency_limit` is False if gossip is enabled, because the load table then shows the
    load from all balancers, while a limit counts only the attempts of this one.
    """

    def __init__(
        self,
        settings: Settings,
        table: LoadTable,
        subset: Subset,
        arrivals: RecentArrivals,
        max_known_load_age_us: int,
        has_concurrency_limit: bool,
    ) -> None:
        self._table, self._subset, self._arrivals = table, subset, arrivals
        self._max_known_load_age_us, self._has_limit = max_known_load_age_us, has_concurrency_limit
        self._instance_count = settings.instance_count
        # Attempts and waits end this long before the time that limits them, which is the client's timeout or
        # the objective. The final answer is given in the tick after such an end, so the margin is two ticks;
        # half of the slack in which a late answer still counts is subtracted from it.
        self.answer_margin_us = max(0, 2 * settings.tick_us - settings.answer_slack_us // 2)
        # This balancer's part of the exploring attempts at each endpoint.
        self._exploration_limit = MAX_EXPLORING_PER_ENDPOINT / settings.instance_count
        self._shortest_objective_us = min(c.latency_objective_us for c in settings.classes)
        self._highest_weight = max(c.priority_weight for c in settings.classes)
        # A class with a long objective must not crowd endpoints so much that a class of the same or a higher
        # weight misses its objective. So the limit on its answer time is the shortest objective of all those
        # classes.
        self._latency_limits_us = {
            c.name: min(
                other.latency_objective_us
                for other in settings.classes
                if other.priority_weight >= c.priority_weight
            )
            for c in settings.classes
        }
        self._last_sent_at_us: dict[str, int] = {}  # Time of the latest attempt, by name of the class.

    def record_attempt(self, request: Request, now_us: int) -> None:
        """Record that an attempt of the request's class was sent."""
        self._last_sent_at_us[request.request_class.name] = now_us

    def time_left_us(self, request: Request, now_us: int) -> int:
        """Return how long a request may wait or be sent before its answer is too late to earn weight.

        The result is 0 or negative if it is too late.
        """
        has_late_weight = request.request_class.late_weight
        until_us = request.deadline_at_us if has_late_weight else request.objective_at_us
        return until_us - now_us - self.answer_margin_us

    # The concurrency limit

    def is_at_limit(self, request: Request, in_flight_count: int, now_us: int) -> bool:
        """Return whether the attempts in flight have reached the concurrency limit for this request."""
        limit = self.concurrency_limit(request, now_us)
        # Rounding up would raise a limit of one or two by about half, so a random draw for each request
        # decides whether it may use the fraction of a small limit.
        is_small = limit < MAX_IN_FLIGHT_PER_ENDPOINT
        return in_flight_count + (request.draws.concurrency if is_small else 0.0) >= limit

    def concurrency_limit(self, request: Request, now_us: int) -> float:
        """Return how many attempts this balancer may have in flight; infinity if there is no limit.

        The limit is the largest of

        - an even share of the capacity of all endpoints;
        - the number of requests that arrive within the allowed answer time. It is reduced in proportion to
          the capacity that was lost, because the traffic does not fall with the capacity. It is also reduced
          if the mean load plus one request exceeds MAX_IN_FLIGHT_PER_ENDPOINT, because in a burst all
          balancers send more at once;
        - the load that one endpoint can take beyond the mean load, so that a burst may use it.

        The first two are higher for a preferred class. The classes of the highest weight are preferred, and
        so is a class without an attempt in the last MAX_CLASS_PAUSE_US: otherwise the classes of the highest
        weight would keep the attempts in flight above the limit of the others, and take every slot that
        becomes free.
        """
        if not self._has_limit:
            return float("inf")
        table, subset = self._table, self._subset
        even_share = MAX_IN_FLIGHT_PER_ENDPOINT * subset.capacity / self._instance_count
        by_traffic = (
            self._arrivals.count
            / TRAFFIC_WINDOW_US
            * PREDICTED_TIME_SHARE
            * self._shortest_objective_us
            * subset.remaining_capacity_share
            * min(1.0, MAX_IN_FLIGHT_PER_ENDPOINT / (table.mean_load + 1.0))
        )
        limit = max(even_share, by_traffic)
        factor = PREFERRED_CLASS_FACTOR if self._is_preferred(request, now_us) else 1.0
        return max(MAX_IN_FLIGHT_PER_ENDPOINT - table.mean_load, limit * factor)

    def _is_preferred(self, request: Request, now_us: int) -> bool:
        request_class = request.request_class
        if request_class.priority_weight >= self._highest_weight:
            return True
        return now_us - self._last_sent_at_us.get(request_class.name, 0) > MAX_CLASS_PAUSE_US

    def can_wait(self, request: Request, waiting_count: int, ready_count: int, now_us: int) -> bool:
        """Return whether a request may wait for a free slot instead of being shed.

        It may wait if the typical latency is known, its objective is far enough away, few other requests
        wait, and it has neither a low priority nor a cost above the mean. The reason for waiting is that,
        after a rejection, the client's retry would come too late.
        """
        max_waiting = max(1.0, MAX_WAITING_PER_ENDPOINT * ready_count / self._instance_count)
        typical_us = self._table.typical_latency_us
        return (
            typical_us > 0
            and now_us + MIN_LATENCIES_TO_WAIT * typical_us < request.objective_at_us
            and waiting_count < max_waiting
            and not request.is_low_priority
            and request.relative_cost <= 1.0
        )

    # Predicted answer times

    def predicted_time_limit_us(self, request: Request, now_us: int) -> float:
        """Return the longest predicted time to an answer at which an endpoint may still be sampled.

        It is infinite before the first success.
        """
        if not self._table.mean_service_time_us:
            return float("inf")
        share = LOW_PRIORITY_TIME_SHARE if request.is_low_priority else PREDICTED_TIME_SHARE
        latency_limit_us = self._latency_limits_us[request.request_class.name]
        return min(request.objective_at_us - now_us, latency_limit_us) * share

    def is_worth_sampling(
        self,
        request: Request,
        endpoint: TrackedEndpoint,
        time_limit_us: float,
        time_to_objective_us: float,
        now_us: int,
    ) -> bool:
        """Return whether an endpoint may be sampled, judged by its predicted answer time and its load.

        `time_limit_us` is the result of predicted_time_limit_us().
        """
        table = self._table
        cost, service_time_us = request.relative_cost, endpoint.service_time_us
        # A heavy request is not sent to an endpoint that could not answer it in time even when idle, because
        # it would take capacity from many other requests. While the mean load is below 1, it takes little
        # from them, and its predicted time is multiplied by the mean load. It may then be sent although that
        # time is too long, because cost hints are rough.
        is_feasible = (
            cost <= 1.0 or cost * service_time_us * min(1.0, table.mean_load) <= time_to_objective_us
        )
        if now_us - endpoint.load_updated_at_us <= self._max_known_load_age_us:
            # The load is known, so there is nothing to explore. The predicted time of an idle endpoint does
            # not matter.
            load = endpoint.own_in_flight(now_us) + table.estimated_other_in_flight(endpoint, now_us)
            if load < 1.0:
                return is_feasible
            return (load + cost) * service_time_us <= time_limit_us + self._late_allowance_us(request)
        own_in_flight = endpoint.own_in_flight(now_us)
        other_in_flight = table.estimated_other_in_flight(endpoint, now_us)
        if self._can_explore(request, endpoint, own_in_flight):
            return is_feasible
        if own_in_flight + other_in_flight >= MAX_IN_FLIGHT_PER_ENDPOINT:
            return False
        predicted_us = (own_in_flight + other_in_flight + cost) * service_time_us
        if predicted_us <= time_limit_us:
            return True
        # While this balancer has few attempts at the endpoint, the predicted time may reach the objective.
        return own_in_flight < self._exploration_limit and predicted_us <= time_to_objective_us

    def _late_allowance_us(self, request: Request) -> float:
        """Return how far a predicted time may exceed its limit because a late answer still earns weight.

        Without this allowance the request would be shed too early.
        """
        if request.is_low_priority:
            return 0.0
        late_us = request.deadline_at_us - request.objective_at_us
        return PREDICTED_TIME_SHARE * (request.request_class.late_weight * late_us)

    def _can_explore(self, request: Request, endpoint: TrackedEndpoint, own_in_flight: float) -> bool:
        """Return whether a request may be sent to an endpoint whatever answer time is predicted.

        This needs an endpoint at which this balancer has no attempt in flight. A balancer with little
        traffic knows too little to shed requests because of an estimate. Exploration is shared out among all
        balancers that sample the endpoint, because otherwise it would sustain an overload: if this balancer's
        share is less than one attempt, only that fraction of its requests may explore. Failed attempts count
        as in flight for a while, because otherwise a full endpoint that rejects at once would be tried
        forever. Any request may explore a warming endpoint, because slow start limits how many requests the
        endpoint gets.
        """
        if own_in_flight >= min(1.0, self._exploration_limit):
            return False
        may_explore = (
            request.draws.exploration <= self._exploration_limit * self._subset.ready_to_subset_ratio
        )
        return may_explore or endpoint.warm_share < 1.0
