"""A minimal fan-out with aiohttp only, the baseline of benchmarks."""

import asyncio
import heapq
import random
from typing import Any

import aiohttp
from aiohttp import web
import msgspec

from greengagedale.catalog import services
from standins import records
from standins import shapes

_BARE_OFFSET = 9
_TIMEOUT_MS = 2000


def endpoint_of(shape: shapes.Shape) -> str:
    """Returns the endpoint on which the bare fan-out of a shape listens."""
    return f"127.0.0.1:{shape.base_port + _BARE_OFFSET}"


class BareFanout:
    """Sends each search to a random replica of each range, merges the hits."""

    def __init__(self, service: services.Service) -> None:
        self._service = service
        self._session: aiohttp.ClientSession | None = None

    async def search(self, request: web.Request) -> web.Response:
        """Answers one search."""
        body = msgspec.json.decode(await request.read())
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        partition_map = self._service.maps[0]
        hits_by_range = await asyncio.gather(
            *(
                self._search_range(partition_map.snapshot, entry, body)
                for entry in partition_map.ranges
            )
        )
        hits = heapq.nsmallest(
            body["limit"],
            (hit for range_hits in hits_by_range for hit in range_hits),
            _sort_key,
        )
        reply = {
            "outcome": "ran",
            "coverage": {"covered": 1, "total": 1},
            "hits": hits,
        }
        return web.Response(
            body=msgspec.json.encode(reply), content_type="application/json"
        )

    async def _search_range(
        self, snapshot: Any, entry: Any, body: Any
    ) -> list[Any]:
        upstream = self._service.upstreams[random.choice(entry.upstreams)]
        message = {
            "attempt_id": "bare",
            "member": "bare",
            **snapshot._asdict(),
            **entry.key_range._asdict(),
            "text": body["text"],
            "limit": body["limit"],
            "timeout_ms": _TIMEOUT_MS,
        }
        async with self._session.post(
            f"http://{upstream.endpoint}/v1/search",
            data=msgspec.json.encode(message),
        ) as response:
            return msgspec.json.decode(await response.read())["hits"]


def application(
    shape: shapes.Shape, service_name: str, recorder: records.Recorder
) -> web.Application:
    """Returns the bare fan-out application for one service of a shape."""
    del recorder
    bare = BareFanout(shape.initial_service(service_name))
    app = web.Application()
    app.add_routes([web.post("/v1/workspaces/{workspace}/search", bare.search)])
    return app


def _sort_key(hit: list[Any]) -> tuple[float, int]:
    return (-hit[1], hit[0])
