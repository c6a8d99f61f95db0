"""Probes that check whether the process of an upstream has ended."""

import abc
import asyncio

from greengagedale.upstreams import base

_HEALTH_REQUEST = (
    b"GET /v1/health HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n"
)
# Delay before reconnecting after a connection was closed without an answer.
_RECONNECT_DELAY_MS = 5.0
_MS_PER_S = 1000.0


class Prober(abc.ABC):
    """Distinguishes an ended upstream process from a lost connection."""

    @abc.abstractmethod
    async def has_ended(self, upstream: base.Upstream) -> bool:
        """Returns whether the process of an upstream has ended."""


class _FirstBytesProtocol(asyncio.Protocol):
    """Detects whether any data arrives before the connection is closed.

    Attributes:
        answered: Resolves to True if data arrived first, else to False.
    """

    def __init__(self) -> None:
        self.answered: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )

    def data_received(self, data: bytes) -> None:
        """Resolves `answered` to True."""
        del data
        self._resolve(True)

    def connection_lost(self, exc: Exception | None) -> None:
        """Resolves `answered` to False, unless data has arrived."""
        del exc
        self._resolve(False)

    def _resolve(self, has_answered: bool) -> None:
        if not self.answered.done():
            self.answered.set_result(has_answered)


class TcpProber(Prober):
    """Probes a process by opening a new TCP connection.

    Only a refused connection proves that no process listens. The listener of a
    process that is ending may stay open for a while, longer on a busy machine,
    so an accepted connection does not prove that the process runs; only an
    answer does. If the connection is closed without an answer, another one is
    opened. Without a result within the timeout the process is not considered
    ended.
    """

    def __init__(self, timeout_ms: float) -> None:
        self._timeout_s = timeout_ms / _MS_PER_S

    async def has_ended(self, upstream: base.Upstream) -> bool:
        """Returns whether the process of an upstream has ended."""
        address, _, port = upstream.endpoint.rpartition(":")
        try:
            async with asyncio.timeout(self._timeout_s):
                while not await _answers(address, int(port)):
                    await asyncio.sleep(_RECONNECT_DELAY_MS / _MS_PER_S)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        return False


async def _answers(address: str, port: int) -> bool:
    """Returns whether the process answers before the connection ends."""
    loop = asyncio.get_running_loop()
    try:
        transport, opened = await loop.create_connection(
            _FirstBytesProtocol, address, port
        )
    except ConnectionResetError:
        # The listener accepted the connection and was closed before the event
        # loop looked at the result.
        return False
    try:
        transport.write(_HEALTH_REQUEST % address.encode())
        return await opened.answered
    finally:
        transport.abort()
