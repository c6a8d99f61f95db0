"""Key ranges, the parts into which the key space is divided."""

import itertools
from typing import NamedTuple


class KeyRange(NamedTuple):
    """The keys from `low` (inclusive) to `high` (exclusive)."""

    low: int
    high: int

    @property
    def width(self) -> int:
        """Number of keys in the range."""
        return self.high - self.low

    def contains(self, key: int) -> bool:
        """Returns whether a key is in the range."""
        return self.low <= key < self.high


KEY_SPACE = KeyRange(0, 1 << 32)


def split_evenly(whole: KeyRange, count: int) -> list[KeyRange]:
    """Splits a key range into adjacent ranges of nearly equal width."""
    bounds = [whole.low + whole.width * i // count for i in range(count + 1)]
    return [KeyRange(low, high) for low, high in itertools.pairwise(bounds)]
