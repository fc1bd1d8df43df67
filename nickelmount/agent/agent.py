"""The agent's core: passes events to the balancer and carries out the actions that it returns.

Within an agent, only this module calls the balancer. It handles events one at a time, in their order of
arrival; see `_dispatch`.

Each object has one owner and ends exactly once:

- A request is pending from `accept` until `_close_request`, which is the only method that removes a request
  from `_pending`. A request is closed when its final answer is given (`_answer`) or when its client
  disconnects (`client_disconnected`). `_close_request` cancels the attempts that are still in flight. This
  happens before the answer is sent, and nothing is sent to an endpoint for the request afterwards.
- An attempt belongs to its Exchange, and is in `_in_flight`, from `_send_attempt` until the exchange has
  ended. The balancer counts attempts by their AttemptEnded events, so each SendAttempt must lead to exactly
  one. `_on_attempt_end` dispatches this event. It is called by `_on_exchange_end`, or by `_end_unsent` if no
  exchange was started.
- A connection to an endpoint belongs to an exchange or to the connection pool; see connection_pool.
- A connection of a client belongs to the listener. The agent reaches it only through a ClientRequest: it
  calls `respond` to answer the request and `has_client_disconnected` to learn of a close.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from nickelmount.balancer.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    FetchEndpoints,
    LogMessage,
    RejectRequest,
    SendAttempt,
    SendProbe,
    SetTimer,
    WatchEndpoints,
)
from nickelmount.balancer.balancer import Balancer
from nickelmount.balancer.events import (
    NEVER_RAN,
    AttemptEnded,
    ClientDisconnected,
    EndpointsChanged,
    Event,
    ListUpdateKind,
    Outcome,
    ProbeEnded,
    RequestArrived,
    TimerFired,
)
from nickelmount.protocol.address import Address
from nickelmount.protocol.endpoint_list import EndpointList
from nickelmount.protocol.http_names import FAILED_BODY, REJECTED_BODY

from .abandoned_requests import AbandonedRequests
from .clock import Clock
from .discovery_client import DiscoveryClient
from .http_encoding import Headers
from .request_validation import ClientRequest
from .upstream import Upstream
from .upstream_exchange import Exchange, ExchangeResult, UpstreamRequest

log = logging.getLogger(__name__)

# The balancer gives the final answer at the latest when a request's timeout expires. If a fault prevents
# that, the agent gives the answer itself, this long after the timeout. The protocol allows a delay of 50 ms.
FALLBACK_ANSWER_DELAY_S = 0.025

ABANDONED_BODY = b"a request with this Request-Id may have run\n"

NO_REQUEST_ID = 0  # An id that no request has, because request ids start at 1.


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has no final answer yet."""

    client_request: ClientRequest
    fallback_timer: asyncio.TimerHandle  # Answers the request if the balancer does not.
    attempt_count: int = 0  # Number of attempts started so far, including those that have ended.
    may_have_run: bool = False  # An attempt has ended, and an endpoint may have run the request.


class Agent:
    """The core of an agent, which passes events to the balancer and carries out its actions.

    It runs on one event loop, without threads.
    """

    def __init__(
        self, balancer: Balancer, clock: Clock, upstream: Upstream, discovery: DiscoveryClient
    ) -> None:
        self._balancer, self._clock = balancer, clock
        self._upstream, self._discovery = upstream, discovery
        self._loop = asyncio.get_running_loop()
        self._pending: dict[int, PendingRequest] = {}  # The key is the request id.
        # The key is the request id and the attempt number.
        self._in_flight: dict[tuple[int, int], Exchange] = {}
        self._accepted_count = 0
        self._abandoned = AbandonedRequests(self._loop.time)
        self._queued_events: deque[Event] = deque()
        self._is_dispatching = False
        self._executors: dict[type, Callable[[Any], None]] = {
            SendAttempt: self._send_attempt,
            RejectRequest: self._reject,
            FailRequest: self._fail,
            CancelAttempt: self._cancel_attempt,
            SetTimer: self._set_timer,
            SendProbe: self._send_probe,
            WatchEndpoints: self._watch_endpoints,
            FetchEndpoints: self._fetch_endpoints,
            LogMessage: self._log_message,
        }

    @property
    def upstream(self) -> Upstream:
        """The side of the agent towards endpoints, with all endpoints that it knows."""
        return self._upstream

    @property
    def accepted_count(self) -> int:
        """The number of requests accepted since the start."""
        return self._accepted_count

    @property
    def pending_count(self) -> int:
        """The number of requests that have no final answer yet."""
        return len(self._pending)

    @property
    def exchanges_in_flight(self) -> tuple[Exchange, ...]:
        """The exchanges of all attempts that have not ended."""
        return tuple(self._in_flight.values())

    def start(self, cached_list: EndpointList) -> None:
        """Give the balancer the cached endpoint list; the balancer then asks for the current one."""
        self._dispatch(EndpointsChanged(ListUpdateKind.CACHED, self._upstream.apply(cached_list)))

    def change_discovery(self, address: Address) -> None:
        """Call discovery at this address from now on."""
        self._discovery.change_address(address, self.on_endpoint_list)

    # Requests

    def accept(self, request: ClientRequest) -> None:
        """Take over a request, which gets one final answer unless its client disconnects.

        A request that comes again after its client has left, and that may have run, is answered as failed.
        """
        if request.client_request_id in self._abandoned:
            return request.respond(request, 409, [], ABANDONED_BODY)
        self._accepted_count += 1
        request_id = request.request_id = self._accepted_count
        fallback_timer = self._loop.call_later(
            request.timeout_us / 1e6 + FALLBACK_ANSWER_DELAY_S, self._on_fallback_timer, request_id
        )
        self._pending[request_id] = PendingRequest(request, fallback_timer)
        self._dispatch(
            RequestArrived(
                request_id,
                request.request_class,
                request.timeout_us,
                request.tenant,
                request.cost_us,
                request.is_retry,
            )
        )

    def client_disconnected(self, request: ClientRequest) -> None:
        """Close a request whose client has disconnected; do nothing if it is closed already."""
        pending = self._close_request(request.request_id)
        if pending is None:
            return
        if pending.may_have_run and not request.is_repeatable:
            self._abandoned.add(request.client_request_id)
        self._dispatch(ClientDisconnected(request.request_id))

    def answer_all_pending(self) -> None:
        """Answer every pending request now: as rejected if no attempt was started, otherwise as failed."""
        for request_id in list(self._pending):
            self._give_up(request_id)

    def _give_up(self, request_id: int) -> None:
        """Answer a request now, as rejected if no attempt was started and otherwise as failed.

        Does nothing if the request is closed.
        """
        pending = self._pending.get(request_id)
        if pending is None:
            return
        if pending.attempt_count:
            return self._answer_failed(request_id)
        # Nothing of the request was sent, so the client may safely send it again.
        self._answer(request_id, 503, [], REJECTED_BODY)
        self._dispatch(ClientDisconnected(request_id))

    def _on_fallback_timer(self, request_id: int) -> None:
        log.error("request %d: the balancer gave no final answer within the request's timeout", request_id)
        self._answer_failed(request_id)

    def _answer_failed(self, request_id: int) -> None:
        """Answer a request as failed in place of the balancer; do nothing if the request is closed.

        This answer leaves open whether an endpoint has run the request.
        """
        if request_id in self._pending:
            self._answer(request_id, 500, [], FAILED_BODY)
            self._dispatch(ClientDisconnected(request_id))

    def _answer(self, request_id: int, status: int, headers: Headers, body: bytes) -> None:
        """Give the final answer to a request, unless it is closed."""
        pending = self._close_request(request_id)
        if pending is not None:
            pending.client_request.respond(pending.client_request, status, headers, body)

    def _close_request(self, request_id: int) -> PendingRequest | None:
        """Remove a request and cancel its attempts in flight; return None if it is closed already.

        This is called before the answer is sent. A client that has its answer may send the request again, so
        the closes of the earlier attempts must be sent to their endpoints before the answer.
        """
        pending = self._pending.pop(request_id, None)
        if pending is not None:
            pending.fallback_timer.cancel()
            for attempt in range(pending.attempt_count):
                if (request_id, attempt) in self._in_flight:
                    self._in_flight[request_id, attempt].cancel()
        return pending

    # Events to the balancer

    def _dispatch(self, event: Event) -> None:
        """Handle an event, or queue it if another event is being handled.

        An attempt or a probe may end while the action that starts it is being carried out, for example if no
        connection may be opened for it. If the balancer got the event of this end at once, the remaining
        actions of the current decision would be carried out after those of a later decision.
        """
        self._queued_events.append(event)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._queued_events:
                self._handle_event(self._queued_events.popleft())
        finally:
            self._is_dispatching = False

    def _handle_event(self, event: Event) -> None:
        try:
            actions = self._balancer.handle(self._clock.now(), event)
        except Exception:
            # All exceptions are caught, because a fault of the balancer must affect no request except that of
            # this event. That request still has to be answered.
            log.exception("the balancer could not handle event %s", type(event).__name__)
            self._answer_failed(getattr(event, "request_id", NO_REQUEST_ID))
            return
        for action in actions:
            self._execute(action)

    # Actions of the balancer

    def _execute(self, action: Action) -> None:
        try:
            self._executors[type(action)](action)
        except Exception:
            # All exceptions are caught: the other actions of this decision must still be carried out, the
            # request has to be answered, and an attempt without an end would count as in flight for ever.
            log.exception("could not carry out action %s", type(action).__name__)
            self._answer_failed(getattr(action, "request_id", NO_REQUEST_ID))
            if isinstance(action, SendAttempt) and (action.request_id, action.attempt) not in self._in_flight:
                self._end_unsent(action)

    def _send_attempt(self, action: SendAttempt) -> None:
        pending = self._pending.get(action.request_id)
        if pending is None:
            # The request is closed, but the event of its end was not yet handled when the balancer decided on
            # this attempt.
            return self._end_unsent(action)
        request = pending.client_request
        if request.may_client_have_left():
            self._stop_sending(request)
            return self._end_unsent(action)
        pending.attempt_count = action.attempt + 1
        exchange = self._upstream.start_attempt(
            action.endpoint_id,
            UpstreamRequest(
                request.method,
                request.target,
                request.headers,
                request.body,
                sends_timeout=True,
                client_has_disconnected=request.may_client_have_left,
            ),
            action.timeout_us,
            lambda result: self._on_exchange_end(action, pending, result),
        )
        if not exchange.has_ended:
            self._in_flight[action.request_id, action.attempt] = exchange
        if action.write_within_us:
            self._limit_write_time(action)

    def _limit_write_time(self, action: SendAttempt) -> None:
        """Apply `write_within_us` to this attempt and to the earlier ones of the request.

        The limit keeps a repeat within the window in which endpoints drop repeats. It covers earlier attempts
        too: if this attempt runs first, an earlier one whose connection is established later is the repeat.
        """
        for attempt in range(action.attempt + 1):
            if (action.request_id, attempt) in self._in_flight:
                self._in_flight[action.request_id, attempt].write_within(action.write_within_us)

    def _stop_sending(self, request: ClientRequest) -> None:
        """Close a request whose client has left, or answer it at once if it is unknown whether it has.

        The kernel may know of a close that the event loop has not read yet, because it was busy with other
        connections.
        """
        if request.has_client_disconnected():
            self.client_disconnected(request)
        else:
            self._give_up(request.request_id)

    def _on_exchange_end(self, action: SendAttempt, pending: PendingRequest, result: ExchangeResult) -> None:
        self._in_flight.pop((action.request_id, action.attempt), None)
        if result.outcome not in NEVER_RAN:
            pending.may_have_run = True
        request = pending.client_request
        if result.outcome is Outcome.NOT_SENT and request.may_client_have_left():
            self._stop_sending(request)
        self._on_attempt_end(action, result)

    def _end_unsent(self, action: SendAttempt) -> None:
        self._on_attempt_end(action, ExchangeResult(Outcome.NOT_SENT, latency_us=0))

    def _on_attempt_end(self, action: SendAttempt, result: ExchangeResult) -> None:
        """Answer the client if the attempt succeeded, and report the attempt's end to the balancer."""
        if result.outcome is Outcome.OK:
            headers = [("Content-Type", result.content_type)] if result.content_type else []
            self._answer(action.request_id, 200, headers, result.body)
        self._dispatch(
            AttemptEnded(
                action.request_id,
                action.attempt,
                action.endpoint_id,
                result.outcome,
                result.latency_us,
                action.request_id not in self._pending,
                result.load_report,
            )
        )

    def _reject(self, action: RejectRequest) -> None:
        headers = [("Retry-After", f"{action.retry_after_us / 1e6:.6f}")] if action.retry_after_us else []
        self._answer(action.request_id, 503, headers, REJECTED_BODY)

    def _fail(self, action: FailRequest) -> None:
        self._answer(action.request_id, 502, [], FAILED_BODY)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        exchange = self._in_flight.get((action.request_id, action.attempt))
        if exchange is not None:
            exchange.cancel()

    def _set_timer(self, action: SetTimer) -> None:
        self._loop.call_later(action.delay_us / 1e6, self._dispatch, TimerFired(action.token))

    def _send_probe(self, action: SendProbe) -> None:
        def on_end(result: ExchangeResult) -> None:
            self._dispatch(
                ProbeEnded(action.endpoint_id, result.outcome, result.latency_us, result.load_report)
            )

        self._upstream.start_probe(action.endpoint_id, on_end)

    def _watch_endpoints(self, _: WatchEndpoints) -> None:
        self._discovery.watch(self.on_endpoint_list)

    def _fetch_endpoints(self, _: FetchEndpoints) -> None:
        self._discovery.fetch(self.on_endpoint_list)

    def on_endpoint_list(self, endpoint_list: EndpointList | None) -> None:
        """Apply an answer of discovery; None means that a fetch or the watch has failed."""
        if endpoint_list is None:
            self._dispatch(EndpointsChanged(ListUpdateKind.FAILED, []))
            return
        # The balancer gets only the endpoints that have changed, even if the list is complete.
        changed = self._upstream.apply(endpoint_list)
        self._dispatch(EndpointsChanged(ListUpdateKind.DELTA, changed))

    def _log_message(self, action: LogMessage) -> None:
        log.info("%s", action.text)
