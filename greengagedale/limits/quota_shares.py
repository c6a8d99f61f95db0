"""Shares of the quotas of workspaces, and lending them for short leases.

Every listed host owns a share of each quota, and the shares add up to at most
the whole. A host lends its share to one keeper at a time, which thereby gathers
the whole quota (see `quota_buckets`). Three rules keep any share from being
used twice, without a common clock:

- A lender counts a lease from the time at which it received the request, the
  keeper from the earlier time at which it sent it. The keeper's lease therefore
  ends first, however long messages take.
- A new process of a host does not know what its predecessor lent. It lends
  nothing until those leases have ended, except to a keeper that still holds
  the lease and has answered this process since it started.
- A share that grows takes effect only after the leases of the hosts that gave
  it up have ended.
"""

import dataclasses
from typing import NamedTuple, Self

from greengagedale.config import gateway as config

# A lease is renewed several times before it ends, so that a lost message does
# not end it.
RENEWALS_PER_LEASE = 3
# Interval between renewals in small fleets, and the least interval per host,
# which limits a keeper to 200 renewals per second and slot.
MIN_RENEWAL_INTERVAL_MS = 500.0
RENEWAL_INTERVAL_PER_HOST_MS = 5.0
# Fractions of the slack that a bucket can save, and that a keeper may spend
# before its buckets have filled. A window can contain the latter twice.
SAVED_SLACK_FRACTION = 0.5
INITIAL_SLACK_FRACTION = 0.25
# Time for which a token may be used after it was asked for.
TOKEN_VALIDITY_MS = 250.0
_MS_PER_S = 1000.0


def renewal_interval_ms(host_count: int) -> float:
    """Returns the interval between renewals, in milliseconds."""
    return max(
        MIN_RENEWAL_INTERVAL_MS, RENEWAL_INTERVAL_PER_HOST_MS * host_count
    )


def lease_ms(host_count: int) -> float:
    """Returns the length of a lease, in milliseconds."""
    return RENEWALS_PER_LEASE * renewal_interval_ms(host_count)


def longest_lease_ms(host_count: int) -> float:
    """Returns the longest lease that may still be out, in milliseconds.

    Hosts may still use an earlier list of up to twice as many hosts.
    """
    return lease_ms(2 * host_count)


class Quota(NamedTuple):
    """Quota of a workspace.

    Attributes:
        rate_per_s: Requests allowed per second.
        burst: Requests allowed in addition.
    """

    rate_per_s: float
    burst: float


class QuotaTerms(NamedTuple):
    """How far quotas may be exceeded; see `config.QuotasSettings`.

    In any window, a workspace with the whole quota may have as many requests
    as its bucket holds, those that its rate adds, and twice the initial tokens.
    These add up to the allowance.

    Attributes:
        window_ms: Length of the window.
        overage: Fraction of the quota allowed in addition.
        slack: Requests allowed in addition.
    """

    window_ms: float
    overage: float
    slack: float

    @classmethod
    def from_config(cls, settings: config.QuotasSettings) -> Self | None:
        """Returns the terms, or None if quotas are disabled."""
        if settings.window_s is None:
            return None
        return cls(
            settings.window_s * _MS_PER_S, settings.overage, settings.slack
        )

    @property
    def initial_tokens(self) -> float:
        """Tokens of a bucket at the start of a keeper's term."""
        return INITIAL_SLACK_FRACTION * self.slack

    def capacity(self, quota: Quota) -> float:
        """Returns the capacity of a bucket with the whole quota."""
        saved_slack = SAVED_SLACK_FRACTION * self.slack
        return quota.burst * (1.0 + self.overage) + saved_slack

    def max_rate_per_ms(self, quota: Quota) -> float:
        """Returns the highest refill rate of a bucket with the whole quota.

        Requests of one window use tokens of a period that is longer by the
        validity of a token.
        """
        period_ms = self.window_ms + TOKEN_VALIDITY_MS
        per_window = quota.rate_per_s * self.window_ms / _MS_PER_S
        return per_window * (1.0 + self.overage) / period_ms

    def allowance(self, quota: Quota) -> float:
        """Returns the number of requests allowed in any window."""
        per_window = quota.rate_per_s * self.window_ms / _MS_PER_S
        return (per_window + quota.burst) * (1.0 + self.overage) + self.slack


class Process(NamedTuple):
    """One process of a host.

    Attributes:
        host: Name of the host.
        life: Random number that tells it from earlier and later processes.
    """

    host: str
    life: int


class Grant(NamedTuple):
    """A share lent to a keeper.

    Attributes:
        share: The share, as a fraction of each quota.
        lease_ms: Length of the lease from the time the request was sent.
        idle_ms: Time for which nobody could use the share before.
        is_initial: Whether the keeper may add initial tokens for the share,
            once in each bucket while it holds the share.
    """

    share: float
    lease_ms: float
    idle_ms: float
    is_initial: bool


@dataclasses.dataclass(slots=True)
class _SlotState:
    """What a lender knows of its share in one slot.

    Attributes:
        holder: The last holder of the share, or None.
        until_ms: End of the last lease.
        has_initial: Whether the holder got initial tokens with its lease.
        initial_ms: Time of the last grant with initial tokens, or of the start.
        claimed_share: Share that the holder kept from an earlier process of
            the lender; 0 if none.
    """

    holder: Process | None
    until_ms: float
    initial_ms: float
    has_initial: bool = False
    claimed_share: float = 0.0


class _PendingShare(NamedTuple):
    share: float
    from_ms: float


class ShareLender:
    """Lends the share of this host, separately for each slot of workspaces.

    Attributes:
        life: Random number of this process.
    """

    def __init__(
        self, life: int, slot_count: int, terms: QuotaTerms, started_ms: float
    ) -> None:
        """Initializes the lender.

        Args:
            life: Random number of this process.
            slot_count: Number of slots that workspaces are divided into.
            terms: Terms of the quotas.
            started_ms: Time at which no earlier process was running any more.
        """
        self.life = life
        self._terms = terms
        self._started_ms = started_ms
        self._host_count = 1
        self._share = 0.0
        self._pending: _PendingShare | None = None
        self._slots = [
            _SlotState(None, started_ms, started_ms) for _ in range(slot_count)
        ]

    def set_share(self, share: float, host_count: int, now_ms: float) -> None:
        """Sets the share of this host; an increase takes effect later.

        Args:
            share: Fraction of each quota that this host owns.
            host_count: Number of listed hosts.
            now_ms: Current time.
        """
        self._host_count = host_count
        self._apply_pending(now_ms)
        if share <= self._share:
            self._share = share
            self._pending = None
        elif self._pending is None or share > self._pending.share:
            self._pending = _PendingShare(share, now_ms)
        else:
            self._pending = self._pending._replace(share=share)

    def holder_of(self, slot: int, now_ms: float) -> Process | None:
        """Returns who holds the share of a slot, or None."""
        state = self._slots[slot]
        return state.holder if now_ms <= state.until_ms else None

    def lend(
        self, slot: int, keeper: Process, now_ms: float, claimed_share: float
    ) -> Grant | None:
        """Lends the share of a slot, or renews its lease.

        Args:
            slot: The slot.
            keeper: The process that asks.
            now_ms: Time at which its request was received.
            claimed_share: Share that the keeper still held from an earlier
                process of this host when it sent its request; 0 if none. Only
                valid in a request that names the life of this process.

        Returns:
            The grant, or None if there is nothing to lend now.
        """
        state = self._slots[slot]
        self._apply_pending(now_ms)
        is_lent = state.holder is not None and now_ms <= state.until_ms
        if is_lent and state.holder != keeper:
            return None
        if not is_lent:
            usable_from_ms = self._usable_from_ms()
            if now_ms < usable_from_ms:
                if state.holder is not None or not claimed_share:
                    return None
                state.claimed_share = claimed_share
            else:
                state.claimed_share = 0.0
        share = self._lendable_share(state)
        if share <= 0.0:
            return None
        idle_ms = 0.0
        if not is_lent:
            state.has_initial = False
            if not state.claimed_share:
                idle_from_ms = max(state.until_ms, self._usable_from_ms())
                idle_ms = min(now_ms - idle_from_ms, self._terms.window_ms)
        is_initial = not state.has_initial and (
            now_ms - state.initial_ms > self._initial_spacing_ms()
        )
        if is_initial:
            state.has_initial = True
            state.initial_ms = now_ms
        state.holder = keeper
        state.until_ms = now_ms + lease_ms(self._host_count)
        return Grant(share, lease_ms(self._host_count), idle_ms, is_initial)

    def release(self, slot: int, keeper: Process, now_ms: float) -> None:
        """Ends a lease that its keeper will not use again."""
        state = self._slots[slot]
        if state.holder == keeper and now_ms <= state.until_ms:
            state.until_ms = now_ms
            state.holder = None if now_ms >= self._usable_from_ms() else keeper

    def _lendable_share(self, state: _SlotState) -> float:
        listed = self._pending.share if self._pending else self._share
        return max(self._share, min(state.claimed_share, listed))

    def _usable_from_ms(self) -> float:
        return self._started_ms + longest_lease_ms(self._host_count)

    def _initial_spacing_ms(self) -> float:
        """Returns the least time between grants of initial tokens."""
        return (
            self._terms.window_ms
            + TOKEN_VALIDITY_MS
            + longest_lease_ms(self._host_count)
        )

    def _apply_pending(self, now_ms: float) -> None:
        pending = self._pending
        if pending is not None and (
            now_ms - pending.from_ms > longest_lease_ms(self._host_count)
        ):
            self._share = pending.share
            self._pending = None
