"""HTTP handlers for callers: routing, running, answering and logging."""

import abc
import asyncio
from collections.abc import Awaitable
import dataclasses
import logging
import random
from typing import NamedTuple, TypeVar

from greengagedale import clocks
from greengagedale import logs
from greengagedale import outcomes
from greengagedale.gateway import authorization
from greengagedale.gateway import calls
from greengagedale.gateway import fleet as fleet_lib
from greengagedale.gateway import host_selection
from greengagedale.gateway import metrics as metrics_lib
from greengagedale.gateway import quota_exchange
from greengagedale.gateway import regions as regions_lib
from greengagedale.gateway import registry as registry_lib
from greengagedale.gateway import route_config
from greengagedale.gateway import runner as runner_lib
from greengagedale.gateway import shutdown_schedule
from greengagedale.gateway import sub_requests
from greengagedale.http1 import messages
from greengagedale.http1 import server
from greengagedale.limits import quota_windows

log = logging.getLogger(__name__)

_STATUS_OK = 200
_STATUS_BAD_REQUEST = 400
_STATUS_UNAUTHORIZED = 401
_STATUS_NOT_FOUND = 404
_STATUS_UNAVAILABLE = 503
# Retry-After of a host that has no configuration yet.
_NOT_READY_RETRY_MS = 200
# Retry-After of a host that is shutting down: callers can go to another host
# at once.
_STOPPING_RETRY_MS = 10
# Range of Retry-After of a host that has no room for a request: other hosts may
# have room, and callers should not return all at once.
_NO_ROOM_RETRY_MS = (50, 250)
# Retry-After of a host that can't prove that its configuration is recent, if
# another host can, and its range if no host can: hosts have a proof about half
# a second after the store is back, and callers should not return all at once.
_UNPROVEN_RETRY_MS = 10
_ALL_UNPROVEN_RETRY_MS = (100, 400)
_MS_PER_S = 1000.0

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedRequest:
    """A request that could not be decoded.

    Attributes:
        detail: What is wrong with it.
    """

    detail: str


class LocateRequest(NamedTuple):
    """A caller's request for the addresses of entry hosts.

    Attributes:
        data_centre: Data centre of the caller, or None if unknown.
        host: Host name that the caller wants to reach, in lower case.
    """

    data_centre: str | None
    host: str = ""


class CallerCodec(abc.ABC):
    """Decodes callers' requests and encodes the responses to them."""

    @abc.abstractmethod
    def decode_call(
        self, request: messages.Request
    ) -> calls.Call | MalformedRequest:
        """Decodes a caller's request."""

    @abc.abstractmethod
    def encode_answer(self, answer: calls.Answer) -> messages.Response:
        """Encodes an upstream's answer."""

    @abc.abstractmethod
    def encode_merged(self, merged: calls.MergedAnswer) -> messages.Response:
        """Encodes the merged answer of a fan-out."""

    @abc.abstractmethod
    def encode_failure(
        self, outcome: outcomes.NotRun | outcomes.Unknown
    ) -> messages.Response:
        """Encodes the outcome of a request without an answer."""

    @abc.abstractmethod
    def encode_error(self, status: int, detail: str) -> messages.Response:
        """Encodes an error response.

        Args:
            status: HTTP status.
            detail: What is wrong with the request.
        """

    @abc.abstractmethod
    def key_of(self, request: messages.Request) -> bytes | None:
        """Returns the caller's key; None if it sent none or several."""

    @abc.abstractmethod
    def decode_locate(self, request: messages.Request) -> LocateRequest | None:
        """Decodes a locate request; returns None for any other request."""

    @abc.abstractmethod
    def is_ready_check(self, request: messages.Request) -> bool:
        """Returns whether a request is the platform's readiness check."""

    @abc.abstractmethod
    def encode_endpoints(
        self, endpoints: list[str], ttl_ms: float
    ) -> messages.Response:
        """Encodes the answer to a locate request.

        Args:
            endpoints: Addresses with ports, best first.
            ttl_ms: Time that callers may cache the answer.
        """


class Relay(abc.ABC):
    """Passes requests on to other hosts when this one can't run them."""

    @abc.abstractmethod
    async def forward(
        self,
        call: calls.Call,
        route: route_config.Route,
        allowed: regions_lib.AllowedRegions,
    ) -> messages.Response | outcomes.Unknown | None:
        """Passes a request on if this host should not run it itself.

        Args:
            call: The request.
            route: Its route.
            allowed: Regions that it must stay in; None if any.

        Returns:
            The response for the caller, or that the request may have run; None
            if it has not run and this host should run it.
        """


class CallerHandler(server.Handler):
    """Handles callers' requests.

    Attributes:
        relay: Passes requests on when this host can reach no upstream; None
            if it never does.
        is_refusing: Whether new requests are refused because the host is
            shutting down.
    """

    def __init__(
        self,
        codec: CallerCodec,
        registry: registry_lib.Registry,
        runner: runner_lib.Runner,
        authorizer: authorization.Authorizer,
        fleet: fleet_lib.Fleet,
        quotas: quota_exchange.QuotaExchange | None,
        clock: clocks.Clock,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
        request_log: logs.RequestLog,
    ) -> None:
        self._codec = codec
        self._registry = registry
        self._runner = runner
        self._authorizer = authorizer
        self._fleet = fleet
        self._rng = rng
        self._quotas = quotas
        self._clock = clock
        self._metrics = metrics
        self._request_log = request_log
        self.relay: Relay | None = None
        self.is_refusing = False
        self._shutdown: shutdown_schedule.ShutdownSchedule | None = None
        # Limits of the requests that run; a shutdown moves them.
        self._answer_limits: set[asyncio.Timeout] = set()

    def limits(self) -> server.Limits:
        """Returns the limits of the active configuration."""
        table = self._registry.table
        return server.Limits() if table is None else table.configuration.limits

    def overload_response(self) -> messages.Response:
        """Returns the response to a request for which there is no room."""
        self._metrics.refusals.inc("edge", "no_room")
        return self._codec.encode_failure(
            outcomes.NotRun(
                outcomes.Reason.OVERLOADED,
                self._rng.randint(*_NO_ROOM_RETRY_MS),
            )
        )

    def begin_shutdown(
        self, schedule: shutdown_schedule.ShutdownSchedule
    ) -> None:
        """Refuses what can't be answered in time; answers the rest in time.

        Args:
            schedule: Times of the shutdown.
        """
        self._shutdown = schedule
        for limit in self._answer_limits:
            limit.reschedule(self._answer_by_s())

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers a caller's request."""
        return await self._handle(request, None)

    async def handle_relayed(
        self, request: messages.Request, origin: str
    ) -> messages.Response:
        """Answers a request that another host has passed on.

        Args:
            request: The request of the caller.
            origin: Name of the host that the caller sent it to.
        """
        return await self._handle(request, origin)

    async def _handle(
        self, request: messages.Request, origin: str | None
    ) -> messages.Response:
        call = self._codec.decode_call(request)
        if isinstance(call, MalformedRequest):
            log.info("malformed request", extra={"reason": call.detail})
            self._metrics.refusals.inc("edge", "malformed")
            return self._codec.encode_error(_STATUS_BAD_REQUEST, call.detail)
        table = self._registry.table
        if table is None or not self._registry.is_ready:
            return self._refuse(
                call, outcomes.Reason.NOT_READY, _NOT_READY_RETRY_MS
            )
        if self.is_refusing:
            return self._refuse(
                call, outcomes.Reason.STOPPING, _STOPPING_RETRY_MS
            )
        route = table.find(call.host, call.path)
        if route is None:
            self._metrics.refusals.inc("edge", "no_route")
            self._request_log.write(
                "no route",
                request_id=call.request_id,
                host_asked=call.host,
                path=call.path,
                version=table.version,
            )
            return self._codec.encode_error(_STATUS_NOT_FOUND, "no such route")
        if self._shutdown is not None and not self._shutdown.may_accept(
            call, route, self._clock.now_ms()
        ):
            return self._refuse(
                call, outcomes.Reason.STOPPING, _STOPPING_RETRY_MS
            )
        if table.uses_keys:
            identified = self._identify(call, route, table.version)
            if isinstance(identified, messages.Response):
                return identified
            call = identified
        if origin is None:
            forwarded = await self._forward(call, route)
            if forwarded is not None:
                return forwarded
        refusal = await self._check_quota(call, route, table)
        if refusal is not None:
            return self._codec.encode_failure(refusal)
        return await self._run(call, route, table.version, origin)

    def _identify(
        self, call: calls.Call, route: route_config.Route, version: int
    ) -> calls.Call | messages.Response:
        """Returns a call with its caller's identity, or its refusal."""
        identity = self._authorizer.identify(
            route, self._codec.key_of(call.message)
        )
        if isinstance(identity, authorization.UnprovenConfiguration):
            return self._refuse(
                call,
                outcomes.Reason.CONFIGURATION_UNPROVEN,
                self._unproven_retry_ms(),
                proof_age_ms=identity.proof_age_ms,
            )
        if isinstance(identity, authorization.UnknownKey):
            return self._refuse_key(call, route, version, identity)
        return call._replace(identity=identity)

    async def _check_quota(
        self,
        call: calls.Call,
        route: route_config.Route,
        table: route_config.RouteTable,
    ) -> outcomes.NotRun | None:
        """Returns the refusal of a call that its quota does not allow."""
        name = None if call.identity is None else call.identity.workspace
        if self._quotas is None or name is None:
            return None
        if table.workspaces[name].rate_per_s <= 0.0:
            return None
        decision = await self._quotas.admit(
            name,
            route,
            None
            if call.deadline_ms is None
            else call.deadline_ms - call.received_ms,
        )
        if decision.verdict is quota_windows.Verdict.ALLOWED:
            return None
        reason = (
            outcomes.Reason.OVER_QUOTA
            if decision.verdict is quota_windows.Verdict.OVER_QUOTA
            else outcomes.Reason.QUOTA_UNCHECKED
        )
        self._metrics.refusals.inc("edge", str(reason))
        self._request_log.write(
            "quota refused",
            request_id=call.request_id,
            route=route.name,
            workspace=name,
            reason=str(reason),
            retry_after_ms=decision.retry_after_ms,
            took_ms=round(self._clock.now_ms() - call.received_ms, 1),
            version=table.version,
        )
        return outcomes.NotRun(reason, decision.retry_after_ms)

    def _refuse_key(
        self,
        call: calls.Call,
        route: route_config.Route,
        version: int,
        refusal: authorization.UnknownKey,
    ) -> messages.Response:
        self._metrics.refusals.inc("edge", "unknown_key")
        self._request_log.write(
            "unknown key",
            request_id=call.request_id,
            route=route.name,
            key_digest=refusal.key_digest.hex(),
            version=version,
        )
        return self._codec.encode_error(
            _STATUS_UNAUTHORIZED, "expected one key of a workspace"
        )

    async def _run(
        self,
        call: calls.Call,
        route: route_config.Route,
        version: int,
        origin: str | None,
    ) -> messages.Response:
        steps: list[sub_requests.Step] = []
        outcome: outcomes.Outcome | None = None
        if self._shutdown is not None:
            route = self._shutdown.shortened(call, route)
            left = f"{route.timeout_ms:.0f} ms left"
            steps.append(sub_requests.Step(0.0, "stopping", "", "", left))
        try:
            outcome = await self._answer_in_time(
                self._runner.run(call, route, steps)
            )
        finally:
            self._record_outcome(call, route, version, origin, outcome, steps)
        if not isinstance(outcome, outcomes.Ran):
            return self._codec.encode_failure(outcome)
        if isinstance(outcome.value, calls.MergedAnswer):
            return self._codec.encode_merged(outcome.value)
        return self._codec.encode_answer(outcome.value)

    async def _forward(
        self, call: calls.Call, route: route_config.Route
    ) -> messages.Response | None:
        """Passes a request on if this host should not run it itself."""
        if self.relay is None:
            return None
        workspace = self._authorizer.workspace_of(call)
        forwarded = await self._answer_in_time(
            self.relay.forward(
                call, route, regions_lib.allowed_regions(route, workspace)
            )
        )
        if isinstance(forwarded, outcomes.Unknown):
            return self._codec.encode_failure(forwarded)
        return forwarded

    async def _answer_in_time(
        self, work: Awaitable[_T]
    ) -> _T | outcomes.Unknown:
        """Waits for a result; gives up when a shutdown needs the answer."""
        try:
            async with asyncio.timeout_at(self._answer_by_s()) as limit:
                self._answer_limits.add(limit)
                try:
                    return await work
                finally:
                    self._answer_limits.discard(limit)
        except TimeoutError:
            if not limit.expired():
                raise
            return outcomes.Unknown(outcomes.Reason.STOPPING)

    def _answer_by_s(self) -> float | None:
        """Time of the event loop by which a shutdown needs answers."""
        if self._shutdown is None:
            return None
        left_ms = self._shutdown.answer_by_ms - self._clock.now_ms()
        return asyncio.get_running_loop().time() + left_ms / _MS_PER_S

    def _unproven_retry_ms(self) -> int:
        if any(host.heartbeat.is_proven for host in self._fleet.serving()):
            return _UNPROVEN_RETRY_MS
        return self._rng.randint(*_ALL_UNPROVEN_RETRY_MS)

    def _refuse(
        self,
        call: calls.Call,
        reason: outcomes.Reason,
        retry_after_ms: int,
        **details: float | None,
    ) -> messages.Response:
        self._metrics.refusals.inc("edge", str(reason))
        self._request_log.write(
            "request refused",
            request_id=call.request_id,
            reason=str(reason),
            version=self._registry.routes_version,
            **details,
        )
        return self._codec.encode_failure(
            outcomes.NotRun(reason, retry_after_ms)
        )

    def _record_outcome(
        self,
        call: calls.Call,
        route: route_config.Route,
        version: int,
        origin: str | None,
        outcome: outcomes.Outcome | None,
        steps: list[sub_requests.Step],
    ) -> None:
        took_ms = self._clock.now_ms() - call.received_ms
        tag = "abandoned" if outcome is None else outcome.tag
        self._metrics.requests.inc(route.name, tag)
        self._metrics.request_latency.record(route.name, took_ms)
        self._request_log.write(
            "request",
            request_id=call.request_id,
            route=route.name,
            may_repeat=route.is_idempotent,
            max_attempts=route.max_attempts,
            version=version,
            upstreams_version=self._registry.version,
            outcome=tag,
            took_ms=round(took_ms, 1),
            left_ms=None
            if call.deadline_ms is None
            else round(call.deadline_ms - self._clock.now_ms()),
            detail=_detail(outcome),
            steps=steps,
            **_workspace_field(call),
            **({} if origin is None else {"origin": origin}),
        )
        if isinstance(outcome, outcomes.NotRun):
            self._metrics.refusals.inc("gateway", str(outcome.reason))
        elif isinstance(outcome, outcomes.Unknown):
            self._metrics.unknowns.inc(route.name, str(outcome.reason))


class LocateHandler(server.Handler):
    """Answers callers' locate requests and the platform's readiness checks."""

    def __init__(
        self,
        codec: CallerCodec,
        local_state: "LocalHostState",
        fleet: fleet_lib.Fleet,
        registry: registry_lib.Registry,
        region_map: regions_lib.RegionMap,
        ttl_ms: float,
        min_relative_power: float = 0.0,
    ) -> None:
        self._codec = codec
        self._min_relative_power = min_relative_power
        self._local_state = local_state
        self._fleet = fleet
        self._registry = registry
        self._region_map = region_map
        self._ttl_ms = ttl_ms

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers a locate request or a readiness check."""
        own = self._local_state.get()
        locate = self._codec.decode_locate(request)
        if locate is not None:
            return self._locate_response(own, locate)
        if self._codec.is_ready_check(request):
            status = _STATUS_OK if own.accepts_callers else _STATUS_UNAVAILABLE
            return messages.Response(status)
        return self._codec.encode_error(_STATUS_NOT_FOUND, "unknown path")

    def _locate_response(
        self, own: fleet_lib.HostState, locate: LocateRequest
    ) -> messages.Response:
        serving = self._fleet.serving()
        if own.accepts_callers:
            serving.append(own)
        # Without any host that can prove its configuration, callers on public
        # routes can still be served.
        proven = [each for each in serving if each.heartbeat.is_proven]
        serving = proven or serving
        # Hosts that can reach no upstream pass requests on to those that can.
        able = [each for each in serving if each.heartbeat.reaches_upstreams]
        serving = able or serving
        if not serving:
            return self._codec.encode_failure(
                outcomes.NotRun(outcomes.Reason.NOT_READY, _NOT_READY_RETRY_MS)
            )
        chosen = host_selection.select_hosts(
            serving,
            locate.data_centre,
            own.name,
            self._region_map,
            regions_lib.home_regions(self._registry.table, locate.host),
            self._min_relative_power,
        )
        endpoints = [state.address.caller_endpoint for state in chosen]
        return self._codec.encode_endpoints(endpoints, self._ttl_ms)


class LocalHostState(abc.ABC):
    """Provides the state that this host reports about itself."""

    @abc.abstractmethod
    def get(self) -> fleet_lib.HostState:
        """Returns the current state."""


def _workspace_field(call: calls.Call) -> dict[str, str]:
    """Returns the log field of the call's workspace, if it has one."""
    if call.identity is None or call.identity.workspace is None:
        return {}
    return {"workspace": call.identity.workspace}


def _detail(outcome: outcomes.Outcome | None) -> str:
    if outcome is None:
        return "the caller disconnected"
    if not isinstance(outcome, outcomes.Ran):
        return str(outcome.reason)
    if isinstance(outcome.value, calls.MergedAnswer):
        parts = len(outcome.value.signatures)
        return f"{parts} of {parts + outcome.value.missing} parts"
    return f"status {outcome.value.status}"
