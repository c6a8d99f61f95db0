"""Detects requests that crash upstreams and must not be sent again.

A fingerprint in flight at an upstream that crashes becomes suspected. That
alone doesn't quarantine it: many requests were in flight, and upstreams crash
for other reasons. A suspected fingerprint is sent again only as a trial, with
a single sub-request in flight. If the upstream of the trial crashes too, the
fingerprint is quarantined; if any attempt of it is answered, it is cleared. A
fingerprint that was answered recently is not suspected at all, as a request
that crashes upstreams is never answered.
"""

import collections
import dataclasses
import enum
from typing import NamedTuple

import xxhash

SUSPICION_MS = 30_000.0
QUARANTINE_MS = 60_000.0
CRASH_ALERT_MS = 30_000.0
MAX_FINGERPRINTS = 4096
ANSWER_VALID_MS = 300_000.0


class State(enum.StrEnum):
    """State of a fingerprint."""

    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"
    CLEARED = "cleared"


class Canary(enum.StrEnum):
    """When one sub-request is sent as a canary ahead of the others.

    `ALWAYS` sends a canary unless the fingerprint was answered recently,
    `AFTER_DEATHS` does so only for a while after an upstream crashed, and
    `SUSPECTED` never: only suspected fingerprints have trials.
    """

    ALWAYS = "always"
    AFTER_DEATHS = "after_deaths"
    SUSPECTED = "suspected"


class SendDecision(enum.Enum):
    """Decision on an attempt that is about to be sent."""

    SEND = "send"
    WAIT = "wait"
    WAIT_FOR_TRIAL = "wait_for_trial"
    REFUSE = "refuse"


class Finding(NamedTuple):
    """A change of a fingerprint's state, to be announced to other hosts.

    Attributes:
        fingerprint: Fingerprint of the request.
        state: New state of the fingerprint.
        crashed_upstreams: Names of the upstreams that crashed while the
            fingerprint was in flight there.
        remaining_ms: Time until the state expires.
    """

    fingerprint: str
    state: State
    crashed_upstreams: tuple[str, ...]
    remaining_ms: float


@dataclasses.dataclass(slots=True)
class _Record:
    state: State
    crashed_upstreams: set[str]
    expires_ms: float


def fingerprint_of(member: str, kind: str, content: bytes) -> str:
    """Returns the fingerprint of a request, without its idempotency key."""
    content_with_scope = b"\0".join((member.encode(), kind.encode(), content))
    return xxhash.xxh3_128_hexdigest(content_with_scope)


class Quarantine:
    """Fingerprints in flight, suspected and quarantined on this host."""

    def __init__(self, canary: Canary) -> None:
        self._canary = canary
        self._in_flight: dict[str, dict[str, str]] = {}
        self._lead_attempts: dict[str, str] = {}
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )
        self._answered_until_ms: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._alert_until_ms = 0.0

    def state(self, fingerprint: str, now_ms: float) -> State | None:
        """Returns the state of a fingerprint, or None if it has none."""
        record = self._current_record(fingerprint, now_ms)
        return record.state if record else None

    def remaining_ms(self, fingerprint: str, now_ms: float) -> float:
        """Returns the time until the state of a fingerprint expires, or 0."""
        record = self._current_record(fingerprint, now_ms)
        return record.expires_ms - now_ms if record else 0.0

    def had_recent_crash(self, now_ms: float) -> bool:
        """Returns whether this or another host saw a crash recently."""
        return now_ms < self._alert_until_ms

    def counts(self, now_ms: float) -> dict[State, int]:
        """Returns the number of fingerprints in each state."""
        states = (self.state(name, now_ms) for name in list(self._records))
        return dict(collections.Counter(s for s in states if s))

    def check_attempt(
        self, fingerprint: str, attempt_id: str, now_ms: float
    ) -> SendDecision:
        """Decides whether an attempt may be sent now."""
        record = self._current_record(fingerprint, now_ms)
        if record is not None and record.state is State.QUARANTINED:
            return SendDecision.REFUSE
        if record is None and not self._needs_canary(fingerprint, now_ms):
            return SendDecision.SEND
        if fingerprint not in self._lead_attempts:
            self._lead_attempts[fingerprint] = attempt_id
            return SendDecision.SEND
        return (
            SendDecision.WAIT if record is None else SendDecision.WAIT_FOR_TRIAL
        )

    def on_sent(self, fingerprint: str, upstream: str, attempt_id: str) -> None:
        """Records that an attempt is sent to an upstream."""
        self._in_flight.setdefault(upstream, {})[attempt_id] = fingerprint

    def on_end(
        self,
        fingerprint: str,
        upstream: str,
        attempt_id: str,
        answered: bool,
        now_ms: float,
    ) -> Finding | None:
        """Records the end of an attempt; an answer clears a suspicion."""
        in_flight = self._in_flight.get(upstream, {})
        in_flight.pop(attempt_id, None)
        if not in_flight:
            self._in_flight.pop(upstream, None)
        if not answered:
            return None
        self._record_answer(fingerprint, now_ms)
        record = self._current_record(fingerprint, now_ms)
        if record is None or record.state is State.QUARANTINED:
            return None
        del self._records[fingerprint]
        return Finding(fingerprint, State.CLEARED, (), SUSPICION_MS)

    def on_done(self, fingerprint: str, attempt_id: str) -> None:
        """Records that an attempt is over, whether or not it was sent."""
        if self._lead_attempts.get(fingerprint) == attempt_id:
            del self._lead_attempts[fingerprint]

    def on_crash(self, upstream: str, now_ms: float) -> list[Finding]:
        """Records the crash of an upstream.

        Returns:
            The new states of the fingerprints that were in flight there.
        """
        self._alert_until_ms = now_ms + CRASH_ALERT_MS
        in_flight = self._in_flight.pop(upstream, {})
        fingerprints = sorted(
            name
            for name in set(in_flight.values())
            if not self._was_answered_recently(name, now_ms)
        )
        trials = [
            name
            for attempt_id, name in in_flight.items()
            if self._lead_attempts.get(name) == attempt_id
            and self._crashed_another_upstream(name, upstream, now_ms)
        ]
        confirmed = trials[0] if len(trials) == 1 else None
        return [
            self._record_crash(name, upstream, name == confirmed, now_ms)
            for name in fingerprints
        ]

    def merge(self, finding: Finding, now_ms: float) -> None:
        """Merges a finding of another host."""
        self._alert_until_ms = max(
            self._alert_until_ms, now_ms + CRASH_ALERT_MS
        )
        record = self._current_record(finding.fingerprint, now_ms)
        if record is not None and record.state is State.QUARANTINED:
            return
        if finding.state is State.CLEARED:
            self._records.pop(finding.fingerprint, None)
            return
        crashed_upstreams = set(finding.crashed_upstreams) | (
            record.crashed_upstreams if record else set()
        )
        self._store_record(
            finding.fingerprint,
            _Record(
                finding.state, crashed_upstreams, now_ms + finding.remaining_ms
            ),
        )

    def _record_crash(
        self, fingerprint: str, upstream: str, confirmed: bool, now_ms: float
    ) -> Finding:
        record = self._current_record(fingerprint, now_ms)
        crashed_upstreams = (
            record.crashed_upstreams | {upstream} if record else {upstream}
        )
        is_quarantined = (
            record is not None and record.state is State.QUARANTINED
        )
        state = (
            State.QUARANTINED
            if confirmed or is_quarantined
            else State.SUSPECTED
        )
        remaining_ms = (
            QUARANTINE_MS if confirmed or is_quarantined else SUSPICION_MS
        )
        self._store_record(
            fingerprint,
            _Record(state, crashed_upstreams, now_ms + remaining_ms),
        )
        return Finding(
            fingerprint, state, tuple(sorted(crashed_upstreams)), remaining_ms
        )

    def _crashed_another_upstream(
        self, fingerprint: str, upstream: str, now_ms: float
    ) -> bool:
        record = self._current_record(fingerprint, now_ms)
        return record is not None and bool(
            record.crashed_upstreams - {upstream}
        )

    def _record_answer(self, fingerprint: str, now_ms: float) -> None:
        self._answered_until_ms[fingerprint] = now_ms + ANSWER_VALID_MS
        self._answered_until_ms.move_to_end(fingerprint)
        if len(self._answered_until_ms) > MAX_FINGERPRINTS:
            self._answered_until_ms.popitem(last=False)

    def _was_answered_recently(self, fingerprint: str, now_ms: float) -> bool:
        return self._answered_until_ms.get(fingerprint, 0.0) > now_ms

    def _store_record(self, fingerprint: str, record: _Record) -> None:
        self._records[fingerprint] = record
        self._records.move_to_end(fingerprint)
        if len(self._records) > MAX_FINGERPRINTS:
            self._records.popitem(last=False)

    def _current_record(
        self, fingerprint: str, now_ms: float
    ) -> _Record | None:
        record = self._records.get(fingerprint)
        if record is not None and record.expires_ms <= now_ms:
            del self._records[fingerprint]
            return None
        return record

    def _needs_canary(self, fingerprint: str, now_ms: float) -> bool:
        if self._canary is Canary.SUSPECTED:
            return False
        if self._was_answered_recently(fingerprint, now_ms):
            return False
        return self._canary is Canary.ALWAYS or self.had_recent_crash(now_ms)
