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
from greengagedale.limits import guarded
from greengagedale.query import snapshots

_MS_PER_S = 1000.0

Capacity = Callable[[services.Service], int]
Run = Callable[[], Awaitable[outcomes.Outcome]]


class Asked(NamedTuple):
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


class Admitter:
    """Admits the requests of all services on this host."""

    def __init__(
        self,
        capacity: Capacity,
        clock: clocks.Clock,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
        guard: guarded.Guard,
    ) -> None:
        self._guard = guard
        self._capacity = capacity
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._admissions: dict[str, admission.Admission] = {}
        self._turns: dict[str, asyncio.Future[admission.Decision]] = {}
        self._running: dict[str, services.Service] = {}

    async def run_search(
        self, asked: Asked, service: services.Service, run: Run
    ) -> outcomes.Outcome:
        """Runs a search when it is its turn, or refuses it at once."""
        pinned = snapshots.choose(service.maps)
        units = len(pinned.ranges) if pinned else 1
        return await self._run(asked, service, units, run)

    async def run_action(
        self, asked: Asked, service: services.Service, run: Run
    ) -> outcomes.Outcome:
        """Runs an action when it is its turn, or refuses it at once."""
        return await self._run(asked, service, 1, run)

    def admissions(self) -> dict[str, admission.Admission]:
        """Returns the admission of each service."""
        return self._admissions

    def on_attempt_end(self, request_id: str) -> None:
        """Takes in that an attempt of a request ended."""
        service = self._running.get(request_id)
        if service is None:
            return
        if self._admission(service).end_unit(request_id):
            self._advance(service)

    async def _run(
        self, asked: Asked, service: services.Service, units: int, run: Run
    ) -> outcomes.Outcome:
        refusal = self._guard.refusal(asked.fingerprint)
        if refusal is not None:
            return refusal
        ticket = admission.Ticket(
            asked.request_id,
            asked.workspace,
            asked.weight,
            units,
            asked.queue_length,
            asked.deadline_ms,
        )
        decision = await self._decide(ticket, service)
        if isinstance(decision, admission.Refuse):
            self._metrics.refusals.labels("admission", decision.cause).inc()
            return outcomes.NotRun(
                outcomes.Reason.OVERLOADED, decision.retry_after_ms
            )
        started_ms = self._clock.now_ms()
        try:
            outcome = await run()
        finally:
            self._end(ticket, service, started_ms)
        await self._guard.settle(asked.fingerprint, asked.deadline_ms)
        return outcome

    async def _decide(
        self, ticket: admission.Ticket, service: services.Service
    ) -> admission.Decision:
        loop = asyncio.get_running_loop()
        turn: asyncio.Future[admission.Decision] = loop.create_future()
        self._turns[ticket.request_id] = turn
        held = self._admission(service)
        now_ms = self._clock.now_ms()
        self._running[ticket.request_id] = service
        self._tell(held.arrive(ticket, self._capacity(service), now_ms))
        left_ms = max(0.0, held.give_up_ms(ticket) - now_ms)
        timer = loop.call_later(
            left_ms / _MS_PER_S, self._give_up, held, ticket.request_id
        )
        try:
            decision = await turn
        except asyncio.CancelledError:
            self._forget(ticket, service, turn)
            raise
        finally:
            timer.cancel()
            del self._turns[ticket.request_id]
        if isinstance(decision, admission.Refuse):
            del self._running[ticket.request_id]
        return decision

    def _forget(
        self,
        ticket: admission.Ticket,
        service: services.Service,
        turn: asyncio.Future[admission.Decision],
    ) -> None:
        """Undoes the arrival of a request whose caller has gone."""
        admitted = turn.done() and not turn.cancelled()
        if admitted and isinstance(turn.result(), admission.Admit):
            self._end(ticket, service, self._clock.now_ms())
            return
        self._admission(service).forget(ticket.request_id)
        del self._running[ticket.request_id]

    def _give_up(self, held: admission.Admission, request_id: str) -> None:
        self._tell(held.give_up(request_id))

    def _end(
        self,
        ticket: admission.Ticket,
        service: services.Service,
        started_ms: float,
    ) -> None:
        del self._running[ticket.request_id]
        took_ms = self._clock.now_ms() - started_ms
        self._admission(service).end(ticket.request_id, took_ms)
        self._advance(service)

    def _advance(self, service: services.Service) -> None:
        held = self._admission(service)
        if held.waiting:
            now_ms = self._clock.now_ms()
            self._tell(held.advance(self._capacity(service), now_ms))

    def _tell(self, decisions: list[admission.Decision]) -> None:
        for decision in decisions:
            turn = self._turns.get(decision.request_id)
            if turn is not None and not turn.done():
                turn.set_result(decision)

    def _admission(self, service: services.Service) -> admission.Admission:
        held = self._admissions.get(service.name)
        if held is None:
            held = self._admissions[service.name] = admission.Admission(
                self._rng
            )
        return held
