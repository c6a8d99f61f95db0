"""Attempt latencies of routes, hedge delays, and budgets of extra attempts."""

from greengagedale.retry import window_budget
from greengagedale.routing import latency_window

# A hedge is sent when an attempt exceeds this quantile of the latencies.
_HEDGE_QUANTILE = 0.9
# Defaults before any latency was measured, as fractions of the target latency.
_INITIAL_TYPICAL_SHARE = 0.2
_INITIAL_HEDGE_SHARE = 0.4
# Bounds of the hedge delay: at most this fraction of the target latency, but
# never less than this multiple of the typical latency.
_MAX_HEDGE_SHARE = 0.45
_MIN_HEDGE_FACTOR = 1.5
_MIN_TYPICAL_MS = 1.0
# Length of the window over which the longest remaining time is tracked; with
# the previous window, a value is kept for at most twice this time.
_TIMEOUT_WINDOW_MS = 30_000.0
# A caller that seems to have waited for more than this fraction of the target
# latency is assumed to have set a shorter timeout instead.
_MAX_WAITED_SHARE = 0.35
# A process without a tick for this long was stalled; ticks are more frequent.
STALL_THRESHOLD_MS = 500.0


class CallerTimeouts:
    """Estimates the timeout of a route's callers.

    A caller sends the time remaining until its deadline with each request.
    Before that it may have spent time on a locate request and on opening a
    connection. The longest remaining time comes from callers that did neither,
    so it is close to their timeout.
    """

    def __init__(self) -> None:
        self._longest_ms = 0.0
        self._previous_longest_ms = 0.0
        self._window_start_ms = float("-inf")

    def record(self, left_ms: float, now_ms: float) -> None:
        """Records the remaining time that a caller sent."""
        age_ms = now_ms - self._window_start_ms
        if age_ms >= _TIMEOUT_WINDOW_MS:
            is_recent = age_ms < 2.0 * _TIMEOUT_WINDOW_MS
            self._previous_longest_ms = self._longest_ms if is_recent else 0.0
            self._longest_ms = 0.0
            self._window_start_ms = now_ms
        self._longest_ms = max(self._longest_ms, left_ms)

    @property
    def longest_ms(self) -> float:
        """The longest remaining time in the current and previous window."""
        return max(self._longest_ms, self._previous_longest_ms)


class RouteLatency:
    """Latencies of the attempts on one route.

    Attributes:
        hedge_retry_delay_ms: Delay before a hedge is tried again that was not
            sent, for instance because the budget was exhausted.
        target_latency_ms: Target latency of the route.
    """

    hedge_retry_delay_ms = 10.0

    def __init__(self, target_latency_ms: float) -> None:
        self.target_latency_ms = target_latency_ms
        self._caller_timeouts = CallerTimeouts()
        self._typical = latency_window.LatencyWindow(0.5)
        self._hedge = latency_window.LatencyWindow(_HEDGE_QUANTILE)

    def record(self, latency_ms: float) -> None:
        """Records the latency of an answered attempt."""
        self._typical.record(latency_ms)
        self._hedge.record(latency_ms)

    def waited_ms(self, left_ms: float, now_ms: float) -> float:
        """Estimates how long a caller waited before it sent its request.

        Args:
            left_ms: Remaining time that the caller sent.
            now_ms: Current time.
        """
        self._caller_timeouts.record(left_ms, now_ms)
        waited_ms = self._caller_timeouts.longest_ms - left_ms
        is_likely = waited_ms <= _MAX_WAITED_SHARE * self.target_latency_ms
        return waited_ms if is_likely else 0.0

    def typical_ms(self) -> float:
        """Returns the typical (median) latency of an attempt."""
        median_ms = self._typical.quantile_ms()
        if median_ms is None:
            return max(
                _MIN_TYPICAL_MS, _INITIAL_TYPICAL_SHARE * self.target_latency_ms
            )
        return max(_MIN_TYPICAL_MS, median_ms)

    def hedge_delay_ms(self) -> float:
        """Returns the age of an attempt at which a hedge is due."""
        late_ms = self._hedge.quantile_ms()
        if late_ms is None:
            return _INITIAL_HEDGE_SHARE * self.target_latency_ms
        min_ms = _MIN_HEDGE_FACTOR * self.typical_ms()
        max_ms = _MAX_HEDGE_SHARE * self.target_latency_ms
        return max(min_ms, min(late_ms, max_ms))


class ExtraAttemptBudgets:
    """Budgets of extra attempts, one for each service.

    Attributes:
        share: This host's share of the burst, for each service.
    """

    def __init__(
        self, window_ms: float, ratio: float, share: float, started_ms: float
    ) -> None:
        """Creates the budgets of a process.

        Args:
            window_ms: Length of the window.
            ratio: Extra attempts allowed for each request.
            share: This host's share of the burst, for each service.
            started_ms: Time at which the process started.
        """
        self._window_ms = window_ms
        self._ratio = ratio
        self.share = share
        self._spent_until_ms = started_ms
        self._last_tick_ms: float | None = None
        self._budgets: dict[str, window_budget.WindowBudget] = {}

    def set_share(self, share: float, now_ms: float) -> None:
        """Sets this host's share of the burst, for each service."""
        if share > self.share:
            # Another host may just have spent the added share, so budgets
            # created from now on treat it as spent now.
            self._spent_until_ms = now_ms
        self.share = share
        for budget in self._budgets.values():
            budget.set_share(share, now_ms)

    def tick(self, now_ms: float) -> None:
        """Records that the process is running.

        If it is called at all, it must be called more often than once in
        `STALL_THRESHOLD_MS`.
        """
        self._last_tick_ms = now_ms

    def record_request(
        self, service: str, now_ms: float
    ) -> window_budget.WindowBudget:
        """Records a request for a service; returns the service's budget.

        Requests that were queued while the process was stalled may have been
        sent in an earlier window, so they add nothing to the budget.
        """
        budget = self.get(service)
        last_tick_ms = (
            now_ms if self._last_tick_ms is None else self._last_tick_ms
        )
        if now_ms - last_tick_ms < STALL_THRESHOLD_MS:
            budget.record_request(now_ms)
        return budget

    def evict_unused(self, now_ms: float) -> None:
        """Discards budgets that were not used for a whole window."""
        self._budgets = {
            service: budget
            for service, budget in self._budgets.items()
            if not budget.is_unused(now_ms)
        }

    def get(self, service: str) -> window_budget.WindowBudget:
        """Returns the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = window_budget.WindowBudget(
                self._window_ms, self._ratio, self.share, self._spent_until_ms
            )
            self._budgets[service] = budget
        return budget
