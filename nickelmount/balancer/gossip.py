"""Gossip: each load report is passed on to some other balancers, which may be lost, late or wrong.

A message is the tag of an endpoint, what it holds, and its service time in milliseconds. It sets entries of
the load table and nothing else.
"""

from __future__ import annotations

from random import Random
from struct import Struct

from .actions import SendGossip
from .endpoint import TrackedEndpoint, gossip_tag
from .endpoint_set import EndpointSet
from .events import GossipReceived
from .load_table import LoadTable
from .settings import Settings
from .units import SECOND_US

MESSAGE = Struct(">IHH")
MAX_UINT16 = 0xFFFF
PRICED_BYTES = 256  # the price of gossip is for so many
MAX_SPENDING = 0.005  # share of the weight of all requests that gossip may cost
FRESH_GOSSIP_US = 5 * SECOND_US  # a load that was heard of so recently is known, not guessed
MAX_FANOUT = 32  # balancers that are told of each report


class Gossip:
    """Sends and takes in the messages of this balancer."""

    def __init__(self, settings: Settings, table: LoadTable, rng: Random) -> None:
        self._table, self._rng = table, rng
        self._instance_count = settings.instance_count
        self._instance_index = settings.instance_index
        self.fanout = 0  # balancers that are told of each report; 0: gossip is not allowed, or does not pay
        if settings.can_gossip and table.has_load_reports:
            price = settings.prices.gossip
            affordable = int(MAX_SPENDING * PRICED_BYTES / (price * MESSAGE.size)) if price else MAX_FANOUT
            self.fanout = min(settings.instance_count - 1, MAX_FANOUT, affordable)

    @property
    def is_enabled(self) -> bool:
        """Whether load reports are passed on at all."""
        return self.fanout > 0

    def messages(self, endpoint: TrackedEndpoint, load: float) -> list[SendGossip]:
        """Tell some balancers, drawn each time, what an endpoint has reported; fewer while all are idle."""
        fields = (max(0, min(MAX_UINT16, round(x))) for x in (load, endpoint.reported_service_ms))
        payload = MESSAGE.pack(gossip_tag(endpoint.id), *fields)
        count = round(self.fanout * min(1.0, self._table.mean_load / 2))
        return [SendGossip(self._draw_receiver(), payload) for _ in range(count)]

    def _draw_receiver(self) -> int:
        drawn = int(self._rng.random() * (self._instance_count - 1))
        return drawn + (drawn >= self._instance_index)

    def receive(self, event: GossipReceived, endpoints: EndpointSet, now_us: int) -> None:
        """Take in a message; one of another form, or on an unknown endpoint, is passed over."""
        if len(event.payload) != MESSAGE.size:
            return
        tag, load, service_ms = MESSAGE.unpack(event.payload)
        endpoint = endpoints.by_gossip_tag.get(tag)
        if endpoint is not None:
            self._table.set_load(endpoint, load, now_us)
            self._table.record_service_time(endpoint, service_ms)
