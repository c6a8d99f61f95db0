"""Counts requests of the workspaces whose quotas a keeper holds.

A keeper holds the shares that hosts lend to it (see `quota_shares`) and decides
on every request of its workspaces, also on those that arrive at other hosts. It
allows as many in any window as its shares amount to. For a window after it got
a share, another keeper may have used it just before: until then the share
counts only for part of what may be exceeded (see `quota_shares.QuotaTerms`).
"""

import collections
from collections.abc import Callable, Mapping
import dataclasses
import enum
import itertools
import random
from typing import NamedTuple

from greengagedale.limits import quota_shares

# A refusal is only attributed to the quota if most of it is held.
MIN_DECIDING_SHARE = 0.5
# Retry-After of a request that can't be decided on, and its random part.
UNDECIDED_RETRY_MS = 200
UNDECIDED_SPREAD_MS = 400
# For this long after the limit was reached, requests of returning callers leave
# this fraction of it to new ones.
CONTENTION_MS = 1000.0
FRACTION_FOR_NEW = 0.5
# Shares are sums of fractions; a full token may be short of one by rounding.
_ROUNDING = 1e-9


class Verdict(enum.StrEnum):
    """Whether a request may run."""

    ALLOWED = "allowed"
    OVER_QUOTA = "over_quota"
    UNDECIDED = "undecided"


class Decision(NamedTuple):
    """The decision on one request.

    Attributes:
        verdict: Whether it may run.
        retry_after_ms: Time until a token is expected; 0 if it may run.
    """

    verdict: Verdict
    retry_after_ms: int


ALLOWED = Decision(Verdict.ALLOWED, 0)


@dataclasses.dataclass(slots=True)
class Usage:
    """What a workspace asked for and got since the last report."""

    asked: int = 0
    allowed: int = 0
    over_quota: int = 0


class _Lease(NamedTuple):
    """A share that is held.

    Attributes:
        share: Fraction of each quota.
        until_ms: End of the lease.
        free_ms: Time from which nobody else can have used the share.
        is_initial: Whether it came with initial tokens.
        tenure: Number that tells whether somebody else held it meanwhile.
    """

    share: float
    until_ms: float
    free_ms: float
    is_initial: bool
    tenure: int


class _Shares(NamedTuple):
    """The shares held in a slot at one time.

    Attributes:
        held: Sum of all shares; at most 1, as are the others together.
        settled: Sum of those that nobody else used in the last period.
        initial: Sum of the others that came with initial tokens.
        earning_share_ms: Sum of the others, each times the time it is free.
    """

    held: float
    settled: float
    initial: float
    earning_share_ms: float


@dataclasses.dataclass(slots=True)
class _Window:
    """The latest requests of a workspace.

    Attributes:
        quota: Quota of the workspace.
        allowed_ms: Times of the requests allowed in the last period.
        refused_ms: Time of the last refusal of a request for which the limit
            left no token.
        next_retry_ms: Time from which the next refused caller may return.
        removed_ms: Time at which the quota was removed; None if in force.
    """

    quota: quota_shares.Quota
    allowed_ms: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    refused_ms: float = float("-inf")
    next_retry_ms: float = 0.0
    removed_ms: float | None = None


def undecided(rng: random.Random) -> Decision:
    """Returns the decision on a request whose quota can't be checked now."""
    spread_ms = rng.uniform(0.0, UNDECIDED_SPREAD_MS)
    return Decision(Verdict.UNDECIDED, UNDECIDED_RETRY_MS + int(spread_ms))


class QuotaKeeper:
    """Decides on the requests of workspaces whose quotas this host holds."""

    def __init__(
        self,
        terms: quota_shares.QuotaTerms,
        slot_of: Callable[[str], int],
        rng: random.Random,
    ) -> None:
        """Initializes the keeper.

        Args:
            terms: Terms of the quotas.
            slot_of: Returns the slot of a workspace.
            rng: Spreads the times at which refused callers return.
        """
        self._terms = terms
        self._slot_of = slot_of
        self._rng = rng
        self._leases: dict[int, dict[str, _Lease]] = {}
        self._windows: dict[str, _Window] = {}
        self._usage: dict[str, Usage] = {}
        self._is_stopped = False

    def set_quotas(
        self, quotas: Mapping[str, quota_shares.Quota], now_ms: float
    ) -> None:
        """Applies the quotas of a configuration.

        The requests of a quota that is removed are remembered for a period, as
        it may be added again.
        """
        for name, window in list(self._windows.items()):
            if name in quotas:
                continue
            if window.removed_ms is None:
                window.removed_ms = now_ms
            elif now_ms - window.removed_ms > self._terms.period_ms:
                del self._windows[name]
        for name, quota in quotas.items():
            held = self._windows.get(name)
            if held is None:
                self._windows[name] = _Window(quota)
            else:
                held.quota = quota
                held.removed_ms = None

    def add_lease(
        self,
        slot: int,
        lender: str,
        grant: quota_shares.Grant,
        sent_ms: float,
        now_ms: float,
    ) -> None:
        """Adds or renews the lease of a lender's share.

        Args:
            slot: The slot that the share is for.
            lender: Name of the lender.
            grant: The lender's answer.
            sent_ms: Time at which the lender was asked.
            now_ms: Current time.
        """
        until_ms = sent_ms + grant.lease_ms
        if self._is_stopped or now_ms >= until_ms:
            return
        leases = self._leases.setdefault(slot, {})
        held = leases.get(lender)
        if held is None or (
            now_ms >= held.until_ms and grant.tenure != held.tenure
        ):
            leases[lender] = _Lease(
                grant.share,
                until_ms,
                now_ms - grant.idle_ms,
                grant.is_initial,
                grant.tenure,
            )
        elif until_ms > held.until_ms:
            leases[lender] = held._replace(
                share=grant.share, until_ms=until_ms, tenure=grant.tenure
            )

    def held_share(self, slot: int, now_ms: float) -> float:
        """Returns the fraction of the quotas of a slot that is held."""
        return self._shares(slot, now_ms).held

    def share_of(self, slot: int, lender: str, now_ms: float) -> float:
        """Returns the share held from a lender; 0 if none."""
        lease = self._leases.get(slot, {}).get(lender)
        if lease is None or now_ms >= lease.until_ms:
            return 0.0
        return lease.share

    def stop(self) -> None:
        """Gives up all shares for good."""
        self._is_stopped = True
        self._leases.clear()

    def recent_uses(self, slot: int, now_ms: float) -> dict[str, list[float]]:
        """Returns the ages in ms of the last requests of a slot's workspaces.

        Those that have left the period are left out.
        """
        ages_ms = {
            name: [
                now_ms - allowed_ms
                for allowed_ms in window.allowed_ms
                if now_ms - allowed_ms <= self._terms.period_ms
            ]
            for name, window in self._windows.items()
            if self._slot_of(name) == slot
        }
        return {name: ages for name, ages in ages_ms.items() if ages}

    def add_uses(self, uses: Mapping[str, list[float]], now_ms: float) -> None:
        """Counts the requests that another keeper allowed before it stopped.

        Args:
            uses: The ages in ms of the requests of workspaces when they were
                sent; they are older now.
            now_ms: Current time.
        """
        for name, ages_ms in uses.items():
            window = self._windows.get(name)
            if window is None:
                # It may be in a configuration that this host does not have yet.
                window = self._windows[name] = _Window(
                    quota_shares.Quota(0.0, 0.0), removed_ms=now_ms
                )
            window.allowed_ms = collections.deque(
                sorted(
                    itertools.chain(
                        window.allowed_ms, (now_ms - age for age in ages_ms)
                    )
                )
            )

    def take(
        self, workspace: str, now_ms: float, is_returning: bool = False
    ) -> Decision:
        """Takes a token for a request of a workspace, if there is one.

        Args:
            workspace: Name of the workspace.
            now_ms: Current time.
            is_returning: Whether its caller was refused before.
        """
        shares = self._shares(self._slot_of(workspace), now_ms)
        window = self._windows.get(workspace)
        if window is None or window.removed_ms is not None or not shares.held:
            return undecided(self._rng)
        usage = self._usage.setdefault(workspace, Usage())
        usage.asked += 1
        limit = self._limit(window.quota, shares)
        expired_ms = now_ms - self._terms.period_ms
        while window.allowed_ms and window.allowed_ms[0] < expired_ms:
            window.allowed_ms.popleft()
        is_full = len(window.allowed_ms) + 1.0 > limit + _ROUNDING
        kept_for_new = 0.0
        if is_returning and now_ms - window.refused_ms < CONTENTION_MS:
            kept_for_new = FRACTION_FOR_NEW * limit
        if len(window.allowed_ms) + 1.0 + kept_for_new <= limit + _ROUNDING:
            window.allowed_ms.append(now_ms)
            usage.allowed += 1
            return ALLOWED
        if shares.held < MIN_DECIDING_SHARE or (
            shares.settled < MIN_DECIDING_SHARE
            and len(window.allowed_ms) < self._terms.settled(window.quota)
        ):
            return undecided(self._rng)
        usage.over_quota += 1
        if is_full:
            # Otherwise returning callers would prolong the contention.
            window.refused_ms = now_ms
            free_ms = self._next_free_ms(window, limit, now_ms)
        else:
            free_ms = window.refused_ms + CONTENTION_MS
        return Decision(
            Verdict.OVER_QUOTA,
            self._retry_after_ms(window, limit, free_ms, now_ms),
        )

    def collect_usage(self) -> dict[str, Usage]:
        """Returns what workspaces asked for and got since the last call."""
        usage, self._usage = self._usage, {}
        return usage

    def _shares(self, slot: int, now_ms: float) -> _Shares:
        held = settled = unsettled = initial = earning_share_ms = 0.0
        for lease in self._leases.get(slot, {}).values():
            if now_ms >= lease.until_ms:
                continue
            held += lease.share
            if self._is_settled(lease, now_ms):
                settled += lease.share
                continue
            unsettled += lease.share
            earning_share_ms += lease.share * (now_ms - lease.free_ms)
            if lease.is_initial:
                initial += lease.share
        # Hosts that learn of a list at different times may lend more than one.
        settled = min(1.0, settled)
        if unsettled and settled + unsettled > 1.0:
            fraction = (1.0 - settled) / unsettled
            initial *= fraction
            earning_share_ms *= fraction
        return _Shares(min(1.0, held), settled, initial, earning_share_ms)

    def _is_settled(self, lease: _Lease, now_ms: float) -> bool:
        return now_ms - lease.free_ms >= self._terms.period_ms

    def _limit(self, quota: quota_shares.Quota, shares: _Shares) -> float:
        """Returns the number of requests that may be allowed in a period."""
        terms = self._terms
        return (
            shares.settled * terms.settled(quota)
            + shares.initial * terms.initial(quota)
            + shares.earning_share_ms * terms.earned_per_ms(quota)
        )

    def _next_free_ms(
        self, window: _Window, limit: float, now_ms: float
    ) -> float:
        """Returns when enough requests leave the period for one more."""
        leaving = int(len(window.allowed_ms) + 1 - limit)
        if 0 <= leaving < len(window.allowed_ms):
            return window.allowed_ms[leaving] + self._terms.period_ms
        return now_ms

    def _retry_after_ms(
        self, window: _Window, limit: float, free_ms: float, now_ms: float
    ) -> int:
        """Returns when a token is expected that no other caller waits for.

        Args:
            window: The workspace's requests.
            limit: Number of requests that may be allowed in a period.
            free_ms: Time from which there are tokens.
            now_ms: Current time.
        """
        period_ms = self._terms.period_ms
        interval_ms = period_ms / max(1.0, limit)
        at_ms = min(max(free_ms, window.next_retry_ms), free_ms + period_ms)
        window.next_retry_ms = at_ms + interval_ms
        jitter_ms = self._rng.uniform(0.0, interval_ms)
        return int(at_ms - now_ms + jitter_ms) + 1
