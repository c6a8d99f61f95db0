"""Hits and how the hits of many ranges become one list."""

from collections.abc import Iterable
import heapq
import itertools
from typing import NamedTuple


class Hit(NamedTuple):
    """One result.

    Attributes:
        key: Key of the document.
        score: Higher is better.
        body: The document's text, as the upstream gave it.
    """

    key: int
    score: float
    body: str


def _rank(hit: Hit) -> tuple[float, int]:
    return (-hit.score, hit.key)


def merge(hit_lists: Iterable[Iterable[Hit]], limit: int) -> list[Hit]:
    """Returns the best hits of all parts, ties by the lower key."""
    return heapq.nsmallest(
        limit, itertools.chain.from_iterable(hit_lists), _rank
    )
