"""A TCP proxy that injects faults between any two processes.

Each route listens on one endpoint and forwards to another. `POST /control`
changes the faults of routes while connections are open, see `Fault`.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random
from typing import NamedTuple, TypedDict

from aiohttp import web
import msgspec

_CHUNK_BYTES = 65536
_MS_PER_S = 1000.0


class Route(NamedTuple):
    """Where a route listens and where it forwards to."""

    listen: str
    target: str


class Fault(TypedDict, total=False):
    """What a route does to its connections; absent means nothing.

    Attributes:
        refuse: New connections are reset.
        reset: Open connections are reset, once, when this is set.
        silent: Bytes are taken and dropped both ways, on all connections.
        silent_share: Share of new connections that drop all bytes for good.
        drop_to_target: Bytes towards the target are dropped.
        drop_to_caller: Bytes towards the caller are dropped.
        delay_ms: Each chunk is passed on this much later.
        drip_bytes_per_s: Bytes are passed on no faster than this.
    """

    refuse: bool
    reset: bool
    silent: bool
    silent_share: float
    drop_to_target: bool
    drop_to_caller: bool
    delay_ms: float
    drip_bytes_per_s: int


class ControlBody(TypedDict):
    """Body of `POST /control`; an empty list means all routes."""

    targets: list[str]
    fault: Fault


class RouteProxy:
    """One route, its faults and its open connections."""

    def __init__(self, route: Route, seed: int) -> None:
        self.route = route
        self._fault: Fault = {}
        self._rng = random.Random(f"{seed}/{route.listen}")
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> asyncio.Server:
        """Starts to listen."""
        address, _, port = self.route.listen.rpartition(":")
        return await asyncio.start_server(self._accept, address, int(port))

    def set_fault(self, fault: Fault) -> None:
        """Changes the faults."""
        self._fault = fault
        if fault.get("reset"):
            self.close()

    def close(self) -> None:
        """Resets all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._fault.get("refuse"):
            writer.transport.abort()
            return
        lost = self._rng.random() < self._fault.get("silent_share", 0.0)
        address, _, port = self.route.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                address, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        async with self._open(writer), self._open(far_writer):
            await asyncio.gather(
                self._pump(reader, far_writer, "drop_to_target", lost),
                self._pump(far_reader, writer, "drop_to_caller", lost),
            )

    @contextlib.asynccontextmanager
    async def _open(self, writer: asyncio.StreamWriter) -> AsyncIterator[None]:
        self._writers.add(writer)
        try:
            yield
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        drop: str,
        lost: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                await asyncio.sleep(self._delay_s(len(chunk)))
                if lost or self._fault.get("silent") or self._fault.get(drop):
                    continue
                writer.write(chunk)
                await writer.drain()
        if not lost:
            writer.close()

    def _delay_s(self, size_bytes: int) -> float:
        delay_s = self._fault.get("delay_ms", 0.0) / _MS_PER_S
        rate = self._fault.get("drip_bytes_per_s")
        return delay_s + (size_bytes / rate if rate else 0.0)


async def serve(routes: list[Route], control: str, seed: int) -> None:
    """Runs routes, and their control on an endpoint, until cancelled."""
    proxies = [RouteProxy(route, seed) for route in routes]
    servers = [await proxy.start() for proxy in proxies]

    async def change(request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=ControlBody)
        for proxy in proxies:
            if not body["targets"] or proxy.route.target in body["targets"]:
                proxy.set_fault(body["fault"])
        return web.Response(body=b"{}", content_type="application/json")

    app = web.Application()
    app.add_routes([web.post("/control", change)])
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    address, _, port = control.rpartition(":")
    await web.TCPSite(runner, address, int(port)).start()
    await asyncio.gather(*(server.serve_forever() for server in servers))
