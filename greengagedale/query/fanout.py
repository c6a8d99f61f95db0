"""State machine of one search over all ranges of its partition map.

The caller reports events to a `FanOut` and executes the commands that it
returns. `FanOut` does no I/O and reads no clock: `next_timer_ms` returns the
time at which `on_timer` must be called.
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
_MAX_ROUNDS = 6
_ROUND_DELAY_MS = 10.0
_MAX_RESTARTS = 3
_MAX_OMITTED_SHARE = 0.1


class Search(NamedTuple):
    """A search request of a caller.

    Attributes:
        request_id: Identifier of the request.
        service: Service whose upstreams hold the data.
        text: Query text.
        limit: Maximum number of hits to return.
        deadline_ms: Deadline of the answer, by the clock of the process.
        workspace: Workspace that the request was sent to.
        prefer: Whether to leave out stragglers ("early") or to wait for them
            until the deadline ("complete").
        extra_load_share: Maximum number of hedges, as a share of the first
            attempts.
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
    """A complete or partial answer from a single snapshot."""

    snapshot: snapshots.Snapshot
    coverage: coverage.Coverage
    hits: list[hits.Hit]


class Send(NamedTuple):
    """Command to send an attempt."""

    attempt: attempts.Attempt


class Cancel(NamedTuple):
    """Command to cancel an attempt whose answer is no longer needed."""

    attempt: attempts.Attempt


class Finish(NamedTuple):
    """Command to answer the caller."""

    outcome: outcomes.Outcome


Command = Send | Cancel | Finish

MapProvider = Callable[[], Sequence[snapshots.PartitionMap]]


class FanOut:
    """State of one search in progress."""

    def __init__(
        self,
        search: Search,
        pinned: snapshots.PartitionMap,
        strategy: strategies_lib.SearchStrategy,
        maps: MapProvider = tuple,
        trace: events.Trace | None = None,
    ) -> None:
        """Initializes a search that has not been started.

        Args:
            search: The search request.
            pinned: Partition map that the search is first pinned to.
            strategy: Strategy that the searches of the workspace share.
            maps: Returns the maps that a restart may choose from.
            trace: Records the events of the search.
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
        self._pending_ranges = 0
        self._abandoned_snapshots: set[snapshots.Snapshot] = set()
        self._failures: list[outcomes.AttemptFailure] = []
        self._started_ms = 0.0
        self._finished = False

    def start(self, now_ms: float) -> list[Command]:
        """Starts the search with one attempt for each range."""
        self._started_ms = now_ms
        return self._start_ranges(now_ms)

    def on_result(
        self, attempt_id: str, result: attempts.AttemptResult, now_ms: float
    ) -> list[Command]:
        """Processes the result of an attempt.

        Results of attempts that were cancelled, and results that come after
        the end of the search, are ignored.
        """
        range_state = self._by_attempt.pop(attempt_id, None)
        if range_state is None or self._finished:
            return []
        attempt = range_state.in_flight.pop(attempt_id)
        if isinstance(result, attempts.Answered):
            commands = self._on_answer(range_state, attempt, result, now_ms)
        else:
            commands = self._on_failure(range_state, attempt, result, now_ms)
        return commands + self._finish_if_done(now_ms)

    def next_timer_ms(self) -> float:
        """Returns the time at which `on_timer` must be called next."""
        return min(self._search.deadline_ms, self._timers.next_ms())

    def on_timer(self, now_ms: float) -> list[Command]:
        """Runs all timers that are due."""
        if self._finished:
            return []
        if now_ms >= self._search.deadline_ms:
            return self.on_deadline(now_ms)
        commands: list[Command] = []
        while not self._finished and (timer := self._timers.pop_due(now_ms)):
            commands += self._on_timer_due(timer, now_ms)
        if self._finished:
            return commands
        return commands + self._finish_if_done(now_ms)

    def on_deadline(self, now_ms: float) -> list[Command]:
        """Ends the search with the ranges that have been answered."""
        if self._finished:
            return []
        self._record_event(
            now_ms, events.EventKind.DEADLINE, None, "", "deadline"
        )
        return self._finish(now_ms)

    def abandon(self, now_ms: float) -> list[Command]:
        """Ends the search because the caller no longer waits for an answer."""
        self._finished = True
        return self._cancel_all(now_ms)

    def _start_ranges(self, now_ms: float) -> list[Command]:
        strategy = self._strategy
        refusing = strategy.snapshot_refusals.refusing_upstreams(
            self._pinned.snapshot, now_ms
        )
        self._range_states = [
            range_states.RangeState(replicas, refusing)
            for replicas in self._pinned.ranges
        ]
        self._pending_ranges = len(self._range_states)
        strategy.hedge_budget.deposit(len(self._range_states))
        strategy.retry_budget.deposit(len(self._range_states))
        if strategy.adaptive and self._search.prefer == "early":
            due_ms = self._started_ms + self._timings.early_stop_ms
            self._timers.add(due_ms, timers.Kind.EARLY_STOP)
        pinned = self._pinned
        commands: list[Command] = []
        for range_state in self._range_states:
            sent = self._send(range_state, now_ms)
            commands += sent
            if not sent:
                range_state.reason = outcomes.Reason.NO_REPLICA
                commands += self._on_no_replica(range_state, now_ms)
            if self._pinned is not pinned:
                return commands
        return commands + self._finish_if_done(now_ms)

    def _send(
        self,
        range_state: range_states.RangeState,
        now_ms: float,
        saturated: Collection[str] = (),
    ) -> list[Command]:
        excluded = range_state.excluded.union(saturated)
        upstream = self._strategy.policy.choose(
            range_state.replicas.upstreams, excluded
        )
        if upstream is None:
            return []
        attempt = attempts.Attempt(
            f"{self._search.request_id}.{next(self._sequence)}",
            upstream,
            range_state.replicas.key_range,
            self._pinned.snapshot,
            now_ms,
        )
        range_state.in_flight[attempt.attempt_id] = attempt
        range_state.tried.add(upstream)
        self._by_attempt[attempt.attempt_id] = range_state
        if self._strategy.adaptive:
            self._schedule_attempt_timer(range_state, attempt, now_ms)
        return [Send(attempt)]

    def _schedule_attempt_timer(
        self,
        range_state: range_states.RangeState,
        attempt: attempts.Attempt,
        now_ms: float,
    ) -> None:
        hedge_delay_ms = self._timings.hedge_delay_ms
        progress_timeout_ms = self._progress_timeout_ms(range_state)
        if hedge_delay_ms < progress_timeout_ms:
            due_ms = now_ms + hedge_delay_ms
            self._timers.add(due_ms, timers.Kind.HEDGE, range_state, attempt)
        else:
            due_ms = now_ms + progress_timeout_ms
            self._timers.add(
                due_ms, timers.Kind.PROGRESS_TIMEOUT, range_state, attempt
            )

    def _progress_timeout_ms(
        self, range_state: range_states.RangeState
    ) -> float:
        return self._timings.progress_timeout_ms * range_state.progress_factor

    def _on_answer(
        self,
        range_state: range_states.RangeState,
        attempt: attempts.Attempt,
        result: attempts.Answered,
        now_ms: float,
    ) -> list[Command]:
        range_state.hits = result.hits
        self._pending_ranges -= 1
        self._strategy.latencies.record(now_ms - attempt.sent_ms)
        return self._cancel_range(range_state, now_ms)

    def _on_failure(
        self,
        range_state: range_states.RangeState,
        attempt: attempts.Attempt,
        result: attempts.Dropped | outcomes.AttemptFailure,
        now_ms: float,
    ) -> list[Command]:
        failure = attempts.to_failure(result)
        self._failures.append(failure)
        range_state.reason = failure.reason
        dropped = isinstance(result, attempts.Dropped)
        self._record_event(
            now_ms,
            events.EventKind.DROP if dropped else events.EventKind.FAILURE,
            range_state,
            attempt.upstream,
            result.field if dropped else failure.reason,
        )
        if failure.reason is outcomes.Reason.SNAPSHOT_GONE:
            range_state.without_snapshot.add(attempt.upstream)
            if self._strategy.adaptive:
                self._strategy.snapshot_refusals.add_refusal(
                    attempt.snapshot, attempt.upstream, now_ms
                )
        if range_state.in_flight:
            return []
        return self._retry(
            range_state, failure.reason, failure.retry_after_ms, now_ms
        )

    def _retry(
        self,
        range_state: range_states.RangeState,
        reason: str,
        retry_after_ms: float,
        now_ms: float,
    ) -> list[Command]:
        if range_state.is_snapshot_gone:
            return self._on_no_replica(range_state, now_ms)
        if not self._strategy.adaptive:
            return self._give_up_range(range_state)
        if not self._has_untried_replica(range_state):
            return self._schedule_round(range_state, retry_after_ms, now_ms)
        sent = self._send_retry(range_state, reason, now_ms)
        return sent or self._schedule_round(range_state, retry_after_ms, now_ms)

    def _send_retry(
        self, range_state: range_states.RangeState, reason: str, now_ms: float
    ) -> list[Command]:
        budget = self._strategy.retry_budget
        if not budget.has_token(now_ms):
            self._record_event(
                now_ms, events.EventKind.RETRY_DENIED, range_state, "", reason
            )
            return []
        sent = self._send(range_state, now_ms)
        if sent:
            budget.withdraw()
            self._record_sent(
                now_ms, events.EventKind.RETRY, range_state, sent, reason
            )
        return sent

    def _has_untried_replica(
        self, range_state: range_states.RangeState
    ) -> bool:
        return not range_state.excluded.issuperset(
            range_state.replicas.upstreams
        )

    def _schedule_round(
        self,
        range_state: range_states.RangeState,
        retry_after_ms: float,
        now_ms: float,
    ) -> list[Command]:
        """Schedules another round over all replicas, or gives the range up."""
        delay_ms = max(
            retry_after_ms, _ROUND_DELAY_MS * (1 << range_state.rounds)
        )
        range_state.rounds += 1
        due_ms = now_ms + delay_ms
        if (
            range_state.rounds >= _MAX_ROUNDS
            or due_ms >= self._search.deadline_ms
        ):
            return self._give_up_range(range_state)
        range_state.awaits_round = True
        range_state.tried.clear()
        range_state.without_snapshot.clear()
        self._timers.add(due_ms, timers.Kind.RETRY_ROUND, range_state)
        return []

    def _next_round(
        self, range_state: range_states.RangeState, now_ms: float
    ) -> list[Command]:
        if range_state.reason is outcomes.Reason.SNAPSHOT_GONE:
            pinned = self._choose_restart_map(now_ms)
            if pinned is not None:
                return self._restart(pinned, range_state, now_ms)
        return self._retry(range_state, "next_round", 0.0, now_ms)

    def _on_no_replica(
        self, range_state: range_states.RangeState, now_ms: float
    ) -> list[Command]:
        """Handles a range that has no replica left to try.

        If all replicas refused the snapshot, the search restarts on another
        listed snapshot. If none is listed, another round is scheduled: the
        replicas may still be loading this snapshot, or the next snapshot may
        not be known to this host yet.
        """
        if not (range_state.is_snapshot_gone and self._strategy.adaptive):
            return self._give_up_range(range_state)
        range_state.reason = outcomes.Reason.SNAPSHOT_GONE
        pinned = self._choose_restart_map(now_ms)
        if pinned is not None:
            return self._restart(pinned, range_state, now_ms)
        return self._schedule_round(range_state, 0.0, now_ms)

    def _give_up_range(
        self, range_state: range_states.RangeState
    ) -> list[Command]:
        self._pending_ranges -= 1
        return []

    def _choose_restart_map(
        self, now_ms: float
    ) -> snapshots.PartitionMap | None:
        self._abandoned_snapshots.add(self._pinned.snapshot)
        remaining_ms = self._search.deadline_ms - now_ms
        needed_ms = min(
            self._timings.hedge_delay_ms, self._timings.progress_timeout_ms
        )
        if (
            remaining_ms < needed_ms
            or len(self._abandoned_snapshots) > _MAX_RESTARTS
        ):
            return None
        return self._strategy.snapshot_refusals.choose_map(
            self._maps(), now_ms, self._abandoned_snapshots
        )

    def _restart(
        self,
        pinned: snapshots.PartitionMap,
        range_state: range_states.RangeState,
        now_ms: float,
    ) -> list[Command]:
        self._record_event(
            now_ms,
            events.EventKind.RESTART,
            range_state,
            "",
            outcomes.Reason.SNAPSHOT_GONE,
        )
        cancels = self._cancel_all(now_ms)
        self._timers.clear()
        self._pinned = pinned
        return cancels + self._start_ranges(now_ms)

    def _on_timer_due(
        self, timer: timers.Timer, now_ms: float
    ) -> list[Command]:
        match timer:
            case timers.Timer(kind=timers.Kind.EARLY_STOP):
                return self._stop_early(now_ms)
            case timers.Timer(
                kind=timers.Kind.RETRY_ROUND,
                range_state=range_states.RangeState() as state,
            ):
                state.awaits_round = False
                return self._next_round(state, now_ms)
            case timers.Timer(
                kind=timers.Kind.HEDGE,
                range_state=range_states.RangeState() as state,
                attempt=attempts.Attempt() as attempt,
            ):
                return self._hedge(state, attempt, now_ms)
            case timers.Timer(
                range_state=range_states.RangeState() as state,
                attempt=attempts.Attempt() as attempt,
            ):
                return self._on_no_progress(state, attempt, now_ms)
        return []

    def _hedge(
        self,
        range_state: range_states.RangeState,
        attempt: attempts.Attempt,
        now_ms: float,
    ) -> list[Command]:
        progress_due_ms = attempt.sent_ms + self._progress_timeout_ms(
            range_state
        )
        if not self._has_untried_replica(range_state):
            self._timers.add(
                progress_due_ms,
                timers.Kind.PROGRESS_TIMEOUT,
                range_state,
                attempt,
            )
            return []
        budget = self._strategy.hedge_budget
        if not budget.has_token(now_ms):
            self._postpone_hedge(range_state, attempt, "budget", now_ms)
            return []
        # Hedges go only to upstreams with a free slot: a hedge that queues for
        # a slot would delay first attempts.
        has_free_slot = self._strategy.has_free_slot
        saturated = [
            name
            for name in range_state.replicas.upstreams
            if not has_free_slot(name)
        ]
        sent = self._send(range_state, now_ms, saturated)
        if not sent:
            self._postpone_hedge(range_state, attempt, "no_slot", now_ms)
            return []
        budget.withdraw()
        self._timers.add(
            progress_due_ms,
            timers.Kind.PROGRESS_TIMEOUT,
            range_state,
            attempt,
        )
        self._record_sent(
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
        self._record_event(
            now_ms, events.EventKind.HEDGE_DENIED, range_state, "", reason
        )
        progress_due_ms = attempt.sent_ms + self._progress_timeout_ms(
            range_state
        )
        again_ms = now_ms + self._timings.hedge_delay_ms / 2
        kind = timers.Kind.HEDGE
        if again_ms >= progress_due_ms:
            again_ms, kind = progress_due_ms, timers.Kind.PROGRESS_TIMEOUT
        self._timers.add(again_ms, kind, range_state, attempt)

    def _on_no_progress(
        self,
        range_state: range_states.RangeState,
        attempt: attempts.Attempt,
        now_ms: float,
    ) -> list[Command]:
        """Gives up an attempt without progress if it can be replaced."""
        replacement: list[Command] = []
        if len(range_state.in_flight) == 1:
            range_state.progress_factor *= 2
            replacement = self._send_replacement(range_state, attempt, now_ms)
            if not replacement:
                again_ms = now_ms + self._progress_timeout_ms(range_state)
                kind = timers.Kind.PROGRESS_TIMEOUT
                self._timers.add(again_ms, kind, range_state, attempt)
                return []
        self._record_event(
            now_ms,
            events.EventKind.NO_PROGRESS,
            range_state,
            attempt.upstream,
            "silent",
        )
        del range_state.in_flight[attempt.attempt_id]
        return [*replacement, self._cancel(attempt)]

    def _send_replacement(
        self,
        range_state: range_states.RangeState,
        attempt: attempts.Attempt,
        now_ms: float,
    ) -> list[Command]:
        """Sends another attempt, to the same upstream if there is no other."""
        if not self._has_untried_replica(range_state):
            range_state.tried = {attempt.upstream}
        if not self._has_untried_replica(range_state):
            range_state.tried.clear()
        return self._send_retry(
            range_state, outcomes.Reason.NO_PROGRESS, now_ms
        )

    def _stop_early(self, now_ms: float) -> list[Command]:
        if not self._may_omit_stragglers():
            due_ms = now_ms + self._timings.hedge_delay_ms
            self._timers.add(due_ms, timers.Kind.EARLY_STOP)
            return []
        for range_state in self._range_states:
            if not range_state.is_settled:
                range_state.reason = outcomes.Reason.EARLY_STOP
                self._record_event(
                    now_ms,
                    events.EventKind.EARLY_STOP,
                    range_state,
                    "",
                    "bound",
                )
        return self._finish(now_ms)

    def _may_omit_stragglers(self) -> bool:
        return self._pending_ranges <= max(
            1, len(self._range_states) * _MAX_OMITTED_SHARE
        ) and (self._pending_ranges < len(self._range_states))

    def _cancel_range(
        self, range_state: range_states.RangeState, now_ms: float
    ) -> list[Command]:
        cancels: list[Command] = []
        for attempt in range_state.in_flight.values():
            self._strategy.latencies.record(now_ms - attempt.sent_ms)
            cancels.append(self._cancel(attempt))
        range_state.in_flight.clear()
        return cancels

    def _cancel_all(self, now_ms: float) -> list[Command]:
        return [
            command
            for range_state in self._range_states
            for command in self._cancel_range(range_state, now_ms)
        ]

    def _cancel(self, attempt: attempts.Attempt) -> Cancel:
        self._by_attempt.pop(attempt.attempt_id, None)
        self._failures.append(
            outcomes.AttemptFailure(outcomes.Reason.DEADLINE, True, False)
        )
        return Cancel(attempt)

    def _finish_if_done(self, now_ms: float) -> list[Command]:
        if self._pending_ranges or self._finished:
            return []
        return self._finish(now_ms)

    def _finish(self, now_ms: float) -> list[Command]:
        self._finished = True
        cancels = self._cancel_all(now_ms)
        return [*cancels, Finish(self._outcome())]

    def _outcome(self) -> outcomes.Outcome:
        merged = {
            range_state.replicas.key_range: range_state.hits
            for range_state in self._range_states
            if range_state.hits is not None
        }
        reasons = {
            range_state.replicas.key_range: range_state.reason
            for range_state in self._range_states
        }
        covered = coverage.compute_coverage(self._pinned, merged, reasons)
        if not merged:
            return self._outcome_without_answer(covered)
        best = hits.merge(merged.values(), self._search.limit)
        return outcomes.Ran(SearchAnswer(self._pinned.snapshot, covered, best))

    def _outcome_without_answer(
        self, covered: coverage.Coverage
    ) -> outcomes.Outcome:
        reasons = [item.reason for item in covered.missing]
        reason = reasons[0] if reasons else outcomes.Reason.NO_REPLICA
        return outcomes.from_failures(self._failures, reason, RETRY_AFTER_MS)

    def _record_sent(
        self,
        now_ms: float,
        kind: events.EventKind,
        range_state: range_states.RangeState,
        sent: Sequence[Command],
        reason: str,
    ) -> None:
        for command in sent:
            if isinstance(command, Send):
                upstream = command.attempt.upstream
                self._record_event(now_ms, kind, range_state, upstream, reason)

    def _record_event(
        self,
        now_ms: float,
        kind: events.EventKind,
        range_state: range_states.RangeState | None,
        upstream: str,
        reason: str,
    ) -> None:
        key_range = (
            range_state.replicas.key_range if range_state is not None else None
        )
        at_ms = now_ms - self._started_ms
        self._trace.add(events.Event(at_ms, kind, key_range, upstream, reason))
