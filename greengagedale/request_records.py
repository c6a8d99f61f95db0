"""Records of what this host did for recent requests, used by `explain`."""

import collections
from typing import Any, NamedTuple, TypedDict

from greengagedale import clocks
from greengagedale.query import events

MAX_EVENTS = 64


class TraceEvent(NamedTuple):
    """One step in the processing of a request.

    Attributes:
        at_ms: Time since the start of the request on the recording host.
        host: Host on which it happened.
        what: Kind of step, such as `attempt`, `hedge` or `forward`.
        subject: Upstream, range or host concerned; may be empty.
        reason: Reason, as one word; may be empty.
    """

    at_ms: float
    host: str
    what: str
    subject: str
    reason: str


class RequestTrace:
    """The first events of one request.

    Attributes:
        events: The events, at most `MAX_EVENTS`.
        events_left_out: Number of later events that were not kept.
    """

    def __init__(self, host: str, clock: clocks.Clock) -> None:
        self._host = host
        self._clock = clock
        self._started_ms = clock.now_ms()
        self.events: list[TraceEvent] = []
        self.events_left_out = 0

    def add(self, what: str, subject: str = "", reason: str = "") -> None:
        """Adds an event with the current time."""
        at_ms = round(self.elapsed_ms(), 3)
        self._append(TraceEvent(at_ms, self._host, what, subject, reason))

    def add_remote_events(
        self, remote_events: list[TraceEvent], from_ms: float
    ) -> None:
        """Adds the events that another host recorded for the request.

        Args:
            remote_events: Events of the other host.
            from_ms: Time at which the request was forwarded to that host, from
                the start of the request.
        """
        for event in remote_events:
            at_ms = round(from_ms + event.at_ms, 3)
            self._append(event._replace(at_ms=at_ms))

    def add_search_events(
        self, search_trace: events.Trace, from_ms: float
    ) -> None:
        """Adds the events of a search, which omit its first attempts.

        Args:
            search_trace: First events of the search and counts of all events.
            from_ms: Time at which the search began, from the start of the
                request.
        """
        for search_event in search_trace.events:
            at_ms = round(from_ms + search_event.at_ms, 3)
            subject = _subject_of(search_event)
            self._append(
                TraceEvent(
                    at_ms,
                    self._host,
                    search_event.kind,
                    subject,
                    search_event.reason,
                )
            )
        self.events_left_out += search_trace.counts.total() - len(
            search_trace.events
        )

    def elapsed_ms(self) -> float:
        """Returns the time since the start of the request."""
        return self._clock.now_ms() - self._started_ms

    def _append(self, event: TraceEvent) -> None:
        if len(self.events) < MAX_EVENTS:
            self.events.append(event)
        else:
            self.events_left_out += 1


def _subject_of(search_event: events.Event) -> str:
    if search_event.key_range is None:
        return search_event.upstream
    low, high = search_event.key_range
    return f"{search_event.upstream} {low:x}-{high:x}".strip()


class RequestRecord(TypedDict):
    """The outcome and the events of one request."""

    request_id: str
    workspace: str
    member: str
    kind: str
    key: str
    outcome: str
    took_ms: float
    detail: dict[str, Any]
    events: list[TraceEvent]
    events_left_out: int


class RecentRequests:
    """Keeps records of recent requests and evicts the oldest."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._records: collections.OrderedDict[str, RequestRecord] = (
            collections.OrderedDict()
        )

    def add(self, record: RequestRecord) -> None:
        """Adds a record; evicts the oldest if the capacity is exceeded."""
        self._records[record["request_id"]] = record
        if len(self._records) > self._capacity:
            self._records.popitem(last=False)

    def get(self, request_id: str) -> RequestRecord | None:
        """Returns the record of a request, or None."""
        return self._records.get(request_id)
