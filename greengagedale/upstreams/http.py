"""Transport to upstreams over HTTP, based on aiohttp."""

import asyncio
import logging
from typing import Any, NamedTuple, Self

import aiohttp
import msgspec

from greengagedale import http_bodies
from greengagedale import outcomes
from greengagedale.query import attempts
from greengagedale.query import echoes
from greengagedale.query import ranges
from greengagedale.query import snapshots
from greengagedale.upstreams import base
from greengagedale.upstreams import channels
from greengagedale.upstreams import wire

log = logging.getLogger(__name__)

_STATUS_OK = 200
_MS_PER_S = 1000.0
_HEALTH_TIMEOUT_S = 1.0
_CANCEL_TIMEOUT_S = 0.1
_MAX_CANCEL_CALLS = 4
_SPARE_CONNECTIONS = 2
_REFUSALS = {
    "draining": outcomes.Reason.DRAINING,
    "not_held": outcomes.Reason.SNAPSHOT_GONE,
    "overloaded": outcomes.Reason.OVERLOADED,
    "cold": outcomes.Reason.OVERLOADED,
    "deadline": outcomes.Reason.DEADLINE,
}


class _Reply(NamedTuple):
    """A complete HTTP answer.

    Attributes:
        status: HTTP status code.
        body: Complete body.
        matches_request: Whether the answer belongs to the request that was
            sent, and not to an earlier one on the connection.
    """

    status: int
    body: bytes
    matches_request: bool


class HttpTransport(base.UpstreamTransport):
    """Sends attempts to upstreams over HTTP."""

    def __init__(self, options: channels.ChannelOptions) -> None:
        self._options = options
        self._pools: dict[str, channels.ChannelPool] = {}
        self._background: set[asyncio.Task[None]] = set()

    @classmethod
    def from_config(
        cls,
        data_centre: str,
        connect_timeout_ms: int,
        spare_connections: int = _SPARE_CONNECTIONS,
    ) -> Self:
        """Creates a transport; must be called in a running event loop.

        Args:
            data_centre: Data centre of this host, sent in a header.
            connect_timeout_ms: Timeout for opening a connection.
            spare_connections: Number of idle connections to keep open for
                each upstream.
        """
        headers = {wire.HEADER_DATA_CENTRE: data_centre}
        return cls(
            channels.ChannelOptions(
                headers, connect_timeout_ms, spare_connections
            )
        )

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
        result = await self._post(
            upstream, "/v1/search", body, attempt.attempt_id
        )
        if isinstance(result, outcomes.AttemptFailure):
            return result
        if result.status != _STATUS_OK:
            return _failure_from_refusal(result)
        return _search_result(attempt, result.body)

    async def act(
        self, upstream: base.Upstream, action: base.Action
    ) -> base.ActionAnswered | outcomes.AttemptFailure:
        """Sends an action at most once and returns how it ended.

        An action whose timeout has already passed is not sent.
        """
        if action.timeout_ms <= 0:
            return outcomes.AttemptFailure(
                outcomes.Reason.DEADLINE, written=False, refused=False
            )
        body = wire.ActionBody(
            attempt_id=action.attempt_id,
            key=action.key,
            member=action.member,
            target=action.target,
            body=action.body,
            timeout_ms=action.timeout_ms,
        )
        result = await self._post(
            upstream,
            "/v1/act",
            body,
            action.attempt_id,
            action.timeout_ms / _MS_PER_S,
        )
        if isinstance(result, outcomes.AttemptFailure):
            return result
        if result.status != _STATUS_OK:
            return _failure_from_refusal(result)
        try:
            reply = wire.action_reply_decoder.decode(result.body)
        except msgspec.DecodeError:
            return _written_failure(outcomes.Reason.REPLY_LOST)
        if reply["attempt_id"] != action.attempt_id:
            return _written_failure(outcomes.Reason.REPLY_LOST)
        return base.ActionAnswered(reply["body"])

    async def cancel(self, upstream: base.Upstream, attempt_id: str) -> bool:
        """Cancels an attempt; returns whether the upstream confirmed it."""
        body = wire.CancelBody(attempt_id=attempt_id)
        data = wire.encode(body)
        for number in range(_MAX_CANCEL_CALLS):
            # Retries use a new connection, because an idle one may no longer
            # respond either.
            result = await self._call(
                upstream,
                "POST",
                "/v1/cancel",
                data,
                _CANCEL_TIMEOUT_S,
                force_new=number > 0,
            )
            if isinstance(result, _Reply):
                return result.status == _STATUS_OK
            if result.reason is outcomes.Reason.CONNECT_FAILED:
                return False
        return False

    async def health(self, upstream: base.Upstream) -> base.HealthReport | None:
        """Requests the health report; returns None if there is no valid one."""
        result = await self._call(
            upstream, "GET", "/v1/health", None, _HEALTH_TIMEOUT_S
        )
        if isinstance(result, outcomes.AttemptFailure):
            return None
        try:
            reply = wire.health_decoder.decode(result.body)
        except msgspec.DecodeError:
            return None
        return base.HealthReport(reply["state"], reply["load"])

    async def prewarm(self, upstream: base.Upstream) -> None:
        """Opens the spare connections to an upstream."""
        await self._pool(upstream).warm_up()

    async def check_idle(self) -> None:
        """Probes the connection to each upstream that was idle for longest."""
        pools = list(self._pools.values())
        await asyncio.gather(*(pool.probe_oldest_idle() for pool in pools))

    async def close(self) -> None:
        """Closes all connections."""
        for task in self._background:
            task.cancel()
        pools, self._pools = self._pools, {}
        for pool in pools.values():
            await pool.close()

    async def _post(
        self,
        upstream: base.Upstream,
        path: str,
        body: Any,
        attempt_id: str,
        timeout_s: float | None = None,
    ) -> _Reply | outcomes.AttemptFailure:
        return await self._call(
            upstream,
            "POST",
            path,
            wire.encode(body),
            timeout_s,
            attempt_id=attempt_id,
        )

    async def _call(
        self,
        upstream: base.Upstream,
        method: str,
        path: str,
        data: bytes | None,
        timeout_s: float | None,
        force_new: bool = False,
        attempt_id: str | None = None,
    ) -> _Reply | outcomes.AttemptFailure:
        """Sends one request on a channel that no other request uses.

        The channel is reused only after a complete answer that belongs to
        this request.
        """
        pool = self._pool(upstream)
        channel = pool.acquire(force_new)
        url = f"http://{upstream.endpoint}{path}"
        reply: _Reply | None = None
        try:
            async with asyncio.timeout(timeout_s):
                async with channel.session.request(
                    method, url, data=data, allow_redirects=False
                ) as response:
                    body = await http_bodies.read_body(
                        response, http_bodies.MAX_UPSTREAM_BODY_BYTES
                    )
                    reply = _Reply(
                        response.status,
                        body,
                        _matches_attempt(body, attempt_id, channel.is_new),
                    )
            return reply
        except (aiohttp.ClientError, OSError) as error:
            log.debug("request to %s failed: %r", upstream.name, error)
            return _failure_from_error(error)
        finally:
            if reply is None or not reply.matches_request:
                pool.discard(channel)
            else:
                pool.release(channel)

    def _pool(self, upstream: base.Upstream) -> channels.ChannelPool:
        pool = self._pools.get(upstream.endpoint)
        if pool is None:
            url = f"http://{upstream.endpoint}/v1/health"
            pool = channels.ChannelPool(
                url, self._options, self._run_in_background
            )
            self._pools[upstream.endpoint] = pool
        return pool

    def _run_in_background(self, work: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def _matches_attempt(
    body: bytes, attempt_id: str | None, is_first: bool
) -> bool:
    """Returns whether an answer belongs to an attempt.

    An answer without an attempt id may be a copy of an earlier answer, so it
    is accepted only as the first one on its connection.

    Args:
        body: Body of the answer.
        attempt_id: Identifier of the attempt; None if the request has none.
        is_first: Whether it is the first answer on its connection.
    """
    if attempt_id is None:
        return True
    try:
        echoed = wire.echo_decoder.decode(body).attempt_id
    except msgspec.DecodeError:
        return is_first
    return is_first if echoed is None else echoed == attempt_id


def _written_failure(reason: outcomes.Reason) -> outcomes.AttemptFailure:
    return outcomes.AttemptFailure(reason, written=True, refused=False)


def _failure_from_error(error: Exception) -> outcomes.AttemptFailure:
    """Converts an error of a request to a failure.

    Only a connection that was never opened proves that nothing was written.
    """
    if isinstance(
        error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError
    ):
        return outcomes.AttemptFailure(
            outcomes.Reason.CONNECT_FAILED, written=False, refused=False
        )
    if isinstance(error, TimeoutError):
        return _written_failure(outcomes.Reason.DEADLINE)
    return _written_failure(outcomes.Reason.REPLY_LOST)


def _failure_from_refusal(result: _Reply) -> outcomes.AttemptFailure:
    """Converts an answer with an error status to a failure.

    Only a well-formed refusal of this attempt proves that it did not run.
    """
    is_refusal = result.status in (wire.STATUS_REFUSED, wire.STATUS_NOT_HELD)
    if not result.matches_request or not is_refusal:
        return _written_failure(outcomes.Reason.REPLY_LOST)
    try:
        reply = wire.refusal_decoder.decode(result.body)
    except msgspec.DecodeError:
        return _written_failure(outcomes.Reason.REPLY_LOST)
    reason = _REFUSALS.get(reply["refused"], outcomes.Reason.REJECTED)
    return outcomes.AttemptFailure(
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
    actual = echoes.Echo(
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
    field = echoes.first_mismatch(expected, actual)
    return (
        attempts.Answered(found) if field is None else attempts.Dropped(field)
    )
