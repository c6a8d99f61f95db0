"""Runs requests that are not safe to repeat: each key at most once.

A key made from a ticket runs on the incarnation that issued the ticket, or
nowhere. A key that the caller chose runs on the process that claimed it in
the platform, or nowhere. Either way one process decides, with its own table
of keys, and other hosts forward to it.
"""

import abc
import asyncio
from collections.abc import Coroutine
import hashlib
import logging
from typing import Any, NamedTuple

import msgspec

from greengagedale import action_dispatch
from greengagedale import clocks
from greengagedale import metrics as metrics_lib
from greengagedale import outcomes
from greengagedale import request_records
from greengagedale.idempotency import claims
from greengagedale.idempotency import key_table
from greengagedale.idempotency import tickets

log = logging.getLogger(__name__)

_MS_PER_S = 1000.0
_RESULT_GRACE_MS = 50.0
_PLATFORM_RETRY_AFTER_MS = 1000


class ActionForwarder(abc.ABC):
    """Reaches the one process that may run a key."""

    @abc.abstractmethod
    async def forward(
        self,
        issuer: tickets.Issuer,
        request: action_dispatch.ActionRequest,
        trace: request_records.RequestTrace,
    ) -> outcomes.Outcome:
        """Has the issuer run a request, or tell what became of it."""


class _Result(NamedTuple):
    """How a run ended.

    Attributes:
        of_copy: What became of the copy that began the run.
        of_key: What is known of the key, whatever copies of it there are.
        kept: Whether this process decides on the key from now on.
    """

    first_send_outcome: outcomes.Outcome
    key_outcome: outcomes.Outcome
    keep_in_table: bool


class ActionRunner:
    """Runs actions on this host, each key at most once."""

    def __init__(
        self,
        issuer: tickets.Issuer,
        table: key_table.KeyTable,
        claim_registry: claims.ClaimRegistry,
        forwarder: ActionForwarder,
        dispatcher: action_dispatch.ActionDispatcher,
        clock: clocks.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._issuer = issuer
        self._table = table
        self._claim_registry = claim_registry
        self._forwarder = forwarder
        self._dispatcher = dispatcher
        self._clock = clock
        self._metrics = metrics
        self._runs: dict[key_table.ScopedKey, asyncio.Task[_Result]] = {}

    @property
    def issuer(self) -> tickets.Issuer:
        """This process, as keys name it."""
        return self._issuer

    def issue_ticket(self) -> str:
        """Issues a ticket, from which callers make keys."""
        return tickets.Ticket(self._issuer, int(self._clock.now_ms())).encode()

    def refuse_new_keys(self) -> None:
        """Refuses all keys that are not known yet, for good."""
        self._table.refuse_new_keys()

    async def wait_for_runs(self) -> None:
        """Waits until everything that runs has ended."""
        await asyncio.gather(*self._runs.values(), return_exceptions=True)

    async def run(
        self,
        request: action_dispatch.ActionRequest,
        trace: request_records.RequestTrace,
    ) -> outcomes.Outcome:
        """Runs a caller's request, or tells what became of its key."""
        ticket = tickets.Ticket.from_key(request.key)
        if ticket is None or ticket.issuer == self._issuer:
            return await self._run_here(request, ticket, trace)
        return await self._forward(ticket.issuer, request, trace)

    async def run_forwarded(
        self,
        incarnation: str,
        request: action_dispatch.ActionRequest,
        trace: request_records.RequestTrace,
    ) -> outcomes.Outcome:
        """Runs a request that another host forwards.

        Args:
            incarnation: Incarnation of this host that is to run it.
            request: The request.
            trace: Takes what was done.
        """
        if incarnation != self._issuer.incarnation:
            return self._record_unknown(outcomes.Reason.ISSUER_GONE, trace)
        ticket = tickets.Ticket.from_key(request.key)
        if ticket is None:
            return await self._look_up_key(request, trace)
        if ticket.issuer != self._issuer:
            return self._record_unknown(outcomes.Reason.FOREIGN_KEY, trace)
        return await self._run_here(request, ticket, trace)

    async def _run_here(
        self,
        request: action_dispatch.ActionRequest,
        ticket: tickets.Ticket | None,
        trace: request_records.RequestTrace,
    ) -> outcomes.Outcome:
        scoped_key = key_table.ScopedKey(request.member, request.key)
        decision = self._table.begin(
            scoped_key,
            request_digest(request),
            ticket.issued_ms if ticket else None,
            self._clock.now_ms(),
        )
        if isinstance(decision, key_table.Start):
            work = self._run_ticketed if ticket else self._run_claimed
            self._runs[scoped_key] = asyncio.create_task(
                self._run_and_record(work(request, trace), scoped_key)
            )
            decision = key_table.Join()
            self._record_step("start", trace)
        elif isinstance(decision, key_table.Join):
            self._record_step("join", trace)
        return await self._resolve(decision, scoped_key, request, trace)

    async def _look_up_key(
        self,
        request: action_dispatch.ActionRequest,
        trace: request_records.RequestTrace,
    ) -> outcomes.Outcome:
        scoped_key = key_table.ScopedKey(request.member, request.key)
        decision = self._table.look_up(scoped_key, request_digest(request))
        if decision is None:
            return self._record_unknown(outcomes.Reason.EXPIRED_KEY, trace)
        return await self._resolve(decision, scoped_key, request, trace)

    async def _resolve(
        self,
        decision: key_table.Decision,
        scoped_key: key_table.ScopedKey,
        request: action_dispatch.ActionRequest,
        trace: request_records.RequestTrace,
    ) -> outcomes.Outcome:
        if isinstance(decision, key_table.Decided):
            self._record_step("answer_from_table", trace)
            if decision.in_table:
                return decision.outcome
            return _outcome_for_copy(decision.outcome, request)
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        wait_s = max(remaining_ms + _RESULT_GRACE_MS, 0.0) / _MS_PER_S
        try:
            async with asyncio.timeout(wait_s):
                result = await asyncio.shield(self._runs[scoped_key])
        except TimeoutError:
            return self._record_unknown(outcomes.Reason.DEADLINE, trace)
        return (
            result.first_send_outcome
            if request.first_send
            else result.key_outcome
        )

    async def _run_and_record(
        self,
        work: Coroutine[Any, Any, _Result],
        scoped_key: key_table.ScopedKey,
    ) -> _Result:
        try:
            result = await work
        except Exception:
            log.exception("key %r failed", scoped_key.key)
            unknown = outcomes.Unknown(outcomes.Reason.INTERNAL)
            result = _Result(unknown, unknown, keep_in_table=True)
        if result.keep_in_table:
            self._table.record_outcome(scoped_key, result.key_outcome)
        else:
            self._table.release(scoped_key)
        del self._runs[scoped_key]
        return result

    async def _run_ticketed(
        self,
        request: action_dispatch.ActionRequest,
        trace: request_records.RequestTrace,
    ) -> _Result:
        outcome = await self._dispatcher.dispatch(request, trace)
        return _Result(outcome, outcome, keep_in_table=True)

    async def _run_claimed(
        self,
        request: action_dispatch.ActionRequest,
        trace: request_records.RequestTrace,
    ) -> _Result:
        scoped_key = key_table.ScopedKey(request.member, request.key)
        claimed = await self._claim_registry.claim(
            scoped_key, request.deadline_ms
        )
        self._record_step(f"claim_{claimed.tag}", trace)
        match claimed:
            case claims.Owned():
                return await self._run_ticketed(request, trace)
            case claims.OwnedByOther(owner) if owner == self._issuer:
                outcome = self._record_unknown(
                    outcomes.Reason.EXPIRED_KEY, trace
                )
                return _Result(outcome, outcome, keep_in_table=False)
            case claims.OwnedByOther(owner):
                outcome = await self._forward(owner, request, trace)
                return _Result(outcome, outcome, keep_in_table=False)
        return _Result(
            outcomes.NotRun(
                outcomes.Reason.PLATFORM_DOWN, _PLATFORM_RETRY_AFTER_MS
            ),
            outcomes.Unknown(outcomes.Reason.PLATFORM_DOWN),
            keep_in_table=False,
        )

    async def _forward(
        self,
        issuer: tickets.Issuer,
        request: action_dispatch.ActionRequest,
        trace: request_records.RequestTrace,
    ) -> outcomes.Outcome:
        if issuer.host == self._issuer.host:
            return self._record_unknown(outcomes.Reason.ISSUER_GONE, trace)
        self._record_step("forward", trace, issuer.host)
        return await self._forwarder.forward(issuer, request, trace)

    def _record_unknown(
        self, reason: outcomes.Reason, trace: request_records.RequestTrace
    ) -> outcomes.Unknown:
        trace.add("unknown", reason=reason)
        return outcomes.Unknown(reason)

    def _record_step(
        self, step: str, trace: request_records.RequestTrace, subject: str = ""
    ) -> None:
        self._metrics.action_steps.labels(step).inc()
        trace.add(step, subject)


def request_digest(request: action_dispatch.ActionRequest) -> str:
    """Returns a digest of what a request is to do."""
    content = (request.service, request.target, request.body)
    return hashlib.sha256(msgspec.json.encode(content)).hexdigest()


def _outcome_for_copy(
    outcome: outcomes.Outcome, request: action_dispatch.ActionRequest
) -> outcomes.Outcome:
    """Weakens a refusal that may not hold for other copies of the key."""
    ticketed = tickets.Ticket.from_key(request.key) is not None
    if ticketed or request.first_send or isinstance(outcome, outcomes.Ran):
        return outcome
    return outcomes.Unknown(outcome.reason)
