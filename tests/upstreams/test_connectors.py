"""Requests that are cancelled while their connection opens."""

import asyncio
import random

import aiohttp
from aiohttp import web
import pytest

from greengagedale import loops
from greengagedale.upstreams import connectors

ROUNDS = 60
REQUESTS = 30
MOST_STEPS = 12


async def cancel_after(steps, task):
    for _ in range(steps):
        await asyncio.sleep(0)
    task.cancel()


async def start_server():
    async def answer(request):
        await asyncio.sleep(0.005)
        return web.Response(text="ok")

    app = web.Application()
    app.router.add_get("/", answer)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return runner, runner.addresses[0][1]


async def failures_beside_cancelled_requests():
    runner, port = await start_server()
    errors = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: errors.append(context))
    rng = random.Random(1)

    async def get(session):
        async with session.get(f"http://127.0.0.1:{port}/") as response:
            return await response.text()

    connector = connectors.SteadyConnector(1000, limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        for _ in range(ROUNDS):
            tasks = [loop.create_task(get(session)) for _ in range(REQUESTS)]
            cancels = [
                loop.create_task(cancel_after(rng.randrange(MOST_STEPS), task))
                for task in tasks[::2]
            ]
            kept = asyncio.gather(*tasks[1::2], return_exceptions=True)
            errors.extend(item for item in await kept if item != "ok")
            await asyncio.gather(*cancels, *tasks, return_exceptions=True)
    await runner.cleanup()
    return errors


def test_other_connections_are_unharmed_on_uvloop():
    assert loops.run(failures_beside_cancelled_requests()) == []


async def test_slow_connections_fail_in_time(monkeypatch):
    async def never(*args):
        await asyncio.Event().wait()

    monkeypatch.setattr(aiohttp.TCPConnector, "connect", never)
    connector = connectors.SteadyConnector(20)
    async with aiohttp.ClientSession(connector=connector) as session:
        with pytest.raises(aiohttp.ConnectionTimeoutError):
            await session.get("http://127.0.0.1:1/")
