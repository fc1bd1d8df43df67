"""The agent: the only caller of the decision module, which carries out what it decides."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from nickelmount.balancer.actions import (
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
    AttemptEnded,
    ClientDisconnected,
    EndpointId,
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

from .clock import Clock
from .discovery_client import DiscoveryClient
from .http import Headers
from .request_validation import ClientRequest
from .upstream import Exchange, ExchangeResult, Upstream, UpstreamRequest

log = logging.getLogger(__name__)

# The module answers when a request's time is up; were it to fail, the agent answers this much later, within
# the 50 ms that the protocol allows.
OVERDUE_S = 0.025


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request without its final answer."""

    call: ClientRequest
    overdue: asyncio.TimerHandle
    attempts: int = 0  # sent so far


class Agent:
    """Hands events to the module one at a time, in order of arrival, and carries out its actions."""

    def __init__(
        self, balancer: Balancer, clock: Clock, backends: Upstream, discovery: DiscoveryClient
    ) -> None:
        self._balancer, self._clock = balancer, clock
        self._backends, self._discovery = backends, discovery
        self._loop = asyncio.get_running_loop()
        self._held: dict[int, PendingRequest] = {}
        self._out: dict[tuple[int, int], Exchange] = {}  # attempts without an end
        self._events: deque[Event] = deque()
        self._handling = False
        self._taken = 0
        self._carriers: dict[type, Callable[[Any], None]] = {
            SendAttempt: self._send,
            RejectRequest: self._refuse,
            FailRequest: self._fail,
            CancelAttempt: self._cancel,
            SetTimer: self._set_timer,
            SendProbe: self._probe,
            WatchEndpoints: self._watch,
            FetchEndpoints: self._fetch,
            LogMessage: self._log,
        }

    def start(self, known: EndpointList) -> None:
        self._post(EndpointsChanged(ListUpdateKind.CACHED, self._backends.apply(known)))

    def change_discovery(self, discovery: Address) -> None:
        """Learn of backends there from now on."""
        self._discovery.change_address(discovery, self._listed)

    # The application's side

    def accept(self, call: ClientRequest) -> None:
        self._taken += 1
        call.number = self._taken
        overdue = self._loop.call_later(call.timeout_us / 1e6 + OVERDUE_S, self._overdue, call.number)
        self._held[call.number] = PendingRequest(call, overdue)
        self._post(
            RequestArrived(
                call.number,
                call.request_class,
                call.timeout_us,
                call.tenant,
                call.cost_us,
                call.is_retry,
            )
        )

    def client_left(self, call: ClientRequest) -> None:
        if self._over(call.number) is not None:
            self._post(ClientDisconnected(call.number))

    def finish_all(self) -> None:
        for number, held in list(self._held.items()):
            if held.attempts:
                self._give_up(number)
            else:  # nothing of it was sent on, so trying again is harmless
                self._answer(number, 503, [], b"refused\n")
                self._post(ClientDisconnected(number))

    def _overdue(self, number: int) -> None:
        log.error("request %d: no answer from the module in time", number)
        self._give_up(number)

    def _give_up(self, number: int) -> None:
        """The final answer where the module gave none. A failure is always true."""
        if number in self._held:
            self._answer(number, 500, [], b"failed\n")
            self._post(ClientDisconnected(number))

    def _answer(self, number: int, status: int, headers: Headers, body: bytes) -> None:
        held = self._over(number)
        if held is not None:
            held.call.respond(held.call, status, headers, body)

    def _over(self, number: int) -> PendingRequest | None:
        """Nothing more goes out for this request: what is still out is closed before its answer is given."""
        held = self._held.pop(number, None)
        if held is not None:
            held.overdue.cancel()
            for attempt in range(held.attempts):
                if (number, attempt) in self._out:
                    self._out[number, attempt].cancel()
        return held

    # Events in

    def _post(self, event: Event) -> None:
        """Queued while another is handled: an action may end at once, and handle must not be re-entered."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _handle(self, event: Event) -> None:
        try:
            actions = self._balancer.handle(self._clock.now(), event)
        except Exception:
            # The request that the module stumbled on is still owed its answer, and others are to go on.
            log.exception("the module failed on %s", type(event).__name__)
            number = getattr(event, "request_id", 0)
            self._give_up(number)
            return
        for action in actions:
            try:
                self._carriers[type(action)](action)
            except Exception:
                log.exception("could not carry out %s", type(action).__name__)
                self._give_up(getattr(action, "request_id", 0))
                if isinstance(action, SendAttempt) and (action.request_id, action.attempt) not in self._out:
                    self._not_sent(action)

    # Actions out

    def _send(self, a: SendAttempt) -> None:
        held = self._held.get(a.request_id)
        if held is None:
            # Its answer was given while the module's events waited in the queue. The module counts what it
            # has out by the ends that it is told.
            return self._not_sent(a)
        if held.call.client_has_left():
            # Not read yet: its close came while the loop was busy with others.
            self.client_left(held.call)
            return self._not_sent(a)
        number, attempt, call = a.request_id, a.attempt, held.call
        held.attempts = attempt + 1
        ask = UpstreamRequest(
            call.method,
            call.target,
            call.headers,
            call.body,
            told_timeout=True,
            client_has_left=call.client_has_left,
        )

        def done(result: ExchangeResult) -> None:
            self._out.pop((number, attempt), None)
            if result.outcome is Outcome.NOT_SENT and call.client_has_left():
                self.client_left(call)
            self._attempt_ended(number, attempt, a.endpoint_id, result)

        exchange = self._backends.exchange(a.endpoint_id, ask, a.timeout_us, done)
        if not exchange.ended:
            self._out[number, attempt] = exchange
        if a.write_within_us:
            # An earlier one whose connection is still to come up would be the repeat if this one ran first.
            for n in range(attempt + 1):
                if (number, n) in self._out:
                    self._out[number, n].write_within(a.write_within_us)

    def _not_sent(self, a: SendAttempt) -> None:
        self._attempt_ended(a.request_id, a.attempt, a.endpoint_id, ExchangeResult(Outcome.NOT_SENT, 0))

    def _attempt_ended(self, number: int, attempt: int, backend: EndpointId, result: ExchangeResult) -> None:
        if result.outcome is Outcome.OK:
            kind = [("Content-Type", result.content_type)] if result.content_type else []
            self._answer(number, 200, kind, result.body)
        self._post(
            AttemptEnded(
                number,
                attempt,
                backend,
                result.outcome,
                result.latency_us,
                number not in self._held,
                result.report,
            )
        )

    def _refuse(self, a: RejectRequest) -> None:
        advice = [("Retry-After", f"{a.retry_after_us / 1e6:.6f}")] if a.retry_after_us else []
        self._answer(a.request_id, 503, advice, b"refused\n")

    def _fail(self, a: FailRequest) -> None:
        self._answer(a.request_id, 502, [], b"failed\n")

    def _cancel(self, a: CancelAttempt) -> None:
        exchange = self._out.get((a.request_id, a.attempt))
        if exchange is not None:
            exchange.cancel()

    def _set_timer(self, a: SetTimer) -> None:
        self._loop.call_later(a.delay_us / 1e6, self._post, TimerFired(a.token))

    def _probe(self, a: SendProbe) -> None:
        def done(result: ExchangeResult) -> None:
            self._post(ProbeEnded(a.endpoint_id, result.outcome, result.latency_us, result.report))

        self._backends.probe(a.endpoint_id, done)

    def _watch(self, a: WatchEndpoints) -> None:
        self._discovery.watch(self._listed)

    def _fetch(self, a: FetchEndpoints) -> None:
        self._discovery.fetch(self._listed)

    def _listed(self, listing: EndpointList | None) -> None:
        if listing is None:
            self._post(EndpointsChanged(ListUpdateKind.FAILED, []))
            return
        # Of a whole list, too, the module is told what it changes.
        self._post(EndpointsChanged(ListUpdateKind.DELTA, self._backends.apply(listing)))

    def _log(self, a: LogMessage) -> None:
        log.info("%s", a.text)
