"""Coverage: how much of the pinned map an answer was drawn from."""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from greengagedale import outcomes
from greengagedale.query import ranges
from greengagedale.query import snapshots


class MissingRange(NamedTuple):
    """A range that is not in the answer, and why."""

    key_range: ranges.KeyRange
    reason: outcomes.Reason


class Coverage(NamedTuple):
    """Keys covered of all keys of the pinned map.

    Attributes:
        covered: Number of keys in ranges whose whole answer was merged.
        total: Number of keys of the pinned map.
        missing: The other ranges.
    """

    covered: int
    total: int
    missing: tuple[MissingRange, ...]

    @property
    def share(self) -> float:
        """Covered keys as a share of all, 0 to 1."""
        return self.covered / self.total if self.total else 0.0


def compute_coverage(
    pinned: snapshots.PartitionMap,
    merged: Collection[ranges.KeyRange],
    reasons: Mapping[ranges.KeyRange, outcomes.Reason],
) -> Coverage:
    """Computes coverage from the ranges that were merged.

    Args:
        pinned: The map of the search.
        merged: Ranges of the map whose whole answer was merged.
        reasons: Why other ranges are missing; the deadline unless given.
    """
    missing = tuple(
        MissingRange(
            entry.key_range,
            reasons.get(entry.key_range, outcomes.Reason.DEADLINE),
        )
        for entry in pinned.ranges
        if entry.key_range not in merged
    )
    total = pinned.total_width
    uncovered = sum(item.key_range.width for item in missing)
    return Coverage(total - uncovered, total, missing)
