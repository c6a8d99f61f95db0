"""The table of idempotency keys that this process has decided on.

A key is decided once: it is either started or permanently refused. The table
evicts a key only when the key could no longer be accepted, so the decision on
a key that is not in the table follows from the age of the key.
"""

import dataclasses
from typing import NamedTuple

from greengagedale import outcomes

_FULL_RETRY_AFTER_MS = 1000
_STOPPING_RETRY_AFTER_MS = 100


class ScopedKey(NamedTuple):
    """A key scoped to its member, so that members can't collide."""

    member: str
    key: str


class KeyTableLimits(NamedTuple):
    """Size and retention limits of the table.

    Attributes:
        capacity: Maximum number of keys.
        ticket_life_ms: Time after the issue of a ticket during which its keys
            may start.
        retention_ms: Additional time for which their outcomes are kept.
    """

    capacity: int
    ticket_life_ms: int
    retention_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """The key is new: run it, then record its outcome or release it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """The key is already running: wait for its outcome."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decided:
    """The outcome of the key is known, or the key is refused.

    Attributes:
        outcome: Outcome to return to the caller.
        in_table: Whether the key is in the table.
    """

    outcome: outcomes.Outcome
    in_table: bool


Decision = Start | Join | Decided


@dataclasses.dataclass(slots=True)
class _Entry:
    digest: str
    evictable_ms: float
    outcome: outcomes.Outcome | None = None


class KeyTable:
    """Decides whether a key may start, and keeps the outcomes of keys."""

    def __init__(self, limits: KeyTableLimits) -> None:
        self._limits = limits
        self._entries: dict[ScopedKey, _Entry] = {}
        self._refused_issued_until_ms = -1.0
        self._stopping = False

    def __len__(self) -> int:
        return len(self._entries)

    def begin(
        self,
        scoped_key: ScopedKey,
        digest: str,
        issued_ms: float | None,
        now_ms: float,
    ) -> Decision:
        """Decides on a key.

        Args:
            scoped_key: The key and its member.
            digest: Digest of the request.
            issued_ms: Issue time of the key's ticket; None without a ticket.
            now_ms: Current time.
        """
        self._evict(now_ms)
        known = self.look_up(scoped_key, digest)
        if known is not None:
            return known
        refusal = self._refusal(issued_ms, now_ms)
        if refusal is not None:
            return Decided(refusal, in_table=False)
        self._entries[scoped_key] = _Entry(
            digest, now_ms + self._key_lifetime_ms
        )
        return Start()

    def look_up(self, scoped_key: ScopedKey, digest: str) -> Decision | None:
        """Returns the decision on a key in the table, or None."""
        entry = self._entries.get(scoped_key)
        if entry is None:
            return None
        if entry.digest != digest:
            conflict = outcomes.NotRun(outcomes.Reason.KEY_CONFLICT, 0)
            return Decided(conflict, in_table=True)
        if entry.outcome is None:
            return Join()
        return Decided(entry.outcome, in_table=True)

    def record_outcome(
        self, scoped_key: ScopedKey, outcome: outcomes.Outcome
    ) -> None:
        """Records the outcome of a key, which can't start again."""
        self._entries[scoped_key].outcome = outcome

    def release(self, scoped_key: ScopedKey) -> None:
        """Removes a key that another process owns."""
        del self._entries[scoped_key]

    def refuse_new_keys(self) -> None:
        """Permanently refuses all keys that are not in the table yet."""
        self._stopping = True

    @property
    def _key_lifetime_ms(self) -> int:
        return self._limits.ticket_life_ms + self._limits.retention_ms

    def _refusal(
        self, issued_ms: float | None, now_ms: float
    ) -> outcomes.NotRun | outcomes.Unknown | None:
        if issued_ms is not None and issued_ms > now_ms:
            return outcomes.Unknown(outcomes.Reason.FOREIGN_KEY)
        age_ms = 0.0 if issued_ms is None else now_ms - issued_ms
        if age_ms >= self._key_lifetime_ms:
            return outcomes.Unknown(outcomes.Reason.EXPIRED_KEY)
        if self._stopping:
            return outcomes.NotRun(
                outcomes.Reason.STOPPING, _STOPPING_RETRY_AFTER_MS
            )
        if age_ms > self._limits.ticket_life_ms:
            return outcomes.NotRun(outcomes.Reason.EXPIRED_KEY, 0)
        return self._capacity_refusal(issued_ms, now_ms)

    def _capacity_refusal(
        self, issued_ms: float | None, now_ms: float
    ) -> outcomes.NotRun | None:
        """Returns a refusal if the table is full or was after the issue.

        The refused key is not stored. Instead, all tickets issued so far are
        refused from then on, so that a later copy of the key can't start.
        """
        full = len(self._entries) >= self._limits.capacity
        if issued_ms is not None and full:
            self._refused_issued_until_ms = now_ms
        was_refused = (
            issued_ms is not None and issued_ms <= self._refused_issued_until_ms
        )
        if not (full or was_refused):
            return None
        return outcomes.NotRun(outcomes.Reason.KEYS_FULL, _FULL_RETRY_AFTER_MS)

    def _evict(self, now_ms: float) -> None:
        # Entries are ordered by the time at which they may be evicted.
        while self._entries:
            scoped_key, entry = next(iter(self._entries.items()))
            if entry.outcome is None or entry.evictable_ms > now_ms:
                return
            del self._entries[scoped_key]
