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
_SETTLE_GRACE_MS = 50.0
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

    of_copy: outcomes.Outcome
    of_key: outcomes.Outcome
    kept: bool


class ActionRunner:
    """Runs actions on this host, each key at most once."""

    def __init__(
        self,
        issuer: tickets.Issuer,
        table: key_table.KeyTable,
        claim_book: claims.ClaimRegistry,
        forwarder: ActionForwarder,
        dispatcher: action_dispatch.ActionDispatcher,
        clock: clocks.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._issuer = issuer
        self._table = table
        self._claims = claim_book
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
            return self._unknown(outcomes.Reason.ISSUER_GONE, trace)
        ticket = tickets.Ticket.from_key(request.key)
        if ticket is None:
            return await self._known(request, trace)
        if ticket.issuer != self._issuer:
            return self._unknown(outcomes.Reason.FOREIGN_KEY, trace)
        return await self._run_here(request, ticket, trace)

    async def _run_here(
        self,
        request: action_dispatch.ActionRequest,
        ticket: tickets.Ticket | None,
        trace: request_records.RequestTrace,
    ) -> outcomes.Outcome:
        identity = key_table.ScopedKey(request.member, request.key)
        decision = self._table.begin(
            identity,
            digest_of(request),
            ticket.issued_ms if ticket else None,
            self._clock.now_ms(),
        )
        if isinstance(decision, key_table.Start):
            work = self._run_ticketed if ticket else self._run_claimed
            self._runs[identity] = asyncio.create_task(
                self._run(work(request, trace), identity)
            )
            decision = key_table.Join()
            self._count("start", trace)
        elif isinstance(decision, key_table.Join):
            self._count("join", trace)
        return await self._take(decision, identity, request, trace)

    async def _known(
        self,
        request: action_dispatch.ActionRequest,
        trace: request_records.RequestTrace,
    ) -> outcomes.Outcome:
        identity = key_table.ScopedKey(request.member, request.key)
        decision = self._table.look_up(identity, digest_of(request))
        if decision is None:
            return self._unknown(outcomes.Reason.EXPIRED_KEY, trace)
        return await self._take(decision, identity, request, trace)

    async def _take(
        self,
        decision: key_table.Decision,
        identity: key_table.ScopedKey,
        request: action_dispatch.ActionRequest,
        trace: request_records.RequestTrace,
    ) -> outcomes.Outcome:
        if isinstance(decision, key_table.Decided):
            self._count("answer_from_table", trace)
            if decision.in_table:
                return decision.outcome
            return _of_copy(decision.outcome, request)
        left_ms = request.deadline_ms - self._clock.now_ms()
        wait_s = max(left_ms + _SETTLE_GRACE_MS, 0.0) / _MS_PER_S
        try:
            async with asyncio.timeout(wait_s):
                result = await asyncio.shield(self._runs[identity])
        except TimeoutError:
            return self._unknown(outcomes.Reason.DEADLINE, trace)
        return result.of_copy if request.first_send else result.of_key

    async def _run(
        self,
        work: Coroutine[Any, Any, _Result],
        identity: key_table.ScopedKey,
    ) -> _Result:
        try:
            result = await work
        except Exception:
            log.exception("key %r failed", identity.key)
            unknown = outcomes.Unknown(outcomes.Reason.INTERNAL)
            result = _Result(unknown, unknown, kept=True)
        if result.kept:
            self._table.record_outcome(identity, result.of_key)
        else:
            self._table.release(identity)
        del self._runs[identity]
        return result

    async def _run_ticketed(
        self,
        request: action_dispatch.ActionRequest,
        trace: request_records.RequestTrace,
    ) -> _Result:
        outcome = await self._dispatcher.dispatch(request, trace)
        return _Result(outcome, outcome, kept=True)

    async def _run_claimed(
        self,
        request: action_dispatch.ActionRequest,
        trace: request_records.RequestTrace,
    ) -> _Result:
        identity = key_table.ScopedKey(request.member, request.key)
        claimed = await self._claims.claim(identity, request.deadline_ms)
        self._count(f"claim_{claimed.tag}", trace)
        match claimed:
            case claims.Owned():
                return await self._run_ticketed(request, trace)
            case claims.OwnedByOther(owner) if owner == self._issuer:
                outcome = self._unknown(outcomes.Reason.EXPIRED_KEY, trace)
                return _Result(outcome, outcome, kept=False)
            case claims.OwnedByOther(owner):
                outcome = await self._forward(owner, request, trace)
                return _Result(outcome, outcome, kept=False)
        return _Result(
            outcomes.NotRun(
                outcomes.Reason.PLATFORM_DOWN, _PLATFORM_RETRY_AFTER_MS
            ),
            outcomes.Unknown(outcomes.Reason.PLATFORM_DOWN),
            kept=False,
        )

    async def _forward(
        self,
        issuer: tickets.Issuer,
        request: action_dispatch.ActionRequest,
        trace: request_records.RequestTrace,
    ) -> outcomes.Outcome:
        if issuer.host == self._issuer.host:
            return self._unknown(outcomes.Reason.ISSUER_GONE, trace)
        self._count("forward", trace, issuer.host)
        return await self._forwarder.forward(issuer, request, trace)

    def _unknown(
        self, reason: outcomes.Reason, trace: request_records.RequestTrace
    ) -> outcomes.Unknown:
        trace.add("unknown", reason=reason)
        return outcomes.Unknown(reason)

    def _count(
        self, step: str, trace: request_records.RequestTrace, subject: str = ""
    ) -> None:
        self._metrics.action_steps.labels(step).inc()
        trace.add(step, subject)


def digest_of(request: action_dispatch.ActionRequest) -> str:
    """Returns a digest of what a request is to do."""
    content = (request.service, request.target, request.body)
    return hashlib.sha256(msgspec.json.encode(content)).hexdigest()


def _of_copy(
    outcome: outcomes.Outcome, request: action_dispatch.ActionRequest
) -> outcomes.Outcome:
    """Weakens a refusal that may not hold for other copies of the key."""
    ticketed = tickets.Ticket.from_key(request.key) is not None
    if ticketed or request.first_send or isinstance(outcome, outcomes.Ran):
        return outcome
    return outcomes.Unknown(outcome.reason)
