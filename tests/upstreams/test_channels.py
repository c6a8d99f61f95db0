"""Tests of the spare channels to one upstream."""

import asyncio

from aiohttp import web
import pytest

from greengagedale.upstreams import channels

OPTIONS = channels.ChannelOptions({}, 200, 2)
ACQUIRE_COUNT = 50


@pytest.fixture
async def silent_endpoint():
    """An upstream that accepts connections and never answers."""
    opened = []

    async def accept(reader, writer):
        opened.append(writer)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    yield server.sockets[0].getsockname()[1], opened
    server.close()


@pytest.fixture
async def answering_port():
    async def answer(request):
        return web.Response(text="ok")

    app = web.Application()
    app.router.add_get("/v1/health", answer)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    yield runner.addresses[0][1]
    await runner.cleanup()


def pool_for(port, tasks):
    return channels.ChannelPool(
        f"http://127.0.0.1:{port}/v1/health",
        OPTIONS,
        lambda work: tasks.append(asyncio.ensure_future(work)),
    )


async def test_failing_spare_channels_are_not_opened_on_every_request(
    silent_endpoint, monkeypatch
):
    monkeypatch.setattr(channels, "_PROBE_TIMEOUT_S", 0.01)
    port, opened = silent_endpoint
    tasks = []
    pool = pool_for(port, tasks)
    for _ in range(ACQUIRE_COUNT):
        pool.discard(pool.acquire())
        await asyncio.gather(*tasks)
    await pool.close()
    assert 1 <= len(opened) <= 8


async def test_working_spare_channels_are_reused(answering_port):
    tasks = []
    pool = pool_for(answering_port, tasks)
    await pool.warm_up()
    first = pool.acquire()
    pool.release(first)
    assert pool.acquire() is first
    await asyncio.gather(*tasks)
    await pool.close()
    await first.session.close()
