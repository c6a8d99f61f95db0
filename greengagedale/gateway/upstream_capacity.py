"""How much each upstream takes well, learned from its answers and from peers.

An answer is compared with the typical latency of its route. The excess over
it, and the load at which it was seen, are evidence about one incarnation of an
upstream. Where a host sees too little of each upstream alone, hosts share
clear evidence. Each observation keeps its origin, its number and its
age, so that passing it on never renews it.
"""

from collections.abc import Collection, Iterable
import itertools
import logging
import math
from typing import NamedTuple, Self

from greengagedale import clocks
from greengagedale.gateway import metrics as metrics_lib
from greengagedale.gateway import upstream_entries

log = logging.getLogger(__name__)

# Half-life of an observation's weight. Slow phases of upstreams last seconds.
HALF_LIFE_MS = 1500.0
# Observations older than this are dropped; their weight is below 3% then.
MAX_AGE_MS = 8000.0
# Weight of the assumption that an upstream is as fast as the others.
PRIOR_WEIGHT = 0.25
# Weight of a new answer in a host's own evidence about an upstream.
_SMOOTHING_FACTOR = 0.5
# Upper bound of an excess, as a multiple of the typical latency.
_MAX_EXCESS = 20.0
# An excess from which on an upstream counts as clearly slow, which is shared
# with others. Short disturbances that more than double latencies stay below it.
CLEAR_EXCESS = 3.0
# Mean excess from which on an upstream is logged as slow.
_SLOW_EXCESS = 1.5
# Own evidence below this excess contradicts that an upstream is slow.
_NORMAL_EXCESS = 0.5
# Weight of evidence of slowness that is older than a normal answer: an upstream
# that is slow as a whole gives none, while one that paused does at once.
_REFUTED_WEIGHT = 0.25
# Clear evidence of slowness cuts the share of its usual work that an upstream
# keeps, at most once in the interval, down to the least share. The share grows
# linearly once the evidence has expired or a normal answer refutes it, so that
# hosts that learn the same at once return over seconds.
_CUT_INTERVAL_MS = 500.0
_MIN_SHARE = 0.02
_SHARE_RECOVERY_MS = 4000.0
# Observations of peers that an upstream is slow count only once two of them are
# at least this far apart; upstreams pause for up to 250 ms.
CONFIRMED_AFTER_MS = 250.0
# Observations are shared with peers until they are this old; by then they have
# reached all of a fleet of hundreds.
SHARE_FOR_MS = 3000.0
# Time for which an estimate is used again; a search asks for many at once.
_ESTIMATE_VALID_MS = 20.0
# Observations of peers are remembered for this long, so that a copy that comes
# late is not taken for a new one.
_RETENTION_MS = 2.0 * MAX_AGE_MS
# Observations kept of one upstream, each of another origin.
_MAX_ORIGINS = 8
# Observations sent in one message, of one upstream and in all.
_MAX_SHARED_EACH = 2
MAX_SHARED = 32
# Time between two log lines about one upstream.
_LOG_INTERVAL_MS = 1000.0
_PERCENT = 100.0

# Half-life of the evidence about latencies by load, and the evidence needed
# before a level counts.
_CURVE_HALF_LIFE_MS = 10_000.0
_MIN_LEVEL_WEIGHT = 2.0
# An upstream takes a load well if answers at that load take at most this many
# times as long as at the loads below it.
_MAX_SLOWDOWN_BY_LOAD = 1.6
# A reported load that predicts at least this queue factor is checked against
# the latency of the answer.
_MIN_CHECKED_FACTOR = 1.5


class Observation(NamedTuple):
    """Clear evidence of one host about one incarnation of an upstream.

    Attributes:
        name: Name of the upstream.
        born_ms: Start time of its incarnation.
        origin: Name of the host that saw it.
        number: Increases with each observation of the origin.
        excess_percent: Latency beyond the typical one, in percent of it.
        capacity: Requests at once that the upstream takes well; 0 if unknown.
        age_ms: Time since it was seen.
    """

    name: str
    born_ms: int
    origin: str
    number: int
    excess_percent: int
    capacity: int
    age_ms: int

    @property
    def is_plausible(self) -> bool:
        """Whether all numbers are within their bounds."""
        return (
            0 <= self.excess_percent <= _MAX_EXCESS * _PERCENT
            and 0 <= self.age_ms <= MAX_AGE_MS
            and self.capacity >= 0
        )


class Estimate(NamedTuple):
    """What to expect of an upstream.

    Attributes:
        excess: Latency beyond the typical one, as a multiple of it.
        capacity: Requests at once that it takes well, at least 1.
        share: Share of its usual work to send to it.
        load_trust: How far its load reports are believed, 0 to 1.
    """

    excess: float
    capacity: int
    share: float
    load_trust: float


class _Evidence(NamedTuple):
    number: int
    excess: float
    capacity: int
    seen_ms: float

    @property
    def is_slow(self) -> bool:
        """Whether the upstream was clearly slow."""
        return self.excess >= CLEAR_EXCESS

    def weight(self, now_ms: float) -> float:
        """Returns the weight by age, 0 to 1."""
        age_ms = max(0.0, now_ms - self.seen_ms)
        return 0.0 if age_ms > MAX_AGE_MS else 0.5 ** (age_ms / HALF_LIFE_MS)


class LoadCurve:
    """Latencies of one upstream by its load, and where they begin to rise."""

    def __init__(self, slots: int) -> None:
        """Initializes an empty curve for an upstream with so many slots."""
        self._slots = slots
        self._weights = [0.0] * (slots + 1)
        self._sums = [0.0] * (slots + 1)
        self._updated_ms = float("-inf")

    def record(self, level: int, ratio: float, now_ms: float) -> None:
        """Records an answer's latency ratio at a number of requests."""
        age_ms = max(0.0, now_ms - self._updated_ms)
        decay = 0.5 ** (age_ms / _CURVE_HALF_LIFE_MS)
        self._weights = [weight * decay for weight in self._weights]
        self._sums = [total * decay for total in self._sums]
        self._updated_ms = now_ms
        level = min(self._slots, max(1, level))
        self._weights[level] += 1.0
        self._sums[level] += ratio

    def capacity(self) -> int:
        """Returns the requests at once that the upstream takes well."""
        below_weight = below_sum = 0.0
        for level in range(1, self._slots + 1):
            weight, total = self._weights[level], self._sums[level]
            if (
                min(weight, below_weight) >= _MIN_LEVEL_WEIGHT
                and total * below_weight
                > _MAX_SLOWDOWN_BY_LOAD * below_sum * weight
            ):
                return level - 1
            below_weight += weight
            below_sum += total
        return self._slots


class UpstreamCapacity:
    """What one incarnation of an upstream is believed to take."""

    def __init__(self, slots: int) -> None:
        """Initializes the belief that it is as fast as others up to `slots`."""
        self._slots = slots
        self._curve = LoadCurve(slots)
        self._own: _Evidence | None = None
        self._heard: dict[str, _Evidence] = {}
        self._share = 1.0
        self._cut_ms = float("-inf")
        self._grow_from_ms = float("-inf")
        self._load_trust = 1.0
        self._estimate: Estimate | None = None
        self._estimate_until_ms = float("-inf")
        self.is_logged_as_slow = False
        self.last_log_ms = float("-inf")

    def record(
        self, ratio: float, told_level: int | None, now_ms: float
    ) -> None:
        """Records an answer.

        Args:
            ratio: Its latency as a multiple of the typical one.
            told_level: Requests running and waiting by the load report in it;
                None without a report.
            now_ms: Current time.
        """
        if told_level is not None:
            self._check_load_report(ratio, told_level)
            self._curve.record(told_level, ratio, now_ms)
        excess = min(_MAX_EXCESS, ratio - 1.0)
        latest_excess = excess
        if self._own is not None:
            share = (1.0 - _SMOOTHING_FACTOR) * self._own.weight(now_ms)
            excess = share * self._own.excess + (1.0 - share) * excess
        capacity = self._curve.capacity()
        self._own = _Evidence(
            int(now_ms),
            excess,
            capacity if capacity < self._slots else 0,
            now_ms,
        )
        self._update_share(latest_excess, now_ms)
        self._estimate = None

    def hear(self, observation: Observation, now_ms: float) -> bool:
        """Adds an observation of a peer; returns whether it was new."""
        seen_ms = now_ms - observation.age_ms
        known = self._heard.get(observation.origin)
        if known is not None and known.number >= observation.number:
            # Time on the way is not part of the age, so a copy that took a
            # detour seems younger than it is.
            return False
        evidence = _Evidence(
            observation.number,
            observation.excess_percent / _PERCENT,
            observation.capacity,
            seen_ms,
        )
        self._heard[observation.origin] = evidence
        self._estimate = None
        self._update_share(evidence.excess, seen_ms)
        if len(self._heard) > _MAX_ORIGINS:
            oldest = min(self._heard, key=lambda key: self._heard[key].seen_ms)
            del self._heard[oldest]
            return oldest != observation.origin
        return True

    def estimate(self, now_ms: float) -> Estimate:
        """Returns what to expect now, at most `_ESTIMATE_VALID_MS` old."""
        if self._estimate is None or now_ms >= self._estimate_until_ms:
            self._estimate = Estimate(
                self._excess(now_ms),
                self._capacity(now_ms),
                self._share_at(now_ms),
                self._load_trust,
            )
            self._estimate_until_ms = now_ms + _ESTIMATE_VALID_MS
        return self._estimate

    def _share_at(self, now_ms: float) -> float:
        grown = (now_ms - self._grow_from_ms) / _SHARE_RECOVERY_MS
        return min(1.0, self._share + max(0.0, grown))

    def _excess(self, now_ms: float) -> float:
        if self._own is None and not self._heard:
            return 0.0
        evidence = (
            self._evidence()
            if self._is_confirmed(now_ms)
            else ([] if self._own is None else [self._own])
        )
        return max(0.0, _mean_excess(evidence, now_ms))

    def _capacity(self, now_ms: float) -> int:
        known = [
            (each.weight(now_ms), each.capacity)
            for each in self._evidence()
            if each.capacity
        ]
        total = sum(weight for weight, _ in known)
        if total <= PRIOR_WEIGHT:
            return self._slots
        mean = sum(weight * value for weight, value in known) / total
        return max(1, min(self._slots, round(mean)))

    def own_observation(
        self, incarnation: upstream_entries.UpstreamIncarnation, now_ms: float
    ) -> Observation | None:
        """Returns this host's own evidence if others need it.

        That is the case if it shows a slow upstream, or one that is fast again
        while others say that it is slow. The origin is left empty.
        """
        own = self._own
        if own is None or now_ms - own.seen_ms > SHARE_FOR_MS:
            return None
        is_contradiction = own.excess < _NORMAL_EXCESS and any(
            each.is_slow and each.weight(now_ms) and each.seen_ms < own.seen_ms
            for each in self._heard.values()
        )
        if not (own.excess >= CLEAR_EXCESS or own.capacity or is_contradiction):
            return None
        return _observation(incarnation, "", own, now_ms)

    def heard_observations(
        self, incarnation: upstream_entries.UpstreamIncarnation, now_ms: float
    ) -> list[Observation]:
        """Returns what peers saw, with origins and ages."""
        return [
            _observation(incarnation, origin, evidence, now_ms)
            for origin, evidence in self._heard.items()
            if now_ms - evidence.seen_ms <= SHARE_FOR_MS
        ]

    def is_notable(self, now_ms: float) -> bool:
        """Returns whether there may be something to share of it."""
        own = self._own
        if own is not None and (own.is_slow or own.capacity):
            return True
        return any(
            now_ms - each.seen_ms <= SHARE_FOR_MS
            for each in self._heard.values()
        )

    def drop_expired(self, now_ms: float) -> None:
        """Drops observations of peers of which no copy is left."""
        self._heard = {
            origin: evidence
            for origin, evidence in self._heard.items()
            if now_ms - evidence.seen_ms <= _RETENTION_MS
        }

    def log_fields(self, now_ms: float) -> dict[str, object]:
        """Returns the inputs of the belief, for a log line."""
        own = self._own
        ages_ms = [now_ms - each.seen_ms for each in self._heard.values()]
        estimate = self.estimate(now_ms)
        return {
            "excess": round(estimate.excess, 2),
            "capacity": estimate.capacity,
            "share": round(estimate.share, 2),
            "load_trust": round(estimate.load_trust, 2),
            "own_excess": None if own is None else round(own.excess, 2),
            "own_age_ms": None if own is None else round(now_ms - own.seen_ms),
            "origins": sorted(self._heard),
            "heard_age_ms": round(min(ages_ms)) if ages_ms else None,
        }

    def _update_share(self, excess: float, seen_ms: float) -> None:
        if excess < _NORMAL_EXCESS and seen_ms >= self._cut_ms:
            self._grow_from_ms = min(self._grow_from_ms, seen_ms)
        elif (
            excess >= CLEAR_EXCESS
            and self._is_confirmed(seen_ms)
            and seen_ms - self._cut_ms >= _CUT_INTERVAL_MS
        ):
            share = self._share_at(seen_ms) / (1.0 + excess)
            self._share = max(_MIN_SHARE, share)
            self._cut_ms = seen_ms
            self._grow_from_ms = seen_ms + MAX_AGE_MS

    def _evidence(self) -> list[_Evidence]:
        own = [] if self._own is None else [self._own]
        return [*own, *self._heard.values()]

    def _is_confirmed(self, now_ms: float) -> bool:
        """Returns whether what peers say is more than a short pause."""
        evidence = self._evidence()
        refuted_ms = _refuted_ms(evidence)
        seen_ms = [
            each.seen_ms
            for each in evidence
            if each.is_slow
            and each.seen_ms >= refuted_ms
            and each.weight(now_ms)
        ]
        return (
            len(seen_ms) > 1
            and max(seen_ms) - min(seen_ms) >= CONFIRMED_AFTER_MS
        )

    def _check_load_report(self, ratio: float, told_level: int) -> None:
        factor = 1.0 + max(0, told_level - self._slots) / self._slots
        if factor < _MIN_CHECKED_FACTOR:
            return
        is_false = ratio < 0.5 * factor
        self._load_trust += _SMOOTHING_FACTOR * (
            (0.0 if is_false else 1.0) - self._load_trust
        )


class Capacities:
    """What all upstreams are believed to take, as seen from one host."""

    def __init__(
        self,
        host: str,
        is_sharing: bool,
        clock: clocks.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Initializes the beliefs of a host.

        Args:
            host: Name of this host.
            is_sharing: Whether this host learns from the start. If not, it
                begins when a peer shares what it saw.
            clock: Clock of the process.
            metrics: Metrics of the process.
        """
        self._host = host
        self.is_active = is_sharing
        self._clock = clock
        self._metrics = metrics
        self._capacities: dict[
            upstream_entries.UpstreamIncarnation, UpstreamCapacity
        ] = {}
        # Incarnations with something to share, a small part of all.
        self._tellable: set[upstream_entries.UpstreamIncarnation] = set()

    @classmethod
    def inactive(cls, clock: clocks.Clock) -> Self:
        """Makes beliefs that stay empty unless a peer shares something."""
        return cls("", False, clock, metrics_lib.Metrics())

    def find(
        self, upstream: upstream_entries.Upstream
    ) -> UpstreamCapacity | None:
        """Returns what is believed of an upstream; None if nothing is."""
        return self._capacities.get(upstream.incarnation)

    def record(
        self,
        upstream: upstream_entries.Upstream,
        ratio: float,
        told_level: int | None = None,
    ) -> None:
        """Records an answer or abandoned attempt; see `UpstreamCapacity`."""
        if not self.is_active:
            return
        capacity = self._get(upstream.incarnation, upstream.slots)
        now_ms = self._clock.now_ms()
        capacity.record(ratio, told_level, now_ms)
        if capacity.is_notable(now_ms):
            self._tellable.add(upstream.incarnation)
        self._log_change(upstream.incarnation, capacity, "own", now_ms)

    def record_abandoned(
        self, upstream: upstream_entries.Upstream, ratio: float
    ) -> None:
        """Records that an attempt was abandoned after `ratio` latencies.

        That is a lower bound of its latency, so it only ever raises the excess.
        """
        capacity = self.find(upstream)
        excess = (
            0.0
            if capacity is None
            else capacity.estimate(self._clock.now_ms()).excess
        )
        if ratio - 1.0 > excess:
            self.record(upstream, ratio)

    def observations(self) -> list[Observation]:
        """Returns the observations to share with a peer, newest first."""
        now_ms = self._clock.now_ms()
        shared = (
            observation
            for incarnation in self._tellable
            for observation in self._told_of(
                incarnation, self._capacities[incarnation], now_ms
            )
        )
        return sorted(shared, key=lambda each: each.age_ms)[:MAX_SHARED]

    def merge(
        self,
        observations: Iterable[Observation],
        upstreams: dict[str, upstream_entries.Upstream],
    ) -> None:
        """Adds observations of a peer about listed upstreams.

        Args:
            observations: What the peer shares.
            upstreams: The listed upstreams by name.
        """
        now_ms = self._clock.now_ms()
        for observation in itertools.islice(observations, MAX_SHARED):
            upstream = upstreams.get(observation.name)
            if (
                upstream is None
                or upstream.born_ms != observation.born_ms
                or observation.origin == self._host
                or not observation.is_plausible
            ):
                self._metrics.capacity_observations.inc("ignored")
                continue
            self.is_active = True
            capacity = self._get(upstream.incarnation, upstream.slots)
            if capacity.hear(observation, now_ms):
                self._tellable.add(upstream.incarnation)
                self._metrics.capacity_observations.inc("heard")
                self._log_change(upstream.incarnation, capacity, "peer", now_ms)

    def retain_only(
        self, incarnations: Collection[upstream_entries.UpstreamIncarnation]
    ) -> None:
        """Forgets former incarnations and expired observations."""
        now_ms = self._clock.now_ms()
        self._capacities = {
            incarnation: capacity
            for incarnation, capacity in self._capacities.items()
            if incarnation in incarnations
        }
        for capacity in self._capacities.values():
            capacity.drop_expired(now_ms)
        self._tellable = {
            incarnation
            for incarnation in self._tellable
            if incarnation in self._capacities
            and self._capacities[incarnation].is_notable(now_ms)
        }

    def _get(
        self, incarnation: upstream_entries.UpstreamIncarnation, slots: int
    ) -> UpstreamCapacity:
        capacity = self._capacities.get(incarnation)
        if capacity is None:
            capacity = self._capacities[incarnation] = UpstreamCapacity(slots)
        return capacity

    def _told_of(
        self,
        incarnation: upstream_entries.UpstreamIncarnation,
        capacity: UpstreamCapacity,
        now_ms: float,
    ) -> list[Observation]:
        shared = capacity.heard_observations(incarnation, now_ms)
        own = capacity.own_observation(incarnation, now_ms)
        if own is not None:
            shared.append(own._replace(origin=self._host))
        return sorted(shared, key=lambda each: each.age_ms)[:_MAX_SHARED_EACH]

    def _log_change(
        self,
        incarnation: upstream_entries.UpstreamIncarnation,
        capacity: UpstreamCapacity,
        source: str,
        now_ms: float,
    ) -> None:
        """Logs that an upstream became slow or normal, at a bounded rate."""
        excess = capacity.estimate(now_ms).excess
        was_slow = capacity.is_logged_as_slow
        is_slow = excess >= (_NORMAL_EXCESS if was_slow else _SLOW_EXCESS)
        if (
            is_slow == was_slow
            or now_ms - capacity.last_log_ms < _LOG_INTERVAL_MS
        ):
            return
        capacity.is_logged_as_slow = is_slow
        capacity.last_log_ms = now_ms
        state = "slow" if is_slow else "normal"
        self._metrics.capacity_changes.inc(state, source)
        log.info(
            "upstream believed %s",
            state,
            extra={
                "upstream": incarnation[0],
                "born_ms": incarnation[1],
                "source": source,
                **capacity.log_fields(now_ms),
            },
        )


def _refuted_ms(evidence: Iterable[_Evidence]) -> float:
    """Returns when the newest normal answer was seen."""
    return max(
        (each.seen_ms for each in evidence if each.excess < _NORMAL_EXCESS),
        default=float("-inf"),
    )


def _mean_excess(evidence: list[_Evidence], now_ms: float) -> float:
    refuted_ms = _refuted_ms(evidence)
    total_weight = PRIOR_WEIGHT
    total = 0.0
    for each in evidence:
        weight = each.weight(now_ms)
        if each.excess >= _NORMAL_EXCESS and each.seen_ms < refuted_ms:
            weight *= _REFUTED_WEIGHT
        total_weight += weight
        total += weight * each.excess
    return total / total_weight


def _observation(
    incarnation: upstream_entries.UpstreamIncarnation,
    origin: str,
    evidence: _Evidence,
    now_ms: float,
) -> Observation:
    return Observation(
        *incarnation,
        origin,
        evidence.number,
        round(max(0.0, evidence.excess) * _PERCENT),
        evidence.capacity,
        math.ceil(max(0.0, now_ms - evidence.seen_ms)),
    )
