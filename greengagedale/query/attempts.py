"""Attempts of a search (sub-requests to single upstreams) and their results."""

import dataclasses
from typing import NamedTuple

from greengagedale import outcomes
from greengagedale.query import hits
from greengagedale.query import ranges
from greengagedale.query import snapshots


class Attempt(NamedTuple):
    """One sub-request that searches one key range on one upstream.

    Attributes:
        attempt_id: Identifier of the attempt, never reused by any host.
        upstream: Name of the upstream.
        key_range: Key range to search in full.
        snapshot: Snapshot to search.
        sent_ms: Time at which the search issued the attempt, by the clock of
            the process.
    """

    attempt_id: str
    upstream: str
    key_range: ranges.KeyRange
    snapshot: snapshots.Snapshot
    sent_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The complete answer to an attempt, verified against its echo.

    Attributes:
        hits: Hits of the key range.
    """

    hits: list[hits.Hit]


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """An answer that was dropped: incomplete, or to another attempt.

    Attributes:
        field: Name of the first echo field that did not match.
    """

    field: str


AttemptResult = Answered | Dropped | outcomes.AttemptFailure


def to_failure(
    result: Dropped | outcomes.AttemptFailure,
) -> outcomes.AttemptFailure:
    """Converts the result of an attempt without a usable answer to a failure.

    A dropped answer counts as written and not refused, because an answer shows
    that the upstream ran the attempt.
    """
    if isinstance(result, Dropped):
        return outcomes.AttemptFailure(
            outcomes.Reason.REJECTED, written=True, refused=False
        )
    return result
