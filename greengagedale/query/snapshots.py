"""Snapshots: an index version combined with a partition map version."""

from collections.abc import Sequence
from typing import NamedTuple

from greengagedale.query import ranges


class Snapshot(NamedTuple):
    """The versions that a search is pinned to.

    Attributes:
        index_version: Version of the indexed data.
        map_version: Version of the partition map.
    """

    index_version: int
    map_version: int


class RangeReplicas(NamedTuple):
    """A key range and the names of the upstreams that hold a replica of it."""

    key_range: ranges.KeyRange
    upstreams: tuple[str, ...]


class PartitionMap(NamedTuple):
    """A snapshot and all ranges of its partition map, in key order."""

    snapshot: Snapshot
    ranges: tuple[RangeReplicas, ...]

    @property
    def total_width(self) -> int:
        """Number of keys that the map covers."""
        return sum(entry.key_range.width for entry in self.ranges)

    def range_of(self, key: int) -> RangeReplicas | None:
        """Returns the range that contains a key, or None."""
        found = (r for r in self.ranges if r.key_range.contains(key))
        return next(found, None)


def newest_map(maps: Sequence[PartitionMap]) -> PartitionMap | None:
    """Returns the map with the newest snapshot, or None if there is no map."""
    return max(maps, key=lambda entry: entry.snapshot, default=None)
