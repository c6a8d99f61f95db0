"""An aiohttp connector that is safe when requests are cancelled at any time."""

import asyncio
from typing import Any

import aiohttp
from aiohttp import client_proto


class DirectConnector(aiohttp.BaseConnector):
    """Connects to IP addresses with the event loop's `create_connection`.

    The default connector of aiohttp creates a socket and passes it to the
    loop. If the request is cancelled at that moment, uvloop closes the file
    descriptor while the socket object still owns its number. When the socket
    object is closed later, it closes any connection that was given the same
    number in the meantime.
    """

    async def _create_connection(
        self, req: aiohttp.ClientRequest, traces: Any, timeout: Any
    ) -> client_proto.ResponseHandler:
        """Opens a connection.

        Raises:
            TimeoutError: The connection was not opened in time.
            aiohttp.ClientConnectorError: The connection could not be opened.
        """
        del traces
        key = req.connection_key
        try:
            async with asyncio.timeout(timeout.sock_connect):
                _, protocol = await self._loop.create_connection(
                    self._factory, key.host, key.port
                )
        except TimeoutError:
            raise
        except OSError as error:
            raise aiohttp.ClientConnectorError(key, error) from error
        return protocol
