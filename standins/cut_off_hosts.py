"""Gateway hosts in this process, each of which can lose all its upstreams."""

import asyncio
from collections.abc import AsyncIterator, Sequence
import contextlib
import functools
import itertools
import pathlib
from typing import Any, NamedTuple

from greengagedale.config import gateway as config
from greengagedale.gateway import daemon
from greengagedale.http1 import client
from standins import gateway_site

# How a host is cut off: new connections hang or are refused and open ones hang;
# or new ones are refused, and open ones live on.
HANG, REFUSE, LIVE = "hang", "refuse", "live"
KINDS = ("find", "get", "book")


class FirstTry(NamedTuple):
    """A caller's first try of a request.

    Attributes:
        request_id: Id of the request.
        kind: Its route.
        host: Index of the host that it was sent to.
        sent_s: When it was sent, by the event loop's clock.
        status: Status of the answer; 0 without one.
    """

    request_id: str
    kind: str
    host: int
    sent_s: float
    status: int


class CutOffSite:
    """Hosts, and which of them can reach no upstream.

    Attributes:
        site: The store and the upstreams.
        clients: The hosts, as callers see them.
        hosts: The hosts themselves.
        cuts: How each host is cut off, by its index.
    """

    def __init__(
        self,
        site: gateway_site.Site,
        clients: list[gateway_site.HostProcess],
        hosts: list[daemon.GatewayHost],
    ) -> None:
        self.site = site
        self.clients = clients
        self.hosts = hosts
        self.cuts: dict[int, str] = {}
        self._ids = itertools.count()
        self._hung: dict[int, list[Any]] = {}
        for index, host in enumerate(hosts):
            host._pools.connect = functools.partial(self._connect, index)

    async def _connect(
        self,
        index: int,
        address: str,
        port: int,
        timeout_s: float,
        limits: client.ReplyLimits,
    ) -> client.Connection:
        how = self.cuts.get(index)
        if how is None:
            return await client.Connection.open(
                address, port, timeout_s, limits
            )
        if how != HANG:
            raise ConnectionRefusedError("cut off")
        await asyncio.sleep(timeout_s)
        raise TimeoutError("cut off")

    def cut(self, index: int, how: str) -> None:
        """Cuts a host off from all upstreams."""
        self.cuts[index] = how
        if how == LIVE:
            return
        self._hung[index] = [
            connection._transport
            for pool in self.hosts[index]._pools._pools.values()
            for connection in pool._idle
        ]
        for transport in self._hung[index]:
            transport.pause_reading()

    def heal(self, index: int) -> None:
        """Ends the cut of a host."""
        self.cuts.pop(index, None)
        for transport in self._hung.pop(index, []):
            if not transport.is_closing():
                transport.resume_reading()

    async def ask(self, index: int, kind: str = "find") -> FirstTry:
        """Sends a request on a new connection."""
        request_id = f"q{next(self._ids)}"
        sent_s = asyncio.get_running_loop().time()
        status = 0
        with contextlib.suppress(OSError):
            reply = await self.clients[index].get(
                f"/{kind}/{request_id}",
                method=b"POST" if kind == "book" else b"GET",
                request_id=request_id,
                deadline_ms=1000,
            )
            status = getattr(reply, "status", 0)
        return FirstTry(request_id, kind, index, sent_s, status)

    async def ask_for(
        self,
        duration_s: float,
        indices: Sequence[int],
        kinds: Sequence[str] = KINDS,
        interval_s: float = 0.05,
    ) -> list[FirstTry]:
        """Sends requests of all kinds to some hosts for a while."""
        tasks = []
        rounds = range(int(duration_s / interval_s))
        for _, kind in zip(rounds, itertools.cycle(kinds), strict=False):
            tasks += [
                asyncio.create_task(self.ask(index, kind)) for index in indices
            ]
            await asyncio.sleep(interval_s)
        return await asyncio.gather(*tasks)

    def run_count(self, request_id: str) -> int:
        """Returns how often a request has run."""
        upstreams = self.site.upstreams.values()
        return sum(upstream.runs[request_id] for upstream in upstreams)


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path, host_count: int
) -> AsyncIterator[CutOffSite]:
    """Runs hosts in this process for the duration of the context."""
    site = gateway_site.Site(folder, host_count)
    clients, site.hosts = site.hosts, []
    await site.start()
    try:
        async with contextlib.AsyncExitStack() as stack:
            hosts = []
            for each in clients:
                settings = config.GatewaySettings.from_file(each.settings_path)
                host = daemon.GatewayHost.from_config(settings)
                await host.start(stack)
                hosts.append(host)
            for each in clients:
                await each.wait_ready()
            yield CutOffSite(site, clients, hosts)
    finally:
        await site.stop()
