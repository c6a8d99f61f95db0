"""Decides whether this host can reach the upstreams.

A host may lose its links to all upstreams while callers, the store and other
hosts still reach it: attempts get no sign of life, or open connections live on
and new ones fail. No single attempt shows that: upstreams pause, end, and whole
services go down. So attempts raise a suspicion, and trials decide: connections
are opened to several upstreams, and one that opens refutes it. While the host
is cut off, trials go on until one opens, and requests that no other host takes
are refused unless open connections live on.

The load answered: hosts whose callers all wait for upstreams out of reach.
"""

from collections.abc import Callable
import enum
import logging

log = logging.getLogger(__name__)

# No upstream has given a sign of life for this long, though attempts to this
# many are without one: longer than most pauses, and never by so many at once.
SILENCE_MS = 200.0
MIN_SILENT_UPSTREAMS = 5
# With fewer attempts in flight, or slower work, it takes this long.
LONG_SILENCE_MS = 500.0
# A connection that could not be opened raises a suspicion for this long, unless
# another one is opened.
UNCONNECTED_FOR_MS = 1000.0
# Interval between trials while the host is cut off.
TRIAL_INTERVAL_MS = 250.0
# Interval between suspicions that a trial refuted; doubled with each, as the
# upstreams that raise them are down, up to the maximum.
MIN_REFUTED_INTERVAL_MS = 1000.0
MAX_REFUTED_INTERVAL_MS = 8000.0
# While attempts get no sign of life either, one request per interval is sent:
# only its answer would show that an open connection still works.
PROBE_INTERVAL_MS = 1000.0
# A suspicion this long after the last one that was refuted is a new one.
_FORGET_REFUTED_MS = 2.0 * MAX_REFUTED_INTERVAL_MS


class Trial(enum.Enum):
    """Which upstreams to open connections to."""

    NONE = enum.auto()
    # One is enough to refute the suspicion that a failed connection raises.
    ONE = enum.auto()
    SEVERAL = enum.auto()


class Reachability:
    """Whether this host can reach upstreams.

    Attributes:
        is_cut_off: Whether no connection to an upstream can be opened.
        on_change: Called when that has changed.
    """

    def __init__(self) -> None:
        self.is_cut_off = False
        self.on_change: Callable[[], None] = _ignore_change
        self._since_ms = float("-inf")
        self._next_trial_ms = float("-inf")
        self._unconnected_ms = float("-inf")
        self._refuted_ms = float("-inf")
        self._refuted_interval_ms = 0.0
        self._has_one_failed = False
        self._is_silent = False
        self._probe_ms = float("-inf")

    def should_refuse(self, now_ms: float) -> bool:
        """Returns whether a request is refused, as no upstream would answer.

        A request that is not refused while the host is cut off and upstreams
        are silent is the probe of its interval.
        """
        if not (self.is_cut_off and self._is_silent):
            return False
        if now_ms - self._probe_ms < PROBE_INTERVAL_MS:
            return True
        self._probe_ms = now_ms
        return False

    def record_connect(self, now_ms: float, is_open: bool) -> None:
        """Records whether a connection to an upstream could be opened."""
        self._unconnected_ms = float("-inf") if is_open else now_ms

    def next_trial(
        self, silence_ms: float, silent_count: int, now_ms: float
    ) -> Trial:
        """Returns the trial to make now.

        Args:
            silence_ms: Time since any upstream gave a sign of life.
            silent_count: Number of upstreams with attempts that have been
                without one for at least `SILENCE_MS`, or that ended without
                one since.
            now_ms: Current time.
        """
        self._is_silent = silent_count > 0 and (
            silence_ms >= LONG_SILENCE_MS
            or (
                silence_ms >= SILENCE_MS
                and silent_count >= MIN_SILENT_UPSTREAMS
            )
        )
        if now_ms < self._next_trial_ms:
            return Trial.NONE
        if self.is_cut_off or self._is_silent or self._has_one_failed:
            return Trial.SEVERAL
        if now_ms - self._unconnected_ms <= UNCONNECTED_FOR_MS:
            return Trial.ONE
        return Trial.NONE

    def record_trial(
        self, trial: Trial, has_connected: bool, now_ms: float
    ) -> None:
        """Records whether any connection of a trial could be opened."""
        self._has_one_failed = trial is Trial.ONE and not has_connected
        if has_connected:
            self._record_reached(now_ms)
        elif trial is Trial.SEVERAL:
            self._next_trial_ms = now_ms + TRIAL_INTERVAL_MS
            if not self.is_cut_off:
                self.is_cut_off = True
                self._since_ms = now_ms
                log.warning("no upstream can be reached; this host is cut off")
                self.on_change()

    def _record_reached(self, now_ms: float) -> None:
        if self.is_cut_off:
            self.is_cut_off = False
            log.info(
                "upstreams can be reached again",
                extra={"cut_off_ms": round(now_ms - self._since_ms)},
            )
            self.on_change()
            return
        if now_ms - self._refuted_ms > _FORGET_REFUTED_MS:
            self._refuted_interval_ms = 0.0
        self._refuted_ms = now_ms
        self._refuted_interval_ms = min(
            MAX_REFUTED_INTERVAL_MS,
            max(MIN_REFUTED_INTERVAL_MS, 2.0 * self._refuted_interval_ms),
        )
        self._next_trial_ms = now_ms + self._refuted_interval_ms


def _ignore_change() -> None:
    pass
