"""Kept connections to the peer endpoints of other hosts."""

import asyncio

from greengagedale.http1 import client
from greengagedale.http1 import messages

# Idle connections kept to one host; more are only open during a burst.
MAX_IDLE_PER_HOST = 4
_MS_PER_S = 1000.0


class PeerConnections:
    """Sends requests to other hosts over kept connections."""

    def __init__(self, limits: client.ReplyLimits) -> None:
        """Initializes the pool.

        Args:
            limits: Size limits of replies.
        """
        self._limits = limits
        self._idle: dict[str, list[client.Connection]] = {}

    async def post(
        self, endpoint: str, path: bytes, body: bytes, timeout_ms: float
    ) -> messages.Reply | client.ExchangeFailure:
        """Sends a request and returns its reply.

        Args:
            endpoint: Address and port of the host.
            path: Path of the request.
            body: Body of the request.
            timeout_ms: Timeout of the whole exchange, in milliseconds.

        Raises:
            OSError: The host did not accept a connection (in particular
                `ConnectionRefusedError`), or did not answer in time
                (`TimeoutError`).
        """
        timeout_s = timeout_ms / _MS_PER_S
        async with asyncio.timeout(timeout_s):
            connection = self._take_idle(endpoint)
            if connection is None:
                address, _, port = endpoint.rpartition(":")
                connection = await client.Connection.open(
                    address, int(port), timeout_s, self._limits
                )
            headers = ((b"host", endpoint.encode()),)
            reply = await connection.exchange(
                messages.encode_request(b"POST", path, headers, body)
            )
        idle = self._idle.setdefault(endpoint, [])
        if connection.is_usable and len(idle) < MAX_IDLE_PER_HOST:
            idle.append(connection)
        else:
            connection.close()
        return reply

    def retain_only(self, endpoints: set[str]) -> None:
        """Closes idle connections to all other hosts."""
        for endpoint in self._idle.keys() - endpoints:
            for connection in self._idle.pop(endpoint):
                connection.close()

    def close(self) -> None:
        """Closes all idle connections."""
        self.retain_only(set())

    def _take_idle(self, endpoint: str) -> client.Connection | None:
        idle = self._idle.get(endpoint, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable:
                return connection
        return None
