"""Clocks, so that decisions can be tested without waiting."""

import abc
import time


class Clock(abc.ABC):
    """A source of time."""

    @abc.abstractmethod
    def now_ms(self) -> float:
        """Returns monotonic time in milliseconds."""


class MonotonicClock(Clock):
    """The clock of the process."""

    def now_ms(self) -> float:
        """Returns monotonic time in milliseconds."""
        return time.monotonic() * 1000.0


class BootClock(Clock):
    """A steady clock that goes on while the machine is suspended."""

    def now_ms(self) -> float:
        """Returns the time since the machine started in milliseconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class ManualClock(Clock):
    """A clock that moves only when told to."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Returns the time that was last set, in milliseconds."""
        return self._now_ms

    def advance(self, by_ms: float) -> None:
        """Moves the clock forward."""
        self._now_ms += by_ms
