"""Token buckets that limit extra attempts."""


class TokenBudget:
    """A token bucket that first attempts fill and extra attempts empty.

    Over any period, the tokens withdrawn never exceed the initial tokens, plus
    the deposits of first attempts, plus the refill over time.
    """

    def __init__(
        self,
        share: float,
        max_tokens: float,
        initial_tokens: float = 0.0,
        refill_per_s: float = 0.0,
    ) -> None:
        """Initializes the budget.

        Args:
            share: Tokens deposited for each first attempt.
            max_tokens: Capacity of the bucket.
            initial_tokens: Tokens in a new bucket.
            refill_per_s: Tokens added each second without any attempt.
        """
        self._share = share
        self._max_tokens = max_tokens
        self._tokens = initial_tokens
        self._refill_per_ms = refill_per_s / 1000.0
        self._last_refill_ms: float | None = None

    def deposit(self, first_attempts: int = 1) -> None:
        """Adds the tokens for a number of first attempts."""
        deposited = self._tokens + self._share * first_attempts
        self._tokens = min(self._max_tokens, deposited)

    def has_token(self, now_ms: float) -> bool:
        """Returns whether an extra attempt may be made."""
        self._refill(now_ms)
        return self._tokens >= 1.0

    def withdraw(self) -> None:
        """Removes one token for an extra attempt that was made."""
        self._tokens -= 1.0

    def _refill(self, now_ms: float) -> None:
        if self._last_refill_ms is not None:
            refill = (now_ms - self._last_refill_ms) * self._refill_per_ms
            self._tokens = min(self._max_tokens, self._tokens + refill)
        self._last_refill_ms = now_ms
