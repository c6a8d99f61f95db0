"""Process of an entry host that forwards opaque requests to upstreams."""

import asyncio
from collections.abc import Mapping
import contextlib
import logging
import os
import pathlib
import random
import time
from typing import NamedTuple, Self

from greengagedale import clocks
from greengagedale import descriptors
from greengagedale import exceptions
from greengagedale import logs
from greengagedale.config import gateway as config
from greengagedale.gateway import announced_limits as announced_limits_lib
from greengagedale.gateway import authorization
from greengagedale.gateway import caller_handlers as edge_lib
from greengagedale.gateway import connection_pools as pools_lib
from greengagedale.gateway import evacuations as evacuations_lib
from greengagedale.gateway import extra_attempts
from greengagedale.gateway import fleet as fleet_lib
from greengagedale.gateway import freshness as freshness_lib
from greengagedale.gateway import host_selection
from greengagedale.gateway import metrics as metrics_lib
from greengagedale.gateway import peer_exchange as peer_exchange_lib
from greengagedale.gateway import precedence as precedence_lib
from greengagedale.gateway import proof_refresh
from greengagedale.gateway import quarantine as quarantine_lib
from greengagedale.gateway import quota_exchange as quota_exchange_lib
from greengagedale.gateway import reachability as reachability_lib
from greengagedale.gateway import reader_election as election_lib
from greengagedale.gateway import regions as regions_lib
from greengagedale.gateway import registry as registry_lib
from greengagedale.gateway import relay as relay_lib
from greengagedale.gateway import relay_policy as relay_policy_lib
from greengagedale.gateway import roster as roster_lib
from greengagedale.gateway import runner as runner_lib
from greengagedale.gateway import shutdown
from greengagedale.gateway import shutdown_schedule
from greengagedale.gateway import store_reader as store_reader_lib
from greengagedale.gateway import store_revision
from greengagedale.gateway import sub_requests
from greengagedale.gateway import supervision
from greengagedale.gateway import traffic_split
from greengagedale.gateway import upstream_capacity as capacity_lib
from greengagedale.gateway import upstream_entries
from greengagedale.gateway import upstream_limits as upstream_limits_lib
from greengagedale.gateway import upstream_notices as notices_lib
from greengagedale.gateway import upstream_scores as scores_lib
from greengagedale.gateway import upstream_watch as upstream_watch_lib
from greengagedale.gateway import warm_up as warm_up_lib
from greengagedale.http1 import client
from greengagedale.http1 import connection_budget
from greengagedale.http1 import messages
from greengagedale.http1 import server
from greengagedale.limits import quota_shares
from greengagedale.platform import caller_codec
from greengagedale.platform import store as store_lib
from greengagedale.platform import upstream_client as upstream_client_lib

log = logging.getLogger(__name__)

# An upstream's connections are divided by at least this number of hosts, as
# some hosts may not be known yet.
MIN_HOSTS = 4
# Share of an upstream's connections that is divided among the hosts; the rest
# is a reserve for hosts that start before others have closed theirs.
CONNECTIONS_SHARE = 0.85
EXIT_FAILURE = 1
# Shares of the memory and connections of the process that each endpoint may
# use, so that clients of one endpoint keep nobody from another.
_CALLERS_SHARE = 0.5
_PEERS_SHARE = 0.25
_LOCATE_SHARE = 0.15
_READY_SHARE = 0.05
_METRICS_SHARE = 0.05
_MAINTENANCE_INTERVAL_S = 0.5
_BUDGET_TICK_INTERVAL_S = 0.1
_PROOF_CHECK_INTERVAL_S = 0.1
_LOG_FLUSH_INTERVAL_S = 0.05
_MS_PER_S = 1000.0
_MILLICORES = 1000.0


async def serve(path: pathlib.Path) -> None:
    """Runs a host until it has drained after SIGTERM or SIGINT."""
    settings = config.GatewaySettings.from_file(path)
    handler = logs.configure_buffered(
        settings.host.name, settings.host.data_centre, settings.logs.level
    )
    host = GatewayHost.from_config(settings)
    signals = shutdown.SignalHandlers.install(lambda: _reload(path))
    async with contextlib.AsyncExitStack() as stack:
        stack.callback(handler.flush_without_blocking)
        _run_in_background(stack, _flush_logs(handler))
        await host.start(stack)
        log.info(
            "serving",
            extra={
                "settings": settings._asdict(),
                "burst_share": host.burst_share,
            },
        )
        await signals.wait_for_stop()
        await host.drain(settings.shutdown.grace_s)
    log.info("stopped")
    handler.flush_without_blocking()


class _OwnState(edge_lib.LocalHostState):
    """Builds the state that this host reports to peers and callers."""

    def __init__(
        self,
        settings: config.GatewaySettings,
        registry: registry_lib.Registry,
        roster: roster_lib.Roster,
        freshness: freshness_lib.Freshness,
        reachability: reachability_lib.Reachability,
    ) -> None:
        self._settings = settings
        self._registry = registry
        self._freshness = freshness
        self._reachability = reachability
        self._roster = roster
        self._incarnation = int(time.time() * _MS_PER_S)
        self._sequence = 0
        self.reader: store_reader_lib.StoreReader | None = None
        self.is_leaving = False

    @property
    def address(self) -> fleet_lib.HostAddress:
        """The part of the state that is fixed for this incarnation."""
        settings = self._settings
        return fleet_lib.HostAddress(
            settings.host.name,
            self._incarnation,
            settings.host.data_centre,
            settings.gateway.caller_endpoint,
            settings.gateway.peer_endpoint,
            round(settings.host.power_cores * _MILLICORES),
        )

    def get(self) -> fleet_lib.HostState:
        """Returns the current state, as a new heartbeat."""
        self._sequence += 1
        settings = self._settings
        heartbeat = fleet_lib.Heartbeat(
            settings.host.name,
            self._incarnation,
            self._sequence,
            self._registry.is_ready,
            self.is_leaving,
            -1.0 if self.reader is None else self.reader.read_age_ms,
            self._roster.host_list.revision,
            is_proven=self._freshness.is_proven(),
            reaches_upstreams=not self._reachability.is_cut_off,
        )
        return fleet_lib.HostState(self.address, heartbeat)

    def ensure_newer_than(self, incarnation: int) -> None:
        """Raises the incarnation above that of an earlier run of this host."""
        if incarnation > self._incarnation:
            log.warning(
                "earlier run of this host had a later incarnation; raising own",
                extra={"incarnation": incarnation, "own": self._incarnation},
            )
            self._incarnation = incarnation + 1


class _Servers(NamedTuple):
    edge: server.Server
    others: list[server.Server]


class GatewayHost:
    """An entry host that forwards opaque requests to upstreams."""

    def __init__(
        self,
        settings: config.GatewaySettings,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics = metrics_lib.Metrics()
        self._registry = registry_lib.Registry(clock)
        self._freshness = freshness_lib.Freshness(
            settings.keys.revocation_ms, clock, self._metrics
        )
        self._authorizer = authorization.Authorizer(
            self._registry, self._freshness
        )
        self._registry.recovery.on_begin = self._freshness.record_rollback
        self._registry.recovery.on_step = self._metrics.recovery_steps.inc
        self._rng = rng
        self._fleet = fleet_lib.Fleet(settings.host.name, clock)
        self._roster = roster_lib.Roster(settings.host.name, clock)
        self._quarantine = quarantine_lib.Quarantine(clock)
        self._notices = notices_lib.UpstreamNotices(clock)
        self._region_map = regions_lib.RegionMap(
            dict(settings.host.data_centre_regions)
        )
        self._evacuations = evacuations_lib.Evacuations(self._metrics)
        self._reachability = reachability_lib.Reachability()
        self._own_state = _OwnState(
            settings,
            self._registry,
            self._roster,
            self._freshness,
            self._reachability,
        )
        self._store = store_lib.PlatformStore.from_config(
            settings.platform.endpoint,
            settings.platform.timeout_ms,
            self._metrics,
        )
        self._capacities = capacity_lib.Capacities(
            settings.host.name,
            settings.host.power_cores < settings.learning.max_cores,
            clock,
            self._metrics,
        )
        self._announced_limits = announced_limits_lib.AnnouncedLimits(
            settings.host.name, self._roster, self._metrics, clock
        )
        self._exchange = self._make_exchange()
        self._reachability.on_change = self._exchange.request_round
        self._quotas = self._make_quotas()
        self._fleet.on_own_incarnation = self._own_state.ensure_newer_than
        self._reader = self._make_reader()
        self._own_state.reader = self._reader
        self._limits = self._make_limits()
        self._power_share: float | None = None
        self._reply_limits = client.ReplyLimits(
            int(settings.upstreams.max_head_bytes),
            int(settings.upstreams.max_body_bytes),
        )
        self._pools = pools_lib.ConnectionPools(
            self._notices,
            self._evacuations,
            self._reply_limits,
            clock,
            self._reachability,
        )
        self._scores = scores_lib.UpstreamScores(
            settings.host.data_centre, clock, rng, self._capacities
        )
        self._watch = upstream_watch_lib.UpstreamWatch(
            self._reachability,
            self._scores,
            self._accepting_upstreams,
            self._try_connect,
            self._metrics,
            clock,
            rng,
        )
        self._budgets = extra_attempts.ExtraAttemptBudgets(
            settings.retries.window_s * _MS_PER_S,
            settings.retries.ratio,
            self._burst_share(),
            clock.now_ms(),
        )
        self._tools = self._make_tools()
        self._runner = runner_lib.Runner(
            self._tools, self._budgets, traffic_split.TrafficSplitter(rng)
        )
        request_log = logs.RequestLog(clock)
        self._edge = edge_lib.CallerHandler(
            caller_codec.PlatformCallerCodec(),
            self._registry,
            self._runner,
            self._authorizer,
            self._fleet,
            self._quotas,
            clock,
            rng,
            self._metrics,
            request_log,
        )
        self._relay_policy = relay_policy_lib.RelayPolicy(
            settings.host.data_centre,
            self._reachability,
            self._fleet,
            self._region_map,
            settings.gateway.min_relative_power,
            rng,
        )
        self._relay = relay_lib.RelayClient(
            settings.host.name,
            self._relay_policy,
            self._reply_limits,
            self._metrics,
            request_log,
            clock,
        )
        self._edge.relay = self._relay
        self._servers = self._make_servers()

    @classmethod
    def from_config(cls, settings: config.GatewaySettings) -> Self:
        """Makes a host; must be called on a running event loop."""
        return cls(settings, clocks.BootClock(), random.Random())

    @property
    def burst_share(self) -> float:
        """This host's share of the burst of extra attempts."""
        return self._budgets.share

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts to serve; servers and tasks are closed with the stack."""
        gateway = self._settings.gateway
        stack.push_async_callback(self._store.close)
        stack.callback(self._pools.close)
        stack.callback(self._relay.close)
        endpoints = [
            gateway.peer_endpoint,
            gateway.locate_endpoint,
            gateway.ready_endpoint,
            gateway.metrics_endpoint,
        ]
        edge, others = self._servers
        await _listen(stack, edge, gateway.caller_endpoint)
        for each, endpoint in zip(others, endpoints, strict=True):
            if endpoint is not None:
                await _listen(stack, each, endpoint)
        for work in (
            self._exchange.run,
            self._reader.run,
            self._maintain,
            self._tick_budgets,
            self._watch.run,
        ):
            _run_in_background(stack, supervision.supervise(work))
        if self._freshness.bound_ms is not None:
            _run_in_background(
                stack,
                supervision.supervise(self._refresh_proof),
            )
        if self._quotas is not None:
            stack.callback(self._quotas.close)
            _run_in_background(stack, supervision.supervise(self._quotas.run))

    async def drain(self, grace_s: float) -> None:
        """Shuts down without cutting requests; see `shutdown`."""
        self._own_state.is_leaving = True
        self._exchange.request_round()
        releasing = self._quotas and asyncio.ensure_future(
            self._quotas.release()
        )
        now_ms = self._clock.now_ms()
        schedule = shutdown_schedule.ShutdownSchedule.from_config(
            grace_s, now_ms
        )
        log.info(
            "leaving",
            extra={
                "running": self._servers.edge.in_flight_requests,
                "accepting_ms": round(schedule.accept_until_ms - now_ms),
                "answered_in_ms": round(schedule.answer_by_ms - now_ms),
                "exit_in_ms": round(schedule.exit_by_ms - now_ms),
            },
        )
        await shutdown.drain(
            self._servers.edge,
            self._edge,
            schedule,
            self._tools.background,
            self._clock,
        )
        if releasing is not None:
            await releasing

    def _make_exchange(self) -> peer_exchange_lib.PeerExchange:
        return peer_exchange_lib.PeerExchange(
            self._own_state.get,
            self._fleet,
            self._registry,
            self._roster,
            self._quarantine,
            self._notices,
            self._freshness,
            list(self._settings.peers.seeds),
            self._clock,
            self._rng,
            self._evacuations,
            self._announced_limits,
            self._capacities,
        )

    def _make_quotas(self) -> quota_exchange_lib.QuotaExchange | None:
        terms = quota_shares.QuotaTerms.from_config(self._settings.quotas)
        return terms and quota_exchange_lib.QuotaExchange(
            terms,
            self._own_state.get,
            self._fleet,
            self._registry,
            self._roster,
            self._exchange,
            self._metrics,
            self._clock,
            self._rng,
        )

    def _make_reader(self) -> store_reader_lib.StoreReader:
        has_evacuations = store_lib.has_evacuations(
            self._settings.platform.features
        )
        return store_reader_lib.StoreReader(
            self._store,
            self._registry,
            self._make_election(),
            self._roster,
            self._freshness,
            self._alive_hosts,
            self._exchange.request_round,
            self._clock,
            self._evacuations if has_evacuations else None,
        )

    def _make_limits(self) -> upstream_limits_lib.UpstreamLimits:
        warm_up = warm_up_lib.SharedWarmUpLimit.from_config(
            self._settings,
            self._roster,
            self._warm_up_rates,
            self._metrics,
            self._clock,
        )
        self._evacuations.listeners.append(warm_up.observe_evacuations)
        return upstream_limits_lib.UpstreamLimits(
            warm_up, self._announced_limits
        )

    def _make_tools(self) -> sub_requests.SubRequestContext:
        return sub_requests.SubRequestContext(
            upstream_client_lib.PlatformUpstreamClient(
                self._pools,
                self._notices,
                self._limits,
                self._max_connections,
                self._authorizer,
                self._clock,
            ),
            self._scores,
            self._registry.upstreams_of,
            self._notices,
            self._registry.remove_reassigned,
            self._quarantine,
            self._authorizer,
            self._clock,
            self._metrics,
            set(),
            self._evacuations,
            self._limits,
            self._region_map,
            precedence_lib.Precedence(self._rng),
            self._reachability,
        )

    def _make_servers(self) -> _Servers:
        codec = caller_codec.PlatformCallerCodec()
        locator = edge_lib.LocateHandler(
            codec,
            self._own_state,
            self._fleet,
            self._registry,
            self._region_map,
            self._settings.gateway.locate_ttl_s * _MS_PER_S,
            self._settings.gateway.min_relative_power,
        )
        host = self._settings.host
        turns = server.new_turns()
        bounds = connection_budget.Bounds.from_config(
            host.memory_mib * self._settings.connections.memory_share,
            descriptors.limit(int(host.max_descriptors)),
        )
        peers = relay_lib.RelayHandler(
            self._edge,
            self._relay_policy,
            self._quotas or self._exchange,
            self._tools.background,
            self._metrics,
        )
        others: list[tuple[server.Handler, float]] = [
            (peers, _PEERS_SHARE),
            (locator, _LOCATE_SHARE),
            (locator, _READY_SHARE),
            (_MetricsHandler(self._metrics), _METRICS_SHARE),
        ]
        return _Servers(
            server.Server(
                self._edge, self._clock, bounds.share(_CALLERS_SHARE), turns
            ),
            [
                server.Server(handler, self._clock, bounds.share(share), turns)
                for handler, share in others
            ],
        )

    def _make_election(self) -> election_lib.ReaderElection:
        seeds = list(self._settings.peers.seeds)
        own = self._settings.gateway.peer_endpoint
        ahead = seeds[: seeds.index(own)] if own in seeds else seeds
        return election_lib.ReaderElection(
            self._fleet,
            self._settings.host.name,
            ahead,
            self._clock,
            is_seed=own in seeds,
        )

    def _alive_hosts(self) -> dict[str, store_revision.Revision]:
        """Returns the live hosts with the host list revision each uses."""
        own = {self._settings.host.name: self._roster.host_list.revision}
        others = {
            state.name: state.heartbeat.roster_revision
            for state in self._fleet.alive()
        }
        return {**others, **own}

    def _host_count(self) -> int:
        listed_count = len(self._roster.host_list.hosts)
        return max(MIN_HOSTS, self._fleet.count_known(), listed_count)

    def _burst_share(self) -> float:
        return self._roster.share_of(self._settings.retries.burst)

    def _update_burst_share(self) -> None:
        """Updates this host's share of the burst after host list changes."""
        read_age_ms = self._reader.read_age_ms
        is_reading = 0.0 <= read_age_ms < fleet_lib.READER_STALE_MS
        is_store_reachable = is_reading or bool(self._fleet.active_readers())
        alive = self._alive_hosts()
        self._roster.confirm_current(
            alive, is_store_reachable, max(alive.values())
        )
        share = self._burst_share()
        if share != self._budgets.share:
            log.info(
                "share of the burst of extra attempts",
                extra={
                    "burst_share": share,
                    "hosts": len(self._roster.host_list.hosts),
                    "roster_revision": self._roster.host_list.revision,
                },
            )
        self._budgets.set_share(share, self._clock.now_ms())

    def _warm_up_rates(self) -> Mapping[str, float]:
        table = self._registry.table
        return {} if table is None else table.warm_up_per_s

    def _max_connections(self, upstream: upstream_entries.Upstream) -> int:
        table = self._registry.table
        accepted = table and table.connections.get(upstream.service)
        if not accepted:
            return upstream.slots
        share = self._power_share
        if share is None:
            share = 1.0 / self._host_count()
        return max(1, int(CONNECTIONS_SHARE * accepted * share))

    def _accepting_upstreams(self) -> list[upstream_entries.Upstream]:
        """Returns all upstreams that accept new requests."""
        ready = (
            each
            for each in self._registry.upstreams.values()
            if not each.is_leaving
        )
        return self._evacuations.outside(self._notices.available(ready))

    async def _try_connect(
        self, upstream: upstream_entries.Upstream, timeout_ms: float
    ) -> bool:
        pool = self._pools.get(upstream, self._max_connections(upstream))
        return await pool.try_connect(timeout_ms)

    def _update_power(self) -> None:
        """Takes in how much computing power the hosts have."""
        own = self._own_state.address
        hosts = [state.address for state in self._fleet.known_hosts()]
        self._power_share = host_selection.power_share_of(
            own, hosts, self._settings.gateway.min_relative_power
        )
        max_power = self._settings.learning.max_cores * _MILLICORES
        self._capacities.is_active |= any(
            0 < host.power_millicores < max_power for host in (own, *hosts)
        )

    async def _tick_budgets(self) -> None:
        while True:
            self._budgets.tick(self._clock.now_ms())
            await asyncio.sleep(_BUDGET_TICK_INTERVAL_S)

    async def _refresh_proof(self) -> None:
        """Asks for a newer proof of the configuration when it gets old."""
        bound_ms = self._freshness.bound_ms
        assert bound_ms is not None
        refresh = proof_refresh.ProofRefresh(bound_ms, self._rng)
        while True:
            await asyncio.sleep(_PROOF_CHECK_INTERVAL_S)
            self._freshness.is_proven()  # Logs a change also without requests.
            step = refresh.next_step(
                self._clock.now_ms(),
                self._freshness.age_ms,
                self._fleet.count_known(),
            )
            if step is proof_refresh.Step.ASK_PEERS:
                self._exchange.request_round()
            elif step is proof_refresh.Step.ASK_STORE:
                await self._read_proof()

    async def _read_proof(self) -> None:
        if self._registry.table is None:
            # There is no configuration to prove yet.
            return
        age_ms = self._freshness.known_age_ms
        failure = await self._reader.read_routes()
        log.info(
            "asked the store for a proof of the configuration",
            extra={
                "proof_age_ms": age_ms,
                "new_age_ms": self._freshness.known_age_ms,
                "failure": failure,
            },
        )

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)
            self._update_burst_share()
            self._update_power()
            self._evict_stale()

    def _evict_stale(self) -> None:
        """Drops the state of upstreams and routes that no longer exist."""
        incarnations = {
            upstream.incarnation
            for upstream in self._registry.upstreams.values()
        }
        self._pools.close_stale(incarnations)
        self._notices.evict_expired()
        self._limits.retain_only(incarnations)
        self._budgets.evict_unused(self._clock.now_ms())
        self._tools.precedence.evict_idle(self._clock.now_ms())
        if self._registry.table is not None:
            self._runner.retain_only(self._registry.table.configuration)
        self._scores.retain_only(incarnations)
        self._capacities.retain_only(incarnations)


class _MetricsHandler(server.Handler):
    """Serves the metrics endpoint."""

    def __init__(self, metrics: metrics_lib.Metrics) -> None:
        self._metrics = metrics

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers any request with the current metrics."""
        del request
        return messages.Response(
            200,
            ((b"Content-Type", b"text/plain; charset=utf-8"),),
            self._metrics.exposition(),
        )


async def _listen(
    stack: contextlib.AsyncExitStack, listener: server.Server, endpoint: str
) -> None:
    address, _, port = endpoint.rpartition(":")
    try:
        await listener.start(address, int(port))
    except OSError as error:
        raise exceptions.ListenError(
            f"can't listen on {endpoint}: {error}"
        ) from error
    stack.callback(listener.close)


async def _flush_logs(handler: logs.BufferedHandler) -> None:
    while True:
        await asyncio.sleep(_LOG_FLUSH_INTERVAL_S)
        handler.flush_without_blocking()


def _run_in_background(
    stack: contextlib.AsyncExitStack,
    work: "asyncio._CoroutineLike[None]",
) -> None:
    task = asyncio.get_running_loop().create_task(work)
    task.add_done_callback(_exit_on_failure)
    stack.callback(task.cancel)


def _exit_on_failure(task: "asyncio.Task[None]") -> None:
    """Ends the process if a background task has failed.

    Without its background tasks a host would serve increasingly stale data,
    whereas a new process starts from current data.
    """
    if not task.cancelled() and task.exception() is not None:
        log.critical(
            "background task failed; ending the process",
            exc_info=task.exception(),
        )
        for handler in logging.getLogger().handlers:
            handler.flush()
        os._exit(EXIT_FAILURE)


def _reload(path: pathlib.Path) -> None:
    """Reloads the settings; only the log level takes effect while running."""
    try:
        settings = config.GatewaySettings.from_file(path)
    except exceptions.ConfigError as error:
        log.error(
            "settings are invalid; keeping the previous ones",
            extra={"reason": str(error)},
        )
        return
    logging.getLogger().setLevel(settings.logs.level)
    log.info("settings reloaded", extra={"level": settings.logs.level})
