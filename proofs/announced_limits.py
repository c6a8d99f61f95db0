"""Checks that upstreams get no more than the limits that they announce."""

import bisect
from collections.abc import Iterable, Mapping
import math
from typing import NamedTuple

# What the platform allows: in any window, this factor of the limit and this
# many requests in addition.
WINDOW_MS = 4000.0
FACTOR = 1.5
SLACK = 5
# The limit binds this long after it was first announced, for processes that
# heard of it this long before.
SETTLED_MS = 4000.0
HEARD_MS = 500.0
_MS_PER_S = 1000.0

# Host and start count of a process.
Process = tuple[str, int]


class Announcement(NamedTuple):
    """A limit that an upstream announced for a while.

    Attributes:
        limit_per_s: Requests per second.
        since_ms: Time at which it was announced first.
        until_ms: Time from which it was not announced any more.
    """

    limit_per_s: float
    since_ms: float
    until_ms: float


def max_excess(
    arrivals: Iterable[tuple[float, Process]],
    heard_ms: Mapping[Process, float],
    announcement: Announcement,
) -> float:
    """Returns by how many requests any window exceeds what is allowed.

    The result is negative if all windows are below, or infinitely so if there
    are none.

    Args:
        arrivals: Time and sending process of each request.
        heard_ms: Time at which each process got the first answer with it.
        announcement: The limit.
    """
    binding_ms = announcement.since_ms + SETTLED_MS
    times_ms = sorted(
        at_ms
        for at_ms, process in arrivals
        if binding_ms <= at_ms < announcement.until_ms
        and at_ms - heard_ms.get(process, math.inf) >= HEARD_MS
    )
    allowed = FACTOR * announcement.limit_per_s * WINDOW_MS / _MS_PER_S + SLACK
    return max(
        (
            bisect.bisect_left(times_ms, start_ms + WINDOW_MS) - index - allowed
            for index, start_ms in enumerate(times_ms)
        ),
        default=-math.inf,
    )
