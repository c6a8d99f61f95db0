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
from greengagedale.gateway import entries

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
    """

    is_leaving: bool
    backoff_ms: float


class UpstreamNotices:
    """Tracks which upstreams are leaving or asked for a backoff.

    Attributes:
        on_unavailable: Called with an upstream's incarnation that no longer
            accepts work.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._leaving: collections.OrderedDict[entries.Life, float] = (
            collections.OrderedDict()
        )
        self._backoff_until_ms: dict[entries.Life, float] = {}
        self.on_unavailable: Callable[[entries.Life], None] = _ignore_upstream

    def observe(self, upstream: entries.Upstream, notice: Notice) -> None:
        """Records a notice in an answer of an upstream."""
        if notice.is_leaving and upstream.life not in self._leaving:
            log.info(
                "upstream leaving, as its answer says",
                extra={
                    "upstream": upstream.name,
                    "service": upstream.service,
                    "born_ms": upstream.born_ms,
                    "listed_as_leaving": upstream.is_leaving,
                },
            )
            self._record_leaving(upstream.life)
        if notice.backoff_ms > 0.0:
            self._set_backoff(upstream, min(MAX_BACKOFF_MS, notice.backoff_ms))

    def accepts_work(self, upstream: entries.Upstream) -> bool:
        """Tells whether new work may be sent to an upstream now."""
        life = upstream.life
        if life in self._leaving:
            return False
        until_ms = self._backoff_until_ms.get(life)
        return until_ms is None or until_ms <= self._clock.now_ms()

    def available(
        self, upstreams: Iterable[entries.Upstream]
    ) -> list[entries.Upstream]:
        """Returns the given upstreams that accept work now."""
        return [each for each in upstreams if self.accepts_work(each)]

    def available_in_ms(self, upstreams: Iterable[entries.Upstream]) -> float:
        """Returns the time in ms until one accepts work, or infinity."""
        now_ms = self._clock.now_ms()
        waits_ms = (
            max(0.0, self._backoff_until_ms.get(each.life, now_ms) - now_ms)
            for each in upstreams
            if each.life not in self._leaving
        )
        return min(waits_ms, default=float("inf"))

    def leaving(self) -> list[entries.Life]:
        """Returns the leaving upstreams to announce to other hosts."""
        oldest_ms = self._clock.now_ms() - SHARE_FOR_MS
        recent = [
            life
            for life, since_ms in self._leaving.items()
            if since_ms >= oldest_ms
        ]
        return recent[-MAX_SHARED:]

    def merge(self, incarnations: Iterable[entries.Life]) -> None:
        """Adds leaving upstreams that another host announced."""
        # The decoder may return lists instead of tuples.
        for name, born_ms in incarnations:
            life = (name, born_ms)
            if life not in self._leaving:
                log.info(
                    "upstream leaving, as a peer announced",
                    extra={"upstream": name, "born_ms": born_ms},
                )
                self._record_leaving(life)

    def evict_expired(self) -> None:
        """Drops leaving upstreams and backoffs that have expired."""
        now_ms = self._clock.now_ms()
        while self._leaving:
            life, since_ms = next(iter(self._leaving.items()))
            if now_ms - since_ms < RETENTION_MS:
                break
            del self._leaving[life]
        self._backoff_until_ms = {
            life: until_ms
            for life, until_ms in self._backoff_until_ms.items()
            if until_ms > now_ms
        }

    def _record_leaving(self, life: entries.Life) -> None:
        self._leaving[life] = self._clock.now_ms()
        if len(self._leaving) > MAX_TRACKED:
            self._leaving.popitem(last=False)
        self.on_unavailable(life)

    def _set_backoff(
        self, upstream: entries.Upstream, backoff_ms: float
    ) -> None:
        now_ms = self._clock.now_ms()
        until_ms = now_ms + backoff_ms
        current_until_ms = self._backoff_until_ms.get(upstream.life, now_ms)
        if until_ms <= current_until_ms:
            return
        self._backoff_until_ms[upstream.life] = until_ms
        if current_until_ms <= now_ms:
            log.info(
                "upstream asked for a backoff; sending it nothing new",
                extra={
                    "upstream": upstream.name,
                    "service": upstream.service,
                    "for_ms": round(backoff_ms),
                },
            )
        self.on_unavailable(upstream.life)


def _ignore_upstream(life: entries.Life) -> None:
    del life
