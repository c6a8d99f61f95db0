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
    """The endpoints on which a route listens and to which it forwards."""

    listen: str
    target: str


class Fault(TypedDict, total=False):
    """Faults of a route's connections; absent keys mean none.

    Attributes:
        refuse: New connections are reset.
        reset: Open connections are reset once, when this fault is set.
        silent: Bytes are read and dropped in both directions, on all
            connections.
        silent_share: Share of new connections on which all bytes are dropped
            for as long as they are open.
        drop_to_target: Bytes towards the target are dropped.
        drop_to_caller: Bytes towards the caller are dropped.
        delay_ms: Delay before each chunk is forwarded.
        drip_bytes_per_s: Maximum rate at which bytes are forwarded.
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
    """Body of `POST /control`; no targets means all routes."""

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
        """Replaces the faults; resets open connections if asked to."""
        self._fault = fault
        if fault.get("reset"):
            self.close()

    def close(self) -> None:
        """Resets all open connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._fault.get("refuse"):
            writer.transport.abort()
            return
        is_silent = self._rng.random() < self._fault.get("silent_share", 0.0)
        address, _, port = self.route.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                address, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        async with self._tracked(writer), self._tracked(target_writer):
            await asyncio.gather(
                self._forward(
                    reader, target_writer, "drop_to_target", is_silent
                ),
                self._forward(
                    target_reader, writer, "drop_to_caller", is_silent
                ),
            )

    @contextlib.asynccontextmanager
    async def _tracked(
        self, writer: asyncio.StreamWriter
    ) -> AsyncIterator[None]:
        self._writers.add(writer)
        try:
            yield
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        drop: str,
        is_silent: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                await asyncio.sleep(self._chunk_delay_s(len(chunk)))
                if (
                    is_silent
                    or self._fault.get("silent")
                    or self._fault.get(drop)
                ):
                    continue
                writer.write(chunk)
                await writer.drain()
        if not is_silent:
            writer.close()

    def _chunk_delay_s(self, size_bytes: int) -> float:
        delay_s = self._fault.get("delay_ms", 0.0) / _MS_PER_S
        rate = self._fault.get("drip_bytes_per_s")
        return delay_s + (size_bytes / rate if rate else 0.0)


async def serve(routes: list[Route], control: str, seed: int) -> None:
    """Runs routes and their control endpoint until cancelled."""
    proxies = [RouteProxy(route, seed) for route in routes]
    servers = [await proxy.start() for proxy in proxies]

    async def set_faults(request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=ControlBody)
        for proxy in proxies:
            if not body["targets"] or proxy.route.target in body["targets"]:
                proxy.set_fault(body["fault"])
        return web.Response(body=b"{}", content_type="application/json")

    app = web.Application()
    app.add_routes([web.post("/control", set_faults)])
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    address, _, port = control.rpartition(":")
    await web.TCPSite(runner, address, int(port)).start()
    await asyncio.gather(*(server.serve_forever() for server in servers))
