"""Runs the membership protocol and keeps the directory of entry hosts."""

import asyncio
import collections
from collections.abc import Callable, Iterable
import logging
import random
import time
from typing import Self

from greengagedale import clocks
from greengagedale.config import settings as settings_lib
from greengagedale.membership import announcements
from greengagedale.membership import host_ranking
from greengagedale.membership import messages
from greengagedale.membership import swim as swim_lib
from greengagedale.peers import base as peers_base

log = logging.getLogger(__name__)

_MS_PER_S = 1000.0


class HostDirectory:
    """Runs the membership protocol and answers queries from its peer table."""

    def __init__(
        self,
        swim: swim_lib.Swim,
        options: swim_lib.Options,
        announcement_cache: announcements.AnnouncementCache,
        peers: peers_base.PeerTransport,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._swim = swim
        self._options = options
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._datagrams: peers_base.DatagramTransport | None = None
        self._table_requested = False
        self.announcement_cache = announcement_cache

    @classmethod
    def from_config(
        cls,
        settings: settings_lib.Settings,
        announcement_cache: announcements.AnnouncementCache,
        peers: peers_base.PeerTransport,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> Self:
        """Creates the directory of a host from its settings."""
        options = swim_lib.Options(
            bytes_per_s=settings.peers.max_bytes_per_s,
        )
        swim = swim_lib.Swim(
            _initial_status(settings),
            settings.peers.advertised_endpoint
            or f"{settings.host.address}:{settings.host.peer_port}",
            # The incarnation, above that of an earlier process. If the clock
            # was set back, refuting updates about that process raises it.
            int(time.time()),
            options,
            announcement_cache,
            rng,
            clock.now_ms(),
        )
        swim.set_join_candidates(settings.peers.seeds)
        return cls(swim, options, announcement_cache, peers, clock, rng)

    @property
    def healthy_hosts(self) -> dict[str, messages.PeerStatus]:
        """Status of the hosts that answer probes, by peer endpoint."""
        return {
            peer.update.endpoint: peer.update.status
            for peer in self._swim.table.peers.values()
            if peer.usable and peer.update.status is not None
        }

    @property
    def event_counts(self) -> dict[str, int]:
        """Number of occurrences of each event of the protocol."""
        malformed = self._datagrams.malformed if self._datagrams else 0
        return {**self._swim.counts, "malformed": malformed}

    def hosts_by_state(self) -> dict[str, int]:
        """Counts the other hosts by state."""
        members = self._swim.table.peers.values()
        return collections.Counter(
            "doubted" if m.locally_unreachable else m.update.state.name.lower()
            for m in members
        )

    def set_join_candidates(self, endpoints: Iterable[str]) -> None:
        """Replaces the endpoints at which other hosts may be reachable."""
        self._swim.set_join_candidates(endpoints)

    def peer_endpoint_of(self, name: str) -> str | None:
        """Returns the peer endpoint of the named host, None if unknown."""
        peer = self._swim.table.peers.get(name)
        return peer.update.endpoint if peer is not None else None

    def ranked_hosts(
        self, own_status: messages.PeerStatus, data_centre: str | None
    ) -> list[messages.PeerStatus]:
        """Returns the usable hosts, best first for a data centre."""
        usable_statuses = [own_status, *self._swim.usable()]
        return host_ranking.rank(usable_statuses, data_centre, self._rng)

    def members(self) -> list[messages.Update]:
        """Returns the known state of all hosts, including this one."""
        return self._swim.known_updates()

    def receive(self, datagram: messages.Datagram) -> list[messages.Outgoing]:
        """Processes a datagram and returns the replies to send."""
        return self._swim.receive(datagram)

    async def run(
        self,
        datagrams: peers_base.DatagramTransport,
        status: Callable[[], messages.PeerStatus],
    ) -> None:
        """Runs the protocol until cancelled, then announces that it leaves."""
        self._datagrams = datagrams
        try:
            while True:
                self._swim.set_status(status())
                datagrams.send(self._swim.tick(self._clock.now_ms()))
                await self._request_table_once()
                await asyncio.sleep(self._options.tick_ms / _MS_PER_S)
        finally:
            datagrams.send(self._swim.leave())

    async def _request_table_once(self) -> None:
        """Requests the full peer table once, from the first healthy host."""
        healthy_endpoints = list(self.healthy_hosts)
        if self._table_requested or not healthy_endpoints:
            return
        self._table_requested = True
        updates = await self._peers.members(healthy_endpoints[0])
        self._swim.merge_updates(updates or [])


def _initial_status(settings: settings_lib.Settings) -> messages.PeerStatus:
    host = settings.host
    return messages.PeerStatus(
        name=host.name,
        data_centre=host.data_centre,
        incarnation="",
        caller_endpoint=f"{host.address}:{host.caller_port}",
        revision=0,
        ready=False,
        leaving=False,
        running=0,
    )
