"""Tells whether the process of an upstream is gone."""

import abc
import asyncio

from greengagedale.upstreams import base

# A process that ends closes its listener within this time of its connections.
_STAYS_OPEN_MS = 25.0
# Pause before the next connection to a process that ended the last one.
_PAUSE_MS = 5.0
_MS_PER_S = 1000.0


class Prober(abc.ABC):
    """Tells a dead process from a lost connection."""

    @abc.abstractmethod
    async def is_gone(self, upstream: base.Upstream) -> bool:
        """Tells whether nothing listens there any more."""


class _ClosedByPeer(asyncio.Protocol):
    """Notes that the other side has ended a connection."""

    def __init__(self) -> None:
        self.ended = asyncio.Event()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes the end."""
        del exc
        self.ended.set()


class TcpProber(Prober):
    """Opens a fresh connection; only a refusal proves that nothing listens.

    A process that ends may still have its listener open for a moment. A
    connection that ends at once is therefore no sign of life, and another one
    is opened.
    """

    def __init__(self, timeout_ms: float) -> None:
        self._timeout_s = timeout_ms / _MS_PER_S

    async def is_gone(self, upstream: base.Upstream) -> bool:
        """Tells whether nothing listens there any more."""
        address, _, port = upstream.endpoint.rpartition(":")
        try:
            async with asyncio.timeout(self._timeout_s):
                while not await _stays_open(address, int(port)):
                    await asyncio.sleep(_PAUSE_MS / _MS_PER_S)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        return False


async def _stays_open(address: str, port: int) -> bool:
    loop = asyncio.get_running_loop()
    transport, opened = await loop.create_connection(
        _ClosedByPeer, address, port
    )
    try:
        async with asyncio.timeout(_STAYS_OPEN_MS / _MS_PER_S):
            await opened.ended.wait()
    except TimeoutError:
        return True
    finally:
        transport.abort()
    return False
