"""Which snapshots upstreams have lately refused, and what to pin instead."""

from collections.abc import Collection, Sequence

from greengagedale.query import snapshots

REFUSAL_TTL_MS = 2000.0
_ENOUGH_REPLICAS = 2
_MOST_SNAPSHOTS = 64


class SnapshotRefusals:
    """Refusals by snapshot; each is forgotten after a time.

    An upstream may refuse a snapshot because it has not loaded it yet, so a
    refusal says nothing about later.
    """

    def __init__(self) -> None:
        self._refused: dict[snapshots.Snapshot, dict[str, float]] = {}

    def add_refusal(
        self, snapshot: snapshots.Snapshot, upstream: str, now_ms: float
    ) -> None:
        """Takes in that an upstream does not hold its range at a snapshot."""
        known = self._refused.setdefault(snapshot, {})
        known[upstream] = now_ms + REFUSAL_TTL_MS
        if len(self._refused) > _MOST_SNAPSHOTS:
            del self._refused[next(iter(self._refused))]

    def refusing_upstreams(
        self, snapshot: snapshots.Snapshot, now_ms: float
    ) -> frozenset[str]:
        """Returns the upstreams that lately refused a snapshot."""
        known = self._refused.get(snapshot)
        if known is None:
            return frozenset()
        live = {name: until for name, until in known.items() if until > now_ms}
        if live:
            self._refused[snapshot] = live
        else:
            del self._refused[snapshot]
        return frozenset(live)

    def choose_map(
        self,
        maps: Sequence[snapshots.PartitionMap],
        now_ms: float,
        given_up: Collection[snapshots.Snapshot] = (),
    ) -> snapshots.PartitionMap | None:
        """Chooses the newest map that enough replicas of all ranges serve.

        Args:
            maps: Maps to choose among.
            now_ms: The time now.
            given_up: Snapshots that are not chosen again.

        Returns:
            The newest map with two replicas of each range (or all, if there
            are fewer) that did not refuse it; without one, the newest map
            with any; without one, the newest. None if there is no map.
        """
        newest_first = sorted(
            (m for m in maps if m.snapshot not in given_up),
            key=lambda m: m.snapshot,
            reverse=True,
        )
        for least in (_ENOUGH_REPLICAS, 1):
            for pinned in newest_first:
                if self._serves(pinned, least, now_ms):
                    return pinned
        return newest_first[0] if newest_first else None

    def _serves(
        self, pinned: snapshots.PartitionMap, least: int, now_ms: float
    ) -> bool:
        refusing = self.refusing_upstreams(pinned.snapshot, now_ms)
        return not refusing or all(
            len(set(entry.upstreams) - refusing)
            >= min(least, len(entry.upstreams))
            for entry in pinned.ranges
        )
