"""How each upstream is doing, as seen from this host, and which to choose."""

from collections.abc import Collection, Iterable
import random
from typing import NamedTuple

from greengagedale import clocks
from greengagedale import outcomes
from greengagedale.gateway import calls
from greengagedale.gateway import upstream_entries

# Weight of a new sample in the running mean of an upstream's slowness.
_SMOOTHING = 0.3
# A slow upstream's mean falls back by half in this time, so that it is tried
# again; stragglers of the platform last 4 to 9 s.
_HALF_LIFE_MS = 3000.0
# Bounds of one sample, in multiples of the usual latency.
_MOST_SLOWNESS = 20.0
# What an upstream says of its load is used no longer than this.
_LOAD_AGE_MS = 400.0
# Upstreams that are nearly full take up to so much longer.
_CROWD_SHARE = 0.25
# How much longer an attempt to another data centre takes, both ways.
_CROSSING_MS = 3.0
# An upstream that failed is avoided for this long, doubled for each failure
# in a row up to the longest pause.
_FIRST_PAUSE_MS = 150.0
_LONGEST_PAUSE_MS = 2400.0
_PAUSE_PENALTY_MS = 10_000.0
# A cold upstream takes about so much longer (platform: 1.6 for 3 s).
_COLD_FACTOR = 1.6
# An upstream that fails all it gets is as bad as one that takes so many times
# the usual latency longer: a refusal is soon known, but the next attempt is
# paid from the budget.
_FAILING_FACTOR = 2.0
# An upstream that has had an attempt for so long, and has answered no other one
# meanwhile, has fallen silent: twice the longest pause of the platform's
# upstreams (250 ms).
UNRESPONSIVE_AFTER_MS = 500.0
# An upstream that fell silent, or could not be reached, is held for silent
# until it answers, or for this long.
_SILENCE_HOLD_MS = 3000.0
# Queues that were too long lately may still be; longer than what upstreams say
# of their load is used.
_FLOOD_MS = 1000.0
# Scores this close are equal; one of them is drawn.
_TIE_SHARE = 0.1


class UpstreamScore:
    """One life of an upstream as this host sees it."""

    __slots__ = (
        "_as_of_ms",
        "_heard_ms",
        "_load",
        "_load_ms",
        "_own_at_load",
        "_sent",
        "_sent_ms",
        "_silent_ms",
        "_slowness",
        "_troubled",
        "cold_until_ms",
        "failures",
        "paused_until_ms",
    )

    def __init__(self, cold_until_ms: float, now_ms: float) -> None:
        self._sent_ms: dict[int, float] = {}
        self._sent = 0
        self.failures = 0
        self.paused_until_ms = float("-inf")
        self.cold_until_ms = cold_until_ms
        self._slowness = 1.0
        self._troubled = 0.0
        self._as_of_ms = now_ms
        self._load: calls.Load | None = None
        self._load_ms = float("-inf")
        self._own_at_load = 0
        self._silent_ms = float("-inf")
        self._heard_ms = now_ms

    @property
    def running(self) -> int:
        """Attempts of this host that have no end yet."""
        return len(self._sent_ms)

    def begin(self, now_ms: float) -> int:
        """Takes in that an attempt is sent; returns what names it."""
        self._sent += 1
        self._sent_ms[self._sent] = now_ms
        return self._sent

    def end(self, sent: int) -> None:
        """Takes in that an attempt has ended."""
        self._sent_ms.pop(sent, None)

    def slowness(self, now_ms: float) -> float:
        """Returns how slow it is, in multiples of the usual latency."""
        value = 1.0 + self._slowness_share(now_ms)
        return value * _COLD_FACTOR if now_ms < self.cold_until_ms else value

    def troubled(self, now_ms: float) -> float:
        """Returns the share of attempts that fail lately, 0 to 1."""
        return self._troubled * self._fading(now_ms)

    def queue(self, now_ms: float) -> float:
        """Returns how many requests it runs or holds, as far as is known."""
        load = self._load
        if load is None or now_ms - self._load_ms > _LOAD_AGE_MS:
            return float(self.running)
        others = max(0, load.running + load.waiting - self._own_at_load)
        return float(self.running + others)

    def note_latency(self, ratio: float, now_ms: float) -> None:
        """Takes in an answer's latency over the usual one."""
        self._note_sample(ratio, now_ms)
        self._troubled *= 1.0 - _SMOOTHING
        self.failures = 0
        self.note_heard(now_ms)

    def note_unanswered(
        self, age_ms: float, typical_ms: float, now_ms: float
    ) -> None:
        """Takes in that an attempt of an age was given up."""
        if age_ms > typical_ms:
            self._note_sample(age_ms / typical_ms, now_ms)
        if self._has_answered_none_since(age_ms, now_ms):
            self.note_silence(now_ms)

    def note_heard(self, now_ms: float) -> None:
        """Takes in that it has answered, whatever the answer was."""
        self._heard_ms = now_ms
        self._silent_ms = float("-inf")

    def note_silence(self, now_ms: float) -> None:
        """Takes in that it does not answer, or can't be reached."""
        self._silent_ms = now_ms

    def is_silent(self, now_ms: float) -> bool:
        """Tells whether it has stopped to answer."""
        return (
            now_ms - self._silent_ms < _SILENCE_HOLD_MS
            or self._has_answered_none_since(self.oldest_ms(now_ms), now_ms)
        )

    def _has_answered_none_since(self, age_ms: float, now_ms: float) -> bool:
        """Tells whether an attempt of an age shows that it is silent."""
        return min(age_ms, now_ms - self._heard_ms) >= UNRESPONSIVE_AFTER_MS

    def _note_sample(self, ratio: float, now_ms: float) -> None:
        sample = min(_MOST_SLOWNESS, ratio)
        held = self.slowness(now_ms)
        if now_ms < self.cold_until_ms:
            held /= _COLD_FACTOR
        self._slowness = held + _SMOOTHING * (sample - held)
        self._troubled = self.troubled(now_ms)
        self._as_of_ms = now_ms

    def record_load(self, load: calls.Load, now_ms: float) -> None:
        """Takes in what the upstream says of its load."""
        self._load = load
        self._load_ms = now_ms
        self._own_at_load = self.running

    def note_failure(self, now_ms: float) -> None:
        """Takes in that an attempt failed for a reason of the upstream's."""
        self._slowness = 1.0 + self._slowness_share(now_ms)
        troubled = self.troubled(now_ms)
        self._troubled = troubled + _SMOOTHING * (1.0 - troubled)
        self._as_of_ms = now_ms
        self.failures += 1
        pause_ms = _FIRST_PAUSE_MS * 2 ** min(self.failures - 1, 8)
        self.paused_until_ms = now_ms + min(_LONGEST_PAUSE_MS, pause_ms)

    def _slowness_share(self, now_ms: float) -> float:
        return (self._slowness - 1.0) * self._fading(now_ms)

    def _fading(self, now_ms: float) -> float:
        """Returns what is left by now of what was seen last, 0 to 1."""
        age = max(0.0, now_ms - self._as_of_ms) / _HALF_LIFE_MS
        return 0.5**age

    def oldest_ms(self, now_ms: float) -> float:
        """Returns the age of the oldest attempt without an end."""
        return now_ms - min(self._sent_ms.values(), default=now_ms)


class UpstreamChoice(NamedTuple):
    """The upstream that is likely to answer first.

    Attributes:
        upstream: The upstream.
        queued_ms: How long an attempt would take there by its queue alone,
            if it is as fast as others.
    """

    upstream: upstream_entries.Upstream
    queue_latency_ms: float


class UpstreamScores:
    """The scores of all upstreams."""

    def __init__(
        self, data_centre: str, clock: clocks.Clock, rng: random.Random
    ) -> None:
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._scores: dict[tuple[str, int], UpstreamScore] = {}
        self._flooded_ms = float("-inf")

    def get(self, upstream: upstream_entries.Upstream) -> UpstreamScore:
        """Returns the score of an upstream's present life."""
        score = self._scores.get(upstream.incarnation)
        if score is None:
            now_ms = self._clock.now_ms()
            score = UpstreamScore(now_ms + upstream.warm_up_ms, now_ms)
            self._scores[upstream.incarnation] = score
        return score

    def retain_only(self, lives: Collection[tuple[str, int]]) -> None:
        """Drops the scores of all lives but these and those in use."""
        self._scores = {
            incarnation: score
            for incarnation, score in self._scores.items()
            if incarnation in lives or score.running
        }

    def record_queue_overload(self, now_ms: float) -> None:
        """Takes in that a queue was too long for an attempt."""
        self._flooded_ms = now_ms

    def may_be_flooded(self, now_ms: float) -> bool:
        """Tells whether any queue was too long lately."""
        return now_ms - self._flooded_ms < _FLOOD_MS

    def is_down(self, upstreams: Iterable[upstream_entries.Upstream]) -> bool:
        """Tells whether none of these upstreams answers."""
        now_ms = self._clock.now_ms()
        return all(self.get(each).is_silent(now_ms) for each in upstreams)

    def choose(
        self,
        upstreams: Iterable[upstream_entries.Upstream],
        typical_ms: float,
        avoid: Collection[str] = (),
    ) -> UpstreamChoice | None:
        """Chooses the upstream that is likely to answer first.

        Args:
            upstreams: To choose among.
            typical_ms: Usual latency of such an attempt.
            avoid: Names that are left out.
        """
        now_ms = self._clock.now_ms()
        scored = [
            (self._rank_ms(upstream, typical_ms, now_ms), upstream)
            for upstream in upstreams
            if upstream.name not in avoid
        ]
        if not scored:
            return None
        best_ms = min(rank_ms for rank_ms, _ in scored)
        near = [
            upstream
            for rank_ms, upstream in scored
            if rank_ms <= best_ms * (1.0 + _TIE_SHARE)
        ]
        # Bytes between data centres are priced, so equal ones nearby go first.
        local = [
            upstream
            for upstream in near
            if upstream.data_centre == self._data_centre
        ]
        chosen = self._rng.choice(local or near)
        return UpstreamChoice(chosen, typical_ms * self._rounds(chosen, now_ms))

    def _rank_ms(
        self,
        upstream: upstream_entries.Upstream,
        typical_ms: float,
        now_ms: float,
    ) -> float:
        """Returns the expected latency with what speaks against it besides."""
        score = self.get(upstream)
        rank_ms = self._expected_ms(upstream, typical_ms, now_ms)
        rank_ms += _FAILING_FACTOR * score.troubled(now_ms) * typical_ms
        # An attempt that is overdue shows that the upstream stands still.
        overdue_ms = score.oldest_ms(now_ms) - 2.0 * typical_ms
        rank_ms += max(0.0, overdue_ms)
        if now_ms < score.paused_until_ms:
            rank_ms += _PAUSE_PENALTY_MS * score.failures
        return rank_ms

    def _rounds(
        self, upstream: upstream_entries.Upstream, now_ms: float
    ) -> float:
        """Returns how many requests long an attempt would take there."""
        queue = self.get(upstream).queue(now_ms)
        waiting = max(0.0, queue + 1.0 - upstream.slots)
        return 1.0 + waiting / upstream.slots

    def _expected_ms(
        self,
        upstream: upstream_entries.Upstream,
        typical_ms: float,
        now_ms: float,
    ) -> float:
        score = self.get(upstream)
        queue = score.queue(now_ms)
        rounds = self._rounds(upstream, now_ms)
        crowd = 1.0 + _CROWD_SHARE * min(1.0, queue / upstream.slots)
        expected_ms = typical_ms * score.slowness(now_ms) * rounds * crowd
        if upstream.data_centre != self._data_centre:
            expected_ms += _CROSSING_MS
        return expected_ms


def is_upstreams_fault(end: outcomes.AttemptFailure) -> bool:
    """Tells whether an attempt's end speaks against its upstream."""
    return end.reason in (
        outcomes.Reason.CONNECT_FAILED,
        outcomes.Reason.REPLY_LOST,
        outcomes.Reason.NO_PROGRESS,
        outcomes.Reason.NO_REPLICA,
        outcomes.Reason.OVERLOADED,
    )


def is_silence(end: outcomes.AttemptFailure) -> bool:
    """Tells whether an attempt's end shows nothing of a living upstream."""
    return end.reason in (
        outcomes.Reason.CONNECT_FAILED,
        outcomes.Reason.NO_PROGRESS,
    )
