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
from greengagedale.query import range_states
from greengagedale.query import snapshots
from greengagedale.query import strategies as strategies_lib
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

MapProvider = Callable[[], Sequence[snapshots.PartitionMap]]


class FanOut:
    """One search in progress."""

    def __init__(
        self,
        search: Search,
        pinned: snapshots.PartitionMap,
        strategy: strategies_lib.SearchStrategy,
        maps: MapProvider = tuple,
        trace: events.Trace | None = None,
    ) -> None:
        """Makes the state of a search that has not begun.

        Args:
            search: What is asked for.
            pinned: The map to begin with.
            strategy: Shared by the searches of the workspace.
            maps: Returns the maps that a restart may choose among.
            trace: Takes the events of the search.
        """
        self._search = search
        self._pinned = pinned
        self._strategy = strategy
        self._maps = maps
        self._trace = trace if trace is not None else events.Trace()
        self._timings = strategy.timings()
        self._timers = timers.Timers()
        self._sequence = itertools.count()
        self._range_states: list[range_states.RangeState] = []
        self._by_attempt: dict[str, range_states.RangeState] = {}
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
        range_state = self._by_attempt.pop(attempt_id, None)
        if range_state is None or self._finished:
            return []
        attempt = range_state.open.pop(attempt_id)
        if isinstance(result, attempts.Answered):
            commands = self._answered(range_state, attempt, result, now_ms)
        else:
            commands = self._failed(range_state, attempt, result, now_ms)
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
        self._note(now_ms, events.EventKind.DEADLINE, None, "", "deadline")
        return self._finish(now_ms)

    def abandon(self, now_ms: float) -> list[Command]:
        """Ends the search because nobody waits for its answer."""
        self._finished = True
        return self._cancel_all(now_ms)

    def _begin(self, now_ms: float) -> list[Command]:
        strategy = self._strategy
        refusing = strategy.snapshot_refusals.refusing_upstreams(
            self._pinned.snapshot, now_ms
        )
        self._range_states = [
            range_states.RangeState(entry, refusing)
            for entry in self._pinned.ranges
        ]
        self._unsettled = len(self._range_states)
        strategy.hedge_budget.deposit(len(self._range_states))
        strategy.retry_budget.deposit(len(self._range_states))
        if strategy.adaptive and self._search.prefer == "early":
            due_ms = self._began_ms + self._timings.early_ms
            self._timers.add(due_ms, timers.Kind.EARLY)
        pinned = self._pinned
        commands: list[Command] = []
        for range_state in self._range_states:
            sent = self._send(range_state, now_ms)
            commands += sent
            if not sent:
                range_state.reason = outcomes.Reason.NO_REPLICA
                commands += self._without_replica(range_state, now_ms)
            if self._pinned is not pinned:
                return commands
        return commands + self._finish_if_done(now_ms)

    def _send(
        self,
        range_state: range_states.RangeState,
        now_ms: float,
        full: Collection[str] = (),
    ) -> list[Command]:
        avoid = range_state.avoid.union(full)
        upstream = self._strategy.policy.choose(
            range_state.entry.upstreams, avoid
        )
        if upstream is None:
            return []
        attempt = attempts.Attempt(
            f"{self._search.request_id}.{next(self._sequence)}",
            upstream,
            range_state.entry.key_range,
            self._pinned.snapshot,
            now_ms,
        )
        range_state.open[attempt.attempt_id] = attempt
        range_state.tried.add(upstream)
        self._by_attempt[attempt.attempt_id] = range_state
        if self._strategy.adaptive:
            self._watch(range_state, attempt, now_ms)
        return [Send(attempt)]

    def _watch(
        self,
        range_state: range_states.RangeState,
        attempt: attempts.Attempt,
        now_ms: float,
    ) -> None:
        hedge_ms = self._timings.hedge_ms
        progress_ms = self._progress_ms(range_state)
        if hedge_ms < progress_ms:
            due_ms = now_ms + hedge_ms
            self._timers.add(due_ms, timers.Kind.HEDGE, range_state, attempt)
        else:
            due_ms = now_ms + progress_ms
            self._timers.add(due_ms, timers.Kind.PROGRESS, range_state, attempt)

    def _progress_ms(self, range_state: range_states.RangeState) -> float:
        return self._timings.progress_ms * range_state.progress_factor

    def _answered(
        self,
        range_state: range_states.RangeState,
        attempt: attempts.Attempt,
        result: attempts.Answered,
        now_ms: float,
    ) -> list[Command]:
        range_state.hits = result.hits
        self._unsettled -= 1
        self._strategy.latencies.record(now_ms - attempt.sent_ms)
        return self._cancel_part(range_state, now_ms)

    def _failed(
        self,
        range_state: range_states.RangeState,
        attempt: attempts.Attempt,
        result: attempts.Dropped | outcomes.AttemptEnd,
        now_ms: float,
    ) -> list[Command]:
        end = attempts.end_of(result)
        self._ends.append(end)
        range_state.reason = end.reason
        dropped = isinstance(result, attempts.Dropped)
        self._note(
            now_ms,
            events.EventKind.DROP if dropped else events.EventKind.FAILURE,
            range_state,
            attempt.upstream,
            result.field if dropped else end.reason,
        )
        if end.reason is outcomes.Reason.SNAPSHOT_GONE:
            range_state.gone.add(attempt.upstream)
            if self._strategy.adaptive:
                self._strategy.snapshot_refusals.add_refusal(
                    attempt.snapshot, attempt.upstream, now_ms
                )
        if range_state.open:
            return []
        return self._retry(range_state, end.reason, end.retry_after_ms, now_ms)

    def _retry(
        self,
        range_state: range_states.RangeState,
        reason: str,
        retry_after_ms: float,
        now_ms: float,
    ) -> list[Command]:
        if range_state.is_gone:
            return self._without_replica(range_state, now_ms)
        if not self._strategy.adaptive:
            return self._settle(range_state)
        if not self._has_untried(range_state):
            return self._wait_round(range_state, retry_after_ms, now_ms)
        sent = self._send_retry(range_state, reason, now_ms)
        return sent or self._wait_round(range_state, retry_after_ms, now_ms)

    def _send_retry(
        self, range_state: range_states.RangeState, reason: str, now_ms: float
    ) -> list[Command]:
        budget = self._strategy.retry_budget
        if not budget.has_token(now_ms):
            self._note(
                now_ms, events.EventKind.RETRY_DENIED, range_state, "", reason
            )
            return []
        sent = self._send(range_state, now_ms)
        if sent:
            budget.withdraw()
            self._note_sent(
                now_ms, events.EventKind.RETRY, range_state, sent, reason
            )
        return sent

    def _has_untried(self, range_state: range_states.RangeState) -> bool:
        return not range_state.avoid.issuperset(range_state.entry.upstreams)

    def _wait_round(
        self,
        range_state: range_states.RangeState,
        retry_after_ms: float,
        now_ms: float,
    ) -> list[Command]:
        """Tries all replicas again after a while, or gives the range up."""
        delay_ms = max(
            retry_after_ms, _ROUND_DELAY_MS * (1 << range_state.rounds)
        )
        range_state.rounds += 1
        due_ms = now_ms + delay_ms
        if (
            range_state.rounds >= _MOST_ROUNDS
            or due_ms >= self._search.deadline_ms
        ):
            return self._settle(range_state)
        range_state.waiting = True
        range_state.tried.clear()
        range_state.gone.clear()
        self._timers.add(due_ms, timers.Kind.ROUND, range_state)
        return []

    def _next_round(
        self, range_state: range_states.RangeState, now_ms: float
    ) -> list[Command]:
        if range_state.reason is outcomes.Reason.SNAPSHOT_GONE:
            pinned = self._restart_map(now_ms)
            if pinned is not None:
                return self._restart(pinned, range_state, now_ms)
        return self._retry(range_state, "next_round", 0.0, now_ms)

    def _without_replica(
        self, range_state: range_states.RangeState, now_ms: float
    ) -> list[Command]:
        """Restarts if no replica has the snapshot and another is listed.

        With none listed the replicas may still be loading this one, or this
        host has yet to hear of the next: after a while it looks again.
        """
        if not (range_state.is_gone and self._strategy.adaptive):
            return self._settle(range_state)
        range_state.reason = outcomes.Reason.SNAPSHOT_GONE
        pinned = self._restart_map(now_ms)
        if pinned is not None:
            return self._restart(pinned, range_state, now_ms)
        return self._wait_round(range_state, 0.0, now_ms)

    def _settle(self, range_state: range_states.RangeState) -> list[Command]:
        self._unsettled -= 1
        return []

    def _restart_map(self, now_ms: float) -> snapshots.PartitionMap | None:
        self._given_up.add(self._pinned.snapshot)
        left_ms = self._search.deadline_ms - now_ms
        needed_ms = min(self._timings.hedge_ms, self._timings.progress_ms)
        if left_ms < needed_ms or len(self._given_up) > _MOST_RESTARTS:
            return None
        return self._strategy.snapshot_refusals.choose_map(
            self._maps(), now_ms, self._given_up
        )

    def _restart(
        self,
        pinned: snapshots.PartitionMap,
        range_state: range_states.RangeState,
        now_ms: float,
    ) -> list[Command]:
        self._note(
            now_ms,
            events.EventKind.RESTART,
            range_state,
            "",
            outcomes.Reason.SNAPSHOT_GONE,
        )
        cancels = self._cancel_all(now_ms)
        self._timers.clear()
        self._pinned = pinned
        return cancels + self._begin(now_ms)

    def _on_due(self, due: timers.Timer, now_ms: float) -> list[Command]:
        match due:
            case timers.Timer(kind=timers.Kind.EARLY):
                return self._stop_early(now_ms)
            case timers.Timer(
                kind=timers.Kind.ROUND,
                range_state=range_states.RangeState() as p,
            ):
                p.waiting = False
                return self._next_round(p, now_ms)
            case timers.Timer(
                kind=timers.Kind.HEDGE,
                range_state=range_states.RangeState() as p,
                attempt=attempts.Attempt() as a,
            ):
                return self._hedge(p, a, now_ms)
            case timers.Timer(
                range_state=range_states.RangeState() as p,
                attempt=attempts.Attempt() as a,
            ):
                return self._without_progress(p, a, now_ms)
        return []

    def _hedge(
        self,
        range_state: range_states.RangeState,
        attempt: attempts.Attempt,
        now_ms: float,
    ) -> list[Command]:
        progress_ms = attempt.sent_ms + self._progress_ms(range_state)
        if not self._has_untried(range_state):
            self._timers.add(
                progress_ms, timers.Kind.PROGRESS, range_state, attempt
            )
            return []
        budget = self._strategy.hedge_budget
        if not budget.has_token(now_ms):
            self._postpone_hedge(range_state, attempt, "budget", now_ms)
            return []
        # A hedge that waits for a slot would only delay first attempts.
        has_room = self._strategy.has_room
        full = [
            name for name in range_state.entry.upstreams if not has_room(name)
        ]
        sent = self._send(range_state, now_ms, full)
        if not sent:
            self._postpone_hedge(range_state, attempt, "no_slot", now_ms)
            return []
        budget.withdraw()
        self._timers.add(
            progress_ms, timers.Kind.PROGRESS, range_state, attempt
        )
        self._note_sent(
            now_ms, events.EventKind.HEDGE, range_state, sent, "quantile"
        )
        return sent

    def _postpone_hedge(
        self,
        range_state: range_states.RangeState,
        attempt: attempts.Attempt,
        reason: str,
        now_ms: float,
    ) -> None:
        self._note(
            now_ms, events.EventKind.HEDGE_DENIED, range_state, "", reason
        )
        progress_ms = attempt.sent_ms + self._progress_ms(range_state)
        again_ms = now_ms + self._timings.hedge_ms / 2
        kind = timers.Kind.HEDGE
        if again_ms >= progress_ms:
            again_ms, kind = progress_ms, timers.Kind.PROGRESS
        self._timers.add(again_ms, kind, range_state, attempt)

    def _without_progress(
        self,
        range_state: range_states.RangeState,
        attempt: attempts.Attempt,
        now_ms: float,
    ) -> list[Command]:
        """Gives up an attempt that another one can stand in for."""
        others: list[Command] = []
        if len(range_state.open) == 1:
            range_state.progress_factor *= 2
            others = self._replace(range_state, attempt, now_ms)
            if not others:
                again_ms = now_ms + self._progress_ms(range_state)
                kind = timers.Kind.PROGRESS
                self._timers.add(again_ms, kind, range_state, attempt)
                return []
        self._note(
            now_ms,
            events.EventKind.NO_PROGRESS,
            range_state,
            attempt.upstream,
            "silent",
        )
        del range_state.open[attempt.attempt_id]
        return [*others, self._cancel(attempt)]

    def _replace(
        self,
        range_state: range_states.RangeState,
        attempt: attempts.Attempt,
        now_ms: float,
    ) -> list[Command]:
        """Sends another attempt, if need be to the same upstream."""
        if not self._has_untried(range_state):
            range_state.tried = {attempt.upstream}
        if not self._has_untried(range_state):
            range_state.tried.clear()
        return self._send_retry(
            range_state, outcomes.Reason.NO_PROGRESS, now_ms
        )

    def _stop_early(self, now_ms: float) -> list[Command]:
        if not self._may_leave_out():
            due_ms = now_ms + self._timings.hedge_ms
            self._timers.add(due_ms, timers.Kind.EARLY)
            return []
        for range_state in self._range_states:
            if not range_state.is_settled:
                range_state.reason = outcomes.Reason.EARLY_STOP
                self._note(
                    now_ms,
                    events.EventKind.EARLY_STOP,
                    range_state,
                    "",
                    "bound",
                )
        return self._finish(now_ms)

    def _may_leave_out(self) -> bool:
        return self._unsettled <= max(
            1, len(self._range_states) * _MOST_LEFT_OUT
        ) and (self._unsettled < len(self._range_states))

    def _cancel_part(
        self, range_state: range_states.RangeState, now_ms: float
    ) -> list[Command]:
        cancels: list[Command] = []
        for attempt in range_state.open.values():
            self._strategy.latencies.record(now_ms - attempt.sent_ms)
            cancels.append(self._cancel(attempt))
        range_state.open.clear()
        return cancels

    def _cancel_all(self, now_ms: float) -> list[Command]:
        return [
            command
            for range_state in self._range_states
            for command in self._cancel_part(range_state, now_ms)
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
            range_state.entry.key_range: range_state.hits
            for range_state in self._range_states
            if range_state.hits is not None
        }
        reasons = {
            range_state.entry.key_range: range_state.reason
            for range_state in self._range_states
        }
        covered = coverage.compute_coverage(self._pinned, merged, reasons)
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
        what: events.EventKind,
        range_state: range_states.RangeState,
        sent: Sequence[Command],
        reason: str,
    ) -> None:
        for command in sent:
            if isinstance(command, Send):
                upstream = command.attempt.upstream
                self._note(now_ms, what, range_state, upstream, reason)

    def _note(
        self,
        now_ms: float,
        what: events.EventKind,
        range_state: range_states.RangeState | None,
        upstream: str,
        reason: str,
    ) -> None:
        key_range = (
            range_state.entry.key_range if range_state is not None else None
        )
        at_ms = now_ms - self._began_ms
        self._trace.add(events.Event(at_ms, what, key_range, upstream, reason))
