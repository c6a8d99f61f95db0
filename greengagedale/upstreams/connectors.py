"""Opens connections that are never cancelled half way.

uvloop may close a descriptor that is already in use again, even that of a
listening socket, when the opening of a connection is cancelled. Here the
opening goes on by itself, and the connection is kept for the next request.
"""

import asyncio
from typing import Any

import aiohttp
from aiohttp import connector as connector_lib

_MS_PER_S = 1000.0


class SteadyConnector(aiohttp.TCPConnector):
    """Leaves the opening of connections to end by itself."""

    def __init__(self, connect_timeout_ms: int, **options: Any) -> None:
        """Makes a connector; must be called on a running loop.

        Args:
            connect_timeout_ms: How long a request waits for a connection.
            **options: Passed on to the library's connector.
        """
        super().__init__(**options)
        self._connect_timeout_s = connect_timeout_ms / _MS_PER_S

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> connector_lib.Connection:
        """Returns an open connection.

        Raises:
            ConnectionTimeoutError: It was not open in time.
        """
        opening = asyncio.ensure_future(super().connect(req, traces, timeout))
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                return await asyncio.shield(opening)
        except TimeoutError as error:
            opening.add_done_callback(_keep)
            raise aiohttp.ConnectionTimeoutError(str(req.url)) from error
        except asyncio.CancelledError:
            opening.add_done_callback(_keep)
            raise


def _keep(opening: asyncio.Future[connector_lib.Connection]) -> None:
    """Puts a connection that came too late in the pool."""
    if not opening.cancelled() and opening.exception() is None:
        opening.result().release()
