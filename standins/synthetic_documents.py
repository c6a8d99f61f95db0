"""Synthetic documents of upstreams, computed from key and index version.

Any process can compute the complete correct answer to any search, so histories
can be checked without a copy of the data.
"""

import xxhash

from greengagedale.query import hits
from greengagedale.query import ranges

DOCUMENT_COUNT = 1000
_STEP = ranges.KEY_SPACE.width // DOCUMENT_COUNT
_SCORE_BITS = 20


def search(
    key_range: ranges.KeyRange, index_version: int, text: str, limit: int
) -> list[hits.Hit]:
    """Returns the best hits in a key range at an index version."""
    first = -(-key_range.low // _STEP) * _STEP
    keys = range(first, key_range.high, _STEP)
    matching = [_hit(key, index_version, text) for key in keys]
    return hits.merge([matching], limit)


def _hit(key: int, index_version: int, text: str) -> hits.Hit:
    digest = xxhash.xxh3_64_intdigest(f"{text}/{key}/{index_version}".encode())
    score = (digest % (1 << _SCORE_BITS)) / (1 << _SCORE_BITS)
    return hits.Hit(key, score, f"v{index_version}")
