"""Running quantiles of recent latencies."""

import collections

_WINDOW_SIZE = 1024
_MIN_SAMPLES = 32
_UPDATE_INTERVAL = 64
_MAX_MEDIANS = 4.0


class LatencyWindow:
    """A quantile of the most recent latencies of a service's attempts.

    An attempt that was cancelled because another one answered first is
    recorded with its age at that time. The quantile is still right as long as
    it is below these ages. It is limited to a few times the median; otherwise
    these ages could raise it without bound when the share of slow attempts
    exceeds the share above the quantile.
    """

    def __init__(self, quantile: float) -> None:
        """Initializes an empty window for a quantile from 0 to 1."""
        self._quantile = quantile
        self._recent: collections.deque[float] = collections.deque(
            maxlen=_WINDOW_SIZE
        )
        self._samples_since_update = 0
        self._value_ms: float | None = None

    def record(self, latency_ms: float) -> None:
        """Adds a latency to the window."""
        self._recent.append(latency_ms)
        self._samples_since_update += 1
        if self._samples_since_update >= _UPDATE_INTERVAL or (
            self._value_ms is None and len(self._recent) >= _MIN_SAMPLES
        ):
            self._update_quantile()

    def quantile_ms(self) -> float | None:
        """Returns the quantile, or None if there are too few samples."""
        return self._value_ms

    def _update_quantile(self) -> None:
        self._samples_since_update = 0
        if len(self._recent) < _MIN_SAMPLES:
            return
        ordered = sorted(self._recent)
        median_ms = ordered[len(ordered) // 2]
        value_ms = ordered[int(self._quantile * (len(ordered) - 1))]
        self._value_ms = min(value_ms, _MAX_MEDIANS * median_ms)
