"""Shares of the quotas of workspaces, and lending them for short leases.

Every listed host owns a share of each quota, and the shares add up to at most
the whole. A host lends its share to one keeper at a time, which thereby gathers
the whole quota (see `quota_windows`). Three rules keep any share from being
used twice, without a common clock:

- A lender counts a lease from the time at which it received the request, the
  keeper from the earlier time at which it sent it. The keeper's lease therefore
  ends first, however long messages take.
- A new process of a host does not know what its predecessor lent. It lends
  nothing until those leases have ended, except to a keeper that still holds
  the lease and has answered this process since it started.
- A share that grows takes effect only after the leases of the hosts that gave
  it up have ended, and their requests have left the window.

A keeper that leaves names a successor to the lenders once that one counts its
recent requests as its own. The successor goes on with its tenures.
"""

import dataclasses
from typing import NamedTuple, Self

from greengagedale.config import gateway as config

# A lease is renewed several times before it ends, so that a lost message does
# not end it.
RENEWALS_PER_LEASE = 3
# Interval between renewals in small fleets, and the least interval per host,
# which limits a keeper to 200 renewals per second and slot.
MIN_RENEWAL_INTERVAL_MS = 300.0
RENEWAL_INTERVAL_PER_HOST_MS = 5.0
# Fraction of the requests allowed beyond a quota that is left for shares that
# another keeper may just have used, and the part of it that these earn with
# time; the rest they have at once.
RESERVED_FRACTION = 0.4
EARNED_FRACTION = 0.75
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

    A share is settled if nobody but its keeper can have used it for a whole
    period. Others count for initial tokens (lenders space them, also from the
    time at which they got their share) and for what they earn with time. That
    the sum stays within the allowance is shown in docs/design/quotas.md.

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
    def period_ms(self) -> float:
        """Time within which the tokens of a window's requests are taken."""
        return self.window_ms + TOKEN_VALIDITY_MS

    def allowance(self, quota: Quota) -> float:
        """Returns the number of requests allowed in any window."""
        return self._per_window(quota) + self._extra(quota)

    def settled(self, quota: Quota) -> float:
        """Returns the tokens in any period if all shares are settled."""
        return self.allowance(quota) - self.initial(quota) - self._earned(quota)

    def initial(self, quota: Quota) -> float:
        """Returns the initial tokens of shares that are not settled."""
        earned = self._earned(quota)
        return min(
            RESERVED_FRACTION * self._extra(quota) - earned,
            self.allowance(quota) / 2.0 - earned,
        )

    def earned_per_ms(self, quota: Quota) -> float:
        """Returns the tokens that shares earn that are not settled."""
        return self._earned(quota) / self.period_ms

    def _earned(self, quota: Quota) -> float:
        """Returns the tokens that are earned in a period."""
        return min(
            EARNED_FRACTION * RESERVED_FRACTION * self._extra(quota),
            self.allowance(quota) / 2.0,
        )

    def _per_window(self, quota: Quota) -> float:
        return quota.rate_per_s * self.window_ms / _MS_PER_S + quota.burst

    def _extra(self, quota: Quota) -> float:
        return self._per_window(quota) * self.overage + self.slack


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
        idle_ms: Time for which nobody but the keeper could use the share.
        is_initial: Whether the tenure came with initial tokens.
        tenure: Number that changes with each holder of the share.
    """

    share: float
    lease_ms: float
    idle_ms: float
    is_initial: bool
    tenure: int


@dataclasses.dataclass(slots=True)
class _SlotState:
    """What a lender knows of its share in one slot.

    Attributes:
        holder: The last holder of the share, or None.
        until_ms: End of the last lease.
        initial_ms: Time of the last grant with initial tokens, of the start, or
            from which this host has had a share, whichever is last.
        tenure: Number of the holder's tenure.
        free_ms: Time from which nobody but the holder could use the share.
        is_initial: Whether the tenure came with initial tokens.
        claimed_share: Share that the holder kept from an earlier process of
            the lender; 0 if none.
        successor: Process that counts the requests of the holder, which has
            given the share back; None if none does.
    """

    holder: Process | None
    until_ms: float
    initial_ms: float
    tenure: int = 0
    free_ms: float = float("inf")
    is_initial: bool = False
    claimed_share: float = 0.0
    successor: Process | None = None


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
        # Unlikely to be that of an earlier process of this host.
        self._last_tenure = life
        # Time from which this host has had a share without interruption.
        self._owned_from_ms = started_ms
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
        owned_ms = now_ms - self._owned_from_ms
        if self._share > 0.0 and owned_ms > self._terms.period_ms:
            # What this process owns beyond the claimed share is settled, too.
            state.claimed_share = 0.0
        if not self._may_lend(state, keeper, now_ms, claimed_share):
            return None
        share = self._lendable_share(state)
        if share <= 0.0:
            return None
        if keeper not in (state.holder, state.successor):
            self._start_tenure(state, now_ms)
        state.holder = keeper
        state.successor = None
        state.until_ms = now_ms + lease_ms(self._host_count)
        return Grant(
            share,
            lease_ms(self._host_count),
            now_ms - state.free_ms,
            state.is_initial,
            state.tenure,
        )

    def _may_lend(
        self,
        state: _SlotState,
        keeper: Process,
        now_ms: float,
        claimed_share: float,
    ) -> bool:
        """Returns whether nobody else can hold the share; records a claim."""
        if state.holder is not None and now_ms <= state.until_ms:
            return state.holder == keeper
        if now_ms >= self._usable_from_ms():
            state.claimed_share = 0.0
            return True
        if state.holder is not None or not claimed_share:
            return False
        state.claimed_share = claimed_share
        return True

    def _start_tenure(self, state: _SlotState, now_ms: float) -> None:
        """Records from when, and with what, a new holder has the share.

        Every grant of the tenure says so: the first ones may be lost.
        """
        self._last_tenure += 1
        state.tenure = self._last_tenure
        if state.claimed_share:
            state.free_ms = now_ms
        else:
            state.free_ms = max(
                state.until_ms, self._usable_from_ms(), self._owned_from_ms
            )
        spacing_ms = self._terms.period_ms + self._longest_lease_ms()
        state.is_initial = now_ms - state.initial_ms > spacing_ms
        if state.is_initial:
            state.initial_ms = now_ms

    def release(
        self,
        slot: int,
        keeper: Process,
        successor: Process | None,
        now_ms: float,
    ) -> None:
        """Ends a lease that its keeper will not use again.

        Args:
            slot: The slot.
            keeper: The process that gives the share back.
            successor: Process that counts the keeper's requests as its own, so
                that it may go on with the tenure; None if none does.
            now_ms: Current time.
        """
        state = self._slots[slot]
        if state.holder == keeper and now_ms <= state.until_ms:
            state.until_ms = now_ms
            state.successor = successor

    def _lendable_share(self, state: _SlotState) -> float:
        if not state.claimed_share:
            return self._share
        listed = self._pending.share if self._pending else self._share
        return min(state.claimed_share, listed)

    def _usable_from_ms(self) -> float:
        return self._started_ms + self._longest_lease_ms()

    def _longest_lease_ms(self) -> float:
        return longest_lease_ms(self._host_count)

    def _apply_pending(self, now_ms: float) -> None:
        pending = self._pending
        if pending is None:
            return
        delay_ms = self._longest_lease_ms()
        if self._share > 0.0:
            # The keeper adds what is new to a share that may be settled.
            delay_ms += self._terms.period_ms
        if now_ms - pending.from_ms > delay_ms:
            if self._share <= 0.0:
                self._owned_from_ms = now_ms
                for state in self._slots:
                    # Those who gave up what this host gets may have just given
                    # initial tokens with it.
                    state.initial_ms = now_ms
                    if not state.claimed_share:
                        # The last holder may have lost what others use now.
                        state.holder = None
                        state.successor = None
            self._share = pending.share
            self._pending = None
