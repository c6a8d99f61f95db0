"""Search hits, and merging the hits of many ranges into one list."""

from collections.abc import Iterable
import heapq
import itertools
from typing import NamedTuple


class Hit(NamedTuple):
    """One search result.

    Attributes:
        key: Key of the document.
        score: Relevance; higher is better.
        body: Text of the document, as the upstream returned it.
    """

    key: int
    score: float
    body: str


def _rank(hit: Hit) -> tuple[float, int]:
    return (-hit.score, hit.key)


def merge(hit_lists: Iterable[Iterable[Hit]], limit: int) -> list[Hit]:
    """Returns the best hits of all lists; the lower key wins a tie."""
    return heapq.nsmallest(
        limit, itertools.chain.from_iterable(hit_lists), _rank
    )
