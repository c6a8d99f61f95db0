"""Signal handling and graceful shutdown of a gateway host."""

import asyncio
from collections.abc import Callable
import logging
import signal
from typing import Any, Self

from greengagedale import clocks
from greengagedale.gateway import caller_handlers as edge_lib
from greengagedale.gateway import shutdown_schedule
from greengagedale.http1 import server

log = logging.getLogger(__name__)

# Time between checks whether any request still runs.
_POLL_INTERVAL_S = 0.05
_MS_PER_S = 1000.0


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
    schedule: shutdown_schedule.ShutdownSchedule,
    background: set[asyncio.Task[Any]],
    clock: clocks.Clock,
) -> None:
    """Serves for a while, then refuses new requests and waits for the rest.

    Args:
        listener: Server of callers' connections.
        edge: Handler of callers' requests.
        schedule: Times of the shutdown.
        background: Attempts that continue after their request has ended.
        clock: Clock of the process.
    """
    listener.closing = True
    edge.begin_shutdown(schedule)
    accepting_ms = schedule.accept_until_ms - clock.now_ms()
    await asyncio.sleep(accepting_ms / _MS_PER_S)
    edge.is_refusing = True
    listener.stop_accepting()
    while clock.now_ms() < schedule.exit_by_ms and (
        listener.unanswered_requests or background
    ):
        await asyncio.sleep(_POLL_INTERVAL_S)
    if listener.unanswered_requests:
        log.warning(
            "ending with requests unanswered",
            extra={"running": listener.unanswered_requests},
        )
    listener.close_idle()
