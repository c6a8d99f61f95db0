"""History of one run, as observed by callers, operators and upstreams.

All times are in milliseconds of the monotonic clock of one machine.
"""

from collections.abc import Iterable
import itertools
import pathlib
from typing import Any, NamedTuple

import msgspec

from greengagedale.catalog import catalogs
from standins import records


class Call(NamedTuple):
    """One request of a caller and its answer.

    Attributes:
        at_ms: Time at which it was sent.
        done_ms: Time at which it was fully answered or failed.
        host: Name of the host that it was sent to.
        kind: `search` or `act`.
        text: Search text; empty for an action.
        limit: Number of hits requested; 0 for an action.
        key: Idempotency key; empty for a search.
        status: HTTP status; 0 without an answer.
        body: The decoded answer, or None.
        failure: `connect` if no connection was made, `cut` if the connection
            closed without an answer, `timeout` if no answer came in time; else
            empty.
    """

    at_ms: float
    done_ms: float
    host: str
    kind: str
    text: str
    limit: int
    key: str
    status: int
    body: Any
    failure: str

    @property
    def outcome(self) -> str:
        """Outcome stated in the answer, or empty."""
        body = self.body if isinstance(self.body, dict) else {}
        return body.get("outcome", "")

    @property
    def request_id(self) -> str:
        """Request identifier stated in the answer, or empty."""
        body = self.body if isinstance(self.body, dict) else {}
        return body.get("request_id", "")


class UpstreamEvent(NamedTuple):
    """One event that an upstream recorded.

    Attributes:
        at_ms: Time of the event.
        event: `search`, `answer`, `act`, `refused_draining` or `control`.
        upstream: Name of the upstream.
        attempt_id: Attempt that caused it, or empty.
        key: Idempotency key of an action, or empty.
        holding: Index version, map version, low and high key, or empty.
        draining: Draining state set by a `control` event, else None.
    """

    at_ms: float
    event: str
    upstream: str
    attempt_id: str = ""
    key: str = ""
    holding: tuple[int, ...] = ()
    draining: bool | None = None


class Change(NamedTuple):
    """One change that an operator requested, and its result.

    Attributes:
        at_ms: Time of the request.
        done_ms: Time at which the answer was complete.
        change_id: Identifier of the change.
        outcome: `accepted`, `not_accepted`, `unknown` or empty.
        revision: Revision that the change created if accepted, else 0.
    """

    at_ms: float
    done_ms: float
    change_id: str
    outcome: str
    revision: int


class Observation(NamedTuple):
    """The active revision reported by a ready host."""

    at_ms: float
    host: str
    revision: int


class FaultWindow(NamedTuple):
    """A fault and the period in which it was active.

    Attributes:
        from_ms: Start of the injection.
        to_ms: Time at which the fault was completely removed.
        what: Kind of the fault, such as `kill` or `platform_down`.
        target: Host or upstream affected, or empty.
    """

    from_ms: float
    to_ms: float
    kind: str
    target: str


class History(NamedTuple):
    """Everything recorded in one run.

    Attributes:
        calls: Requests of callers.
        upstream_events: Events of all upstreams.
        changes: Changes to the configuration.
        observations: Active revisions of hosts over time.
        faults: Faults that were injected.
        index_versions: All index versions that were published.
        final_change_ids: Changes still in the catalog at the end.
    """

    calls: list[Call] = []
    upstream_events: list[UpstreamEvent] = []
    changes: list[Change] = []
    observations: list[Observation] = []
    faults: list[FaultWindow] = []
    index_versions: frozenset[int] = frozenset({1})
    final_change_ids: frozenset[str] = frozenset()

    def save(self, path: pathlib.Path) -> None:
        """Writes the history as JSON."""
        path.write_bytes(msgspec.json.encode(self))


def upstream_events(paths: Iterable[pathlib.Path]) -> list[UpstreamEvent]:
    """Reads the recorded events of upstreams, sorted by time."""
    events = [
        UpstreamEvent(
            line["at_ms"],
            line["event"],
            line["upstream"],
            line.get("attempt_id", ""),
            line.get("key", ""),
            tuple(line.get("holding", ())),
            line.get("draining"),
        )
        for path in paths
        for line in records.read(path)
        if "upstream" in line
    ]
    return sorted(events)


def change_ids(path: pathlib.Path) -> frozenset[str]:
    """Returns the changes that were written to the catalog and not overwritten.

    The catalog lists only recent changes, so all its versions are read.

    Args:
        path: File with the recorded events of the platform.
    """
    recent_changes = [
        [
            item["change_id"]
            for item in msgspec.json.decode(line["value"])["changes"]
        ]
        for line in records.read(path)
        if line["event"] == "write" and line["kind"] == catalogs.KIND_CATALOG
    ]
    seen = set(itertools.chain.from_iterable(recent_changes))
    overwritten = {
        before[-1]
        for before, after in itertools.pairwise(recent_changes)
        if before[-1] not in after
    }
    return frozenset(seen - overwritten)
