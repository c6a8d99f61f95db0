"""HTTP client of the platform's object API, based on aiohttp."""

import logging
from typing import NamedTuple, Self

import aiohttp
import msgspec

from greengagedale import connectors
from greengagedale import http_bodies
from greengagedale import metrics as metrics_lib
from greengagedale.store import base
from greengagedale.store import wire

log = logging.getLogger(__name__)

_MS_PER_S = 1000.0
_WATCH_GRACE_MS = 500


class _Reply(NamedTuple):
    status: int
    body: bytes


class _Failure(NamedTuple):
    detail: str
    sent: bool


class _CallProgress:
    """The progress of a call.

    aiohttp resends a write if a kept-alive connection is lost. The last error
    alone therefore doesn't show whether anything was sent.

    Attributes:
        connected: Whether the call had a connection at any time.
    """

    __slots__ = ("connected",)

    def __init__(self) -> None:
        self.connected = False


class HttpStore(base.ObjectStore):
    """Accesses the object API over HTTP."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        endpoint: str,
        timeout_ms: int,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._session = session
        self._root = f"http://{endpoint}/v1"
        self._timeout_ms = timeout_ms
        self._metrics = metrics

    @classmethod
    def from_config(
        cls,
        endpoint: str,
        timeout_ms: int,
        metrics: metrics_lib.Metrics,
        client_name: str = "client",
    ) -> Self:
        """Creates a store; must be called on a running event loop.

        Args:
            endpoint: Endpoint of the platform.
            timeout_ms: Timeout of calls other than watches.
            metrics: Metrics in which calls are counted.
            client_name: Client name in the `User-Agent` header.
        """
        tracing = aiohttp.TraceConfig(trace_config_ctx_factory=_trace_context)
        tracing.on_connection_create_end.append(_mark_connected)
        tracing.on_connection_reuseconn.append(_mark_connected)
        session = aiohttp.ClientSession(
            connector=connectors.DirectConnector(limit=0),
            trace_configs=[tracing],
            headers={"User-Agent": f"greengagedale/{client_name}"},
        )
        return cls(session, endpoint, timeout_ms, metrics)

    async def get(
        self, kind: str, name: str
    ) -> base.Found | base.NotFound | base.Unavailable:
        """Reads one object."""
        result = await self._call("get", "GET", f"/objects/{kind}/{name}")
        if isinstance(result, _Failure):
            return base.Unavailable(result.detail)
        if result.status == wire.STATUS_NOT_FOUND:
            return base.NotFound()
        if result.status != wire.STATUS_OK:
            return _unavailable(result)
        try:
            reply = wire.object_decoder.decode(result.body)
        except msgspec.DecodeError as error:
            return base.Unavailable(str(error))
        return base.Found(_to_stored_object(kind, reply))

    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> (
        base.Written
        | base.Conflict
        | base.Unavailable
        | base.WriteOutcomeUnknown
    ):
        """Writes an object if its version is still the expected one."""
        path = f"/objects/{kind}/{name}"
        result = await self._call("put", "PUT", path, expected_version, value)
        return _write_result(result)

    async def delete(
        self, kind: str, name: str, expected_version: int
    ) -> (
        base.Written
        | base.Conflict
        | base.Unavailable
        | base.WriteOutcomeUnknown
    ):
        """Deletes an object if its version is still the expected one."""
        path = f"/objects/{kind}/{name}"
        result = await self._call("delete", "DELETE", path, expected_version)
        return _write_result(result)

    async def list_names(self, kind: str) -> list[str] | base.Unavailable:
        """Lists the names of all objects of a kind."""
        result = await self._call("names", "GET", f"/objects/{kind}")
        if isinstance(result, _Failure):
            return base.Unavailable(result.detail)
        if result.status != wire.STATUS_OK:
            return _unavailable(result)
        try:
            return wire.names_decoder.decode(result.body)["names"]
        except msgspec.DecodeError as error:
            return base.Unavailable(str(error))

    async def watch(
        self, kind: str, cursor: int, wait_ms: int
    ) -> base.Changes | base.Unavailable:
        """Waits for changes of objects of a kind."""
        result = await self._call(
            "watch",
            "GET",
            f"/watch/{kind}?cursor={cursor}&wait_ms={wait_ms}",
            timeout_ms=wait_ms + _WATCH_GRACE_MS,
        )
        if isinstance(result, _Failure):
            return base.Unavailable(result.detail)
        if result.status != wire.STATUS_OK:
            return _unavailable(result)
        try:
            reply = wire.watch_decoder.decode(result.body)
        except msgspec.DecodeError as error:
            return base.Unavailable(str(error))
        changed = [_to_stored_object(kind, item) for item in reply["objects"]]
        return base.Changes(changed, reply["cursor"])

    async def list_hosts(self) -> list[base.PlatformHost] | base.Unavailable:
        """Lists the running and leaving hosts known to the platform."""
        result = await self._call("hosts", "GET", "/hosts")
        if isinstance(result, _Failure):
            return base.Unavailable(result.detail)
        if result.status != wire.STATUS_OK:
            return _unavailable(result)
        try:
            reply = wire.hosts_decoder.decode(result.body)
        except msgspec.DecodeError as error:
            return base.Unavailable(str(error))
        return [base.PlatformHost(**item) for item in reply["hosts"]]

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def _call(
        self,
        operation: str,
        method: str,
        path: str,
        expected_version: int | None = None,
        body: bytes | None = None,
        timeout_ms: int | None = None,
    ) -> _Reply | _Failure:
        headers = (
            {}
            if expected_version is None
            else {"If-Match": str(expected_version)}
        )
        total_s = (timeout_ms or self._timeout_ms) / _MS_PER_S
        progress = _CallProgress()
        try:
            async with self._session.request(
                method,
                self._root + path,
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=total_s),
                trace_request_ctx=progress,
            ) as response:
                body_read = await http_bodies.read_body(
                    response, http_bodies.MAX_DOCUMENT_BODY_BYTES
                )
                reply = _Reply(response.status, body_read)
        except (aiohttp.ClientError, OSError) as error:
            sent = progress.connected
            self._count(operation, "no_reply" if sent else "unreachable")
            return _Failure(repr(error), sent)
        self._count(operation, str(reply.status))
        return reply

    def _count(self, operation: str, result: str) -> None:
        self._metrics.platform_calls.labels(operation, result).inc()


def _trace_context(trace_request_ctx: _CallProgress) -> _CallProgress:
    # aiohttp calls this factory with the keyword `trace_request_ctx`.
    return trace_request_ctx


async def _mark_connected(
    session: aiohttp.ClientSession, progress: _CallProgress, params: object
) -> None:
    del session, params
    progress.connected = True


def _to_stored_object(kind: str, reply: wire.ObjectReply) -> base.StoredObject:
    return base.StoredObject(
        kind, reply["name"], reply["version"], reply["value"].encode()
    )


def _unavailable(result: _Reply) -> base.Unavailable:
    text = result.body.decode(errors="replace")[:200]
    return base.Unavailable(f"status {result.status}: {text}")


def _write_result(
    result: _Reply | _Failure,
) -> base.Written | base.Conflict | base.Unavailable | base.WriteOutcomeUnknown:
    if isinstance(result, _Failure):
        return (base.WriteOutcomeUnknown if result.sent else base.Unavailable)(
            result.detail
        )
    if result.status == wire.STATUS_CONFLICT:
        return base.Conflict()
    if result.status in (wire.STATUS_BUSY, wire.STATUS_TOO_LARGE):
        return _unavailable(result)
    if result.status != wire.STATUS_OK:
        return base.WriteOutcomeUnknown(f"status {result.status}")
    try:
        return base.Written(wire.write_decoder.decode(result.body)["version"])
    except msgspec.DecodeError as error:
        return base.WriteOutcomeUnknown(str(error))
