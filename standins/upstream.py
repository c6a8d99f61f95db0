"""Stand-in for one upstream.

`POST /control` changes its holdings and its injected faults, see `Control`.
"""

import asyncio
import os
import random
import time
from typing import Any, NamedTuple, TypedDict

from aiohttp import web
import msgspec

from greengagedale.query import echoes
from greengagedale.query import ranges
from greengagedale.query import snapshots
from greengagedale.upstreams import wire
from standins import records
from standins import shapes
from standins import synthetic_documents

_MS_PER_S = 1000.0
_QUEUE_PER_SLOT = 4
_WORK_TIME_SIGMA = 0.25
_CRASH_STATUS = 70
_RETRY_AFTER_MS = 50

CRASH_TEXT = "crash-upstream"


class Holding(NamedTuple):
    """A key range that the upstream serves at a snapshot."""

    index_version: int
    map_version: int
    low: int
    high: int


class Control(TypedDict, total=False):
    """Holdings and injected faults of an upstream; absent keys stay as set.

    Attributes:
        holdings: Ranges that replace the current holdings.
        draining: Whether new work is refused and the state is `draining`.
        cold_until_ms: Monotonic time until which work takes ten times longer.
        straggler_share: Share of requests that are stragglers.
        straggler_factor: Lower and upper bound of the factor by which the work
            of stragglers takes longer.
        lie_load: Load that is reported instead of the actual load.
        silent_share: Share of new connections that stop answering.
        silent_after: Number of requests after which such connections stop
            answering; 0 means from the first request on.
        silence_open: Share of the connections open now that stop answering.
        wrong_echo: Whether answers carry the previous index version.
        swap_answers: Whether each search gets the previous search's answer.
        poison_crashes: Whether `CRASH_TEXT` in a request ends the process.
    """

    holdings: list[Holding]
    draining: bool
    cold_until_ms: float
    straggler_share: float
    straggler_factor: tuple[float, float]
    lie_load: int
    silent_share: float
    silent_after: int
    silence_open: float
    wrong_echo: bool
    swap_answers: bool
    poison_crashes: bool


class _Connection:
    """State of an accepted connection."""

    __slots__ = ("goes_silent", "requests")

    def __init__(self, goes_silent: bool) -> None:
        self.goes_silent = goes_silent
        self.requests = 0


class Upstream:
    """One upstream with slots, a bounded queue, faults and an event record."""

    def __init__(
        self,
        placed: shapes.PlacedUpstream,
        shape: shapes.Shape,
        holdings: list[Holding],
        recorder: records.Recorder,
        seed: int,
    ) -> None:
        self._name = placed.upstream.name
        self._data_centre = placed.upstream.data_centre
        self._shape = placed.shape
        self._between_ms = shape.between_ms
        self._recorder = recorder
        self._rng = random.Random(f"{seed}/{self._name}")
        self._slots = asyncio.Semaphore(placed.upstream.slots)
        self._max_queued = placed.upstream.slots * _QUEUE_PER_SLOT
        self._admitted = 0
        self._last_reply: wire.SearchReply | None = None
        self._tasks: dict[str, asyncio.Task[Any]] = {}
        self._connections: dict[asyncio.Transport, _Connection] = {}
        self._control: Control = {"holdings": holdings}

    async def search(self, request: web.Request) -> web.Response:
        """Runs a search over one range."""
        body = msgspec.json.decode(await request.read(), type=wire.SearchBody)
        await self._apply_connection_faults(request)
        holding = Holding(
            body["index_version"],
            body["map_version"],
            body["low"],
            body["high"],
        )
        if holding not in self._control["holdings"]:
            return self._refuse(body, "not_held", wire.STATUS_NOT_HELD)
        refusal = await self._acquire_slot(
            body["attempt_id"], body["timeout_ms"]
        )
        if refusal:
            return self._refuse(body, refusal)
        try:
            self._record("search", body, text=body["text"], holding=holding)
            self._crash_if_poisoned(body["text"])
            await self._work()
            self._record("answer", body, holding=holding)
            return _json(
                self._apply_swap_fault(self._search_reply(body, holding))
            )
        finally:
            self._release_slot(body["attempt_id"])

    async def act(self, request: web.Request) -> web.Response:
        """Runs an action, after it has been recorded."""
        body = msgspec.json.decode(await request.read(), type=wire.ActionBody)
        await self._apply_connection_faults(request)
        refusal = await self._acquire_slot(
            body["attempt_id"], body["timeout_ms"]
        )
        if refusal:
            return self._refuse(body, refusal)
        try:
            self._record("act", body, key=body["key"], asked=body["body"])
            self._crash_if_poisoned(str(body["body"]))
            await self._work()
            done = {"done_by": self._name, "key": body["key"]}
            return _json(
                wire.ActionReply(attempt_id=body["attempt_id"], body=done)
            )
        finally:
            self._release_slot(body["attempt_id"])

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancels an attempt that holds a slot."""
        body = msgspec.json.decode(await request.read(), type=wire.CancelBody)
        await self._apply_connection_faults(request)
        task = self._tasks.pop(body["attempt_id"], None)
        if task is not None:
            task.cancel()
        self._recorder.add(
            "cancel", upstream=self._name, attempt_id=body["attempt_id"]
        )
        return _json({"cancelled": task is not None})

    async def health(self, request: web.Request) -> web.Response:
        """Returns the state and the load; `lie_load` replaces the latter."""
        await self._apply_connection_faults(request)
        load = self._control.get("lie_load", len(self._tasks))
        return _json(wire.HealthReply(state=self._state(), load=load))

    async def control(self, request: web.Request) -> web.Response:
        """Changes the holdings and the faults."""
        change = msgspec.json.decode(await request.read(), type=Control)
        self._control.update(change)
        self._silence_open_connections(self._control.pop("silence_open", 0.0))
        self._recorder.add(
            "control",
            upstream=self._name,
            **{k: v for k, v in change.items() if k != "holdings"},
        )
        return _json({})

    def _state(self) -> str:
        if self._control.get("draining"):
            return "draining"
        return "cold" if self._is_cold() else "ready"

    def _is_cold(self) -> bool:
        until_ms = self._control.get("cold_until_ms", 0)
        return time.monotonic() * _MS_PER_S < until_ms

    async def _apply_connection_faults(self, request: web.Request) -> None:
        delay_ms = 0.0
        if request.headers.get(wire.HEADER_DATA_CENTRE) != self._data_centre:
            delay_ms += 2 * self._between_ms
        connection = self._connections.get(request.transport)
        if connection is None:
            connection = self._accept_connection(request.transport)
            delay_ms += self._shape.connect_ms
        connection.requests += 1
        if connection.goes_silent and (
            connection.requests > self._control.get("silent_after", 0)
        ):
            await asyncio.Event().wait()
        if delay_ms:
            await asyncio.sleep(delay_ms / _MS_PER_S)

    def _silence_open_connections(self, share: float) -> None:
        for connection in self._connections.values():
            if self._rng.random() < share:
                connection.goes_silent = True
                connection.requests = self._control.get("silent_after", 0)

    def _accept_connection(self, transport: asyncio.Transport) -> _Connection:
        self._connections = {
            open_transport: connection
            for open_transport, connection in self._connections.items()
            if not open_transport.is_closing()
        }
        if len(self._connections) >= self._shape.connections:
            self._recorder.add("refused_connection", upstream=self._name)
            transport.abort()
            raise web.HTTPServiceUnavailable
        accepted = self._connections[transport] = _Connection(
            self._rng.random() < self._control.get("silent_share", 0)
        )
        return accepted

    async def _acquire_slot(
        self, attempt_id: str, timeout_ms: float
    ) -> str | None:
        if self._control.get("draining"):
            self._recorder.add(
                "refused_draining",
                upstream=self._name,
                attempt_id=attempt_id,
            )
            return "draining"
        if self._admitted >= self._max_queued + self._shape.slots:
            return "overloaded"
        self._admitted += 1
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                await self._slots.acquire()
        except TimeoutError:
            self._admitted -= 1
            return "deadline"
        except asyncio.CancelledError:
            self._admitted -= 1
            raise
        self._tasks[attempt_id] = asyncio.current_task()
        return None

    def _release_slot(self, attempt_id: str) -> None:
        self._tasks.pop(attempt_id, None)
        self._admitted -= 1
        self._slots.release()

    def _record(self, event: str, body: Any, **fields: Any) -> None:
        self._recorder.add(
            event,
            upstream=self._name,
            attempt_id=body["attempt_id"],
            member=body["member"],
            **fields,
        )

    def _crash_if_poisoned(self, text: str) -> None:
        if CRASH_TEXT in text and self._control.get("poison_crashes", True):
            self._recorder.add("crash", upstream=self._name, text=text)
            os._exit(_CRASH_STATUS)

    async def _work(self) -> None:
        work_ms = self._shape.work_ms * self._rng.lognormvariate(
            0, _WORK_TIME_SIGMA
        )
        if self._rng.random() < self._control.get("straggler_share", 0):
            work_ms *= self._rng.uniform(
                *self._control.get("straggler_factor", (20.0, 50.0))
            )
        if self._is_cold():
            work_ms *= 10
        await asyncio.sleep(work_ms / _MS_PER_S)

    def _apply_swap_fault(self, reply: wire.SearchReply) -> wire.SearchReply:
        previous, self._last_reply = self._last_reply, reply
        is_swapped = self._control.get("swap_answers") and previous is not None
        return previous if is_swapped else reply

    def _search_reply(
        self, body: wire.SearchBody, holding: Holding
    ) -> wire.SearchReply:
        snapshot = snapshots.Snapshot(
            holding.index_version, holding.map_version
        )
        if self._control.get("wrong_echo"):
            snapshot = snapshot._replace(
                index_version=snapshot.index_version - 1
            )
        key_range = ranges.KeyRange(holding.low, holding.high)
        hits = synthetic_documents.search(
            key_range, snapshot.index_version, body["text"], body["limit"]
        )
        encoded = msgspec.json.encode(hits)
        return wire.SearchReply(
            attempt_id=body["attempt_id"],
            index_version=snapshot.index_version,
            map_version=snapshot.map_version,
            low=holding.low,
            high=holding.high,
            count=len(hits),
            digest=echoes.digest_of(encoded),
            hits=msgspec.Raw(encoded),
        )

    def _refuse(
        self,
        request_body: wire.SearchBody | wire.ActionBody,
        reason: str,
        status: int = wire.STATUS_REFUSED,
    ) -> web.Response:
        body = wire.RefusalReply(
            refused=reason,
            retry_after_ms=_RETRY_AFTER_MS,
            attempt_id=request_body["attempt_id"],
        )
        return _json(body, status)


def application(
    placed: shapes.PlacedUpstream,
    shape: shapes.Shape,
    recorder: records.Recorder,
    seed: int,
) -> web.Application:
    """Returns an upstream application with its initial holdings."""
    service = shape.initial_service(placed.shape.name)
    holdings = [
        Holding(*partition_map.snapshot, *entry.key_range)
        for partition_map in service.maps
        for entry in partition_map.ranges
        if placed.upstream.name in entry.upstreams
    ]
    upstream = Upstream(placed, shape, holdings, recorder, seed)
    app = web.Application()
    app.add_routes(
        [
            web.post("/v1/search", upstream.search),
            web.post("/v1/act", upstream.act),
            web.post("/v1/cancel", upstream.cancel),
            web.get("/v1/health", upstream.health),
            web.post("/control", upstream.control),
        ]
    )
    return app


def _json(body: object, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        content_type="application/json",
    )
