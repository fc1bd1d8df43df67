"""Functions that build an agent from its configuration. They start nothing.

Listener -> Agent -> Balancer          decides on requests
                  -> Upstream          sends to endpoints, over a ConnectionPool
                  -> DiscoveryClient   keeps the endpoint list up to date
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TypeVar

from nickelmount.balancer.balancer import Balancer
from nickelmount.protocol.address import Address
from nickelmount.protocol.endpoint_list import EndpointListParser

from .agent import Agent
from .buffer_budget import BufferBudget
from .clock import Clock
from .config import Config
from .connection_pool import SETTLE_TIME_US, ConnectionPool
from .discovery_client import LOCAL_LONG_POLL_MS, SHARED_LONG_POLL_MS, DiscoveryClient
from .downstream import ClientTimeouts
from .listener import Listener
from .upstream import Upstream

# Number of file descriptors reserved for discovery, the listening socket, the log and the event loop, and for
# the connections that are accepted in one iteration of the event loop before any of them can be closed.
RESERVED_DESCRIPTORS = 32
# Share of the other descriptors that connections of clients may use. A request in flight uses one connection
# of a client and one to an endpoint. The share of clients is larger because they also hold idle connections.
CLIENT_CONNECTION_SHARE = 0.55

DiscoveryClientT = TypeVar("DiscoveryClientT", bound=DiscoveryClient)


def assemble(
    config: Config,
    clock: Clock,
    timeouts: ClientTimeouts | None = None,
    settle_time_us: int = SETTLE_TIME_US,
) -> tuple[Agent, Listener]:
    """Build an agent and its listener; needs a running event loop.

    A connection to an endpoint is not reused until `settle_time_us` after its last response.
    """
    max_connections = max(2, config.max_sockets - RESERVED_DESCRIPTORS)
    max_client_connections = max(1, int(CLIENT_CONNECTION_SHARE * max_connections))
    budget = BufferBudget(config.max_buffer_bytes)
    agent = build_agent(
        config, clock, max_connections - max_client_connections, settle_time_us, buffer_budget=budget
    )
    listener = Listener(config.settings, agent, max_client_connections, timeouts or ClientTimeouts(), budget)
    return agent, listener


def build_agent(
    config: Config,
    clock: Clock,
    max_upstream_connections: int,
    settle_time_us: int = SETTLE_TIME_US,
    discovery_client: DiscoveryClient | None = None,
    buffer_budget: BufferBudget | None = None,
) -> Agent:
    """Build an agent without a listener; needs a running event loop.

    If `discovery_client` is None, build_discovery_client builds one. The messages of endpoints count against
    `buffer_budget`, if given.
    """
    upstream = build_upstream(config, clock, max_upstream_connections, settle_time_us, buffer_budget)
    if discovery_client is None:
        discovery_client = build_discovery_client(config, DiscoveryClient)
    return Agent(Balancer(config.settings, config.seed), clock, upstream, discovery_client)


def build_upstream(
    config: Config,
    clock: Clock,
    max_upstream_connections: int,
    settle_time_us: int = SETTLE_TIME_US,
    buffer_budget: BufferBudget | None = None,
) -> Upstream:
    """Build the side of an agent towards endpoints."""
    pool = ConnectionPool(
        clock,
        config.connect_timeout_us,
        config.idle_timeout_us,
        max_upstream_connections,
        settle_time_us,
        buffer_budget,
    )
    return Upstream(clock, config.settings.load_report_fields, pool)


def build_discovery_client(
    config: Config,
    make_client: Callable[[Address, EndpointListParser, int, float, int, Random | None], DiscoveryClientT],
) -> DiscoveryClientT:
    """Build a client of the discovery that the configuration names.

    `make_client` is the class of the client, or a function that returns one.
    """
    is_local = config.settings.discovery_is_local
    return make_client(
        config.discovery,
        config.list_parser,
        config.cached_list.revision,
        config.connect_timeout_us / 1e6,
        LOCAL_LONG_POLL_MS if is_local else SHARED_LONG_POLL_MS,
        None if is_local else Random(config.seed),
    )
