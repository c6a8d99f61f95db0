"""Requests cancelled at any time don't affect other connections."""

import asyncio
import gc

import aiohttp
from aiohttp import web
import pytest

from greengagedale import connectors
from greengagedale import loops
from standins import ports

PORT_OFFSET = 900


def port():
    return ports.base_port() + PORT_OFFSET


async def answer(request):
    await asyncio.sleep(0.0005)
    return web.Response(text="ok")


async def fetch(session):
    async with session.get(f"http://127.0.0.1:{port()}/") as response:
        return await response.text()


async def cancel_while_opening(session, loop_iterations):
    """Returns the cancelled task.

    Its traceback keeps its frames alive, and with them any socket object.
    """
    task = asyncio.create_task(fetch(session))
    for _ in range(loop_iterations):
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait([task])
    return task


async def cancel_many_then_fetch():
    app = web.Application()
    app.add_routes([web.get("/", answer)])
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port(), backlog=1024).start()
    connector = connectors.DirectConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        for _ in range(4):
            cancelled = await asyncio.gather(
                *(cancel_while_opening(session, n % 20) for n in range(200))
            )
            running = [asyncio.create_task(fetch(session)) for _ in range(50)]
            await asyncio.sleep(0.001)
            cancelled.clear()
            gc.collect()
            assert await asyncio.gather(*running) == ["ok"] * 50
    await runner.cleanup()


def test_cancelled_connects_do_not_close_other_connections():
    loops.run(cancel_many_then_fetch())


async def test_connections_that_do_not_open_time_out(monkeypatch):
    async def never_connect(*args, **options):
        await asyncio.Event().wait()

    loop = asyncio.get_running_loop()
    connector = connectors.DirectConnector(limit=0)
    monkeypatch.setattr(loop, "create_connection", never_connect)
    timeout = aiohttp.ClientTimeout(sock_connect=0.02)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        with pytest.raises(aiohttp.ConnectionTimeoutError):
            await session.get("http://127.0.0.1:1/")
