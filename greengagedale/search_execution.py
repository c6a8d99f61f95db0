"""Executes searches by connecting the fan-out logic to upstreams and timers.

The fan-out itself (`query.fanout`) does no I/O; it returns commands, which are
executed here.
"""

import asyncio
from collections.abc import Callable, Sequence

from greengagedale import clocks
from greengagedale import metrics as metrics_lib
from greengagedale import outcomes
from greengagedale.catalog import services
from greengagedale.query import attempts
from greengagedale.query import events
from greengagedale.query import fanout
from greengagedale.query import snapshots
from greengagedale.query import strategies as strategies_lib
from greengagedale.routing import load_tracker as load_tracker_lib
from greengagedale.routing import strategy_providers
from greengagedale.upstreams import base as upstreams_base

_MS_PER_S = 1000.0

ServiceLookup = Callable[[str], services.Service | None]


class SearchRunner:
    """Runs searches on this host."""

    def __init__(
        self,
        transport: upstreams_base.UpstreamTransport,
        strategy_provider: strategy_providers.StrategyProvider,
        loads: load_tracker_lib.LoadTracker,
        find_service: ServiceLookup,
        clock: clocks.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._transport = transport
        self._strategy_provider = strategy_provider
        self._loads = loads
        self._find_service = find_service
        self._clock = clock
        self._metrics = metrics
        self._prewarmed_versions: dict[str, int] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()

    async def run(
        self,
        search: fanout.Search,
        member: str,
        service: services.Service,
        trace: events.Trace | None = None,
    ) -> outcomes.Outcome:
        """Runs one search to its outcome.

        Args:
            search: The search to run.
            member: Member on whose behalf it runs.
            service: The current version of the service.
            trace: Collects the events of the search, other than its first
                attempts.
        """
        trace = trace if trace is not None else events.Trace()
        self.prewarm_new_upstreams(service)
        strategy = self._strategy_provider.strategy(search)
        partition_map = strategy.snapshot_refusals.choose_map(
            service.maps, self._clock.now_ms()
        )
        if partition_map is None:
            return outcomes.NotRun(
                outcomes.Reason.NO_REPLICA, fanout.RETRY_AFTER_MS
            )
        running_search = _RunningSearch(
            self, search, member, service, partition_map, strategy, trace
        )
        try:
            return await running_search.run()
        finally:
            self._count(service.name, trace)

    @property
    def clock(self) -> clocks.Clock:
        """The clock that deadlines refer to."""
        return self._clock

    def prewarm_new_upstreams(self, service: services.Service) -> None:
        """Opens connections in the background if the service has changed."""
        if self._prewarmed_versions.get(service.name) == service.version:
            return
        self._prewarmed_versions[service.name] = service.version
        for upstream in service.upstreams.values():
            self.run_in_background(self._transport.prewarm(upstream))

    def current_service(self, name: str) -> services.Service | None:
        """Returns the current version of a service, None if unknown."""
        return self._find_service(name)

    async def send(
        self,
        upstream: upstreams_base.Upstream,
        request: upstreams_base.SubSearch,
        service: str,
    ) -> attempts.AttemptResult:
        """Sends one attempt and updates load and metrics.

        A cancelled call counts as load until `cancel` has completed.
        """
        self._metrics.attempts.labels(service).inc()
        loads = self._loads
        loads.on_start(upstream.name)
        result = await self._transport.search(upstream, request)
        took_ms = self._clock.now_ms() - request.attempt.sent_ms
        loads.on_end(upstream.name)
        if isinstance(result, attempts.Answered):
            loads.record_latency(upstream.name, took_ms)
            loads.on_answer(upstream.name)
            self._metrics.attempt_latency.record(service, took_ms)
        elif isinstance(result, outcomes.AttemptFailure):
            self._metrics.refusals.labels("upstream", result.reason).inc()
            if not result.refused:
                loads.on_failure(upstream.name)
        return result

    async def cancel(
        self,
        upstream: upstreams_base.Upstream,
        attempt: attempts.Attempt,
    ) -> None:
        """Asks an upstream to stop an attempt that is no longer needed."""
        name = upstream.name
        self._loads.record_latency(name, self._clock.now_ms() - attempt.sent_ms)
        await self._transport.cancel(upstream, attempt.attempt_id)
        self._loads.on_end(name)

    def run_in_background(
        self, coroutine: "asyncio._CoroutineLike[None]"
    ) -> None:
        """Starts a task that no search waits for."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def _count(self, service: str, trace: events.Trace) -> None:
        for event_type, count in trace.counts.items():
            if event_type.kind is events.EventKind.RETRY:
                self._metrics.retries.labels(event_type.reason).inc(count)
            elif event_type.kind is events.EventKind.DROP:
                self._metrics.dropped_answers.labels(event_type.reason).inc(
                    count
                )
            self._metrics.search_events.labels(
                service, event_type.kind, event_type.reason
            ).inc(count)


class _RunningSearch:
    """A running search with its tasks and its timer."""

    def __init__(
        self,
        runner: SearchRunner,
        search: fanout.Search,
        member: str,
        service: services.Service,
        partition_map: snapshots.PartitionMap,
        strategy: strategies_lib.SearchStrategy,
        trace: events.Trace,
    ) -> None:
        self._runner = runner
        self._search = search
        self._member = member
        self._service = service
        self._state = fanout.FanOut(
            search, partition_map, strategy, self._current_maps, trace
        )
        self._loop = asyncio.get_running_loop()
        self._done: asyncio.Future[outcomes.Outcome] = (
            self._loop.create_future()
        )
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ms = float("inf")

    async def run(self) -> outcomes.Outcome:
        """Runs the search and returns its outcome."""
        try:
            self._execute(self._state.start(self._now_ms()))
            return await self._done
        finally:
            if not self._done.done() or self._done.cancelled():
                self._execute(self._state.abandon(self._now_ms()))
            if self._timer is not None:
                self._timer.cancel()

    def _now_ms(self) -> float:
        return self._runner.clock.now_ms()

    def _current_maps(self) -> Sequence[snapshots.PartitionMap]:
        current_service = self._runner.current_service(self._service.name)
        if current_service is not None:
            self._service = current_service
        return self._service.maps

    def _on_timer(self) -> None:
        self._timer_due_ms = float("inf")
        self._execute(self._state.on_timer(self._now_ms()))

    def _execute(self, commands: Sequence[fanout.Command]) -> None:
        for command in commands:
            match command:
                case fanout.Send(attempt):
                    self._send(attempt)
                case fanout.Cancel(attempt):
                    self._cancel(attempt)
                case fanout.Finish(outcome):
                    if not self._done.done():
                        self._done.set_result(outcome)
        if not self._done.done():
            self._set_timer()

    def _set_timer(self) -> None:
        """Schedules the timer if the next event is due before it fires."""
        due_ms = self._state.next_timer_ms()
        if due_ms >= self._timer_due_ms:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_ms = due_ms
        delay_s = max(0.0, due_ms - self._now_ms()) / _MS_PER_S
        self._timer = self._loop.call_later(delay_s, self._on_timer)

    def _send(self, attempt: attempts.Attempt) -> None:
        task = self._loop.create_task(self._run_attempt(attempt))
        self._tasks[attempt.attempt_id] = task

    async def _run_attempt(self, attempt: attempts.Attempt) -> None:
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
        self._execute(
            self._state.on_result(attempt.attempt_id, result, self._now_ms())
        )

    def _cancel(self, attempt: attempts.Attempt) -> None:
        """Cancels the task of an attempt and notifies its upstream."""
        task = self._tasks.pop(attempt.attempt_id, None)
        if task is None:
            return
        task.cancel()
        upstream = self._service.upstreams.get(attempt.upstream)
        if upstream is not None:
            self._runner.run_in_background(
                self._runner.cancel(upstream, attempt)
            )
