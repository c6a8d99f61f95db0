"""Checks that all hosts together stay within the budget of extra attempts."""

import bisect
from collections.abc import Iterable
from typing import NamedTuple

# The requests that count are those of a window, or of one that begins so many
# windows earlier, whichever has most.
_EARLIER_WINDOWS = (0.0, 0.5, 1.0)


class Allowance(NamedTuple):
    """What a service may get beyond the first arrival of each request.

    Attributes:
        window_ms: Length of the windows; any span of it counts.
        ratio: Extra arrivals for each request.
        burst: Extra arrivals besides.
    """

    window_ms: float
    ratio: float
    burst: float


def extras_of(arrivals: Iterable[tuple[float, bytes]]) -> list[float]:
    """Returns when requests arrived again.

    Args:
        arrivals: Time in ms and id of each arrival, in any order.
    """
    seen: set[bytes] = set()
    extras_ms = []
    for at_ms, request_id in sorted(arrivals):
        if request_id in seen:
            extras_ms.append(at_ms)
        seen.add(request_id)
    return extras_ms


def worst_excess(
    requests_ms: list[float], extras_ms: list[float], allowance: Allowance
) -> float:
    """Returns by how much some window holds more extras than it may.

    Both lists must rise; the result is negative if all windows are right.
    """

    def excess_from(begin_ms: float) -> float:
        requests = max(
            _count(requests_ms, begin_ms - back * allowance.window_ms)
            for back in _EARLIER_WINDOWS
        )
        allowed = allowance.burst + allowance.ratio * requests
        return _count(extras_ms, begin_ms) - allowed

    def _count(times_ms: list[float], begin_ms: float) -> int:
        end_ms = begin_ms + allowance.window_ms
        from_begin = bisect.bisect_left(times_ms, begin_ms)
        return bisect.bisect_right(times_ms, end_ms) - from_begin

    return max(map(excess_from, extras_ms), default=-allowance.burst)
