"""The state of one search over all ranges of its pinned map.

A `FanOut` is told what happened and answers with the commands to carry out.
It does no input or output and reads no clock: `next_timer_ms` says when it
wants `on_timer` to be called.
"""

from collections.abc import Callable, Collection, Sequence
import itertools
from typing import Literal, NamedTuple

from greengagedale import outcomes
from greengagedale.query import attempts
from greengagedale.query import coverage
from greengagedale.query import events
from greengagedale.query import hits
from greengagedale.query import parts
from greengagedale.query import snapshots
from greengagedale.query import tactics as tactics_lib
from greengagedale.query import timers

RETRY_AFTER_MS = 200
_MOST_ROUNDS = 6
_ROUND_DELAY_MS = 10.0
_MOST_RESTARTS = 3
_MOST_LEFT_OUT = 0.1


class Search(NamedTuple):
    """What a caller asked for.

    Attributes:
        request_id: Identifier of the request.
        service: Service whose upstreams hold the data.
        text: The query.
        limit: How many hits are wanted.
        deadline_ms: When the answer is due, by the clock of the process.
        workspace: Workspace that it came through.
        prefer: Whether stragglers are left out or waited for.
        extra_load_share: Most attempts for speed alone, as a share.
    """

    request_id: str
    service: str
    text: str
    limit: int
    deadline_ms: float
    workspace: str = ""
    prefer: Literal["early", "complete"] = "complete"
    extra_load_share: float = 0.0


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

MapsSource = Callable[[], Sequence[snapshots.PinnedMap]]


class FanOut:
    """One search in progress."""

    def __init__(
        self,
        search: Search,
        pinned: snapshots.PinnedMap,
        tactics: tactics_lib.Tactics,
        maps: MapsSource = tuple,
        trace: events.Trace | None = None,
    ) -> None:
        """Makes the state of a search that has not begun.

        Args:
            search: What is asked for.
            pinned: The map to begin with.
            tactics: What the searches of the workspace share.
            maps: Returns the maps that a restart may choose among.
            trace: Takes the events of the search.
        """
        self._search = search
        self._pinned = pinned
        self._tactics = tactics
        self._maps = maps
        self._trace = trace if trace is not None else events.Trace()
        self._timings = tactics.timings()
        self._timers = timers.Timers()
        self._sequence = itertools.count()
        self._parts: list[parts.Part] = []
        self._by_attempt: dict[str, parts.Part] = {}
        self._unsettled = 0
        self._given_up: set[snapshots.Snapshot] = set()
        self._ends: list[outcomes.AttemptEnd] = []
        self._began_ms = 0.0
        self._finished = False

    def start(self, now_ms: float) -> list[Command]:
        """Begins with one attempt for each range."""
        self._began_ms = now_ms
        return self._begin(now_ms)

    def on_result(
        self, attempt_id: str, result: attempts.AttemptResult, now_ms: float
    ) -> list[Command]:
        """Takes in how an attempt ended; late ends change nothing."""
        part = self._by_attempt.pop(attempt_id, None)
        if part is None or self._finished:
            return []
        attempt = part.open.pop(attempt_id)
        if isinstance(result, attempts.Answered):
            commands = self._answered(part, attempt, result, now_ms)
        else:
            commands = self._failed(part, attempt, result, now_ms)
        return commands + self._finish_if_done(now_ms)

    def next_timer_ms(self) -> float:
        """Returns when `on_timer` is to be called next."""
        return min(self._search.deadline_ms, self._timers.next_ms())

    def on_timer(self, now_ms: float) -> list[Command]:
        """Does what is due."""
        if self._finished:
            return []
        if now_ms >= self._search.deadline_ms:
            return self.on_deadline(now_ms)
        commands: list[Command] = []
        while not self._finished and (due := self._timers.pop_due(now_ms)):
            commands += self._on_due(due, now_ms)
        if self._finished:
            return commands
        return commands + self._finish_if_done(now_ms)

    def on_deadline(self, now_ms: float) -> list[Command]:
        """Ends the search with what has been merged."""
        if self._finished:
            return []
        self._note(now_ms, events.What.DEADLINE, None, "", "deadline")
        return self._finish(now_ms)

    def abandon(self, now_ms: float) -> list[Command]:
        """Ends the search because nobody waits for its answer."""
        self._finished = True
        return self._cancel_all(now_ms)

    def _begin(self, now_ms: float) -> list[Command]:
        tactics = self._tactics
        refusing = tactics.holdings.refusing(self._pinned.snapshot, now_ms)
        self._parts = [
            parts.Part(entry, refusing) for entry in self._pinned.ranges
        ]
        self._unsettled = len(self._parts)
        tactics.hedge_budget.earn(len(self._parts))
        tactics.retry_budget.earn(len(self._parts))
        if tactics.adaptive and self._search.prefer == "early":
            due_ms = self._began_ms + self._timings.early_ms
            self._timers.add(due_ms, timers.Kind.EARLY)
        pinned = self._pinned
        commands: list[Command] = []
        for part in self._parts:
            sent = self._send(part, now_ms)
            commands += sent
            if not sent:
                part.reason = outcomes.Reason.NO_REPLICA
                commands += self._without_replica(part, now_ms)
            if self._pinned is not pinned:
                return commands
        return commands + self._finish_if_done(now_ms)

    def _send(
        self, part: parts.Part, now_ms: float, full: Collection[str] = ()
    ) -> list[Command]:
        avoid = part.avoid.union(full)
        upstream = self._tactics.policy.choose(part.entry.upstreams, avoid)
        if upstream is None:
            return []
        attempt = attempts.Attempt(
            f"{self._search.request_id}.{next(self._sequence)}",
            upstream,
            part.entry.key_range,
            self._pinned.snapshot,
            now_ms,
        )
        part.open[attempt.attempt_id] = attempt
        part.tried.add(upstream)
        self._by_attempt[attempt.attempt_id] = part
        if self._tactics.adaptive:
            self._watch(part, attempt, now_ms)
        return [Send(attempt)]

    def _watch(
        self, part: parts.Part, attempt: attempts.Attempt, now_ms: float
    ) -> None:
        hedge_ms = self._timings.hedge_ms
        progress_ms = self._progress_ms(part)
        if hedge_ms < progress_ms:
            due_ms = now_ms + hedge_ms
            self._timers.add(due_ms, timers.Kind.HEDGE, part, attempt)
        else:
            due_ms = now_ms + progress_ms
            self._timers.add(due_ms, timers.Kind.PROGRESS, part, attempt)

    def _progress_ms(self, part: parts.Part) -> float:
        return self._timings.progress_ms * part.progress_factor

    def _answered(
        self,
        part: parts.Part,
        attempt: attempts.Attempt,
        result: attempts.Answered,
        now_ms: float,
    ) -> list[Command]:
        part.hits = result.hits
        self._unsettled -= 1
        self._tactics.latencies.record(now_ms - attempt.sent_ms)
        return self._cancel_part(part, now_ms)

    def _failed(
        self,
        part: parts.Part,
        attempt: attempts.Attempt,
        result: attempts.Dropped | outcomes.AttemptEnd,
        now_ms: float,
    ) -> list[Command]:
        end = attempts.end_of(result)
        self._ends.append(end)
        part.reason = end.reason
        dropped = isinstance(result, attempts.Dropped)
        self._note(
            now_ms,
            events.What.DROP if dropped else events.What.FAILURE,
            part,
            attempt.upstream,
            result.field if dropped else end.reason,
        )
        if end.reason is outcomes.Reason.SNAPSHOT_GONE:
            part.gone.add(attempt.upstream)
            if self._tactics.adaptive:
                self._tactics.holdings.refuse(
                    attempt.snapshot, attempt.upstream, now_ms
                )
        if part.open:
            return []
        return self._retry(part, end.reason, end.retry_after_ms, now_ms)

    def _retry(
        self,
        part: parts.Part,
        reason: str,
        retry_after_ms: float,
        now_ms: float,
    ) -> list[Command]:
        if part.is_gone:
            return self._without_replica(part, now_ms)
        if not self._tactics.adaptive:
            return self._settle(part)
        if not self._has_untried(part):
            return self._wait_round(part, retry_after_ms, now_ms)
        sent = self._send_retry(part, reason, now_ms)
        return sent or self._wait_round(part, retry_after_ms, now_ms)

    def _send_retry(
        self, part: parts.Part, reason: str, now_ms: float
    ) -> list[Command]:
        budget = self._tactics.retry_budget
        if not budget.has_token(now_ms):
            self._note(now_ms, events.What.RETRY_DENIED, part, "", reason)
            return []
        sent = self._send(part, now_ms)
        if sent:
            budget.spend()
            self._note_sent(now_ms, events.What.RETRY, part, sent, reason)
        return sent

    def _has_untried(self, part: parts.Part) -> bool:
        return not part.avoid.issuperset(part.entry.upstreams)

    def _wait_round(
        self, part: parts.Part, retry_after_ms: float, now_ms: float
    ) -> list[Command]:
        """Tries all replicas again after a while, or gives the range up."""
        delay_ms = max(retry_after_ms, _ROUND_DELAY_MS * (1 << part.rounds))
        part.rounds += 1
        due_ms = now_ms + delay_ms
        if part.rounds >= _MOST_ROUNDS or due_ms >= self._search.deadline_ms:
            return self._settle(part)
        part.waiting = True
        part.tried.clear()
        part.gone.clear()
        self._timers.add(due_ms, timers.Kind.ROUND, part)
        return []

    def _next_round(self, part: parts.Part, now_ms: float) -> list[Command]:
        if part.reason is outcomes.Reason.SNAPSHOT_GONE:
            pinned = self._restart_map(now_ms)
            if pinned is not None:
                return self._restart(pinned, part, now_ms)
        return self._retry(part, "next_round", 0.0, now_ms)

    def _without_replica(
        self, part: parts.Part, now_ms: float
    ) -> list[Command]:
        """Restarts if no replica has the snapshot and another is listed.

        With none listed the replicas may still be loading this one, or this
        host has yet to hear of the next: after a while it looks again.
        """
        if not (part.is_gone and self._tactics.adaptive):
            return self._settle(part)
        part.reason = outcomes.Reason.SNAPSHOT_GONE
        pinned = self._restart_map(now_ms)
        if pinned is not None:
            return self._restart(pinned, part, now_ms)
        return self._wait_round(part, 0.0, now_ms)

    def _settle(self, part: parts.Part) -> list[Command]:
        self._unsettled -= 1
        return []

    def _restart_map(self, now_ms: float) -> snapshots.PinnedMap | None:
        self._given_up.add(self._pinned.snapshot)
        left_ms = self._search.deadline_ms - now_ms
        needed_ms = min(self._timings.hedge_ms, self._timings.progress_ms)
        if left_ms < needed_ms or len(self._given_up) > _MOST_RESTARTS:
            return None
        return self._tactics.holdings.choose(
            self._maps(), now_ms, self._given_up
        )

    def _restart(
        self, pinned: snapshots.PinnedMap, part: parts.Part, now_ms: float
    ) -> list[Command]:
        self._note(
            now_ms, events.What.RESTART, part, "", outcomes.Reason.SNAPSHOT_GONE
        )
        cancels = self._cancel_all(now_ms)
        self._timers.clear()
        self._pinned = pinned
        return cancels + self._begin(now_ms)

    def _on_due(self, due: timers.Timer, now_ms: float) -> list[Command]:
        match due:
            case timers.Timer(kind=timers.Kind.EARLY):
                return self._stop_early(now_ms)
            case timers.Timer(kind=timers.Kind.ROUND, part=parts.Part() as p):
                p.waiting = False
                return self._next_round(p, now_ms)
            case timers.Timer(
                kind=timers.Kind.HEDGE,
                part=parts.Part() as p,
                attempt=attempts.Attempt() as a,
            ):
                return self._hedge(p, a, now_ms)
            case timers.Timer(
                part=parts.Part() as p, attempt=attempts.Attempt() as a
            ):
                return self._without_progress(p, a, now_ms)
        return []

    def _hedge(
        self, part: parts.Part, attempt: attempts.Attempt, now_ms: float
    ) -> list[Command]:
        progress_ms = attempt.sent_ms + self._progress_ms(part)
        if not self._has_untried(part):
            self._timers.add(progress_ms, timers.Kind.PROGRESS, part, attempt)
            return []
        budget = self._tactics.hedge_budget
        if not budget.has_token(now_ms):
            self._postpone_hedge(part, attempt, "budget", now_ms)
            return []
        # A hedge that waits for a slot would only delay first attempts.
        has_room = self._tactics.has_room
        full = [name for name in part.entry.upstreams if not has_room(name)]
        sent = self._send(part, now_ms, full)
        if not sent:
            self._postpone_hedge(part, attempt, "no_slot", now_ms)
            return []
        budget.spend()
        self._timers.add(progress_ms, timers.Kind.PROGRESS, part, attempt)
        self._note_sent(now_ms, events.What.HEDGE, part, sent, "quantile")
        return sent

    def _postpone_hedge(
        self,
        part: parts.Part,
        attempt: attempts.Attempt,
        reason: str,
        now_ms: float,
    ) -> None:
        self._note(now_ms, events.What.HEDGE_DENIED, part, "", reason)
        progress_ms = attempt.sent_ms + self._progress_ms(part)
        again_ms = now_ms + self._timings.hedge_ms / 2
        kind = timers.Kind.HEDGE
        if again_ms >= progress_ms:
            again_ms, kind = progress_ms, timers.Kind.PROGRESS
        self._timers.add(again_ms, kind, part, attempt)

    def _without_progress(
        self, part: parts.Part, attempt: attempts.Attempt, now_ms: float
    ) -> list[Command]:
        """Gives up an attempt that another one can stand in for."""
        others: list[Command] = []
        if len(part.open) == 1:
            part.progress_factor *= 2
            others = self._replace(part, attempt, now_ms)
            if not others:
                again_ms = now_ms + self._progress_ms(part)
                kind = timers.Kind.PROGRESS
                self._timers.add(again_ms, kind, part, attempt)
                return []
        self._note(
            now_ms, events.What.NO_PROGRESS, part, attempt.upstream, "silent"
        )
        del part.open[attempt.attempt_id]
        return [*others, self._cancel(attempt)]

    def _replace(
        self, part: parts.Part, attempt: attempts.Attempt, now_ms: float
    ) -> list[Command]:
        """Sends another attempt, if need be to the same upstream."""
        if not self._has_untried(part):
            part.tried = {attempt.upstream}
        if not self._has_untried(part):
            part.tried.clear()
        return self._send_retry(part, outcomes.Reason.NO_PROGRESS, now_ms)

    def _stop_early(self, now_ms: float) -> list[Command]:
        if not self._may_leave_out():
            due_ms = now_ms + self._timings.hedge_ms
            self._timers.add(due_ms, timers.Kind.EARLY)
            return []
        for part in self._parts:
            if not part.is_settled:
                part.reason = outcomes.Reason.EARLY_STOP
                self._note(now_ms, events.What.EARLY_STOP, part, "", "bound")
        return self._finish(now_ms)

    def _may_leave_out(self) -> bool:
        return self._unsettled <= max(
            1, len(self._parts) * _MOST_LEFT_OUT
        ) and (self._unsettled < len(self._parts))

    def _cancel_part(self, part: parts.Part, now_ms: float) -> list[Command]:
        cancels: list[Command] = []
        for attempt in part.open.values():
            self._tactics.latencies.record(now_ms - attempt.sent_ms)
            cancels.append(self._cancel(attempt))
        part.open.clear()
        return cancels

    def _cancel_all(self, now_ms: float) -> list[Command]:
        return [
            command
            for part in self._parts
            for command in self._cancel_part(part, now_ms)
        ]

    def _cancel(self, attempt: attempts.Attempt) -> Cancel:
        self._by_attempt.pop(attempt.attempt_id, None)
        self._ends.append(
            outcomes.AttemptEnd(outcomes.Reason.DEADLINE, True, False)
        )
        return Cancel(attempt)

    def _finish_if_done(self, now_ms: float) -> list[Command]:
        if self._unsettled or self._finished:
            return []
        return self._finish(now_ms)

    def _finish(self, now_ms: float) -> list[Command]:
        self._finished = True
        cancels = self._cancel_all(now_ms)
        return [*cancels, Finish(self._outcome())]

    def _outcome(self) -> outcomes.Outcome:
        merged = {
            part.entry.key_range: part.hits
            for part in self._parts
            if part.hits is not None
        }
        reasons = {part.entry.key_range: part.reason for part in self._parts}
        covered = coverage.of_map(self._pinned, merged, reasons)
        if not merged:
            return self._without_answer(covered)
        best = hits.merge(merged.values(), self._search.limit)
        return outcomes.Ran(SearchAnswer(self._pinned.snapshot, covered, best))

    def _without_answer(self, covered: coverage.Coverage) -> outcomes.Outcome:
        reasons = [item.reason for item in covered.missing]
        reason = reasons[0] if reasons else outcomes.Reason.NO_REPLICA
        return outcomes.of_attempts(self._ends, reason, RETRY_AFTER_MS)

    def _note_sent(
        self,
        now_ms: float,
        what: events.What,
        part: parts.Part,
        sent: Sequence[Command],
        reason: str,
    ) -> None:
        for command in sent:
            if isinstance(command, Send):
                upstream = command.attempt.upstream
                self._note(now_ms, what, part, upstream, reason)

    def _note(
        self,
        now_ms: float,
        what: events.What,
        part: parts.Part | None,
        upstream: str,
        reason: str,
    ) -> None:
        key_range = part.entry.key_range if part is not None else None
        at_ms = now_ms - self._began_ms
        self._trace.add(events.Event(at_ms, what, key_range, upstream, reason))
