"""Tells whether the process of an upstream is gone."""

import abc
import asyncio

from greengagedale.upstreams import base

_MS_PER_S = 1000.0


class Prober(abc.ABC):
    """Tells a dead process from a lost connection."""

    @abc.abstractmethod
    async def is_gone(self, upstream: base.Upstream) -> bool:
        """Tells whether nothing listens there any more."""


class TcpProber(Prober):
    """Opens a fresh connection; only a refusal proves that nothing listens."""

    def __init__(self, timeout_ms: float) -> None:
        self._timeout_s = timeout_ms / _MS_PER_S

    async def is_gone(self, upstream: base.Upstream) -> bool:
        """Tells whether nothing listens there any more."""
        address, _, port = upstream.endpoint.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._timeout_s):
                transport, _ = await loop.create_connection(
                    asyncio.Protocol, address, int(port)
                )
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        transport.abort()
        return False
