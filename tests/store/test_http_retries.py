"""A write that the HTTP library resent is never reported as not sent."""

import asyncio

from greengagedale import metrics
from greengagedale.store import base
from greengagedale.store import http

REPLY = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b'Content-Length: 13\r\n\r\n{"version":1}'
)


async def test_write_lost_on_a_reused_connection_has_an_unknown_outcome():
    served = 0

    async def handle(reader, writer):
        nonlocal served
        while await reader.readuntil(b"\r\n\r\n"):
            await reader.readexactly(1)
            served += 1
            if served == 2:  # The write is applied; then the platform fails.
                server.close()
                writer.close()
                return
            writer.write(REPLY)

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    store = http.HttpStore.from_config(
        f"127.0.0.1:{port}", 1000, metrics.Metrics()
    )
    try:
        first = await store.put("k", "a", b"1", 0)
        second = await store.put("k", "b", b"2", 0)
    finally:
        await store.close()
        server.close()
    assert first == base.Written(1)
    assert served == 2
    assert isinstance(second, base.WriteOutcomeUnknown)
