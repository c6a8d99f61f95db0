"""Relays datagrams between entry hosts and drops those on cut links."""

import asyncio
from typing import Any, NamedTuple, TypedDict

from aiohttp import web
import msgspec

from standins import faultproxy


class Link(NamedTuple):
    """One direction between two hosts, as the endpoints they listen on."""

    sender: str
    receiver: str


class CutBody(TypedDict):
    """Body of `POST /control`: the links that replace the current cuts."""

    cut: list[Link]


class _Relay(asyncio.DatagramProtocol):
    def __init__(self, target: str, cut: set[Link]) -> None:
        self._target = target
        self._cut_links = cut
        self._transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if Link(f"{addr[0]}:{addr[1]}", self._target) not in self._cut_links:
            self._transport.sendto(data, _split_endpoint(self._target))


async def serve(routes: list[faultproxy.Route], control: str) -> None:
    """Runs a relay for each host until cancelled."""
    cut_links: set[Link] = set()
    loop = asyncio.get_running_loop()
    for route in routes:
        await loop.create_datagram_endpoint(
            lambda route=route: _Relay(route.target, cut_links),
            local_addr=_split_endpoint(route.listen),
        )

    async def set_cut_links(request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=CutBody)
        cut_links.clear()
        cut_links.update(body["cut"])
        return web.Response(body=b"{}", content_type="application/json")

    app = web.Application()
    app.add_routes([web.post("/control", set_cut_links)])
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, *_split_endpoint(control)).start()
    await asyncio.Event().wait()


def _split_endpoint(endpoint: str) -> tuple[str, int]:
    address, _, port = endpoint.rpartition(":")
    return address, int(port)
