"""Quarantine of requests that crash the upstreams that run them.

A request that was in flight when several upstreams were lost, and that no
upstream has answered, is quarantined: it is refused as not run until its caller
stops sending it for a while. A request that merely ran on failing upstreams is
not suspected, because another upstream answers it or has answered it recently,
whereas a request that crashes upstreams is never answered. Hosts share their
suspects in exchanges, so that a caller that moves from host to host is caught
too.
"""

import collections
from collections.abc import Iterator
import contextlib
import dataclasses
import logging
from typing import NamedTuple

from greengagedale import clocks
from greengagedale.gateway import upstream_entries

log = logging.getLogger(__name__)

# Number of lost upstreams after which a request is quarantined. Two may be
# chance: where many answers are lost, one request can lose two upstreams.
MIN_LOST_UPSTREAMS = 3
# A suspicion expires after this long.
SUSPICION_MS = 30_000.0
# A quarantined request is allowed again this long after it was last received.
QUARANTINE_MS = 600_000.0
# An answer clears a request of suspicion for this long.
ANSWER_VALID_MS = 300_000.0
# Limit of tracked suspects, and of tracked answers; the oldest are evicted.
MAX_TRACKED = 2048
# Limit of suspects sent in one exchange: quarantined ones first, newest first.
MAX_SHARED = 16


class Suspect(NamedTuple):
    """A request that may crash upstreams.

    Attributes:
        fingerprint: Identifies the request; see `calls.fingerprint_of`.
        incarnations: Upstreams that were lost while they ran it, by name and
            start time, as a crashed upstream restarts under the same name.
        left_ms: Remaining time of the suspicion or quarantine.
    """

    fingerprint: int
    incarnations: tuple[upstream_entries.UpstreamIncarnation, ...]
    left_ms: float


class _SuspectState(NamedTuple):
    incarnations: frozenset[upstream_entries.UpstreamIncarnation]
    until_ms: float

    @property
    def is_quarantined(self) -> bool:
        return len(self.incarnations) >= MIN_LOST_UPSTREAMS


@dataclasses.dataclass(slots=True)
class _TrackedRequest:
    calls: int
    lost: set[upstream_entries.UpstreamIncarnation]


class Quarantine:
    """Tracks suspected and quarantined requests on one host."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._suspects: collections.OrderedDict[int, _SuspectState] = (
            collections.OrderedDict()
        )
        self._tracked: dict[int, _TrackedRequest] = {}
        self._answered: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def should_refuse(self, fingerprint: int) -> bool:
        """Tells whether a request is quarantined; if so, renews the time."""
        suspect = self._find(fingerprint)
        if suspect is None or not suspect.is_quarantined:
            return False
        self._store(fingerprint, suspect.incarnations)
        return True

    @contextlib.contextmanager
    def track_call(self, fingerprint: int) -> Iterator[None]:
        """Defers suspicion of a request until its running calls have ended.

        A search may lose several upstreams before the first one answers.
        """
        tracked = self._tracked.setdefault(
            fingerprint, _TrackedRequest(0, set())
        )
        tracked.calls += 1
        try:
            yield
        finally:
            tracked.calls -= 1
            if tracked.calls == 0:
                del self._tracked[fingerprint]
                if tracked.lost:
                    self._record_suspicion(fingerprint, frozenset(tracked.lost))

    def record_lost(
        self,
        fingerprint: int,
        incarnation: upstream_entries.UpstreamIncarnation,
    ) -> None:
        """Records that an upstream was lost while it ran a request."""
        tracked = self._tracked.get(fingerprint)
        if tracked is None:
            self._record_suspicion(fingerprint, frozenset((incarnation,)))
        else:
            tracked.lost.add(incarnation)

    def record_answer(self, fingerprint: int) -> None:
        """Records that an upstream ran a request and answered it."""
        self._suspects.pop(fingerprint, None)
        self._answered[fingerprint] = self._clock.now_ms() + ANSWER_VALID_MS
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > MAX_TRACKED:
            self._answered.popitem(last=False)

    def suspects(self) -> list[Suspect]:
        """Returns the suspects to share with other hosts."""
        now_ms = self._clock.now_ms()
        latest = [*reversed(self._suspects.items())]
        latest.sort(key=lambda item: not item[1].is_quarantined)
        return [
            Suspect(
                fingerprint,
                tuple(sorted(suspect.incarnations)),
                suspect.until_ms - now_ms,
            )
            for fingerprint, suspect in latest[:MAX_SHARED]
            if suspect.until_ms > now_ms
        ]

    def merge(self, suspects: list[Suspect]) -> None:
        """Adds the suspects of another host."""
        for fingerprint, incarnations, left_ms in suspects:
            suspect = self._find(fingerprint)
            received = frozenset(incarnations[:MIN_LOST_UPSTREAMS])
            if suspect is None or not received <= suspect.incarnations:
                # Renewing known suspects here would let hosts keep them alive
                # forever by sending them back and forth.
                self._record_suspicion(fingerprint, received, left_ms)

    def _record_suspicion(
        self,
        fingerprint: int,
        incarnations: frozenset[upstream_entries.UpstreamIncarnation],
        max_ms: float = QUARANTINE_MS,
    ) -> None:
        now_ms = self._clock.now_ms()
        if self._answered.get(fingerprint, 0.0) > now_ms:
            return
        suspect = self._find(fingerprint)
        if suspect is not None and suspect.is_quarantined:
            return
        lost = (
            incarnations
            if suspect is None
            else suspect.incarnations | incarnations
        )
        self._store(fingerprint, lost, max_ms)
        if self._suspects[fingerprint].is_quarantined:
            log.warning(
                "request quarantined",
                extra={"fingerprint": fingerprint, "lives": sorted(lost)},
            )

    def _find(self, fingerprint: int) -> _SuspectState | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.until_ms <= self._clock.now_ms():
            del self._suspects[fingerprint]
            return None
        return suspect

    def _store(
        self,
        fingerprint: int,
        incarnations: frozenset[upstream_entries.UpstreamIncarnation],
        max_ms: float = QUARANTINE_MS,
    ) -> None:
        is_quarantined = len(incarnations) >= MIN_LOST_UPSTREAMS
        lasts_ms = QUARANTINE_MS if is_quarantined else SUSPICION_MS
        until_ms = self._clock.now_ms() + min(lasts_ms, max_ms)
        self._suspects[fingerprint] = _SuspectState(incarnations, until_ms)
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > MAX_TRACKED:
            self._suspects.popitem(last=False)
