"""How long attempts on a route usually take, and when to send another."""

from greengagedale.retry import window_budget
from greengagedale.routing import latency_window

# A hedge goes out after the latency that this share of attempts stays below.
_HEDGE_QUANTILE = 0.9
# Before anything was measured, in shares of the route's aim.
_COLD_USUAL_SHARE = 0.2
_COLD_HEDGE_SHARE = 0.4
# Hedges go out no later than this share of the aim, nor sooner than this
# multiple of the usual latency.
_LATEST_HEDGE_SHARE = 0.45
_EARLIEST_HEDGE_FACTOR = 1.5
_LEAST_MS = 1.0
# The longest time left that callers told is held for this long, twice at most.
_PATIENCE_MS = 30_000.0
# A caller that seems to have waited for more than this share of the aim is
# taken for one that was less patient from the start.
_MOST_WAITED_SHARE = 0.35
# A process that has not run for this long stood still; it ticks more often.
STOOD_STILL_MS = 500.0


class CallerTimeouts:
    """How long callers of a route wait at most, from what they tell.

    A caller tells what is left of its time when it sends a request. Before
    that it may have asked where to connect, and have opened a connection. The
    longest time told is that of callers that had to do neither.
    """

    def __init__(self) -> None:
        self._longest_ms = 0.0
        self._longest_before_ms = 0.0
        self._since_ms = float("-inf")

    def note(self, left_ms: float, now_ms: float) -> None:
        """Takes in the time left that a caller told."""
        age_ms = now_ms - self._since_ms
        if age_ms >= _PATIENCE_MS:
            is_recent = age_ms < 2.0 * _PATIENCE_MS
            self._longest_before_ms = self._longest_ms if is_recent else 0.0
            self._longest_ms = 0.0
            self._since_ms = now_ms
        self._longest_ms = max(self._longest_ms, left_ms)

    @property
    def longest_ms(self) -> float:
        """The longest time that callers told lately."""
        return max(self._longest_ms, self._longest_before_ms)


class RouteLatency:
    """Latencies of the attempts on one route.

    Attributes:
        retry_hedge_ms: Pause before a hedge that found the budget spent.
    """

    retry_hedge_ms = 10.0

    def __init__(self, target_latency_ms: float) -> None:
        self.target_latency_ms = target_latency_ms
        self._patience = CallerTimeouts()
        self._median = latency_window.LatencyWindow(0.5)
        self._late = latency_window.LatencyWindow(_HEDGE_QUANTILE)

    def record(self, latency_ms: float) -> None:
        """Takes in the latency of an answered attempt."""
        self._median.record(latency_ms)
        self._late.record(latency_ms)

    def waited_ms(self, left_ms: float, now_ms: float) -> float:
        """Returns how long a caller had waited when it sent its request.

        Args:
            left_ms: The time left that it told.
            now_ms: The time now.
        """
        self._patience.note(left_ms, now_ms)
        waited_ms = self._patience.longest_ms - left_ms
        is_likely = waited_ms <= _MOST_WAITED_SHARE * self.target_latency_ms
        return waited_ms if is_likely else 0.0

    def typical_ms(self) -> float:
        """Returns the usual latency of an attempt."""
        median_ms = self._median.quantile_ms()
        if median_ms is None:
            return max(_LEAST_MS, _COLD_USUAL_SHARE * self.target_latency_ms)
        return max(_LEAST_MS, median_ms)

    def hedge_ms(self) -> float:
        """Returns the age of an attempt at which a hedge is due."""
        late_ms = self._late.quantile_ms()
        if late_ms is None:
            return _COLD_HEDGE_SHARE * self.target_latency_ms
        earliest_ms = _EARLIEST_HEDGE_FACTOR * self.typical_ms()
        latest_ms = _LATEST_HEDGE_SHARE * self.target_latency_ms
        return max(earliest_ms, min(late_ms, latest_ms))


class ExtraAttemptBudgets:
    """Budgets of extra attempts, one a service.

    Attributes:
        share: This host's share of the burst, for each service.
    """

    def __init__(
        self, window_ms: float, ratio: float, share: float, began_ms: float
    ) -> None:
        """Makes the budgets of a process.

        Args:
            window_ms: Length of the window.
            ratio: Extras allowed for each request.
            share: This host's share of the burst, for each service.
            began_ms: When the process began.
        """
        self._window_ms = window_ms
        self._ratio = ratio
        self.share = share
        self._spent_ms = began_ms
        self._ticked_ms: float | None = None
        self._budgets: dict[str, window_budget.WindowBudget] = {}

    def set_share(self, share: float, now_ms: float) -> None:
        """Sets this host's share of the burst, for each service."""
        if share > self.share:
            # Budgets that are made from now on begin with this share.
            self._spent_ms = now_ms
        self.share = share
        for budget in self._budgets.values():
            budget.set_share(share, now_ms)

    def tick(self, now_ms: float) -> None:
        """Takes in that the process runs; called all the time, if at all."""
        self._ticked_ms = now_ms

    def note_request(
        self, service: str, now_ms: float
    ) -> window_budget.WindowBudget:
        """Takes in a request for a service; returns the service's budget.

        Requests that waited while the process stood still were sent in an
        earlier window, so they earn nothing.
        """
        budget = self.get(service)
        ticked_ms = now_ms if self._ticked_ms is None else self._ticked_ms
        if now_ms - ticked_ms < STOOD_STILL_MS:
            budget.record_request(now_ms)
        return budget

    def evict_unused(self, now_ms: float) -> None:
        """Drops the budgets that nothing was noted in for a window."""
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
                self._window_ms, self._ratio, self.share, self._spent_ms
            )
            self._budgets[service] = budget
        return budget
