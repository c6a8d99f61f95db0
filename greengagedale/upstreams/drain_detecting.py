"""Transport that detects draining upstreams by their refusals."""

from greengagedale import outcomes
from greengagedale.membership import drains as drains_lib
from greengagedale.query import attempts
from greengagedale.upstreams import base
from greengagedale.upstreams import delegating


class DrainDetectingTransport(delegating.DelegatingTransport):
    """Delegates all calls and reports refusals by draining upstreams."""

    def __init__(
        self, inner: base.UpstreamTransport, drains: drains_lib.DrainTracker
    ) -> None:
        super().__init__(inner)
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
    ) -> base.ActionAnswered | outcomes.AttemptFailure:
        """Sends an action at most once and returns how it ended."""
        result = await self._inner.act(upstream, action)
        self._observe(upstream, result)
        return result

    def _observe(self, upstream: base.Upstream, result: object) -> None:
        if (
            isinstance(result, outcomes.AttemptFailure)
            and result.reason is outcomes.Reason.DRAINING
        ):
            self._drains.on_refusal(upstream.name)
