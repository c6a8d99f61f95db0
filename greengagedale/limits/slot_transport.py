"""Carries attempts to upstreams through the gate of their slots."""

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
_CANCEL_UNCONFIRMED_S = 2.0
_NO_SLOT = outcomes.AttemptEnd(
    outcomes.Reason.OVERLOADED, written=False, refused=False
)
_OVERLOADS = (outcomes.Reason.OVERLOADED, outcomes.Reason.DEADLINE)

_Result = TypeVar("_Result")
_RangeKey = tuple[snapshots.Snapshot, ranges.KeyRange]


class ReplicaLocator:
    """Finds the service and the replicas that an attempt can use."""

    def __init__(
        self,
        holder: configuration.Holder,
        is_leaving: Callable[[str], bool],
    ) -> None:
        self._holder = holder
        self.is_leaving = is_leaving
        self._ranges: dict[
            str, tuple[services.Service, dict[_RangeKey, tuple[str, ...]]]
        ] = {}
        self._weights: dict[str, float] = {}
        self._weights_of: catalogs.Configuration | None = None

    def service_of(self, upstream: str) -> services.Service | None:
        """Returns the service that an upstream belongs to."""
        held = self._holder.services.values()
        return next((s for s in held if upstream in s.upstreams), None)

    def replicas(
        self, service: services.Service, attempt: attempts.Attempt
    ) -> tuple[str, ...]:
        """Returns the replicas of an attempt's range, its own one first."""
        index = self._index(service)
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
        """Returns the weight of a member: the highest of its workspaces."""
        current = self._holder.current
        if self._weights_of is not current:
            self._weights_of = current
            self._weights = _weights_of(current)
        return self._weights.get(member, 1.0)

    def _index(
        self, service: services.Service
    ) -> dict[_RangeKey, tuple[str, ...]]:
        held = self._ranges.get(service.name)
        if held is not None and held[0] is service:
            return held[1]
        index = {
            (pinned.snapshot, entry.key_range): entry.upstreams
            for pinned in service.maps
            for entry in pinned.ranges
        }
        self._ranges[service.name] = (service, index)
        return index


class SlotTransport(delegating.DelegatingTransport):
    """Sends attempts only while their upstream has a slot for this host."""

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
        self._prepared: dict[str, tuple[int, tuple[str, ...]]] = {}
        self._clock = clock
        self._metrics = metrics
        self._waiting: dict[str, asyncio.Future[str | None]] = {}
        self._sent: dict[str, base.Upstream] = {}
        self._releases: set[asyncio.TimerHandle] = set()
        self._listeners: list[Callable[[str], None]] = []

    def add_attempt_end_listener(self, listener: Callable[[str], None]) -> None:
        """Calls a listener with the request of each attempt that ends."""
        self._listeners.append(listener)

    def update_bounds(self, service: services.Service) -> None:
        """Takes in the slots of a service's upstreams and the live hosts."""
        hosts = tuple(sorted(self._live_hosts()))
        known = (service.version, hosts)
        if self._prepared.get(service.name) == known:
            return
        self._prepared[service.name] = known
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
        """Returns how many sub-requests of a service may run at once."""
        self.update_bounds(service)
        return self._allocator.capacity(service.upstreams)

    async def search(
        self, upstream: base.Upstream, request: base.SubSearch
    ) -> attempts.AttemptResult:
        """Sends a search once it has a slot."""
        attempt = request.attempt
        service = self._replica_locator.service_of(upstream.name)
        if service is None:
            return await self._inner.search(upstream, request)
        replicas = self._replica_locator.replicas(service, attempt)
        asked_ms = self._clock.now_ms()
        chosen = await self._slot(
            service,
            self._slot_request(attempt.attempt_id, request.member, replicas),
            request.timeout_ms,
        )
        if chosen is None:
            return _NO_SLOT
        left_ms = request.timeout_ms - (self._clock.now_ms() - asked_ms)
        bound = request._replace(
            attempt=attempt._replace(upstream=chosen.name),
            timeout_ms=max(0.0, left_ms),
        )
        return await self._carry(
            chosen, attempt.attempt_id, self._inner.search(chosen, bound)
        )

    async def act(
        self, upstream: base.Upstream, action: base.Action
    ) -> base.ActionAnswered | outcomes.AttemptEnd:
        """Sends an action once its upstream has a slot."""
        service = self._replica_locator.service_of(upstream.name)
        if service is None:
            return await self._inner.act(upstream, action)
        asked_ms = self._clock.now_ms()
        chosen = await self._slot(
            service,
            self._slot_request(
                action.attempt_id, action.member, (upstream.name,)
            ),
            action.timeout_ms,
        )
        if chosen is None:
            return _NO_SLOT
        left_ms = action.timeout_ms - (self._clock.now_ms() - asked_ms)
        bound = action._replace(timeout_ms=max(0.0, left_ms))
        return await self._carry(
            chosen, action.attempt_id, self._inner.act(chosen, bound)
        )

    async def cancel(self, upstream: base.Upstream, attempt_id: str) -> bool:
        """Asks the upstream that has an attempt to stop it, if one has."""
        del upstream
        sent = self._sent.get(attempt_id)
        if sent is None:
            return True
        confirmed = await self._inner.cancel(sent, attempt_id)
        if confirmed:
            self._release(attempt_id)
        return confirmed

    async def close(self) -> None:
        """Closes all connections."""
        for handle in self._releases:
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

    async def _slot(
        self,
        service: services.Service,
        slot_request: slots_lib.SlotRequest,
        timeout_ms: float,
    ) -> base.Upstream | None:
        self.update_bounds(service)
        granted = self._allocator.acquire(slot_request, self._clock.now_ms())
        if isinstance(granted, slots_lib.Grant):
            return service.upstreams[granted.upstream]
        if granted is not None:
            self._supersede(granted.attempt_id)
        name = await self._wait(slot_request, timeout_ms)
        if name is not None:
            return service.upstreams[name]
        self._metrics.refusals.labels("gate", "no_slot").inc()
        self._tell_end(slot_request.attempt_id)
        return None

    async def _wait(
        self, slot_request: slots_lib.SlotRequest, timeout_ms: float
    ) -> str | None:
        loop = asyncio.get_running_loop()
        turn: asyncio.Future[str | None] = loop.create_future()
        self._waiting[slot_request.attempt_id] = turn
        wait_ms = timeout_ms - self._allocator.latency_ms(
            slot_request.replicas[0]
        )
        try:
            async with asyncio.timeout(max(0.0, wait_ms) / _MS_PER_S):
                return await turn
        except TimeoutError:
            self._give_up(slot_request)
            return None
        except asyncio.CancelledError:
            self._give_up(slot_request)
            raise
        finally:
            del self._waiting[slot_request.attempt_id]

    def _supersede(self, attempt_id: str) -> None:
        turn = self._waiting.get(attempt_id)
        if turn is not None and not turn.done():
            turn.set_result(None)

    def _give_up(self, slot_request: slots_lib.SlotRequest) -> None:
        if self._allocator.cancel_wait(slot_request):
            return
        for name in slot_request.replicas:
            self._free(name, slot_request.attempt_id)

    async def _carry(
        self,
        upstream: base.Upstream,
        attempt_id: str,
        call: Coroutine[Any, Any, _Result],
    ) -> _Result:
        started_ms = self._clock.now_ms()
        self._sent[attempt_id] = upstream
        try:
            result = await call
        except asyncio.CancelledError:
            self._release_later(attempt_id)
            raise
        except BaseException:
            self._release(attempt_id)
            raise
        finally:
            self._tell_end(attempt_id)
        now_ms = self._clock.now_ms()
        self._allocator.on_attempt_end(
            upstream.name, load_signal_of(result), now_ms - started_ms, now_ms
        )
        self._release(attempt_id)
        return result

    def _release(self, attempt_id: str) -> None:
        sent = self._sent.pop(attempt_id, None)
        if sent is not None:
            self._free(sent.name, attempt_id)

    def _free(self, upstream: str, attempt_id: str) -> None:
        serve = not self._replica_locator.is_leaving(upstream)
        self._wake(self._allocator.release(upstream, attempt_id, serve))

    def _release_later(self, attempt_id: str) -> None:
        loop = asyncio.get_running_loop()

        def release() -> None:
            self._releases.discard(handle)
            self._release(attempt_id)

        handle = loop.call_later(_CANCEL_UNCONFIRMED_S, release)
        self._releases.add(handle)

    def _wake(self, grants: list[slots_lib.Grant]) -> None:
        for grant in grants:
            turn = self._waiting.get(grant.attempt_id)
            if turn is not None and not turn.done():
                turn.set_result(grant.upstream)

    def _tell_end(self, attempt_id: str) -> None:
        for listener in self._listeners:
            listener(request_id_of(attempt_id))


def request_id_of(attempt_id: str) -> str:
    """Returns the request that an attempt belongs to."""
    return attempt_id.rpartition(".")[0]


def load_signal_of(result: Any) -> concurrency.LoadSignal:
    """Returns what the end of an attempt says about its upstream's load."""
    if not isinstance(result, outcomes.AttemptEnd):
        return concurrency.LoadSignal.ANSWERED
    if result.refused:
        if result.reason in _OVERLOADS:
            return concurrency.LoadSignal.OVERLOADED
        return concurrency.LoadSignal.REFUSED
    return concurrency.LoadSignal.FAILED


def _weights_of(current: catalogs.Configuration) -> dict[str, float]:
    weights: dict[str, float] = {}
    for name, workspace in current.workspaces.items():
        weight = float(current.plans[name].weight)
        weights[workspace.member] = max(
            weight, weights.get(workspace.member, 0.0)
        )
    return weights


def was_answered(result: Any) -> bool:
    """Tells whether an attempt got an answer rather than a failure."""
    return not isinstance(result, outcomes.AttemptEnd)
