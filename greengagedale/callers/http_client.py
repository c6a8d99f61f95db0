"""HTTP client that sends callers' requests to hosts, based on aiohttp."""

from typing import Any, Self

import aiohttp
import msgspec

from greengagedale import http_bodies
from greengagedale import outcomes
from greengagedale import untrusted_json
from greengagedale.callers import base
from greengagedale.callers import wire
from greengagedale.retry import key_retry

_MS_PER_S = 1000.0
_CONNECT_TIMEOUT_S = 0.5
_LOCATE_TIMEOUT_S = 1.0
_STATUS_OK = 200
_CLIENT_ERRORS = range(400, 500)


class HostClient:
    """HTTP client of one caller; keeps its connections to the hosts."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    @classmethod
    def from_config(cls) -> Self:
        """Creates a client; must be called on a running event loop."""
        return cls(aiohttp.ClientSession())

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def locate(
        self, endpoint: str, data_centre: str | None
    ) -> base.LocateReply | None:
        """Asks a host which hosts to use; returns None if it doesn't answer."""
        params = {"data_centre": data_centre} if data_centre else {}
        try:
            async with self._session.get(
                f"http://{endpoint}/v1/locate",
                params=params,
                timeout=aiohttp.ClientTimeout(total=_LOCATE_TIMEOUT_S),
            ) as response:
                body = await http_bodies.read_body(
                    response, http_bodies.MAX_DOCUMENT_BODY_BYTES
                )
            return untrusted_json.decode(body, base.LocateReply)
        except (aiohttp.ClientError, OSError, msgspec.DecodeError):
            return None

    async def send(
        self, endpoint: str, path: str, body: Any, wait_ms: float
    ) -> key_retry.HostResult:
        """Sends a request once.

        Args:
            endpoint: Endpoint of the host.
            path: Path of the request.
            body: Body of the request, to be encoded as JSON.
            wait_ms: Timeout for the answer.
        """
        timeout = aiohttp.ClientTimeout(
            total=wait_ms / _MS_PER_S, sock_connect=_CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.post(
                f"http://{endpoint}{path}",
                data=msgspec.json.encode(body),
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                reply_body = await http_bodies.read_body(
                    response, http_bodies.MAX_DOCUMENT_BODY_BYTES
                )
                return _result_of(response.status, reply_body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return key_retry.NotConnected()
        except (aiohttp.ClientError, OSError):
            return key_retry.ReplyLost()


def _result_of(status: int, encoded: bytes) -> key_retry.HostResult:
    try:
        if status == _STATUS_OK:
            return key_retry.Answered(
                outcomes.Ran(untrusted_json.decode(encoded))
            )
        failure = untrusted_json.decode(encoded, wire.FailureReply)
        reason = outcomes.Reason(failure["reason"])
    except (msgspec.DecodeError, ValueError):
        return _rejection_result(status, encoded)
    if failure["outcome"] == outcomes.NotRun.tag:
        retry_after_ms = failure.get("retry_after_ms", 0)
        return key_retry.Answered(outcomes.NotRun(reason, retry_after_ms))
    return key_retry.Answered(outcomes.Unknown(reason))


def _rejection_result(status: int, encoded: bytes) -> key_retry.HostResult:
    if status not in _CLIENT_ERRORS:
        return key_retry.ReplyLost()
    try:
        error = untrusted_json.decode(encoded, wire.ErrorReply)
    except msgspec.DecodeError:
        return key_retry.Rejected(f"status {status}")
    return key_retry.Rejected(error["message"])
