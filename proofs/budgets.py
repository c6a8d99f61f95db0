"""Checks that all hosts together stay within the budget of extra attempts."""

import bisect
from collections.abc import Iterable
from typing import NamedTuple

# The requests that count are those of a window, or of one that begins so many
# windows earlier, whichever has most.
_WINDOW_OFFSETS = (0.0, 0.5, 1.0)


class BudgetLimits(NamedTuple):
    """What a service may get beyond the first arrival of each request.

    Attributes:
        window_ms: Length of the windows; any span of it counts.
        ratio: Extra arrivals for each request.
        burst: Extra arrivals besides.
    """

    window_ms: float
    ratio: float
    burst: float


def extra_arrivals(arrivals: Iterable[tuple[float, bytes]]) -> list[float]:
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


def max_excess(
    requests_ms: list[float], extras_ms: list[float], limits: BudgetLimits
) -> float:
    """Returns by how much some window holds more extras than it may.

    Both lists must rise; the result is negative if all windows are right.
    """

    def excess_in_window(start_ms: float) -> float:
        requests = max(
            _count(requests_ms, start_ms - offset * limits.window_ms)
            for offset in _WINDOW_OFFSETS
        )
        allowed = limits.burst + limits.ratio * requests
        return _count(extras_ms, start_ms) - allowed

    def _count(times_ms: list[float], start_ms: float) -> int:
        end_ms = start_ms + limits.window_ms
        first = bisect.bisect_left(times_ms, start_ms)
        return bisect.bisect_right(times_ms, end_ms) - first

    return max(map(excess_in_window, extras_ms), default=-limits.burst)
