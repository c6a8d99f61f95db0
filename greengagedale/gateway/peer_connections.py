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
        async with asyncio.timeout(timeout_ms / _MS_PER_S):
            connection = self._take_idle(endpoint)
            if connection is None:
                connection = await self._open(endpoint, timeout_ms)
            reply = await connection.exchange(
                _encode_post(endpoint, path, body)
            )
        self._keep(endpoint, connection)
        return reply

    async def exchange(
        self,
        endpoint: str,
        path: bytes,
        body: bytes,
        connect_timeout_ms: float,
        timeout_ms: float,
        may_reuse: bool,
    ) -> messages.Reply | client.ExchangeFailure:
        """Sends a request and tells, if it fails, whether it was sent.

        Args:
            endpoint: Address and port of the host.
            path: Path of the request.
            body: Body of the request.
            connect_timeout_ms: Timeout of opening a connection.
            timeout_ms: Timeout of the exchange on an open connection.
            may_reuse: Whether a kept connection may be used.
        """
        connection = self._take_idle(endpoint) if may_reuse else None
        if connection is None:
            try:
                connection = await self._open(endpoint, connect_timeout_ms)
            except OSError as error:
                return client.ExchangeFailure(repr(error), sent=False)
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                reply = await connection.exchange(
                    _encode_post(endpoint, path, body)
                )
        except TimeoutError:
            return client.ExchangeFailure("no reply in time", sent=True)
        self._keep(endpoint, connection)
        return reply

    def retain_only(self, endpoints: set[str]) -> None:
        """Closes idle connections to all other hosts."""
        for endpoint in self._idle.keys() - endpoints:
            for connection in self._idle.pop(endpoint):
                connection.close()

    def close(self) -> None:
        """Closes all idle connections."""
        self.retain_only(set())

    async def _open(
        self, endpoint: str, timeout_ms: float
    ) -> client.Connection:
        address, _, port = endpoint.rpartition(":")
        return await client.Connection.open(
            address, int(port), timeout_ms / _MS_PER_S, self._limits
        )

    def _keep(self, endpoint: str, connection: client.Connection) -> None:
        idle = self._idle.setdefault(endpoint, [])
        if connection.is_usable and len(idle) < MAX_IDLE_PER_HOST:
            idle.append(connection)
        else:
            connection.close()

    def _take_idle(self, endpoint: str) -> client.Connection | None:
        idle = self._idle.get(endpoint, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable:
                return connection
        return None


def _encode_post(endpoint: str, path: bytes, body: bytes) -> bytes:
    headers = ((b"host", endpoint.encode()),)
    return messages.encode_request(b"POST", path, headers, body)
