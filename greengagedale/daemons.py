"""The entry host's process: puts its parts together, runs and stops them."""

import asyncio
import contextlib
import logging
import random
import time

from aiohttp import web

from greengagedale import actions
from greengagedale import clocks
from greengagedale import configuration
from greengagedale import directory as directory_lib
from greengagedale import drain_watch
from greengagedale import fleet_metrics
from greengagedale import hosts
from greengagedale import loops
from greengagedale import metrics as metrics_lib
from greengagedale import searches
from greengagedale import shutdowns
from greengagedale.callers import http_server as callers_http
from greengagedale.config import settings as settings_lib
from greengagedale.limits import assembly
from greengagedale.membership import drains as drains_lib
from greengagedale.membership import news
from greengagedale.operators import http_server as operators_http
from greengagedale.peers import grpc_client
from greengagedale.peers import grpc_server
from greengagedale.peers import udp
from greengagedale.platform import base as platform_base
from greengagedale.platform import http as platform_http
from greengagedale.routing import leaving
from greengagedale.routing import policies
from greengagedale.upstreams import http as upstreams_http
from greengagedale.upstreams import observed

log = logging.getLogger(__name__)

_HOST_LIST_S = 1.0
_MS_PER_S = 1000.0


async def serve(settings: settings_lib.Settings) -> None:
    """Runs an entry host until SIGTERM or SIGINT."""
    shutdown = shutdowns.Shutdown.from_config(settings)
    shutdown.listen()
    async with contextlib.AsyncExitStack() as stack:
        host = await _start(settings, shutdown, stack)
        loops.check_descriptors()
        log.info("serving", extra={"status": host.status()._asdict()})
        await shutdown.asked()
        host.leaving = True
        log.info("leaving")
        await shutdown.wait_for_callers()
    log.info("stopped")


async def _start(
    settings: settings_lib.Settings,
    shutdown: shutdowns.Shutdown,
    stack: contextlib.AsyncExitStack,
) -> hosts.Host:
    clock = clocks.MonotonicClock()
    metrics = metrics_lib.Metrics()
    store = platform_http.HttpStore.from_config(
        settings.platform.endpoint, settings.platform.timeout_ms, metrics
    )
    stack.push_async_callback(store.close)
    board = news.Board(clock)
    drains = drains_lib.Drains(
        board,
        clock,
        _wall_ms,
        lambda source: metrics.drain_signals.labels(source).inc(),
    )
    plain_transport = upstreams_http.HttpTransport.from_config(
        settings.host.data_centre, settings.upstreams.connect_timeout_ms
    )
    stack.push_async_callback(plain_transport.close)
    observed_transport = observed.ObservedTransport(plain_transport, drains)
    peers = grpc_client.GrpcTransport.from_config(settings.peers.timeout_ms)
    stack.push_async_callback(peers.close)
    holder = configuration.Holder()
    reader = configuration.Reader(
        store, holder, settings.platform.watch_wait_ms
    )
    rng = random.Random()
    directory = directory_lib.Directory.from_config(
        settings, board, peers, clock, rng
    )
    metrics.registry.register(
        fleet_metrics.MembershipCollector(
            lambda: directory.counts, directory.hosts_by_state
        )
    )
    limits = assembly.Limits.from_config(
        settings.limits,
        observed_transport,
        holder,
        drains.is_leaving,
        settings.host.name,
        lambda: [
            settings.host.name,
            *(status.name for status in directory.alive.values()),
        ],
        clock,
        metrics,
    )
    transport = limits.transport
    policy = leaving.LeavingFilter(
        policies.PlainPolicy(random.Random()), drains.is_leaving
    )
    host = hosts.Host(
        settings,
        holder,
        configuration.Writer(store, reader, holder),
        searches.SearchRunner(transport, policy, clock, metrics),
        actions.ActionRunner(transport, policy, clock),
        limits.admitter,
        directory,
        peers,
        clock,
        metrics,
    )
    own = f"{settings.host.address}:{settings.host.peer_port}"
    datagrams = await udp.UdpTransport.from_config(own, directory.receive)
    stack.push_async_callback(datagrams.close)
    watch = drain_watch.DrainWatch(
        drains,
        lambda: holder.services,
        transport,
        settings.host.name,
        lambda: [status.name for status in directory.alive.values()],
        settings.drain.poll_interval_ms,
    )
    background = [
        watch.follow_platform(),
        watch.poll(),
        directory.run(datagrams, host.status),
        reader.follow_catalog(),
        reader.follow_services(),
        _follow_hosts(settings, store, directory),
    ]
    for work in background:
        stack.push_async_callback(_stop_task, asyncio.create_task(work))
    await _listen(settings, host, shutdown, stack)
    return host


async def _listen(
    settings: settings_lib.Settings,
    host: hosts.Host,
    shutdown: shutdowns.Shutdown,
    stack: contextlib.AsyncExitStack,
) -> None:
    peer_server = await grpc_server.start(
        host, f"{settings.host.address}:{settings.host.peer_port}"
    )
    hard_limit_s = settings.shutdown.hard_limit_ms / _MS_PER_S
    stack.push_async_callback(peer_server.stop, hard_limit_s)
    apps = (
        (operators_http.application(host), settings.host.operator_port),
        (
            callers_http.application(host, settings.callers.max_body_bytes),
            settings.host.caller_port,
        ),
    )
    for app, port in apps:
        app.on_response_prepare.append(shutdown.close_connection)
        runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=hard_limit_s,
        )
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, settings.host.address, port).start()


async def _follow_hosts(
    settings: settings_lib.Settings,
    store: platform_base.ObjectStore,
    directory: directory_lib.Directory,
) -> None:
    while True:
        listed = await store.hosts()
        if not isinstance(listed, platform_base.Unavailable):
            endpoints = [item.peer_endpoint for item in listed]
            directory.hint([*settings.peers.seeds, *endpoints])
        await asyncio.sleep(_HOST_LIST_S)


def _wall_ms() -> int:
    return int(time.time() * _MS_PER_S)


async def _stop_task(task: asyncio.Task[None]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
