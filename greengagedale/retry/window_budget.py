"""Budgets that limit extra attempts in a sliding time window."""

import collections
from typing import NamedTuple


class _PendingReturn(NamedTuple):
    at_ms: float
    tokens: float


class WindowBudget:
    """Limits the extra attempts in any window by the requests in it.

    A bucket holds this host's share of the burst. Each request returns a part
    of a token, up to the share. A spent token also returns by itself one whole
    window after its attempt ended. In any period no longer than the window, no
    more extra attempts can arrive than the share plus the ratio times the
    number of requests in that period.

    An earlier process of the same host may have spent the share just before
    it ended, so a new process starts with all tokens spent. Hosts whose shares
    add up to the burst therefore keep the total budget without coordination,
    whatever the number and order of their processes.
    """

    def __init__(
        self, window_ms: float, ratio: float, share: float, spent_ms: float
    ) -> None:
        """Initializes the budget.

        Args:
            window_ms: Length of the window.
            ratio: Extra attempts allowed for each request.
            share: This host's share of the burst, the extra attempts allowed
                in addition to the ratio.
            spent_ms: Latest time at which an earlier process may have spent
                the share.
        """
        self._window_ms = window_ms
        self._ratio = ratio
        # The sum of saved tokens, tokens in flight and pending returns, minus
        # the debt left by a reduction of the share, is always the share.
        self._share = share
        self._saved = 0.0
        self._in_flight = 0
        self._pending_returns: collections.deque[_PendingReturn] = (
            collections.deque()
        )
        self._debt = 0.0
        self._last_request_ms = spent_ms
        self._return_later(share, spent_ms)

    def record_request(self, now_ms: float) -> None:
        """Records a request, which returns a part of a token."""
        self._collect_returned(now_ms)
        self._last_request_ms = now_ms
        self._saved += self._reclaim(self._ratio)

    def available(self, now_ms: float) -> float:
        """Returns the number of extra attempts that may be sent now."""
        self._collect_returned(now_ms)
        return self._saved

    def returns_ms(self) -> list[float]:
        """Returns the times at which spent tokens return, in order.

        Tokens of attempts that have not ended are left out.
        """
        return [each.at_ms for each in self._pending_returns]

    def try_withdraw(self, now_ms: float, reserve_share: float = 0.0) -> bool:
        """Withdraws a token for an extra attempt if one is available.

        The caller must call `on_attempt_end` or `refund` for each withdrawal.

        Args:
            now_ms: Current time.
            reserve_share: Part of the share that must remain available for
                other uses.

        Returns:
            Whether a token was withdrawn.
        """
        if self.available(now_ms) < 1.0 + reserve_share * self._share:
            return False
        self._saved -= 1.0
        self._in_flight += 1
        return True

    def on_attempt_end(self, now_ms: float) -> None:
        """Records that an extra attempt has ended.

        Its token returns one window later, as an attempt may still arrive at
        its upstream until it ends.
        """
        self._in_flight -= 1
        paid = min(1.0, self._debt)
        self._debt -= paid
        self._return_later(1.0 - paid, now_ms)

    def refund(self) -> None:
        """Returns the token of an extra attempt that was never sent."""
        self._in_flight -= 1
        paid = min(1.0, self._debt)
        self._debt -= paid
        self._saved += 1.0 - paid

    def set_share(self, share: float, now_ms: float) -> None:
        """Changes this host's share of the burst.

        Added tokens are available one window later, as the host that had them
        before may just have spent them.
        """
        change = share - self._share
        self._share = share
        if change > 0.0:
            paid = min(change, self._debt)
            self._debt -= paid
            self._return_later(change - paid, now_ms)
            return
        reduction = -change
        from_saved = min(reduction, self._saved)
        self._saved -= from_saved
        self._debt += (
            reduction - from_saved - self._reclaim(reduction - from_saved)
        )

    def is_unused(self, now_ms: float) -> bool:
        """Returns whether a new budget would be equivalent to this one."""
        self._collect_returned(now_ms)
        is_idle = now_ms - self._last_request_ms > self._window_ms
        return is_idle and not self._in_flight and not self._pending_returns

    def _return_later(self, tokens: float, now_ms: float) -> None:
        if tokens > 0.0:
            at_ms = now_ms + self._window_ms
            self._pending_returns.append(_PendingReturn(at_ms, tokens))

    def _collect_returned(self, now_ms: float) -> None:
        while self._pending_returns and self._pending_returns[0].at_ms < now_ms:
            self._saved += self._pending_returns.popleft().tokens

    def _reclaim(self, max_tokens: float) -> float:
        """Removes up to `max_tokens` pending tokens, the latest returns first.

        Returns:
            The number of tokens removed.
        """
        taken = 0.0
        while self._pending_returns and taken < max_tokens:
            latest = self._pending_returns.pop()
            tokens = min(latest.tokens, max_tokens - taken)
            taken += tokens
            if tokens < latest.tokens:
                rest = latest.tokens - tokens
                self._pending_returns.append(_PendingReturn(latest.at_ms, rest))
        return taken
