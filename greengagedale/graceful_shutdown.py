"""Graceful shutdown of an entry host: signals, waiting and closing."""

import asyncio
import contextlib
import logging
import os
import signal
from typing import Self

from greengagedale.config import settings as settings_lib
from greengagedale.http1 import server

log = logging.getLogger(__name__)

FORCED_EXIT_STATUS = 1
_CONNECTION_CLOSE_S = 0.5
# Time between checks whether any request still runs.
_POLL_INTERVAL_S = 0.05
_MS_PER_S = 1000.0


class GracefulShutdown:
    """The graceful shutdown of one process.

    A leaving host announces this to the others and keeps serving until the
    last locate answer that named it has expired. After that its answers close
    their connections, and the process ends once all requests in flight are
    answered.

    Attributes:
        servers: Servers whose answers close their connections in the end.
    """

    def __init__(self, leave_delay_s: float, hard_limit_s: float) -> None:
        self._leave_delay_s = leave_delay_s
        self._hard_limit_s = hard_limit_s
        self._signalled = asyncio.Event()
        self.servers: list[server.Server] = []

    @classmethod
    def from_config(cls, settings: settings_lib.Settings) -> Self:
        """Creates the shutdown of a host from its settings."""
        return cls(
            (settings.shutdown.spread_ms + settings.callers.locate_ttl_ms)
            / _MS_PER_S,
            settings.shutdown.hard_limit_ms / _MS_PER_S,
        )

    def install_signal_handlers(self) -> None:
        """Handles SIGTERM and SIGINT; a second signal exits immediately."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._on_signal)

    async def wait_for_signal(self) -> None:
        """Waits for the first signal."""
        await self._signalled.wait()

    async def wait_for_callers(self) -> None:
        """Waits until callers no longer send new requests to this host.

        Other hosts stop naming this host in locate answers within the spread
        time, either because its announcement reaches them or because its
        probes go unanswered. Callers keep such an answer for its TTL.
        """
        loop = asyncio.get_running_loop()
        loop.call_later(
            self._leave_delay_s + _CONNECTION_CLOSE_S + self._hard_limit_s,
            _exit_immediately,
            "hard limit reached",
        )
        await asyncio.sleep(self._leave_delay_s)
        for listener in self.servers:
            listener.closing = True
        await asyncio.sleep(_CONNECTION_CLOSE_S)

    async def close_server(self, listener: server.Server) -> None:
        """Closes a server once its requests in flight are answered."""
        listener.stop_accepting()
        listener.close_idle()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._hard_limit_s):
                while listener.unanswered_requests:
                    await asyncio.sleep(_POLL_INTERVAL_S)
        if listener.unanswered_requests:
            log.warning(
                "ending with requests unanswered",
                extra={"running": listener.unanswered_requests},
            )
        listener.close()

    def _on_signal(self) -> None:
        if self._signalled.is_set():
            _exit_immediately("second signal")
        self._signalled.set()


def _exit_immediately(reason: str) -> None:
    log.warning("exiting immediately; aborting requests in flight: %s", reason)
    os._exit(FORCED_EXIT_STATUS)
