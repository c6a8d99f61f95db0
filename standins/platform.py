"""Stand-in for the platform's object API.

`POST /control` sets the injected faults, see `Faults`.
"""

import asyncio
import collections
import itertools
import time
from typing import NamedTuple, TypedDict

from aiohttp import web
import msgspec

from greengagedale.catalog import services
from greengagedale.store import wire
from standins import records
from standins import shapes

MAX_VALUE_BYTES = 1_000_000
_MS_PER_S = 1000.0
_STALE_VERSIONS_BACK = 1


class Faults(TypedDict, total=False):
    """Faults injected into the platform's answers; absent keys mean none.

    Attributes:
        down: Every call is refused with status 503.
        delay_ms: Additional latency of every call.
        lose_replies: Number of writes that take effect without a reply.
        lose_every: Every n-th write takes effect without a reply.
        stale_reads: Reads return the version before the newest.
        silent_watches: Watches are never answered.
        silent_clients: Suffixes of user agents; watches of clients that match
            one are never answered.
        writes_per_s: Rate limit on writes; writes above it get status 429.
        reads_per_s: Rate limit on reads; reads above it get status 429.
    """

    down: bool
    delay_ms: float
    lose_replies: int
    lose_every: int
    stale_reads: bool
    silent_watches: bool
    silent_clients: list[str]
    writes_per_s: int
    reads_per_s: int


class Stored(NamedTuple):
    """One version of an object."""

    version: int
    value: str


class Platform:
    """An in-memory object store with versions and watches."""

    def __init__(self, recorder: records.Recorder) -> None:
        self._recorder = recorder
        self._versions = itertools.count(1)
        self._objects: dict[tuple[str, str], list[Stored]] = {}
        self._changed = asyncio.Condition()
        self._recent_calls: dict[str, collections.deque[float]] = {
            "read": collections.deque(),
            "write": collections.deque(),
        }
        self.faults: Faults = {}
        self.hosts: list[wire.HostReply] = []
        self.calls: collections.Counter[str] = collections.Counter()

    def seed(self, kind: str, name: str, value: str) -> None:
        """Stores an object before the server starts."""
        self._objects[kind, name] = [Stored(next(self._versions), value)]

    async def get(self, request: web.Request) -> web.Response:
        """Returns one object."""
        await self._apply_faults("read", "get")
        key = (request.match_info["kind"], request.match_info["name"])
        stored = self._read_version(key)
        if stored is None:
            raise web.HTTPNotFound
        return _json(_object_reply(key[1], stored))

    async def put(self, request: web.Request) -> web.Response:
        """Writes an object if its version matches the `If-Match` header."""
        await self._apply_faults("write", "put")
        value = await request.text()
        if len(value.encode()) > MAX_VALUE_BYTES:
            raise web.HTTPRequestEntityTooLarge(MAX_VALUE_BYTES, len(value))
        return await self._write(request, value)

    async def delete(self, request: web.Request) -> web.Response:
        """Deletes an object if its version matches the `If-Match` header."""
        await self._apply_faults("write", "delete")
        return await self._write(request, None)

    async def list_names(self, request: web.Request) -> web.Response:
        """Returns the names of all objects of a kind."""
        await self._apply_faults("read", "names")
        kind = request.match_info["kind"]
        matching = sorted(
            name for stored_kind, name in self._objects if stored_kind == kind
        )
        return _json(wire.NamesReply(names=matching))

    async def watch(self, request: web.Request) -> web.Response:
        """Returns objects of a kind changed after a cursor; a long poll."""
        await self._apply_faults("read", "watch")
        kind = request.match_info["kind"]
        cursor = int(request.query["cursor"])
        wait_s = int(request.query["wait_ms"]) / _MS_PER_S
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: (
                        self._changed_after(kind, cursor)
                        and self._is_watch_answered(request)
                    )
                )
        except TimeoutError:
            pass
        while not self._is_watch_answered(request):
            await asyncio.sleep(wait_s)
        if self.faults.get("down"):
            raise web.HTTPServiceUnavailable
        changed = self._changed_after(kind, cursor)
        newest = max([cursor, *(item["version"] for item in changed)])
        return _json(wire.WatchReply(objects=changed, cursor=newest))

    async def list_hosts(self, request: web.Request) -> web.Response:
        """Returns the host list."""
        del request
        await self._apply_faults("read", "hosts")
        return _json(wire.HostsReply(hosts=self.hosts))

    async def control(self, request: web.Request) -> web.Response:
        """Replaces the faults, and the host list if the body contains one."""
        body = msgspec.json.decode(await request.read())
        self.hosts = body.pop("hosts", self.hosts)
        self.faults = msgspec.convert(body, Faults)
        async with self._changed:
            self._changed.notify_all()
        return _json(self.faults)

    async def call_counts(self, request: web.Request) -> web.Response:
        """Returns the number of calls per operation."""
        del request
        return _json(self.calls)

    def _should_lose_reply(self) -> bool:
        if self.faults.get("lose_replies", 0) > 0:
            self.faults["lose_replies"] -= 1
            return True
        every = self.faults.get("lose_every")
        return bool(every) and self.calls["put"] % every == 0

    def _is_watch_answered(self, request: web.Request) -> bool:
        agent = request.headers.get("User-Agent", "")
        silent = tuple(self.faults.get("silent_clients", ()))
        return not self.faults.get("silent_watches") and not (
            agent.endswith(silent)
        )

    def _read_version(self, key: tuple[str, str]) -> Stored | None:
        versions = self._objects.get(key)
        if not versions:
            return None
        stale = self.faults.get("stale_reads") and len(versions) > 1
        return versions[-1 - _STALE_VERSIONS_BACK] if stale else versions[-1]

    def _changed_after(self, kind: str, cursor: int) -> list[wire.ObjectReply]:
        return [
            _object_reply(name, versions[-1])
            for (stored_kind, name), versions in self._objects.items()
            if stored_kind == kind
            and versions
            and versions[-1].version > cursor
        ]

    async def _apply_faults(self, direction: str, operation: str) -> None:
        self.calls[operation] += 1
        delay_ms = self.faults.get("delay_ms", 0)
        if delay_ms:
            await asyncio.sleep(delay_ms / _MS_PER_S)
        if self.faults.get("down"):
            raise web.HTTPServiceUnavailable
        limit = self.faults.get(f"{direction}s_per_s")
        if limit and self._count_recent_calls(direction) > limit:
            raise web.HTTPTooManyRequests

    def _count_recent_calls(self, direction: str) -> int:
        recent = self._recent_calls[direction]
        now = time.monotonic()
        recent.append(now)
        while recent[0] < now - 1.0:
            recent.popleft()
        return len(recent)

    async def _write(
        self, request: web.Request, value: str | None
    ) -> web.Response:
        key = (request.match_info["kind"], request.match_info["name"])
        expected = int(request.headers["If-Match"])
        versions = self._objects.get(key)
        stored_version = versions[-1].version if versions else 0
        if stored_version != expected:
            raise web.HTTPPreconditionFailed
        version = next(self._versions)
        if value is None:
            self._objects.pop(key, None)
        else:
            self._objects.setdefault(key, []).append(Stored(version, value))
            del self._objects[key][: -1 - _STALE_VERSIONS_BACK]
        self._recorder.add(
            "write", kind=key[0], name=key[1], version=version, value=value
        )
        async with self._changed:
            self._changed.notify_all()
        if self._should_lose_reply():
            request.transport.abort()
        return _json(wire.WriteReply(version=version))


def application(
    shape: shapes.Shape, recorder: records.Recorder
) -> web.Application:
    """Returns the platform application with the shape's services stored."""
    platform = Platform(recorder)
    for service_shape in shape.services:
        service = shape.initial_service(service_shape.name)
        value = services.encode_service(service).decode()
        platform.seed(services.KIND_SERVICE, service_shape.name, value)
    platform.hosts = [
        wire.HostReply(
            name=host.name,
            data_centre=host.data_centre,
            caller_endpoint=f"{host.address}:{host.caller_port}",
            peer_endpoint=host.published_peer_endpoint,
            leaving=False,
        )
        for host in shape.entry_hosts()
    ]
    app = web.Application(client_max_size=2 * MAX_VALUE_BYTES)
    app.add_routes(
        [
            web.get("/v1/objects/{kind}", platform.list_names),
            web.get("/v1/objects/{kind}/{name}", platform.get),
            web.put("/v1/objects/{kind}/{name}", platform.put),
            web.delete("/v1/objects/{kind}/{name}", platform.delete),
            web.get("/v1/watch/{kind}", platform.watch),
            web.get("/v1/hosts", platform.list_hosts),
            web.post("/control", platform.control),
            web.get("/control/calls", platform.call_counts),
        ]
    )
    return app


def _object_reply(name: str, stored: Stored) -> wire.ObjectReply:
    return wire.ObjectReply(
        name=name, version=stored.version, value=stored.value
    )


def _json(body: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), content_type="application/json"
    )
