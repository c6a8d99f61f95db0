"""Keeps this host's configuration current from the platform and peers."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
import logging
import random
from typing import Self

import msgspec

from greengagedale import configuration
from greengagedale import configuration_assembly
from greengagedale import configuration_metrics
from greengagedale.catalog import catalogs
from greengagedale.catalog import services
from greengagedale.config import settings as settings_lib
from greengagedale.membership import messages
from greengagedale.peers import base as peers_base
from greengagedale.store import base as store_base

log = logging.getLogger(__name__)

SOURCE_PLATFORM = "platform"
SOURCE_PEER = "peer"

_INITIAL_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 2.0
_PEER_CHECK_INTERVAL_S = 0.1
_FAILED_FETCH_DELAY_S = 0.5
_MAX_SEEDS_QUERIED = 4
_NO_REVISION = -1

HealthyHosts = Callable[[], Mapping[str, messages.PeerStatus]]


class _Backoff:
    """Exponential backoff with jitter between failed calls."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._delay_s = _INITIAL_BACKOFF_S

    def reset(self) -> None:
        self._delay_s = _INITIAL_BACKOFF_S

    async def wait(self) -> None:
        delay_s = self._delay_s
        self._delay_s = min(_MAX_BACKOFF_S, delay_s * 2)
        await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.0))


class ConfigurationFollower:
    """Keeps configuration and services up to date until cancelled."""

    def __init__(
        self,
        store: store_base.ObjectStore,
        peers: peers_base.PeerTransport,
        active_configuration: configuration.ActiveConfiguration,
        healthy_hosts: HealthyHosts,
        seeds: list[str],
        wait_ms: int,
        rng: random.Random,
        metrics: configuration_metrics.ConfigurationMetrics,
    ) -> None:
        """Creates a follower.

        Args:
            store: The platform's object API.
            peers: Transport to other hosts.
            active_configuration: The configuration that this host uses.
            healthy_hosts: Returns the status of the hosts that answer
                probes, by peer endpoint.
            seeds: Hosts to query while no host is known to be healthy.
            wait_ms: Longest wait of a watch.
            rng: Source of jitter and of the choice of hosts.
            metrics: Metrics to update.
        """
        self._store = store
        self._peers = peers
        self._active_configuration = active_configuration
        self._healthy_hosts = healthy_hosts
        self._seeds = seeds
        self._wait_ms = wait_ms
        self._rng = rng
        self._metrics = metrics
        self._assembler = configuration_assembly.Assembler(active_configuration)
        self._platform = configuration_assembly.PlatformSource(store)
        self._platform_revision = 0

    @classmethod
    def from_config(
        cls,
        settings: settings_lib.Settings,
        store: store_base.ObjectStore,
        peers: peers_base.PeerTransport,
        active_configuration: configuration.ActiveConfiguration,
        healthy_hosts: HealthyHosts,
        metrics: configuration_metrics.ConfigurationMetrics,
    ) -> Self:
        """Creates the follower of a host from its settings."""
        own_endpoint = f"{settings.host.address}:{settings.host.peer_port}"
        return cls(
            store,
            peers,
            active_configuration,
            healthy_hosts,
            [seed for seed in settings.peers.seeds if seed != own_endpoint],
            settings.platform.watch_wait_ms,
            random.Random(),
            metrics,
        )

    async def run(self) -> None:
        """Follows the catalog, services and peers until cancelled."""
        await self._log_errors(self._fetch_from_seeds)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._restart_on_error(self._follow_catalog))
            group.create_task(self._restart_on_error(self._follow_services))
            group.create_task(self._restart_on_error(self._follow_peers))

    async def _restart_on_error(
        self, follow: Callable[[], Awaitable[None]]
    ) -> None:
        """Restarts `follow` after a delay, so that no error stops it."""
        while True:
            await self._log_errors(follow)
            await asyncio.sleep(_MAX_BACKOFF_S)

    async def _log_errors(self, follow: Callable[[], Awaitable[None]]) -> None:
        try:
            await follow()
        except Exception:
            self._metrics.rejected.labels("internal").inc()
            log.exception("following the configuration failed")

    async def _fetch_from_seeds(self) -> None:
        """Fetches configuration and services from seeds before the platform.

        A stale read from the platform then can't revert a restarted host to
        an older revision.
        """
        count = min(_MAX_SEEDS_QUERIED, len(self._seeds))
        chosen = self._rng.sample(self._seeds, count)
        await asyncio.gather(
            *(self._fetch_catalog_from_peer(e) for e in chosen)
        )
        await asyncio.gather(
            *(self._fetch_services_from_peer(e) for e in chosen)
        )

    async def _follow_catalog(self) -> None:
        cursor = 0
        backoff = _Backoff(self._rng)
        while True:
            changes = await self._store.watch(
                catalogs.KIND_CATALOG, cursor, self._wait_ms
            )
            if isinstance(changes, store_base.Unavailable):
                # The watch may be unanswered while reads still work.
                if await self._read_catalog():
                    backoff.reset()
                await backoff.wait()
                continue
            values = [
                item.value
                for item in changes.objects
                if item.name == catalogs.CATALOG_NAME
            ]
            if not all(
                [await self._apply_catalog(v, SOURCE_PLATFORM) for v in values]
            ):
                await backoff.wait()
                continue
            backoff.reset()
            if cursor == 0 and not values:
                self._active_configuration.configuration_known = True
            cursor = changes.cursor
            self._mark_current_if_latest()

    async def _read_catalog(self) -> bool:
        """Reads the newest catalog; returns whether it could be processed."""
        found = await self._store.get(
            catalogs.KIND_CATALOG, catalogs.CATALOG_NAME
        )
        if isinstance(found, store_base.Unavailable):
            return False
        if isinstance(found, store_base.NotFound):
            self._active_configuration.configuration_known = True
        elif not await self._apply_catalog(found.stored.value, SOURCE_PLATFORM):
            return False
        self._mark_current_if_latest()
        return True

    def _mark_current_if_latest(self) -> None:
        if (
            self._platform_revision
            >= self._active_configuration.current.revision
        ):
            self._active_configuration.mark_current()

    async def _apply_catalog(
        self,
        value: bytes,
        source_label: str,
        source: configuration_assembly.DocumentSource | None = None,
    ) -> bool:
        """Activates a catalog if it is newer; returns False to retry later."""
        result = await self._assembler.assemble(value, source or self._platform)
        if isinstance(result, configuration_assembly.Incomplete):
            self._metrics.rejected.labels("incomplete").inc()
            return False
        if isinstance(result, configuration_assembly.Unreadable):
            self._metrics.rejected.labels("unreadable").inc()
            log.error(
                "catalog from %s could not be decoded; ignoring it: %s",
                source_label,
                result.detail,
            )
            return True
        if source_label == SOURCE_PLATFORM:
            self._platform_revision = max(
                self._platform_revision, result.revision
            )
        self._active_configuration.configuration_known = True
        if self._active_configuration.apply_if_newer(result):
            self._metrics.applied.labels(source_label).inc()
        return True

    async def _follow_peers(self) -> None:
        """Fetches newer configuration from other hosts.

        A host is queried only if this one was behind at two checks in a row,
        which leaves time for the watch to deliver the same revision.
        """
        was_behind = False
        while True:
            await asyncio.sleep(_PEER_CHECK_INTERVAL_S)
            ahead = self._hosts_ahead()
            if ahead and was_behind:
                await self._catch_up(ahead)
            was_behind = bool(ahead)

    def _hosts_ahead(self) -> list[str]:
        """Returns the hosts with the highest revision, if above this host's."""
        healthy_hosts = self._healthy_hosts()
        highest = max((s.revision for s in healthy_hosts.values()), default=0)
        if highest <= self._active_configuration.current.revision:
            return []
        return [e for e, s in healthy_hosts.items() if s.revision == highest]

    async def _catch_up(self, ahead: list[str]) -> None:
        revision_before = self._active_configuration.current.revision
        await self._fetch_catalog_from_peer(self._rng.choice(ahead))
        if self._active_configuration.current.revision == revision_before:
            await self._read_catalog()
        if self._active_configuration.current.revision == revision_before:
            await asyncio.sleep(_FAILED_FETCH_DELAY_S)

    async def _fetch_catalog_from_peer(self, endpoint: str) -> None:
        known_revision = (
            self._active_configuration.current.revision
            if self._active_configuration.configuration_known
            else _NO_REVISION
        )
        shared = await self._peers.catalog(endpoint, known_revision)
        if shared is None:
            return
        source = configuration_assembly.PeerSource(self._peers, endpoint)
        if shared.value and not await self._apply_catalog(
            shared.value, SOURCE_PEER, source
        ):
            return
        same = shared.revision == self._active_configuration.current.revision
        if same and shared.age_ms is not None:
            self._active_configuration.mark_current(shared.age_ms)

    async def _follow_services(self) -> None:
        cursor = 0
        backoff = _Backoff(self._rng)
        while True:
            changes = await self._store.watch(
                services.KIND_SERVICE, cursor, self._wait_ms
            )
            if isinstance(changes, store_base.Unavailable):
                await self._fetch_services_without_watch()
                await backoff.wait()
                continue
            backoff.reset()
            cursor = changes.cursor
            self._apply_services(changes.objects)

    async def _fetch_services_without_watch(self) -> None:
        endpoints = list(self._healthy_hosts()) or self._seeds
        fetched = endpoints and await self._fetch_services_from_peer(
            self._rng.choice(endpoints)
        )
        if not fetched:
            await self._fetch_services_from_platform()

    async def _fetch_services_from_peer(self, endpoint: str) -> bool:
        shared = await self._peers.services(
            endpoint, self._active_configuration.service_versions()
        )
        if shared is None:
            return False
        for item in shared:
            self._apply_service(item)
        self._active_configuration.services_known = True
        return True

    async def _fetch_services_from_platform(self) -> None:
        names = await self._store.list_names(services.KIND_SERVICE)
        if isinstance(names, store_base.Unavailable):
            return
        found = [
            await self._store.get(services.KIND_SERVICE, name) for name in names
        ]
        if any(isinstance(item, store_base.Unavailable) for item in found):
            return
        self._apply_services(
            [i.stored for i in found if isinstance(i, store_base.Found)]
        )

    def _apply_services(self, objects: list[store_base.StoredObject]) -> None:
        for item in objects:
            self._apply_service(
                configuration.StoredService(item.name, item.version, item.value)
            )
        self._active_configuration.services_known = True

    def _apply_service(self, candidate: configuration.StoredService) -> None:
        try:
            self._active_configuration.apply_service_if_newer(candidate)
        except msgspec.DecodeError as error:
            self._metrics.rejected.labels("unreadable_service").inc()
            log.error(
                "service %s could not be decoded; ignoring it: %s",
                candidate.name,
                error,
            )
