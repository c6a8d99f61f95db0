"""Pool of channels to one upstream, each used by one request at a time.

The connection pool of aiohttp does not allow a caller to discard a particular
connection, so each channel is a session with a single connection. A channel
whose request was cancelled or failed is closed and never reused.
"""

import asyncio
from collections.abc import Callable
import contextlib
from typing import NamedTuple, Self

import aiohttp

from greengagedale import connectors
from greengagedale import http_bodies

_MS_PER_S = 1000.0
_KEEP_ALIVE_S = 3600.0
_MAX_IDLE = 16
_PROBE_TIMEOUT_S = 0.25
_MIN_WARM_UP_PAUSE_S = 0.1
_MAX_WARM_UP_PAUSE_S = 5.0
_STATUS_OK = 200


class ChannelOptions(NamedTuple):
    """Options of channels.

    Attributes:
        headers: Headers that are sent with every request.
        connect_timeout_ms: Timeout for opening a connection.
        spare_channels: Number of idle channels to keep open for an upstream.
    """

    headers: dict[str, str]
    connect_timeout_ms: int
    spare_channels: int


class Channel:
    """A session with one connection, which its first request opens.

    Attributes:
        session: Session that owns the connection.
        is_new: Whether no answer has been received on the connection yet.
    """

    __slots__ = ("is_new", "session")

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.is_new = True

    @classmethod
    def from_config(cls, options: ChannelOptions) -> Self:
        """Creates a channel; must be called in a running event loop."""
        connect_s = options.connect_timeout_ms / _MS_PER_S
        return cls(
            aiohttp.ClientSession(
                connector=connectors.DirectConnector(
                    limit=1, keepalive_timeout=_KEEP_ALIVE_S
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=connect_s
                ),
                headers=options.headers,
            )
        )


class ChannelPool:
    """Pool of the channels to one upstream."""

    def __init__(
        self,
        probe_url: str,
        options: ChannelOptions,
        run_in_background: Callable[["asyncio._CoroutineLike[None]"], None],
    ) -> None:
        self._probe_url = probe_url
        self._options = options
        self._run_in_background = run_in_background
        self._idle: list[Channel] = []
        self._is_warming_up = False
        self._warm_up_pause_s = 0.0
        self._warm_up_not_before_s = 0.0

    def acquire(self, force_new: bool = False) -> Channel:
        """Returns the most recently used idle channel, or a new one.

        Args:
            force_new: Whether to open a new channel even if one is idle.
        """
        use_idle = self._idle and not force_new
        channel = self._idle.pop() if use_idle else self._new_channel()
        self._warm_up_if_short()
        return channel

    def release(self, channel: Channel) -> None:
        """Returns a channel to the pool after a complete answer."""
        channel.is_new = False
        if len(self._idle) < _MAX_IDLE:
            self._idle.append(channel)
        else:
            self.discard(channel)

    def discard(self, channel: Channel) -> None:
        """Closes a channel that must not be reused."""
        self._run_in_background(channel.session.close())
        self._warm_up_if_short()

    async def warm_up(self) -> None:
        """Opens channels until enough idle ones have passed a probe.

        After a failed probe no channels are opened for a while, because the
        upstream may be down, or this host too busy to read the answer in time.
        """
        if self._is_warming_up:
            return
        self._is_warming_up = True
        try:
            for _ in range(2 * self._options.spare_channels):
                if len(self._idle) >= self._options.spare_channels:
                    break
                if not await self._probe(self._new_channel()):
                    self._pause_warm_up()
                    break
                self._warm_up_pause_s = 0.0
        finally:
            self._is_warming_up = False

    async def probe_oldest_idle(self) -> None:
        """Probes the channel that has been idle for the longest time."""
        if self._idle:
            await self._probe(self._idle.pop(0))

    async def close(self) -> None:
        """Closes all idle channels."""
        idle, self._idle = self._idle, []
        for channel in idle:
            await channel.session.close()

    def _new_channel(self) -> Channel:
        return Channel.from_config(self._options)

    def _warm_up_if_short(self) -> None:
        if (
            self._is_warming_up
            or len(self._idle) >= self._options.spare_channels
        ):
            return
        if asyncio.get_running_loop().time() >= self._warm_up_not_before_s:
            self._run_in_background(self.warm_up())

    def _pause_warm_up(self) -> None:
        doubled_s = max(_MIN_WARM_UP_PAUSE_S, 2 * self._warm_up_pause_s)
        self._warm_up_pause_s = min(_MAX_WARM_UP_PAUSE_S, doubled_s)
        now_s = asyncio.get_running_loop().time()
        self._warm_up_not_before_s = now_s + self._warm_up_pause_s

    async def _probe(self, channel: Channel) -> bool:
        """Adds a channel to the idle ones if it answers a probe in time.

        Otherwise the channel is closed. Returns whether the probe succeeded.
        """
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                async with channel.session.get(self._probe_url) as response:
                    await http_bodies.read_body(
                        response, http_bodies.MAX_UPSTREAM_BODY_BYTES
                    )
            if response.status == _STATUS_OK:
                channel.is_new = False
                self._idle.insert(0, channel)
                return True
        await channel.session.close()
        return False
