"""Notices that upstreams send in their answers, independent of the store.

An upstream that announces that it is leaving, or that asks for a backoff, gets
no new work from this host from that answer on, whatever the store lists.
Attempts that wait for a connection to it go to other upstreams.
"""

import collections
from collections.abc import Callable, Iterable
import logging
from typing import NamedTuple

from greengagedale import clocks
from greengagedale.gateway import upstream_entries

log = logging.getLogger(__name__)

# Longest backoff that an upstream may request with one answer; limits how long
# a mistaken value takes it out of service.
MAX_BACKOFF_MS = 60_000.0
# Leaving upstreams are announced to other hosts for this long: upstreams drain
# for seconds, and stale copies of the list are seconds old.
SHARE_FOR_MS = 60_000.0
# Leaving upstreams are remembered for longer than that, so that a late
# announcement of another host does not add them again. An upstream that returns
# has a new incarnation.
RETENTION_MS = 600_000.0
# Limit of tracked leaving upstreams, more than the largest fleet has; the
# oldest are evicted.
MAX_TRACKED = 8192
# Limit of leaving upstreams sent in one exchange; the newest ones are sent.
MAX_SHARED = 64


class Notice(NamedTuple):
    """Information about an upstream in one of its answers.

    Attributes:
        is_leaving: Whether the upstream is leaving.
        backoff_ms: Time for which it accepts nothing from this host; 0 if it
            accepts more work.
        warm_up_ms: Time for which it still warms up; 0 if it says none.
        limit_per_s: Requests per second that it takes from all hosts together,
            or infinity if it announces no limit; None if the answer does not
            tell.
    """

    is_leaving: bool
    backoff_ms: float
    warm_up_ms: float = 0.0
    limit_per_s: float | None = None


class UpstreamNotices:
    """Tracks which upstreams are leaving or asked for a backoff.

    Attributes:
        on_unavailable: Called with an upstream's incarnation that no longer
            accepts work.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._leaving: collections.OrderedDict[
            upstream_entries.UpstreamIncarnation, float
        ] = collections.OrderedDict()
        self._backoff_until_ms: dict[
            upstream_entries.UpstreamIncarnation, float
        ] = {}
        self.on_unavailable: Callable[
            [upstream_entries.UpstreamIncarnation], None
        ] = _ignore_upstream

    def observe(
        self, upstream: upstream_entries.Upstream, notice: Notice
    ) -> None:
        """Records a notice in an answer of an upstream."""
        if notice.is_leaving and upstream.incarnation not in self._leaving:
            log.info(
                "upstream leaving, as its answer says",
                extra={
                    "upstream": upstream.name,
                    "service": upstream.service,
                    "born_ms": upstream.born_ms,
                    "listed_as_leaving": upstream.is_leaving,
                },
            )
            self._record_leaving(upstream.incarnation)
        if notice.backoff_ms > 0.0:
            self._set_backoff(upstream, min(MAX_BACKOFF_MS, notice.backoff_ms))

    def accepts_work(self, upstream: upstream_entries.Upstream) -> bool:
        """Tells whether new work may be sent to an upstream now."""
        incarnation = upstream.incarnation
        if incarnation in self._leaving:
            return False
        until_ms = self._backoff_until_ms.get(incarnation)
        return until_ms is None or until_ms <= self._clock.now_ms()

    def available(
        self, upstreams: Iterable[upstream_entries.Upstream]
    ) -> list[upstream_entries.Upstream]:
        """Returns the given upstreams that accept work now."""
        return [each for each in upstreams if self.accepts_work(each)]

    def available_in_ms(
        self, upstreams: Iterable[upstream_entries.Upstream]
    ) -> float:
        """Returns the time in ms until one accepts work, or infinity."""
        now_ms = self._clock.now_ms()
        waits_ms = (
            max(
                0.0,
                self._backoff_until_ms.get(each.incarnation, now_ms) - now_ms,
            )
            for each in upstreams
            if each.incarnation not in self._leaving
        )
        return min(waits_ms, default=float("inf"))

    def leaving(self) -> list[upstream_entries.UpstreamIncarnation]:
        """Returns the leaving upstreams to announce to other hosts."""
        oldest_ms = self._clock.now_ms() - SHARE_FOR_MS
        recent = [
            incarnation
            for incarnation, since_ms in self._leaving.items()
            if since_ms >= oldest_ms
        ]
        return recent[-MAX_SHARED:]

    def merge(
        self, incarnations: Iterable[upstream_entries.UpstreamIncarnation]
    ) -> None:
        """Adds leaving upstreams that another host announced."""
        # The decoder may return lists instead of tuples.
        for name, born_ms in incarnations:
            incarnation = (name, born_ms)
            if incarnation not in self._leaving:
                log.info(
                    "upstream leaving, as a peer announced",
                    extra={"upstream": name, "born_ms": born_ms},
                )
                self._record_leaving(incarnation)

    def evict_expired(self) -> None:
        """Drops leaving upstreams and backoffs that have expired."""
        now_ms = self._clock.now_ms()
        while self._leaving:
            incarnation, since_ms = next(iter(self._leaving.items()))
            if now_ms - since_ms < RETENTION_MS:
                break
            del self._leaving[incarnation]
        self._backoff_until_ms = {
            incarnation: until_ms
            for incarnation, until_ms in self._backoff_until_ms.items()
            if until_ms > now_ms
        }

    def _record_leaving(
        self, incarnation: upstream_entries.UpstreamIncarnation
    ) -> None:
        self._leaving[incarnation] = self._clock.now_ms()
        if len(self._leaving) > MAX_TRACKED:
            self._leaving.popitem(last=False)
        self.on_unavailable(incarnation)

    def _set_backoff(
        self, upstream: upstream_entries.Upstream, backoff_ms: float
    ) -> None:
        now_ms = self._clock.now_ms()
        until_ms = now_ms + backoff_ms
        current_until_ms = self._backoff_until_ms.get(
            upstream.incarnation, now_ms
        )
        if until_ms <= current_until_ms:
            return
        self._backoff_until_ms[upstream.incarnation] = until_ms
        if current_until_ms <= now_ms:
            log.info(
                "upstream asked for a backoff; sending it nothing new",
                extra={
                    "upstream": upstream.name,
                    "service": upstream.service,
                    "for_ms": round(backoff_ms),
                },
            )
        self.on_unavailable(upstream.incarnation)


def _ignore_upstream(incarnation: upstream_entries.UpstreamIncarnation) -> None:
    del incarnation
