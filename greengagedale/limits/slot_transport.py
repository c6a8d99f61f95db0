"""A transport that sends an attempt once it holds a slot of an upstream."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, TypeVar

from greengagedale import clocks
from greengagedale import configuration
from greengagedale import metrics as metrics_lib
from greengagedale import outcomes
from greengagedale.catalog import catalogs
from greengagedale.catalog import services
from greengagedale.limits import concurrency
from greengagedale.limits import slots as slots_lib
from greengagedale.query import attempts
from greengagedale.query import ranges
from greengagedale.query import snapshots
from greengagedale.upstreams import base
from greengagedale.upstreams import delegating

_MS_PER_S = 1000.0
_UNCONFIRMED_CANCEL_TIMEOUT_S = 2.0
_NO_SLOT = outcomes.AttemptFailure(
    outcomes.Reason.OVERLOADED, written=False, refused=False
)
_OVERLOAD_REASONS = (outcomes.Reason.OVERLOADED, outcomes.Reason.DEADLINE)

_Result = TypeVar("_Result")
_RangeKey = tuple[snapshots.Snapshot, ranges.KeyRange]


class ReplicaLocator:
    """Finds the service, the replicas and the weight of an attempt."""

    def __init__(
        self,
        active_configuration: configuration.ActiveConfiguration,
        is_leaving: Callable[[str], bool],
    ) -> None:
        self._active_configuration = active_configuration
        self.is_leaving = is_leaving
        self._replica_indexes: dict[
            str, tuple[services.Service, dict[_RangeKey, tuple[str, ...]]]
        ] = {}
        self._weights: dict[str, float] = {}
        self._weights_configuration: catalogs.Configuration | None = None

    def service_of(self, upstream: str) -> services.Service | None:
        """Returns the service that an upstream belongs to, or None."""
        all_services = self._active_configuration.services.values()
        return next((s for s in all_services if upstream in s.upstreams), None)

    def replicas(
        self, service: services.Service, attempt: attempts.Attempt
    ) -> tuple[str, ...]:
        """Returns the replicas that can serve an attempt.

        The upstream that routing chose comes first. Others are left out if
        they are leaving.
        """
        index = self._replica_index(service)
        key = (attempt.snapshot, attempt.key_range)
        others = (
            name
            for name in index.get(key, ())
            if name != attempt.upstream
            and name in service.upstreams
            and not self.is_leaving(name)
        )
        return (attempt.upstream, *others)

    def weight_of(self, member: str) -> float:
        """Returns the highest weight of a member's workspaces."""
        current = self._active_configuration.current
        if self._weights_configuration is not current:
            self._weights_configuration = current
            self._weights = _member_weights(current)
        return self._weights.get(member, 1.0)

    def _replica_index(
        self, service: services.Service
    ) -> dict[_RangeKey, tuple[str, ...]]:
        cached = self._replica_indexes.get(service.name)
        if cached is not None and cached[0] is service:
            return cached[1]
        index = {
            (pinned.snapshot, entry.key_range): entry.upstreams
            for pinned in service.maps
            for entry in pinned.ranges
        }
        self._replica_indexes[service.name] = (service, index)
        return index


class SlotTransport(delegating.DelegatingTransport):
    """Sends each attempt once it holds a slot of an upstream."""

    def __init__(
        self,
        inner: base.UpstreamTransport,
        replica_locator: ReplicaLocator,
        allocator: slots_lib.SlotAllocator,
        own_name: str,
        live_hosts: Callable[[], Iterable[str]],
        clock: clocks.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        super().__init__(inner)
        self._replica_locator = replica_locator
        self._allocator = allocator
        self._own_name = own_name
        self._live_hosts = live_hosts
        self._bounds_inputs: dict[str, tuple[int, tuple[str, ...]]] = {}
        self._clock = clock
        self._metrics = metrics
        self._slot_futures: dict[str, asyncio.Future[str | None]] = {}
        self._upstreams_by_attempt: dict[str, base.Upstream] = {}
        self._release_timers: set[asyncio.TimerHandle] = set()
        self._listeners: list[Callable[[str], None]] = []

    def add_attempt_end_listener(self, listener: Callable[[str], None]) -> None:
        """Adds a listener for the request identifier of each ended attempt."""
        self._listeners.append(listener)

    def update_bounds(self, service: services.Service) -> None:
        """Updates the limit bounds of a service's upstreams.

        Does nothing if neither the service nor the live hosts have changed.
        """
        hosts = tuple(sorted(self._live_hosts()))
        inputs = (service.version, hosts)
        if self._bounds_inputs.get(service.name) == inputs:
            return
        self._bounds_inputs[service.name] = inputs
        for upstream in service.upstreams.values():
            bounds = concurrency.LimitBounds.for_upstream(
                upstream.name,
                upstream.slots,
                upstream.connections,
                self._own_name,
                hosts,
            )
            self._allocator.set_bounds(upstream.name, bounds)

    def capacity(self, service: services.Service) -> int:
        """Returns the maximum number of a service's sub-requests in flight."""
        self.update_bounds(service)
        return self._allocator.capacity(service.upstreams)

    async def search(
        self, upstream: base.Upstream, request: base.SubSearch
    ) -> attempts.AttemptResult:
        """Sends a search once it holds a slot, to the upstream of the slot."""
        attempt = request.attempt
        service = self._replica_locator.service_of(upstream.name)
        if service is None:
            return await self._inner.search(upstream, request)
        replicas = self._replica_locator.replicas(service, attempt)
        requested_ms = self._clock.now_ms()
        granted_upstream = await self._acquire_slot(
            service,
            self._slot_request(attempt.attempt_id, request.member, replicas),
            request.timeout_ms,
        )
        if granted_upstream is None:
            return _NO_SLOT
        remaining_ms = request.timeout_ms - (
            self._clock.now_ms() - requested_ms
        )
        granted_request = request._replace(
            attempt=attempt._replace(upstream=granted_upstream.name),
            timeout_ms=max(0.0, remaining_ms),
        )
        return await self._send(
            granted_upstream,
            attempt.attempt_id,
            self._inner.search(granted_upstream, granted_request),
        )

    async def act(
        self, upstream: base.Upstream, action: base.Action
    ) -> base.ActionAnswered | outcomes.AttemptFailure:
        """Sends an action once it holds a slot of its upstream."""
        service = self._replica_locator.service_of(upstream.name)
        if service is None:
            return await self._inner.act(upstream, action)
        requested_ms = self._clock.now_ms()
        granted_upstream = await self._acquire_slot(
            service,
            self._slot_request(
                action.attempt_id, action.member, (upstream.name,)
            ),
            action.timeout_ms,
        )
        if granted_upstream is None:
            return _NO_SLOT
        remaining_ms = action.timeout_ms - (self._clock.now_ms() - requested_ms)
        granted_action = action._replace(timeout_ms=max(0.0, remaining_ms))
        return await self._send(
            granted_upstream,
            action.attempt_id,
            self._inner.act(granted_upstream, granted_action),
        )

    async def cancel(self, upstream: base.Upstream, attempt_id: str) -> bool:
        """Cancels an attempt at the upstream that it was sent to, if any.

        Returns:
            Whether the cancellation was confirmed, or not needed.
        """
        del upstream
        target = self._upstreams_by_attempt.get(attempt_id)
        if target is None:
            return True
        confirmed = await self._inner.cancel(target, attempt_id)
        if confirmed:
            self._release(attempt_id)
        return confirmed

    async def close(self) -> None:
        """Cancels the timers and closes all connections."""
        for handle in self._release_timers:
            handle.cancel()
        await self._inner.close()

    def _slot_request(
        self, attempt_id: str, member: str, replicas: tuple[str, ...]
    ) -> slots_lib.SlotRequest:
        return slots_lib.SlotRequest(
            attempt_id,
            request_id_of(attempt_id),
            member,
            self._replica_locator.weight_of(member),
            replicas,
        )

    async def _acquire_slot(
        self,
        service: services.Service,
        slot_request: slots_lib.SlotRequest,
        timeout_ms: float,
    ) -> base.Upstream | None:
        self.update_bounds(service)
        decision = self._allocator.acquire(slot_request, self._clock.now_ms())
        if isinstance(decision, slots_lib.Grant):
            return service.upstreams[decision.upstream]
        if decision is not None:
            self._supersede(decision.attempt_id)
        name = await self._wait_for_slot(slot_request, timeout_ms)
        if name is not None:
            return service.upstreams[name]
        self._metrics.refusals.labels("gate", "no_slot").inc()
        self._notify_attempt_end(slot_request.attempt_id)
        return None

    async def _wait_for_slot(
        self, slot_request: slots_lib.SlotRequest, timeout_ms: float
    ) -> str | None:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[str | None] = loop.create_future()
        self._slot_futures[slot_request.attempt_id] = future
        wait_ms = timeout_ms - self._allocator.latency_ms(
            slot_request.replicas[0]
        )
        try:
            async with asyncio.timeout(max(0.0, wait_ms) / _MS_PER_S):
                return await future
        except TimeoutError:
            self._abandon_wait(slot_request)
            return None
        except asyncio.CancelledError:
            self._abandon_wait(slot_request)
            raise
        finally:
            del self._slot_futures[slot_request.attempt_id]

    def _supersede(self, attempt_id: str) -> None:
        future = self._slot_futures.get(attempt_id)
        if future is not None and not future.done():
            future.set_result(None)

    def _abandon_wait(self, slot_request: slots_lib.SlotRequest) -> None:
        if self._allocator.cancel_wait(slot_request):
            return
        for name in slot_request.replicas:
            self._free_slot(name, slot_request.attempt_id)

    async def _send(
        self,
        upstream: base.Upstream,
        attempt_id: str,
        call: Coroutine[Any, Any, _Result],
    ) -> _Result:
        started_ms = self._clock.now_ms()
        self._upstreams_by_attempt[attempt_id] = upstream
        try:
            result = await call
        except asyncio.CancelledError:
            self._release_later(attempt_id)
            raise
        except BaseException:
            self._release(attempt_id)
            raise
        finally:
            self._notify_attempt_end(attempt_id)
        now_ms = self._clock.now_ms()
        self._allocator.on_attempt_end(
            upstream.name, load_signal_of(result), now_ms - started_ms, now_ms
        )
        self._release(attempt_id)
        return result

    def _release(self, attempt_id: str) -> None:
        target = self._upstreams_by_attempt.pop(attempt_id, None)
        if target is not None:
            self._free_slot(target.name, attempt_id)

    def _free_slot(self, upstream: str, attempt_id: str) -> None:
        grant_waiting = not self._replica_locator.is_leaving(upstream)
        self._deliver_grants(
            self._allocator.release(upstream, attempt_id, grant_waiting)
        )

    def _release_later(self, attempt_id: str) -> None:
        loop = asyncio.get_running_loop()

        def release() -> None:
            self._release_timers.discard(handle)
            self._release(attempt_id)

        handle = loop.call_later(_UNCONFIRMED_CANCEL_TIMEOUT_S, release)
        self._release_timers.add(handle)

    def _deliver_grants(self, grants: list[slots_lib.Grant]) -> None:
        for grant in grants:
            future = self._slot_futures.get(grant.attempt_id)
            if future is not None and not future.done():
                future.set_result(grant.upstream)

    def _notify_attempt_end(self, attempt_id: str) -> None:
        for listener in self._listeners:
            listener(request_id_of(attempt_id))


def request_id_of(attempt_id: str) -> str:
    """Returns the identifier of the request that an attempt belongs to."""
    return attempt_id.rpartition(".")[0]


def load_signal_of(result: Any) -> concurrency.LoadSignal:
    """Returns what a result of an attempt says about its upstream's load."""
    if not isinstance(result, outcomes.AttemptFailure):
        return concurrency.LoadSignal.ANSWERED
    if result.refused:
        if result.reason in _OVERLOAD_REASONS:
            return concurrency.LoadSignal.OVERLOADED
        return concurrency.LoadSignal.REFUSED
    return concurrency.LoadSignal.FAILED


def _member_weights(current: catalogs.Configuration) -> dict[str, float]:
    weights: dict[str, float] = {}
    for name, workspace in current.workspaces.items():
        weight = float(current.resolved_workspaces[name].weight)
        weights[workspace.member] = max(
            weight, weights.get(workspace.member, 0.0)
        )
    return weights


def was_answered(result: Any) -> bool:
    """Returns whether an attempt was answered."""
    return not isinstance(result, outcomes.AttemptFailure)
