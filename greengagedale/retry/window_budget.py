"""Budgets of extra attempts over a sliding window of time."""

import collections
from typing import NamedTuple


class _Returning(NamedTuple):
    at_ms: float
    tokens: float


class WindowBudget:
    """Bounds extra attempts in any window by the requests in it.

    A bucket holds this host's share of the burst. Each request brings a part
    of a token, up to the share. A token that was spent also returns by itself
    once its attempt lies a whole window back. In any span no longer than the
    window, no more extras can arrive than the share plus the ratio of the
    requests of that span.

    An earlier process of the same host may have spent the share just before
    it ended, so a new process begins with all tokens spent. Whatever the
    number and order of processes, the sum over hosts whose shares add up to
    the burst then keeps the whole budget without their asking each other.
    """

    def __init__(
        self, window_ms: float, ratio: float, share: float, spent_ms: float
    ) -> None:
        """Makes a budget.

        Args:
            window_ms: Length of the window.
            ratio: Extras allowed for each request.
            share: Extras allowed besides, for this host alone.
            spent_ms: Until when an earlier process may have spent the share.
        """
        self._window_ms = window_ms
        self._ratio = ratio
        # Saved, unsettled and returning tokens add up to the share, but for
        # those that are owed since the share was cut.
        self._share = share
        self._saved = 0.0
        self._unsettled = 0
        self._returning: collections.deque[_Returning] = collections.deque()
        self._owed = 0.0
        self._used_ms = spent_ms
        self._return_later(share, spent_ms)

    def record_request(self, now_ms: float) -> None:
        """Takes in a request."""
        self._collect(now_ms)
        self._used_ms = now_ms
        self._saved += self._take_back(self._ratio)

    def available(self, now_ms: float) -> float:
        """Returns how many extras may be sent now."""
        self._collect(now_ms)
        return self._saved

    def try_withdraw(self, now_ms: float, reserve_share: float = 0.0) -> bool:
        """Spends one extra if there is one; tells whether.

        Each extra that was taken must be settled or refunded.

        Args:
            now_ms: The time now.
            reserve_share: Part of the share that is left to others.
        """
        if self.available(now_ms) < 1.0 + reserve_share * self._share:
            return False
        self._saved -= 1.0
        self._unsettled += 1
        return True

    def on_attempt_end(self, now_ms: float) -> None:
        """Takes in that an extra's attempt has ended.

        Until then it may still arrive at its upstream.
        """
        self._unsettled -= 1
        paid = min(1.0, self._owed)
        self._owed -= paid
        self._return_later(1.0 - paid, now_ms)

    def refund(self) -> None:
        """Takes in that an extra was never sent."""
        self._unsettled -= 1
        paid = min(1.0, self._owed)
        self._owed -= paid
        self._saved += 1.0 - paid

    def set_share(self, share: float, now_ms: float) -> None:
        """Changes this host's share of the burst.

        What is added counts as just spent by the host that had it before.
        """
        change = share - self._share
        self._share = share
        if change > 0.0:
            paid = min(change, self._owed)
            self._owed -= paid
            self._return_later(change - paid, now_ms)
            return
        cut = -change
        from_saved = min(cut, self._saved)
        self._saved -= from_saved
        self._owed += cut - from_saved - self._take_back(cut - from_saved)

    def is_unused(self, now_ms: float) -> bool:
        """Tells whether a new budget would be the same as this one."""
        self._collect(now_ms)
        is_idle = now_ms - self._used_ms > self._window_ms
        return is_idle and not self._unsettled and not self._returning

    def _return_later(self, tokens: float, now_ms: float) -> None:
        if tokens > 0.0:
            at_ms = now_ms + self._window_ms
            self._returning.append(_Returning(at_ms, tokens))

    def _collect(self, now_ms: float) -> None:
        while self._returning and self._returning[0].at_ms < now_ms:
            self._saved += self._returning.popleft().tokens

    def _take_back(self, most: float) -> float:
        """Takes up to so many returning tokens, the latest ones first."""
        taken = 0.0
        while self._returning and taken < most:
            latest = self._returning.pop()
            tokens = min(latest.tokens, most - taken)
            taken += tokens
            if tokens < latest.tokens:
                rest = latest.tokens - tokens
                self._returning.append(_Returning(latest.at_ms, rest))
        return taken
