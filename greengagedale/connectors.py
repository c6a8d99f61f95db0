"""A connector for HTTP clients whose requests are cancelled at any moment."""

import asyncio
from typing import Any

import aiohttp
from aiohttp import client_proto


class DirectConnector(aiohttp.BaseConnector):
    """Connects to IP numbers, through the loop's own way of connecting.

    The library's usual connector makes a socket and hands it to the loop. If
    the request is cancelled at that moment, uvloop closes the descriptor
    while the socket object still owns its number, and later closes whatever
    connection has been given that number since.
    """

    async def _create_connection(
        self, req: aiohttp.ClientRequest, traces: Any, timeout: Any
    ) -> client_proto.ResponseHandler:
        """Opens a connection; called by the base class."""
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
