"""The balancer, which dispatches events and takes each request through the rules.

Each rule is in a module of its own:

    admission.py            whether a request is sent now, waits, or is shed
    sampling.py             which two endpoints are compared, and which of them gets the attempt
    slow_start.py           how many requests an endpoint gets while it is warming up
    outlier_detection.py    when an endpoint is ejected and how it is readmitted
    probing.py              when endpoints are asked for their load before they are compared
    retry.py                where and when a request may be sent again
    hedging.py              when a second attempt is sent while the first is in flight
    quota.py                which requests exceed the quota of their tenant
    endpoint_set.py         which endpoints discovery has listed
    subset.py               which of the listed endpoints are sampled
    load_table.py           how much load each endpoint has, and how fast it works
    gossip.py               which load reports are exchanged with other balancers
    endpoint_watch.py       when the watch of the endpoint list is opened
    feedback.py             what is learned from the end of an attempt
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from .actions import (
    Action,
    CancelAttempt,
    FailRequest,
    LogMessage,
    RejectRequest,
    SendAttempt,
    SendProbe,
    WatchEndpoints,
)
from .admission import AdmissionControl
from .endpoint import TrackedEndpoint
from .endpoint_set import EndpointSet
from .endpoint_watch import EndpointWatch
from .events import (
    NEVER_RAN,
    AttemptEnded,
    ClientDisconnected,
    EndpointsChanged,
    Event,
    GossipReceived,
    ListUpdateKind,
    Outcome,
    ProbeEnded,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from .feedback import AttemptFeedback
from .gossip import FRESH_GOSSIP_US, Gossip
from .hedging import HedgingPolicy
from .load_table import LoadTable
from .outlier_detection import OutlierDetector
from .probing import MAX_PROBED_PAIRS, Probing
from .quota import TenantQuotas
from .request import Attempt, RandomDraws, Request, validate_arrival
from .retry import RetryBudget, RetryRules
from .sampling import MAX_ENDPOINTS_CHECKED, EligibilityRules, Sampler
from .settings import Settings
from .slow_start import SlowStart, WarmUpRamp
from .subset import Subset
from .timers import TimerQueue
from .traffic import RecentArrivals
from .units import MILLISECOND_US

# Delay after which endpoints are chosen again for a request that no endpoint accepts.
NO_ENDPOINT_RECHECK_US = 20 * MILLISECOND_US
# The same delay for a request that waits for a free slot, in typical latencies.
BUSY_RECHECK_LATENCIES = 0.15
# Delay after which a rejected client is advised to try again, in typical latencies.
RETRY_AFTER_LATENCIES = 2


class Balancer:
    """A balancer, which turns events into actions.

    The caller passes every event to handle() in order, and carries out the returned actions in order. `seed`
    is the only source of randomness: the same settings, seed and events give the same actions.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.now_us = 0
        # By id, the requests that have no final answer yet or have attempts in flight.
        self.requests: dict[int, Request] = {}
        self.waiting: set[int] = set()  # Ids of the requests that wait for a free slot.
        self.in_flight_count = 0  # Number of attempts in flight, over all requests.
        self._actions: list[Action] = []
        rng = self._rng = Random(seed)
        self.timers = TimerQueue(self._emit)
        self.table = LoadTable(settings)
        self.gossip = Gossip(settings, self.table, rng)
        self.probing = Probing(settings, self.table)
        self.arrivals = RecentArrivals()
        self.quotas = TenantQuotas(settings)
        self.retry, self.retry_budget = RetryRules(settings), RetryBudget()
        self.hedging = HedgingPolicy(settings)
        ramp = WarmUpRamp(settings)
        self.slow_start = SlowStart(settings, ramp, rng)
        self.outliers = OutlierDetector(rng, self._log)
        knows_all_loads = self.gossip.is_enabled or self.probing.is_enabled
        self.endpoints = EndpointSet(ramp, rng, is_shuffled=not knows_all_loads)
        self.subset = Subset(settings, ramp, self.endpoints, uses_all=knows_all_loads)
        self.admission = AdmissionControl(
            settings,
            self.table,
            self.subset,
            self.arrivals,
            max_known_load_age_us=self._max_known_load_age_us(),
            has_concurrency_limit=not self.gossip.is_enabled,
        )
        rules = EligibilityRules(
            self.admission,
            self.outliers,
            self.slow_start,
            self.retry,
            is_probed=self.probing.is_enabled,
            has_gossip=self.gossip.is_enabled,
        )
        self.sampler = Sampler(rules, self.table, self.subset, rng)
        self._feedback = AttemptFeedback(self.table, self.outliers, self.quotas, self.gossip, self._emit)
        self._watch = EndpointWatch(settings, rng)
        self._handlers: dict[type, Callable[[Any], None]] = {
            EndpointsChanged: self._on_endpoints_changed,
            RequestArrived: self._on_request_arrived,
            AttemptEnded: self._on_attempt_ended,
            ResponseStarted: self._on_response_started,
            ClientDisconnected: self._on_client_disconnected,
            TimerFired: self._on_timer_fired,
            ProbeEnded: self._on_probe_ended,
            GossipReceived: self._on_gossip_received,
        }

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Process an event that happened at `now_us`, and return the actions to carry out.

        Raises TypeError if the object is not an event, and ValueError with the name of the field if a value
        is invalid.
        """
        self.now_us, self._actions = now_us, []
        handler = self._handlers.get(type(event))
        if handler is None:
            raise TypeError(f"{type(event).__name__} is not an event of the balancer")
        handler(event)
        return self._actions

    def _emit(self, action: Action) -> None:
        self._actions.append(action)

    def _log(self, text: str) -> None:
        self._emit(LogMessage(text))

    def _schedule(self, at_us: int, call: Callable[[Any], None], argument: Any) -> None:
        self.timers.schedule(self.now_us, at_us, call, argument)

    def _max_known_load_age_us(self) -> int:
        """Return the age up to which a load counts as known, or -1 if every load is an estimate."""
        if self.probing.is_enabled:
            return self.probing.max_load_age_us
        return FRESH_GOSSIP_US if self.gossip.is_enabled else -1

    # The endpoint list

    def _on_endpoints_changed(self, event: EndpointsChanged) -> None:
        if event.kind is not ListUpdateKind.FAILED:
            self.endpoints.apply(event, self.now_us)
            self._choose_subset()
        delay_us = self._watch.delay_after_us(event.kind)
        if delay_us == 0:
            self._open_watch(None)
        elif delay_us is not None:
            self._schedule(self.now_us + delay_us, self._open_watch, None)

    def _open_watch(self, _: None) -> None:
        if self._watch.open():
            self._emit(WatchEndpoints())

    def _choose_subset(self) -> None:
        if self.subset.choose(self.arrivals, self.now_us):
            self.sampler.invalidate()
        self.slow_start.instances_per_endpoint = (
            self.settings.instance_count / self.subset.ready_to_subset_ratio
        )

    def _refresh(self) -> None:
        """Bring the subset and the load table up to date before endpoints are chosen."""
        if self.subset.is_outdated(self.arrivals, self.now_us):
            self._choose_subset()
        self.sampler.refresh(self.now_us)

    # Requests

    def _on_request_arrived(self, event: RequestArrived) -> None:
        now_us = self.now_us
        validate_arrival(event, self.settings, self.requests)
        relative_cost = self.table.record_cost(event.cost_us)
        draws = RandomDraws(slow_start=self._rng.random(), exploration=self._rng.random())
        request_class = self.settings.classes[event.request_class]
        request = Request(event, request_class, now_us, draws, relative_cost, MAX_PROBED_PAIRS)
        self.requests[event.request_id] = request
        self.retry_budget.record_arrival()
        if not event.is_retry:
            self.arrivals.record_arrival(now_us)
        # A client's retry has low priority because part of the client's time is used up: it would probably
        # be late even if it was served first.
        request.is_low_priority = self.quotas.is_exceeded(event.tenant, now_us) or event.is_retry
        self._advance(request)

    def _advance(self, request: Request) -> None:
        """Send a request, let it wait, or give its final answer.

        1. If no time or no attempt is left, the request gets its final answer.
        2. If the concurrency limit is reached, the request waits for a free slot if admission allows it, and
           otherwise gets its final answer.
        3. Two samples are drawn among the eligible endpoints; sampling.py defines allowed, accepted and
           eligible. If none is found, but one of the first MAX_ENDPOINTS_CHECKED allowed endpoints is
           accepted, all count as busy, and the request waits or gets its final answer as in step 2. If none
           of those is accepted, a request that was not sent yet repeats these steps after a delay until
           shortly before its objective; any other gets its final answer.
        4. Samples of unknown load are probed if probing is enabled. The less loaded one gets the attempt.
        """
        now_us = self.now_us
        self.waiting.discard(request.id)
        time_left_us = self.admission.time_left_us(request, now_us)
        if time_left_us <= 0 or not self.retry.has_attempts_left(request):
            return self._finish(request)
        self._refresh()
        allowed = self.sampler.allowed_endpoints(request, now_us)
        if self.admission.is_at_limit(request, self.in_flight_count, now_us):
            return self._wait_or_finish(request)
        pair = self.sampler.draw_pair(request, allowed, now_us) if allowed else None
        if pair is not None:
            return self._probe(request, pair)
        if any(
            self.sampler.accepts(request, endpoint, now_us) for endpoint in allowed[:MAX_ENDPOINTS_CHECKED]
        ):
            return self._wait_or_finish(request)
        last_check_us = request.objective_at_us - self.admission.answer_margin_us
        if request.attempts_sent == 0 and now_us < last_check_us:
            recheck_at_us = min(now_us + NO_ENDPOINT_RECHECK_US, last_check_us)
            return self._schedule(recheck_at_us, self._recheck, request)
        return self._finish(request)

    def _wait_or_finish(self, request: Request) -> None:
        """Let a request wait for a free slot if admission allows it; otherwise give its final answer."""
        ready_count = len(self.endpoints.ready)
        if not self.admission.can_wait(request, len(self.waiting), ready_count, self.now_us):
            return self._finish(request)
        self.probing.allow_more_pairs(request)
        self.waiting.add(request.id)
        recheck_us = int(BUSY_RECHECK_LATENCIES * self.table.typical_latency_us)
        return self._schedule(self.now_us + recheck_us, self._recheck, request)

    def _recheck(self, request: Request) -> None:
        if not request.is_done and not request.in_flight and request.candidates is None:
            self._advance(request)

    # Probes

    def _probe(self, request: Request, pair: tuple[TrackedEndpoint, TrackedEndpoint]) -> None:
        """Probe the samples whose loads are not known, if probing is enabled, and then compare the pair."""
        now_us = self.now_us
        for endpoint in self.probing.begin(request, pair, now_us):
            self._emit(SendProbe(endpoint.id))
        if not request.unanswered_probes:
            return self._compare(request)
        time_left_us = self.admission.time_left_us(request, now_us)
        until_us = now_us + min(self.probing.max_load_age_us, time_left_us)
        return self._schedule(until_us, self._on_probe_timeout, (request, request.probed_pair_count))

    def _on_probe_timeout(self, argument: tuple[Request, int]) -> None:
        request, probed_pair_count = argument
        is_same_pair = request.candidates is not None and request.probed_pair_count == probed_pair_count
        if is_same_pair and not request.is_done:
            self._compare(request)

    def _on_probe_ended(self, event: ProbeEnded) -> None:
        """Record the reported load, and compare the samples of the requests that need not wait any longer.

        The outcome is not recorded as a success, because a process that answers probes may still fail
        requests.
        """
        endpoint = self.endpoints.by_id.get(event.endpoint_id)
        if endpoint is None:
            return
        load_column = self.table.load_column
        has_load = event.outcome is Outcome.OK and 0 <= load_column < len(event.load_report)
        if has_load:
            self.table.set_load(endpoint, event.load_report[load_column], self.now_us)
        for request in self.probing.end_probe(endpoint, has_load):
            self._compare(request)

    def _compare(self, request: Request) -> None:
        """Send the request to the less loaded of its samples, or draw again if neither can be used any more.

        While the request waited for probes, a sample may have been ejected, or may have restarted, so that
        slow start has to admit the request anew. If one sample has not answered its probe, only the other one
        can get the attempt. If neither has, the load table decides. After request.max_probed_pairs pairs no
        others are drawn, and the request waits or gets its final answer.
        """
        assert request.candidates is not None
        pair = request.candidates
        now_us, admission = self.now_us, self.admission
        time_limit_us = admission.predicted_time_limit_us(request, now_us)
        time_to_objective_us = request.objective_at_us - now_us
        unanswered = request.unanswered_probes if len(request.unanswered_probes) < len(set(pair)) else []
        request.candidates, request.unanswered_probes = None, []
        eligible = [
            endpoint
            for endpoint, start_us in zip(pair, request.candidate_starts_us, strict=True)
            if self.retry.allows(request, endpoint, now_us)
            and endpoint not in unanswered
            and self.sampler.still_accepts(request, endpoint, start_us, now_us)
            and admission.is_worth_sampling(request, endpoint, time_limit_us, time_to_objective_us, now_us)
        ]
        if eligible and admission.time_left_us(request, now_us) > 0:
            self._send(request, self.sampler.less_loaded((eligible[0], eligible[-1]), now_us))
        elif request.probed_pair_count < request.max_probed_pairs:
            self._advance(request)
        else:
            self._wait_or_finish(request)

    # Attempts

    def _send(self, request: Request, endpoint: TrackedEndpoint) -> None:
        now_us, number = self.now_us, request.attempts_sent
        load = self.table.total_in_flight(endpoint, now_us) + request.relative_cost
        write_within_us = self.retry.write_limit_us(request, now_us)
        attempt = Attempt(number, endpoint, now_us, load)
        self.admission.record_attempt(request, now_us)
        request.attempts_sent += 1
        request.in_flight[number] = attempt
        request.may_have_run.append(attempt)
        request.attempted_endpoints.append(endpoint)
        endpoint.in_flight[(request.id, number)] = now_us
        self.in_flight_count += 1
        timeout_us = max(1, request.deadline_at_us - now_us - self.admission.answer_margin_us)
        self._emit(SendAttempt(request.id, endpoint.id, timeout_us, number, write_within_us))
        hedge_at_us = self.hedging.hedge_at_us(request, self.table, now_us)
        if hedge_at_us is not None:
            self._schedule(hedge_at_us, self._hedge, (request, number))

    def _hedge(self, argument: tuple[Request, int]) -> None:
        """Hedge an attempt that is still the only one in flight, if another endpoint can take the request."""
        request, number = argument
        if not self.hedging.is_only_attempt(request, number) or self.retry_budget.is_exhausted:
            return
        self._refresh()
        allowed = self.sampler.allowed_endpoints(request, self.now_us)
        if not allowed or not self.retry.has_attempts_left(request):
            return
        pair = self.sampler.draw_pair(request, allowed, self.now_us)
        if pair is None:
            return
        endpoint = self.sampler.less_loaded(pair, self.now_us)
        if endpoint is not request.in_flight[number].endpoint:
            self.retry_budget.spend()
            self._send(request, endpoint)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        if request is None or event.attempt not in request.in_flight:
            return
        attempt = request.in_flight.pop(event.attempt)
        attempt.endpoint.in_flight.pop((request.id, event.attempt), None)
        self.in_flight_count -= 1
        self._feedback.learn(event, attempt, self.now_us)
        if event.outcome in NEVER_RAN:
            request.may_have_run = [a for a in request.may_have_run if a is not attempt]
        if event.finished and not request.is_done:
            request.is_done = True
            self.slow_start.record_final_answer(is_served=True)
            self._cancel_attempts(request)
        if request.in_flight:
            return
        if request.is_done:
            del self.requests[request.id]
        else:
            self._retry(request, event.outcome)

    def _retry(self, request: Request, outcome: Outcome) -> None:
        """Continue a request whose last attempt in flight has ended without an answer.

        A retry after CONNECT_FAILED is not charged to the retry budget, because the attempt caused no work at
        its endpoint.
        """
        if outcome is not Outcome.CONNECT_FAILED:
            if self.retry_budget.is_exhausted:
                return self._finish(request)
            self.retry_budget.spend()
        return self._advance(request)

    # Final answers

    def _on_response_started(self, event: ResponseStarted) -> None:
        request = self.requests.get(event.request_id)
        if request is not None and event.attempt in request.in_flight:
            request.is_done = True
            self._cancel_attempts(request, except_for=event.attempt)

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        request = self.requests.get(event.request_id)
        if request is not None and not request.is_done:
            request.is_done = True
            self._drop(request)

    def _finish(self, request: Request) -> None:
        """Give the final answer: a rejection if the client may safely retry, otherwise a failure."""
        request.is_done = True
        self.slow_start.record_final_answer(is_served=False)
        if self.retry.can_reject(request):
            self._emit(RejectRequest(request.id, self._retry_after_us()))
        else:
            self._emit(FailRequest(request.id))
        self._drop(request)

    def _retry_after_us(self) -> int:
        if not self.settings.can_send_retry_after:
            return 0
        advised_us = int(RETRY_AFTER_LATENCIES * self.table.typical_latency_us)
        return min(advised_us, self.settings.max_retry_after_us)

    def _drop(self, request: Request) -> None:
        """Cancel the attempts in flight, and forget the request as soon as no attempt is in flight."""
        self.waiting.discard(request.id)
        self._cancel_attempts(request)
        if not request.in_flight:
            self.requests.pop(request.id, None)

    def _cancel_attempts(self, request: Request, except_for: int | None = None) -> None:
        if self.settings.can_cancel:
            numbers = [number for number in request.in_flight if number != except_for]
            self._actions.extend(CancelAttempt(request.id, number) for number in numbers)

    # Timers and gossip

    def _on_timer_fired(self, event: TimerFired) -> None:
        self.timers.fire(self.now_us, event.token)

    def _on_gossip_received(self, event: GossipReceived) -> None:
        self.gossip.receive(event, self.endpoints, self.now_us)
