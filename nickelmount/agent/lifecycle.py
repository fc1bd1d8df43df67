"""The life of an agent's process: start, reload on SIGHUP, graceful shutdown on SIGTERM or SIGINT.

`main` reads the configuration and runs the event loop. `serve` creates the agent, its listener and the signal
handlers. It returns at the end of a graceful shutdown, when no connection is left or the shutdown's time is
over, or at once if the agent cannot listen.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from typing import Any

from nickelmount.balancer.settings import Settings
from nickelmount.errors import ConfigurationError

from .agent import Agent
from .assembly import assemble
from .buffer_budget import BufferBudget
from .clock import Clock
from .config import Config, load, reload
from .listener import Listener, ShutdownTimes
from .memory_limit import max_buffer_bytes, resident_bytes

log = logging.getLogger("nickelmount")

EXIT_OK = 0
EXIT_CANNOT_LISTEN = 1
EXIT_BAD_CONFIGURATION = 2

# The times of a graceful shutdown count from SIGTERM. Clients go on opening connections for 0.2 to 0.4 s. The
# process gets SIGKILL after the longest deadline of a request class plus 0.7 s, where a deadline above 3 s
# counts as 3 s.
CLOSE_IDLE_AFTER_S = 0.1  # Idle connections are closed from this time on.
SERVE_UNTIL_S = 0.5  # New connections are served at least until this time.
# Requests that are still in flight get their final answer after the longest deadline plus this time.
FINISH_AFTER_DEADLINE_S = 0.6
MAX_DEADLINE_S = 3.0  # A longer deadline counts as this.


def main() -> int:
    """Run an agent until it is told to stop, and return the exit code of the process."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    clock = Clock()
    # SIGHUP would end the process until `serve` installs a handler, so it is ignored until then. A SIGHUP
    # that arrives before the file is read needs no handler, because the agent then reads the new file
    # anyway. A SIGHUP that arrives after the file was read and before the handler is installed is lost.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = load(os.environ, clock)
    except ConfigurationError as error:
        print(f"nickelmount: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    return asyncio.run(serve(config, clock))


async def serve(config: Config, clock: Clock) -> int:
    """Serve until SIGTERM or SIGINT, shut down gracefully, and return the exit code of the process."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_unhandled)
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    agent, listener = assemble(config, clock)
    loop.add_signal_handler(signal.SIGHUP, _reload, agent, clock)
    agent.start(config.cached_list)
    _limit_buffers(config, listener)
    try:
        port = await listener.listen(config.listen)
    except OSError as error:
        print(f"nickelmount: cannot listen for clients: {error}", file=sys.stderr)
        return EXIT_CANNOT_LISTEN
    log.info("%s listens on %s:%d", config.name, config.listen.host, port)
    await stop.wait()
    await listener.shut_down(_shutdown_times(config.settings))
    log.info("%s has shut down", config.name)
    _log_buffers(listener.buffer_budget)
    # When the event loop closes, it removes its signal handlers, which restores the default actions. A
    # signal that arrived after that would kill a process that has shut down correctly, and the exit code
    # would be that of the signal. Blocked signals stay pending until the process has ended.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))
    return EXIT_OK


def _limit_buffers(config: Config, listener: Listener) -> None:
    """Limit the memory of messages to what the process has left, now that it has built its parts."""
    resident, budget = resident_bytes(), listener.buffer_budget
    if budget is not None:
        budget.max_bytes = max_buffer_bytes(
            config.max_memory_bytes, resident, listener.max_connections, len(config.cached_list.entries)
        )
        log.info(
            "buffers may take %d bytes; the process takes %s of %d bytes",
            budget.max_bytes,
            "an unknown number" if resident is None else resident,
            config.max_memory_bytes,
        )


def _log_buffers(budget: BufferBudget | None) -> None:
    """Log how much memory messages took, which tells a process that buffers much from one that leaks."""
    if budget is not None:
        log.info(
            "buffers took at most %d of %d bytes; %d messages were given up",
            budget.peak_bytes,
            budget.max_bytes,
            budget.eviction_count,
        )


def _shutdown_times(settings: Settings) -> ShutdownTimes:
    longest_deadline_s = max(request_class.deadline_us for request_class in settings.classes) / 1e6
    finish_by_s = min(MAX_DEADLINE_S, longest_deadline_s) + FINISH_AFTER_DEADLINE_S
    return ShutdownTimes(CLOSE_IDLE_AFTER_S, SERVE_UNTIL_S, finish_by_s)


def _reload(agent: Agent, clock: Clock) -> None:
    """Change to the discovery that the file now names; change nothing if the file cannot be used."""
    try:
        config = reload(os.environ, clock)
    except ConfigurationError as error:
        log.error("the old configuration stays: %s", error)
        return
    log.info("configuration reloaded; discovery is at %s:%d", config.discovery.host, config.discovery.port)
    agent.change_discovery(config.discovery)


def _log_unhandled(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an error that nothing has caught; it ends neither the process nor other requests."""
    log.error("unhandled error: %s", context.get("message"), exc_info=context.get("exception"))
