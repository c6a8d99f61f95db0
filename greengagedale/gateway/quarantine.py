"""Requests that crash the upstreams that run them.

A request of which several upstreams were lost, and which none has answered, is
quarantined: it is refused as not run until its caller has let it be. A request
that only met upstreams in trouble is not taken for one that crashes them, as
another upstream answers it, or has answered it lately: what crashes upstreams
is never answered. Hosts tell each other their suspects in exchanges, so that a
caller that goes from host to host is found out as well.
"""

import collections
from collections.abc import Iterator
import contextlib
import dataclasses
import logging
from typing import NamedTuple

from greengagedale import clocks
from greengagedale.gateway import entries

log = logging.getLogger(__name__)

# Upstreams lost with a request before it is quarantined: two may be chance, as
# one request meets two where many answers are lost.
MIN_LOST_UPSTREAMS = 3
# Time after which a request that was suspected is as good as any.
SUSPICION_MS = 30_000.0
# A quarantined request is let through again this long after it last came.
QUARANTINE_MS = 600_000.0
# An answer speaks for a request for this long.
ANSWER_VALID_MS = 300_000.0
# Requests held of each sort; the oldest go first.
MAX_TRACKED = 2048
# Suspects told in one exchange: those in quarantine first, the latest first.
MAX_SHARED = 16


class Suspect(NamedTuple):
    """A request that was not answered.

    Attributes:
        fingerprint: Names the request; see `calls.fingerprint_of`.
        lives: Lives of upstreams that were lost with it: name and start, as
            one that has crashed comes back under its name.
        left_ms: How long this holds.
    """

    fingerprint: int
    incarnations: tuple[entries.Life, ...]
    left_ms: float


class _SuspectState(NamedTuple):
    incarnations: frozenset[entries.Life]
    until_ms: float

    @property
    def is_quarantined(self) -> bool:
        return len(self.incarnations) >= MIN_LOST_UPSTREAMS


@dataclasses.dataclass(slots=True)
class _TrackedRequest:
    calls: int
    lost: set[entries.Life]


class Quarantine:
    """What a host knows of such requests."""

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
        """Tells whether a request that comes now is quarantined."""
        held = self._find(fingerprint)
        if held is None or not held.is_quarantined:
            return False
        self._store(fingerprint, held.incarnations)
        return True

    @contextlib.contextmanager
    def track_call(self, fingerprint: int) -> Iterator[None]:
        """Holds judgement on a request while a call of it runs.

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

    def record_lost(self, fingerprint: int, life: entries.Life) -> None:
        """Takes in that an upstream was lost while it had a request."""
        tracked = self._tracked.get(fingerprint)
        if tracked is None:
            self._record_suspicion(fingerprint, frozenset((life,)))
        else:
            tracked.lost.add(life)

    def record_answer(self, fingerprint: int) -> None:
        """Takes in that an upstream ran a request and answered."""
        self._suspects.pop(fingerprint, None)
        self._answered[fingerprint] = self._clock.now_ms() + ANSWER_VALID_MS
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > MAX_TRACKED:
            self._answered.popitem(last=False)

    def suspects(self) -> list[Suspect]:
        """Returns what other hosts should know."""
        now_ms = self._clock.now_ms()
        latest = [*reversed(self._suspects.items())]
        latest.sort(key=lambda item: not item[1].is_quarantined)
        return [
            Suspect(
                fingerprint,
                tuple(sorted(held.incarnations)),
                held.until_ms - now_ms,
            )
            for fingerprint, held in latest[:MAX_SHARED]
            if held.until_ms > now_ms
        ]

    def merge(self, suspects: list[Suspect]) -> None:
        """Takes in what another host suspects."""
        for fingerprint, incarnations, left_ms in suspects:
            held = self._find(fingerprint)
            received = frozenset(incarnations[:MIN_LOST_UPSTREAMS])
            if held is None or not received <= held.incarnations:
                # Hosts that told each other anew each time would never forget.
                self._record_suspicion(fingerprint, received, left_ms)

    def _record_suspicion(
        self,
        fingerprint: int,
        incarnations: frozenset[entries.Life],
        max_ms: float = QUARANTINE_MS,
    ) -> None:
        now_ms = self._clock.now_ms()
        if self._answered.get(fingerprint, 0.0) > now_ms:
            return
        held = self._find(fingerprint)
        if held is not None and held.is_quarantined:
            return
        lost = (
            incarnations if held is None else held.incarnations | incarnations
        )
        self._store(fingerprint, lost, max_ms)
        if self._suspects[fingerprint].is_quarantined:
            log.warning(
                "request quarantined",
                extra={"fingerprint": fingerprint, "lives": sorted(lost)},
            )

    def _find(self, fingerprint: int) -> _SuspectState | None:
        held = self._suspects.get(fingerprint)
        if held is not None and held.until_ms <= self._clock.now_ms():
            del self._suspects[fingerprint]
            return None
        return held

    def _store(
        self,
        fingerprint: int,
        incarnations: frozenset[entries.Life],
        max_ms: float = QUARANTINE_MS,
    ) -> None:
        is_quarantined = len(incarnations) >= MIN_LOST_UPSTREAMS
        lasts_ms = QUARANTINE_MS if is_quarantined else SUSPICION_MS
        until_ms = self._clock.now_ms() + min(lasts_ms, max_ms)
        self._suspects[fingerprint] = _SuspectState(incarnations, until_ms)
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > MAX_TRACKED:
            self._suspects.popitem(last=False)
