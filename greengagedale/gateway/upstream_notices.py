"""What upstreams say of themselves in their answers, beside the store.

An upstream that says that it leaves, or that it wants nothing for a while, gets
nothing new from this host from that answer on, whatever the store lists. What
waits for a connection to it goes elsewhere.
"""

import collections
from collections.abc import Callable, Iterable
import logging
from typing import NamedTuple

from greengagedale import clocks
from greengagedale.gateway import entries

log = logging.getLogger(__name__)

# Longest time for which an upstream may turn this host away with one answer; a
# mistaken figure takes it out of service no longer.
MAX_BACKOFF_MS = 60_000.0
# Lives that are leaving are told to other hosts for this long: upstreams drain
# for seconds, and stale copies of the list are seconds old.
SHARE_FOR_MS = 60_000.0
# They are kept for longer, so that none is learned anew from a host that heard
# of it late. An upstream that stays after all is known by a new life.
RETENTION_MS = 600_000.0
# Lives held; the oldest go first. More than the upstreams of the largest fleet.
MAX_TRACKED = 8192
# Lives told in one exchange, the latest first.
MAX_SHARED = 64


class Notice(NamedTuple):
    """What one answer says of its upstream.

    Attributes:
        is_leaving: Whether it is leaving.
        hold_ms: How long it wants nothing from this host; 0 if it wants more.
    """

    is_leaving: bool
    backoff_ms: float


class UpstreamNotices:
    """What a host has been told by upstreams, and by hosts that were told.

    Attributes:
        on_notice: Called with a life that takes no work any more.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._leaving: collections.OrderedDict[entries.Life, float] = (
            collections.OrderedDict()
        )
        self._backoff_until_ms: dict[entries.Life, float] = {}
        self.on_unavailable: Callable[[entries.Life], None] = _ignore_upstream

    def observe(self, upstream: entries.Upstream, notice: Notice) -> None:
        """Takes in what an answer of an upstream says."""
        if notice.is_leaving and upstream.life not in self._leaving:
            log.info(
                "upstream leaving, as it says",
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
        """Tells whether anything new may be sent to an upstream now."""
        life = upstream.life
        if life in self._leaving:
            return False
        until_ms = self._backoff_until_ms.get(life)
        return until_ms is None or until_ms <= self._clock.now_ms()

    def available(
        self, upstreams: Iterable[entries.Upstream]
    ) -> list[entries.Upstream]:
        """Returns those of some upstreams that take work now."""
        return [each for each in upstreams if self.accepts_work(each)]

    def available_in_ms(self, upstreams: Iterable[entries.Upstream]) -> float:
        """Returns when the first of some upstreams takes work, or infinity."""
        now_ms = self._clock.now_ms()
        waits_ms = (
            max(0.0, self._backoff_until_ms.get(each.life, now_ms) - now_ms)
            for each in upstreams
            if each.life not in self._leaving
        )
        return min(waits_ms, default=float("inf"))

    def leaving(self) -> list[entries.Life]:
        """Returns lives that other hosts should know to be leaving."""
        oldest_ms = self._clock.now_ms() - SHARE_FOR_MS
        shared = [
            life
            for life, since_ms in self._leaving.items()
            if since_ms >= oldest_ms
        ]
        return shared[-MAX_SHARED:]

    def merge(self, incarnations: Iterable[entries.Life]) -> None:
        """Takes in lives that leave, as another host was told."""
        # Sequences of the codec are not always tuples.
        for name, born_ms in incarnations:
            life = (name, born_ms)
            if life not in self._leaving:
                log.info(
                    "upstream leaving, as a peer was told",
                    extra={"upstream": name, "born_ms": born_ms},
                )
                self._record_leaving(life)

    def evict_expired(self) -> None:
        """Drops what no longer matters."""
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
                "upstream wants nothing for a while",
                extra={
                    "upstream": upstream.name,
                    "service": upstream.service,
                    "for_ms": round(backoff_ms),
                },
            )
        self.on_unavailable(upstream.life)


def _ignore_upstream(life: entries.Life) -> None:
    del life
