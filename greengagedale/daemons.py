"""The entry host's process: puts its parts together, runs and stops them."""

import asyncio
import contextlib
import logging
import random
import signal

from aiohttp import web

from greengagedale import actions
from greengagedale import clocks
from greengagedale import configuration
from greengagedale import hosts
from greengagedale import loops
from greengagedale import metrics as metrics_lib
from greengagedale import searches
from greengagedale.callers import http_server as callers_http
from greengagedale.config import settings as settings_lib
from greengagedale.operators import http_server as operators_http
from greengagedale.peers import grpc_client
from greengagedale.peers import grpc_server
from greengagedale.platform import base as platform_base
from greengagedale.platform import http as platform_http
from greengagedale.routing import loads as loads_lib
from greengagedale.routing import tacticians
from greengagedale.upstreams import http as upstreams_http

log = logging.getLogger(__name__)

_REFRESH_S = 0.3
_HOST_LIST_EVERY = 3
_MS_PER_S = 1000.0


async def serve(settings: settings_lib.Settings) -> None:
    """Runs an entry host until SIGTERM or SIGINT."""
    stop = _stop_event()
    async with contextlib.AsyncExitStack() as stack:
        host = await _start(settings, stack)
        loops.check_descriptors()
        log.info("serving", extra={"status": host.status()._asdict()})
        await stop.wait()
        host.leaving = True
        log.info("leaving")
        # Callers keep a locate answer for its TTL, so all of it is waited out.
        await asyncio.sleep(settings.callers.locate_ttl_ms / _MS_PER_S)
    log.info("stopped")


def _stop_event() -> asyncio.Event:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


async def _start(
    settings: settings_lib.Settings, stack: contextlib.AsyncExitStack
) -> hosts.Host:
    clock = clocks.MonotonicClock()
    metrics = metrics_lib.Metrics()
    store = platform_http.HttpStore.from_config(
        settings.platform.endpoint, settings.platform.timeout_ms, metrics
    )
    stack.push_async_callback(store.close)
    transport = upstreams_http.HttpTransport.from_config(
        settings.host.data_centre,
        settings.upstreams.connect_timeout_ms,
        settings.upstreams.spare_connections,
    )
    stack.push_async_callback(transport.close)
    peers = grpc_client.GrpcTransport.from_config(settings.peers.timeout_ms)
    stack.push_async_callback(peers.close)
    holder = configuration.Holder()
    reader = configuration.Reader(
        store, holder, settings.platform.watch_wait_ms
    )
    directory = hosts.Directory(peers)
    loads = loads_lib.LoadTracker(clock)
    tactician = tacticians.Tactician.from_config(
        settings.routing, loads, random.Random()
    )
    host = hosts.Host(
        settings,
        holder,
        configuration.Writer(store, reader, holder),
        searches.SearchRunner(
            transport, tactician, loads, holder.services.get, clock, metrics
        ),
        actions.ActionRunner(transport, tactician.policy, clock),
        directory,
        peers,
        clock,
        metrics,
    )
    background = [
        reader.follow_catalog(),
        reader.follow_services(),
        _follow_hosts(settings, store, directory),
    ]
    for work in background:
        stack.push_async_callback(_stop_task, asyncio.create_task(work))
    await _listen(settings, host, stack)
    return host


async def _listen(
    settings: settings_lib.Settings,
    host: hosts.Host,
    stack: contextlib.AsyncExitStack,
) -> None:
    peer_server = await grpc_server.start(
        host, f"{settings.host.address}:{settings.host.peer_port}"
    )
    stack.push_async_callback(peer_server.stop, None)
    apps = (
        (operators_http.application(host), settings.host.operator_port),
        (
            callers_http.application(host, settings.callers.max_body_bytes),
            settings.host.caller_port,
        ),
    )
    for app, port in apps:
        runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=settings.shutdown.hard_limit_ms / _MS_PER_S,
        )
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, settings.host.address, port).start()


async def _follow_hosts(
    settings: settings_lib.Settings,
    store: platform_base.ObjectStore,
    directory: hosts.Directory,
) -> None:
    own = f"{settings.host.address}:{settings.host.peer_port}"
    directory.learn([seed for seed in settings.peers.seeds if seed != own])
    rounds = 0
    while True:
        if rounds % _HOST_LIST_EVERY == 0:
            listed = await store.hosts()
            if not isinstance(listed, platform_base.Unavailable):
                directory.learn(
                    [h.peer_endpoint for h in listed if h.peer_endpoint != own]
                )
        rounds += 1
        await directory.refresh()
        await asyncio.sleep(_REFRESH_S)


async def _stop_task(task: asyncio.Task[None]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
