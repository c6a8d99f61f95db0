"""Tracks which upstreams are leaving, by the first signal from any source."""

from collections.abc import Callable, Iterable
import dataclasses
import enum

from greengagedale import clocks
from greengagedale.membership import announcements

ANNOUNCEMENT_KIND = "leaving"
_LEAVING = "leaving"
_RETURNED = "back"
_ANNOUNCEMENT_TTL_MS = 20_000.0
# A drain without a new signal for this long is considered over, whether the
# upstream has stopped or still runs.
_DRAIN_TTL_MS = 60_000.0
_REPUBLISH_INTERVAL_MS = 10_000.0
_MIN_READY_MS = 3000.0
_MAX_READY_MS = 60_000.0
_MIN_READY_ANSWERS = 3


class Source(enum.StrEnum):
    """Source of a signal that an upstream is leaving."""

    REFUSAL = "refusal"
    HEALTH = "health"
    PLATFORM = "platform"
    PEER = "peer"


class HealthState(enum.StrEnum):
    """States of an upstream's health report that start or end a drain."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(slots=True)
class _Drain:
    leaving: bool = False
    sequence: int = 0
    signalled_ms: float = 0.0
    published_ms: float = 0.0
    ready_since_ms: float | None = None
    ready_answers: int = 0
    required_ready_ms: float = _MIN_READY_MS


class DrainTracker:
    """Tracks the draining upstreams that this host knows of.

    Health reports may lag behind the real state. Therefore a drain ends only
    after the upstream has reported ready, without a new drain signal, for a
    required time. That time doubles with each drain that ends, up to a limit,
    so that a report that turns out to be wrong is trusted later the next time.
    """

    def __init__(
        self,
        announcement_cache: announcements.AnnouncementCache,
        clock: clocks.Clock,
        wall_ms: Callable[[], int],
        count: Callable[[Source], None],
    ) -> None:
        self._announcement_cache = announcement_cache
        self._clock = clock
        self._wall_ms = wall_ms
        self._count = count
        self._drains: dict[str, _Drain] = {}
        self._leaving_by_platform: frozenset[str] = frozenset()
        announcement_cache.subscribe(ANNOUNCEMENT_KIND, self._on_announcement)

    def is_leaving(self, upstream: str) -> bool:
        """Returns whether an upstream must not get new work."""
        if upstream in self._leaving_by_platform:
            return True
        drain = self._drains.get(upstream)
        if drain is None or not drain.leaving:
            return False
        return self._clock.now_ms() - drain.signalled_ms < _DRAIN_TTL_MS

    def leaving(self) -> list[str]:
        """Returns the names of all upstreams that must not get new work."""
        names = sorted(self._drains.keys() | self._leaving_by_platform)
        return [name for name in names if self.is_leaving(name)]

    def on_refusal(self, upstream: str) -> None:
        """Records that an upstream refused work because it is draining."""
        self._on_leaving_signal(upstream, Source.REFUSAL)

    def on_health_report(self, upstream: str, state: str) -> None:
        """Records the state of a health report of an upstream."""
        if state == HealthState.DRAINING:
            self._on_leaving_signal(upstream, Source.HEALTH)
        elif state == HealthState.READY:
            self._on_ready(upstream)

    def on_platform_list(self, leaving: Iterable[str]) -> None:
        """Replaces the upstreams that the platform lists as leaving."""
        now_leaving = frozenset(leaving)
        for _ in now_leaving - self._leaving_by_platform:
            self._count(Source.PLATFORM)
        self._leaving_by_platform = now_leaving

    def _on_leaving_signal(self, upstream: str, source: Source) -> None:
        drain = self._drains.setdefault(upstream, _Drain())
        now_ms = self._clock.now_ms()
        was_leaving = self.is_leaving(upstream) and drain.leaving
        drain.leaving = True
        drain.signalled_ms = now_ms
        drain.ready_since_ms = None
        drain.ready_answers = 0
        if not was_leaving:
            self._count(source)
            self._publish(upstream, drain, _LEAVING)
        elif now_ms - drain.published_ms >= _REPUBLISH_INTERVAL_MS:
            self._publish(upstream, drain, _LEAVING)

    def _on_ready(self, upstream: str) -> None:
        drain = self._drains.get(upstream)
        if drain is None or not drain.leaving:
            return
        now_ms = self._clock.now_ms()
        if drain.ready_since_ms is None:
            drain.ready_since_ms = now_ms
        drain.ready_answers += 1
        if (
            now_ms - drain.ready_since_ms >= drain.required_ready_ms
            and drain.ready_answers >= _MIN_READY_ANSWERS
        ):
            self._end(drain)
            self._publish(upstream, drain, _RETURNED)

    def _end(self, drain: _Drain) -> None:
        drain.leaving = False
        drain.ready_since_ms = None
        drain.ready_answers = 0
        drain.required_ready_ms = min(
            2 * drain.required_ready_ms, _MAX_READY_MS
        )

    def _publish(self, upstream: str, drain: _Drain, body: str) -> None:
        drain.sequence = max(drain.sequence + 1, self._wall_ms())
        drain.published_ms = self._clock.now_ms()
        self._announcement_cache.add(
            announcements.Announcement(
                ANNOUNCEMENT_KIND,
                upstream,
                drain.sequence,
                body,
                _ANNOUNCEMENT_TTL_MS,
            )
        )

    def _on_announcement(self, item: announcements.Announcement) -> None:
        drain = self._drains.setdefault(item.name, _Drain())
        if item.sequence <= drain.sequence:
            return
        drain.sequence = item.sequence
        if item.body == _LEAVING:
            if not self.is_leaving(item.name):
                self._count(Source.PEER)
            drain.leaving = True
            drain.signalled_ms = self._clock.now_ms()
            drain.published_ms = drain.signalled_ms
            drain.ready_since_ms = None
            drain.ready_answers = 0
        elif drain.leaving:
            self._end(drain)
