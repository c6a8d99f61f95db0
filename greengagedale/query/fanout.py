"""The state of one search over all ranges of its pinned map.

A `FanOut` is told what happened and answers with the commands to carry out.
It does no input or output and reads no clock.
"""

from collections.abc import Iterable
import itertools
from typing import NamedTuple

from greengagedale import outcomes
from greengagedale.query import attempts
from greengagedale.query import coverage
from greengagedale.query import hits
from greengagedale.query import ranges
from greengagedale.query import snapshots
from greengagedale.routing import policies

RETRY_AFTER_MS = 200


class Search(NamedTuple):
    """What a caller asked for.

    Attributes:
        request_id: Identifier of the request.
        service: Service whose upstreams hold the data.
        text: The query.
        limit: How many hits are wanted.
        deadline_ms: When the answer is due, by the clock of the process.
    """

    request_id: str
    service: str
    text: str
    limit: int
    deadline_ms: float


class SearchAnswer(NamedTuple):
    """A whole or partial answer, drawn from one snapshot."""

    snapshot: snapshots.Snapshot
    coverage: coverage.Coverage
    hits: list[hits.Hit]


class Send(NamedTuple):
    """Command: send this attempt."""

    attempt: attempts.Attempt


class Cancel(NamedTuple):
    """Command: cancel this attempt; its answer is no longer wanted."""

    attempt: attempts.Attempt


class Finish(NamedTuple):
    """Command: answer the caller."""

    outcome: outcomes.Outcome


Command = Send | Cancel | Finish


class FanOut:
    """One search in progress."""

    def __init__(
        self,
        search: Search,
        pinned: snapshots.PinnedMap,
        policy: policies.RoutingPolicy,
    ) -> None:
        self._search = search
        self._pinned = pinned
        self._policy = policy
        self._sequence = itertools.count()
        self._open: dict[str, attempts.Attempt] = {}
        self._merged: dict[ranges.KeyRange, list[hits.Hit]] = {}
        self._reasons: dict[ranges.KeyRange, outcomes.Reason] = {}
        self._ends: list[outcomes.AttemptEnd] = []
        self._finished = False

    def start(self, now_ms: float) -> list[Command]:
        """Begins with one attempt for each range."""
        commands: list[Command] = [
            command
            for entry in self._pinned.ranges
            for command in self._send(entry, now_ms)
        ]
        return commands + self._finish_if_done()

    def on_result(
        self, attempt_id: str, result: attempts.AttemptResult, now_ms: float
    ) -> list[Command]:
        """Takes in how an attempt ended; late ends change nothing."""
        attempt = self._open.pop(attempt_id, None)
        if attempt is None or self._finished:
            return []
        if isinstance(result, attempts.Answered):
            self._merged.setdefault(attempt.key_range, result.hits)
        else:
            end = attempts.end_of(result)
            self._ends.append(end)
            self._reasons[attempt.key_range] = end.reason
        return self._finish_if_done()

    def on_deadline(self) -> list[Command]:
        """Ends the search with what has been merged."""
        if self._finished:
            return []
        return self._finish()

    def _send(
        self, entry: snapshots.RangeReplicas, now_ms: float
    ) -> Iterable[Command]:
        upstream = self._policy.choose(entry.upstreams)
        if upstream is None:
            self._reasons[entry.key_range] = outcomes.Reason.NO_REPLICA
            return []
        attempt = attempts.Attempt(
            f"{self._search.request_id}.{next(self._sequence)}",
            upstream,
            entry.key_range,
            self._pinned.snapshot,
            now_ms,
        )
        self._open[attempt.attempt_id] = attempt
        return [Send(attempt)]

    def _finish_if_done(self) -> list[Command]:
        return [] if self._open else self._finish()

    def _finish(self) -> list[Command]:
        self._finished = True
        cancels: list[Command] = [Cancel(a) for a in self._open.values()]
        return [*cancels, Finish(self._outcome())]

    def _outcome(self) -> outcomes.Outcome:
        covered = coverage.of_map(self._pinned, self._merged, self._reasons)
        if not self._merged:
            return self._without_answer(covered)
        merged = hits.merge(self._merged.values(), self._search.limit)
        return outcomes.Ran(
            SearchAnswer(self._pinned.snapshot, covered, merged)
        )

    def _without_answer(self, covered: coverage.Coverage) -> outcomes.Outcome:
        lost = [
            outcomes.AttemptEnd(outcomes.Reason.DEADLINE, True, False)
            for _ in self._open
        ]
        reasons = [item.reason for item in covered.missing]
        reason = reasons[0] if reasons else outcomes.Reason.NO_REPLICA
        return outcomes.of_attempts(self._ends + lost, reason, RETRY_AFTER_MS)
