"""Pools of connections to upstreams, limited to this host's share."""

import asyncio
from collections.abc import Awaitable, Callable, Set
import logging

from greengagedale import clocks
from greengagedale import descriptors
from greengagedale.gateway import evacuations as evacuations_lib
from greengagedale.gateway import reachability as reachability_lib
from greengagedale.gateway import upstream_entries
from greengagedale.gateway import upstream_notices as notices_lib
from greengagedale.http1 import client

log = logging.getLogger(__name__)

# Opening takes 1 to 6 ms on the platform; a lost machine never answers.
CONNECT_TIMEOUT_MS = 400.0
# Maximum idle time of connections without an advertised keep-alive time.
DEFAULT_KEEP_ALIVE_MS = 4000.0
# Advertised keep-alive times are shortened by this, for a request in transit.
KEEP_ALIVE_MARGIN_MS = 400.0
_MS_PER_S = 1000.0

# Opens a connection to an address and port within a time in seconds.
Connect = Callable[
    [str, int, float, client.ReplyLimits], Awaitable[client.Connection]
]


class UpstreamNotAcceptingError(Exception):
    """Raised if the upstream must get no new requests."""


class ConnectionPool:
    """Connections to one incarnation of an upstream.

    Attributes:
        max_connections: Number of connections that this host may open.
    """

    def __init__(
        self,
        upstream: upstream_entries.Upstream,
        max_connections: int,
        notices: notices_lib.UpstreamNotices,
        evacuations: evacuations_lib.Evacuations,
        limits: client.ReplyLimits,
        reachability: reachability_lib.Reachability,
        connect: Connect,
        clock: clocks.Clock,
    ) -> None:
        self.upstream = upstream
        self.max_connections = max_connections
        self._limits = limits
        self._notices = notices
        self._evacuations = evacuations
        self._reachability = reachability
        self._connect = connect
        self._clock = clock
        self._idle: list[client.Connection] = []
        self._open_count = 0
        self._released: asyncio.Event = asyncio.Event()

    async def acquire(
        self,
        max_idle_ms: float,
        excluded: Set[client.Connection] = frozenset(),
    ) -> client.Connection:
        """Returns an idle connection, or opens one if none is idle.

        Waits for a connection while the maximum is open.

        Args:
            max_idle_ms: Maximum idle time of a connection to reuse.
            excluded: Connections that are not returned. An idle one is closed
                if no other can be opened otherwise.

        Raises:
            OSError: No connection could be opened in time.
            UpstreamNotAcceptingError: The upstream accepts no new requests or
                is evacuated; this may become known while waiting.
        """
        while True:
            self._check_accepting()
            connection = self._take_idle(max_idle_ms, excluded)
            if connection is not None:
                return connection
            if self._idle and self._open_count >= self.max_connections:
                self._close(self._idle.pop(0))
            if self._open_count < self.max_connections:
                connection = await self._open()
                try:
                    self._check_accepting()
                except UpstreamNotAcceptingError:
                    self.release(connection)
                    raise
                return connection
            self._released.clear()
            await self._released.wait()

    async def try_connect(self, timeout_ms: float) -> bool:
        """Opens a connection, which is kept if the maximum is not open.

        Returns:
            Whether it could be opened within a time in ms.
        """
        try:
            connection = await self._open(timeout_ms)
        except OSError:
            return False
        if self._open_count > self.max_connections:
            connection.close()
        self.release(connection)
        return True

    def release(self, connection: client.Connection) -> None:
        """Returns a connection to the pool, or closes it if unusable."""
        if connection.is_usable:
            connection.last_used_ms = self._clock.now_ms()
            self._idle.append(connection)
        else:
            self._close(connection)
        self._released.set()

    def wake_waiters(self) -> None:
        """Makes waiting tasks check again whether requests are accepted."""
        self._released.set()

    def close_stale(self) -> None:
        """Closes connections that have been idle for too long."""
        fresh = []
        for connection in self._idle:
            if self._is_fresh(connection, float("inf")):
                fresh.append(connection)
            else:
                self._close(connection)
        self._idle = fresh
        self._released.set()

    def close(self) -> None:
        """Closes all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            self._close(connection)

    def _close(self, connection: client.Connection) -> None:
        connection.close()
        self._open_count -= 1

    def _check_accepting(self) -> None:
        if not self._notices.accepts_work(
            self.upstream
        ) or self._evacuations.is_evacuated(self.upstream):
            raise UpstreamNotAcceptingError(self.upstream.name)

    async def _open(
        self, timeout_ms: float = CONNECT_TIMEOUT_MS
    ) -> client.Connection:
        self._open_count += 1
        try:
            connection = await self._connect(
                self.upstream.address,
                self.upstream.port,
                timeout_ms / _MS_PER_S,
                self._limits,
            )
        except BaseException as error:
            self._open_count -= 1
            self._released.set()
            if isinstance(error, OSError) and not descriptors.is_shortage(
                error
            ):
                self._record_connect(is_open=False)
            raise
        self._record_connect(is_open=True)
        return connection

    def _record_connect(self, is_open: bool) -> None:
        self._reachability.record_connect(self._clock.now_ms(), is_open)

    def _take_idle(
        self, max_idle_ms: float, excluded: Set[client.Connection]
    ) -> client.Connection | None:
        for connection in reversed([*self._idle]):
            if connection in excluded:
                continue
            self._idle.remove(connection)
            if self._is_fresh(connection, max_idle_ms):
                return connection
            self._close(connection)
        return None

    def _is_fresh(
        self, connection: client.Connection, max_idle_ms: float
    ) -> bool:
        advertised_ms = connection.keep_alive_ms
        keep_ms = (
            DEFAULT_KEEP_ALIVE_MS
            if advertised_ms is None
            else max(0.0, advertised_ms - KEEP_ALIVE_MARGIN_MS)
        )
        idle_ms = self._clock.now_ms() - connection.last_used_ms
        return connection.is_usable and idle_ms < min(keep_ms, max_idle_ms)


class ConnectionPools:
    """The connection pools of all upstreams.

    Attributes:
        connect: Opens connections.
    """

    def __init__(
        self,
        notices: notices_lib.UpstreamNotices,
        evacuations: evacuations_lib.Evacuations,
        limits: client.ReplyLimits,
        clock: clocks.Clock,
        reachability: reachability_lib.Reachability | None = None,
    ) -> None:
        self._reachability = reachability or reachability_lib.Reachability()
        self.connect: Connect = client.Connection.open
        self._notices = notices
        self._evacuations = evacuations
        self._limits = limits
        self._clock = clock
        self._pools: dict[
            upstream_entries.UpstreamIncarnation, ConnectionPool
        ] = {}
        notices.on_unavailable = self._wake
        evacuations.listeners.append(self._wake_evacuated)

    def get(
        self, upstream: upstream_entries.Upstream, max_connections: int
    ) -> ConnectionPool:
        """Returns the pool of an upstream; creates it if needed.

        Args:
            upstream: The upstream.
            max_connections: Number of connections that this host may open.
        """
        pool = self._pools.get(upstream.incarnation)
        if pool is None:
            pool = ConnectionPool(
                upstream,
                max_connections,
                self._notices,
                self._evacuations,
                self._limits,
                self._reachability,
                self._open_connection,
                self._clock,
            )
            self._pools[upstream.incarnation] = pool
        pool.max_connections = max_connections
        return pool

    async def _open_connection(
        self,
        address: str,
        port: int,
        timeout_s: float,
        limits: client.ReplyLimits,
    ) -> client.Connection:
        return await self.connect(address, port, timeout_s, limits)

    def _wake(self, incarnation: upstream_entries.UpstreamIncarnation) -> None:
        pool = self._pools.get(incarnation)
        if pool is not None:
            pool.wake_waiters()

    def _wake_evacuated(
        self, began: frozenset[str], ended: frozenset[str]
    ) -> None:
        del ended
        for pool in self._pools.values():
            if pool.upstream.data_centre in began:
                pool.wake_waiters()

    def close_stale(
        self, incarnations: set[upstream_entries.UpstreamIncarnation]
    ) -> None:
        """Closes stale connections, and the pools of unlisted incarnations.

        Args:
            incarnations: Upstream incarnations whose pools are kept.
        """
        for incarnation in [
            incarnation
            for incarnation in self._pools
            if incarnation not in incarnations
        ]:
            self._pools.pop(incarnation).close()
        for pool in self._pools.values():
            pool.close_stale()

    def close(self) -> None:
        """Closes all idle connections."""
        for pool in self._pools.values():
            pool.close()
