"""Clock interface and implementations.

Code that depends on time takes a clock, so that tests need not wait.
"""

import abc
import time


class Clock(abc.ABC):
    """A source of time."""

    @abc.abstractmethod
    def now_ms(self) -> float:
        """Returns monotonic time in milliseconds."""


class MonotonicClock(Clock):
    """The monotonic clock of the operating system."""

    def now_ms(self) -> float:
        """Returns monotonic time in milliseconds."""
        return time.monotonic() * 1000.0


class BootClock(Clock):
    """A monotonic clock that also counts time spent in system suspend."""

    def now_ms(self) -> float:
        """Returns the time since boot in milliseconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class ManualClock(Clock):
    """A clock that advances only when `advance` is called."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Returns the current time of this clock in milliseconds."""
        return self._now_ms

    def advance(self, by_ms: float) -> None:
        """Advances the clock by `by_ms` milliseconds."""
        self._now_ms += by_ms
