"""Gossip: passing each load report on to some other balancers.

A message consists of the gossip tag of an endpoint, its load in requests and its service time in
milliseconds. Messages may be lost, late or wrong, so they change values of the load table and nothing else.
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

MESSAGE = Struct(">IHH")  # The gossip tag, the load and the service time.
MAX_UINT16 = 0xFFFF
PRICED_BYTES = 256  # Number of bytes to which Prices.gossip refers.
MAX_COST_SHARE = 0.005  # Gossip may cost at most this share of the weight of all requests.
# A load that was reported within this time counts as known, not as estimated.
FRESH_GOSSIP_US = 5 * SECOND_US
MAX_FANOUT = 32  # Maximum number of balancers to which each report is sent.


class Gossip:
    """The sending and receiving of this balancer's gossip messages."""

    def __init__(self, settings: Settings, table: LoadTable, rng: Random) -> None:
        self._table, self._rng = table, rng
        self._instance_count = settings.instance_count
        self._instance_index = settings.instance_index
        # Number of balancers to which each report is sent; 0 if gossip is not allowed or costs too much.
        self.fanout = 0
        if settings.can_gossip and table.has_load_reports:
            price = settings.prices.gossip
            affordable = int(MAX_COST_SHARE * PRICED_BYTES / (price * MESSAGE.size)) if price else MAX_FANOUT
            self.fanout = min(settings.instance_count - 1, MAX_FANOUT, affordable)

    @property
    def is_enabled(self) -> bool:
        """Whether load reports are passed on to any other balancer."""
        return self.fanout > 0

    def messages(self, endpoint: TrackedEndpoint, load: float) -> list[SendGossip]:
        """Return messages with the reported load and service time of an endpoint, to random balancers.

        The number of messages is the fanout, reduced in proportion while the mean load is below 2 requests.
        """
        values = (max(0, min(MAX_UINT16, round(x))) for x in (load, endpoint.reported_service_ms))
        payload = MESSAGE.pack(gossip_tag(endpoint.id), *values)
        count = round(self.fanout * min(1.0, self._table.mean_load / 2))
        return [SendGossip(self._random_receiver(), payload) for _ in range(count)]

    def _random_receiver(self) -> int:
        """Return the instance index of another balancer."""
        index = int(self._rng.random() * (self._instance_count - 1))
        return index + (index >= self._instance_index)

    def receive(self, event: GossipReceived, endpoints: EndpointSet, now_us: int) -> None:
        """Record the load and service time from a message.

        A message of the wrong length or about an unknown endpoint is ignored.
        """
        if len(event.payload) != MESSAGE.size:
            return
        tag, load, service_ms = MESSAGE.unpack(event.payload)
        endpoint = endpoints.by_gossip_tag.get(tag)
        if endpoint is not None:
            self._table.set_load(endpoint, load, now_us)
            self._table.record_service_time(endpoint, service_ms)
