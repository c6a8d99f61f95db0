"""Carries searches out: the pure fan-out, joined to upstreams and timers."""

import asyncio
from collections.abc import Sequence

from greengagedale import clocks
from greengagedale import metrics as metrics_lib
from greengagedale import outcomes
from greengagedale.catalog import services
from greengagedale.query import attempts
from greengagedale.query import fanout
from greengagedale.query import snapshots
from greengagedale.routing import policies
from greengagedale.upstreams import base as upstreams_base

_MS_PER_S = 1000.0


class SearchRunner:
    """Runs searches on this host."""

    def __init__(
        self,
        transport: upstreams_base.UpstreamTransport,
        policy: policies.RoutingPolicy,
        clock: clocks.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._transport = transport
        self._policy = policy
        self._clock = clock
        self._metrics = metrics

    async def run(
        self, search: fanout.Search, member: str, service: services.Service
    ) -> outcomes.Outcome:
        """Runs one search to its outcome."""
        pinned = snapshots.choose(service.maps)
        if pinned is None:
            return outcomes.NotRun(
                outcomes.Reason.NO_REPLICA, fanout.RETRY_AFTER_MS
            )
        running = _Running(self, search, member, service, pinned)
        return await running.finish()

    @property
    def clock(self) -> clocks.Clock:
        """The clock that deadlines are given by."""
        return self._clock

    async def send(
        self,
        upstream: upstreams_base.Upstream,
        request: upstreams_base.SubSearch,
        service: str,
    ) -> attempts.AttemptResult:
        """Sends one attempt and counts it."""
        self._metrics.attempts.labels(service).inc()
        result = await self._transport.search(upstream, request)
        took_ms = self._clock.now_ms() - request.attempt.sent_ms
        self._metrics.attempt_latency.record(service, took_ms)
        if isinstance(result, attempts.Dropped):
            self._metrics.drops.labels(result.field).inc()
        elif isinstance(result, outcomes.AttemptEnd):
            self._metrics.refusals.labels("upstream", result.reason).inc()
        return result

    async def cancel(
        self, upstream: upstreams_base.Upstream, attempt_id: str
    ) -> None:
        """Asks an upstream to stop an attempt."""
        await self._transport.cancel(upstream, attempt_id)

    def fan_out(
        self, search: fanout.Search, pinned: snapshots.PinnedMap
    ) -> fanout.FanOut:
        """Makes the state of a search."""
        return fanout.FanOut(search, pinned, self._policy)


class _Running:
    """One search in progress, with its tasks and its timer."""

    def __init__(
        self,
        runner: SearchRunner,
        search: fanout.Search,
        member: str,
        service: services.Service,
        pinned: snapshots.PinnedMap,
    ) -> None:
        self._runner = runner
        self._search = search
        self._member = member
        self._service = service
        self._state = runner.fan_out(search, pinned)
        self._loop = asyncio.get_running_loop()
        self._done: asyncio.Future[outcomes.Outcome] = (
            self._loop.create_future()
        )
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._cancels: set[asyncio.Task[None]] = set()

    async def finish(self) -> outcomes.Outcome:
        """Runs the search and returns its outcome."""
        now_ms = self._runner.clock.now_ms()
        left_s = (self._search.deadline_ms - now_ms) / _MS_PER_S
        timer = self._loop.call_later(max(left_s, 0), self._on_deadline)
        try:
            self._carry_out(self._state.start(now_ms))
            return await self._done
        finally:
            timer.cancel()
            for task in self._tasks.values():
                task.cancel()

    def _on_deadline(self) -> None:
        self._carry_out(self._state.on_deadline())

    def _carry_out(self, commands: Sequence[fanout.Command]) -> None:
        for command in commands:
            match command:
                case fanout.Send(attempt):
                    self._send(attempt)
                case fanout.Cancel(attempt):
                    self._cancel(attempt)
                case fanout.Finish(outcome):
                    if not self._done.done():
                        self._done.set_result(outcome)

    def _send(self, attempt: attempts.Attempt) -> None:
        task = self._loop.create_task(self._attempt(attempt))
        self._tasks[attempt.attempt_id] = task

    async def _attempt(self, attempt: attempts.Attempt) -> None:
        request = upstreams_base.SubSearch(
            attempt,
            self._member,
            self._search.text,
            self._search.limit,
            max(0.0, self._search.deadline_ms - attempt.sent_ms),
        )
        upstream = self._service.upstreams[attempt.upstream]
        result = await self._runner.send(upstream, request, self._service.name)
        del self._tasks[attempt.attempt_id]
        now_ms = self._runner.clock.now_ms()
        self._carry_out(
            self._state.on_result(attempt.attempt_id, result, now_ms)
        )

    def _cancel(self, attempt: attempts.Attempt) -> None:
        task = self._tasks.pop(attempt.attempt_id, None)
        if task is not None:
            task.cancel()
        upstream = self._service.upstreams[attempt.upstream]
        cancel = self._loop.create_task(
            self._runner.cancel(upstream, attempt.attempt_id)
        )
        self._cancels.add(cancel)
        cancel.add_done_callback(self._cancels.discard)
