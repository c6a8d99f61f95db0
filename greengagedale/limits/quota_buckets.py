"""Token buckets of the workspaces whose quotas a keeper holds.

A keeper holds the shares that hosts lend to it (see `quota_shares`) and decides
on every request of its workspaces, also on those that arrive at other hosts.
A bucket refills at the rate, and holds the burst, in proportion to the shares
held. It starts empty but for the tokens that come with the shares: what they
earned while nobody could use them, and some initial tokens.
"""

from collections.abc import Callable, Iterable, Mapping
import dataclasses
import enum
import random
from typing import NamedTuple

from greengagedale.limits import quota_shares

# A refusal is only attributed to the quota if most of it is held.
MIN_DECIDING_SHARE = 0.5
# Retry-After of a request that can't be decided on, and its random part.
UNDECIDED_RETRY_MS = 200
UNDECIDED_SPREAD_MS = 400
# For this long after a refusal, requests of returning callers leave some tokens
# to new ones.
CONTENTION_MS = 1000.0
TOKENS_FOR_NEW = 3.0
# Shares are sums of fractions; a full token may be short of one by rounding.
_ROUNDING = 1e-9
_MS_PER_S = 1000.0


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
    grant: quota_shares.Grant
    until_ms: float


@dataclasses.dataclass(slots=True)
class _Bucket:
    """A token bucket.

    Attributes:
        quota: Quota of the workspace.
        tokens: Tokens saved.
        settled_ms: Time up to which refills are included in the tokens.
        refused_ms: Time of the last refusal.
        next_retry_ms: Time from which the next refused caller may return.
        removed_ms: Time at which the quota was removed; None if in force.
    """

    quota: quota_shares.Quota
    tokens: float
    settled_ms: float
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
        self._buckets: dict[int, dict[str, _Bucket]] = {}
        self._usage: dict[str, Usage] = {}
        self._is_stopped = False

    def set_quotas(
        self, quotas: Mapping[str, quota_shares.Quota], now_ms: float
    ) -> None:
        """Applies the quotas of a configuration.

        A quota that is removed is remembered for a window, so that adding it
        again does not add initial tokens again.
        """
        for buckets in self._buckets.values():
            for name, bucket in list(buckets.items()):
                if name in quotas:
                    bucket.removed_ms = None
                elif bucket.removed_ms is None:
                    bucket.removed_ms = now_ms
                elif now_ms - bucket.removed_ms > self._terms.window_ms:
                    del buckets[name]
        for name, quota in quotas.items():
            slot = self._slot_of(name)
            buckets = self._buckets.setdefault(slot, {})
            bucket = buckets.get(name)
            if bucket is None:
                tokens = self._terms.initial_tokens * sum(
                    lease.grant.share
                    for lease in self._valid_leases(slot, now_ms)
                    if lease.grant.is_initial
                )
                buckets[name] = _Bucket(quota, tokens, now_ms)
            elif bucket.quota != quota:
                self._settle(bucket, self.held_share(slot, now_ms), now_ms)
                bucket.quota = quota

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
        is_held = held is not None and now_ms < held.until_ms
        if is_held and held is not None:
            if until_ms <= held.until_ms:
                return
            if held.grant.share == grant.share and not grant.is_initial:
                leases[lender] = held._replace(until_ms=until_ms)
                return
        share = self.held_share(slot, now_ms)
        for bucket in self._buckets.get(slot, {}).values():
            self._settle(bucket, share, now_ms)
            rate_per_ms = self._terms.max_rate_per_ms(bucket.quota)
            bucket.tokens += grant.share * rate_per_ms * grant.idle_ms
            if grant.is_initial:
                bucket.tokens += grant.share * self._terms.initial_tokens
        if is_held and held is not None and held.grant.is_initial:
            grant = grant._replace(is_initial=True)
        leases[lender] = _Lease(grant, until_ms)

    def held_share(self, slot: int, now_ms: float) -> float:
        """Returns the fraction of the quotas of a slot that is held."""
        return sum(
            lease.grant.share for lease in self._valid_leases(slot, now_ms)
        )

    def share_of(self, slot: int, lender: str, now_ms: float) -> float:
        """Returns the share held from a lender; 0 if none."""
        lease = self._leases.get(slot, {}).get(lender)
        if lease is None or now_ms >= lease.until_ms:
            return 0.0
        return lease.grant.share

    def stop(self) -> None:
        """Gives up all shares for good."""
        self._is_stopped = True
        self._leases.clear()

    def take(
        self, workspace: str, now_ms: float, is_returning: bool = False
    ) -> Decision:
        """Takes a token for a request of a workspace, if there is one.

        Args:
            workspace: Name of the workspace.
            now_ms: Current time.
            is_returning: Whether its caller was refused before.
        """
        slot = self._slot_of(workspace)
        bucket = self._buckets.get(slot, {}).get(workspace)
        share = self.held_share(slot, now_ms)
        if bucket is None or bucket.removed_ms is not None or share <= 0.0:
            return undecided(self._rng)
        usage = self._usage.setdefault(workspace, Usage())
        usage.asked += 1
        self._settle(bucket, share, now_ms)
        kept = 0.0
        if is_returning and now_ms - bucket.refused_ms < CONTENTION_MS:
            capacity = share * self._terms.capacity(bucket.quota)
            kept = min(TOKENS_FOR_NEW, capacity / 2.0)
        if bucket.tokens >= 1.0 + kept - _ROUNDING:
            bucket.tokens -= 1.0
            usage.allowed += 1
            return ALLOWED
        if share < MIN_DECIDING_SHARE:
            return undecided(self._rng)
        usage.over_quota += 1
        bucket.refused_ms = now_ms
        return Decision(
            Verdict.OVER_QUOTA, self._retry_after_ms(bucket, share, now_ms)
        )

    def collect_usage(self) -> dict[str, Usage]:
        """Returns what workspaces asked for and got since the last call."""
        usage, self._usage = self._usage, {}
        return usage

    def _valid_leases(self, slot: int, now_ms: float) -> Iterable[_Lease]:
        leases = self._leases.get(slot, {}).values()
        return (lease for lease in leases if now_ms < lease.until_ms)

    def _settle(self, bucket: _Bucket, share: float, now_ms: float) -> None:
        """Refills a bucket.

        Shares are settled before any is added, so those that are held now were
        held for all of the time since.
        """
        elapsed_ms = now_ms - bucket.settled_ms
        bucket.settled_ms = now_ms
        refill = elapsed_ms * self._rate_per_ms(bucket.quota, share)
        capacity = share * self._terms.capacity(bucket.quota)
        bucket.tokens = min(bucket.tokens + refill, capacity)

    def _rate_per_ms(self, quota: quota_shares.Quota, share: float) -> float:
        """Returns the refill rate.

        The overage makes up for shares of lost hosts, which can't be lent.
        """
        return min(
            quota.rate_per_s / _MS_PER_S,
            share * self._terms.max_rate_per_ms(quota),
        )

    def _retry_after_ms(
        self, bucket: _Bucket, share: float, now_ms: float
    ) -> int:
        """Returns when a token is expected that no other caller waits for."""
        interval_ms = 1.0 / self._rate_per_ms(bucket.quota, share)
        free_ms = now_ms + (1.0 - bucket.tokens) * interval_ms
        latest_ms = now_ms + self._terms.window_ms
        at_ms = min(max(free_ms, bucket.next_retry_ms), latest_ms)
        bucket.next_retry_ms = at_ms + interval_ms
        jitter_ms = self._rng.uniform(
            0.0, min(interval_ms, self._terms.window_ms)
        )
        return int(at_ms - now_ms + jitter_ms) + 1
