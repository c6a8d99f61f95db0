"""The idempotency keys that this process has decided on.

A key is decided once: either it is started, or it is refused for good. The
table may forget a key only when the key could not be accepted any more, so
what it says of a key that it doesn't hold follows from the key's age.
"""

import dataclasses
from typing import NamedTuple

from greengagedale import outcomes

_FULL_RETRY_AFTER_MS = 1000
_STOPPING_RETRY_AFTER_MS = 100


class ScopedKey(NamedTuple):
    """What a key names; members can't collide with each other."""

    member: str
    key: str


class KeyTableLimits(NamedTuple):
    """How long and how much the table remembers.

    Attributes:
        capacity: Keys that are held at most.
        ticket_life_ms: How long after its issue a ticket's keys may start.
        retention_ms: How much longer their outcomes are kept.
    """

    capacity: int
    ticket_life_ms: int
    retention_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """The key is new: run it, then settle or release it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """The key is running: wait for its outcome."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decided:
    """The outcome of the key is known, or it is refused.

    Attributes:
        outcome: What to answer.
        held: Whether the table holds the key.
    """

    outcome: outcomes.Outcome
    in_table: bool


Decision = Start | Join | Decided


@dataclasses.dataclass(slots=True)
class _Entry:
    digest: str
    forget_ms: float
    outcome: outcomes.Outcome | None = None


class KeyTable:
    """Decides, for each key, whether it may start."""

    def __init__(self, limits: KeyTableLimits) -> None:
        self._limits = limits
        self._entries: dict[ScopedKey, _Entry] = {}
        self._refused_until_ms = -1.0
        self._stopping = False

    def __len__(self) -> int:
        return len(self._entries)

    def begin(
        self,
        identity: ScopedKey,
        digest: str,
        issued_ms: float | None,
        now_ms: float,
    ) -> Decision:
        """Decides on a key.

        Args:
            identity: The key.
            digest: Digest of what it is to do.
            issued_ms: When its ticket was issued; None without a ticket.
            now_ms: The time.
        """
        self._forget(now_ms)
        known = self.look_up(identity, digest)
        if known is not None:
            return known
        refusal = self._refusal(issued_ms, now_ms)
        if refusal is not None:
            return Decided(refusal, in_table=False)
        self._entries[identity] = _Entry(digest, now_ms + self._kept_ms)
        return Start()

    def look_up(self, identity: ScopedKey, digest: str) -> Decision | None:
        """Returns what is known of a key, or None."""
        entry = self._entries.get(identity)
        if entry is None:
            return None
        if entry.digest != digest:
            conflict = outcomes.NotRun(outcomes.Reason.KEY_CONFLICT, 0)
            return Decided(conflict, in_table=True)
        if entry.outcome is None:
            return Join()
        return Decided(entry.outcome, in_table=True)

    def record_outcome(
        self, identity: ScopedKey, outcome: outcomes.Outcome
    ) -> None:
        """Keeps the outcome of a key; it will never start again."""
        self._entries[identity].outcome = outcome

    def release(self, identity: ScopedKey) -> None:
        """Forgets a key that another process decides on."""
        del self._entries[identity]

    def refuse_new_keys(self) -> None:
        """Refuses every key that is not known yet, for good."""
        self._stopping = True

    @property
    def _kept_ms(self) -> int:
        return self._limits.ticket_life_ms + self._limits.retention_ms

    def _refusal(
        self, issued_ms: float | None, now_ms: float
    ) -> outcomes.NotRun | outcomes.Unknown | None:
        if issued_ms is not None and issued_ms > now_ms:
            return outcomes.Unknown(outcomes.Reason.FOREIGN_KEY)
        age_ms = 0.0 if issued_ms is None else now_ms - issued_ms
        if age_ms >= self._kept_ms:
            return outcomes.Unknown(outcomes.Reason.EXPIRED_KEY)
        if self._stopping:
            return outcomes.NotRun(
                outcomes.Reason.STOPPING, _STOPPING_RETRY_AFTER_MS
            )
        if age_ms > self._limits.ticket_life_ms:
            return outcomes.NotRun(outcomes.Reason.EXPIRED_KEY, 0)
        return self._refusal_for_room(issued_ms, now_ms)

    def _refusal_for_room(
        self, issued_ms: float | None, now_ms: float
    ) -> outcomes.NotRun | None:
        """Refuses without remembering the key.

        All tickets issued so far are refused from then on, so that a copy of
        the key that comes later can't start.
        """
        full = len(self._entries) >= self._limits.capacity
        if issued_ms is not None and full:
            self._refused_until_ms = now_ms
        burnt = issued_ms is not None and issued_ms <= self._refused_until_ms
        if not (full or burnt):
            return None
        return outcomes.NotRun(outcomes.Reason.KEYS_FULL, _FULL_RETRY_AFTER_MS)

    def _forget(self, now_ms: float) -> None:
        # Entries are in the order in which they may be forgotten.
        while self._entries:
            identity, entry = next(iter(self._entries.items()))
            if entry.outcome is None or entry.forget_ms > now_ms:
                return
            del self._entries[identity]
