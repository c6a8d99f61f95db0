"""Checkers of the guarantees that every history must satisfy.

There is one function for each guarantee. It returns the violations that it
finds and has no side effects.
"""

import collections
from collections.abc import Callable, Iterable, Iterator
import itertools
from typing import NamedTuple

from greengagedale.query import hits
from greengagedale.query import ranges
from proofs import history as history_lib
from standins import synthetic_documents

DRAIN_BOUND_MS = 2000.0
CONFIGURATION_BOUND_MS = 6000.0


class Violation(NamedTuple):
    """A guarantee that a history violates.

    Attributes:
        check: Name of the checker.
        detail: Description of the violation.
    """

    check: str
    detail: str


Checker = Callable[[history_lib.History], list[Violation]]


def one_snapshot(history: history_lib.History) -> list[Violation]:
    """Checks that every answer comes from a single published snapshot."""
    return [
        Violation("one_snapshot", f"{call.request_id}: {error}")
        for call in _answered_searches(history)
        for error in _snapshot_errors(call, history.index_versions)
    ]


def true_coverage(history: history_lib.History) -> list[Violation]:
    """Checks that coverage adds up and that each covered range was answered."""
    answered = collections.defaultdict(set)
    for event in history.upstream_events:
        if event.event == "answer":
            request_id = event.attempt_id.rpartition(".")[0]
            answered[request_id].add(event.holding)
    return [
        Violation("true_coverage", f"{call.request_id}: {error}")
        for call in _answered_searches(history)
        for error in _coverage_errors(call, answered[call.request_id])
    ]


def whole_and_own(history: history_lib.History) -> list[Violation]:
    """Checks that every answer has exactly the hits of its own request."""
    searches = list(_answered_searches(history))
    counts = collections.Counter(call.request_id for call in searches)
    duplicates = [
        Violation("whole_and_own", f"{request_id} was answered {count} times")
        for request_id, count in counts.items()
        if count > 1
    ]
    mismatched = [
        Violation("whole_and_own", f"{call.request_id}: hits of {call.text!r}")
        for call in searches
        if [hits.Hit(*item) for item in call.body["hits"]]
        != _expected_hits(call)
    ]
    return duplicates + mismatched


def not_run_is_true(history: history_lib.History) -> list[Violation]:
    """Checks that no request that was reported as not run was run."""
    ran = {
        event.attempt_id.rpartition(".")[0]
        for event in history.upstream_events
        if event.event in ("search", "act")
    }
    not_run = [call for call in history.calls if call.outcome == "not_run"]
    by_request = [
        Violation("not_run_is_true", f"{call.request_id} ran")
        for call in not_run
        if call.request_id in ran
    ]
    outcomes_of = collections.defaultdict(set)
    for call in history.calls:
        if call.kind == "act":
            outcomes_of[call.key].add(call.outcome)
    by_key = [
        Violation("not_run_is_true", f"key {event.key} ran")
        for event in _actions(history)
        if outcomes_of[event.key] == {"not_run"}
    ]
    return by_request + by_key


def at_most_once(history: history_lib.History) -> list[Violation]:
    """Checks that no idempotency key of an action ran twice."""
    counts = collections.Counter(event.key for event in _actions(history))
    return [
        Violation("at_most_once", f"key {key} ran {count} times")
        for key, count in counts.items()
        if count > 1
    ]


def no_work_to_leaving(history: history_lib.History) -> list[Violation]:
    """Checks that draining upstreams get no requests after the bound."""
    violations = []
    draining_since: dict[str, float] = {}
    for event in history.upstream_events:
        if event.draining is True:
            draining_since.setdefault(event.upstream, event.at_ms)
        elif event.draining is False:
            draining_since.pop(event.upstream, None)
        since_ms = draining_since.get(event.upstream, event.at_ms)
        is_late = event.at_ms - since_ms > DRAIN_BOUND_MS
        if is_late and event.event in ("search", "act", "refused_draining"):
            violations.append(
                Violation(
                    "no_work_to_leaving",
                    f"{event.upstream} got {event.attempt_id} "
                    f"{event.at_ms - since_ms:.0f} ms after it began to leave",
                )
            )
    return violations


def shutdown_cuts_nothing(history: history_lib.History) -> list[Violation]:
    """Checks that requests are answered if their host had no hard fault.

    Hard faults end or block a host without a graceful shutdown.
    """
    hard_faults = {"kill", "freeze", "cut"}
    return [
        Violation(
            "shutdown_cuts_nothing",
            f"{call.kind} at {call.host} ended by {call.failure}",
        )
        for call in history.calls
        if call.failure in ("cut", "timeout")
        and not any(
            fault.kind in hard_faults
            and fault.target == call.host
            and fault.from_ms <= call.done_ms
            and call.at_ms <= fault.to_ms
            for fault in history.faults
        )
    ]


def configuration_holds(history: history_lib.History) -> list[Violation]:
    """Checks that accepted changes become active everywhere and stay so."""
    accepted = [c for c in history.changes if c.outcome == "accepted"]
    lost = [
        Violation("configuration_holds", f"change {change.change_id} is lost")
        for change in accepted
        if change.change_id not in history.final_change_ids
    ]
    return [
        *lost,
        *_revision_decreases(history),
        *_stale_revisions(history, accepted),
    ]


ALL: tuple[Checker, ...] = (
    one_snapshot,
    true_coverage,
    whole_and_own,
    not_run_is_true,
    at_most_once,
    no_work_to_leaving,
    shutdown_cuts_nothing,
    configuration_holds,
)


def check(history: history_lib.History) -> list[Violation]:
    """Returns the violations violations by all checkers."""
    return list(
        itertools.chain.from_iterable(checker(history) for checker in ALL)
    )


def _answered_searches(
    history: history_lib.History,
) -> Iterator[history_lib.Call]:
    return (
        call
        for call in history.calls
        if call.kind == "search" and call.outcome == "ran"
    )


def _actions(
    history: history_lib.History,
) -> Iterator[history_lib.UpstreamEvent]:
    return (e for e in history.upstream_events if e.event == "act")


def _snapshot_errors(
    call: history_lib.Call, published: frozenset[int]
) -> Iterator[str]:
    version = call.body["snapshot"]["index_version"]
    if version not in published:
        yield f"version {version} was never published"
    hit_versions = {item[2] for item in call.body["hits"]}
    if not hit_versions <= {f"v{version}"}:
        yield f"stated v{version}, hits of {sorted(hit_versions)}"


def _coverage_errors(
    call: history_lib.Call, answered: set[tuple[int, ...]]
) -> Iterator[str]:
    coverage = call.body["coverage"]
    missing_width = sum(
        item["high"] - item["low"] for item in coverage["missing"]
    )
    if coverage["total"] != ranges.KEY_SPACE.width:
        yield f"total is {coverage['total']}"
    if coverage["covered"] != coverage["total"] - missing_width:
        yield "covered and missing do not add up to the total"
    snapshot = call.body["snapshot"]
    pinned = (snapshot["index_version"], snapshot["map_version"])
    subranges = sorted(
        answered_range[2:]
        for answered_range in answered
        if answered_range[:2] == pinned
    )
    uncovered = [
        subrange
        for subrange in _covered_ranges(call)
        if not _is_fully_covered(
            subrange, [p for p in subranges if _is_inside(p, subrange)]
        )
    ]
    if uncovered:
        yield f"no upstream answered {uncovered}"


def _covered_ranges(call: history_lib.Call) -> list[ranges.KeyRange]:
    """Returns the key ranges that an answer reports as covered."""
    missing = sorted(
        (item["low"], item["high"]) for item in call.body["coverage"]["missing"]
    )
    lows = [0, *(high for _, high in missing)]
    highs = [*(low for low, _ in missing), ranges.KEY_SPACE.high]
    return [
        ranges.KeyRange(low, high)
        for low, high in zip(lows, highs, strict=True)
        if low < high
    ]


def _is_inside(subrange: tuple[int, ...], key_range: ranges.KeyRange) -> bool:
    return key_range.low <= subrange[0] and subrange[1] <= key_range.high


def _is_fully_covered(
    key_range: ranges.KeyRange, subranges: Iterable[tuple[int, ...]]
) -> bool:
    covered_to = key_range.low
    for low, high in subranges:
        if low > covered_to:
            return False
        covered_to = max(covered_to, high)
    return covered_to >= key_range.high


def _expected_hits(call: history_lib.Call) -> list[hits.Hit]:
    version = call.body["snapshot"]["index_version"]
    subranges = (
        synthetic_documents.search(subrange, version, call.text, call.limit)
        for subrange in _covered_ranges(call)
    )
    return hits.merge(subranges, call.limit)


def _revision_decreases(history: history_lib.History) -> list[Violation]:
    violations = []
    highest: dict[str, int] = {}
    for observed in sorted(history.observations):
        last = highest.get(observed.host, 0)
        if observed.revision < last:
            violations.append(
                Violation(
                    "configuration_holds",
                    f"{observed.host} went from {last} to {observed.revision}",
                )
            )
        highest[observed.host] = max(last, observed.revision)
    return violations


def _stale_revisions(
    history: history_lib.History, accepted: list[history_lib.Change]
) -> list[Violation]:
    return [
        Violation(
            "configuration_holds",
            f"{observed.host} had {observed.revision}, not {change.revision}, "
            f"{observed.at_ms - change.done_ms:.0f} ms after it was accepted",
        )
        for change in accepted
        for observed in history.observations
        if observed.revision < change.revision
        and observed.at_ms > change.done_ms + CONFIGURATION_BOUND_MS
        and not _was_affected_by_fault(
            history, observed.host, change.done_ms, observed.at_ms
        )
    ]


def _was_affected_by_fault(
    history: history_lib.History, host: str, from_ms: float, to_ms: float
) -> bool:
    return any(
        fault.target == host
        and fault.from_ms <= to_ms
        and from_ms <= fault.to_ms + CONFIGURATION_BOUND_MS
        for fault in history.faults
    )
