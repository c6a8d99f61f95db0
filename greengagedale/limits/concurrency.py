"""How many attempts this host may have at one upstream.

The limit follows what the upstream does, its refusals and its latency, and
never the load that it reports. It stays between this host's share of the
slots, so that a slow start can't push it to nothing, and what the upstream's
slots and this host's share of its connections allow.
"""

import abc
from collections.abc import Sequence
import enum
import math
from typing import NamedTuple

from greengagedale.limits import ownership

_AVERAGING = 0.2
_CLIP = 3.0
_BASELINE_RISE = 0.0002
_QUEUEING = 1.25
_AIMD_RAISE = 0.5
_AIMD_CUT = 0.8
_REFUSAL_CUT = 0.7
_GRADIENT_FLOOR = 0.7
_GRADIENT_WEIGHT = 0.2


class LoadSignal(enum.Enum):
    """How an attempt ended, as far as limits care."""

    ANSWERED = "answered"
    OVERLOADED = "overloaded"
    REFUSED = "refused"
    FAILED = "failed"


class LimitBounds(NamedTuple):
    """The range that a limit stays in."""

    low: int
    high: int

    @classmethod
    def for_upstream(
        cls,
        upstream: str,
        slots: int,
        connections: int,
        own: str,
        hosts: Sequence[str],
    ) -> "LimitBounds":
        """Returns the bounds for one of several hosts.

        Args:
            upstream: Name of the upstream.
            slots: Requests that it runs at once.
            connections: Connections that it accepts, over all hosts.
            own: Name of this host.
            hosts: Names of all live hosts, this one included.
        """
        wanted = ownership.owner_count(slots, connections, len(hosts))
        names = ownership.select_owners(upstream, hosts, wanted)
        most = ownership.owner_share(upstream, own, names, connections)
        low = min(most, ownership.owner_share(upstream, own, names, slots))
        return cls(low, max(low, min(slots, most)))


class _Latency:
    """A recent average and the level without queueing."""

    def __init__(self) -> None:
        self.average_ms: float | None = None
        self.baseline_ms: float | None = None

    def record(self, latency_ms: float) -> None:
        """Takes in a sample; single stragglers are clipped."""
        if self.average_ms is None or self.baseline_ms is None:
            self.average_ms = self.baseline_ms = latency_ms
            return
        clipped_ms = min(latency_ms, _CLIP * self.average_ms)
        self.average_ms += _AVERAGING * (clipped_ms - self.average_ms)
        if self.average_ms < self.baseline_ms:
            self.baseline_ms = self.average_ms
        else:
            rise_ms = self.average_ms - self.baseline_ms
            self.baseline_ms += _BASELINE_RISE * rise_ms

    def queueing_ratio(self) -> float:
        """Returns the recent average over the level without queueing."""
        if not self.baseline_ms or self.average_ms is None:
            return 1.0
        return self.average_ms / self.baseline_ms


class ConcurrencyLimit(abc.ABC):
    """The limit of one upstream."""

    def __init__(self, bounds: LimitBounds) -> None:
        self._bounds = bounds
        self._value = float(bounds.low)
        self._latency = _Latency()

    @property
    def value(self) -> int:
        """Attempts that may be at the upstream at once."""
        return max(self._bounds.low, math.floor(self._value + 1e-9))

    @property
    def latency_ms(self) -> float:
        """A recent average latency; 0 before the first answer."""
        return self._latency.average_ms or 0.0

    def set_bounds(self, bounds: LimitBounds) -> None:
        """Takes in that the number of hosts or the slots changed."""
        self._bounds = bounds
        self._move_to(self._value)

    def on_attempt_end(
        self,
        signal: LoadSignal,
        latency_ms: float,
        in_flight: int,
        now_ms: float,
    ) -> None:
        """Takes in how an attempt ended.

        Args:
            signal: How it ended.
            latency_ms: Time from sending to the end.
            in_flight: Attempts at the upstream when it ended, itself included.
            now_ms: The time.
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
        """Moves the limit, see `on_end`."""

    def _move_to(self, value: float) -> None:
        low, high = self._bounds
        self._value = min(float(high), max(float(low), value))


class FixedLimit(ConcurrencyLimit):
    """This host's share of the slots, whatever happens: a baseline."""

    def _adapt(
        self,
        signal: LoadSignal,
        latency_ms: float,
        in_flight: int,
        now_ms: float,
    ) -> None:
        """Changes nothing."""

    @property
    def value(self) -> int:
        """Attempts that may be at the upstream at once."""
        return self._bounds.low


class _CutLimit(ConcurrencyLimit):
    """A limit that is cut at most once in a latency's time."""

    def __init__(self, bounds: LimitBounds) -> None:
        super().__init__(bounds)
        self._cut_until_ms = 0.0

    def _cut(self, factor: float, latency_ms: float, now_ms: float) -> None:
        if now_ms >= self._cut_until_ms:
            self._move_to(self._value * factor)
            self._cut_until_ms = now_ms + latency_ms


class AimdLimit(_CutLimit):
    """Additive increase while in use, multiplicative decrease on queueing."""

    def _adapt(
        self,
        signal: LoadSignal,
        latency_ms: float,
        in_flight: int,
        now_ms: float,
    ) -> None:
        """Raises or cuts the limit; at most one cut in a latency's time."""
        if signal is not LoadSignal.ANSWERED:
            self._cut(_REFUSAL_CUT, latency_ms, now_ms)
        elif self._latency.queueing_ratio() > _QUEUEING:
            self._cut(_AIMD_CUT, latency_ms, now_ms)
        elif in_flight >= self.value:
            self._move_to(self._value + _AIMD_RAISE / max(1.0, self._value))


class GradientLimit(_CutLimit):
    """Follows the ratio of latency without queueing to recent latency."""

    def _adapt(
        self,
        signal: LoadSignal,
        latency_ms: float,
        in_flight: int,
        now_ms: float,
    ) -> None:
        """Moves the limit a part of the way to what the gradient asks."""
        if signal is not LoadSignal.ANSWERED:
            self._cut(_REFUSAL_CUT, latency_ms, now_ms)
            return
        gradient = _QUEUEING / max(_QUEUEING, self._latency.queueing_ratio())
        wanted = max(_GRADIENT_FLOOR, gradient) * self._value
        if in_flight >= self.value:
            wanted += math.sqrt(self._value)
        step = _GRADIENT_WEIGHT * (wanted - self._value)
        self._move_to(self._value + step / max(1.0, self._value))


LIMIT_TYPES: dict[str, type[ConcurrencyLimit]] = {
    "aimd": AimdLimit,
    "gradient": GradientLimit,
    "fixed": FixedLimit,
}
