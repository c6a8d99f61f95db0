"""Upstreams over HTTP, with aiohttp."""

import asyncio
import logging
from typing import Any, NamedTuple, Self

import aiohttp
import msgspec

from greengagedale import outcomes
from greengagedale.query import attempts
from greengagedale.query import echoes
from greengagedale.query import ranges
from greengagedale.query import snapshots
from greengagedale.upstreams import base
from greengagedale.upstreams import wire

log = logging.getLogger(__name__)

_STATUS_OK = 200
_MS_PER_S = 1000.0
_HEALTH_TIMEOUT_S = 1.0
_REFUSALS = {
    "draining": outcomes.Reason.DRAINING,
    "not_held": outcomes.Reason.SNAPSHOT_GONE,
    "overloaded": outcomes.Reason.OVERLOADED,
    "cold": outcomes.Reason.OVERLOADED,
    "deadline": outcomes.Reason.DEADLINE,
}


class _Reply(NamedTuple):
    status: int
    body: bytes


class _Progress:
    """How far a call came, told by the client library's tracing."""

    __slots__ = ("connected",)

    def __init__(self) -> None:
        self.connected = False


class HttpTransport(base.UpstreamTransport):
    """Carries attempts to upstreams over HTTP."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    @classmethod
    def from_config(cls, data_centre: str, connect_timeout_ms: int) -> Self:
        """Makes a transport; must be called on a running loop.

        Args:
            data_centre: Data centre of this host, told to upstreams.
            connect_timeout_ms: How long a connection may take to open.
        """
        tracing = aiohttp.TraceConfig(
            trace_config_ctx_factory=_context_of_request
        )
        tracing.on_connection_create_end.append(_mark_connected)
        tracing.on_connection_reuseconn.append(_mark_connected)
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=connect_timeout_ms / _MS_PER_S
            ),
            headers={wire.HEADER_DATA_CENTRE: data_centre},
            trace_configs=[tracing],
        )
        return cls(session)

    async def search(
        self, upstream: base.Upstream, request: base.SubSearch
    ) -> attempts.AttemptResult:
        """Sends a search and returns how it ended."""
        attempt = request.attempt
        body = wire.SearchBody(
            attempt_id=attempt.attempt_id,
            member=request.member,
            index_version=attempt.snapshot.index_version,
            map_version=attempt.snapshot.map_version,
            low=attempt.key_range.low,
            high=attempt.key_range.high,
            text=request.text,
            limit=request.limit,
            timeout_ms=request.timeout_ms,
        )
        got = await self._post(upstream, "/v1/search", body)
        if isinstance(got, outcomes.AttemptEnd):
            return got
        if got.status != _STATUS_OK:
            return _end_of_refusal(got)
        return _search_result(attempt, got.body)

    async def act(
        self, upstream: base.Upstream, action: base.Action
    ) -> base.Acted | outcomes.AttemptEnd:
        """Sends an action, once, and returns how it ended."""
        body = wire.ActionBody(
            attempt_id=action.attempt_id,
            key=action.key,
            member=action.member,
            target=action.target,
            body=action.body,
            timeout_ms=action.timeout_ms,
        )
        got = await self._post(
            upstream, "/v1/act", body, action.timeout_ms / _MS_PER_S
        )
        if isinstance(got, outcomes.AttemptEnd):
            return got
        if got.status != _STATUS_OK:
            return _end_of_refusal(got)
        try:
            reply = wire.action_reply_decoder.decode(got.body)
        except msgspec.DecodeError:
            return _written(outcomes.Reason.REPLY_LOST)
        if reply["attempt_id"] != action.attempt_id:
            return _written(outcomes.Reason.REPLY_LOST)
        return base.Acted(reply["body"])

    async def cancel(self, upstream: base.Upstream, attempt_id: str) -> bool:
        """Asks an upstream to stop an attempt; True once it confirms."""
        body = wire.CancelBody(attempt_id=attempt_id)
        got = await self._post(upstream, "/v1/cancel", body, _HEALTH_TIMEOUT_S)
        return isinstance(got, _Reply) and got.status == _STATUS_OK

    async def health(self, upstream: base.Upstream) -> base.Health | None:
        """Asks an upstream about itself; None if it does not say."""
        timeout = aiohttp.ClientTimeout(total=_HEALTH_TIMEOUT_S)
        url = f"http://{upstream.endpoint}/v1/health"
        try:
            async with self._session.get(url, timeout=timeout) as response:
                body = await response.read()
            reply = wire.health_decoder.decode(body)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            return None
        return base.Health(reply["state"], reply["load"])

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def _post(
        self,
        upstream: base.Upstream,
        path: str,
        body: Any,
        timeout_s: float | None = None,
    ) -> _Reply | outcomes.AttemptEnd:
        progress = _Progress()
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.post(
                    f"http://{upstream.endpoint}{path}",
                    data=wire.encode(body),
                    trace_request_ctx=progress,
                    allow_redirects=False,
                ) as response:
                    return _Reply(response.status, await response.read())
        except (aiohttp.ClientError, OSError) as error:
            log.debug("attempt at %s failed: %r", upstream.name, error)
            return _end_of_failure(progress)


def _context_of_request(trace_request_ctx: _Progress | None) -> Any:
    return trace_request_ctx


async def _mark_connected(
    session: aiohttp.ClientSession, progress: Any, params: Any
) -> None:
    del session, params
    if progress is not None:
        progress.connected = True


def _written(reason: outcomes.Reason) -> outcomes.AttemptEnd:
    return outcomes.AttemptEnd(reason, written=True, refused=False)


def _end_of_failure(progress: _Progress) -> outcomes.AttemptEnd:
    if progress.connected:
        return _written(outcomes.Reason.REPLY_LOST)
    return outcomes.AttemptEnd(
        outcomes.Reason.CONNECT_FAILED, written=False, refused=False
    )


def _end_of_refusal(got: _Reply) -> outcomes.AttemptEnd:
    """Only a well-formed refusal counts as proof that nothing ran."""
    if got.status not in (wire.STATUS_REFUSED, wire.STATUS_NOT_HELD):
        return _written(outcomes.Reason.REPLY_LOST)
    try:
        reply = wire.refusal_decoder.decode(got.body)
    except msgspec.DecodeError:
        return _written(outcomes.Reason.REPLY_LOST)
    reason = _REFUSALS.get(reply["refused"], outcomes.Reason.REJECTED)
    return outcomes.AttemptEnd(
        reason,
        written=True,
        refused=True,
        retry_after_ms=reply["retry_after_ms"],
    )


def _search_result(
    attempt: attempts.Attempt, body: bytes
) -> attempts.AttemptResult:
    try:
        reply = wire.search_reply_decoder.decode(body)
        found = wire.hits_decoder.decode(reply.hits)
    except msgspec.DecodeError:
        return attempts.Dropped("encoding")
    got = echoes.Echo(
        reply.attempt_id,
        snapshots.Snapshot(reply.index_version, reply.map_version),
        ranges.KeyRange(reply.low, reply.high),
        reply.count,
        reply.digest,
    )
    expected = echoes.Echo(
        attempt.attempt_id,
        attempt.snapshot,
        attempt.key_range,
        len(found),
        echoes.digest_of(bytes(reply.hits)),
    )
    field = echoes.mismatch(expected, got)
    return (
        attempts.Answered(found) if field is None else attempts.Dropped(field)
    )
