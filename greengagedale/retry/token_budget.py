"""Token budgets that bound attempts beyond the first."""


class TokenBudget:
    """A token bucket that first attempts fill and further attempts empty.

    Over any time, tokens spent never exceed the start, plus the share of
    first attempts, plus what the floor gave.
    """

    def __init__(
        self,
        share: float,
        max_tokens: float,
        initial_tokens: float = 0.0,
        refill_per_s: float = 0.0,
    ) -> None:
        """Makes a budget.

        Args:
            share: Tokens earned by each first attempt.
            max_tokens: Capacity of the bucket.
            initial_tokens: Tokens in a new bucket.
            refill_per_s: Tokens added each second without any attempt.
        """
        self._share = share
        self._most_tokens = max_tokens
        self._tokens = initial_tokens
        self._floor_per_ms = refill_per_s / 1000.0
        self._filled_ms: float | None = None

    def deposit(self, first_attempts: int = 1) -> None:
        """Adds the share of this many first attempts."""
        earned = self._tokens + self._share * first_attempts
        self._tokens = min(self._most_tokens, earned)

    def has_token(self, now_ms: float) -> bool:
        """Tells whether a further attempt may be made."""
        self._fill(now_ms)
        return self._tokens >= 1.0

    def withdraw(self) -> None:
        """Takes the token of an attempt that was made."""
        self._tokens -= 1.0

    def _fill(self, now_ms: float) -> None:
        if self._filled_ms is not None:
            by_floor = (now_ms - self._filled_ms) * self._floor_per_ms
            self._tokens = min(self._most_tokens, self._tokens + by_floor)
        self._filled_ms = now_ms
