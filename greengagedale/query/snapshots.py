"""Snapshots: one index version under one partition map."""

from collections.abc import Sequence
from typing import NamedTuple

from greengagedale.query import ranges


class Snapshot(NamedTuple):
    """What a search is pinned to.

    Attributes:
        index_version: Version of the data.
        map_version: Version of the division into ranges.
    """

    index_version: int
    map_version: int


class RangeReplicas(NamedTuple):
    """A range of keys and the names of the upstreams that hold it."""

    key_range: ranges.KeyRange
    upstreams: tuple[str, ...]


class PartitionMap(NamedTuple):
    """A snapshot with all ranges of its partition map, in key order."""

    snapshot: Snapshot
    ranges: tuple[RangeReplicas, ...]

    @property
    def total_width(self) -> int:
        """The number of keys that the map covers."""
        return sum(entry.key_range.width for entry in self.ranges)

    def range_of(self, key: int) -> RangeReplicas | None:
        """Returns the range that holds a key, or None."""
        found = (r for r in self.ranges if r.key_range.contains(key))
        return next(found, None)


def newest_map(maps: Sequence[PartitionMap]) -> PartitionMap | None:
    """Chooses the map a new search is pinned to: the newest one."""
    return max(maps, key=lambda entry: entry.snapshot, default=None)
