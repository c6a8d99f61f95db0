"""Graceful shutdown of an entry host: signals, waiting and closing."""

import asyncio
import logging
import os
import signal
from typing import Self

from aiohttp import web

from greengagedale.config import settings as settings_lib

log = logging.getLogger(__name__)

FORCED_EXIT_STATUS = 1
_CONNECTION_CLOSE_S = 0.5
_MS_PER_S = 1000.0


class GracefulShutdown:
    """The graceful shutdown of one process.

    A leaving host announces this to the others and keeps serving until the
    last locate answer that named it has expired. After that its answers close
    their connections, and the process ends once all requests in flight are
    answered.

    Attributes:
        closing_connections: Whether answers close their connections.
    """

    def __init__(self, leave_delay_s: float, hard_limit_s: float) -> None:
        self._leave_delay_s = leave_delay_s
        self._hard_limit_s = hard_limit_s
        self._signalled = asyncio.Event()
        self.closing_connections = False

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
        self.closing_connections = True
        await asyncio.sleep(_CONNECTION_CLOSE_S)

    async def close_connection(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Closes the connection after an answer in the closing phase."""
        del request
        if self.closing_connections:
            response.headers["Connection"] = "close"
            response.force_close()

    def _on_signal(self) -> None:
        if self._signalled.is_set():
            _exit_immediately("second signal")
        self._signalled.set()


def _exit_immediately(reason: str) -> None:
    log.warning("exiting immediately; aborting requests in flight: %s", reason)
    os._exit(FORCED_EXIT_STATUS)
