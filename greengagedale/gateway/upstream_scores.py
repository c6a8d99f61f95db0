"""Scores of upstreams as observed by this host, and the choice among them."""

from collections.abc import Collection, Iterable
import random
from typing import NamedTuple

from greengagedale import clocks
from greengagedale import outcomes
from greengagedale.gateway import calls
from greengagedale.gateway import upstream_capacity as capacity_lib
from greengagedale.gateway import upstream_entries

# Weight of a new sample in the moving averages of an upstream.
_SMOOTHING_FACTOR = 0.3
# Half-life of an upstream's averages, so that a slow upstream is tried again.
# Stragglers on the platform last 4 to 9 s.
_HALF_LIFE_MS = 3000.0
# Upper bound of one sample, as a multiple of the typical latency.
_MAX_LATENCY_RATIO = 20.0
# Load reports older than this are ignored.
_MAX_LOAD_AGE_MS = 400.0
# Upstreams change their pace within some hundred milliseconds: half of what a
# report says of it is left after this time.
_PACE_HALF_LIFE_MS = 150.0
# Bounds of the factor by which a reported pace changes the expected latency.
_MIN_PACE_FACTOR = 0.5
_MAX_PACE_FACTOR = 5.0
# An upstream with all slots in use is expected to be slower by this fraction.
_UTILIZATION_PENALTY = 0.25
# Added round-trip latency of an attempt to another data centre.
_CROSS_DATA_CENTRE_MS = 3.0
# An upstream that failed is avoided for the minimum backoff, doubled with each
# consecutive failure up to the maximum.
_MIN_BACKOFF_MS = 150.0
_MAX_BACKOFF_MS = 2400.0
_BACKOFF_PENALTY_MS = 10_000.0
# Latency factor of an upstream in its cold start (platform: 1.6 for 3 s).
_COLD_FACTOR = 1.6
# An upstream that fails every attempt is ranked as if it took this many typical
# latencies longer. A refusal arrives quickly, but the next attempt is charged
# to the budget of extra attempts.
_FAILURE_PENALTY = 2.0
# An upstream is unresponsive if an attempt has been in flight for this long and
# no other was answered meanwhile: twice the longest pause of the platform's
# upstreams (250 ms).
UNRESPONSIVE_AFTER_MS = 500.0
# An unresponsive or unreachable upstream is treated as unresponsive until it
# answers, or for this long.
_UNRESPONSIVE_FOR_MS = 3000.0
# For this long after a queue was too long, queues are checked before searches
# are sent. Longer than load reports are used.
_RECENT_OVERLOAD_MS = 1000.0
# Upstreams whose ranks differ by no more than this fraction are treated as
# equal; one of them is chosen at random.
_TIE_TOLERANCE = 0.1
# With learned capacities, an upstream is chosen with a probability that falls
# with this power of its rank, so that hosts that learn the same at the same
# time neither leave an upstream nor return to it all at once.
_RANK_EXPONENT = 8.0
# How much more probable an upstream of the own data centre is then.
_LOCAL_PREFERENCE = 32.0


class UpstreamScore:
    """Score of one incarnation of an upstream as observed by this host.

    Attributes:
        cold_until_ms: End of the upstream's cold start.
        failures: Number of consecutive failures.
        backoff_until_ms: Time until which the upstream is avoided.
        last_answer_ms: Time at which the upstream last answered, or at which
            the score was made.
    """

    __slots__ = (
        "_failure_rate",
        "_in_flight",
        "_last_attempt_id",
        "_latency_ratio",
        "_load",
        "_load_ms",
        "_running_at_load",
        "_suspects",
        "_unresponsive_ms",
        "_updated_ms",
        "backoff_until_ms",
        "cold_until_ms",
        "failures",
        "last_answer_ms",
    )

    def __init__(
        self,
        cold_until_ms: float,
        now_ms: float,
        suspects: "set[UpstreamScore]",
    ) -> None:
        """Initializes the score of an upstream without attempts.

        Args:
            cold_until_ms: End of the upstream's cold start.
            now_ms: Current time.
            suspects: The scores that `is_silent` may be true for; the score
                adds itself to them.
        """
        self._suspects = suspects
        self._in_flight: dict[int, float] = {}
        self._last_attempt_id = 0
        self.failures = 0
        self.backoff_until_ms = float("-inf")
        self.cold_until_ms = cold_until_ms
        self._latency_ratio = 1.0
        self._failure_rate = 0.0
        self._updated_ms = now_ms
        self._load: calls.LoadReport | None = None
        self._load_ms = float("-inf")
        self._running_at_load = 0
        self._unresponsive_ms = float("-inf")
        self.last_answer_ms = now_ms

    @property
    def running(self) -> int:
        """Number of attempts of this host that are in flight."""
        return len(self._in_flight)

    def start_attempt(self, now_ms: float) -> int:
        """Records that an attempt is sent; returns its id."""
        self._suspects.add(self)
        self._last_attempt_id += 1
        self._in_flight[self._last_attempt_id] = now_ms
        return self._last_attempt_id

    def end_attempt(self, attempt_id: int) -> None:
        """Records that an attempt has ended."""
        self._in_flight.pop(attempt_id, None)

    def latency_ratio(self, now_ms: float) -> float:
        """Returns the latency as a multiple of the typical latency."""
        return (1.0 + self._excess_ratio(now_ms)) * self.cold_factor(now_ms)

    def cold_factor(self, now_ms: float) -> float:
        """Returns the latency factor of the upstream's cold start."""
        return _COLD_FACTOR if now_ms < self.cold_until_ms else 1.0

    def failure_rate(self, now_ms: float) -> float:
        """Returns the recent fraction of failed attempts, 0 to 1."""
        return self._failure_rate * self._decay(now_ms)

    def queue_size(self, now_ms: float, load_trust: float = 1.0) -> float:
        """Returns the estimated number of running and queued requests.

        Args:
            now_ms: Current time.
            load_trust: How far the load report is believed, 0 to 1.
        """
        load = self._load
        if load is None or now_ms - self._load_ms > _MAX_LOAD_AGE_MS:
            return float(self.running)
        others = max(0, load.running + load.waiting - self._running_at_load)
        return self.running + load_trust * others

    def pace_factor(self, now_ms: float) -> float:
        """Returns how much longer work takes now than usual, as reported."""
        load = self._load
        age_ms = now_ms - self._load_ms
        if (
            load is None
            or load.pace_percent is None
            or age_ms > _MAX_LOAD_AGE_MS
        ):
            return 1.0
        deviation = load.pace_percent / 100.0 - 1.0
        factor = 1.0 + deviation * 0.5 ** (age_ms / _PACE_HALF_LIFE_MS)
        return min(_MAX_PACE_FACTOR, max(_MIN_PACE_FACTOR, factor))

    def record_latency(self, ratio: float, now_ms: float) -> None:
        """Records an answer's latency as a multiple of the typical one."""
        self._record_sample(ratio, now_ms)
        self._failure_rate *= 1.0 - _SMOOTHING_FACTOR
        self.failures = 0
        self.record_answer(now_ms)

    def record_abandoned(
        self, age_ms: float, typical_ms: float, now_ms: float
    ) -> None:
        """Records that an attempt was abandoned at an age."""
        if age_ms > typical_ms:
            self._record_sample(age_ms / typical_ms, now_ms)
        if self._is_unanswered_for(age_ms, now_ms):
            self.record_unresponsive(now_ms)

    def record_answer(self, now_ms: float) -> None:
        """Records that the upstream has answered, whatever the answer."""
        self.last_answer_ms = now_ms
        self._unresponsive_ms = float("-inf")

    def record_unresponsive(self, now_ms: float) -> None:
        """Records that the upstream does not answer or is unreachable."""
        self._suspects.add(self)
        self._unresponsive_ms = now_ms

    def is_unresponsive(self, now_ms: float) -> bool:
        """Returns whether the upstream has stopped answering."""
        return (
            now_ms - self._unresponsive_ms < _UNRESPONSIVE_FOR_MS
            or self._is_unanswered_for(self.oldest_attempt_ms(now_ms), now_ms)
        )

    def is_silent(
        self, silence_ms: float, since_ms: float, now_ms: float
    ) -> bool:
        """Returns whether an attempt has had no sign of life for a time.

        Args:
            silence_ms: The time.
            since_ms: Earliest end of attempts without a sign that count too.
            now_ms: Current time.
        """
        age_ms = self.oldest_attempt_ms(now_ms)
        is_waiting = min(age_ms, now_ms - self.last_answer_ms) >= silence_ms
        return is_waiting or self._unresponsive_ms > since_ms

    def may_become_silent(self, since_ms: float) -> bool:
        """Returns whether `is_silent` may be true without a new attempt."""
        return bool(self._in_flight) or self._unresponsive_ms > since_ms

    def forget_unresponsive(self) -> None:
        """Discards that the upstream did not respond."""
        self._unresponsive_ms = float("-inf")
        self.failures = 0
        self.backoff_until_ms = float("-inf")

    def _is_unanswered_for(self, age_ms: float, now_ms: float) -> bool:
        """Returns whether an attempt of an age shows unresponsiveness."""
        return (
            min(age_ms, now_ms - self.last_answer_ms) >= UNRESPONSIVE_AFTER_MS
        )

    def _record_sample(self, ratio: float, now_ms: float) -> None:
        sample = min(_MAX_LATENCY_RATIO, ratio)
        current = self.latency_ratio(now_ms)
        if now_ms < self.cold_until_ms:
            current /= _COLD_FACTOR
        self._latency_ratio = current + _SMOOTHING_FACTOR * (sample - current)
        self._failure_rate = self.failure_rate(now_ms)
        self._updated_ms = now_ms

    def record_load(self, load: calls.LoadReport, now_ms: float) -> None:
        """Records the upstream's load report."""
        self._load = load
        self._load_ms = now_ms
        self._running_at_load = self.running

    def record_failure(self, now_ms: float) -> None:
        """Records that an attempt failed and the upstream is to blame."""
        self._latency_ratio = 1.0 + self._excess_ratio(now_ms)
        failure_rate = self.failure_rate(now_ms)
        self._failure_rate = failure_rate + _SMOOTHING_FACTOR * (
            1.0 - failure_rate
        )
        self._updated_ms = now_ms
        self.failures += 1
        backoff_ms = _MIN_BACKOFF_MS * 2 ** min(self.failures - 1, 8)
        self.backoff_until_ms = now_ms + min(_MAX_BACKOFF_MS, backoff_ms)

    def _excess_ratio(self, now_ms: float) -> float:
        return (self._latency_ratio - 1.0) * self._decay(now_ms)

    def _decay(self, now_ms: float) -> float:
        """Returns the decay factor of the averages by now, 0 to 1."""
        age = max(0.0, now_ms - self._updated_ms) / _HALF_LIFE_MS
        return 0.5**age

    def oldest_attempt_ms(self, now_ms: float) -> float:
        """Returns the age of the oldest attempt in flight, or 0."""
        return now_ms - min(self._in_flight.values(), default=now_ms)


class UpstreamChoice(NamedTuple):
    """The upstream that is likely to answer first.

    Attributes:
        upstream: The upstream.
        queue_latency_ms: Expected latency of an attempt there with its current
            queue, if it is otherwise as fast as the others.
        queue_wait_ms: The part of it that is spent waiting in the queue.
    """

    upstream: upstream_entries.Upstream
    queue_latency_ms: float
    queue_wait_ms: float = 0.0


class UpstreamScores:
    """The scores of all upstreams.

    Attributes:
        capacities: What upstreams take well.
        last_contact_ms: Time at which any upstream gave a sign of life.
    """

    def __init__(
        self,
        data_centre: str,
        clock: clocks.Clock,
        rng: random.Random,
        capacities: capacity_lib.Capacities | None = None,
    ) -> None:
        """Initializes empty scores.

        Args:
            data_centre: Data centre of this host.
            clock: Clock of the process.
            rng: Random generator for the choice.
            capacities: What upstreams take well; None without learning.
        """
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self.capacities = (
            capacity_lib.Capacities.inactive(clock)
            if capacities is None
            else capacities
        )
        self._scores: dict[tuple[str, int], UpstreamScore] = {}
        self._suspects: set[UpstreamScore] = set()
        self._last_overload_ms = float("-inf")
        self.last_contact_ms = clock.now_ms()

    def get(self, upstream: upstream_entries.Upstream) -> UpstreamScore:
        """Returns the score of an upstream's current incarnation."""
        score = self._scores.get(upstream.incarnation)
        if score is None:
            now_ms = self._clock.now_ms()
            score = UpstreamScore(
                now_ms + upstream.warm_up_ms, now_ms, self._suspects
            )
            self._scores[upstream.incarnation] = score
        return score

    def retain_only(self, incarnations: Collection[tuple[str, int]]) -> None:
        """Discards the scores of other incarnations without attempts."""
        self._scores = {
            incarnation: score
            for incarnation, score in self._scores.items()
            if incarnation in incarnations or score.running
        }
        self._suspects.intersection_update(self._scores.values())

    def record_contact(self, now_ms: float) -> None:
        """Records that some upstream has given a sign of life."""
        self.last_contact_ms = now_ms

    def last_answer_ms(self, upstream: upstream_entries.Upstream) -> float:
        """Returns when an upstream last answered; -inf if it never did."""
        score = self._scores.get(upstream.incarnation)
        return float("-inf") if score is None else score.last_answer_ms

    def silent_count(self, silence_ms: float) -> int:
        """Returns how many upstreams have given no sign of life for a time.

        Those without attempts count only if attempts to them ended without a
        sign since any upstream last gave one.
        """
        now_ms = self._clock.now_ms()
        since_ms = self.last_contact_ms
        self._suspects.difference_update(
            [
                score
                for score in self._suspects
                if not score.may_become_silent(since_ms)
            ]
        )
        return sum(
            score.is_silent(silence_ms, since_ms, now_ms)
            for score in self._suspects
        )

    def forget_unresponsive(self) -> None:
        """Discards which upstreams did not respond while none could."""
        for score in self._scores.values():
            score.forget_unresponsive()

    def record_queue_overload(self, now_ms: float) -> None:
        """Records that a queue was too long for an attempt."""
        self._last_overload_ms = now_ms

    def was_overloaded_recently(self, now_ms: float) -> bool:
        """Returns whether any queue was too long recently."""
        return now_ms - self._last_overload_ms < _RECENT_OVERLOAD_MS

    def is_down(self, upstreams: Iterable[upstream_entries.Upstream]) -> bool:
        """Returns whether all of these upstreams are unresponsive."""
        now_ms = self._clock.now_ms()
        return all(self.get(each).is_unresponsive(now_ms) for each in upstreams)

    def choose(
        self,
        upstreams: Iterable[upstream_entries.Upstream],
        typical_ms: float,
        avoid: Collection[str] = (),
    ) -> UpstreamChoice | None:
        """Chooses the upstream that is likely to answer first.

        Args:
            upstreams: Upstreams to choose among.
            typical_ms: Typical latency of such an attempt.
            avoid: Names of upstreams to exclude.
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
        if self.capacities.is_active:
            chosen = self._choose_weighted(scored, best_ms)
        else:
            chosen = self._choose_tied(scored, best_ms)
        queue_factor = self._queue_factor(chosen, now_ms)
        return UpstreamChoice(
            chosen, typical_ms * queue_factor, typical_ms * (queue_factor - 1.0)
        )

    def _choose_weighted(
        self,
        scored: list[tuple[float, upstream_entries.Upstream]],
        best_ms: float,
    ) -> upstream_entries.Upstream:
        """Chooses an upstream with a probability by rank and data centre."""
        now_ms = self._clock.now_ms()
        weights = [
            (best_ms / rank_ms) ** _RANK_EXPONENT
            * self._estimate(upstream, now_ms).share
            * (
                _LOCAL_PREFERENCE
                if upstream.data_centre == self._data_centre
                else 1.0
            )
            for rank_ms, upstream in scored
        ]
        return self._rng.choices(scored, weights)[0][1]

    def _choose_tied(
        self,
        scored: list[tuple[float, upstream_entries.Upstream]],
        best_ms: float,
    ) -> upstream_entries.Upstream:
        """Chooses one of the upstreams that are about as good as the best."""
        tied = [
            upstream
            for rank_ms, upstream in scored
            if rank_ms <= best_ms * (1.0 + _TIE_TOLERANCE)
        ]
        # Traffic between data centres is charged, so local ones are preferred.
        local = [
            upstream
            for upstream in tied
            if upstream.data_centre == self._data_centre
        ]
        return self._rng.choice(local or tied)

    def _rank_ms(
        self,
        upstream: upstream_entries.Upstream,
        typical_ms: float,
        now_ms: float,
    ) -> float:
        """Returns the expected latency plus penalties, for ranking."""
        score = self.get(upstream)
        rank_ms = self._expected_ms(upstream, typical_ms, now_ms)
        rank_ms += _FAILURE_PENALTY * score.failure_rate(now_ms) * typical_ms
        # An overdue attempt is a sign that the upstream is stalled.
        overdue_ms = score.oldest_attempt_ms(now_ms) - 2.0 * typical_ms
        rank_ms += max(0.0, overdue_ms)
        if now_ms < score.backoff_until_ms:
            rank_ms += _BACKOFF_PENALTY_MS * score.failures
        return rank_ms

    def _queue_factor(
        self, upstream: upstream_entries.Upstream, now_ms: float
    ) -> float:
        """Returns how many request durations an attempt would take there."""
        estimate = self._estimate(upstream, now_ms)
        queue_size = self.get(upstream).queue_size(now_ms, estimate.load_trust)
        waiting = max(0.0, queue_size + 1.0 - estimate.capacity)
        return 1.0 + waiting / estimate.capacity

    def _estimate(
        self, upstream: upstream_entries.Upstream, now_ms: float
    ) -> capacity_lib.Estimate:
        """Returns what is learned of an upstream, or its slots."""
        learned = self.capacities.find(upstream)
        if learned is None:
            return capacity_lib.Estimate(0.0, upstream.slots, 1.0, 1.0)
        return learned.estimate(now_ms)

    def _expected_ms(
        self,
        upstream: upstream_entries.Upstream,
        typical_ms: float,
        now_ms: float,
    ) -> float:
        score = self.get(upstream)
        estimate = self._estimate(upstream, now_ms)
        queue_size = score.queue_size(now_ms, estimate.load_trust)
        queue_factor = self._queue_factor(upstream, now_ms)
        utilization_factor = 1.0 + _UTILIZATION_PENALTY * min(
            1.0, queue_size / estimate.capacity
        )
        latency_ratio = (
            (1.0 + estimate.excess) * score.cold_factor(now_ms)
            if self.capacities.is_active
            else score.latency_ratio(now_ms)
        )
        expected_ms = (
            typical_ms
            * latency_ratio
            * queue_factor
            * utilization_factor
            * score.pace_factor(now_ms)
        )
        if upstream.data_centre != self._data_centre:
            expected_ms += _CROSS_DATA_CENTRE_MS
        return expected_ms


def is_upstream_failure(failure: outcomes.AttemptFailure) -> bool:
    """Returns whether the upstream is to blame for a failed attempt."""
    return failure.reason in (
        outcomes.Reason.CONNECT_FAILED,
        outcomes.Reason.REPLY_LOST,
        outcomes.Reason.NO_PROGRESS,
        outcomes.Reason.NO_REPLICA,
        outcomes.Reason.OVERLOADED,
    )


def is_unresponsive_failure(failure: outcomes.AttemptFailure) -> bool:
    """Returns whether an attempt ended without any sign of the upstream."""
    return failure.reason in (
        outcomes.Reason.CONNECT_FAILED,
        outcomes.Reason.NO_PROGRESS,
    )
