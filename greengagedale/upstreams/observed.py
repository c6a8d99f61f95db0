"""Watches what passes to and from upstreams for signs that they leave."""

from greengagedale import outcomes
from greengagedale.membership import drains as drains_lib
from greengagedale.query import attempts
from greengagedale.upstreams import base


class ObservedTransport(base.UpstreamTransport):
    """Passes everything on and reports refusals of draining upstreams."""

    def __init__(
        self, inner: base.UpstreamTransport, drains: drains_lib.Drains
    ) -> None:
        self._inner = inner
        self._drains = drains

    async def search(
        self, upstream: base.Upstream, request: base.SubSearch
    ) -> attempts.AttemptResult:
        """Sends a search and returns how it ended."""
        result = await self._inner.search(upstream, request)
        self._observe(upstream, result)
        return result

    async def act(
        self, upstream: base.Upstream, action: base.Action
    ) -> base.Acted | outcomes.AttemptEnd:
        """Sends an action, once, and returns how it ended."""
        result = await self._inner.act(upstream, action)
        self._observe(upstream, result)
        return result

    async def cancel(self, upstream: base.Upstream, attempt_id: str) -> bool:
        """Asks an upstream to stop an attempt; True once it confirms."""
        return await self._inner.cancel(upstream, attempt_id)

    async def health(self, upstream: base.Upstream) -> base.Health | None:
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

    def _observe(self, upstream: base.Upstream, result: object) -> None:
        if (
            isinstance(result, outcomes.AttemptEnd)
            and result.reason is outcomes.Reason.DRAINING
        ):
            self._drains.on_refusal(upstream.name)
