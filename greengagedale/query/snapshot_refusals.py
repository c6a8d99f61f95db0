"""Recent refusals of snapshots by upstreams, and the choice of a snapshot."""

from collections.abc import Collection, Sequence

from greengagedale.query import snapshots

REFUSAL_TTL_MS = 2000.0
_PREFERRED_REPLICAS = 2
_MAX_SNAPSHOTS = 64


class SnapshotRefusals:
    """Upstreams that recently refused a snapshot, by snapshot.

    A refusal expires after `REFUSAL_TTL_MS`: an upstream may refuse a snapshot
    only because it has not loaded it yet.
    """

    def __init__(self) -> None:
        self._refused: dict[snapshots.Snapshot, dict[str, float]] = {}

    def add_refusal(
        self, snapshot: snapshots.Snapshot, upstream: str, now_ms: float
    ) -> None:
        """Records that an upstream does not hold its range at a snapshot."""
        expiries_ms = self._refused.setdefault(snapshot, {})
        expiries_ms[upstream] = now_ms + REFUSAL_TTL_MS
        if len(self._refused) > _MAX_SNAPSHOTS:
            del self._refused[next(iter(self._refused))]

    def refusing_upstreams(
        self, snapshot: snapshots.Snapshot, now_ms: float
    ) -> frozenset[str]:
        """Returns the upstreams that recently refused a snapshot."""
        expiries_ms = self._refused.get(snapshot)
        if expiries_ms is None:
            return frozenset()
        unexpired = {
            name: expires_ms
            for name, expires_ms in expiries_ms.items()
            if expires_ms > now_ms
        }
        if unexpired:
            self._refused[snapshot] = unexpired
        else:
            del self._refused[snapshot]
        return frozenset(unexpired)

    def choose_map(
        self,
        maps: Sequence[snapshots.PartitionMap],
        now_ms: float,
        excluded: Collection[snapshots.Snapshot] = (),
    ) -> snapshots.PartitionMap | None:
        """Chooses the newest map that enough replicas of each range serve.

        Args:
            maps: Maps to choose from.
            now_ms: Current time.
            excluded: Snapshots that must not be chosen.

        Returns:
            The newest map that two replicas of each range (or all replicas of
            a range that has fewer) have not refused. If there is none, the
            newest map that one replica of each range has not refused; failing
            that, the newest map. None if there is no map to choose from.
        """
        newest_first = sorted(
            (m for m in maps if m.snapshot not in excluded),
            key=lambda m: m.snapshot,
            reverse=True,
        )
        for min_replicas in (_PREFERRED_REPLICAS, 1):
            for candidate in newest_first:
                if self._is_served(candidate, min_replicas, now_ms):
                    return candidate
        return newest_first[0] if newest_first else None

    def _is_served(
        self,
        candidate: snapshots.PartitionMap,
        min_replicas: int,
        now_ms: float,
    ) -> bool:
        refusing = self.refusing_upstreams(candidate.snapshot, now_ms)
        return not refusing or all(
            len(set(entry.upstreams) - refusing)
            >= min(min_replicas, len(entry.upstreams))
            for entry in candidate.ranges
        )
