"""Stand-in for the platform's object API.

`POST /control` makes it misbehave, see `Faults`.
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
_STALE_DEPTH = 1


class Faults(TypedDict, total=False):
    """How the platform misbehaves; absent means not at all.

    Attributes:
        down: Every call is refused with status 503.
        delay_ms: Every call takes this much longer.
        lose_replies: This many writes take effect without a reply.
        lose_every: Of so many writes, one takes effect without a reply.
        stale_reads: Reads give the version before the newest.
        silent_watches: Watches never answer.
        silent_clients: Watches of these clients never answer; each is the
            end of a user agent.
        writes_per_s: Limit on writes; more get status 429.
        reads_per_s: Limit on reads; more get status 429.
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
    """Objects in memory, with versions and watches."""

    def __init__(self, recorder: records.Recorder) -> None:
        self._recorder = recorder
        self._versions = itertools.count(1)
        self._objects: dict[tuple[str, str], list[Stored]] = {}
        self._changed = asyncio.Condition()
        self._rates: dict[str, collections.deque[float]] = {
            "read": collections.deque(),
            "write": collections.deque(),
        }
        self.faults: Faults = {}
        self.hosts: list[wire.HostReply] = []
        self.calls: collections.Counter[str] = collections.Counter()

    def seed(self, kind: str, name: str, value: str) -> None:
        """Stores an object before the platform is reachable."""
        self._objects[kind, name] = [Stored(next(self._versions), value)]

    async def get(self, request: web.Request) -> web.Response:
        """Answers one object."""
        await self._admit("read", "get")
        key = (request.match_info["kind"], request.match_info["name"])
        stored = self._read(key)
        if stored is None:
            raise web.HTTPNotFound
        return _json(_object_reply(key[1], stored))

    async def put(self, request: web.Request) -> web.Response:
        """Writes an object if its version is the expected one."""
        await self._admit("write", "put")
        value = await request.text()
        if len(value.encode()) > MAX_VALUE_BYTES:
            raise web.HTTPRequestEntityTooLarge(MAX_VALUE_BYTES, len(value))
        return await self._write(request, value)

    async def delete(self, request: web.Request) -> web.Response:
        """Deletes an object if its version is the expected one."""
        await self._admit("write", "delete")
        return await self._write(request, None)

    async def names(self, request: web.Request) -> web.Response:
        """Lists the names of a kind."""
        await self._admit("read", "names")
        kind = request.match_info["kind"]
        found = sorted(name for held, name in self._objects if held == kind)
        return _json(wire.NamesReply(names=found))

    async def watch(self, request: web.Request) -> web.Response:
        """Waits for changes of a kind after a cursor."""
        await self._admit("read", "watch")
        kind = request.match_info["kind"]
        cursor = int(request.query["cursor"])
        wait_s = int(request.query["wait_ms"]) / _MS_PER_S
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: (
                        self._after(kind, cursor) and self._watchable(request)
                    )
                )
        except TimeoutError:
            pass
        while not self._watchable(request):
            await asyncio.sleep(wait_s)
        if self.faults.get("down"):
            raise web.HTTPServiceUnavailable
        changed = self._after(kind, cursor)
        newest = max([cursor, *(item["version"] for item in changed)])
        return _json(wire.WatchReply(objects=changed, cursor=newest))

    async def list_hosts(self, request: web.Request) -> web.Response:
        """Answers the host list."""
        del request
        await self._admit("read", "hosts")
        return _json(wire.HostsReply(hosts=self.hosts))

    async def control(self, request: web.Request) -> web.Response:
        """Sets the faults, and the host list if one is given."""
        body = msgspec.json.decode(await request.read())
        self.hosts = body.pop("hosts", self.hosts)
        self.faults = msgspec.convert(body, Faults)
        async with self._changed:
            self._changed.notify_all()
        return _json(self.faults)

    async def counts(self, request: web.Request) -> web.Response:
        """Answers how often each operation was called."""
        del request
        return _json(self.calls)

    def _loses_reply(self) -> bool:
        if self.faults.get("lose_replies", 0) > 0:
            self.faults["lose_replies"] -= 1
            return True
        every = self.faults.get("lose_every")
        return bool(every) and self.calls["put"] % every == 0

    def _watchable(self, request: web.Request) -> bool:
        agent = request.headers.get("User-Agent", "")
        silent = tuple(self.faults.get("silent_clients", ()))
        return not self.faults.get("silent_watches") and not (
            agent.endswith(silent)
        )

    def _read(self, key: tuple[str, str]) -> Stored | None:
        versions = self._objects.get(key)
        if not versions:
            return None
        stale = self.faults.get("stale_reads") and len(versions) > 1
        return versions[-1 - _STALE_DEPTH] if stale else versions[-1]

    def _after(self, kind: str, cursor: int) -> list[wire.ObjectReply]:
        return [
            _object_reply(name, versions[-1])
            for (held, name), versions in self._objects.items()
            if held == kind and versions and versions[-1].version > cursor
        ]

    async def _admit(self, direction: str, operation: str) -> None:
        self.calls[operation] += 1
        delay_ms = self.faults.get("delay_ms", 0)
        if delay_ms:
            await asyncio.sleep(delay_ms / _MS_PER_S)
        if self.faults.get("down"):
            raise web.HTTPServiceUnavailable
        limit = self.faults.get(f"{direction}s_per_s")
        if limit and self._rate(direction) > limit:
            raise web.HTTPTooManyRequests

    def _rate(self, direction: str) -> int:
        recent = self._rates[direction]
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
        held = versions[-1].version if versions else 0
        if held != expected:
            raise web.HTTPPreconditionFailed
        version = next(self._versions)
        if value is None:
            self._objects.pop(key, None)
        else:
            self._objects.setdefault(key, []).append(Stored(version, value))
            del self._objects[key][: -1 - _STALE_DEPTH]
        self._recorder.add(
            "write", kind=key[0], name=key[1], version=version, value=value
        )
        async with self._changed:
            self._changed.notify_all()
        if self._loses_reply():
            request.transport.abort()
        return _json(wire.WriteReply(version=version))


def application(
    shape: shapes.Shape, recorder: records.Recorder
) -> web.Application:
    """Makes the platform of a deployment, with its services published."""
    platform = Platform(recorder)
    for item in shape.services:
        service = shape.initial_service(item.name)
        value = services.encode_service(service).decode()
        platform.seed(services.KIND_SERVICE, item.name, value)
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
            web.get("/v1/objects/{kind}", platform.names),
            web.get("/v1/objects/{kind}/{name}", platform.get),
            web.put("/v1/objects/{kind}/{name}", platform.put),
            web.delete("/v1/objects/{kind}/{name}", platform.delete),
            web.get("/v1/watch/{kind}", platform.watch),
            web.get("/v1/hosts", platform.list_hosts),
            web.post("/control", platform.control),
            web.get("/control/calls", platform.counts),
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
