"""The entry host: implements the services that the adapters expose."""

import asyncio
import itertools
import logging
from typing import Any

from greengagedale import action_dispatch
from greengagedale import action_execution
from greengagedale import clocks
from greengagedale import configuration
from greengagedale import configuration_writer
from greengagedale import host_directory as directory_lib
from greengagedale import metrics as metrics_lib
from greengagedale import outcomes
from greengagedale import request_records
from greengagedale import search_execution
from greengagedale.callers import base as callers_base
from greengagedale.catalog import catalogs
from greengagedale.catalog import documents
from greengagedale.catalog import edits
from greengagedale.catalog import services
from greengagedale.config import settings as settings_lib
from greengagedale.limits import admission_runners
from greengagedale.limits import quarantine_transports
from greengagedale.membership import messages
from greengagedale.operators import base as operators_base
from greengagedale.peers import base as peers_base
from greengagedale.peers import forwarded_results
from greengagedale.query import events
from greengagedale.query import fanout

log = logging.getLogger(__name__)

_NOT_READY_RETRY_MS = 1000


class EntryHost(
    callers_base.CallerService,
    operators_base.OperatorService,
    peers_base.PeerService,
):
    """Serves callers, operators and other hosts."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        active_configuration: configuration.ActiveConfiguration,
        writer: configuration_writer.ConfigurationWriter,
        search_runner: search_execution.SearchRunner,
        action_runner: action_execution.ActionRunner,
        admission_runner: admission_runners.AdmissionRunner | None,
        directory: directory_lib.HostDirectory,
        peers: peers_base.PeerTransport,
        clock: clocks.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._settings = settings
        self._active_configuration = active_configuration
        self._writer = writer
        self._search_runner = search_runner
        self._action_runner = action_runner
        self._admission_runner = admission_runner
        self._directory = directory
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._recent_requests = request_records.RecentRequests(
            settings.callers.record_requests
        )
        self._sequence = itertools.count(1)
        self._incarnation = action_runner.issuer.incarnation
        self._requests_in_flight = 0
        self.leaving = False

    def status(self) -> peers_base.PeerStatus:
        """Returns the status that this host reports to others."""
        host = self._settings.host
        return peers_base.PeerStatus(
            name=host.name,
            data_centre=host.data_centre,
            incarnation=self._incarnation,
            caller_endpoint=f"{host.address}:{host.caller_port}",
            revision=self._active_configuration.current.revision,
            ready=self.is_ready(),
            leaving=self.leaving,
            running=self._requests_in_flight,
        )

    def members(self) -> list[messages.Update]:
        """Returns the known state of all hosts, including this one."""
        return self._directory.members()

    def is_ready(self) -> bool:
        """Returns whether the configuration and services are known."""
        return self._active_configuration.loaded

    def locate(self, data_centre: str | None) -> callers_base.LocateReply:
        """Returns the usable hosts, best first for a data centre."""
        ranked = self._directory.ranked_hosts(self.status(), data_centre)
        return callers_base.LocateReply(
            hosts=[
                callers_base.LocatedHost(
                    name=item.name,
                    data_centre=item.data_centre,
                    endpoint=item.caller_endpoint,
                )
                for item in ranked
            ],
            ttl_ms=self._settings.callers.locate_ttl_ms,
            ticket="" if self.leaving else self._action_runner.issue_ticket(),
            revision=self._active_configuration.current.revision,
        )

    def has_workspace(self, workspace: str) -> bool:
        """Returns whether the active configuration has a workspace."""
        return (
            workspace in self._active_configuration.current.resolved_workspaces
        )

    async def search(self, call: callers_base.SearchCall) -> callers_base.Reply:
        """Runs a search."""
        started_ms = self._clock.now_ms()
        request_id = self._new_request_id()
        current = self._active_configuration.current
        resolved = current.resolved_workspaces[call.workspace]
        member = current.workspaces[call.workspace].member
        search = fanout.Search(
            request_id,
            resolved.service,
            call.text,
            min(call.limit or resolved.hits_limit, resolved.hits_limit),
            started_ms + self._timeout_ms(call.timeout_ms, resolved),
            call.workspace,
            resolved.prefer,
            resolved.extra_load_share,
        )
        service = self._active_configuration.services.get(resolved.service)
        trace = self._new_trace()
        self._requests_in_flight += 1
        try:
            outcome = (
                await self._run_admitted_search(
                    call, search, member, service, trace
                )
                if service is not None
                else _not_ready()
            )
        finally:
            self._requests_in_flight -= 1
        self._record_request(
            request_id, call.workspace, "search", started_ms, outcome, trace
        )
        return callers_base.Reply(request_id, outcome)

    async def act(self, call: callers_base.ActionCall) -> callers_base.Reply:
        """Runs an action, a request that is not safe to repeat."""
        started_ms = self._clock.now_ms()
        request_id = self._new_request_id()
        trace = self._new_trace()
        current = self._active_configuration.current
        resolved = current.resolved_workspaces[call.workspace]
        request = action_dispatch.ActionRequest(
            request_id,
            call.key,
            call.workspace,
            current.workspaces[call.workspace].member,
            resolved.service,
            call.target,
            call.body,
            started_ms + self._timeout_ms(call.timeout_ms, resolved),
            call.first_send,
        )
        outcome = await self._run_action(request, trace)
        self._record_request(
            request_id,
            call.workspace,
            "act",
            started_ms,
            outcome,
            trace,
            call.key,
        )
        return callers_base.Reply(request_id, outcome)

    async def act_forwarded(
        self, forwarded: peers_base.ForwardedAction
    ) -> peers_base.ForwardedResult:
        """Runs an action that another host forwarded to this one.

        Only the incarnation that issued the idempotency key may run it.
        """
        trace = self._new_trace()
        request = action_dispatch.ActionRequest(
            forwarded.request_id,
            forwarded.key,
            forwarded.workspace,
            forwarded.member,
            forwarded.service,
            forwarded.target,
            forwarded.body,
            self._clock.now_ms() + forwarded.remaining_ms,
            first_send=False,
        )
        outcome = await self._run_action(request, trace, forwarded.incarnation)
        return forwarded_results.from_outcome(outcome, trace.events)

    async def _run_action(
        self,
        request: action_dispatch.ActionRequest,
        trace: request_records.RequestTrace,
        incarnation: str | None = None,
    ) -> outcomes.Outcome:
        self._requests_in_flight += 1
        try:
            if incarnation is None:
                return await self._action_runner.run(request, trace)
            return await self._action_runner.run_forwarded(
                incarnation, request, trace
            )
        finally:
            self._requests_in_flight -= 1

    def refuse_new_actions(self) -> None:
        """Refuses actions with new keys; those with known keys continue."""
        self._action_runner.refuse_new_keys()

    async def _run_admitted_search(
        self,
        call: callers_base.SearchCall,
        search: fanout.Search,
        member: str,
        service: services.Service,
        trace: request_records.RequestTrace,
    ) -> outcomes.Outcome:
        if self._admission_runner is None:
            return await self._run_search(search, member, service, trace)
        return await self._admission_runner.run_search(
            admission_runners.PendingRequest.from_plan(
                self._active_configuration.current.resolved_workspaces[
                    call.workspace
                ],
                call.workspace,
                search.request_id,
                search.deadline_ms,
                quarantine_transports.search_fingerprint(member, search.text),
            ),
            service,
            lambda: self._run_search(search, member, service, trace),
        )

    async def _run_search(
        self,
        search: fanout.Search,
        member: str,
        service: services.Service,
        trace: request_records.RequestTrace,
    ) -> outcomes.Outcome:
        trace.add("start")
        started_ms = trace.elapsed_ms()
        search_trace = events.Trace()
        try:
            return await self._search_runner.run(
                search, member, service, search_trace
            )
        finally:
            trace.add_search_events(search_trace, started_ms)

    async def explain_from_any_host(
        self, request_id: str
    ) -> request_records.RequestRecord | None:
        """Fetches the record of a request from the host that served it."""
        name = request_id.partition(".")[0]
        endpoint = self._directory.peer_endpoint_of(name)
        if endpoint is None:
            return self.explain(request_id)
        return await self._peers.explain(endpoint, request_id)

    def explain(self, request_id: str) -> request_records.RequestRecord | None:
        """Returns the record of a request that this host served."""
        return self._recent_requests.get(request_id)

    def metrics(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return self._metrics.exposition()

    async def apply_change(
        self, change: edits.Change, first_attempt: bool
    ) -> configuration.ChangeResult:
        """Applies a change and returns the result."""
        return await self._writer.apply(change, first_attempt)

    async def change_status(self, change_id: str) -> configuration.ChangeStatus:
        """Returns whether a change was accepted, as far as it is known."""
        return await self._writer.change_status(change_id)

    def catalog(self, known_revision: int) -> peers_base.SharedCatalog | None:
        """Returns the active catalog, None if none is known yet.

        The content is left out if the revision equals `known_revision`.
        """
        if not self._active_configuration.configuration_known:
            return None
        current = self._active_configuration.current
        unknown = current.revision != known_revision
        return peers_base.SharedCatalog(
            current.revision,
            current.encoded.catalog if unknown else b"",
            self._active_configuration.age_ms(),
        )

    def shared_documents(self, names: list[str]) -> dict[str, bytes]:
        """Returns the first named documents that fit in one message."""
        return self._active_configuration.documents_for_message(names)

    def newer_services(
        self, known: dict[str, int]
    ) -> list[configuration.StoredService] | None:
        """Returns services newer than `known`, None if none are known yet."""
        if not self._active_configuration.services_known:
            return None
        return self._active_configuration.newer_services(known)

    def current(self) -> catalogs.Configuration:
        """Returns the active configuration of this host."""
        return self._active_configuration.current

    def configuration_age_ms(self) -> float | None:
        """Returns the time since the configuration was known to be current."""
        return self._active_configuration.age_ms()

    async def fleet(self) -> list[peers_base.PeerStatus]:
        """Returns the status of all healthy hosts, this one first."""
        return [self.status(), *self._directory.healthy_hosts.values()]

    async def configuration_ages(self) -> dict[str, float | None]:
        """Returns the age of each host's configuration by host name.

        The age is the time in milliseconds since the host knew that its
        configuration was current; None if never or if it did not answer.
        """
        healthy_hosts = self._directory.healthy_hosts
        known_revision = self._active_configuration.current.revision
        shared = await asyncio.gather(
            *(self._peers.catalog(e, known_revision) for e in healthy_hosts)
        )
        other_ages = {
            status.name: found and found.age_ms
            for status, found in zip(
                healthy_hosts.values(), shared, strict=True
            )
        }
        return {
            self.status().name: self._active_configuration.age_ms(),
            **other_ages,
        }

    def _new_request_id(self) -> str:
        name = self._settings.host.name
        return f"{name}.{self._incarnation}.{next(self._sequence):x}"

    def _new_trace(self) -> request_records.RequestTrace:
        return request_records.RequestTrace(
            self._settings.host.name, self._clock
        )

    def _timeout_ms(
        self, requested_ms: int | None, resolved: documents.ResolvedWorkspace
    ) -> int:
        return min(
            requested_ms or resolved.timeout_ms,
            self._settings.callers.max_timeout_ms,
        )

    def _record_request(
        self,
        request_id: str,
        workspace: str,
        kind: str,
        started_ms: float,
        outcome: outcomes.Outcome,
        trace: request_records.RequestTrace,
        key: str = "",
    ) -> None:
        took_ms = self._clock.now_ms() - started_ms
        self._metrics.requests.labels(workspace, outcome.tag).inc()
        self._metrics.request_latency.record(workspace, took_ms)
        if isinstance(outcome, outcomes.NotRun):
            self._metrics.refusals.labels("host", outcome.reason).inc()
        elif isinstance(outcome, outcomes.Unknown):
            self._metrics.unknown_outcomes.labels(kind, outcome.reason).inc()
        self._recent_requests.add(
            request_records.RequestRecord(
                request_id=request_id,
                workspace=workspace,
                member=self._active_configuration.current.workspaces[
                    workspace
                ].member
                if workspace in self._active_configuration.current.workspaces
                else "",
                kind=kind,
                outcome=outcome.tag,
                took_ms=round(took_ms, 3),
                detail=_outcome_detail(outcome),
                key=key,
                events=trace.events,
                events_left_out=trace.events_left_out,
            )
        )


def _not_ready() -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.Reason.NOT_READY, _NOT_READY_RETRY_MS)


def _outcome_detail(outcome: outcomes.Outcome) -> dict[str, Any]:
    if not isinstance(outcome, outcomes.Ran):
        return {"reason": str(outcome.reason)}
    if not isinstance(outcome.value, fanout.SearchAnswer):
        return {}
    return {
        "snapshot": list(outcome.value.snapshot),
        "covered": outcome.value.coverage.covered,
        "total": outcome.value.coverage.total,
    }
