"""Client of the platform's store."""

import asyncio
from collections.abc import Callable, Collection, Mapping
import logging
from typing import Any, NamedTuple, Self
import urllib.parse

import msgspec

from greengagedale import untrusted_json
from greengagedale.gateway import evacuations as evacuations_lib
from greengagedale.gateway import metrics as metrics_lib
from greengagedale.gateway import roster
from greengagedale.gateway import store_api
from greengagedale.gateway import store_revision
from greengagedale.gateway import upstream_entries
from greengagedale.http1 import client
from greengagedale.http1 import messages
from greengagedale.platform import store_documents

log = logging.getLogger(__name__)

_KIND_UPSTREAMS = "servers"
_KIND_CONFIGURATION = "config"
_CONFIGURATION_NAME = "main"
# Each object is named after a data centre that is evacuated.
_KIND_EVACUATIONS = "evacuations"
# Feature of deployments in which data centres may be evacuated.
_FEATURE_EVACUATIONS = "places"
# Kind created by this project, with a single object: the host list.
_KIND_FLEET = "fleet"
_HOST_LIST_NAME = "hosts"
# The store may answer with 201 when an object is created.
_SUCCESS_CLASS = 2
_STATUS_NOT_FOUND = 404
_STATUS_HISTORY_GONE = 410
# In all answers of a store that may return from an older copy.
_EPOCH_HEADER = b"store-era"
_MAX_EPOCH_DIGITS = 15
_MS_PER_S = 1000.0
# A watch without changes is answered after its wait time; slow stores took
# about 300 ms longer.
_WATCH_GRACE_MS = 700.0
# Enough for three watches and a ping.
_MAX_IDLE = 4
# Slow stores took about 300 ms to answer. The timeout must be short enough for
# other hosts to learn that a reader has lost the store and to take over in
# time.
_PING_TIMEOUT_MS = 800.0
# Pages of a list have about 1 MB, but a watch may return the changes of several
# seconds, each of up to 1 MB (figures stated by the platform).
_REPLY_LIMITS = client.ReplyLimits(max_body_bytes=32 * 1024 * 1024)


def has_evacuations(features: Collection[str]) -> bool:
    """Returns whether a deployment's data centres may be evacuated.

    Args:
        features: Names of the platform's features that are in force.
    """
    return _FEATURE_EVACUATIONS in features


_text_decoder = untrusted_json.Decoder(str)
_number_decoder = untrusted_json.Decoder(int)
_flag_decoder = untrusted_json.Decoder(bool)
_host_list_decoder = untrusted_json.Decoder(store_documents.StoredHostList)


class _StoredObject(NamedTuple):
    # The document is not decoded yet, as any writer may have written it.
    name: str
    spec: untrusted_json.Value


class _WatchEvent(NamedTuple):
    object: _StoredObject
    is_deleted: bool


class _WatchReply(NamedTuple):
    events: list[_WatchEvent]
    store_revision: int


class _ListReply(NamedTuple):
    items: list[_StoredObject]
    store_revision: int
    # Whether there are more items; the next page starts after the last name.
    has_more: bool = False


class _Answer(NamedTuple):
    # The decoded body, and the epoch in which the store answered.
    body: Any
    epoch: int


class PlatformStore(store_api.StoreApi):
    """Client that accesses objects in the platform's store over HTTP."""

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
        self._idle_connections: list[client.Connection] = []

    @classmethod
    def from_config(
        cls,
        endpoint: str,
        timeout_ms: float,
        metrics: metrics_lib.Metrics,
    ) -> Self:
        """Creates a client.

        Args:
            endpoint: IP address and port of the store.
            timeout_ms: Timeout of each call except watches.
            metrics: Metrics that count the calls.
        """
        address, _, port = endpoint.rpartition(":")
        return cls(address, int(port), timeout_ms, metrics)

    async def list_upstreams(
        self, allow_stale: bool = False
    ) -> store_api.UpstreamsListed | store_api.Unavailable:
        """Reads all upstreams, page by page."""
        answer = await self._list(_KIND_UPSTREAMS, allow_stale)
        if isinstance(answer, store_api.Unavailable):
            return answer
        decoded = map(self._decode_upstream, answer.body.items)
        upstreams = [upstream for upstream in decoded if upstream]
        return store_api.UpstreamsListed(upstreams, _revision_of(answer))

    async def watch_upstreams(
        self, revision: store_revision.Revision, wait_ms: int
    ) -> (
        store_api.UpstreamsChanged
        | store_api.HistoryGone
        | store_api.Unavailable
    ):
        """Waits for changes after a revision, for at most `wait_ms`."""
        answer = await self._watch(_KIND_UPSTREAMS, revision, wait_ms)
        if not isinstance(answer, _Answer):
            return answer
        changes = [
            store_api.UpstreamChange(
                event.object.name,
                None
                if event.is_deleted
                else self._decode_upstream(event.object),
            )
            for event in answer.body.events
        ]
        named = [change for change in changes if change.name]
        return store_api.UpstreamsChanged(named, _revision_of(answer))

    async def read_routes(
        self, allow_stale: bool = False
    ) -> store_api.RoutesRead | store_api.Unavailable:
        """Reads the configuration."""
        answer = await self._list(_KIND_CONFIGURATION, allow_stale)
        if isinstance(answer, store_api.Unavailable):
            return answer
        return _decode_routes(answer.body.items, _revision_of(answer))

    async def watch_routes(
        self, revision: store_revision.Revision, wait_ms: int
    ) -> store_api.RoutesRead | store_api.HistoryGone | store_api.Unavailable:
        """Waits for a change after a revision, for at most `wait_ms`."""
        answer = await self._watch(_KIND_CONFIGURATION, revision, wait_ms)
        if not isinstance(answer, _Answer):
            return answer
        events = answer.body.events
        items = [event.object for event in events if not event.is_deleted]
        return _decode_routes(items, _revision_of(answer))

    async def read_evacuations(
        self, allow_stale: bool = False
    ) -> evacuations_lib.EvacuationList | store_api.Unavailable:
        """Reads the evacuated data centres, page by page."""
        answer = await self._list(_KIND_EVACUATIONS, allow_stale)
        if isinstance(answer, store_api.Unavailable):
            return answer
        names = {item.name for item in answer.body.items} - {""}
        return evacuations_lib.EvacuationList(
            _revision_of(answer), tuple(sorted(names))
        )

    async def watch_evacuations(
        self, known: evacuations_lib.EvacuationList, wait_ms: int
    ) -> (
        evacuations_lib.EvacuationList
        | store_api.HistoryGone
        | store_api.Unavailable
    ):
        """Waits for changes of a list, for at most `wait_ms`."""
        answer = await self._watch(_KIND_EVACUATIONS, known.revision, wait_ms)
        if not isinstance(answer, _Answer):
            return answer
        latest = dict.fromkeys(known.data_centres, True)
        latest |= {
            event.object.name: not event.is_deleted
            for event in answer.body.events
        }
        names = (name for name, is_listed in latest.items() if is_listed)
        return evacuations_lib.EvacuationList(
            _revision_of(answer), tuple(sorted(filter(None, names)))
        )

    async def ping(self) -> store_api.Unavailable | None:
        """Makes a cheap call to the store; returns None if it answers."""
        # The list is empty, since no object of this kind has a later name.
        path = _list_path(_KIND_CONFIGURATION, _CONFIGURATION_NAME, True)
        result = await self._get("pulse", path, _read_list, _PING_TIMEOUT_MS)
        return result if isinstance(result, store_api.Unavailable) else None

    async def read_roster(self) -> roster.HostList | store_api.Unavailable:
        """Reads the host list; returns `EMPTY_HOST_LIST` if there is none."""
        path = f"{_KIND_FLEET}/{_HOST_LIST_NAME}"
        result = await self._get("read", path, _host_list_decoder.decode)
        if result is None:
            return roster.EMPTY_HOST_LIST
        answer = self._require_current(result)
        if isinstance(answer, store_api.Unavailable):
            return answer
        return answer.body.host_list

    async def write_roster(
        self, host_list: roster.HostList
    ) -> roster.HostList | store_api.Unavailable:
        """Replaces the host list if its revision is still the expected one."""
        is_new = not host_list.revision
        epoch = self.epoch
        result = await self._call(
            "create" if is_new else "replace",
            b"POST" if is_new else b"PUT",
            _KIND_FLEET if is_new else f"{_KIND_FLEET}/{_HOST_LIST_NAME}",
            _host_list_decoder.decode,
            body=store_documents.encode_host_list(
                _HOST_LIST_NAME, host_list, epoch
            ),
        )
        answer = self._require_current(result)
        if isinstance(answer, store_api.Unavailable):
            return answer
        if answer.epoch != epoch:
            # The condition may have held by chance for another object.
            return store_api.Unavailable(
                "written in another epoch of the store"
            )
        return answer.body.host_list

    async def close(self) -> None:
        """Closes all connections."""
        idle, self._idle_connections = self._idle_connections, []
        for connection in idle:
            connection.close()

    async def _list(
        self, kind: str, allow_stale: bool
    ) -> _Answer | store_api.Unavailable:
        """Lists the objects of a kind, page by page.

        The revision is that of the first page, so that the next watch reports
        a change between two pages again.
        """
        items: list[_StoredObject] = []
        first: _Answer | None = None
        after = ""
        while True:
            page = await self._list_page(kind, after, allow_stale)
            if isinstance(page, store_api.Unavailable):
                return page
            first = first or page
            if page.epoch != first.epoch:
                return store_api.Unavailable("the store changed its epoch")
            items += page.body.items
            if not page.body.has_more or not page.body.items:
                body = _ListReply(items, first.body.store_revision)
                return _Answer(body, first.epoch)
            names = [item.name for item in page.body.items if item.name]
            if not names or names[-1] == after:
                return store_api.Unavailable(
                    f"no name to continue from in the page after {after!r}"
                )
            after = names[-1]

    async def _watch(
        self,
        kind: str,
        revision: store_revision.Revision,
        wait_ms: int,
    ) -> _Answer | store_api.HistoryGone | store_api.Unavailable:
        result = await self._get(
            "watch",
            f"{kind}?watch={revision.revision}&waitMs={wait_ms}",
            _read_events,
            wait_ms + _WATCH_GRACE_MS,
        )
        if isinstance(result, store_api.HistoryGone):
            return result
        answer = self._require_current(result)
        if isinstance(answer, _Answer) and answer.epoch != revision.epoch:
            # The same revision stands for another state in this epoch.
            return store_api.HistoryGone()
        return answer

    async def _list_page(
        self, kind: str, after: str, allow_stale: bool
    ) -> _Answer | store_api.Unavailable:
        path = _list_path(kind, after, allow_stale)
        result = await self._get("list", path, _read_list)
        if allow_stale and isinstance(result, _Answer):
            return result
        return self._require_current(result)

    def _require_current(
        self,
        result: _Answer | store_api.HistoryGone | store_api.Unavailable | None,
    ) -> _Answer | store_api.Unavailable:
        """Returns the answer if it has a body and is of the latest epoch."""
        if isinstance(result, store_api.Unavailable):
            return result
        if result is None or isinstance(result, store_api.HistoryGone):
            return store_api.Unavailable("no such object in the store")
        if result.epoch < self.epoch:
            return store_api.Unavailable(
                f"answer of epoch {result.epoch}; now in {self.epoch}"
            )
        return result

    async def _get(
        self,
        operation: str,
        path: str,
        read: Callable[[bytes], Any],
        timeout_ms: float | None = None,
    ) -> Any:
        return await self._call(operation, b"GET", path, read, timeout_ms)

    async def _call(
        self,
        operation: str,
        method: bytes,
        path: str,
        read: Callable[[bytes], Any],
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
            reply = client.ExchangeFailure(repr(error), sent=True)
        return self._decode_result(operation, reply, read)

    def _decode_result(
        self,
        operation: str,
        reply: messages.Reply | client.ExchangeFailure,
        read: Callable[[bytes], Any],
    ) -> Any:
        if isinstance(reply, client.ExchangeFailure):
            self._count_call(operation, "no_reply")
            return store_api.Unavailable(reply.detail)
        self._count_call(operation, str(reply.status))
        epoch = self._observe_epoch(reply)
        if reply.status == _STATUS_NOT_FOUND:
            return None
        if reply.status == _STATUS_HISTORY_GONE:
            return store_api.HistoryGone()
        if reply.status // 100 != _SUCCESS_CLASS:
            return store_api.Unavailable(f"status {reply.status}")
        try:
            return _Answer(read(reply.body), epoch)
        except msgspec.DecodeError as error:
            return store_api.Unavailable(
                f"answer could not be decoded: {error}"
            )

    def _observe_epoch(self, reply: messages.Reply) -> int:
        """Returns the epoch of an answer, and records the latest one."""
        value = reply.header(_EPOCH_HEADER)
        if value is None:
            return 0
        if not value.isdigit() or len(value) > _MAX_EPOCH_DIGITS:
            log.warning(
                "epoch of the store invalid", extra={"value": value[:20]}
            )
            return 0
        epoch = int(value)
        if epoch > self.epoch:
            log.info(
                "epoch of the store", extra={"epoch": epoch, "was": self.epoch}
            )
            self.epoch = epoch
        return epoch

    async def _exchange(
        self, data: bytes
    ) -> messages.Reply | client.ExchangeFailure:
        connection = self._take_idle_connection()
        if connection is None:
            connection = await client.Connection.open(
                self._address,
                self._port,
                self._timeout_ms / _MS_PER_S,
                _REPLY_LIMITS,
            )
        reply = await connection.exchange(data)
        if connection.is_usable and len(self._idle_connections) < _MAX_IDLE:
            self._idle_connections.append(connection)
        else:
            connection.close()
        return reply

    def _take_idle_connection(self) -> client.Connection | None:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_usable:
                return connection
        return None

    def _decode_upstream(
        self, item: _StoredObject
    ) -> upstream_entries.Upstream | None:
        decoded = store_documents.read_upstream(item.name, item.spec)
        if decoded is None:
            self._metrics.ignored_entries.inc(_KIND_UPSTREAMS)
        return decoded

    def _count_call(self, operation: str, result: str) -> None:
        self._metrics.store_calls.inc(operation, result)


def _list_path(kind: str, after: str, allow_stale: bool) -> str:
    """Returns the path that lists the objects of a kind after a name."""
    options = [f"after={urllib.parse.quote(after, safe='')}"] if after else []
    if allow_stale:
        # A stale read costs the store a tenth of other calls.
        options.append("allowStale=1")
    return f"{kind}?{'&'.join(options)}" if options else kind


def _revision_of(answer: _Answer) -> store_revision.Revision:
    return store_revision.Revision(answer.epoch, answer.body.store_revision)


def _read_list(data: bytes) -> _ListReply:
    """Reads a page of a list.

    Raises:
        msgspec.DecodeError: It is not what the store answers.
    """
    reply = untrusted_json.members(data)
    objects = map(
        _read_object, untrusted_json.elements(_require(reply, "items"))
    )
    return _ListReply(
        [*objects],
        _number_decoder.decode(_require(reply, "storeRevision")),
        _flag_decoder.decode(reply.get("more", b"false")),
    )


def _read_events(data: bytes) -> _WatchReply:
    """Reads the answer to a watch.

    Raises:
        msgspec.DecodeError: It is not what the store answers.
    """
    reply = untrusted_json.members(data)
    events = map(
        untrusted_json.members,
        untrusted_json.elements(_require(reply, "events")),
    )
    return _WatchReply(
        [
            _WatchEvent(
                _read_object(_require(event, "object")),
                _flag_decoder.decode(event.get("deleted", b"false")),
            )
            for event in events
        ],
        _number_decoder.decode(_require(reply, "storeRevision")),
    )


def _read_object(data: untrusted_json.Value) -> _StoredObject:
    """Reads an object; its name is empty if it can't be read."""
    try:
        parts = untrusted_json.members(data)
        name = _text_decoder.decode(
            _require(untrusted_json.members(_require(parts, "meta")), "name")
        )
    except msgspec.DecodeError as error:
        log.warning(
            "object in the store has no readable name; ignoring it",
            extra={"reason": str(error)},
        )
        return _StoredObject("", b"")
    return _StoredObject(name, parts.get("spec", b"null"))


def _require(
    values: Mapping[str, untrusted_json.Value], name: str
) -> untrusted_json.Value:
    value = values.get(name)
    if value is None:
        raise msgspec.DecodeError(f"expected a field {name!r}, got {[*values]}")
    return value


def _decode_routes(
    items: list[_StoredObject], revision: store_revision.Revision
) -> store_api.RoutesRead:
    matching = [each for each in items if each.name == _CONFIGURATION_NAME]
    routes = (
        store_documents.read_routes(matching[-1].spec) if matching else None
    )
    return store_api.RoutesRead(routes, revision)
