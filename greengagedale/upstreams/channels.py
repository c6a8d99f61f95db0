"""Connections to one upstream, each owned by one request at a time.

The client library's own pool does not let a caller say which connection is
suspect, so each channel is a session with one connection. A channel whose
request was cancelled or failed is closed and never used again.
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
    """How channels are made.

    Attributes:
        headers: Sent with every request.
        connect_timeout_ms: How long a connection may take to open.
        spare: Idle channels that are kept open for an upstream.
    """

    headers: dict[str, str]
    connect_timeout_ms: int
    spare_channels: int


class Channel:
    """One connection, opened by its first request.

    Attributes:
        session: Holds the connection.
        is_new: Whether no answer has come on it yet.
    """

    __slots__ = ("is_new", "session")

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.is_new = True

    @classmethod
    def from_config(cls, options: ChannelOptions) -> Self:
        """Makes a channel; must be called on a running loop."""
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
    """The channels to one upstream."""

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
        """Returns the channel that was used last, or a new one.

        Args:
            force_new: Whether to open a new channel even if one is idle.
        """
        use_idle = self._idle and not force_new
        channel = self._idle.pop() if use_idle else self._new_channel()
        self._warm_up_if_short()
        return channel

    def release(self, channel: Channel) -> None:
        """Takes back a channel whose request has its whole answer."""
        channel.is_new = False
        if len(self._idle) < _MAX_IDLE:
            self._idle.append(channel)
        else:
            self.discard(channel)

    def discard(self, channel: Channel) -> None:
        """Closes a channel for good."""
        self._run_in_background(channel.session.close())
        self._warm_up_if_short()

    async def warm_up(self) -> None:
        """Opens channels until there are enough that proved to work.

        After one that did not, no more are opened for a while: the upstream
        may be down, or this host too busy to take its answer in time.
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
        """Probes the channel that has been idle longest."""
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
        """Makes a channel idle if a request on it is answered in time."""
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                async with channel.session.get(self._probe_url) as response:
                    await http_bodies.read_whole(
                        response, http_bodies.MOST_UPSTREAM_BYTES
                    )
            if response.status == _STATUS_OK:
                channel.is_new = False
                self._idle.insert(0, channel)
                return True
        await channel.session.close()
        return False
