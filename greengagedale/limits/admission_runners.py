"""Carries out what admission decides: requests wait, run or are refused."""

import asyncio
from collections.abc import Awaitable, Callable
import random
from typing import NamedTuple, Self

from greengagedale import clocks
from greengagedale import metrics as metrics_lib
from greengagedale import outcomes
from greengagedale.catalog import documents
from greengagedale.catalog import services
from greengagedale.limits import admission
from greengagedale.limits import quarantine_transports
from greengagedale.query import snapshots

_MS_PER_S = 1000.0

CapacityFunction = Callable[[services.Service], int]
RunCallback = Callable[[], Awaitable[outcomes.Outcome]]


class PendingRequest(NamedTuple):
    """A request that asks to run.

    Attributes:
        request_id: Identifier of the request.
        workspace: Workspace whose queue it joins.
        weight: Weight of the workspace.
        queue_length: Requests of the workspace that may wait.
        deadline_ms: When its answer is due, by the clock of the process.
        fingerprint: What the quarantine knows it by.
    """

    request_id: str
    workspace: str
    weight: float
    queue_length: int
    deadline_ms: float
    fingerprint: str

    @classmethod
    def from_plan(
        cls,
        plan: documents.WorkspacePlan,
        workspace: str,
        request_id: str,
        deadline_ms: float,
        fingerprint: str,
    ) -> Self:
        """Makes the ask of a request from the plan of its workspace."""
        return cls(
            request_id,
            workspace,
            float(plan.weight),
            plan.queue_length,
            deadline_ms,
            fingerprint,
        )


class AdmissionRunner:
    """Admits the requests of all services on this host."""

    def __init__(
        self,
        capacity: CapacityFunction,
        clock: clocks.Clock,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
        guard: quarantine_transports.QuarantineGuard,
    ) -> None:
        self._guard = guard
        self._capacity = capacity
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._controllers: dict[str, admission.AdmissionController] = {}
        self._turns: dict[str, asyncio.Future[admission.Decision]] = {}
        self._running: dict[str, services.Service] = {}

    async def run_search(
        self,
        pending: PendingRequest,
        service: services.Service,
        run: RunCallback,
    ) -> outcomes.Outcome:
        """Runs a search when it is its turn, or refuses it at once."""
        pinned = snapshots.choose(service.maps)
        units = len(pinned.ranges) if pinned else 1
        return await self._run(pending, service, units, run)

    async def run_action(
        self,
        pending: PendingRequest,
        service: services.Service,
        run: RunCallback,
    ) -> outcomes.Outcome:
        """Runs an action when it is its turn, or refuses it at once."""
        return await self._run(pending, service, 1, run)

    def controllers(self) -> dict[str, admission.AdmissionController]:
        """Returns the admission of each service."""
        return self._controllers

    def on_attempt_end(self, request_id: str) -> None:
        """Takes in that an attempt of a request ended."""
        service = self._running.get(request_id)
        if service is None:
            return
        if self._controller_for(service).complete_unit(request_id):
            self._advance(service)

    async def _run(
        self,
        pending: PendingRequest,
        service: services.Service,
        units: int,
        run: RunCallback,
    ) -> outcomes.Outcome:
        refusal = self._guard.refusal(pending.fingerprint)
        if refusal is not None:
            return refusal
        request = admission.AdmissionRequest(
            pending.request_id,
            pending.workspace,
            pending.weight,
            units,
            pending.queue_length,
            pending.deadline_ms,
        )
        decision = await self._decide(request, service)
        if isinstance(decision, admission.Refuse):
            self._metrics.refusals.labels("admission", decision.cause).inc()
            return outcomes.NotRun(
                outcomes.Reason.OVERLOADED, decision.retry_after_ms
            )
        started_ms = self._clock.now_ms()
        try:
            outcome = await run()
        finally:
            self._end(request, service, started_ms)
        await self._guard.wait_for_propagation(
            pending.fingerprint, pending.deadline_ms
        )
        return outcome

    async def _decide(
        self, request: admission.AdmissionRequest, service: services.Service
    ) -> admission.Decision:
        loop = asyncio.get_running_loop()
        turn: asyncio.Future[admission.Decision] = loop.create_future()
        self._turns[request.request_id] = turn
        held = self._controller_for(service)
        now_ms = self._clock.now_ms()
        self._running[request.request_id] = service
        self._tell(held.submit(request, self._capacity(service), now_ms))
        left_ms = max(0.0, held.latest_start_ms(request) - now_ms)
        timer = loop.call_later(
            left_ms / _MS_PER_S, self._give_up, held, request.request_id
        )
        try:
            decision = await turn
        except asyncio.CancelledError:
            self._forget(request, service, turn)
            raise
        finally:
            timer.cancel()
            del self._turns[request.request_id]
        if isinstance(decision, admission.Refuse):
            del self._running[request.request_id]
        return decision

    def _forget(
        self,
        request: admission.AdmissionRequest,
        service: services.Service,
        turn: asyncio.Future[admission.Decision],
    ) -> None:
        """Undoes the arrival of a request whose caller has gone."""
        admitted = turn.done() and not turn.cancelled()
        if admitted and isinstance(turn.result(), admission.Admit):
            self._end(request, service, self._clock.now_ms())
            return
        self._controller_for(service).cancel_waiting(request.request_id)
        del self._running[request.request_id]

    def _give_up(
        self, held: admission.AdmissionController, request_id: str
    ) -> None:
        self._tell(held.expire(request_id))

    def _end(
        self,
        request: admission.AdmissionRequest,
        service: services.Service,
        started_ms: float,
    ) -> None:
        del self._running[request.request_id]
        took_ms = self._clock.now_ms() - started_ms
        self._controller_for(service).complete(request.request_id, took_ms)
        self._advance(service)

    def _advance(self, service: services.Service) -> None:
        held = self._controller_for(service)
        if held.waiting_count:
            now_ms = self._clock.now_ms()
            self._tell(held.admit_waiting(self._capacity(service), now_ms))

    def _tell(self, decisions: list[admission.Decision]) -> None:
        for decision in decisions:
            turn = self._turns.get(decision.request_id)
            if turn is not None and not turn.done():
                turn.set_result(decision)

    def _controller_for(
        self, service: services.Service
    ) -> admission.AdmissionController:
        held = self._controllers.get(service.name)
        if held is None:
            held = self._controllers[service.name] = (
                admission.AdmissionController(self._rng)
            )
        return held
