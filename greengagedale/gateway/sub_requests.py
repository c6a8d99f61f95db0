"""Getting an answer to a call from one service: attempts, hedges, retries."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from greengagedale import clocks
from greengagedale import outcomes
from greengagedale.gateway import calls
from greengagedale.gateway import extra_attempts
from greengagedale.gateway import metrics as metrics_lib
from greengagedale.gateway import quarantine as quarantine_lib
from greengagedale.gateway import route_config
from greengagedale.gateway import upstream_entries
from greengagedale.gateway import upstream_notices as notices_lib
from greengagedale.gateway import upstream_scores as scores_lib
from greengagedale.retry import window_budget

# An attempt that lost a race may end by itself for this long, so that its
# connection can be used again.
LOSER_MS = 600.0
# Pause before an upstream that refused is asked again.
REFUSED_PAUSE_MS = 25.0
# Parts of the burst of extra attempts that hedges, and requests of lower
# priority, leave to others: a retry brings an answer that is missing for sure,
# a hedge one that may only be late.
HEDGE_RESERVE_SHARE = 0.3
PRIORITY_RESERVE_SHARE = 0.2
# An attempt is not sent if the queue makes it so many times later than it is
# of use; the expectation is no exact one.
TOO_LATE_FACTOR = 1.25
# What was written before an attempt was cancelled arrives within this time:
# links take up to 3 ms, and full ones hold packets for longer.
ON_THE_WAY_MS = 100.0
# Sends that were refused or never arrived, for one request and service.
MOST_SENDS = 5
_MS_PER_S = 1000.0


class Failure(NamedTuple):
    """No answer that can be used came from a service.

    Attributes:
        ends: How the attempts ended.
        answer: An upstream's own failure, if there was one.
        reason: Why no more was tried.
        retry_after_ms: When the queue that it met will be short enough, or 0.
    """

    ends: tuple[outcomes.AttemptFailure, ...]
    answer: calls.Answer | None
    reason: outcomes.Reason
    retry_after_ms: int


class Step(NamedTuple):
    """One thing that was done for a request, for its log line.

    Attributes:
        at_ms: When, from the arrival of the request.
        what: What was done.
        service: Where.
        upstream: Where.
        reason: Why, or how it ended.
    """

    at_ms: float
    what: str
    service: str
    upstream: str
    reason: str


class OmissionAllowance:
    """How many services of a call may still be left out.

    Attributes:
        left: That number.
    """

    def __init__(self, left: int) -> None:
        self.left = left

    def take(self) -> bool:
        """Leaves one out if that may be; tells whether."""
        if self.left < 1:
            return False
        self.left -= 1
        return True


class SubRequestContext(NamedTuple):
    """What all fetches of a host share.

    Attributes:
        link: Sends attempts.
        scores: Chooses upstreams.
        listed: Returns the upstreams of a service.
        notices: What they say of themselves.
        disown: Called with an upstream whose address is another's.
        crashes: Knows requests that crash upstreams.
        clock: Clock of the process.
        metrics: Metrics of the process.
        background: Keeps attempts that run on.
    """

    link: calls.UpstreamClient
    scores: scores_lib.UpstreamScores
    listed: Callable[[str], list[upstream_entries.Upstream]]
    notices: notices_lib.UpstreamNotices
    remove_reassigned: Callable[[upstream_entries.Upstream], None]
    quarantine: quarantine_lib.Quarantine
    clock: clocks.Clock
    metrics: metrics_lib.Metrics
    background: set[asyncio.Task[None]]

    def candidates(self, service: str) -> list[upstream_entries.Upstream]:
        """Returns the upstreams of a service that take work now."""
        return self.notices.available(self.listed(service))

    def available_in_ms(self, service: str) -> float:
        """Returns when an upstream of a service takes work, or infinity."""
        return self.notices.available_in_ms(self.listed(service))


_Task = asyncio.Task[calls.Answer | outcomes.AttemptFailure]


class SubRequest:
    """One call's way to an answer of one service.

    Attributes:
        service: Name of the service.
    """

    def __init__(
        self,
        tools: SubRequestContext,
        call: calls.Call,
        plan: route_config.Route,
        service: str,
        deadline_ms: float,
        pace: extra_attempts.RouteLatency,
        budget: window_budget.WindowBudget,
        steps: list[Step],
        useful_until_ms: float,
        slack: OmissionAllowance,
    ) -> None:
        """Makes a fetch.

        Args:
            tools: What all fetches share.
            call: What to send.
            plan: The call's route.
            service: Where to.
            deadline_ms: When to give up.
            pace: Latencies of the route.
            budget: Extra attempts at the service.
            steps: Where it is noted what was done.
            useful_until_ms: After this an answer is not waited for.
            slack: Services of the call that may be left out.
        """
        self._context = tools
        self._call = call
        self._fingerprint = calls.fingerprint_of(call)
        self._plan = plan
        self.service = service
        self._deadline_ms = deadline_ms
        self._useful_until_ms = useful_until_ms
        self._slack = slack
        self._pace = pace
        self._budget = budget
        self._steps = steps
        self._running: dict[_Task, upstream_entries.Upstream] = {}
        self._tried: set[str] = set()
        self._ends: list[outcomes.AttemptFailure] = []
        self._answer: calls.Answer | None = None
        self._retry_after_ms = 0
        self._was_too_late = False
        self._was_over_budget = False
        self._failures = 0
        self._sends = 0
        self._arrivals = 0

    @property
    def was_sent(self) -> bool:
        """Whether any attempt was begun."""
        return self._sends > 0

    async def run(self) -> calls.Answer | Failure:
        """Returns an answer, or why there is none."""
        problem = self._start("attempt")
        if problem is not None:
            return self._failure(problem)
        hedge_ms = self._context.clock.now_ms() + self._pace.hedge_ms()
        try:
            return await self._race(hedge_ms)
        except asyncio.CancelledError:
            self._cancel_running()
            raise

    def give_up(self) -> None:
        """Leaves the attempts that run, for which no answer has come."""
        now_ms = self._context.clock.now_ms()
        for upstream in self._running.values():
            self._note(now_ms, "unanswered", upstream, "")
        self._let_go()

    async def _race(self, hedge_ms: float) -> calls.Answer | Failure:
        clock = self._context.clock
        while True:
            now_ms = clock.now_ms()
            if now_ms >= self._deadline_ms:
                self.give_up()
                return self._failure(outcomes.Reason.DEADLINE)
            if now_ms >= hedge_ms:
                hedge_ms = self._hedge(now_ms)
            until_ms = min(hedge_ms, self._deadline_ms)
            done, _ = await asyncio.wait(
                self._running,
                timeout=max(0.0, until_ms - now_ms) / _MS_PER_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                result = self._take(task)
                if result is not None:
                    self._let_go()
                    return result
            if not self._running:
                problem = await self._again()
                if problem is not None:
                    return self._failure(problem)
                hedge_ms = clock.now_ms() + self._pace.hedge_ms()

    def _hedge(self, now_ms: float) -> float:
        """Sends a second attempt if it may; returns when to try that again."""
        if not self._plan.is_idempotent or self._runs() >= (
            self._plan.max_attempts
        ):
            return float("inf")
        problem = self._start("hedge")
        if problem is None:
            return now_ms + self._pace.hedge_ms()
        if problem is outcomes.Reason.OVERLOADED:
            return now_ms + self._pace.retry_hedge_ms
        return float("inf")

    async def _again(self) -> outcomes.Reason | None:
        """Sends another attempt after all others ended, if it may."""
        last = self._ends[-1] if self._ends else None
        if not self._may_repeat():
            return outcomes.Reason.REJECTED if last is None else last.reason
        problem = self._start("retry")
        if problem is outcomes.Reason.NO_REPLICA and self._sends < MOST_SENDS:
            self._tried.clear()
            await asyncio.sleep(REFUSED_PAUSE_MS / _MS_PER_S)
            problem = self._start("retry")
        return problem

    def _may_repeat(self) -> bool:
        if self._sends >= MOST_SENDS or self._runs() >= self._plan.max_attempts:
            return False
        if self._plan.is_idempotent:
            return True
        may_have_run = [e for e in self._ends if e.written and not e.refused]
        return not may_have_run and self._answer is None

    def _runs(self) -> int:
        """Counts attempts that run, or may have run."""
        ended = sum(end.written and not end.refused for end in self._ends)
        return len(self._running) + ended + self._failures

    def _start(self, what: str) -> outcomes.Reason | None:
        """Begins an attempt; returns why not, if it may not."""
        tools = self._context
        now_ms = tools.clock.now_ms()
        if tools.quarantine.should_refuse(self._fingerprint):
            return outcomes.Reason.QUARANTINED
        choice = tools.scores.choose(
            tools.candidates(self.service),
            self._pace.typical_ms(),
            self._tried,
        )
        if choice is None:
            available_in_ms = tools.available_in_ms(self.service)
            if available_in_ms < float("inf"):
                self._retry_after_ms = int(available_in_ms)
            return outcomes.Reason.NO_REPLICA
        upstream = choice.upstream
        if is_too_late(choice, self._useful_until_ms, now_ms) and (
            what == "hedge" or self._slack.take()
        ):
            # What would be answered too late only lengthens the queue.
            if is_too_late(
                choice, self._useful_until_ms, self._call.received_ms
            ):
                tools.scores.record_queue_overload(now_ms)
            tools.metrics.refusals.inc("too_late", what)
            self._retry_after_ms = int(
                choice.queue_latency_ms - (self._useful_until_ms - now_ms)
            )
            if not self._was_too_late:
                self._was_too_late = True
                self._note(now_ms, "too late", upstream, what)
            return outcomes.Reason.OVERLOADED
        is_extra = self._arrivals > 0
        if is_extra and not self._budget.try_withdraw(
            now_ms, self._reserve_share(what)
        ):
            tools.metrics.refusals.inc("budget", what)
            if not self._was_over_budget:
                self._was_over_budget = True
                left = round(self._budget.available(now_ms), 1)
                self._note(
                    now_ms, "no budget", upstream, f"{what}, left {left}"
                )
            return outcomes.Reason.OVERLOADED
        self._arrivals += 1
        self._sends += 1
        self._tried.add(upstream.name)
        if what != "attempt":
            tools.metrics.extra_attempts.inc(self.service, what)
            self._note(now_ms, what, upstream, "")
        tools.metrics.attempts.inc(self.service)
        attempt = calls.Attempt(
            self._call,
            upstream,
            self._deadline_ms,
            self._plan.is_idempotent,
        )
        score = tools.scores.get(upstream)
        sent = score.begin(now_ms)
        task = asyncio.ensure_future(self._send(attempt, score, now_ms))
        # Not in the task itself, which may be cancelled before it starts.
        task.add_done_callback(lambda done: score.end(sent))
        if is_extra:
            task.add_done_callback(self._settle)
        self._running[task] = upstream
        return None

    def _settle(self, done: _Task) -> None:
        """Takes in that an extra attempt can no longer arrive."""
        result = None if done.cancelled() else done.result()
        if isinstance(result, outcomes.AttemptFailure) and not result.written:
            self._budget.refund()
            return
        arrived_ms = self._context.clock.now_ms() + ON_THE_WAY_MS
        self._budget.on_attempt_end(arrived_ms)

    def _reserve_share(self, what: str) -> float:
        """Returns the part of the burst that an attempt leaves to others."""
        share = PRIORITY_RESERVE_SHARE if self._plan.priority > 1 else 0.0
        return share + (HEDGE_RESERVE_SHARE if what == "hedge" else 0.0)

    async def _send(
        self,
        attempt: calls.Attempt,
        score: scores_lib.UpstreamScore,
        sent_ms: float,
    ) -> calls.Answer | outcomes.AttemptFailure:
        clock = self._context.clock
        try:
            result = await self._context.link.send(attempt)
        except asyncio.CancelledError:
            now_ms = clock.now_ms()
            score.note_unanswered(
                now_ms - sent_ms, self._pace.typical_ms(), now_ms
            )
            raise
        self._judge(attempt, score, result, clock.now_ms(), sent_ms)
        return result

    def _judge(
        self,
        attempt: calls.Attempt,
        score: scores_lib.UpstreamScore,
        result: calls.Answer | outcomes.AttemptFailure,
        now_ms: float,
        sent_ms: float,
    ) -> None:
        """Takes in what an end tells about its upstream."""
        quarantine = self._context.quarantine
        if isinstance(result, calls.Answer):
            quarantine.record_answer(self._fingerprint)
        elif result.reason is outcomes.Reason.REPLY_LOST and result.written:
            quarantine.record_lost(
                self._fingerprint, attempt.upstream.incarnation
            )
        if isinstance(result, outcomes.AttemptFailure):
            if scores_lib.is_upstreams_fault(result):
                score.note_failure(now_ms)
            if scores_lib.is_silence(result):
                score.note_silence(now_ms)
            elif result.refused:
                score.note_heard(now_ms)
            if result.reason is outcomes.Reason.NO_REPLICA:
                self._context.remove_reassigned(attempt.upstream)
            return
        if result.load is not None:
            score.record_load(result.load, now_ms)
        if not result.is_success:
            score.note_failure(now_ms)
            score.note_heard(now_ms)
            return
        took_ms = now_ms - sent_ms
        score.note_latency(took_ms / self._pace.typical_ms(), now_ms)
        self._pace.record(took_ms)
        self._context.metrics.attempt_latency.record(self._plan.name, took_ms)

    def _take(self, task: _Task) -> calls.Answer | None:
        """Takes in the end of an attempt; returns an answer to use."""
        upstream = self._running.pop(task)
        result = task.result()
        now_ms = self._context.clock.now_ms()
        if isinstance(result, outcomes.AttemptFailure):
            if not result.written:
                # Nothing arrived, so the next send is no extra one.
                self._arrivals -= 1
            self._ends.append(result)
            kind = "refused" if result.refused else "failed"
            self._context.metrics.failures.inc(str(result.reason))
            self._note(now_ms, kind, upstream, str(result.reason))
            return None
        if result.is_success:
            return result
        self._note(now_ms, "answered", upstream, str(result.status))
        self._answer = result
        self._failures += 1
        is_final = result.status < 500 and result.signature is not None
        return result if is_final or not self._plan.is_idempotent else None

    def _failure(self, reason: outcomes.Reason) -> Failure:
        return Failure(
            tuple(self._ends), self._answer, reason, self._retry_after_ms
        )

    def _let_go(self) -> None:
        """Leaves the attempts that still run to end by themselves."""
        background = self._context.background
        for task in self._running:
            waiter = asyncio.ensure_future(_end_in_time(task))
            background.add(waiter)
            waiter.add_done_callback(background.discard)
        self._running.clear()

    def _cancel_running(self) -> None:
        now_ms = self._context.clock.now_ms()
        for task, upstream in self._running.items():
            self._note(now_ms, "cancelled", upstream, "")
            task.cancel()
        self._running.clear()

    def _note(
        self,
        now_ms: float,
        what: str,
        upstream: upstream_entries.Upstream,
        reason: str,
    ) -> None:
        at_ms = round(now_ms - self._call.received_ms, 1)
        self._steps.append(
            Step(at_ms, what, self.service, upstream.name, reason)
        )


def is_too_late(
    choice: scores_lib.UpstreamChoice, useful_until_ms: float, now_ms: float
) -> bool:
    """Tells whether an answer is likely to come when it is of no use."""
    left_ms = max(0.0, useful_until_ms - now_ms)
    return choice.queue_latency_ms > TOO_LATE_FACTOR * left_ms


async def _end_in_time(task: _Task) -> None:
    await asyncio.wait([task], timeout=LOSER_MS / _MS_PER_S)
    task.cancel()
