"""Detects leaving upstreams by health checks and from the platform's list.

Each upstream is polled by one host only, its owner on the hash ring; other
hosts learn of its state from announcements.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping
import itertools
import logging

from greengagedale.catalog import services as services_lib
from greengagedale.membership import drains as drains_lib
from greengagedale.membership import hash_ring
from greengagedale.upstreams import base as upstreams_base

log = logging.getLogger(__name__)

_PLATFORM_INTERVAL_S = 0.2
_MS_PER_S = 1000.0


class DrainMonitor:
    """Reports leaving upstreams to the drain tracker of one host."""

    def __init__(
        self,
        drains: drains_lib.DrainTracker,
        services: Callable[[], Mapping[str, services_lib.Service]],
        transport: upstreams_base.UpstreamTransport,
        own_name: str,
        other_hosts: Callable[[], Iterable[str]],
        poll_interval_ms: int,
    ) -> None:
        self._drains = drains
        self._services = services
        self._transport = transport
        self._own_name = own_name
        self._other_hosts = other_hosts
        self._poll_interval_s = poll_interval_ms / _MS_PER_S
        self._ring_hosts = frozenset([own_name])
        self._ring = hash_ring.HashRing(self._ring_hosts)

    async def follow_platform(self) -> None:
        """Reports upstreams that the platform lists as leaving.

        Runs until cancelled.
        """
        while True:
            self._drains.on_platform_list(
                item.name for item in self._upstreams() if item.leaving
            )
            await asyncio.sleep(_PLATFORM_INTERVAL_S)

    async def poll(self) -> None:
        """Polls the health of the upstreams that this host owns.

        Runs until cancelled.
        """
        async with asyncio.TaskGroup() as group:
            while True:
                ring = self._current_ring()
                owned = [
                    item
                    for item in self._upstreams()
                    if ring.owner_of(item.name) == self._own_name
                ]
                # Requests are spread over the interval, so that none is
                # delayed by a burst.
                pause_s = self._poll_interval_s / max(1, len(owned))
                for item in owned:
                    group.create_task(self._request_health(item))
                    await asyncio.sleep(pause_s)
                if not owned:
                    await asyncio.sleep(self._poll_interval_s)

    def _current_ring(self) -> hash_ring.HashRing:
        hosts = frozenset([self._own_name, *self._other_hosts()])
        if hosts != self._ring_hosts:
            self._ring_hosts = hosts
            self._ring = hash_ring.HashRing(hosts)
        return self._ring

    async def _request_health(self, upstream: upstreams_base.Upstream) -> None:
        health = await self._transport.health(upstream)
        if health is not None:
            self._drains.on_health_report(upstream.name, health.state)

    def _upstreams(self) -> Iterable[upstreams_base.Upstream]:
        return itertools.chain.from_iterable(
            service.upstreams.values() for service in self._services().values()
        )
