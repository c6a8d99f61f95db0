"""The caller's side: locate hosts, keep the answer, fail over, use keys."""

import secrets
from typing import Any, Self

import aiohttp
import msgspec

from greengagedale import clocks
from greengagedale import exceptions
from greengagedale import outcomes
from greengagedale.callers import base
from greengagedale.callers import wire

_KEY_BYTES = 12
_MS_PER_S = 1000.0
_GRACE_S = 1.0
_DEFAULT_TIMEOUT_S = 10.0
_STATUS_OK = 200


class Client:
    """Asks a deployment of entry hosts, from any process that has a loop."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        endpoints: list[str],
        data_centre: str | None,
        clock: clocks.Clock,
    ) -> None:
        self._session = session
        self._endpoints = endpoints
        self._data_centre = data_centre
        self._clock = clock
        self._located: base.Located | None = None
        self._located_until_ms = 0.0

    @classmethod
    def from_config(
        cls, endpoints: list[str], data_centre: str | None = None
    ) -> Self:
        """Makes a client; must be called on a running loop.

        Args:
            endpoints: Addresses of hosts to ask first, in any order.
            data_centre: Where the caller runs, for nearer hosts.
        """
        return cls(
            aiohttp.ClientSession(),
            endpoints,
            data_centre,
            clocks.MonotonicClock(),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def locate(self) -> base.Located:
        """Returns the hosts to use, from memory while the TTL lasts.

        Raises:
            RemoteError: No host answers.
        """
        if self._located and self._clock.now_ms() < self._located_until_ms:
            return self._located
        known = [
            host["endpoint"]
            for host in (self._located or {"hosts": []})["hosts"]
        ]
        for endpoint in [*known, *self._endpoints]:
            asked_ms = self._clock.now_ms()
            found = await self._ask_locate(endpoint)
            if found is not None and found["hosts"]:
                self._located = found
                self._located_until_ms = asked_ms + found["ttl_ms"]
                return found
        raise exceptions.RemoteError(
            f"no entry host answers; asked {', '.join(self._endpoints)}"
        )

    async def search(
        self,
        workspace: str,
        text: str,
        limit: int | None = None,
        timeout_ms: int | None = None,
    ) -> outcomes.Outcome:
        """Runs a search, on other hosts too if the first can't be reached.

        Returns:
            `Ran` with a `callers.wire.SearchReply`, or why there is none.
        """
        body = wire.SearchBody(text=text)
        if limit is not None:
            body["limit"] = limit
        if timeout_ms is not None:
            body["timeout_ms"] = timeout_ms
        path = f"/v1/workspaces/{workspace}/search"
        return await self._call(path, body, timeout_ms, safe=True)

    async def act(
        self,
        workspace: str,
        target: int,
        body: Any,
        key: str | None = None,
        timeout_ms: int | None = None,
    ) -> outcomes.Outcome:
        """Runs a request that is not safe to repeat, at most once.

        Returns:
            `Ran` with a `callers.wire.ActionReply`, or why there is none.
        """
        message = wire.ActionBody(
            key=key or secrets.token_hex(_KEY_BYTES), target=target, body=body
        )
        if timeout_ms is not None:
            message["timeout_ms"] = timeout_ms
        path = f"/v1/workspaces/{workspace}/act"
        return await self._call(path, message, timeout_ms, safe=False)

    async def _ask_locate(self, endpoint: str) -> base.Located | None:
        params = {"data_centre": self._data_centre} if self._data_centre else {}
        try:
            async with self._session.get(
                f"http://{endpoint}/v1/locate",
                params=params,
                timeout=aiohttp.ClientTimeout(total=_GRACE_S),
            ) as response:
                return msgspec.json.decode(
                    await response.read(), type=base.Located
                )
        except (aiohttp.ClientError, OSError, msgspec.DecodeError):
            return None

    async def _call(
        self, path: str, body: Any, timeout_ms: int | None, safe: bool
    ) -> outcomes.Outcome:
        located = await self.locate()
        last: outcomes.Outcome = outcomes.NotRun(
            outcomes.Reason.CONNECT_FAILED, located["ttl_ms"]
        )
        for host in located["hosts"]:
            last, final = await self._call_host(
                host["endpoint"], path, body, timeout_ms
            )
            if final or (isinstance(last, outcomes.Unknown) and not safe):
                return last
            self._located_until_ms = 0.0
        return last

    async def _call_host(
        self, endpoint: str, path: str, body: Any, timeout_ms: int | None
    ) -> tuple[outcomes.Outcome, bool]:
        total_s = (
            timeout_ms / _MS_PER_S + _GRACE_S
            if timeout_ms
            else _DEFAULT_TIMEOUT_S
        )
        try:
            async with self._session.post(
                f"http://{endpoint}{path}",
                data=msgspec.json.encode(body),
                timeout=aiohttp.ClientTimeout(total=total_s),
            ) as response:
                status, encoded = response.status, await response.read()
        except aiohttp.ClientConnectorError:
            reason = outcomes.Reason.CONNECT_FAILED
            return outcomes.NotRun(reason, 0), False
        except (aiohttp.ClientError, OSError):
            return outcomes.Unknown(outcomes.Reason.REPLY_LOST), False
        return _outcome_of(status, encoded), True


def _outcome_of(status: int, encoded: bytes) -> outcomes.Outcome:
    """Reads a host's answer.

    Raises:
        RemoteError: The request is not valid.
    """
    if status == _STATUS_OK:
        return outcomes.Ran(msgspec.json.decode(encoded))
    try:
        failure = msgspec.json.decode(encoded, type=wire.FailureReply)
    except msgspec.DecodeError:
        text = encoded.decode(errors="replace")
        raise exceptions.RemoteError(f"status {status}: {text}") from None
    reason = outcomes.Reason(failure["reason"])
    if failure["outcome"] == outcomes.NotRun.tag:
        return outcomes.NotRun(reason, failure.get("retry_after_ms", 0))
    return outcomes.Unknown(reason)
