"""Checks that an upstream's answer belongs to the attempt that got it."""

from typing import NamedTuple

import xxhash

from greengagedale.query import ranges
from greengagedale.query import snapshots


class Echo(NamedTuple):
    """What an answer repeats of its attempt, and what it says of itself.

    Attributes:
        attempt_id: Identifier of the attempt.
        snapshot: Snapshot the answer was drawn from.
        key_range: Range that was searched in full.
        count: Number of hits in the answer.
        digest: Digest of the encoded hits, see `digest_of`.
    """

    attempt_id: str
    snapshot: snapshots.Snapshot
    key_range: ranges.KeyRange
    count: int
    digest: str


def digest_of(encoded_hits: bytes) -> str:
    """Returns the digest of hits in their encoded form."""
    return xxhash.xxh3_64_hexdigest(encoded_hits)


def first_mismatch(expected: Echo, got: Echo) -> str | None:
    """Names the first field in which two echoes differ, or None."""
    pairs = zip(Echo._fields, expected, got, strict=True)
    return next((name for name, a, b in pairs if a != b), None)
