"""Budgets of extra attempts over a sliding window of time."""

import collections


class WindowBudget:
    """Bounds extra attempts in any window by the requests in it.

    In any span of the window's length no more extras are granted than this
    host's share of the burst plus the ratio of the requests of that span. The
    sum over all hosts then keeps the whole budget without their asking each
    other.
    """

    def __init__(self, window_ms: float, ratio: float, burst: float) -> None:
        """Makes a budget.

        Args:
            window_ms: Length of the window.
            ratio: Extras allowed for each request.
            burst: Extras allowed besides, for this host alone.
        """
        self._window_ms = window_ms
        self._ratio = ratio
        self.burst = burst
        self._requests: collections.deque[float] = collections.deque()
        self._extras: collections.deque[float] = collections.deque()

    def note_request(self, now_ms: float) -> None:
        """Takes in a request."""
        self._requests.append(now_ms)
        self._forget(now_ms)

    def left(self, now_ms: float) -> float:
        """Returns how many extras may be sent now."""
        self._forget(now_ms)
        allowed = self.burst + self._ratio * len(self._requests)
        return allowed - len(self._extras)

    def take(self, now_ms: float, reserve_share: float = 0.0) -> bool:
        """Spends one extra if there is one; tells whether.

        Args:
            now_ms: The time now.
            reserve_share: Share of the burst that is left to others.
        """
        if self.left(now_ms) < 1.0 + reserve_share * self.burst:
            return False
        self._extras.append(now_ms)
        return True

    def is_unused(self, now_ms: float) -> bool:
        """Tells whether nothing was noted in the last window."""
        self._forget(now_ms)
        return not (self._requests or self._extras)

    def _forget(self, now_ms: float) -> None:
        since_ms = now_ms - self._window_ms
        for times in (self._requests, self._extras):
            while times and times[0] < since_ms:
                times.popleft()
