"""What happened in one run, as callers, operators and upstreams saw it.

All times are monotonic milliseconds of one machine.
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
        at_ms: When it was sent.
        done_ms: When its answer was whole, or it was given up on.
        host: Name of the host that it was sent to.
        kind: `search` or `act`.
        text: What was searched for; empty for an action.
        limit: Hits asked for; 0 for an action.
        key: Idempotency key; empty for a search.
        status: HTTP status; 0 without an answer.
        body: The decoded answer, or None.
        failure: `connect` if no connection was made, `cut` if it ended
            without an answer, `timeout` if no answer came; else empty.
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
        """The outcome in the answer, or empty."""
        body = self.body if isinstance(self.body, dict) else {}
        return body.get("outcome", "")

    @property
    def request_id(self) -> str:
        """The request's identifier in the answer, or empty."""
        body = self.body if isinstance(self.body, dict) else {}
        return body.get("request_id", "")


class UpstreamEvent(NamedTuple):
    """One event that an upstream recorded.

    Attributes:
        at_ms: When it happened.
        event: `search`, `answer`, `act`, `refused_draining` or `control`.
        upstream: Name of the upstream.
        attempt_id: Attempt that it concerns, or empty.
        key: Idempotency key of an action, or empty.
        holding: Index version, map version, low and high key, or empty.
        draining: For `control`: whether it was told to drain, else None.
    """

    at_ms: float
    event: str
    upstream: str
    attempt_id: str = ""
    key: str = ""
    holding: tuple[int, ...] = ()
    draining: bool | None = None


class Change(NamedTuple):
    """One change that an operator asked for, and the answer.

    Attributes:
        at_ms: When it was asked for.
        done_ms: When the answer was whole.
        change_id: Its identifier.
        outcome: `accepted`, `not_accepted`, `unknown` or empty.
        revision: Revision at which it was accepted, else 0.
    """

    at_ms: float
    done_ms: float
    change_id: str
    outcome: str
    revision: int


class Observation(NamedTuple):
    """The revision that a ready host said it had in force."""

    at_ms: float
    host: str
    revision: int


class FaultWindow(NamedTuple):
    """A fault and when it was in place.

    Attributes:
        from_ms: When it began.
        to_ms: When all of it had been taken back.
        what: Kind of the fault, such as `kill` or `platform_down`.
        target: Host or upstream that it struck, or empty.
    """

    from_ms: float
    to_ms: float
    kind: str
    target: str


class History(NamedTuple):
    """One run.

    Attributes:
        calls: Requests of callers.
        upstream_events: Events of all upstreams.
        changes: Changes of configuration.
        observations: Revisions in force on hosts, over time.
        faults: Faults that were injected.
        index_versions: Versions of the index that were ever published.
        final_change_ids: Changes that the catalog knew at the end.
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
    """Reads the records of upstreams, in time order."""
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
    """Reads which changes came into the catalog and were not overwritten.

    The catalog keeps recent changes only, so all its versions are read.

    Args:
        path: Record of the platform.
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
