"""Sub-requests: sending a call to one service with hedges and retries."""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from greengagedale import clocks
from greengagedale import outcomes
from greengagedale.gateway import authorization
from greengagedale.gateway import calls
from greengagedale.gateway import evacuations as evacuations_lib
from greengagedale.gateway import extra_attempts
from greengagedale.gateway import metrics as metrics_lib
from greengagedale.gateway import precedence as precedence_lib
from greengagedale.gateway import quarantine as quarantine_lib
from greengagedale.gateway import reachability as reachability_lib
from greengagedale.gateway import regions as regions_lib
from greengagedale.gateway import route_config
from greengagedale.gateway import upstream_entries
from greengagedale.gateway import upstream_limits as limits_lib
from greengagedale.gateway import upstream_notices as notices_lib
from greengagedale.gateway import upstream_scores as scores_lib
from greengagedale.http1 import client
from greengagedale.retry import window_budget

# After another attempt has answered, an attempt in flight gets this long to end
# before it is cancelled, so that its connection can be reused.
SUPERSEDED_TIMEOUT_MS = 600.0
# Delay before upstreams that were already tried are tried again.
RETRY_ROUND_DELAY_MS = 25.0
# Fractions of the burst of extra attempts that hedges, and requests of lower
# priority, leave unused: a retry replaces an answer that is certainly missing,
# while a hedge replaces one that may only be late.
HEDGE_RESERVE_SHARE = 0.3
PRIORITY_RESERVE_SHARE = 0.2
# An attempt is not sent if its queue latency exceeds the remaining useful time
# by this factor. The factor is above 1 because the estimate is inexact.
TOO_LATE_FACTOR = 1.25
# Upper bound on the time until bytes written before a cancellation arrive:
# links take up to 3 ms, and congested ones buffer packets for longer.
IN_TRANSIT_MS = 100.0
# Maximum sends for one sub-request, including those that were refused or never
# arrived.
MAX_SENDS = 5
_MS_PER_S = 1000.0


class SubRequestFailure(NamedTuple):
    """A sub-request that got no usable answer.

    Attributes:
        attempt_failures: Failures of the attempts.
        answer: The last error response of an upstream, or None.
        reason: Why no further attempt was sent.
        retry_after_ms: Time until the queue or the upstreams are expected to
            accept the request, or 0.
    """

    attempt_failures: tuple[outcomes.AttemptFailure, ...]
    answer: calls.Answer | None
    reason: outcomes.Reason
    retry_after_ms: int


class Step(NamedTuple):
    """One step in the handling of a request, for its log record.

    Attributes:
        at_ms: Time since the request arrived.
        what: Kind of step.
        service: Name of the service.
        upstream: Name of the upstream.
        reason: Cause or result of the step.
    """

    at_ms: float
    what: str
    service: str
    upstream: str
    reason: str


class OmissionAllowance:
    """Counts how many services of a call may still be omitted.

    Attributes:
        remaining: Number of services that may still be omitted.
    """

    def __init__(self, remaining: int) -> None:
        self.remaining = remaining

    def try_use(self) -> bool:
        """Uses one omission; returns whether one was left."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True


class SubRequestContext(NamedTuple):
    """Dependencies shared by all sub-requests of a host.

    Attributes:
        client: Sends attempts to upstreams.
        scores: Scores upstreams and chooses among them.
        upstreams_of: Returns the listed upstreams of a service.
        notices: Availability notices that upstreams sent.
        remove_reassigned: Called with an upstream when another upstream answers
            at its address.
        quarantine: Quarantine of requests that crash upstreams.
        authorizer: Decides whether a caller's requests may still be sent.
        clock: Clock of the process.
        metrics: Metrics of the process.
        background: Holds references to the tasks of detached attempts.
        evacuations: The evacuated data centres.
        limits: Limits what this host may send to upstreams.
        region_map: The regions of the data centres.
        precedence: Decides whose requests wait while queues are long.
        reachability: Whether this host can reach upstreams.
    """

    client: calls.UpstreamClient
    scores: scores_lib.UpstreamScores
    upstreams_of: Callable[[str], list[upstream_entries.Upstream]]
    notices: notices_lib.UpstreamNotices
    remove_reassigned: Callable[[upstream_entries.Upstream], None]
    quarantine: quarantine_lib.Quarantine
    authorizer: authorization.Authorizer
    clock: clocks.Clock
    metrics: metrics_lib.Metrics
    background: set[asyncio.Task[None]]
    evacuations: evacuations_lib.Evacuations
    limits: limits_lib.UpstreamLimits
    region_map: regions_lib.RegionMap
    precedence: precedence_lib.Precedence
    reachability: reachability_lib.Reachability

    def within(self, allowed: frozenset[str]) -> "SubRequestContext":
        """Returns a context that has only the upstreams of some regions."""
        return self._replace(
            upstreams_of=lambda service: self.region_map.upstreams_within(
                self.upstreams_of(service), allowed
            )
        )

    def standing_of(
        self, call: calls.Call, route: route_config.Route
    ) -> precedence_lib.Standing | None:
        """Returns the standing of a call; None if requests need no keys."""
        return precedence_lib.standing_of(
            call, route, self.authorizer.workspace_of(call)
        )

    def patience(
        self, standing: precedence_lib.Standing | None, now_ms: float
    ) -> precedence_lib.Patience:
        """Returns how long a request may wait in queues now."""
        if standing is None:
            return precedence_lib.FULL_PATIENCE
        return self.precedence.patience(
            standing, self.scores.was_overloaded_recently(now_ms), now_ms
        )

    def record_too_late(
        self,
        standing: precedence_lib.Standing | None,
        patience: precedence_lib.Patience,
        now_ms: float,
    ) -> str:
        """Records that a request isn't sent; returns a note for its step."""
        if standing is None:
            return ""
        if patience.factor < 1.0:
            self.precedence.record_turned_away(now_ms)
        self.metrics.precedence_refusals.inc(str(standing.rank), patience.limit)
        return (
            f", rank {standing.rank}, use {patience.use:.1f},"
            f" patience {patience.factor:.2f}"
        )

    def retry_after_ms(
        self,
        standing: precedence_lib.Standing | None,
        patience: precedence_lib.Patience,
        wait_ms: float,
    ) -> int:
        """Returns the Retry-After of a request that would wait too long."""
        if standing is None:
            return int(wait_ms)
        return self.precedence.retry_after_ms(wait_ms, patience)

    def in_use(self, service: str) -> list[upstream_entries.Upstream]:
        """Returns the upstreams of a service that are not evacuated."""
        return self.evacuations.outside(self.upstreams_of(service))

    def candidates(self, service: str) -> list[upstream_entries.Upstream]:
        """Returns the upstreams of a service that accept requests now."""
        return self.limits.available(self._accepting(service))

    def hedge_candidates(self, service: str) -> list[upstream_entries.Upstream]:
        """Returns the upstreams of a service that accept a hedge now."""
        return self.limits.available_for_hedges(self._accepting(service))

    def _accepting(self, service: str) -> list[upstream_entries.Upstream]:
        return self.notices.available(self.in_use(service))

    def is_evacuated(self, service: str) -> bool:
        """Returns whether a service has upstreams and all are evacuated."""
        return bool(self.upstreams_of(service)) and not self.in_use(service)

    def unavailable_reason(self, services: Iterable[str]) -> outcomes.Reason:
        """Returns why some of these services have no candidates."""
        without = [each for each in services if not self.candidates(each)]
        if any(map(self.is_evacuated, without)):
            return outcomes.Reason.EVACUATED
        withheld = next(filter(None, map(self._accepting, without)), None)
        if withheld is None:
            return outcomes.Reason.NO_REPLICA
        return self.limits.withholding_reason(withheld)

    def available_in_ms(self, service: str) -> float:
        """Returns the time until an upstream accepts requests, or infinity."""
        if self.is_evacuated(service):
            return evacuations_lib.RETRY_AFTER_MS
        accepting = self._accepting(service)
        if accepting:
            return self.limits.available_in_ms(accepting)
        return self.notices.available_in_ms(self.in_use(service))


_Task = asyncio.Task[calls.Answer | outcomes.AttemptFailure]


class SubRequest:
    """Sends one call to one service, with hedges and retries.

    Attributes:
        service: Name of the service.
    """

    def __init__(
        self,
        context: SubRequestContext,
        call: calls.Call,
        route: route_config.Route,
        service: str,
        deadline_ms: float,
        latency: extra_attempts.RouteLatency,
        budget: window_budget.WindowBudget,
        steps: list[Step],
        useful_until_ms: float,
        allowance: OmissionAllowance,
    ) -> None:
        """Creates a sub-request.

        Args:
            context: Dependencies shared by all sub-requests.
            call: The call to send.
            route: The route of the call.
            service: Name of the service to send to.
            deadline_ms: Time at which the sub-request is given up.
            latency: Attempt latencies of the route.
            budget: Budget of extra attempts for the service.
            steps: List that each step is appended to.
            useful_until_ms: Time after which the caller no longer waits for
                this answer.
            allowance: Number of services of the call that may be omitted.
        """
        self._context = context
        self._call = call
        self._fingerprint = calls.fingerprint_of(call)
        self._route = route
        self.service = service
        self._standing = context.standing_of(call, route)
        self._deadline_ms = deadline_ms
        self._useful_until_ms = useful_until_ms
        self._allowance = allowance
        self._latency = latency
        self._budget = budget
        self._steps = steps
        self._running: dict[_Task, upstream_entries.Upstream] = {}
        self._tried: set[str] = set()
        self._earlier_connections: set[client.Connection] = set()
        self._attempt_failures: list[outcomes.AttemptFailure] = []
        self._answer: calls.Answer | None = None
        self._retry_after_ms = 0
        self._has_logged_too_late = False
        self._has_logged_no_budget = False
        self._failed_answer_count = 0
        self._send_count = 0
        self._delivered_count = 0

    @property
    def was_sent(self) -> bool:
        """Whether any attempt was started."""
        return self._send_count > 0

    async def run(self) -> calls.Answer | SubRequestFailure:
        """Returns an answer, or a failure that says why there is none."""
        reason = self._start_attempt("attempt")
        if reason is not None:
            return self._make_failure(reason)
        next_hedge_ms = (
            self._context.clock.now_ms() + self._latency.hedge_delay_ms()
        )
        try:
            return await self._wait_for_answer(next_hedge_ms)
        except asyncio.CancelledError:
            self._cancel_running()
            raise

    def abandon(self) -> None:
        """Stops waiting for the attempts in flight and logs them."""
        now_ms = self._context.clock.now_ms()
        for upstream in self._running.values():
            self._add_step(now_ms, "unanswered", upstream, "")
        self._detach_running()

    async def _wait_for_answer(
        self, next_hedge_ms: float
    ) -> calls.Answer | SubRequestFailure:
        clock = self._context.clock
        while True:
            now_ms = clock.now_ms()
            if now_ms >= self._deadline_ms:
                self.abandon()
                return self._make_failure(outcomes.Reason.DEADLINE)
            if now_ms >= next_hedge_ms:
                next_hedge_ms = self._send_hedge(now_ms)
            until_ms = min(next_hedge_ms, self._deadline_ms)
            done, _ = await asyncio.wait(
                self._running,
                timeout=max(0.0, until_ms - now_ms) / _MS_PER_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                result = self._handle_result(task)
                if result is not None:
                    self._detach_running()
                    return result
            if not self._running:
                reason = await self._send_retry()
                if reason is not None:
                    return self._make_failure(reason)
                next_hedge_ms = clock.now_ms() + self._latency.hedge_delay_ms()

    def _send_hedge(self, now_ms: float) -> float:
        """Sends a hedge if allowed; returns when the next one is due."""
        if not self._route.is_idempotent or self._run_count() >= (
            self._route.max_attempts
        ):
            return float("inf")
        reason = self._start_attempt("hedge")
        if reason is None:
            return now_ms + self._latency.hedge_delay_ms()
        if reason is outcomes.Reason.OVERLOADED:
            return now_ms + self._latency.hedge_retry_delay_ms
        return float("inf")

    async def _send_retry(self) -> outcomes.Reason | None:
        """Sends a retry after all attempts ended, if allowed.

        Returns:
            The reason why none was sent, or None.
        """
        last = self._attempt_failures[-1] if self._attempt_failures else None
        if not self._may_retry():
            return outcomes.Reason.REJECTED if last is None else last.reason
        reason = self._start_attempt("retry")
        if (
            reason is outcomes.Reason.NO_REPLICA
            and self._send_count < MAX_SENDS
        ):
            self._tried.clear()
            await asyncio.sleep(RETRY_ROUND_DELAY_MS / _MS_PER_S)
            reason = self._start_attempt("retry")
        return reason

    def _may_retry(self) -> bool:
        if (
            self._send_count >= MAX_SENDS
            or self._run_count() >= self._route.max_attempts
        ):
            return False
        if self._route.is_idempotent:
            return True
        may_have_run = [
            failure
            for failure in self._attempt_failures
            if failure.written and not failure.refused
        ]
        return not may_have_run and self._answer is None

    def _run_count(self) -> int:
        """Returns the number of attempts that are running or may have run."""
        ended = sum(
            failure.written and not failure.refused
            for failure in self._attempt_failures
        )
        return len(self._running) + ended + self._failed_answer_count

    def _start_attempt(self, kind: str) -> outcomes.Reason | None:
        """Starts an attempt.

        Args:
            kind: Kind of attempt: "attempt", "hedge" or "retry".

        Returns:
            The reason why none was started, or None.
        """
        context = self._context
        now_ms = context.clock.now_ms()
        if context.quarantine.should_refuse(self._fingerprint):
            return outcomes.Reason.QUARANTINED
        refusal = context.authorizer.send_refusal(self._call)
        if refusal is not None:
            return refusal
        candidates = (
            context.hedge_candidates(self.service)
            if kind == "hedge"
            else context.candidates(self.service)
        )
        choice = context.scores.choose(
            candidates,
            self._latency.typical_ms(),
            self._tried,
        )
        if choice is None:
            available_in_ms = context.available_in_ms(self.service)
            if available_in_ms < float("inf"):
                self._retry_after_ms = int(available_in_ms)
            reason = context.unavailable_reason((self.service,))
            if reason is not outcomes.Reason.NO_REPLICA:
                at_ms = round(now_ms - self._call.received_ms, 1)
                self._steps.append(
                    Step(at_ms, "left out", self.service, "", str(reason))
                )
            return reason
        upstream = choice.upstream
        patience = (
            precedence_lib.FULL_PATIENCE
            if kind == "retry"
            else context.patience(self._standing, now_ms)
        )
        if is_too_late(
            choice, self._useful_until_ms, now_ms, patience.factor
        ) and (kind == "hedge" or self._allowance.try_use()):
            # An attempt that is answered too late only lengthens the queue.
            if is_too_late(
                choice, self._useful_until_ms, self._call.received_ms
            ):
                context.scores.record_queue_overload(now_ms)
            context.metrics.refusals.inc("too_late", kind)
            self._retry_after_ms = context.retry_after_ms(
                self._standing,
                patience,
                choice.queue_latency_ms - (self._useful_until_ms - now_ms),
            )
            note = context.record_too_late(self._standing, patience, now_ms)
            if not self._has_logged_too_late:
                self._has_logged_too_late = True
                self._add_step(now_ms, "too late", upstream, kind + note)
            return outcomes.Reason.OVERLOADED
        is_extra = self._delivered_count > 0
        if is_extra and not self._budget.try_withdraw(
            now_ms, self._reserve_share(kind, now_ms)
        ):
            context.metrics.refusals.inc("budget", kind)
            if not self._has_logged_no_budget:
                self._has_logged_no_budget = True
                remaining = round(self._budget.available(now_ms), 1)
                self._add_step(
                    now_ms, "no budget", upstream, f"{kind}, left {remaining}"
                )
            return outcomes.Reason.OVERLOADED
        self._delivered_count += 1
        self._send_count += 1
        self._tried.add(upstream.name)
        if kind != "attempt":
            context.metrics.extra_attempts.inc(self.service, kind)
            self._add_step(now_ms, kind, upstream, "")
        context.metrics.attempts.inc(self.service)
        if self._standing is not None:
            context.precedence.record_attempt(self._standing, now_ms)
        attempt = calls.Attempt(
            self._call,
            upstream,
            self._deadline_ms,
            self._route.is_idempotent,
            self._earlier_connections,
        )
        score = context.scores.get(upstream)
        attempt_id = score.start_attempt(now_ms)
        task = asyncio.ensure_future(self._send(attempt, score, now_ms))
        # A callback, as the task may be cancelled before its body starts.
        task.add_done_callback(lambda done: score.end_attempt(attempt_id))
        if is_extra:
            task.add_done_callback(self._settle_budget)
        self._running[task] = upstream
        return None

    def _settle_budget(self, done: _Task) -> None:
        """Settles or refunds the budget of an extra attempt that ended."""
        result = None if done.cancelled() else done.result()
        if isinstance(result, outcomes.AttemptFailure) and not result.written:
            self._budget.refund()
            return
        arrived_ms = self._context.clock.now_ms() + IN_TRANSIT_MS
        self._budget.on_attempt_end(arrived_ms)

    def _reserve_share(self, kind: str, now_ms: float) -> float:
        """Returns the fraction of the burst that an attempt must leave."""
        standing = self._standing
        if standing is None:
            keeps_reserve = self._route.priority > 1
        else:
            keeps_reserve = (
                standing.rank > 1
                or self._context.precedence.keeps_reserve(standing, now_ms)
            )
        share = PRIORITY_RESERVE_SHARE if keeps_reserve else 0.0
        return share + (HEDGE_RESERVE_SHARE if kind == "hedge" else 0.0)

    async def _send(
        self,
        attempt: calls.Attempt,
        score: scores_lib.UpstreamScore,
        sent_ms: float,
    ) -> calls.Answer | outcomes.AttemptFailure:
        clock = self._context.clock
        try:
            result = await self._context.client.send(attempt)
        except asyncio.CancelledError:
            now_ms = clock.now_ms()
            typical_ms = self._latency.typical_ms()
            score.record_abandoned(now_ms - sent_ms, typical_ms, now_ms)
            self._context.scores.capacities.record_abandoned(
                attempt.upstream, (now_ms - sent_ms) / typical_ms
            )
            raise
        self._record_result(attempt, score, result, clock.now_ms(), sent_ms)
        return result

    def _record_result(
        self,
        attempt: calls.Attempt,
        score: scores_lib.UpstreamScore,
        result: calls.Answer | outcomes.AttemptFailure,
        now_ms: float,
        sent_ms: float,
    ) -> None:
        """Updates scores, quarantine and metrics from an attempt's result."""
        quarantine = self._context.quarantine
        if isinstance(result, calls.Answer):
            quarantine.record_answer(self._fingerprint)
        elif result.reason is outcomes.Reason.REPLY_LOST and result.written:
            quarantine.record_lost(
                self._fingerprint, attempt.upstream.incarnation
            )
        if isinstance(result, outcomes.AttemptFailure):
            if result.refused or result.reason is outcomes.Reason.REJECTED:
                self._context.scores.record_contact(now_ms)
            if scores_lib.is_upstream_failure(result):
                score.record_failure(now_ms)
            if scores_lib.is_unresponsive_failure(result):
                score.record_unresponsive(now_ms)
            elif result.refused:
                score.record_answer(now_ms)
            if result.reason is outcomes.Reason.NO_REPLICA:
                self._context.remove_reassigned(attempt.upstream)
            return
        self._context.scores.record_contact(now_ms)
        if result.load is not None:
            score.record_load(result.load, now_ms)
        if not result.is_success:
            score.record_failure(now_ms)
            score.record_answer(now_ms)
            return
        took_ms = now_ms - sent_ms
        latency_ratio = took_ms / self._latency.typical_ms()
        score.record_latency(latency_ratio, now_ms)
        load = result.load
        self._context.scores.capacities.record(
            attempt.upstream,
            latency_ratio,
            None if load is None else load.running + load.waiting,
        )
        self._latency.record(took_ms)
        self._context.metrics.attempt_latency.record(self._route.name, took_ms)

    def _handle_result(self, task: _Task) -> calls.Answer | None:
        """Processes an ended attempt; returns its answer if it is final."""
        upstream = self._running.pop(task)
        result = task.result()
        now_ms = self._context.clock.now_ms()
        if isinstance(result, outcomes.AttemptFailure):
            if not result.written:
                # Nothing arrived, so the next send is not an extra attempt.
                self._delivered_count -= 1
            self._attempt_failures.append(result)
            kind = "refused" if result.refused else "failed"
            self._context.metrics.failures.inc(str(result.reason))
            self._add_step(now_ms, kind, upstream, str(result.reason))
            return None
        if result.is_success:
            return result
        self._add_step(now_ms, "answered", upstream, str(result.status))
        self._answer = result
        self._failed_answer_count += 1
        is_final = result.status < 500 and result.signature is not None
        return result if is_final or not self._route.is_idempotent else None

    def _make_failure(self, reason: outcomes.Reason) -> SubRequestFailure:
        return SubRequestFailure(
            tuple(self._attempt_failures),
            self._answer,
            reason,
            self._retry_after_ms,
        )

    def _detach_running(self) -> None:
        """Lets the attempts in flight end in the background."""
        background = self._context.background
        for task in self._running:
            waiter = asyncio.ensure_future(_wait_or_cancel(task))
            background.add(waiter)
            waiter.add_done_callback(background.discard)
        self._running.clear()

    def _cancel_running(self) -> None:
        now_ms = self._context.clock.now_ms()
        for task, upstream in self._running.items():
            self._add_step(now_ms, "cancelled", upstream, "")
            task.cancel()
        self._running.clear()

    def _add_step(
        self,
        now_ms: float,
        kind: str,
        upstream: upstream_entries.Upstream,
        reason: str,
    ) -> None:
        at_ms = round(now_ms - self._call.received_ms, 1)
        self._steps.append(
            Step(at_ms, kind, self.service, upstream.name, reason)
        )


def is_too_late(
    choice: scores_lib.UpstreamChoice,
    useful_until_ms: float,
    now_ms: float,
    patience: float = 1.0,
) -> bool:
    """Returns whether an answer is expected too late to be useful.

    Args:
        choice: The upstream that would be sent to.
        useful_until_ms: Time after which the answer is no longer useful.
        now_ms: Current time.
        patience: Fraction of the time left for waiting in a queue that the
            request may use.
    """
    limit_ms = TOO_LATE_FACTOR * max(0.0, useful_until_ms - now_ms)
    if patience < 1.0:
        run_ms = choice.queue_latency_ms - choice.queue_wait_ms
        limit_ms -= (1.0 - patience) * max(0.0, limit_ms - run_ms)
    return choice.queue_latency_ms > limit_ms


async def _wait_or_cancel(task: _Task) -> None:
    await asyncio.wait([task], timeout=SUPERSEDED_TIMEOUT_MS / _MS_PER_S)
    task.cancel()
