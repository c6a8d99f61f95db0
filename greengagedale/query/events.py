"""What a search did beyond its first attempts, and why."""

import collections
import enum
from typing import NamedTuple

from greengagedale.query import ranges

_MAX_EVENTS = 64


class EventKind(enum.StrEnum):
    """The kinds of events."""

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
        at_ms: When it was, from the start of the search.
        what: The kind of event.
        key_range: The range it was about, or None.
        upstream: The upstream it was about; empty if none.
        reason: Why, in one word.
    """

    at_ms: float
    kind: EventKind
    key_range: ranges.KeyRange | None
    upstream: str
    reason: str


class EventType(NamedTuple):
    """What events are counted by."""

    kind: EventKind
    reason: str


class Trace:
    """The first events of a search, and counts of all of them."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.counts: collections.Counter[EventType] = collections.Counter()

    def add(self, event: Event) -> None:
        """Counts an event and keeps it while there is room."""
        self.counts[EventType(event.kind, event.reason)] += 1
        if len(self.events) < _MAX_EVENTS:
            self.events.append(event)
