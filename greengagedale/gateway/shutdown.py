"""Signal handling and graceful shutdown of a gateway host."""

import asyncio
from collections.abc import Callable
import logging
import signal
from typing import Any, Self

from greengagedale.gateway import caller_handlers as edge_lib
from greengagedale.http1 import server

log = logging.getLogger(__name__)

# Share of the grace time in which new requests are still accepted, as callers
# cache addresses for a while. Later requests are refused and go to other hosts.
ACCEPTING_SHARE = 0.55
# Share of the grace time after which the process exits by itself.
EXIT_SHARE = 0.95
# Time between checks whether any request still runs.
_POLL_INTERVAL_S = 0.05


class SignalHandlers:
    """Handlers of the signals that stop or reload the process."""

    def __init__(self) -> None:
        self._stop = asyncio.Event()

    @classmethod
    def install(cls, on_reload: Callable[[], None]) -> Self:
        """Installs handlers of SIGTERM, SIGINT and SIGHUP."""
        signals = cls()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, signals._stop.set)
        loop.add_signal_handler(signal.SIGHUP, on_reload)
        return signals

    async def wait_for_stop(self) -> None:
        """Waits for SIGTERM or SIGINT."""
        await self._stop.wait()


async def drain(
    listener: server.Server,
    edge: edge_lib.CallerHandler,
    grace_s: float,
    background: set[asyncio.Task[Any]],
) -> None:
    """Serves for a while, then refuses new requests and waits for the rest.

    Args:
        listener: Server of callers' connections.
        edge: Handler of callers' requests.
        grace_s: Time until the process is killed.
        background: Attempts that continue after their request has ended.
    """
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    listener.closing = True
    await asyncio.sleep(ACCEPTING_SHARE * grace_s)
    edge.is_refusing = True
    listener.stop_accepting()
    end_s = started_s + EXIT_SHARE * grace_s
    while loop.time() < end_s and (listener.in_flight_requests or background):
        await asyncio.sleep(_POLL_INTERVAL_S)
    if listener.in_flight_requests:
        log.warning(
            "ending with requests unanswered",
            extra={"running": listener.in_flight_requests},
        )
    listener.close_idle()
