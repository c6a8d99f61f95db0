"""Runs calls: one service's answer, or the parts of all shards."""

import asyncio
import logging
from typing import NamedTuple

from greengagedale import outcomes
from greengagedale.gateway import calls
from greengagedale.gateway import fetches
from greengagedale.gateway import pacing
from greengagedale.gateway import plans
from greengagedale.gateway import records
from greengagedale.gateway import splits

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
PROBE_MS = 250.0
# How often a search that is late looks whether its missing shards are down.
LATE_CHECK_MS = 50.0
_MS_PER_S = 1000.0


_Fetching = dict[asyncio.Task[calls.Answer | fetches.Failure], fetches.Fetch]


class _Parts(NamedTuple):
    answers: list[calls.Answer]
    failures: list[fetches.Failure]


class Runner:
    """Runs calls on the routes of the configuration in force."""

    def __init__(
        self,
        tools: fetches.Tools,
        budgets: pacing.Budgets,
        splitter: splits.Splitter,
    ) -> None:
        self._tools = tools
        self._budgets = budgets
        self._splitter = splitter
        self._paces: dict[str, pacing.Pace] = {}
        self._probed_ms: dict[str, float] = {}
        self._down: set[str] = set()

    def pace_of(self, plan: plans.Plan) -> pacing.Pace:
        """Returns the latencies of a route; kept across configurations."""
        pace = self._paces.get(plan.name)
        if pace is None:
            pace = self._paces[plan.name] = pacing.Pace(plan.aim_ms)
        pace.aim_ms = plan.aim_ms
        return pace

    def forget_others(self, routes: plans.Routes) -> None:
        """Drops what is kept for routes and services no longer in force."""
        names = {plan.name for plan in routes.plans}
        self._paces = {
            name: pace for name, pace in self._paces.items() if name in names
        }
        self._probed_ms = {
            name: at for name, at in self._probed_ms.items() if name in names
        }
        self._down.intersection_update(
            service for plan in routes.plans for service in plan.services
        )
        self._splitter.forget_others(routes.plans)

    async def run(
        self, call: calls.Call, plan: plans.Plan, steps: list[fetches.Step]
    ) -> outcomes.Outcome:
        """Runs a call; cancelling it abandons what may be abandoned."""
        deadline_ms = call.received_ms + plan.timeout_ms
        if call.deadline_ms is not None:
            deadline_ms = min(deadline_ms, call.deadline_ms)
        deadline_ms -= DEADLINE_MARGIN_MS
        if deadline_ms <= self._tools.clock.now_ms():
            return outcomes.NotRun(outcomes.Reason.DEADLINE, 0)
        quarantine = self._tools.quarantine
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
        plan: plans.Plan,
        deadline_ms: float,
        steps: list[fetches.Step],
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
            fetches.Slack(1),
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
        plan: plans.Plan,
        fanout: plans.Fanout,
        deadline_ms: float,
        steps: list[fetches.Step],
    ) -> outcomes.Outcome:
        held = [
            shard for shard in fanout.shards if self._tools.candidates(shard)
        ]
        if len(held) < fanout.least_parts:
            return outcomes.NotRun(
                outcomes.Reason.NO_REPLICA, self._enough_available_in_ms(fanout)
            )
        spare = sum(map(self._answers, held)) - fanout.least_parts
        if spare < 0 and not self._may_probe(plan):
            return outcomes.NotRun(outcomes.Reason.NO_PROGRESS, int(PROBE_MS))
        waited_ms = self._waited_ms(call, plan)
        if waited_ms > 0.0:
            steps.append(_step("waited", f"{waited_ms:.0f} ms before"))
        after_ms = _cutoff_after_ms(plan.aim_ms, waited_ms)
        cutoff_ms = call.received_ms + after_ms
        refusal = self._refusal_by_queues(plan, fanout, held, cutoff_ms, steps)
        if refusal is not None:
            return refusal
        # Shards that are down will be missing; only the rest may be left out.
        slack = fetches.Slack(max(0, spare))
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
        if len(parts.answers) < fanout.least_parts:
            has_begun = bool(parts.answers) or any(
                fetch.was_sent and not task.done()
                for task, fetch in made.items()
            )
            is_late = self._tools.clock.now_ms() >= deadline_ms
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
        plan: plans.Plan,
        fanout: plans.Fanout,
        shards: list[str],
        cutoff_ms: float,
        steps: list[fetches.Step],
    ) -> outcomes.NotRun | None:
        """Refuses a search of which too many parts would come too late.

        Otherwise the other shards would work for a search that fails.
        """
        scores = self._tools.scores
        now_ms = self._tools.clock.now_ms()
        if not scores.may_be_flooded(now_ms):
            return None
        usual_ms = self.pace_of(plan).usual_ms()
        choices = (
            scores.choose(self._tools.candidates(shard), usual_ms)
            for shard in shards
            if self._answers(shard)
        )
        waits_ms = [
            choice.queued_ms - (cutoff_ms - now_ms)
            if fetches.is_too_late(choice, cutoff_ms, now_ms)
            else 0.0
            for choice in choices
            if choice is not None
        ]
        if len(waits_ms) < fanout.least_parts:
            # Shards are down; this search goes out to find out about them.
            return None
        wait_ms = sorted(waits_ms)[fanout.least_parts - 1]
        if wait_ms <= 0.0:
            return None
        scores.note_flood(now_ms)
        late = sum(wait_ms > 0.0 for wait_ms in waits_ms)
        steps.append(_step("too late", f"queues of {late} shards"))
        return outcomes.NotRun(
            outcomes.Reason.OVERLOADED, max(RETRY_AFTER_MS, int(wait_ms))
        )

    def _waited_ms(self, call: calls.Call, plan: plans.Plan) -> float:
        """Returns how long a caller had waited when it sent its request."""
        if call.deadline_ms is None:
            return 0.0
        return self.pace_of(plan).waited_ms(
            call.deadline_ms - call.received_ms, call.received_ms
        )

    def _merged(
        self,
        plan: plans.Plan,
        fanout: plans.Fanout,
        answers: list[calls.Answer],
    ) -> outcomes.Ran:
        """Returns the outcome of a search that enough shards answered."""
        missing = len(fanout.shards) - len(answers)
        self._tools.metrics.gathers.inc(
            plan.name, "partial" if missing else "whole"
        )
        signatures = tuple(answer.signature or "" for answer in answers)
        bodies = (answer.body for answer in answers)
        return outcomes.Ran(
            calls.Gathered(
                signatures,
                missing,
                records.greatest(bodies, fanout.best_records),
            )
        )

    def _enough_available_in_ms(self, fanout: plans.Fanout) -> int:
        """Returns when enough shards have upstreams that take work."""
        waits_ms = sorted(map(self._tools.available_in_ms, fanout.shards))
        wait_ms = waits_ms[fanout.least_parts - 1]
        if wait_ms == float("inf"):
            return RETRY_AFTER_MS
        return max(RETRY_AFTER_MS, int(wait_ms))

    def _answers(self, shard: str) -> bool:
        """Tells whether any upstream of a shard answers."""
        held = self._tools.listed(shard)
        # With none listed, attempts still run at upstreams that leave.
        is_down = bool(held) and self._tools.scores.is_down(held)
        if is_down != (shard in self._down):
            self._down.symmetric_difference_update((shard,))
            log.info(
                "shard down" if is_down else "shard answers again",
                extra={"service": shard, "upstreams": [u.name for u in held]},
            )
        return not is_down

    def _may_probe(self, plan: plans.Plan) -> bool:
        now_ms = self._tools.clock.now_ms()
        if now_ms - self._probed_ms.get(plan.name, float("-inf")) < PROBE_MS:
            return False
        self._probed_ms[plan.name] = now_ms
        return True

    async def _collect(
        self,
        made: _Fetching,
        fanout: plans.Fanout,
        cutoff_ms: float,
        deadline_ms: float,
    ) -> _Parts:
        """Waits for parts until the answer should go out."""
        clock = self._tools.clock
        parts = _Parts([], [])
        waiting = set(made)
        while waiting:
            now_ms = clock.now_ms()
            missing = fanout.least_parts - len(parts.answers)
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
                elif isinstance(result, fetches.Failure):
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
        plan: plans.Plan,
        service: str,
        deadline_ms: float,
        steps: list[fetches.Step],
        useful_until_ms: float,
        slack: fetches.Slack,
    ) -> fetches.Fetch:
        budget = self._budgets.note_request(service, self._tools.clock.now_ms())
        return fetches.Fetch(
            self._tools,
            call,
            plan,
            service,
            deadline_ms,
            self.pace_of(plan),
            budget,
            steps,
            useful_until_ms,
            slack,
        )

    def _without_answer(
        self,
        failures: list[fetches.Failure],
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
        return outcomes.of_attempts(ends, reason, retry_after_ms)


def _step(what: str, reason: str) -> fetches.Step:
    """Returns what was found out about a request when it came."""
    return fetches.Step(0.0, what, "", "", reason)


def _cutoff_after_ms(aim_ms: float, waited_ms: float) -> float:
    """Returns the age at which an answer with enough parts goes out.

    Args:
        target_latency_ms: The route's target, counted from the caller's first step.
        waited_ms: How long the caller had waited when it sent the request.
    """
    margin_ms = CUTOFF_MARGIN_MS + CUTOFF_MARGIN_SHARE * aim_ms
    return max(EARLIEST_CUTOFF_SHARE * aim_ms, aim_ms - margin_ms - waited_ms)
