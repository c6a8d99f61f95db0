"""What this host has at each upstream, and how that went lately."""

from collections.abc import Callable

from greengagedale import clocks
from greengagedale.routing import upstream_view

_NEW_SHARE = 0.1
_UNLIMITED_SLOTS = 1_000_000
_FIRST_BACKOFF_MS = 100.0
_MOST_BACKOFF_MS = 2000.0
_FAILURE_PENALTY_MS = 10_000.0


class _Load:
    __slots__ = ("failures", "in_flight", "latency_ms", "suspect_until_ms")

    def __init__(self) -> None:
        self.in_flight = 0
        self.latency_ms: float | None = None
        self.failures = 0
        self.suspect_until_ms = 0.0


class LoadTracker(upstream_view.UpstreamView):
    """Attempts in flight, and averages of recent latency.

    An upstream whose attempts fail has a high latency added for a time that
    doubles with each failure, so that others are chosen; after that time one
    attempt that succeeds clears it.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        free_slots: Callable[[str], int] | None = None,
    ) -> None:
        """Makes an empty tracker.

        Args:
            clock: The clock that failures are timed by.
            free_slots: Says how many more attempts an upstream takes; none
                without limits.
        """
        self._clock = clock
        self._free_slots = free_slots
        self._loads: dict[str, _Load] = {}

    def in_flight(self, upstream: str) -> int:
        """Returns how many attempts are at the upstream."""
        load = self._loads.get(upstream)
        return load.in_flight if load else 0

    def free_slots(self, upstream: str) -> int:
        """Returns how many more attempts this host may send now."""
        if self._free_slots is None:
            return _UNLIMITED_SLOTS
        return self._free_slots(upstream)

    def latency_ms(self, upstream: str) -> float | None:
        """Returns the average latency, high for a while after failures."""
        load = self._loads.get(upstream)
        if load is None:
            return None
        if load.failures and self._clock.now_ms() < load.suspect_until_ms:
            return _FAILURE_PENALTY_MS + (load.latency_ms or 0.0)
        return load.latency_ms

    def is_leaving(self, upstream: str) -> bool:
        """Returns False: what leaves is known elsewhere."""
        del upstream
        return False

    def on_start(self, upstream: str) -> None:
        """Counts an attempt that is sent."""
        load = self._loads.get(upstream)
        if load is None:
            load = self._loads[upstream] = _Load()
        load.in_flight += 1

    def on_end(self, upstream: str) -> None:
        """Counts an attempt that ended, or whose cancel was confirmed."""
        self._loads[upstream].in_flight -= 1

    def record_latency(self, upstream: str, latency_ms: float) -> None:
        """Takes in the latency of an answer, or the age of a lost race."""
        load = self._loads[upstream]
        if load.latency_ms is None:
            load.latency_ms = latency_ms
        else:
            load.latency_ms += _NEW_SHARE * (latency_ms - load.latency_ms)

    def on_answer(self, upstream: str) -> None:
        """Takes in that the upstream answered an attempt."""
        self._loads[upstream].failures = 0

    def on_failure(self, upstream: str) -> None:
        """Takes in that an attempt got no answer from the upstream."""
        load = self._loads[upstream]
        backoff_ms = min(
            _MOST_BACKOFF_MS, _FIRST_BACKOFF_MS * (1 << min(load.failures, 10))
        )
        load.failures += 1
        load.suspect_until_ms = self._clock.now_ms() + backoff_ms
