"""Merges the records of the parts of a search."""

from collections.abc import Iterable
import heapq
import itertools

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Splits a part into records; an incomplete last record is dropped."""
    whole = len(body) - len(body) % RECORD_BYTES
    return [body[i : i + RECORD_BYTES] for i in range(0, whole, RECORD_BYTES)]


def merge_top_records(parts: Iterable[bytes], limit: int) -> bytes:
    """Returns the greatest records of all parts, greatest first."""
    records = itertools.chain.from_iterable(
        split_records(part) for part in parts
    )
    return b"".join(heapq.nlargest(limit, records))
