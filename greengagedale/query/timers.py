"""Things that are due at a time, earliest first."""

import enum
import heapq
import itertools
from typing import NamedTuple

from greengagedale.query import attempts
from greengagedale.query import range_states


class Kind(enum.Enum):
    """What is due."""

    HEDGE = enum.auto()
    PROGRESS_TIMEOUT = enum.auto()
    RETRY_ROUND = enum.auto()
    EARLY_STOP = enum.auto()


class Timer(NamedTuple):
    """One thing that is due.

    Attributes:
        due_ms: When.
        sequence: Keeps the order of things due at the same time.
        kind: What is due.
        part: The range that it is about; None for the whole search.
        attempt: The attempt that it is about, or None.
    """

    due_ms: float
    sequence: int
    kind: Kind
    range_state: range_states.RangeState | None = None
    attempt: attempts.Attempt | None = None

    @property
    def is_stale(self) -> bool:
        """Whether what it is about has ended."""
        if self.range_state is None:
            return False
        if self.attempt is None:
            return not self.range_state.awaits_round
        return self.attempt.attempt_id not in self.range_state.in_flight


class Timers:
    """A heap of timers."""

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
        """Returns when the first timer is due; infinity if there is none."""
        heap = self._heap
        while heap and heap[0].is_stale:
            heapq.heappop(heap)
        return heap[0].due_ms if heap else float("inf")

    def pop_due(self, now_ms: float) -> Timer | None:
        """Removes and returns a timer that is due, or None."""
        if self.next_ms() > now_ms:
            return None
        return heapq.heappop(self._heap)

    def clear(self) -> None:
        """Removes all timers."""
        self._heap.clear()
