"""Checks that the fleet stays within the budget of extra attempts."""

import bisect
from collections.abc import Iterable
from typing import NamedTuple

# Requests may be counted in the window of the extra attempts, or in one that
# starts this many windows earlier; the largest count applies.
_WINDOW_OFFSETS = (0.0, 0.5, 1.0)


class BudgetLimits(NamedTuple):
    """Limits on extra attempts, the arrivals after the first of each request.

    Attributes:
        window_ms: Length of the windows, which may start at any time.
        ratio: Extra arrivals allowed per request.
        burst: Extra arrivals allowed in addition.
    """

    window_ms: float
    ratio: float
    burst: float


def extra_arrivals(arrivals: Iterable[tuple[float, bytes]]) -> list[float]:
    """Returns the times in ms of repeated arrivals, in ascending order.

    Args:
        arrivals: Time in ms and request id of each arrival, in any order.
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
    """Returns the largest excess of extra arrivals over the limit of a window.

    Both lists must be ascending. The result is negative if all windows are
    below their limits.
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
