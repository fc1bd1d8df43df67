"""The life of an agent's process: start, reload on SIGHUP, graceful shutdown on SIGTERM or SIGINT.

`main` owns the configuration and the event loop. `serve` owns the agent, its listener and the signal
handlers, from the first connection to the end of the last.
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
from .clock import Clock
from .config import Config, load, reload
from .listener import ShutdownTimes

log = logging.getLogger("nickelmount")

EXIT_OK = 0
EXIT_CANNOT_LISTEN = 1
EXIT_BAD_CONFIGURATION = 2

# The stages of a graceful shutdown, counted from SIGTERM. Clients go on opening connections for 0.2 to 0.4 s.
# SIGKILL follows 0.7 s after the longest deadline of a request, where one above 3 s counts as 3 s.
CLOSE_IDLE_AFTER_S = 0.1  # from then on idle connections are closed
ACCEPT_UNTIL_S = 0.5  # new connections are served up to then at least
FINISH_AFTER_DEADLINE_S = 0.6  # beyond the longest deadline; then what is unanswered gets its final answer
MAX_DEADLINE_S = 3.0


def main() -> int:
    """Run an agent until it is told to stop; returns the exit code of the process."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    clock = Clock()
    # A SIGHUP would end the process until `serve` has its handler, so it is ignored until then. Before the
    # next line that is no loss, because the file is read only then; one that comes after it is lost.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = load(os.environ, clock)
    except ConfigurationError as error:
        print(f"nickelmount: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    return asyncio.run(serve(config, clock))


async def serve(config: Config, clock: Clock) -> int:
    """Serve until SIGTERM or SIGINT, and shut down gracefully; returns the exit code of the process."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_unhandled)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    agent, listener = assemble(config, clock)
    loop.add_signal_handler(signal.SIGHUP, _reload, agent, clock)
    agent.start(config.cached_list)
    try:
        port = await listener.listen(config.listen)
    except OSError as error:
        print(f"nickelmount: cannot listen: {error}", file=sys.stderr)
        return EXIT_CANNOT_LISTEN
    log.info("%s listens on %s:%d", config.name, config.listen.host, port)
    await stop.wait()
    await listener.shut_down(_shutdown_times(config.settings))
    log.info("%s stops", config.name)
    # When the event loop closes it removes its signal handlers, and with them the protection from the default
    # action: a signal that arrived after that would kill a process that has shut down well, and the exit code
    # would be that of the signal. Blocked signals stay pending until the process has ended.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))
    return EXIT_OK


def _shutdown_times(settings: Settings) -> ShutdownTimes:
    longest_deadline_s = max(c.deadline_us for c in settings.classes) / 1e6
    end_s = min(MAX_DEADLINE_S, longest_deadline_s) + FINISH_AFTER_DEADLINE_S
    return ShutdownTimes(CLOSE_IDLE_AFTER_S, ACCEPT_UNTIL_S, end_s)


def _reload(agent: Agent, clock: Clock) -> None:
    """Change to the discovery that the file now names; a file that cannot be used changes nothing."""
    try:
        config = reload(os.environ, clock)
    except ConfigurationError as error:
        log.error("the old configuration stays: %s", error)
        return
    log.info("configuration read again; discovery at %s:%d", config.discovery.host, config.discovery.port)
    agent.change_discovery(config.discovery)


def _log_unhandled(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """An error that nothing has caught is logged; it ends neither the process nor other requests."""
    log.error("unhandled: %s", context.get("message"), exc_info=context.get("exception"))
