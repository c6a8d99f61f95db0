"""The client of the platform's store."""

import asyncio
import logging
from typing import Any, Self

import msgspec

from greengagedale.gateway import metrics as metrics_lib
from greengagedale.gateway import roster
from greengagedale.gateway import store_api
from greengagedale.http1 import client
from greengagedale.http1 import messages
from greengagedale.platform import store_documents

log = logging.getLogger(__name__)

_UPSTREAMS = "servers"
_CONFIGURATION = "config"
_NEWEST_CONFIGURATION = "main"
# A kind of our own, with one object.
_FLEET = "fleet"
_HOSTS = "hosts"
# Objects that are created may be answered with 201.
_SUCCESS_CLASS = 2
_STATUS_MISSING = 404
_STATUS_HISTORY_GONE = 410
_MS_PER_S = 1000.0
# A watch that found nothing answers when its wait is over; slow stores were
# seen to take about 300 ms more.
_WATCH_GRACE_MS = 700.0
# Two watches and a pulse.
_MOST_IDLE = 3
# Slow stores were seen to take about 300 ms; hosts must hear of a reader that
# has lost the store while others can still take over in time.
_PULSE_TIMEOUT_MS = 800.0
# Lists have pages of about 1 MB, but a watch may bring all changes of some
# seconds, each of 1 MB at most (platform's figures).
_ANSWER_LIMITS = client.ReplyLimits(max_body_bytes=32 * 1024 * 1024)


class _Event(msgspec.Struct):
    # Unlike its name, a whole object: its metadata, and the document in spec.
    object: dict[str, Any]
    deleted: bool = False


class _Watched(msgspec.Struct):
    events: list[_Event]
    storeRevision: int  # noqa: N815


class _Listed(msgspec.Struct):
    items: list[dict[str, Any]]
    storeRevision: int  # noqa: N815
    # There are more items; ask again for those after the last name.
    more: bool = False


class PlatformStore(store_api.StoreApi):
    """Reads configuration and upstreams from the platform's store."""

    def __init__(
        self,
        address: str,
        port: int,
        timeout_ms: float,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._address = address
        self._port = port
        self._timeout_ms = timeout_ms
        self._metrics = metrics
        self._idle: list[client.Connection] = []

    @classmethod
    def from_config(
        cls,
        endpoint: str,
        timeout_ms: float,
        metrics: metrics_lib.Metrics,
    ) -> Self:
        """Makes a client.

        Args:
            endpoint: IP number and port of the store.
            timeout_ms: Longest time for a call, watches apart.
            metrics: Where calls are counted.
        """
        address, _, port = endpoint.rpartition(":")
        return cls(address, int(port), timeout_ms, metrics)

    async def list_upstreams(
        self, allow_stale: bool = False
    ) -> store_api.UpstreamsListed | store_api.Unavailable:
        """Reads all upstreams, page by page."""
        found: list[dict[str, Any]] = []
        after = ""
        while True:
            path = _listing(_UPSTREAMS, after, allow_stale)
            got = await self._get("list", path, _Listed)
            if isinstance(got, store_api.Unavailable | store_api.HistoryGone):
                return store_api.Unavailable("the list can't be read")
            if got is None:
                return store_api.Unavailable("the store has no such kind")
            found += got.items
            if not got.more or not got.items:
                break
            after = _name_of(got.items[-1])
        decoded = (
            store_documents.decode_upstream(_name_of(item), item.get("spec"))
            for item in found
        )
        # A change between two pages is seen again by the next watch.
        upstreams = [upstream for upstream in decoded if upstream]
        return store_api.UpstreamsListed(upstreams, got.storeRevision)

    async def watch_upstreams(
        self, revision: int, wait_ms: int
    ) -> (
        store_api.UpstreamsChanged
        | store_api.HistoryGone
        | store_api.Unavailable
    ):
        """Waits for changes after a revision, at most for the given time."""
        got = await self._watch(_UPSTREAMS, revision, wait_ms)
        if not isinstance(got, _Watched):
            return got
        changes = [_change(event) for event in got.events]
        return store_api.UpstreamsChanged(changes, got.storeRevision)

    async def read_routes(
        self, allow_stale: bool = False
    ) -> store_api.RoutesRead | store_api.Unavailable:
        """Reads the configuration."""
        path = _listing(_CONFIGURATION, "", allow_stale)
        got = await self._get("list", path, _Listed)
        if isinstance(got, store_api.Unavailable | store_api.HistoryGone):
            return store_api.Unavailable("the configuration can't be read")
        if got is None:
            return store_api.Unavailable("the store has no such kind")
        return _routes_read(got.items, got.storeRevision)

    async def watch_routes(
        self, revision: int, wait_ms: int
    ) -> store_api.RoutesRead | store_api.HistoryGone | store_api.Unavailable:
        """Waits for a change after a revision, at most for the given time."""
        got = await self._watch(_CONFIGURATION, revision, wait_ms)
        if not isinstance(got, _Watched):
            return got
        items = [event.object for event in got.events if not event.deleted]
        return _routes_read(items, got.storeRevision)

    async def ping(self) -> store_api.Unavailable | None:
        """Finds out cheaply whether the store still answers; None if so."""
        # Lists nothing, as no name of the kind follows.
        path = _listing(_CONFIGURATION, _NEWEST_CONFIGURATION, True)
        got = await self._get("pulse", path, _Listed, _PULSE_TIMEOUT_MS)
        return got if isinstance(got, store_api.Unavailable) else None

    async def read_roster(self) -> roster.HostList | store_api.Unavailable:
        """Reads the list of hosts; `NONE_LISTED` if there is none."""
        path = f"{_FLEET}/{_HOSTS}"
        got = await self._get("read", path, store_documents.StoredHostList)
        if isinstance(got, store_api.HistoryGone):
            return store_api.Unavailable("the list of hosts can't be read")
        if isinstance(got, store_api.Unavailable):
            return got
        return roster.EMPTY_HOST_LIST if got is None else got.host_list

    async def write_roster(
        self, host_list: roster.HostList
    ) -> roster.HostList | store_api.Unavailable:
        """Replaces the list of hosts, if it is still the one that was read."""
        is_new = host_list.revision == 0
        got = await self._call(
            "create" if is_new else "replace",
            b"POST" if is_new else b"PUT",
            _FLEET if is_new else f"{_FLEET}/{_HOSTS}",
            store_documents.StoredHostList,
            body=store_documents.encode_host_list(_HOSTS, host_list),
        )
        if isinstance(got, store_documents.StoredHostList):
            return got.host_list
        if isinstance(got, store_api.Unavailable):
            return got
        return store_api.Unavailable("the list of hosts is gone")

    async def close(self) -> None:
        """Closes all connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    async def _watch(
        self, kind: str, revision: int, wait_ms: int
    ) -> _Watched | store_api.HistoryGone | store_api.Unavailable:
        got = await self._get(
            "watch",
            f"{kind}?watch={revision}&waitMs={wait_ms}",
            _Watched,
            wait_ms + _WATCH_GRACE_MS,
        )
        return store_api.Unavailable("missing") if got is None else got

    async def _get(
        self,
        operation: str,
        path: str,
        reply_type: type[Any],
        timeout_ms: float | None = None,
    ) -> Any:
        return await self._call(operation, b"GET", path, reply_type, timeout_ms)

    async def _call(
        self,
        operation: str,
        method: bytes,
        path: str,
        reply_type: type[Any],
        timeout_ms: float | None = None,
        body: bytes = b"",
    ) -> Any:
        headers = [(b"host", f"{self._address}:{self._port}".encode())]
        if body:
            headers.append((b"content-type", b"application/json"))
        data = messages.encode_request(
            method, b"/-/objects/" + path.encode(), tuple(headers), body
        )
        try:
            async with asyncio.timeout(
                (timeout_ms or self._timeout_ms) / _MS_PER_S
            ):
                reply = await self._exchange(data)
        except OSError as error:
            reply = client.Broken(repr(error), sent=True)
        return self._result(operation, reply, reply_type)

    def _result(
        self,
        operation: str,
        reply: messages.Reply | client.Broken,
        reply_type: type[Any],
    ) -> Any:
        if isinstance(reply, client.Broken):
            self._count(operation, "no_reply")
            return store_api.Unavailable(reply.detail)
        self._count(operation, str(reply.status))
        if reply.status == _STATUS_MISSING:
            return None
        if reply.status == _STATUS_HISTORY_GONE:
            return store_api.HistoryGone()
        if reply.status // 100 != _SUCCESS_CLASS:
            return store_api.Unavailable(f"status {reply.status}")
        try:
            return msgspec.json.decode(reply.body, type=reply_type)
        except msgspec.DecodeError as error:
            return store_api.Unavailable(f"unreadable answer: {error}")

    async def _exchange(self, data: bytes) -> messages.Reply | client.Broken:
        connection = self._take()
        if connection is None:
            connection = await client.Connection.open(
                self._address,
                self._port,
                self._timeout_ms / _MS_PER_S,
                _ANSWER_LIMITS,
            )
        reply = await connection.exchange(data)
        if connection.is_usable and len(self._idle) < _MOST_IDLE:
            self._idle.append(connection)
        else:
            connection.close()
        return reply

    def _take(self) -> client.Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable:
                return connection
        return None

    def _count(self, operation: str, result: str) -> None:
        self._metrics.store_calls.inc(operation, result)


def _listing(kind: str, after: str, allow_stale: bool) -> str:
    """Returns the path that lists a kind's objects behind a name."""
    options = [f"after={after}"] if after else []
    if allow_stale:
        # Costs a tenth of other calls.
        options.append("allowStale=1")
    return f"{kind}?{'&'.join(options)}" if options else kind


def _name_of(item: dict[str, Any]) -> str:
    meta = item.get("meta")
    name = meta.get("name") if isinstance(meta, dict) else None
    return name if isinstance(name, str) else ""


def _change(event: _Event) -> store_api.UpstreamChange:
    name = _name_of(event.object)
    if event.deleted:
        return store_api.UpstreamChange(name, None)
    decoded = store_documents.decode_upstream(name, event.object.get("spec"))
    return store_api.UpstreamChange(name, decoded)


def _routes_read(
    items: list[dict[str, Any]], revision: int
) -> store_api.RoutesRead:
    newest = [i for i in items if _name_of(i) == _NEWEST_CONFIGURATION]
    routes = (
        store_documents.decode_routes(newest[-1].get("spec"))
        if newest
        else None
    )
    return store_api.RoutesRead(routes, revision)
