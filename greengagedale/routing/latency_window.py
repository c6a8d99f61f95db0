"""Running quantiles of recent latencies."""

import collections

_WINDOW = 1024
_LEAST_SAMPLES = 32
_SORT_EVERY = 64
_MOST_MEDIANS = 4.0


class LatencyWindow:
    """A quantile over the last latencies of a service's attempts.

    Attempts that lost a race are recorded with the age they had: that leaves
    the quantile right as long as it lies below those ages. It is held to a
    few medians, so that those ages can't drive it up without end when more
    attempts are slow than the quantile leaves room for.
    """

    def __init__(self, quantile: float) -> None:
        """Makes an empty window for a quantile, 0 to 1."""
        self._quantile = quantile
        self._recent: collections.deque[float] = collections.deque(
            maxlen=_WINDOW
        )
        self._unsorted = 0
        self._value_ms: float | None = None

    def record(self, latency_ms: float) -> None:
        """Takes in one latency."""
        self._recent.append(latency_ms)
        self._unsorted += 1
        if self._unsorted >= _SORT_EVERY or (
            self._value_ms is None and len(self._recent) >= _LEAST_SAMPLES
        ):
            self._sort()

    def quantile_ms(self) -> float | None:
        """Returns the quantile, or None with too few samples."""
        return self._value_ms

    def _sort(self) -> None:
        self._unsorted = 0
        if len(self._recent) < _LEAST_SAMPLES:
            return
        ordered = sorted(self._recent)
        median_ms = ordered[len(ordered) // 2]
        value_ms = ordered[int(self._quantile * (len(ordered) - 1))]
        self._value_ms = min(value_ms, _MOST_MEDIANS * median_ms)
