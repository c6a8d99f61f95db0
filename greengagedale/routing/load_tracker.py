"""Tracks this host's attempts in flight and latency at each upstream."""

from collections.abc import Callable

from greengagedale import clocks
from greengagedale.routing import upstream_view

_LATENCY_WEIGHT = 0.1
_UNLIMITED_SLOTS = 1_000_000
_FIRST_BACKOFF_MS = 100.0
_MAX_BACKOFF_MS = 2000.0
_FAILURE_PENALTY_MS = 10_000.0


class _Load:
    __slots__ = ("failures", "in_flight", "latency_ms", "penalty_until_ms")

    def __init__(self) -> None:
        self.in_flight = 0
        self.latency_ms: float | None = None
        self.failures = 0
        self.penalty_until_ms = 0.0


class LoadTracker(upstream_view.UpstreamView):
    """Tracks attempts in flight, average latency and failures of upstreams.

    After a failure, a high latency is added to an upstream's average for a
    backoff time that doubles with each further failure, so that routing
    chooses others. An answer resets the failures.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        free_slots: Callable[[str], int] | None = None,
    ) -> None:
        """Initializes an empty tracker.

        Args:
            clock: Clock for the backoff after failures.
            free_slots: Function that returns the number of free slots of an
                upstream; None without limits.
        """
        self._clock = clock
        self._free_slots = free_slots
        self._loads: dict[str, _Load] = {}

    def in_flight(self, upstream: str) -> int:
        """Returns the number of attempts in flight at the upstream."""
        load = self._loads.get(upstream)
        return load.in_flight if load else 0

    def free_slots(self, upstream: str) -> int:
        """Returns how many more attempts this host may send now."""
        if self._free_slots is None:
            return _UNLIMITED_SLOTS
        return self._free_slots(upstream)

    def latency_ms(self, upstream: str) -> float | None:
        """Returns the average latency, with a penalty after failures."""
        load = self._loads.get(upstream)
        if load is None:
            return None
        if load.failures and self._clock.now_ms() < load.penalty_until_ms:
            return _FAILURE_PENALTY_MS + (load.latency_ms or 0.0)
        return load.latency_ms

    def is_leaving(self, upstream: str) -> bool:
        """Returns False: `LeavingFilter` excludes leaving upstreams."""
        del upstream
        return False

    def on_start(self, upstream: str) -> None:
        """Records that an attempt is sent to the upstream."""
        load = self._loads.get(upstream)
        if load is None:
            load = self._loads[upstream] = _Load()
        load.in_flight += 1

    def on_end(self, upstream: str) -> None:
        """Records that an attempt ended or its cancellation was confirmed."""
        self._loads[upstream].in_flight -= 1

    def record_latency(self, upstream: str, latency_ms: float) -> None:
        """Adds a latency to the average.

        Args:
            upstream: Name of the upstream.
            latency_ms: Latency of an answer, or the age of an attempt that
                was cancelled because another one answered first.
        """
        load = self._loads[upstream]
        if load.latency_ms is None:
            load.latency_ms = latency_ms
        else:
            load.latency_ms += _LATENCY_WEIGHT * (latency_ms - load.latency_ms)

    def on_answer(self, upstream: str) -> None:
        """Resets the failures of an upstream that answered an attempt."""
        self._loads[upstream].failures = 0

    def on_failure(self, upstream: str) -> None:
        """Records that an attempt got no answer from the upstream."""
        load = self._loads[upstream]
        backoff_ms = min(
            _MAX_BACKOFF_MS, _FIRST_BACKOFF_MS * (1 << min(load.failures, 10))
        )
        load.failures += 1
        load.penalty_until_ms = self._clock.now_ms() + backoff_ms
