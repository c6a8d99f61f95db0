"""The documents that upstreams hold, worked out from key and version.

Any process can work out the whole right answer to any search, so histories
can be checked without a copy of the data.
"""

import xxhash

from greengagedale.query import hits
from greengagedale.query import ranges

DOCUMENTS = 1000
_STEP = ranges.KEY_SPACE.width // DOCUMENTS
_SCORE_BITS = 20


def search(
    key_range: ranges.KeyRange, index_version: int, text: str, limit: int
) -> list[hits.Hit]:
    """Returns the best hits in a range at a version of the index."""
    first = -(-key_range.low // _STEP) * _STEP
    keys = range(first, key_range.high, _STEP)
    found = [_hit(key, index_version, text) for key in keys]
    return hits.merge([found], limit)


def _hit(key: int, index_version: int, text: str) -> hits.Hit:
    digest = xxhash.xxh3_64_intdigest(f"{text}/{key}/{index_version}".encode())
    score = (digest % (1 << _SCORE_BITS)) / (1 << _SCORE_BITS)
    return hits.Hit(key, score, f"v{index_version}")
