"""Adaptive limits of the attempts that this host has in flight at an upstream.

A limit adapts to the refusals and the latency that this host observes, never
to the load that the upstream reports. Its lower bound is this host's share of
the slots, so that a cold start can't push it to zero. Its upper bound is the
number of slots or this host's share of the connections, whichever is smaller.
"""

import abc
from collections.abc import Sequence
import enum
import math
from typing import NamedTuple

from greengagedale.limits import ownership

_AVERAGE_WEIGHT = 0.2
_MAX_SAMPLE_RATIO = 3.0
_BASELINE_RISE_WEIGHT = 0.0002
_QUEUEING_RATIO = 1.25
_AIMD_INCREASE = 0.5
_AIMD_DECREASE_FACTOR = 0.8
_OVERLOAD_DECREASE_FACTOR = 0.7
_MIN_GRADIENT = 0.7
_GRADIENT_STEP_WEIGHT = 0.2


class LoadSignal(enum.Enum):
    """What the end of an attempt says about the load of its upstream."""

    ANSWERED = "answered"
    OVERLOADED = "overloaded"
    REFUSED = "refused"
    FAILED = "failed"


class LimitBounds(NamedTuple):
    """Lower and upper bound of a concurrency limit."""

    low: int
    high: int

    @classmethod
    def for_upstream(
        cls,
        upstream: str,
        slots: int,
        connections: int,
        own_host: str,
        hosts: Sequence[str],
    ) -> "LimitBounds":
        """Returns the bounds of this host's limit for an upstream.

        Args:
            upstream: Name of the upstream.
            slots: Number of requests that the upstream runs concurrently.
            connections: Number of connections that the upstream accepts from
                all hosts together.
            own_host: Name of this host.
            hosts: Names of all live hosts, including this one.
        """
        count = ownership.owner_count(slots, connections, len(hosts))
        owner_names = ownership.select_owners(upstream, hosts, count)
        connection_share = ownership.owner_share(
            upstream, own_host, owner_names, connections
        )
        low = min(
            connection_share,
            ownership.owner_share(upstream, own_host, owner_names, slots),
        )
        return cls(low, max(low, min(slots, connection_share)))


class _LatencyEstimate:
    """Moving average of the latency and its baseline without queueing."""

    def __init__(self) -> None:
        self.average_ms: float | None = None
        self.baseline_ms: float | None = None

    def record(self, latency_ms: float) -> None:
        """Adds a sample, clipped to limit the effect of single stragglers."""
        if self.average_ms is None or self.baseline_ms is None:
            self.average_ms = self.baseline_ms = latency_ms
            return
        clipped_ms = min(latency_ms, _MAX_SAMPLE_RATIO * self.average_ms)
        self.average_ms += _AVERAGE_WEIGHT * (clipped_ms - self.average_ms)
        if self.average_ms < self.baseline_ms:
            self.baseline_ms = self.average_ms
        else:
            rise_ms = self.average_ms - self.baseline_ms
            self.baseline_ms += _BASELINE_RISE_WEIGHT * rise_ms

    def queueing_ratio(self) -> float:
        """Returns the ratio of the average latency to the baseline."""
        if not self.baseline_ms or self.average_ms is None:
            return 1.0
        return self.average_ms / self.baseline_ms


class ConcurrencyLimit(abc.ABC):
    """Limit of this host's attempts in flight at one upstream."""

    def __init__(self, bounds: LimitBounds) -> None:
        self._bounds = bounds
        self._value = float(bounds.low)
        self._latency = _LatencyEstimate()

    @property
    def value(self) -> int:
        """Maximum number of attempts in flight at the upstream."""
        return max(self._bounds.low, math.floor(self._value + 1e-9))

    @property
    def latency_ms(self) -> float:
        """Average latency in milliseconds; 0 before the first answer."""
        return self._latency.average_ms or 0.0

    def set_bounds(self, bounds: LimitBounds) -> None:
        """Replaces the bounds after a change of the hosts or the slots."""
        self._bounds = bounds
        self._set_value(self._value)

    def on_attempt_end(
        self,
        signal: LoadSignal,
        latency_ms: float,
        in_flight: int,
        now_ms: float,
    ) -> None:
        """Adapts the limit to the result of an attempt.

        Args:
            signal: What the result says about the load of the upstream.
            latency_ms: Time from sending the attempt to its end.
            in_flight: Attempts in flight at the upstream when the attempt
                ended, including it.
            now_ms: Current time.
        """
        if signal is LoadSignal.ANSWERED:
            self._latency.record(latency_ms)
        if signal is not LoadSignal.REFUSED:
            self._adapt(signal, latency_ms, in_flight, now_ms)

    @abc.abstractmethod
    def _adapt(
        self,
        signal: LoadSignal,
        latency_ms: float,
        in_flight: int,
        now_ms: float,
    ) -> None:
        """Adapts the limit; see `on_attempt_end`."""

    def _set_value(self, value: float) -> None:
        low, high = self._bounds
        self._value = min(float(high), max(float(low), value))


class FixedLimit(ConcurrencyLimit):
    """A constant limit, this host's share of the slots, for comparison."""

    def _adapt(
        self,
        signal: LoadSignal,
        latency_ms: float,
        in_flight: int,
        now_ms: float,
    ) -> None:
        """Does nothing, as the limit is constant."""

    @property
    def value(self) -> int:
        """Maximum number of attempts in flight at the upstream."""
        return self._bounds.low


class _DecreasingLimit(ConcurrencyLimit):
    """A limit that is decreased at most once per latency of an attempt."""

    def __init__(self, bounds: LimitBounds) -> None:
        super().__init__(bounds)
        self._next_decrease_ms = 0.0

    def _decrease(
        self, factor: float, latency_ms: float, now_ms: float
    ) -> None:
        if now_ms >= self._next_decrease_ms:
            self._set_value(self._value * factor)
            self._next_decrease_ms = now_ms + latency_ms


class AimdLimit(_DecreasingLimit):
    """Additive increase while in use, multiplicative decrease on queueing."""

    def _adapt(
        self,
        signal: LoadSignal,
        latency_ms: float,
        in_flight: int,
        now_ms: float,
    ) -> None:
        """Increases or decreases the limit.

        Decreases at most once per latency of an attempt.
        """
        if signal is not LoadSignal.ANSWERED:
            self._decrease(_OVERLOAD_DECREASE_FACTOR, latency_ms, now_ms)
        elif self._latency.queueing_ratio() > _QUEUEING_RATIO:
            self._decrease(_AIMD_DECREASE_FACTOR, latency_ms, now_ms)
        elif in_flight >= self.value:
            self._set_value(
                self._value + _AIMD_INCREASE / max(1.0, self._value)
            )


class GradientLimit(_DecreasingLimit):
    """Follows the ratio of the baseline latency to the average latency."""

    def _adapt(
        self,
        signal: LoadSignal,
        latency_ms: float,
        in_flight: int,
        now_ms: float,
    ) -> None:
        """Moves the limit part of the way to the target of the gradient."""
        if signal is not LoadSignal.ANSWERED:
            self._decrease(_OVERLOAD_DECREASE_FACTOR, latency_ms, now_ms)
            return
        gradient = _QUEUEING_RATIO / max(
            _QUEUEING_RATIO, self._latency.queueing_ratio()
        )
        target = max(_MIN_GRADIENT, gradient) * self._value
        if in_flight >= self.value:
            target += math.sqrt(self._value)
        step = _GRADIENT_STEP_WEIGHT * (target - self._value)
        self._set_value(self._value + step / max(1.0, self._value))


LIMIT_TYPES: dict[str, type[ConcurrencyLimit]] = {
    "aimd": AimdLimit,
    "gradient": GradientLimit,
    "fixed": FixedLimit,
}
