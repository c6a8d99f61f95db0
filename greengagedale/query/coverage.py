"""Coverage: the share of the pinned partition map that an answer includes."""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from greengagedale import outcomes
from greengagedale.query import ranges
from greengagedale.query import snapshots


class MissingRange(NamedTuple):
    """A key range that the answer does not include.

    Attributes:
        key_range: The key range.
        reason: Reason why it is missing.
    """

    key_range: ranges.KeyRange
    reason: outcomes.Reason


class Coverage(NamedTuple):
    """Number of keys that an answer covers, out of all keys of the map.

    Attributes:
        covered: Number of keys in ranges whose complete answer was merged.
        total: Number of keys in the pinned map.
        missing: Ranges without a merged answer.
    """

    covered: int
    total: int
    missing: tuple[MissingRange, ...]

    @property
    def share(self) -> float:
        """Covered keys as a share of all keys, from 0 to 1."""
        return self.covered / self.total if self.total else 0.0


def compute_coverage(
    pinned: snapshots.PartitionMap,
    merged: Collection[ranges.KeyRange],
    reasons: Mapping[ranges.KeyRange, outcomes.Reason],
) -> Coverage:
    """Computes the coverage of an answer from its merged ranges.

    Args:
        pinned: Partition map that the search is pinned to.
        merged: Ranges of the map whose complete answer was merged.
        reasons: Reasons why other ranges are missing. Ranges without a reason
            are reported as missing because of the deadline.
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
