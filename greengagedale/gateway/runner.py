"""Runs callers' requests against one service or all shards of a fan-out."""

import asyncio
import logging
from typing import NamedTuple

from greengagedale import outcomes
from greengagedale.gateway import calls
from greengagedale.gateway import extra_attempts
from greengagedale.gateway import precedence as precedence_lib
from greengagedale.gateway import reachability as reachability_lib
from greengagedale.gateway import records
from greengagedale.gateway import regions as regions_lib
from greengagedale.gateway import route_config
from greengagedale.gateway import sub_requests
from greengagedale.gateway import traffic_split
from greengagedale.gateway import upstream_scores as scores_lib

log = logging.getLogger(__name__)

# An answer with enough parts is sent this long before the route's target
# latency, so that it reaches the caller within the target. The fixed margin
# covers the one-way latency to callers (1 to 3 ms); the relative margin covers
# scheduling delays on a busy host, which grow with the target.
CUTOFF_MARGIN_MS = 8.0
CUTOFF_MARGIN_SHARE = 0.04
# A partial answer is never sent earlier than this fraction of the target.
EARLIEST_CUTOFF_SHARE = 0.5
# The final answer is sent this long before the caller's deadline.
DEADLINE_MARGIN_MS = 12.0
# Minimum Retry-After, also used when a service has no listed upstream or all
# of them refuse.
RETRY_AFTER_MS = precedence_lib.MIN_RETRY_AFTER_MS
# Retry-After for quarantined requests, that is, requests that crash upstreams.
QUARANTINE_RETRY_MS = 60_000
# While too many shards are unresponsive, one search per interval is sent as a
# probe; the others are refused with this Retry-After.
PROBE_INTERVAL_MS = 250.0
# How often a search past its cutoff checks whether the pending shards are down.
LATE_CHECK_INTERVAL_MS = 50.0
_MS_PER_S = 1000.0


_SubRequestTasks = dict[
    asyncio.Task[calls.Answer | sub_requests.SubRequestFailure],
    sub_requests.SubRequest,
]


class _Parts(NamedTuple):
    answers: list[calls.Answer]
    failures: list[sub_requests.SubRequestFailure]


class Runner:
    """Runs calls on the routes of the active configuration."""

    def __init__(
        self,
        context: sub_requests.SubRequestContext,
        budgets: extra_attempts.ExtraAttemptBudgets,
        splitter: traffic_split.TrafficSplitter,
    ) -> None:
        self._context = context
        self._budgets = budgets
        self._splitter = splitter
        self._latencies: dict[str, extra_attempts.RouteLatency] = {}
        self._last_probe_ms: dict[str, float] = {}
        self._down_shards: set[str] = set()
        # Runners of requests that must stay in some regions: they see only the
        # upstreams there, and measure latencies of their own.
        self._regional: dict[frozenset[str], Runner] = {}

    def latency_of(
        self, route: route_config.Route
    ) -> extra_attempts.RouteLatency:
        """Returns the latencies of a route, kept across configurations."""
        latency = self._latencies.get(route.name)
        if latency is None:
            latency = self._latencies[route.name] = extra_attempts.RouteLatency(
                route.target_latency_ms
            )
        latency.target_latency_ms = route.target_latency_ms
        return latency

    def retain_only(
        self, configuration: route_config.RouteConfiguration
    ) -> None:
        """Discards state of routes and services not in a configuration."""
        names = {route.name for route in configuration.routes}
        self._latencies = {
            name: latency
            for name, latency in self._latencies.items()
            if name in names
        }
        self._last_probe_ms = {
            name: probe_ms
            for name, probe_ms in self._last_probe_ms.items()
            if name in names
        }
        self._down_shards.intersection_update(
            service
            for route in configuration.routes
            for service in route.services
        )
        self._splitter.retain_only(configuration.routes)
        if self._regional:
            self._retain_regional(configuration)

    def _retain_regional(
        self, configuration: route_config.RouteConfiguration
    ) -> None:
        """Discards runners of regions that requests are no longer bound to."""
        bounds = {
            regions_lib.allowed_regions(route, workspace)
            for route in configuration.routes
            for workspace in (None, *(configuration.workspaces or ()))
        }
        self._regional = {
            allowed: runner
            for allowed, runner in self._regional.items()
            if allowed in bounds
        }
        for runner in self._regional.values():
            runner.retain_only(configuration)

    async def run(
        self,
        call: calls.Call,
        route: route_config.Route,
        steps: list[sub_requests.Step],
    ) -> outcomes.Outcome:
        """Runs a call and returns its outcome.

        Cancelling it cancels the attempts in flight, except one of a request
        that must run at most once.
        """
        standing = self._context.standing_of(call, route)
        if standing is None:
            return await self._run_in_regions(call, route, steps)
        precedence = self._context.precedence
        precedence.record_arrival(standing, self._context.clock.now_ms())
        outcome = await self._run_in_regions(call, route, steps)
        precedence.record_end(
            standing,
            isinstance(outcome, outcomes.Ran),
            self._context.clock.now_ms(),
        )
        return outcome

    async def _run_in_regions(
        self,
        call: calls.Call,
        route: route_config.Route,
        steps: list[sub_requests.Step],
    ) -> outcomes.Outcome:
        allowed = regions_lib.allowed_regions(
            route, self._context.authorizer.workspace_of(call)
        )
        if allowed is None:
            return await self._run(call, route, steps)
        names = ", ".join(sorted(allowed))
        steps.append(_arrival_step("regions", names or "none in common"))
        return await self._within(allowed)._run(call, route, steps)

    def _within(self, allowed: frozenset[str]) -> "Runner":
        runner = self._regional.get(allowed)
        if runner is None:
            runner = self._regional[allowed] = Runner(
                self._context.within(allowed), self._budgets, self._splitter
            )
        return runner

    async def _run(
        self,
        call: calls.Call,
        route: route_config.Route,
        steps: list[sub_requests.Step],
    ) -> outcomes.Outcome:
        evacuated = self._context.evacuations.list.data_centres
        if evacuated:
            steps.append(_arrival_step("evacuated", ", ".join(evacuated)))
        deadline_ms = call.received_ms + route.timeout_ms
        if call.deadline_ms is not None:
            deadline_ms = min(deadline_ms, call.deadline_ms)
        deadline_ms -= DEADLINE_MARGIN_MS
        now_ms = self._context.clock.now_ms()
        if deadline_ms <= now_ms:
            return outcomes.NotRun(outcomes.Reason.DEADLINE, 0)
        if self._context.reachability.should_refuse(now_ms):
            steps.append(_arrival_step("cut off", "no upstream answers"))
            return outcomes.NotRun(
                outcomes.Reason.NO_PROGRESS,
                int(reachability_lib.PROBE_INTERVAL_MS),
            )
        quarantine = self._context.quarantine
        fingerprint = calls.fingerprint_of(call)
        if quarantine.should_refuse(fingerprint):
            return outcomes.NotRun(
                outcomes.Reason.QUARANTINED, QUARANTINE_RETRY_MS
            )
        with quarantine.track_call(fingerprint):
            if route.fanout is not None:
                return await self._run_fanout(
                    call, route, route.fanout, deadline_ms, steps
                )
            return await self._run_single(call, route, deadline_ms, steps)

    async def _run_single(
        self,
        call: calls.Call,
        route: route_config.Route,
        deadline_ms: float,
        steps: list[sub_requests.Step],
    ) -> outcomes.Outcome:
        service = self._splitter.choose(route)
        # The allowance of 1 lets the sub-request refuse at once when its queue
        # is too long.
        sub_request = self._create_sub_request(
            call,
            route,
            service,
            deadline_ms,
            steps,
            deadline_ms,
            sub_requests.OmissionAllowance(1),
        )
        task = asyncio.ensure_future(sub_request.run())
        try:
            result = await asyncio.shield(task)
        except asyncio.CancelledError:
            # A request that must run at most once is not cancelled, because
            # its caller cannot retry it.
            if route.is_idempotent or not sub_request.was_sent:
                task.cancel()
            raise
        if isinstance(result, calls.Answer):
            return outcomes.Ran(result)
        if result.answer is not None and result.answer.signature is not None:
            return outcomes.Ran(result.answer)
        return self._failure_outcome([result])

    async def _run_fanout(
        self,
        call: calls.Call,
        route: route_config.Route,
        fanout: route_config.Fanout,
        deadline_ms: float,
        steps: list[sub_requests.Step],
    ) -> outcomes.Outcome:
        available = [
            shard for shard in fanout.shards if self._context.candidates(shard)
        ]
        if len(available) < fanout.min_parts:
            return outcomes.NotRun(
                self._context.unavailable_reason(fanout.shards),
                self._min_parts_available_in_ms(fanout),
            )
        omittable = sum(map(self._is_responsive, available)) - fanout.min_parts
        if omittable < 0 and not self._claim_probe(route):
            return outcomes.NotRun(
                outcomes.Reason.NO_PROGRESS, int(PROBE_INTERVAL_MS)
            )
        waited_ms = self._estimate_waited_ms(call, route)
        if waited_ms > 0.0:
            steps.append(_arrival_step("waited", f"{waited_ms:.0f} ms before"))
        after_ms = _cutoff_after_ms(route.target_latency_ms, waited_ms)
        cutoff_ms = call.received_ms + after_ms
        refusal = self._refuse_if_overloaded(
            call, route, fanout, available, cutoff_ms, steps
        )
        if refusal is not None:
            return refusal
        # Shards that are down already count as missing parts, so only the rest
        # of the allowed missing parts can be omitted for long queues.
        allowance = sub_requests.OmissionAllowance(max(0, omittable))
        requests = [
            self._create_sub_request(
                call, route, shard, deadline_ms, steps, cutoff_ms, allowance
            )
            for shard in fanout.shards
        ]
        tasks = {
            asyncio.ensure_future(sub_request.run()): sub_request
            for sub_request in requests
        }
        try:
            parts = await self._collect_parts(
                tasks, fanout, cutoff_ms, deadline_ms
            )
        except asyncio.CancelledError:
            for task in tasks:
                task.cancel()
            raise
        self._abandon_pending(tasks)
        if len(parts.answers) < fanout.min_parts:
            may_have_run = bool(parts.answers) or any(
                sub_request.was_sent and not task.done()
                for task, sub_request in tasks.items()
            )
            is_late = self._context.clock.now_ms() >= deadline_ms
            return self._failure_outcome(
                parts.failures,
                may_have_run,
                # Collection ends before the deadline only if shards are down.
                outcomes.Reason.DEADLINE
                if is_late
                else outcomes.Reason.NO_PROGRESS,
            )
        return self._merge(route, fanout, parts.answers)

    def _refuse_if_overloaded(
        self,
        call: calls.Call,
        route: route_config.Route,
        fanout: route_config.Fanout,
        shards: list[str],
        cutoff_ms: float,
        steps: list[sub_requests.Step],
    ) -> outcomes.NotRun | None:
        """Refuses a search if queues would make too many of its parts late.

        Sending it would cost the other shards work for a search that fails.
        How long a queue may be depends on the precedence of the search.

        Returns:
            The refusal, or None if the search can be sent.
        """
        scores = self._context.scores
        now_ms = self._context.clock.now_ms()
        standing = self._context.standing_of(call, route)
        patience = self._context.patience(standing, now_ms)
        if (
            not scores.was_overloaded_recently(now_ms)
            and patience.factor >= 1.0
        ):
            return None
        typical_ms = self.latency_of(route).typical_ms()
        choices = (
            scores.choose(self._context.candidates(shard), typical_ms)
            for shard in shards
            if self._is_responsive(shard)
        )
        found = [choice for choice in choices if choice is not None]
        if len(found) < fanout.min_parts:
            # Too many shards are down; this search is sent as a probe.
            return None
        late_count = _late_count(found, cutoff_ms, now_ms, patience.factor)
        if len(found) - late_count >= fanout.min_parts:
            return None
        full_count = _late_count(found, cutoff_ms, now_ms, 1.0)
        if len(found) - full_count < fanout.min_parts:
            scores.record_queue_overload(now_ms)
        latencies_ms = sorted(choice.queue_latency_ms for choice in found)
        wait_ms = latencies_ms[fanout.min_parts - 1] - (cutoff_ms - now_ms)
        note = self._context.record_too_late(standing, patience, now_ms)
        steps.append(
            _arrival_step("too late", f"queues of {late_count} shards{note}")
        )
        retry_after_ms = self._context.retry_after_ms(
            standing, patience, wait_ms
        )
        return outcomes.NotRun(
            outcomes.Reason.OVERLOADED, max(RETRY_AFTER_MS, retry_after_ms)
        )

    def _estimate_waited_ms(
        self, call: calls.Call, route: route_config.Route
    ) -> float:
        """Returns how long the caller waited before it sent the request.

        The result is an estimate in milliseconds; 0 if unknown.
        """
        if call.deadline_ms is None:
            return 0.0
        return self.latency_of(route).waited_ms(
            call.deadline_ms - call.received_ms, call.received_ms
        )

    def _merge(
        self,
        route: route_config.Route,
        fanout: route_config.Fanout,
        answers: list[calls.Answer],
    ) -> outcomes.Ran:
        """Merges the answers of a search that enough shards answered."""
        missing = len(fanout.shards) - len(answers)
        self._context.metrics.merged_answers.inc(
            route.name, "partial" if missing else "whole"
        )
        signatures = tuple(answer.signature or "" for answer in answers)
        bodies = (answer.body for answer in answers)
        return outcomes.Ran(
            calls.MergedAnswer(
                signatures,
                missing,
                records.merge_top_records(bodies, fanout.max_records),
            )
        )

    def _min_parts_available_in_ms(self, fanout: route_config.Fanout) -> int:
        """Returns the time in ms until enough shards accept requests."""
        waits_ms = sorted(map(self._context.available_in_ms, fanout.shards))
        wait_ms = waits_ms[fanout.min_parts - 1]
        if wait_ms == float("inf"):
            return RETRY_AFTER_MS
        return max(RETRY_AFTER_MS, int(wait_ms))

    def _is_responsive(self, shard: str) -> bool:
        """Returns whether any upstream of a shard responds."""
        upstreams = self._context.in_use(shard)
        # Without listed upstreams, attempts may still run on leaving ones.
        is_down = bool(upstreams) and self._context.scores.is_down(upstreams)
        if is_down != (shard in self._down_shards):
            self._down_shards.symmetric_difference_update((shard,))
            log.info(
                "shard down" if is_down else "shard answers again",
                extra={
                    "service": shard,
                    "upstreams": [u.name for u in upstreams],
                },
            )
        return not is_down

    def _claim_probe(self, route: route_config.Route) -> bool:
        now_ms = self._context.clock.now_ms()
        if (
            now_ms - self._last_probe_ms.get(route.name, float("-inf"))
            < PROBE_INTERVAL_MS
        ):
            return False
        self._last_probe_ms[route.name] = now_ms
        return True

    async def _collect_parts(
        self,
        tasks: _SubRequestTasks,
        fanout: route_config.Fanout,
        cutoff_ms: float,
        deadline_ms: float,
    ) -> _Parts:
        """Waits for parts until the answer is due or can't succeed."""
        clock = self._context.clock
        parts = _Parts([], [])
        pending = set(tasks)
        while pending:
            now_ms = clock.now_ms()
            missing = fanout.min_parts - len(parts.answers)
            until_ms = deadline_ms if missing > 0 else cutoff_ms
            if now_ms >= until_ms:
                break
            if now_ms < cutoff_ms:
                possible = len(pending)
                until_ms = cutoff_ms
            else:
                shards = (
                    sub_request.service
                    for task, sub_request in tasks.items()
                    if task in pending
                )
                possible = sum(map(self._is_responsive, shards))
                until_ms = min(until_ms, now_ms + LATE_CHECK_INTERVAL_MS)
            if possible < missing:
                break
            done, pending = await asyncio.wait(
                pending,
                timeout=(until_ms - now_ms) / _MS_PER_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                result = task.result()
                if isinstance(result, calls.Answer) and result.is_success:
                    parts.answers.append(result)
                elif isinstance(result, sub_requests.SubRequestFailure):
                    parts.failures.append(result)
        return parts

    def _abandon_pending(self, tasks: _SubRequestTasks) -> None:
        for task, sub_request in tasks.items():
            if not task.done():
                sub_request.abandon()
                task.cancel()

    def _create_sub_request(
        self,
        call: calls.Call,
        route: route_config.Route,
        service: str,
        deadline_ms: float,
        steps: list[sub_requests.Step],
        useful_until_ms: float,
        allowance: sub_requests.OmissionAllowance,
    ) -> sub_requests.SubRequest:
        budget = self._budgets.record_request(
            service, self._context.clock.now_ms()
        )
        return sub_requests.SubRequest(
            self._context,
            call,
            route,
            service,
            deadline_ms,
            self.latency_of(route),
            budget,
            steps,
            useful_until_ms,
            allowance,
        )

    def _failure_outcome(
        self,
        failures: list[sub_requests.SubRequestFailure],
        may_have_run: bool = False,
        default_reason: outcomes.Reason = outcomes.Reason.DEADLINE,
    ) -> outcomes.NotRun | outcomes.Unknown:
        """Returns the outcome of a call that too few services answered.

        Args:
            failures: Failures of the sub-requests that have ended.
            may_have_run: Whether any other sub-request may have run.
            default_reason: Reason to report if no sub-request has failed yet.
        """
        reasons = [failure.reason for failure in failures]
        if outcomes.Reason.DEADLINE in reasons:
            return outcomes.Unknown(outcomes.Reason.DEADLINE)
        if any(failure.answer is not None for failure in failures):
            return outcomes.Unknown(outcomes.Reason.REJECTED)
        if may_have_run:
            return outcomes.Unknown(reasons[-1] if reasons else default_reason)
        attempt_failures = [
            attempt_failure
            for failure in failures
            for attempt_failure in failure.attempt_failures
        ]
        reason = reasons[-1] if reasons else outcomes.Reason.NO_REPLICA
        retry_after_ms = max(
            [RETRY_AFTER_MS, *(each.retry_after_ms for each in failures)]
        )
        return outcomes.from_failures(attempt_failures, reason, retry_after_ms)


def _late_count(
    choices: list[scores_lib.UpstreamChoice],
    cutoff_ms: float,
    now_ms: float,
    patience: float,
) -> int:
    return sum(
        sub_requests.is_too_late(choice, cutoff_ms, now_ms, patience)
        for choice in choices
    )


def _arrival_step(kind: str, reason: str) -> sub_requests.Step:
    """Returns a step recorded at the arrival of a request."""
    return sub_requests.Step(0.0, kind, "", "", reason)


def _cutoff_after_ms(target_latency_ms: float, waited_ms: float) -> float:
    """Returns the age in ms at which an answer with enough parts is due.

    Args:
        target_latency_ms: The route's target, from the caller's first action.
        waited_ms: How long the caller had waited when it sent the request.
    """
    margin_ms = CUTOFF_MARGIN_MS + CUTOFF_MARGIN_SHARE * target_latency_ms
    return max(
        EARLIEST_CUTOFF_SHARE * target_latency_ms,
        target_latency_ms - margin_ms - waited_ms,
    )
