"""All limits on what this host may send to upstreams at the moment."""

from collections.abc import Collection
import math

from greengagedale import outcomes
from greengagedale.gateway import announced_limits
from greengagedale.gateway import send_limit
from greengagedale.gateway import upstream_entries
from greengagedale.gateway import upstream_notices
from greengagedale.gateway import warm_up as warm_up_lib


class UpstreamLimits:
    """Applies the limits of upstreams that warm up or announce a limit."""

    def __init__(
        self,
        warm_up: warm_up_lib.WarmUpLimit,
        announced: announced_limits.AnnouncedLimits,
    ) -> None:
        self._warm_up = warm_up
        self._announced = announced
        self._all: tuple[send_limit.SendLimit, ...] = (
            announced,
            warm_up,
        )

    def available(
        self, upstreams: list[upstream_entries.Upstream]
    ) -> list[upstream_entries.Upstream]:
        """Returns the given upstreams that this host may send to now."""
        for limit in self._all:
            upstreams = limit.available(upstreams)
        return upstreams

    def available_for_hedges(
        self, upstreams: list[upstream_entries.Upstream]
    ) -> list[upstream_entries.Upstream]:
        """Returns the given upstreams that may get a hedge now.

        What an upstream in need takes is left to first attempts and retries.
        """
        return self.available(self._announced.without_limit(upstreams))

    def available_in_ms(
        self, upstreams: list[upstream_entries.Upstream]
    ) -> float:
        """Returns the time until this host may send to one, or infinity."""
        return min(
            (
                max(limit.available_in_ms([each]) for limit in self._all)
                for each in upstreams
            ),
            default=math.inf,
        )

    def withholding_reason(
        self, upstreams: list[upstream_entries.Upstream]
    ) -> outcomes.Reason:
        """Returns why none of these upstreams may get another request."""
        reasons = (
            limit.reason
            for limit in self._all
            if not limit.available(upstreams)
        )
        return next(reasons, self._warm_up.reason)

    def try_send(
        self, upstream: upstream_entries.Upstream
    ) -> send_limit.EndPermit | outcomes.Reason:
        """Returns a permit to send one request now, or why there is none."""
        permits: list[send_limit.EndPermit] = []

        def end() -> None:
            for permit in permits:
                permit()

        for limit in self._all:
            permit = limit.try_send(upstream)
            if permit is None:
                end()
                return limit.reason
            permits.append(permit)
        return end

    def observe(
        self,
        upstream: upstream_entries.Upstream,
        notice: upstream_notices.Notice,
        sent_ms: float,
    ) -> None:
        """Records what an answer says.

        Args:
            upstream: The upstream that answered.
            notice: What its answer says.
            sent_ms: Time at which the request was sent.
        """
        self._warm_up.observe(upstream, notice.warm_up_ms)
        if notice.limit_per_s is not None:
            self._announced.observe(upstream, notice.limit_per_s, sent_ms)

    def observe_unreachable(self, upstream: upstream_entries.Upstream) -> None:
        """Records that an upstream refused a connection."""
        self._warm_up.observe_unreachable(upstream)

    def retain_only(
        self, incarnations: Collection[upstream_entries.UpstreamIncarnation]
    ) -> None:
        """Discards the state of all other upstreams."""
        for limit in self._all:
            limit.retain_only(incarnations)
