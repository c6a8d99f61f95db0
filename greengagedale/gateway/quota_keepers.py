"""Chooses the host that keeps the quotas of each slot of workspaces.

All hosts rank the live hosts for a slot by rendezvous hashing; the first is its
keeper. Hosts may disagree for a while: that divides the quotas among keepers,
and never adds to them (see `limits.quota_shares`).
"""

from collections.abc import Iterable
import functools
from typing import NamedTuple

import xxhash

from greengagedale import clocks
from greengagedale.limits import ownership

# Number of slots that workspaces are divided into. A lost keeper affects one
# slot; each slot costs every host one renewal per interval.
SLOT_COUNT = 2
# A host is avoided if it has answered no token request for this long, and
# asked again after the second time.
UNANSWERED_TIMEOUT_MS = 300.0
AVOID_MS = 3000.0
# A process that has sent fewer heartbeats than this fraction of the longest
# running one's is not a keeper, so that a host that restarts does not take its
# slots back at once. Above the number it always may be.
YOUNG_FRACTION = 0.25
SEASONED_HEARTBEATS = 400


class Candidate(NamedTuple):
    """A live host that could be a keeper.

    Attributes:
        name: Name of the host.
        heartbeats: Number of heartbeats that its process has sent.
    """

    name: str
    heartbeats: int


@functools.lru_cache(maxsize=4096)
def slot_of(workspace: str) -> int:
    """Returns the slot of a workspace."""
    return xxhash.xxh3_64_intdigest(workspace.encode()) % SLOT_COUNT


class KeeperDirectory:
    """The keeper of each slot, as this host sees it."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._ranked: list[list[str]] = [[] for _ in range(SLOT_COUNT)]
        self._names: frozenset[str] = frozenset()
        self._unanswered_since_ms: dict[str, float] = {}
        self._avoided_until_ms: dict[str, float] = {}

    def set_candidates(self, candidates: Iterable[Candidate]) -> None:
        """Sets the hosts that could be keepers: ready and not leaving."""
        listed = list(candidates)
        longest = max((each.heartbeats for each in listed), default=0)
        needed = min(SEASONED_HEARTBEATS, YOUNG_FRACTION * longest)
        names = frozenset(
            each.name for each in listed if each.heartbeats >= needed
        )
        if names == self._names:
            return
        self._names = names
        self._ranked = [
            ownership.select_owners(f"quota slot {slot}", names, len(names))
            for slot in range(SLOT_COUNT)
        ]
        for record in (self._unanswered_since_ms, self._avoided_until_ms):
            for name in record.keys() - names:
                del record[name]

    def keeper_of(self, slot: int) -> str | None:
        """Returns the keeper of a slot, or None if there is no candidate."""
        now_ms = self._clock.now_ms()
        ranked = self._ranked[slot]
        return next(
            (
                name
                for name in ranked
                if self._avoided_until_ms.get(name, 0.0) <= now_ms
            ),
            ranked[0] if ranked else None,
        )

    def record_answer(self, name: str) -> None:
        """Records that a keeper has answered."""
        self._unanswered_since_ms.pop(name, None)

    def record_no_answer(self, name: str) -> bool:
        """Records that a keeper has not answered in time.

        Returns:
            Whether it is avoided from now on.
        """
        now_ms = self._clock.now_ms()
        since_ms = self._unanswered_since_ms.setdefault(name, now_ms)
        if now_ms - since_ms < UNANSWERED_TIMEOUT_MS:
            return False
        self.avoid(name)
        return True

    def avoid(self, name: str) -> None:
        """Avoids a host for a while."""
        self._unanswered_since_ms.pop(name, None)
        self._avoided_until_ms[name] = self._clock.now_ms() + AVOID_MS
