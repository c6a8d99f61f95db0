"""Events of a search other than its first attempts, with their reasons."""

import collections
import enum
from typing import NamedTuple

from greengagedale.query import ranges

_MAX_EVENTS = 64


class EventKind(enum.StrEnum):
    """Kind of a search event."""

    DROP = "drop"
    FAILURE = "failure"
    HEDGE = "hedge"
    HEDGE_DENIED = "hedge_denied"
    RETRY = "retry"
    RETRY_DENIED = "retry_denied"
    NO_PROGRESS = "no_progress"
    RESTART = "restart"
    EARLY_STOP = "early_stop"
    DEADLINE = "deadline"


class Event(NamedTuple):
    """One event of a search.

    Attributes:
        at_ms: Milliseconds since the start of the search.
        kind: Kind of the event.
        key_range: Key range that the event concerns, or None.
        upstream: Upstream that the event concerns; empty if none.
        reason: Reason of the event, as one word.
    """

    at_ms: float
    kind: EventKind
    key_range: ranges.KeyRange | None
    upstream: str
    reason: str


class EventType(NamedTuple):
    """Kind and reason of an event, by which events are counted."""

    kind: EventKind
    reason: str


class Trace:
    """The first events of a search, and counts of all its events.

    Attributes:
        events: The first events, in order.
        counts: Number of all events by type.
    """

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.counts: collections.Counter[EventType] = collections.Counter()

    def add(self, event: Event) -> None:
        """Counts an event, and stores it unless the trace is full."""
        self.counts[EventType(event.kind, event.reason)] += 1
        if len(self.events) < _MAX_EVENTS:
            self.events.append(event)
