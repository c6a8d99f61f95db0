"""Base class for transports that wrap another transport."""

from greengagedale.upstreams import base


class DelegatingTransport(base.UpstreamTransport):
    """Delegates all calls except attempts to another transport."""

    def __init__(self, inner: base.UpstreamTransport) -> None:
        self._inner = inner

    async def cancel(self, upstream: base.Upstream, attempt_id: str) -> bool:
        """Cancels an attempt; returns whether the upstream confirmed it."""
        return await self._inner.cancel(upstream, attempt_id)

    async def health(self, upstream: base.Upstream) -> base.HealthReport | None:
        """Requests the health report; returns None if there is no valid one."""
        return await self._inner.health(upstream)

    async def prewarm(self, upstream: base.Upstream) -> None:
        """Opens spare connections in advance."""
        await self._inner.prewarm(upstream)

    async def check_idle(self) -> None:
        """Finds and closes idle connections that no longer respond."""
        await self._inner.check_idle()

    async def close(self) -> None:
        """Closes all connections."""
        await self._inner.close()
