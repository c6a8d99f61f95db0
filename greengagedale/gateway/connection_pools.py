"""Connections to upstreams, within this host's share of what they accept."""

import asyncio
import logging

from greengagedale import clocks
from greengagedale.gateway import upstream_entries
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


class UpstreamNotAcceptingError(Exception):
    """The upstream has said that it takes nothing new."""


class ConnectionPool:
    """Connections to one life of an upstream.

    Attributes:
        most: Connections that this host may hold.
    """

    def __init__(
        self,
        upstream: upstream_entries.Upstream,
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

    async def acquire(self, newest_idle_ms: float) -> client.Connection:
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
                except UpstreamNotAcceptingError:
                    self.release(connection)
                    raise
                return connection
            self._freed.clear()
            await self._freed.wait()

    def release(self, connection: client.Connection) -> None:
        """Takes a connection back, to be used again if it may be."""
        if connection.is_usable:
            connection.used_ms = self._clock.now_ms()
            self._idle.append(connection)
        else:
            connection.close()
            self._held -= 1
        self._freed.set()

    def wake_waiters(self) -> None:
        """Lets those that wait look again whether the upstream takes work."""
        self._freed.set()

    def close_stale(self) -> None:
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
            raise UpstreamNotAcceptingError(self.upstream.name)

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


class ConnectionPools:
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
        self._pools: dict[
            upstream_entries.UpstreamIncarnation, ConnectionPool
        ] = {}
        notices.on_unavailable = self._wake

    def get(
        self, upstream: upstream_entries.Upstream, most: int
    ) -> ConnectionPool:
        """Returns the pool of an upstream.

        Args:
            upstream: Where its connections go.
            most: Connections that this host may hold.
        """
        pool = self._pools.get(upstream.incarnation)
        if pool is None:
            pool = ConnectionPool(
                upstream, most, self._notices, self._limits, self._clock
            )
            self._pools[upstream.incarnation] = pool
        pool.most = most
        return pool

    def _wake(self, incarnation: upstream_entries.UpstreamIncarnation) -> None:
        pool = self._pools.get(incarnation)
        if pool is not None:
            pool.wake_waiters()

    def close_stale(
        self, lives: set[upstream_entries.UpstreamIncarnation]
    ) -> None:
        """Closes idle connections that are too old or to lives not listed."""
        for incarnation in [
            incarnation
            for incarnation in self._pools
            if incarnation not in lives
        ]:
            self._pools.pop(incarnation).close()
        for pool in self._pools.values():
            pool.close_stale()

    def close(self) -> None:
        """Closes all idle connections."""
        for pool in self._pools.values():
            pool.close()
