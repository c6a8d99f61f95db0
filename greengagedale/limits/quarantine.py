"""Decides which requests crash upstreams and must not be sent again.

A fingerprint that is in flight at an upstream that dies becomes suspected.
Suspects are not blamed for that alone: many were in flight, and upstreams die
of other causes. A suspect is sent again only by itself, as a trial of one
sub-request. If the trial's upstream dies too, the fingerprint is quarantined;
if any attempt of it is answered, the fingerprint is cleared. One that was
answered lately is not suspected at all: what crashes upstreams is never
answered.
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
ANSWER_VALIDITY_MS = 300_000.0


class State(enum.StrEnum):
    """What is held of a fingerprint."""

    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"
    CLEARED = "cleared"


class Canary(enum.StrEnum):
    """When the first sub-request of a search goes ahead of the others."""

    ALWAYS = "always"
    AFTER_DEATHS = "after_deaths"
    SUSPECTED = "suspected"


class SendDecision(enum.Enum):
    """What may be done with an attempt now."""

    SEND = "send"
    WAIT = "wait"
    WAIT_FOR_TRIAL = "wait_for_trial"
    REFUSE = "refuse"


class Finding(NamedTuple):
    """A fact that other hosts should know.

    Attributes:
        fingerprint: What it is about.
        state: What became of it.
        deaths: Names of the upstreams that died with it in flight.
        left_ms: How long it holds.
    """

    fingerprint: str
    state: State
    crashed_upstreams: tuple[str, ...]
    left_ms: float


@dataclasses.dataclass(slots=True)
class _Suspect:
    state: State
    crashed_upstreams: set[str]
    until_ms: float


def fingerprint_of(member: str, kind: str, content: bytes) -> str:
    """Returns the fingerprint of a request; the caller's key is no part."""
    whole = b"\0".join((member.encode(), kind.encode(), content))
    return xxhash.xxh3_128_hexdigest(whole)


class Quarantine:
    """Fingerprints in flight, suspected and quarantined, on this host."""

    def __init__(self, canary: Canary) -> None:
        self._canary = canary
        self._flying: dict[str, dict[str, str]] = {}
        self._ahead: dict[str, str] = {}
        self._suspects: collections.OrderedDict[str, _Suspect] = (
            collections.OrderedDict()
        )
        self._proved: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._alert_until_ms = 0.0

    def state(self, fingerprint: str, now_ms: float) -> State | None:
        """Returns what is held of a fingerprint, or None."""
        held = self._held(fingerprint, now_ms)
        return held.state if held else None

    def left_ms(self, fingerprint: str, now_ms: float) -> float:
        """Returns how long a fingerprint stays suspected or quarantined."""
        held = self._held(fingerprint, now_ms)
        return held.until_ms - now_ms if held else 0.0

    def had_recent_crash(self, now_ms: float) -> bool:
        """Tells whether an upstream died lately, here or by news."""
        return now_ms < self._alert_until_ms

    def counts(self, now_ms: float) -> dict[State, int]:
        """Returns how many fingerprints are held in each state."""
        states = (self.state(name, now_ms) for name in list(self._suspects))
        return dict(collections.Counter(s for s in states if s))

    def check_attempt(
        self, fingerprint: str, attempt_id: str, now_ms: float
    ) -> SendDecision:
        """Decides on an attempt that is about to be sent."""
        held = self._held(fingerprint, now_ms)
        if held is not None and held.state is State.QUARANTINED:
            return SendDecision.REFUSE
        if held is None and not self._wants_canary(fingerprint, now_ms):
            return SendDecision.SEND
        if fingerprint not in self._ahead:
            self._ahead[fingerprint] = attempt_id
            return SendDecision.SEND
        return (
            SendDecision.WAIT if held is None else SendDecision.WAIT_FOR_TRIAL
        )

    def on_sent(self, fingerprint: str, upstream: str, attempt_id: str) -> None:
        """Takes in that an attempt goes to an upstream."""
        self._flying.setdefault(upstream, {})[attempt_id] = fingerprint

    def on_end(
        self,
        fingerprint: str,
        upstream: str,
        attempt_id: str,
        answered: bool,
        now_ms: float,
    ) -> Finding | None:
        """Takes in that an attempt ended, and clears a suspect it proves."""
        flying = self._flying.get(upstream, {})
        flying.pop(attempt_id, None)
        if not flying:
            self._flying.pop(upstream, None)
        if not answered:
            return None
        self._prove(fingerprint, now_ms)
        held = self._held(fingerprint, now_ms)
        if held is None or held.state is State.QUARANTINED:
            return None
        del self._suspects[fingerprint]
        return Finding(fingerprint, State.CLEARED, (), SUSPICION_MS)

    def on_done(self, fingerprint: str, attempt_id: str) -> None:
        """Takes in that an attempt is over, sent or not."""
        if self._ahead.get(fingerprint) == attempt_id:
            del self._ahead[fingerprint]

    def on_crash(self, upstream: str, now_ms: float) -> list[Finding]:
        """Takes in that an upstream's process died, and blames suspects."""
        self._alert_until_ms = now_ms + CRASH_ALERT_MS
        flying = self._flying.pop(upstream, {})
        names = sorted(
            name
            for name in set(flying.values())
            if not self._is_proved(name, now_ms)
        )
        trials = [
            name
            for attempt_id, name in flying.items()
            if self._ahead.get(name) == attempt_id
            and self._died_elsewhere(name, upstream, now_ms)
        ]
        guilty = trials[0] if len(trials) == 1 else None
        return [
            self._blame(name, upstream, name == guilty, now_ms)
            for name in names
        ]

    def merge(self, finding: Finding, now_ms: float) -> None:
        """Takes in what another host found."""
        self._alert_until_ms = max(
            self._alert_until_ms, now_ms + CRASH_ALERT_MS
        )
        held = self._held(finding.fingerprint, now_ms)
        if held is not None and held.state is State.QUARANTINED:
            return
        if finding.state is State.CLEARED:
            self._suspects.pop(finding.fingerprint, None)
            return
        deaths = set(finding.crashed_upstreams) | (
            held.crashed_upstreams if held else set()
        )
        self._hold(
            finding.fingerprint,
            _Suspect(finding.state, deaths, now_ms + finding.left_ms),
        )

    def _blame(
        self, fingerprint: str, upstream: str, guilty: bool, now_ms: float
    ) -> Finding:
        held = self._held(fingerprint, now_ms)
        deaths = held.crashed_upstreams | {upstream} if held else {upstream}
        known = held is not None and held.state is State.QUARANTINED
        state = State.QUARANTINED if guilty or known else State.SUSPECTED
        left_ms = QUARANTINE_MS if guilty or known else SUSPICION_MS
        self._hold(fingerprint, _Suspect(state, deaths, now_ms + left_ms))
        return Finding(fingerprint, state, tuple(sorted(deaths)), left_ms)

    def _died_elsewhere(
        self, fingerprint: str, upstream: str, now_ms: float
    ) -> bool:
        held = self._held(fingerprint, now_ms)
        return held is not None and bool(held.crashed_upstreams - {upstream})

    def _prove(self, fingerprint: str, now_ms: float) -> None:
        self._proved[fingerprint] = now_ms + ANSWER_VALIDITY_MS
        self._proved.move_to_end(fingerprint)
        if len(self._proved) > MAX_FINGERPRINTS:
            self._proved.popitem(last=False)

    def _is_proved(self, fingerprint: str, now_ms: float) -> bool:
        return self._proved.get(fingerprint, 0.0) > now_ms

    def _hold(self, fingerprint: str, suspect: _Suspect) -> None:
        self._suspects[fingerprint] = suspect
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > MAX_FINGERPRINTS:
            self._suspects.popitem(last=False)

    def _held(self, fingerprint: str, now_ms: float) -> _Suspect | None:
        held = self._suspects.get(fingerprint)
        if held is not None and held.until_ms <= now_ms:
            del self._suspects[fingerprint]
            return None
        return held

    def _wants_canary(self, fingerprint: str, now_ms: float) -> bool:
        if self._canary is Canary.SUSPECTED:
            return False
        if self._is_proved(fingerprint, now_ms):
            return False
        return self._canary is Canary.ALWAYS or self.had_recent_crash(now_ms)
