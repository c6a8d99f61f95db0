"""Verification that an answer belongs to the attempt that received it."""

from typing import NamedTuple

import xxhash

from greengagedale.query import ranges
from greengagedale.query import snapshots


class Echo(NamedTuple):
    """The request fields and checksums that an answer states.

    Attributes:
        attempt_id: Identifier of the attempt.
        snapshot: Snapshot that was searched.
        key_range: Key range that was searched in full.
        count: Number of hits in the answer.
        digest: Digest of the encoded hits, see `digest_of`.
    """

    attempt_id: str
    snapshot: snapshots.Snapshot
    key_range: ranges.KeyRange
    count: int
    digest: str


def digest_of(encoded_hits: bytes) -> str:
    """Returns the digest of encoded hits."""
    return xxhash.xxh3_64_hexdigest(encoded_hits)


def first_mismatch(expected: Echo, actual: Echo) -> str | None:
    """Returns the name of the first field that differs, or None."""
    pairs = zip(Echo._fields, expected, actual, strict=True)
    return next((name for name, a, b in pairs if a != b), None)
