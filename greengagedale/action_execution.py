"""Runs actions, which are not idempotent, at most once per idempotency key.

A key made from a ticket can run only on the incarnation that issued the
ticket. A key chosen by the caller can run only on the process that claimed it
in the platform. In both cases a single process decides on the key, using its
own key table, and the other hosts forward requests to it.
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
    """Forwards actions to the one process that may run their key."""

    @abc.abstractmethod
    async def forward(
        self,
        issuer: tickets.Issuer,
        request: action_dispatch.ActionRequest,
        trace: request_records.RequestTrace,
    ) -> outcomes.Outcome:
        """Forwards a request to the issuer and returns its outcome.

        Args:
            issuer: Process that decides on the key.
            request: The request.
            trace: Trace to which the steps of the issuer are added.
        """


class _Result(NamedTuple):
    """The result of a run.

    Attributes:
        first_send_outcome: Outcome for a request whose key was never sent
            before.
        key_outcome: Outcome that holds for all copies of the request.
        keep_in_table: Whether the key stays in the table, because this process
            decides on it.
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
        self._key_table = table
        self._claim_registry = claim_registry
        self._forwarder = forwarder
        self._dispatcher = dispatcher
        self._clock = clock
        self._metrics = metrics
        self._runs: dict[key_table.ScopedKey, asyncio.Task[_Result]] = {}

    @property
    def issuer(self) -> tickets.Issuer:
        """This process, as identified in tickets and claims."""
        return self._issuer

    def issue_ticket(self) -> str:
        """Returns a new ticket from which callers make keys."""
        return tickets.Ticket(self._issuer, int(self._clock.now_ms())).encode()

    def refuse_new_keys(self) -> None:
        """Permanently refuses all keys that are not in the table."""
        self._key_table.refuse_new_keys()

    async def wait_for_runs(self) -> None:
        """Waits until all runs in flight have ended."""
        await asyncio.gather(*self._runs.values(), return_exceptions=True)

    async def run(
        self,
        request: action_dispatch.ActionRequest,
        trace: request_records.RequestTrace,
    ) -> outcomes.Outcome:
        """Runs a caller's request, unless its key has already been used.

        Returns:
            The outcome of the key, which a copy of the request or another
            process may have produced.
        """
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
        """Runs a request that another host forwarded.

        Args:
            incarnation: Incarnation of this host that may run the request.
            request: The request.
            trace: Trace to which the steps are added.
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
        decision = self._key_table.begin(
            scoped_key,
            request_digest(request),
            ticket.issued_ms if ticket else None,
            self._clock.now_ms(),
        )
        if isinstance(decision, key_table.Start):
            run_method = self._dispatch if ticket else self._claim_and_dispatch
            self._runs[scoped_key] = asyncio.create_task(
                self._run_and_record(run_method(request, trace), scoped_key)
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
        decision = self._key_table.look_up(scoped_key, request_digest(request))
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
        coroutine: Coroutine[Any, Any, _Result],
        scoped_key: key_table.ScopedKey,
    ) -> _Result:
        try:
            result = await coroutine
        except Exception:
            log.exception(
                "running key %r failed; its outcome is unknown", scoped_key.key
            )
            unknown = outcomes.Unknown(outcomes.Reason.INTERNAL)
            result = _Result(unknown, unknown, keep_in_table=True)
        if result.keep_in_table:
            self._key_table.record_outcome(scoped_key, result.key_outcome)
        else:
            self._key_table.release(scoped_key)
        del self._runs[scoped_key]
        return result

    async def _dispatch(
        self,
        request: action_dispatch.ActionRequest,
        trace: request_records.RequestTrace,
    ) -> _Result:
        outcome = await self._dispatcher.dispatch(request, trace)
        return _Result(outcome, outcome, keep_in_table=True)

    async def _claim_and_dispatch(
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
                return await self._dispatch(request, trace)
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
    """Returns a digest of the service, target and body of a request."""
    content = (request.service, request.target, request.body)
    return hashlib.sha256(msgspec.json.encode(content)).hexdigest()


def _outcome_for_copy(
    outcome: outcomes.Outcome, request: action_dispatch.ActionRequest
) -> outcomes.Outcome:
    """Returns the outcome to report for one copy of a request.

    A refusal of a key chosen by the caller becomes `Unknown` unless the key was
    never sent before: another copy of the request may have run.
    """
    ticketed = tickets.Ticket.from_key(request.key) is not None
    if ticketed or request.first_send or isinstance(outcome, outcomes.Ran):
        return outcome
    return outcomes.Unknown(outcome.reason)
