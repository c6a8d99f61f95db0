"""Sends actions, which are not idempotent, to at most one upstream each."""

from typing import Any, NamedTuple

from greengagedale import clocks
from greengagedale import configuration
from greengagedale import metrics as metrics_lib
from greengagedale import outcomes
from greengagedale import request_records
from greengagedale.catalog import services
from greengagedale.limits import admission_runners
from greengagedale.limits import quarantine_transports
from greengagedale.query import snapshots
from greengagedale.routing import policies
from greengagedale.upstreams import base as upstreams_base

RETRY_AFTER_MS = 200


class ActionRequest(NamedTuple):
    """An action requested by a caller.

    Attributes:
        request_id: Identifier of the request.
        key: The idempotency key.
        workspace: Workspace in which the action runs.
        member: Member on whose behalf the action runs.
        service: Service whose upstreams hold the document.
        target: Key of the document that the action applies to.
        body: Description of the action for the upstream.
        deadline_ms: Deadline of the answer, on the clock of the process.
        first_send: Whether the caller never sent the key before.
    """

    request_id: str
    key: str
    workspace: str
    member: str
    service: str
    target: int
    body: Any
    deadline_ms: float
    first_send: bool


class ActionDispatcher:
    """Sends each action so that it runs on at most one upstream."""

    def __init__(
        self,
        active_configuration: configuration.ActiveConfiguration,
        transport: upstreams_base.UpstreamTransport,
        policy: policies.RoutingPolicy,
        clock: clocks.Clock,
        metrics: metrics_lib.Metrics,
        admission_runner: admission_runners.AdmissionRunner | None = None,
    ) -> None:
        self._admission_runner = admission_runner
        self._active_configuration = active_configuration
        self._transport = transport
        self._policy = policy
        self._clock = clock
        self._metrics = metrics

    async def dispatch(
        self, request: ActionRequest, trace: request_records.RequestTrace
    ) -> outcomes.Outcome:
        """Sends a request after its admission; called once for each key.

        The key is looked up before admission, so that a copy of a request that
        ran is never refused as not run.
        """
        service = self._active_configuration.services.get(request.service)
        resolved = self._active_configuration.current.resolved_workspaces.get(
            request.workspace
        )
        if (
            self._admission_runner is None
            or service is None
            or resolved is None
        ):
            return await self._dispatch(request, service, trace)
        pending = admission_runners.PendingRequest.from_plan(
            resolved,
            request.workspace,
            request.request_id,
            request.deadline_ms,
            quarantine_transports.action_fingerprint(
                request.member, request.body
            ),
        )
        return await self._admission_runner.run_action(
            pending, service, lambda: self._dispatch(request, service, trace)
        )

    async def _dispatch(
        self,
        request: ActionRequest,
        service: services.Service | None,
        trace: request_records.RequestTrace,
    ) -> outcomes.Outcome:
        """Sends a request to one upstream.

        Another replica is tried only if no byte of the earlier attempts can
        have been written.
        """
        untried = _replicas_for(service, request.target)
        failures: list[outcomes.AttemptFailure] = []
        reason = outcomes.Reason.NO_REPLICA
        while service is not None and outcomes.is_safe_to_resend(failures):
            chosen = self._policy.choose(untried)
            if chosen is None:
                break
            if self._clock.now_ms() >= request.deadline_ms:
                reason = outcomes.Reason.DEADLINE
                break
            untried.remove(chosen)
            if failures:
                self._metrics.retries.labels(reason).inc()
            attempt_id = f"{request.request_id}.{len(failures)}"
            trace.add("attempt", chosen, reason if failures else "")
            result = await self._send(
                request, service.upstreams[chosen], attempt_id
            )
            if isinstance(result, upstreams_base.ActionAnswered):
                return outcomes.Ran(result.body)
            trace.add("attempt_ended", chosen, _describe_failure(result))
            self._metrics.refusals.labels("upstream", result.reason).inc()
            failures.append(result)
            reason = result.reason
        return outcomes.from_failures(
            failures, reason, _retry_after_ms(failures)
        )

    async def _send(
        self,
        request: ActionRequest,
        upstream: upstreams_base.Upstream,
        attempt_id: str,
    ) -> upstreams_base.ActionAnswered | outcomes.AttemptFailure:
        self._metrics.attempts.labels(request.service).inc()
        action = upstreams_base.Action(
            attempt_id,
            request.key,
            request.member,
            request.target,
            request.body,
            request.deadline_ms - self._clock.now_ms(),
        )
        return await self._transport.act(upstream, action)


def _replicas_for(service: services.Service | None, target: int) -> list[str]:
    partition_map = snapshots.newest_map(service.maps) if service else None
    replicas = partition_map.range_of(target) if partition_map else None
    return list(replicas.upstreams) if replicas else []


def _retry_after_ms(failures: list[outcomes.AttemptFailure]) -> int:
    return max([RETRY_AFTER_MS, *(error.retry_after_ms for error in failures)])


def _describe_failure(error: outcomes.AttemptFailure) -> str:
    if error.refused:
        return f"refused: {error.reason}"
    return f"{'maybe ran' if error.written else 'nothing sent'}: {error.reason}"
