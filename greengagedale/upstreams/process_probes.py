"""Tells whether the process of an upstream is gone."""

import abc
import asyncio

from greengagedale.upstreams import base

_HEALTH_REQUEST = (
    b"GET /v1/health HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n"
)
# Pause before the next connection to a process that ended the last one.
_PAUSE_MS = 5.0
_MS_PER_S = 1000.0


class Prober(abc.ABC):
    """Tells a dead process from a lost connection."""

    @abc.abstractmethod
    async def is_gone(self, upstream: base.Upstream) -> bool:
        """Tells whether nothing listens there any more."""


class _FirstBytesProtocol(asyncio.Protocol):
    """Notes whether the other side says anything before it ends."""

    def __init__(self) -> None:
        self.answered: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )

    def data_received(self, data: bytes) -> None:
        """Notes an answer."""
        del data
        self._resolve(True)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes the end."""
        del exc
        self._resolve(False)

    def _resolve(self, has_answered: bool) -> None:
        if not self.answered.done():
            self.answered.set_result(has_answered)


class TcpProber(Prober):
    """Opens a fresh connection; only a refusal proves that nothing listens.

    A process that ends may have its listener open for a while, longer on a
    busy machine. Only an answer on the connection is therefore a sign of life;
    if the connection ends without one, another one is opened.
    """

    def __init__(self, timeout_ms: float) -> None:
        self._timeout_s = timeout_ms / _MS_PER_S

    async def is_gone(self, upstream: base.Upstream) -> bool:
        """Tells whether nothing listens there any more."""
        address, _, port = upstream.endpoint.rpartition(":")
        try:
            async with asyncio.timeout(self._timeout_s):
                while not await _answers(address, int(port)):
                    await asyncio.sleep(_PAUSE_MS / _MS_PER_S)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        return False


async def _answers(address: str, port: int) -> bool:
    """Tells whether whatever listens there answers before it ends."""
    loop = asyncio.get_running_loop()
    transport, opened = await loop.create_connection(
        _FirstBytesProtocol, address, port
    )
    try:
        transport.write(_HEALTH_REQUEST % address.encode())
        return await opened.answered
    finally:
        transport.abort()
