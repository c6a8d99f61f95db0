"""Ranges of the key space."""

import itertools
from typing import NamedTuple


class KeyRange(NamedTuple):
    """Keys from `low` up to, but not including, `high`."""

    low: int
    high: int

    @property
    def width(self) -> int:
        """The number of keys in the range."""
        return self.high - self.low

    def contains(self, key: int) -> bool:
        """Tells whether a key is in the range."""
        return self.low <= key < self.high


KEY_SPACE = KeyRange(0, 1 << 32)


def split_evenly(whole: KeyRange, parts: int) -> list[KeyRange]:
    """Splits a range into adjacent parts of nearly equal width."""
    bounds = [whole.low + whole.width * i // parts for i in range(parts + 1)]
    return [KeyRange(low, high) for low, high in itertools.pairwise(bounds)]
