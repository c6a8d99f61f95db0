"""Creates, runs and stops the components of an entry host's process."""

import asyncio
import contextlib
import logging
import random
import secrets
import time
from typing import NamedTuple

from greengagedale import action_dispatch
from greengagedale import action_execution
from greengagedale import action_forwarding
from greengagedale import clocks
from greengagedale import configuration
from greengagedale import configuration_metrics
from greengagedale import configuration_sync
from greengagedale import configuration_writer
from greengagedale import descriptors
from greengagedale import drain_monitor
from greengagedale import entry_host
from greengagedale import garbage_collection
from greengagedale import graceful_shutdown
from greengagedale import host_directory as directory_lib
from greengagedale import loops
from greengagedale import membership_metrics
from greengagedale import metrics as metrics_lib
from greengagedale import search_execution
from greengagedale.callers import http_server as callers_http
from greengagedale.config import settings as settings_lib
from greengagedale.http1 import connection_budget
from greengagedale.http1 import server
from greengagedale.idempotency import claims
from greengagedale.idempotency import key_table
from greengagedale.idempotency import tickets
from greengagedale.limits import factory as limits_factory
from greengagedale.membership import announcements
from greengagedale.membership import drains as drains_lib
from greengagedale.operators import http_server as operators_http
from greengagedale.peers import base as peers_base
from greengagedale.peers import grpc_client
from greengagedale.peers import grpc_server
from greengagedale.peers import udp
from greengagedale.routing import leaving_filter
from greengagedale.routing import load_tracker as load_tracker_lib
from greengagedale.routing import policies
from greengagedale.routing import strategy_providers
from greengagedale.store import base as store_base
from greengagedale.store import http as store_http
from greengagedale.upstreams import base as upstreams_base
from greengagedale.upstreams import drain_detecting
from greengagedale.upstreams import http as upstreams_http

log = logging.getLogger(__name__)

_HOST_LIST_INTERVAL_S = 1.0
_HOSTS_PER_LIST_INTERVAL = 50
_MS_PER_S = 1000.0
_INCARNATION_BYTES = 6


async def serve(settings: settings_lib.Settings) -> None:
    """Runs an entry host until SIGTERM or SIGINT."""
    shutdown = graceful_shutdown.GracefulShutdown.from_config(settings)
    shutdown.install_signal_handlers()
    async with contextlib.AsyncExitStack() as stack:
        host = await _start_host(settings, shutdown, stack)
        loops.check_no_io_uring()
        log.info("serving", extra={"status": host.status()._asdict()})
        await shutdown.wait_for_signal()
        host.leaving = True
        log.info("leaving")
        await shutdown.wait_for_callers()
        host.refuse_new_actions()
    log.info("stopped")


class _Components(NamedTuple):
    """The components that the other parts of a host depend on.

    Attributes:
        settings: Settings of the host.
        clock: Clock of the process.
        metrics: Metrics of the process.
        store: The platform's object API.
        peers: Transport to other hosts.
        transport: Transport to upstreams; detects draining upstreams.
        drains: Tracks which upstreams are leaving.
        announcement_cache: Announcements sent to and received from other
            hosts.
        directory: Directory of the other hosts.
        active_configuration: The active configuration and services.
        config_metrics: Metrics of configuration.
    """

    settings: settings_lib.Settings
    clock: clocks.Clock
    metrics: metrics_lib.Metrics
    store: store_base.ObjectStore
    peers: peers_base.PeerTransport
    transport: upstreams_base.UpstreamTransport
    drains: drains_lib.DrainTracker
    announcement_cache: announcements.AnnouncementCache
    directory: directory_lib.HostDirectory
    active_configuration: configuration.ActiveConfiguration
    config_metrics: configuration_metrics.ConfigurationMetrics

    def healthy_host_names(self) -> list[str]:
        """Returns the names of all healthy hosts, this one first."""
        healthy_hosts = self.directory.healthy_hosts.values()
        return [
            self.settings.host.name,
            *(status.name for status in healthy_hosts),
        ]


async def _start_host(
    settings: settings_lib.Settings,
    shutdown: graceful_shutdown.GracefulShutdown,
    stack: contextlib.AsyncExitStack,
) -> entry_host.EntryHost:
    components = _create_components(settings, stack)
    limits = _create_limits(components)
    host = _create_host(components, limits, stack)
    await _start_background(components, limits, host, stack)
    await _start_servers(settings, host, shutdown, stack)
    return host


def _create_components(
    settings: settings_lib.Settings, stack: contextlib.AsyncExitStack
) -> _Components:
    clock = clocks.MonotonicClock()
    metrics = metrics_lib.Metrics()
    store = store_http.HttpStore.from_config(
        settings.platform.endpoint,
        settings.platform.timeout_ms,
        metrics,
        client_name=settings.host.name,
    )
    stack.push_async_callback(store.close)
    announcement_cache = announcements.AnnouncementCache(clock)
    drains = drains_lib.DrainTracker(
        announcement_cache,
        clock,
        _wall_clock_ms,
        lambda source: metrics.drain_signals.labels(source).inc(),
    )
    transport = upstreams_http.HttpTransport.from_config(
        settings.host.data_centre,
        settings.upstreams.connect_timeout_ms,
        settings.upstreams.spare_connections,
    )
    stack.push_async_callback(transport.close)
    peers = grpc_client.GrpcTransport.from_config(settings.peers.timeout_ms)
    stack.push_async_callback(peers.close)
    active_configuration = configuration.ActiveConfiguration(clock)
    return _Components(
        settings,
        clock,
        metrics,
        store,
        peers,
        drain_detecting.DrainDetectingTransport(transport, drains),
        drains,
        announcement_cache,
        _create_directory(settings, announcement_cache, peers, clock, metrics),
        active_configuration,
        configuration_metrics.ConfigurationMetrics.from_config(
            metrics, active_configuration
        ),
    )


def _create_directory(
    settings: settings_lib.Settings,
    announcement_cache: announcements.AnnouncementCache,
    peers: peers_base.PeerTransport,
    clock: clocks.Clock,
    metrics: metrics_lib.Metrics,
) -> directory_lib.HostDirectory:
    directory = directory_lib.HostDirectory.from_config(
        settings, announcement_cache, peers, clock, random.Random()
    )
    metrics.registry.register(
        membership_metrics.MembershipCollector(
            lambda: directory.event_counts, directory.hosts_by_state
        )
    )
    return directory


def _create_limits(components: _Components) -> limits_factory.Limits:
    return limits_factory.Limits.from_config(
        components.settings.limits,
        components.transport,
        components.active_configuration,
        components.drains.is_leaving,
        components.announcement_cache,
        _wall_clock_ms,
        components.settings.host.name,
        components.healthy_host_names,
        components.clock,
        components.metrics,
    )


def _create_host(
    components: _Components,
    limits: limits_factory.Limits,
    stack: contextlib.AsyncExitStack,
) -> entry_host.EntryHost:
    allocator = limits.allocator
    loads = load_tracker_lib.LoadTracker(
        components.clock, allocator.free_slots if allocator else None
    )
    routing = components.settings.routing
    policy = leaving_filter.LeavingFilter(
        policies.from_config(routing, loads, random.Random()),
        components.drains.is_leaving,
    )
    search_runner = search_execution.SearchRunner(
        limits.transport,
        strategy_providers.StrategyProvider.from_config(routing, policy, loads),
        loads,
        components.active_configuration.services.get,
        components.clock,
        components.metrics,
    )
    action_runner = _create_action_runner(components, limits, policy)
    stack.push_async_callback(action_runner.wait_for_runs)
    return entry_host.EntryHost(
        components.settings,
        components.active_configuration,
        _create_writer(components, stack),
        search_runner,
        action_runner,
        limits.admission_runner,
        components.directory,
        components.peers,
        components.clock,
        components.metrics,
    )


def _create_writer(
    components: _Components, stack: contextlib.AsyncExitStack
) -> configuration_writer.ConfigurationWriter:
    garbage_collector = garbage_collection.GarbageCollector(
        components.store, components.config_metrics
    )
    stack.push_async_callback(garbage_collector.close)
    return configuration_writer.ConfigurationWriter.from_config(
        components.settings,
        components.store,
        components.active_configuration,
        garbage_collector,
        components.config_metrics,
    )


def _create_action_runner(
    components: _Components,
    limits: limits_factory.Limits,
    policy: policies.RoutingPolicy,
) -> action_execution.ActionRunner:
    incarnation = secrets.token_hex(_INCARNATION_BYTES)
    issuer = tickets.Issuer(components.settings.host.name, incarnation)
    key_limits = key_table.KeyTableLimits(
        components.settings.actions.most_keys,
        components.settings.actions.ticket_life_ms,
        components.settings.actions.retention_ms,
    )
    return action_execution.ActionRunner(
        issuer,
        key_table.KeyTable(key_limits),
        claims.PlatformClaimRegistry(
            components.store, issuer, components.clock
        ),
        action_forwarding.PeerForwarder(
            components.directory, components.peers, components.clock
        ),
        action_dispatch.ActionDispatcher(
            components.active_configuration,
            limits.transport,
            policy,
            components.clock,
            components.metrics,
            limits.admission_runner,
        ),
        components.clock,
        components.metrics,
    )


async def _start_background(
    components: _Components,
    limits: limits_factory.Limits,
    host: entry_host.EntryHost,
    stack: contextlib.AsyncExitStack,
) -> None:
    settings = components.settings
    own_endpoint = f"{settings.host.address}:{settings.host.peer_port}"
    datagrams = await udp.UdpTransport.from_config(
        own_endpoint, components.directory.receive
    )
    stack.push_async_callback(datagrams.close)
    monitor = drain_monitor.DrainMonitor(
        components.drains,
        lambda: components.active_configuration.services,
        limits.transport,
        settings.host.name,
        lambda: [
            status.name
            for status in components.directory.healthy_hosts.values()
        ],
        settings.drain.poll_interval_ms,
    )
    follower = configuration_sync.ConfigurationFollower.from_config(
        settings,
        components.store,
        components.peers,
        components.active_configuration,
        lambda: components.directory.healthy_hosts,
        components.config_metrics,
    )
    background = [
        monitor.follow_platform(),
        monitor.poll(),
        components.directory.run(datagrams, host.status),
        follower.run(),
        _poll_host_list(settings, components.store, components.directory),
        _check_idle_connections(settings, components.transport),
    ]
    for coroutine in background:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(_log_task_failure)
        stack.push_async_callback(_stop_task, task)


async def _start_servers(
    settings: settings_lib.Settings,
    host: entry_host.EntryHost,
    shutdown: graceful_shutdown.GracefulShutdown,
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
    bounds = connection_budget.Bounds.from_config(
        settings.connections.max_held_mib,
        descriptors.limit(settings.connections.max_descriptors),
    )
    turns = server.new_turns()
    for app, port in apps:
        listener = server.Server(
            app,
            clocks.MonotonicClock(),
            bounds.share(1.0 / len(apps)),
            turns,
        )
        shutdown.servers.append(listener)
        stack.push_async_callback(shutdown.close_server, listener)
        await listener.start(settings.host.address, port)


async def _check_idle_connections(
    settings: settings_lib.Settings, transport: upstreams_base.UpstreamTransport
) -> None:
    """Probes idle connections to upstreams at regular intervals."""
    while True:
        await asyncio.sleep(settings.upstreams.idle_check_ms / _MS_PER_S)
        await transport.check_idle()


async def _poll_host_list(
    settings: settings_lib.Settings,
    store: store_base.ObjectStore,
    directory: directory_lib.HostDirectory,
) -> None:
    while True:
        host_list = await store.list_hosts()
        if not isinstance(host_list, store_base.Unavailable):
            endpoints = [item.peer_endpoint for item in host_list]
            directory.set_join_candidates([*settings.peers.seeds, *endpoints])
        # The interval grows with the fleet, so that all hosts together ask no
        # more often than a fleet of _HOSTS_PER_LIST_INTERVAL hosts.
        interval_factor = max(
            1.0, len(directory.healthy_hosts) / _HOSTS_PER_LIST_INTERVAL
        )
        await asyncio.sleep(_HOST_LIST_INTERVAL_S * interval_factor)


def _wall_clock_ms() -> int:
    return int(time.time() * _MS_PER_S)


def _log_task_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("background task failed", exc_info=task.exception())


async def _stop_task(task: asyncio.Task[None]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
