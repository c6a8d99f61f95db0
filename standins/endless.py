"""Upstreams whose responses never end, run in a separate process."""

import asyncio
from collections.abc import AsyncIterator, Sequence
import contextlib
import itertools
import sys

from standins import gateway_site
from standins import gateway_upstream

_ADDRESS = gateway_site.ADDRESS
_START_TIMEOUT_S = 10.0
_POLL_S = 0.05
SERVICE = "endless"
PATH = "/endless/x"
_OK = b"HTTP/1.1 200 OK\r\n"
# For each endless part of a response: its first bytes, and the bytes that are
# repeated without end.
_RESPONSES = {
    "body": (_OK + b"\r\n", b"b" * 65_536),
    "chunks": (
        _OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"b" * 65_536 + b"\r\n",
    ),
    "headers": (_OK, b"X-A: b\r\n" * 8_192),
    "informational": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2_048),
}


async def serve(ports: Sequence[int]) -> None:
    """Listens on the ports, cycling through `_RESPONSES`, until cancelled."""
    responses = itertools.cycle(_RESPONSES.values())
    for port, (head, repeated) in zip(ports, responses, strict=False):
        await asyncio.start_server(_responder(head, repeated), _ADDRESS, port)
    await asyncio.Event().wait()


@contextlib.asynccontextmanager
async def running_upstreams(
    site: gateway_site.Site, count: int
) -> AsyncIterator[None]:
    """Runs such upstreams as a service of a site and adds a route to them."""
    ports = [gateway_site.free_port() for _ in range(count)]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "standins",
        "endless",
        "--ports",
        ",".join(map(str, ports)),
        cwd=gateway_site.ROOT,
    )
    try:
        for port in ports:
            await _wait_listening(port)
        for number, port in enumerate(ports):
            upstream = gateway_upstream.GatewayUpstream(
                f"endless-{number}", SERVICE
            )
            upstream.port = port
            entry = upstream.next_store_entry(_ADDRESS, "ready")
            site.store.put("servers", upstream.name, entry)
        route = gateway_site.route("endless", "/endless/", service=SERVICE)
        site.store.put("config", "main", gateway_site.configuration(5, [route]))
        yield
    finally:
        process.kill()
        await process.wait()


def _responder(
    head: bytes, repeated: bytes
) -> "asyncio.streams._ClientConnectedCallback":
    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head)
            while True:
                writer.write(repeated)
                await writer.drain()
        writer.close()

    return respond


async def _wait_listening(port: int) -> None:
    async with asyncio.timeout(_START_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(_ADDRESS, port)
                writer.close()
                return
            await asyncio.sleep(_POLL_S)
