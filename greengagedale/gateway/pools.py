"""Connections to upstreams, within this host's share of what they accept."""

import asyncio
import logging

from greengagedale import clocks
from greengagedale.gateway import entries
from greengagedale.gateway import upstream_notices as notices_lib
from greengagedale.http1 import client

log = logging.getLogger(__name__)

# Opening takes 1 to 6 ms on the platform; a machine that is gone never answers.
CONNECT_TIMEOUT_MS = 400.0
# Idle connections without a told keep-alive are used no longer than this.
DEFAULT_KEEP_ALIVE_MS = 4000.0
# Told keep-alive times are cut by this, for the time that a request travels.
KEEP_ALIVE_MARGIN_MS = 400.0
_MS_PER_S = 1000.0


class WorkUnwantedError(Exception):
    """The upstream has said that it takes nothing new."""


class Pool:
    """Connections to one life of an upstream.

    Attributes:
        most: Connections that this host may hold.
    """

    def __init__(
        self,
        upstream: entries.Upstream,
        most: int,
        notices: notices_lib.UpstreamNotices,
        limits: client.ReplyLimits,
        clock: clocks.Clock,
    ) -> None:
        self.upstream = upstream
        self.most = most
        self._limits = limits
        self._notices = notices
        self._clock = clock
        self._idle: list[client.Connection] = []
        self._held = 0
        self._freed: asyncio.Event = asyncio.Event()

    async def take(self, newest_idle_ms: float) -> client.Connection:
        """Returns a connection; opens one if none is idle.

        Args:
            newest_idle_ms: Idle connections that were last used longer ago
                than this are not taken.

        Raises:
            OSError: None can be opened, or not in time.
            WorkUnwantedError: The upstream says that it takes nothing new,
                perhaps while this waits.
        """
        while True:
            self._check_wanted()
            connection = self._take_idle(newest_idle_ms)
            if connection is not None:
                return connection
            if self._held < self.most:
                connection = await self._open()
                try:
                    self._check_wanted()
                except WorkUnwantedError:
                    self.give_back(connection)
                    raise
                return connection
            self._freed.clear()
            await self._freed.wait()

    def give_back(self, connection: client.Connection) -> None:
        """Takes a connection back, to be used again if it may be."""
        if connection.is_usable:
            connection.used_ms = self._clock.now_ms()
            self._idle.append(connection)
        else:
            connection.close()
            self._held -= 1
        self._freed.set()

    def wake(self) -> None:
        """Lets those that wait look again whether the upstream takes work."""
        self._freed.set()

    def sweep(self) -> None:
        """Closes connections that have been idle too long."""
        kept = []
        for connection in self._idle:
            if self._is_fresh(connection, float("inf")):
                kept.append(connection)
            else:
                connection.close()
                self._held -= 1
        self._idle = kept
        self._freed.set()

    def close(self) -> None:
        """Closes all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()
            self._held -= 1

    def _check_wanted(self) -> None:
        if not self._notices.accepts_work(self.upstream):
            raise WorkUnwantedError(self.upstream.name)

    async def _open(self) -> client.Connection:
        self._held += 1
        try:
            connection = await client.Connection.open(
                self.upstream.address,
                self.upstream.port,
                CONNECT_TIMEOUT_MS / _MS_PER_S,
                self._limits,
            )
        except BaseException:
            self._held -= 1
            self._freed.set()
            raise
        return connection

    def _take_idle(self, newest_idle_ms: float) -> client.Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if self._is_fresh(connection, newest_idle_ms):
                return connection
            connection.close()
            self._held -= 1
        return None

    def _is_fresh(
        self, connection: client.Connection, newest_idle_ms: float
    ) -> bool:
        told_ms = connection.keep_alive_ms
        keep_ms = (
            DEFAULT_KEEP_ALIVE_MS
            if told_ms is None
            else max(0.0, told_ms - KEEP_ALIVE_MARGIN_MS)
        )
        idle_ms = self._clock.now_ms() - connection.used_ms
        return connection.is_usable and idle_ms < min(keep_ms, newest_idle_ms)


class Pools:
    """The pools of all upstreams."""

    def __init__(
        self,
        notices: notices_lib.UpstreamNotices,
        limits: client.ReplyLimits,
        clock: clocks.Clock,
    ) -> None:
        self._notices = notices
        self._limits = limits
        self._clock = clock
        self._pools: dict[entries.Life, Pool] = {}
        notices.on_unavailable = self._wake

    def of(self, upstream: entries.Upstream, most: int) -> Pool:
        """Returns the pool of an upstream.

        Args:
            upstream: Where its connections go.
            most: Connections that this host may hold.
        """
        pool = self._pools.get(upstream.life)
        if pool is None:
            pool = Pool(
                upstream, most, self._notices, self._limits, self._clock
            )
            self._pools[upstream.life] = pool
        pool.most = most
        return pool

    def _wake(self, life: entries.Life) -> None:
        pool = self._pools.get(life)
        if pool is not None:
            pool.wake()

    def sweep(self, lives: set[entries.Life]) -> None:
        """Closes idle connections that are too old or to lives not listed."""
        for life in [life for life in self._pools if life not in lives]:
            self._pools.pop(life).close()
        for pool in self._pools.values():
            pool.sweep()

    def close(self) -> None:
        """Closes all idle connections."""
        for pool in self._pools.values():
            pool.close()
