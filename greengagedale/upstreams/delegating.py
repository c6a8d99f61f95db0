"""A transport that passes on what needs no decision."""

from greengagedale.upstreams import base


class DelegatingTransport(base.UpstreamTransport):
    """Passes on all that is not an attempt."""

    def __init__(self, inner: base.UpstreamTransport) -> None:
        self._inner = inner

    async def cancel(self, upstream: base.Upstream, attempt_id: str) -> bool:
        """Asks an upstream to stop an attempt; True once it confirms."""
        return await self._inner.cancel(upstream, attempt_id)

    async def health(self, upstream: base.Upstream) -> base.HealthReport | None:
        """Asks an upstream about itself; None if it does not say."""
        return await self._inner.health(upstream)

    async def prewarm(self, upstream: base.Upstream) -> None:
        """Opens connections ahead of need."""
        await self._inner.prewarm(upstream)

    async def check_idle(self) -> None:
        """Finds connections that went silent while idle."""
        await self._inner.check_idle()

    async def close(self) -> None:
        """Closes all connections."""
        await self._inner.close()
