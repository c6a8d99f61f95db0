"""Runs calls: one service's answer, or the parts of all shards."""

import asyncio
import logging
from typing import NamedTuple

from greengagedale import outcomes
from greengagedale.gateway import calls
from greengagedale.gateway import extra_attempts
from greengagedale.gateway import records
from greengagedale.gateway import route_config
from greengagedale.gateway import sub_requests
from greengagedale.gateway import traffic_split

log = logging.getLogger(__name__)

# An answer with enough parts goes out so long before the route's aim that it
# reaches the caller within it: callers are 1 to 3 ms away one way, and a busy
# host is late by a part of the aim.
CUTOFF_MARGIN_MS = 8.0
CUTOFF_MARGIN_SHARE = 0.04
# No answer goes out with parts missing sooner than this share of the aim.
EARLIEST_CUTOFF_SHARE = 0.5
# Final answers leave this much before the caller's deadline.
DEADLINE_MARGIN_MS = 12.0
# When nothing is listed for a service, or all that is refuses.
RETRY_AFTER_MS = 100
# Callers of a request that crashes upstreams are told to come back this late.
QUARANTINE_RETRY_MS = 60_000
# While too many shards don't answer, one search in this time goes out to find
# out whether they are back; the others are refused and asked to wait as long.
PROBE_INTERVAL_MS = 250.0
# How often a search that is late looks whether its missing shards are down.
LATE_CHECK_MS = 50.0
_MS_PER_S = 1000.0


_Fetching = dict[
    asyncio.Task[calls.Answer | sub_requests.Failure], sub_requests.SubRequest
]


class _Parts(NamedTuple):
    answers: list[calls.Answer]
    failures: list[sub_requests.Failure]


class Runner:
    """Runs calls on the routes of the configuration in force."""

    def __init__(
        self,
        tools: sub_requests.SubRequestContext,
        budgets: extra_attempts.ExtraAttemptBudgets,
        splitter: traffic_split.TrafficSplitter,
    ) -> None:
        self._context = tools
        self._budgets = budgets
        self._splitter = splitter
        self._paces: dict[str, extra_attempts.RouteLatency] = {}
        self._probed_ms: dict[str, float] = {}
        self._down: set[str] = set()

    def latency_of(
        self, plan: route_config.Route
    ) -> extra_attempts.RouteLatency:
        """Returns the latencies of a route; kept across configurations."""
        pace = self._paces.get(plan.name)
        if pace is None:
            pace = self._paces[plan.name] = extra_attempts.RouteLatency(
                plan.target_latency_ms
            )
        pace.target_latency_ms = plan.target_latency_ms
        return pace

    def retain_only(
        self, configuration: route_config.RouteConfiguration
    ) -> None:
        """Drops what is kept for routes and services no longer in force."""
        names = {plan.name for plan in configuration.routes}
        self._paces = {
            name: pace for name, pace in self._paces.items() if name in names
        }
        self._probed_ms = {
            name: at for name, at in self._probed_ms.items() if name in names
        }
        self._down.intersection_update(
            service
            for plan in configuration.routes
            for service in plan.services
        )
        self._splitter.retain_only(configuration.routes)

    async def run(
        self,
        call: calls.Call,
        plan: route_config.Route,
        steps: list[sub_requests.Step],
    ) -> outcomes.Outcome:
        """Runs a call; cancelling it abandons what may be abandoned."""
        deadline_ms = call.received_ms + plan.timeout_ms
        if call.deadline_ms is not None:
            deadline_ms = min(deadline_ms, call.deadline_ms)
        deadline_ms -= DEADLINE_MARGIN_MS
        if deadline_ms <= self._context.clock.now_ms():
            return outcomes.NotRun(outcomes.Reason.DEADLINE, 0)
        quarantine = self._context.quarantine
        fingerprint = calls.fingerprint_of(call)
        if quarantine.should_refuse(fingerprint):
            return outcomes.NotRun(
                outcomes.Reason.QUARANTINED, QUARANTINE_RETRY_MS
            )
        with quarantine.track_call(fingerprint):
            if plan.fanout is not None:
                return await self._gather(
                    call, plan, plan.fanout, deadline_ms, steps
                )
            return await self._single(call, plan, deadline_ms, steps)

    async def _single(
        self,
        call: calls.Call,
        plan: route_config.Route,
        deadline_ms: float,
        steps: list[sub_requests.Step],
    ) -> outcomes.Outcome:
        service = self._splitter.choose(plan)
        # Its only service may be left out: then the call is refused at once.
        fetch = self._fetch(
            call,
            plan,
            service,
            deadline_ms,
            steps,
            deadline_ms,
            sub_requests.OmissionAllowance(1),
        )
        task = asyncio.ensure_future(fetch.run())
        try:
            result = await asyncio.shield(task)
        except asyncio.CancelledError:
            # What may run only once is let run; its caller can't ask again.
            if plan.is_idempotent or not fetch.was_sent:
                task.cancel()
            raise
        if isinstance(result, calls.Answer):
            return outcomes.Ran(result)
        if result.answer is not None and result.answer.signature is not None:
            return outcomes.Ran(result.answer)
        return self._without_answer([result])

    async def _gather(
        self,
        call: calls.Call,
        plan: route_config.Route,
        fanout: route_config.Fanout,
        deadline_ms: float,
        steps: list[sub_requests.Step],
    ) -> outcomes.Outcome:
        held = [
            shard for shard in fanout.shards if self._context.candidates(shard)
        ]
        if len(held) < fanout.min_parts:
            return outcomes.NotRun(
                outcomes.Reason.NO_REPLICA, self._enough_available_in_ms(fanout)
            )
        spare = sum(map(self._answers, held)) - fanout.min_parts
        if spare < 0 and not self._may_probe(plan):
            return outcomes.NotRun(
                outcomes.Reason.NO_PROGRESS, int(PROBE_INTERVAL_MS)
            )
        waited_ms = self._waited_ms(call, plan)
        if waited_ms > 0.0:
            steps.append(_step("waited", f"{waited_ms:.0f} ms before"))
        after_ms = _cutoff_after_ms(plan.target_latency_ms, waited_ms)
        cutoff_ms = call.received_ms + after_ms
        refusal = self._refusal_by_queues(plan, fanout, held, cutoff_ms, steps)
        if refusal is not None:
            return refusal
        # Shards that are down will be missing; only the rest may be left out.
        slack = sub_requests.OmissionAllowance(max(0, spare))
        fetching = [
            self._fetch(call, plan, shard, deadline_ms, steps, cutoff_ms, slack)
            for shard in fanout.shards
        ]
        made = {asyncio.ensure_future(fetch.run()): fetch for fetch in fetching}
        try:
            parts = await self._collect(made, fanout, cutoff_ms, deadline_ms)
        except asyncio.CancelledError:
            for task in made:
                task.cancel()
            raise
        self._let_go(made)
        if len(parts.answers) < fanout.min_parts:
            has_begun = bool(parts.answers) or any(
                fetch.was_sent and not task.done()
                for task, fetch in made.items()
            )
            is_late = self._context.clock.now_ms() >= deadline_ms
            return self._without_answer(
                parts.failures,
                has_begun,
                # Before the deadline, it ended for shards that are down.
                outcomes.Reason.DEADLINE
                if is_late
                else outcomes.Reason.NO_PROGRESS,
            )
        return self._merged(plan, fanout, parts.answers)

    def _refusal_by_queues(
        self,
        plan: route_config.Route,
        fanout: route_config.Fanout,
        shards: list[str],
        cutoff_ms: float,
        steps: list[sub_requests.Step],
    ) -> outcomes.NotRun | None:
        """Refuses a search of which too many parts would come too late.

        Otherwise the other shards would work for a search that fails.
        """
        scores = self._context.scores
        now_ms = self._context.clock.now_ms()
        if not scores.may_be_flooded(now_ms):
            return None
        typical_ms = self.latency_of(plan).typical_ms()
        choices = (
            scores.choose(self._context.candidates(shard), typical_ms)
            for shard in shards
            if self._answers(shard)
        )
        waits_ms = [
            choice.queue_latency_ms - (cutoff_ms - now_ms)
            if sub_requests.is_too_late(choice, cutoff_ms, now_ms)
            else 0.0
            for choice in choices
            if choice is not None
        ]
        if len(waits_ms) < fanout.min_parts:
            # Shards are down; this search goes out to find out about them.
            return None
        wait_ms = sorted(waits_ms)[fanout.min_parts - 1]
        if wait_ms <= 0.0:
            return None
        scores.record_queue_overload(now_ms)
        late = sum(wait_ms > 0.0 for wait_ms in waits_ms)
        steps.append(_step("too late", f"queues of {late} shards"))
        return outcomes.NotRun(
            outcomes.Reason.OVERLOADED, max(RETRY_AFTER_MS, int(wait_ms))
        )

    def _waited_ms(self, call: calls.Call, plan: route_config.Route) -> float:
        """Returns how long a caller had waited when it sent its request."""
        if call.deadline_ms is None:
            return 0.0
        return self.latency_of(plan).waited_ms(
            call.deadline_ms - call.received_ms, call.received_ms
        )

    def _merged(
        self,
        plan: route_config.Route,
        fanout: route_config.Fanout,
        answers: list[calls.Answer],
    ) -> outcomes.Ran:
        """Returns the outcome of a search that enough shards answered."""
        missing = len(fanout.shards) - len(answers)
        self._context.metrics.merged_answers.inc(
            plan.name, "partial" if missing else "whole"
        )
        signatures = tuple(answer.signature or "" for answer in answers)
        bodies = (answer.body for answer in answers)
        return outcomes.Ran(
            calls.MergedAnswer(
                signatures,
                missing,
                records.greatest(bodies, fanout.max_records),
            )
        )

    def _enough_available_in_ms(self, fanout: route_config.Fanout) -> int:
        """Returns when enough shards have upstreams that take work."""
        waits_ms = sorted(map(self._context.available_in_ms, fanout.shards))
        wait_ms = waits_ms[fanout.min_parts - 1]
        if wait_ms == float("inf"):
            return RETRY_AFTER_MS
        return max(RETRY_AFTER_MS, int(wait_ms))

    def _answers(self, shard: str) -> bool:
        """Tells whether any upstream of a shard answers."""
        held = self._context.listed(shard)
        # With none listed, attempts still run at upstreams that leave.
        is_down = bool(held) and self._context.scores.is_down(held)
        if is_down != (shard in self._down):
            self._down.symmetric_difference_update((shard,))
            log.info(
                "shard down" if is_down else "shard answers again",
                extra={"service": shard, "upstreams": [u.name for u in held]},
            )
        return not is_down

    def _may_probe(self, plan: route_config.Route) -> bool:
        now_ms = self._context.clock.now_ms()
        if (
            now_ms - self._probed_ms.get(plan.name, float("-inf"))
            < PROBE_INTERVAL_MS
        ):
            return False
        self._probed_ms[plan.name] = now_ms
        return True

    async def _collect(
        self,
        made: _Fetching,
        fanout: route_config.Fanout,
        cutoff_ms: float,
        deadline_ms: float,
    ) -> _Parts:
        """Waits for parts until the answer should go out."""
        clock = self._context.clock
        parts = _Parts([], [])
        waiting = set(made)
        while waiting:
            now_ms = clock.now_ms()
            missing = fanout.min_parts - len(parts.answers)
            until_ms = deadline_ms if missing > 0 else cutoff_ms
            if now_ms >= until_ms:
                break
            if now_ms < cutoff_ms:
                hopeful = len(waiting)
                until_ms = cutoff_ms
            else:
                shards = (
                    fetch.service
                    for task, fetch in made.items()
                    if task in waiting
                )
                hopeful = sum(map(self._answers, shards))
                until_ms = min(until_ms, now_ms + LATE_CHECK_MS)
            if hopeful < missing:
                break
            done, waiting = await asyncio.wait(
                waiting,
                timeout=(until_ms - now_ms) / _MS_PER_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                result = task.result()
                if isinstance(result, calls.Answer) and result.is_success:
                    parts.answers.append(result)
                elif isinstance(result, sub_requests.Failure):
                    parts.failures.append(result)
        return parts

    def _let_go(self, made: _Fetching) -> None:
        for task, fetch in made.items():
            if not task.done():
                fetch.give_up()
                task.cancel()

    def _fetch(
        self,
        call: calls.Call,
        plan: route_config.Route,
        service: str,
        deadline_ms: float,
        steps: list[sub_requests.Step],
        useful_until_ms: float,
        slack: sub_requests.OmissionAllowance,
    ) -> sub_requests.SubRequest:
        budget = self._budgets.note_request(
            service, self._context.clock.now_ms()
        )
        return sub_requests.SubRequest(
            self._context,
            call,
            plan,
            service,
            deadline_ms,
            self.latency_of(plan),
            budget,
            steps,
            useful_until_ms,
            slack,
        )

    def _without_answer(
        self,
        failures: list[sub_requests.Failure],
        has_begun: bool = False,
        unended: outcomes.Reason = outcomes.Reason.DEADLINE,
    ) -> outcomes.NotRun | outcomes.Unknown:
        """Returns the outcome of a call that too few services answered.

        Args:
            failures: How the services failed that have ended.
            has_begun: Whether others may have run it.
            unended: Why no more was waited for, if none has failed yet.
        """
        reasons = [failure.reason for failure in failures]
        if outcomes.Reason.DEADLINE in reasons:
            return outcomes.Unknown(outcomes.Reason.DEADLINE)
        if any(failure.answer is not None for failure in failures):
            return outcomes.Unknown(outcomes.Reason.REJECTED)
        if has_begun:
            return outcomes.Unknown(reasons[-1] if reasons else unended)
        ends = [end for failure in failures for end in failure.ends]
        reason = reasons[-1] if reasons else outcomes.Reason.NO_REPLICA
        retry_after_ms = max(
            [RETRY_AFTER_MS, *(each.retry_after_ms for each in failures)]
        )
        return outcomes.from_failures(ends, reason, retry_after_ms)


def _step(what: str, reason: str) -> sub_requests.Step:
    """Returns what was found out about a request when it came."""
    return sub_requests.Step(0.0, what, "", "", reason)


def _cutoff_after_ms(target_latency_ms: float, waited_ms: float) -> float:
    """Returns the age at which an answer with enough parts goes out.

    Args:
        target_latency_ms: The route's target, from the caller's first step.
        waited_ms: How long the caller had waited when it sent the request.
    """
    margin_ms = CUTOFF_MARGIN_MS + CUTOFF_MARGIN_SHARE * target_latency_ms
    return max(
        EARLIEST_CUTOFF_SHARE * target_latency_ms,
        target_latency_ms - margin_ms - waited_ms,
    )
