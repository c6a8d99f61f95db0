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
_MOST_IDLE = 16
_PROBE_TIMEOUT_S = 0.25
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 5.0
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
    spare: int


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
        in_background: Callable[["asyncio._CoroutineLike[None]"], None],
    ) -> None:
        self._probe_url = probe_url
        self._options = options
        self._in_background = in_background
        self._idle: list[Channel] = []
        self._is_warming = False
        self._pause_s = 0.0
        self._warm_again_s = 0.0

    def take(self, fresh: bool = False) -> Channel:
        """Returns the channel that was used last, or a new one.

        Args:
            fresh: Whether it must be a new one.
        """
        use_idle = self._idle and not fresh
        channel = self._idle.pop() if use_idle else self._new()
        self._warm_if_short()
        return channel

    def give_back(self, channel: Channel) -> None:
        """Takes back a channel whose request has its whole answer."""
        channel.is_new = False
        if len(self._idle) < _MOST_IDLE:
            self._idle.append(channel)
        else:
            self.discard(channel)

    def discard(self, channel: Channel) -> None:
        """Closes a channel for good."""
        self._in_background(channel.session.close())
        self._warm_if_short()

    async def warm(self) -> None:
        """Opens channels until there are enough that proved to work.

        After one that did not, no more are opened for a while: the upstream
        may be down, or this host too busy to take its answer in time.
        """
        if self._is_warming:
            return
        self._is_warming = True
        try:
            for _ in range(2 * self._options.spare):
                if len(self._idle) >= self._options.spare:
                    break
                if not await self._probe(self._new()):
                    self._pause_warming()
                    break
                self._pause_s = 0.0
        finally:
            self._is_warming = False

    async def check_oldest(self) -> None:
        """Probes the channel that has been idle longest."""
        if self._idle:
            await self._probe(self._idle.pop(0))

    async def close(self) -> None:
        """Closes all idle channels."""
        idle, self._idle = self._idle, []
        for channel in idle:
            await channel.session.close()

    def _new(self) -> Channel:
        return Channel.from_config(self._options)

    def _warm_if_short(self) -> None:
        if self._is_warming or len(self._idle) >= self._options.spare:
            return
        if asyncio.get_running_loop().time() >= self._warm_again_s:
            self._in_background(self.warm())

    def _pause_warming(self) -> None:
        doubled_s = max(_FIRST_PAUSE_S, 2 * self._pause_s)
        self._pause_s = min(_LONGEST_PAUSE_S, doubled_s)
        now_s = asyncio.get_running_loop().time()
        self._warm_again_s = now_s + self._pause_s

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
