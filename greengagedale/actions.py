"""Runs requests that are not safe to repeat: each key at most once."""

import asyncio
from typing import Any, NamedTuple

from greengagedale import clocks
from greengagedale import outcomes
from greengagedale.catalog import services
from greengagedale.query import snapshots
from greengagedale.routing import policies
from greengagedale.upstreams import base as upstreams_base

RETRY_AFTER_MS = 200


class ActionRequest(NamedTuple):
    """What a caller asked for.

    Attributes:
        request_id: Identifier of the request.
        key: The caller's idempotency key.
        member: Member on whose behalf it runs.
        target: Key of the document that it acts on.
        body: What to do.
        deadline_ms: When the answer is due, by the clock of the process.
    """

    request_id: str
    key: str
    member: str
    target: int
    body: Any
    deadline_ms: float


class ActionRunner:
    """Runs actions on this host, each key at most once."""

    def __init__(
        self,
        transport: upstreams_base.UpstreamTransport,
        policy: policies.RoutingPolicy,
        clock: clocks.Clock,
    ) -> None:
        self._transport = transport
        self._policy = policy
        self._clock = clock
        self._runs: dict[tuple[str, str], asyncio.Task[outcomes.Outcome]] = {}

    async def run(
        self, request: ActionRequest, service: services.Service
    ) -> outcomes.Outcome:
        """Runs an action, or joins the run that its key already has."""
        identity = (request.member, request.key)
        running = self._runs.get(identity)
        if running is None:
            running = asyncio.create_task(self._run_once(request, service))
            self._runs[identity] = running
        outcome = await asyncio.shield(running)
        if isinstance(outcome, outcomes.NotRun):
            self._runs.pop(identity, None)
        return outcome

    async def _run_once(
        self, request: ActionRequest, service: services.Service
    ) -> outcomes.Outcome:
        pinned = snapshots.choose(service.maps)
        entry = pinned.range_of(request.target) if pinned else None
        chosen = self._policy.choose(entry.upstreams) if entry else None
        if chosen is None:
            return outcomes.NotRun(outcomes.Reason.NO_REPLICA, RETRY_AFTER_MS)
        left_ms = request.deadline_ms - self._clock.now_ms()
        if left_ms <= 0:
            return outcomes.NotRun(outcomes.Reason.DEADLINE, RETRY_AFTER_MS)
        return await self._send(request, service.upstreams[chosen], left_ms)

    async def _send(
        self,
        request: ActionRequest,
        upstream: upstreams_base.Upstream,
        left_ms: float,
    ) -> outcomes.Outcome:
        action = upstreams_base.Action(
            f"{request.request_id}.0",
            request.key,
            request.member,
            request.target,
            request.body,
            left_ms,
        )
        try:
            result = await self._transport.act(upstream, action)
        except TimeoutError:
            return outcomes.Unknown(outcomes.Reason.DEADLINE)
        if isinstance(result, upstreams_base.Acted):
            return outcomes.Ran(result.body)
        return outcomes.of_attempts([result], result.reason, RETRY_AFTER_MS)
