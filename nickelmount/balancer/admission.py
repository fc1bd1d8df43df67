"""Admission: whether a request is worth an attempt now, may wait for one, or is shed.

Times are integer microseconds of the balancer's clock; loads are in requests.
"""

from __future__ import annotations

from .endpoint import TrackedEndpoint
from .load_table import LoadTable
from .request import Request
from .settings import Settings
from .subset import Subset
from .traffic import TRAFFIC_WINDOW_US, RecentArrivals
from .units import SECOND_US

# An endpoint is one core: crowded, it turns slow, however soon its answers were predicted.
MAX_IN_FLIGHT_PER_ENDPOINT = 4.0  # an endpoint that holds this many gets no more, except by exploration
EXPLORATION_PER_ENDPOINT = (
    3.0  # attempts of all balancers at an endpoint that are let in whatever is predicted
)
PREFERRED_CLASS_FACTOR = (
    1.6  # the concurrency limit for a class that goes first, as a multiple of the others'
)
PREDICTED_TIME_SHARE = (
    0.45  # predicted time to an answer, as a share of that to the objective: the rest is margin
)
LOW_PRIORITY_TIME_SHARE = 0.2  # the same for a client's retry and for requests beyond their tenant's quota
MAX_CLASS_PAUSE_US = SECOND_US  # a class of which nothing was sent for so long goes first, too
MAX_WAITING_PER_ENDPOINT = 2.0  # requests of all balancers that wait for an endpoint while all are busy
MIN_LATENCIES_TO_WAIT = 1.5  # a request waits while so many typical latencies are left to its objective


class AdmissionControl:
    """The rules by which requests are admitted, held back or shed.

    `fresh_load_us`: a load that was reported so recently is known, not guessed; -1: none is.
    `has_limit`: False where gossip tells of every answer, and the load table knows better than a limit.
    """

    def __init__(
        self,
        settings: Settings,
        table: LoadTable,
        subset: Subset,
        arrivals: RecentArrivals,
        fresh_load_us: int,
        has_limit: bool,
    ) -> None:
        self._table, self._subset, self._arrivals = table, subset, arrivals
        self._fresh_load_us, self._has_limit = fresh_load_us, has_limit
        self._instance_count = settings.instance_count
        # Attempts and waits end two ticks before the client's timeout, or in the first half of the slack: the
        # final answer is given in the tick after.
        self.answer_margin_us = max(0, 2 * settings.tick_us - settings.answer_slack_us // 2)
        self._exploration_limit = EXPLORATION_PER_ENDPOINT / settings.instance_count
        self._shortest_objective_us = min(c.latency_objective_us for c in settings.classes)
        self._highest_weight = max(c.priority_weight for c in settings.classes)
        # A class with a long objective must not crowd endpoints beyond what one of at least its weight bears.
        self._bearable_latency_us = {
            c.name: min(
                other.latency_objective_us
                for other in settings.classes
                if other.priority_weight >= c.priority_weight
            )
            for c in settings.classes
        }
        self._sent_at_us: dict[str, int] = {}  # by class: its latest attempt

    def attempt_sent(self, request: Request, now_us: int) -> None:
        """Note that one more attempt of a class was sent."""
        self._sent_at_us[request.request_class.name] = now_us

    def time_left_us(self, request: Request, now_us: int) -> int:
        """How long an answer is still worth something and can be given."""
        has_late_weight = request.request_class.late_weight
        until_us = request.deadline_us if has_late_weight else request.objective_at_us
        return until_us - now_us - self.answer_margin_us

    # Whether there is room for one more attempt

    def is_at_limit(self, request: Request, in_flight_count: int, now_us: int) -> bool:
        """Whether as many attempts are in flight as may be when this request is sent."""
        limit = self.concurrency_limit(request, now_us)
        # Rounded up, a limit of one or two would be half as much again: its fraction is drawn for each
        # request.
        is_small = limit < MAX_IN_FLIGHT_PER_ENDPOINT
        return in_flight_count + (request.draws.concurrency if is_small else 0.0) >= limit

    def concurrency_limit(self, request: Request, now_us: int) -> float:
        """The share of this balancer in what all endpoints may hold.

        It is the largest of

        - an even share of the capacity of all endpoints;
        - by traffic: the requests that arrive within the allowed answer time, reduced by lost capacity, since
          the traffic stays, and by a mean load above what endpoints bear, since in a burst all balancers send
          more at once;
        - what one endpoint bears beyond the mean load: a burst may use that.

        The class of the highest weight goes first, and one of which none was sent for long: else the first
        would keep what is in flight above the limit of the others, and take each place that comes free.
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
        factor = PREFERRED_CLASS_FACTOR if self._goes_first(request, now_us) else 1.0
        return max(MAX_IN_FLIGHT_PER_ENDPOINT - table.mean_load, limit * factor)

    def _goes_first(self, request: Request, now_us: int) -> bool:
        request_class = request.request_class
        if request_class.priority_weight >= self._highest_weight:
            return True
        return now_us - self._sent_at_us.get(request_class.name, 0) > MAX_CLASS_PAUSE_US

    def can_wait(self, request: Request, waiting_count: int, ready_count: int, now_us: int) -> bool:
        """Whether a place that comes free soon still serves a request.

        A shed request would come back too late.
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

    # Whether an endpoint answers in time

    def predicted_time_limit_us(self, request: Request, now_us: int) -> float:
        """The longest predicted time to an answer with which an endpoint may still be sampled."""
        if not self._table.mean_service_time_us:
            return float("inf")
        share = LOW_PRIORITY_TIME_SHARE if request.is_low_priority else PREDICTED_TIME_SHARE
        bearable_us = self._bearable_latency_us[request.request_class.name]
        return min(request.objective_at_us - now_us, bearable_us) * share

    def is_worth_sampling(
        self, request: Request, endpoint: TrackedEndpoint, limit_us: float, left_us: float, now_us: int
    ) -> bool:
        """Whether an endpoint may be sampled, by its predicted time and by what it holds.

        `limit_us` is predicted_time_limit_us, `left_us` the time to the objective.
        """
        table = self._table
        cost, service_time_us = request.relative_cost, endpoint.service_time_us
        # A heavy request that not even an idle endpoint answers in time is not sent, or it takes capacity
        # from many. While most endpoints hold nothing it takes little, and hints are rough: then it may try.
        is_feasible = cost <= 1.0 or cost * service_time_us * min(1.0, table.mean_load) <= left_us
        if now_us - endpoint.load_updated_at_us <= self._fresh_load_us:
            # Known, not guessed: no exploration here, but one that holds nothing may be sampled.
            load = endpoint.own_in_flight(now_us) + table.estimated_other_in_flight(endpoint, now_us)
            if load < 1.0:
                return is_feasible
            return (load + cost) * service_time_us <= limit_us + self._late_allowance_us(request)
        own_in_flight = endpoint.own_in_flight(now_us)
        other_in_flight = table.estimated_other_in_flight(endpoint, now_us)
        if self._can_explore(request, endpoint, own_in_flight):
            return is_feasible
        if own_in_flight + other_in_flight >= MAX_IN_FLIGHT_PER_ENDPOINT:
            return False
        predicted_us = (own_in_flight + other_in_flight + cost) * service_time_us
        if predicted_us <= limit_us:
            return True
        # While own attempts are few, the whole time to the objective counts.
        return own_in_flight < self._exploration_limit and predicted_us <= left_us

    def _late_allowance_us(self, request: Request) -> float:
        """Extra time for a class that earns weight after the objective, lest it be shed too early."""
        if request.is_low_priority:
            return 0.0
        late_us = request.deadline_us - request.objective_at_us
        return PREDICTED_TIME_SHARE * (request.request_class.late_weight * late_us)

    def _can_explore(self, request: Request, endpoint: TrackedEndpoint, own_in_flight: float) -> bool:
        """Whether an endpoint that holds next to nothing of ours may be tried whatever is predicted.

        A balancer with little traffic knows too little to shed by a guess. The pass is rationed over all
        balancers, or they would keep an overload up: if a balancer's share is less than one attempt, only
        that fraction of its requests may explore. Failed attempts count as held, or a full endpoint that
        rejects at once would be tried for ever. What a warming endpoint is sent is bounded by slow start.
        """
        if own_in_flight >= min(1.0, self._exploration_limit):
            return False
        has_pass = request.draws.exploration <= self._exploration_limit * self._subset.ready_to_subset_ratio
        return has_pass or endpoint.warm_share < 1.0
