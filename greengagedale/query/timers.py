"""Timers of a search, ordered by due time."""

import enum
import heapq
import itertools
from typing import NamedTuple

from greengagedale.query import attempts
from greengagedale.query import range_states


class Kind(enum.Enum):
    """Kind of a timer."""

    HEDGE = enum.auto()
    PROGRESS_TIMEOUT = enum.auto()
    RETRY_ROUND = enum.auto()
    EARLY_STOP = enum.auto()


class Timer(NamedTuple):
    """One scheduled action of a search.

    Attributes:
        due_ms: Time at which the timer fires.
        sequence: Orders timers that have the same due time.
        kind: Kind of the action.
        range_state: Range that the timer belongs to; None for the whole
            search.
        attempt: Attempt that the timer belongs to, or None.
    """

    due_ms: float
    sequence: int
    kind: Kind
    range_state: range_states.RangeState | None = None
    attempt: attempts.Attempt | None = None

    @property
    def is_stale(self) -> bool:
        """Whether the attempt or round that the timer belongs to has ended."""
        if self.range_state is None:
            return False
        if self.attempt is None:
            return not self.range_state.awaits_round
        return self.attempt.attempt_id not in self.range_state.in_flight


class Timers:
    """A priority queue of timers that skips stale ones."""

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._sequence = itertools.count()

    def add(
        self,
        due_ms: float,
        kind: Kind,
        range_state: range_states.RangeState | None = None,
        attempt: attempts.Attempt | None = None,
    ) -> None:
        """Adds a timer."""
        timer = Timer(due_ms, next(self._sequence), kind, range_state, attempt)
        heapq.heappush(self._heap, timer)

    def next_ms(self) -> float:
        """Returns the earliest due time, or infinity if there is no timer."""
        heap = self._heap
        while heap and heap[0].is_stale:
            heapq.heappop(heap)
        return heap[0].due_ms if heap else float("inf")

    def pop_due(self, now_ms: float) -> Timer | None:
        """Removes and returns the earliest timer if it is due, else None."""
        if self.next_ms() > now_ms:
            return None
        return heapq.heappop(self._heap)

    def clear(self) -> None:
        """Removes all timers."""
        self._heap.clear()
