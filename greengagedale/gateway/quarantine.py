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
LEAST_LOST = 3
# Time after which a request that was suspected is as good as any.
SUSPICION_MS = 30_000.0
# A quarantined request is let through again this long after it last came.
QUARANTINE_MS = 600_000.0
# An answer speaks for a request for this long.
PROOF_MS = 300_000.0
# Requests held of each sort; the oldest go first.
MOST_HELD = 2048
# Suspects told in one exchange: those in quarantine first, the latest first.
MOST_TOLD = 16


class Suspect(NamedTuple):
    """A request that was not answered.

    Attributes:
        fingerprint: Names the request; see `calls.fingerprint_of`.
        lives: Lives of upstreams that were lost with it: name and start, as
            one that has crashed comes back under its name.
        left_ms: How long this holds.
    """

    fingerprint: int
    lives: tuple[entries.Life, ...]
    left_ms: float


class _Held(NamedTuple):
    lives: frozenset[entries.Life]
    until_ms: float

    @property
    def is_quarantined(self) -> bool:
        return len(self.lives) >= LEAST_LOST


@dataclasses.dataclass(slots=True)
class _Watched:
    calls: int
    lost: set[entries.Life]


class Quarantine:
    """What a host knows of such requests."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._held: collections.OrderedDict[int, _Held] = (
            collections.OrderedDict()
        )
        self._watched: dict[int, _Watched] = {}
        self._answered: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def should_refuse(self, fingerprint: int) -> bool:
        """Tells whether a request that comes now is quarantined."""
        held = self._suspect(fingerprint)
        if held is None or not held.is_quarantined:
            return False
        self._hold(fingerprint, held.lives)
        return True

    @contextlib.contextmanager
    def track_call(self, fingerprint: int) -> Iterator[None]:
        """Holds judgement on a request while a call of it runs.

        A search may lose several upstreams before the first one answers.
        """
        watched = self._watched.setdefault(fingerprint, _Watched(0, set()))
        watched.calls += 1
        try:
            yield
        finally:
            watched.calls -= 1
            if watched.calls == 0:
                del self._watched[fingerprint]
                if watched.lost:
                    self._blame(fingerprint, frozenset(watched.lost))

    def record_lost(self, fingerprint: int, life: entries.Life) -> None:
        """Takes in that an upstream was lost while it had a request."""
        watched = self._watched.get(fingerprint)
        if watched is None:
            self._blame(fingerprint, frozenset((life,)))
        else:
            watched.lost.add(life)

    def record_answer(self, fingerprint: int) -> None:
        """Takes in that an upstream ran a request and answered."""
        self._held.pop(fingerprint, None)
        self._answered[fingerprint] = self._clock.now_ms() + PROOF_MS
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > MOST_HELD:
            self._answered.popitem(last=False)

    def suspects(self) -> list[Suspect]:
        """Returns what other hosts should know."""
        now_ms = self._clock.now_ms()
        latest = [*reversed(self._held.items())]
        latest.sort(key=lambda item: not item[1].is_quarantined)
        return [
            Suspect(
                fingerprint,
                tuple(sorted(held.lives)),
                held.until_ms - now_ms,
            )
            for fingerprint, held in latest[:MOST_TOLD]
            if held.until_ms > now_ms
        ]

    def merge(self, suspects: list[Suspect]) -> None:
        """Takes in what another host suspects."""
        for fingerprint, lives, left_ms in suspects:
            held = self._suspect(fingerprint)
            told = frozenset(lives[:LEAST_LOST])
            if held is None or not told <= held.lives:
                # Hosts that told each other anew each time would never forget.
                self._blame(fingerprint, told, left_ms)

    def _blame(
        self,
        fingerprint: int,
        lives: frozenset[entries.Life],
        most_ms: float = QUARANTINE_MS,
    ) -> None:
        now_ms = self._clock.now_ms()
        if self._answered.get(fingerprint, 0.0) > now_ms:
            return
        held = self._suspect(fingerprint)
        if held is not None and held.is_quarantined:
            return
        lost = lives if held is None else held.lives | lives
        self._hold(fingerprint, lost, most_ms)
        if self._held[fingerprint].is_quarantined:
            log.warning(
                "request quarantined",
                extra={"fingerprint": fingerprint, "lives": sorted(lost)},
            )

    def _suspect(self, fingerprint: int) -> _Held | None:
        held = self._held.get(fingerprint)
        if held is not None and held.until_ms <= self._clock.now_ms():
            del self._held[fingerprint]
            return None
        return held

    def _hold(
        self,
        fingerprint: int,
        lives: frozenset[entries.Life],
        most_ms: float = QUARANTINE_MS,
    ) -> None:
        is_quarantined = len(lives) >= LEAST_LOST
        lasts_ms = QUARANTINE_MS if is_quarantined else SUSPICION_MS
        until_ms = self._clock.now_ms() + min(lasts_ms, most_ms)
        self._held[fingerprint] = _Held(lives, until_ms)
        self._held.move_to_end(fingerprint)
        if len(self._held) > MOST_HELD:
            self._held.popitem(last=False)
