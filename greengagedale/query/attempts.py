"""Attempts: one sub-request to one upstream, and how it can end."""

import dataclasses
from typing import NamedTuple

from greengagedale import outcomes
from greengagedale.query import hits
from greengagedale.query import ranges
from greengagedale.query import snapshots


class Attempt(NamedTuple):
    """One sub-request for one range, to be sent to one upstream.

    Attributes:
        attempt_id: Unique over all hosts and time.
        upstream: Name of the upstream.
        key_range: Range to search in full.
        snapshot: Snapshot to search.
        sent_ms: When it was decided on, by the clock of the process.
    """

    attempt_id: str
    upstream: str
    key_range: ranges.KeyRange
    snapshot: snapshots.Snapshot
    sent_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The whole answer of an attempt, checked against its echo."""

    hits: list[hits.Hit]


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """An answer came that is not of this attempt or not whole.

    Attributes:
        field: The first field of the echo that did not match.
    """

    field: str


AttemptResult = Answered | Dropped | outcomes.AttemptEnd


def end_of(result: Dropped | outcomes.AttemptEnd) -> outcomes.AttemptEnd:
    """Returns the end of an attempt that has no usable answer.

    An answer that was dropped shows that the upstream ran the attempt.
    """
    if isinstance(result, Dropped):
        return outcomes.AttemptEnd(
            outcomes.Reason.REJECTED, written=True, refused=False
        )
    return result
