"""How a gateway host takes signals, and how it leaves."""

import asyncio
from collections.abc import Callable
import logging
import signal
from typing import Any, Self

from greengagedale.gateway import edge as edge_lib
from greengagedale.http1 import server

log = logging.getLogger(__name__)

# New requests are taken for this part of the grace time: callers keep the
# addresses that they were told for a while. Later ones go to other hosts.
ACCEPTING_SHARE = 0.55
# The process ends by itself at this part of the grace time.
EXIT_SHARE = 0.95
# How often it is looked whether anything still runs.
_POLL_INTERVAL_S = 0.05


class SignalHandlers:
    """The signals that the process gets."""

    def __init__(self) -> None:
        self._stop = asyncio.Event()

    @classmethod
    def install(cls, on_reload: Callable[[], None]) -> Self:
        """Takes SIGTERM, SIGINT and SIGHUP from now on."""
        signals = cls()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, signals._stop.set)
        loop.add_signal_handler(signal.SIGHUP, on_reload)
        return signals

    async def wait_for_stop(self) -> None:
        """Waits for the signal to stop."""
        await self._stop.wait()


async def drain(
    listener: server.Server,
    edge: edge_lib.Edge,
    grace_s: float,
    background: set[asyncio.Task[Any]],
) -> None:
    """Serves on for a while, then refuses, then ends once nothing runs.

    Args:
        listener: Takes callers' connections.
        edge: Answers their requests.
        grace_s: Time until the process is killed.
        background: Attempts that run on after their request.
    """
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    listener.closing = True
    await asyncio.sleep(ACCEPTING_SHARE * grace_s)
    edge.is_refusing = True
    listener.stop_accepting()
    end_s = started_s + EXIT_SHARE * grace_s
    while loop.time() < end_s and (listener.running or background):
        await asyncio.sleep(_POLL_INTERVAL_S)
    if listener.running:
        log.warning(
            "ending with requests unanswered",
            extra={"running": listener.running},
        )
    listener.close_idle()
