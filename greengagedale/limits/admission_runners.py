"""Runs requests once they are admitted, or refuses them."""

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
    """A request that is to be run once it is admitted.

    Attributes:
        request_id: Identifier of the request.
        workspace: Workspace whose queue the request joins.
        weight: Weight of the workspace.
        queue_length: Maximum number of waiting requests of the workspace.
        deadline_ms: Deadline on the monotonic clock of the process.
        fingerprint: Fingerprint that the quarantine checks.
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
        resolved: documents.ResolvedWorkspace,
        workspace: str,
        request_id: str,
        deadline_ms: float,
        fingerprint: str,
    ) -> Self:
        """Creates a pending request from the plan of its workspace."""
        return cls(
            request_id,
            workspace,
            float(resolved.weight),
            resolved.queue_length,
            deadline_ms,
            fingerprint,
        )


class AdmissionRunner:
    """Runs admitted requests of all services on this host."""

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
        self._decision_futures: dict[
            str, asyncio.Future[admission.Decision]
        ] = {}
        self._services_by_request: dict[str, services.Service] = {}

    async def run_search(
        self,
        pending: PendingRequest,
        service: services.Service,
        run: RunCallback,
    ) -> outcomes.Outcome:
        """Runs a search once it is admitted; returns `NotRun` if refused."""
        pinned = snapshots.newest_map(service.maps)
        units = len(pinned.ranges) if pinned else 1
        return await self._run_when_admitted(pending, service, units, run)

    async def run_action(
        self,
        pending: PendingRequest,
        service: services.Service,
        run: RunCallback,
    ) -> outcomes.Outcome:
        """Runs an action once it is admitted; returns `NotRun` if refused."""
        return await self._run_when_admitted(pending, service, 1, run)

    def controllers(self) -> dict[str, admission.AdmissionController]:
        """Returns the admission controllers by name of the service."""
        return self._controllers

    def on_attempt_end(self, request_id: str) -> None:
        """Releases one unit of a request when one of its attempts ends."""
        service = self._services_by_request.get(request_id)
        if service is None:
            return
        if self._controller_for(service).complete_unit(request_id):
            self._admit_waiting(service)

    async def _run_when_admitted(
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
        decision = await self._wait_for_decision(request, service)
        if isinstance(decision, admission.Refuse):
            self._metrics.refusals.labels("admission", decision.cause).inc()
            return outcomes.NotRun(
                outcomes.Reason.OVERLOADED, decision.retry_after_ms
            )
        started_ms = self._clock.now_ms()
        try:
            outcome = await run()
        finally:
            self._complete(request, service, started_ms)
        await self._guard.wait_for_propagation(
            pending.fingerprint, pending.deadline_ms
        )
        return outcome

    async def _wait_for_decision(
        self, request: admission.AdmissionRequest, service: services.Service
    ) -> admission.Decision:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[admission.Decision] = loop.create_future()
        self._decision_futures[request.request_id] = future
        controller = self._controller_for(service)
        now_ms = self._clock.now_ms()
        self._services_by_request[request.request_id] = service
        self._deliver(
            controller.submit(request, self._capacity(service), now_ms)
        )
        remaining_ms = max(0.0, controller.latest_start_ms(request) - now_ms)
        timer = loop.call_later(
            remaining_ms / _MS_PER_S,
            self._expire,
            controller,
            request.request_id,
        )
        try:
            decision = await future
        except asyncio.CancelledError:
            self._withdraw(request, service, future)
            raise
        finally:
            timer.cancel()
            del self._decision_futures[request.request_id]
        if isinstance(decision, admission.Refuse):
            del self._services_by_request[request.request_id]
        return decision

    def _withdraw(
        self,
        request: admission.AdmissionRequest,
        service: services.Service,
        future: asyncio.Future[admission.Decision],
    ) -> None:
        """Removes a request whose caller has disconnected."""
        admitted = future.done() and not future.cancelled()
        if admitted and isinstance(future.result(), admission.Admit):
            self._complete(request, service, self._clock.now_ms())
            return
        self._controller_for(service).cancel_waiting(request.request_id)
        del self._services_by_request[request.request_id]

    def _expire(
        self, controller: admission.AdmissionController, request_id: str
    ) -> None:
        self._deliver(controller.expire(request_id))

    def _complete(
        self,
        request: admission.AdmissionRequest,
        service: services.Service,
        started_ms: float,
    ) -> None:
        del self._services_by_request[request.request_id]
        duration_ms = self._clock.now_ms() - started_ms
        self._controller_for(service).complete(request.request_id, duration_ms)
        self._admit_waiting(service)

    def _admit_waiting(self, service: services.Service) -> None:
        controller = self._controller_for(service)
        if controller.waiting_count:
            now_ms = self._clock.now_ms()
            self._deliver(
                controller.admit_waiting(self._capacity(service), now_ms)
            )

    def _deliver(self, decisions: list[admission.Decision]) -> None:
        for decision in decisions:
            future = self._decision_futures.get(decision.request_id)
            if future is not None and not future.done():
                future.set_result(decision)

    def _controller_for(
        self, service: services.Service
    ) -> admission.AdmissionController:
        controller = self._controllers.get(service.name)
        if controller is None:
            controller = self._controllers[service.name] = (
                admission.AdmissionController(self._rng)
            )
        return controller
