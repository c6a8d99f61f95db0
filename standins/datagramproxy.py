"""Relays datagrams between entry hosts, and drops those of cut links."""

import asyncio
from typing import Any, NamedTuple, TypedDict

from aiohttp import web
import msgspec

from standins import faultproxy


class Link(NamedTuple):
    """One direction between two hosts, by their own endpoints."""

    sender: str
    receiver: str


class CutBody(TypedDict):
    """Body of `POST /control`: the links that are cut from now on."""

    cut: list[Link]


class _Relay(asyncio.DatagramProtocol):
    def __init__(self, target: str, cut: set[Link]) -> None:
        self._target = target
        self._cut = cut
        self._transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if Link(f"{addr[0]}:{addr[1]}", self._target) not in self._cut:
            self._transport.sendto(data, _parts(self._target))


async def serve(routes: list[faultproxy.Route], control: str) -> None:
    """Runs a relay for each host until cancelled."""
    cut: set[Link] = set()
    loop = asyncio.get_running_loop()
    for route in routes:
        await loop.create_datagram_endpoint(
            lambda route=route: _Relay(route.target, cut),
            local_addr=_parts(route.listen),
        )

    async def change(request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=CutBody)
        cut.clear()
        cut.update(body["cut"])
        return web.Response(body=b"{}", content_type="application/json")

    app = web.Application()
    app.add_routes([web.post("/control", change)])
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, *_parts(control)).start()
    await asyncio.Event().wait()


def _parts(endpoint: str) -> tuple[str, int]:
    address, _, port = endpoint.rpartition(":")
    return address, int(port)
