"""Client library for callers.

The client locates entry hosts and caches the result. It fails over between
hosts and manages the idempotency keys of actions.
"""

import asyncio
import itertools
import random
from typing import Any, NamedTuple, Self

from greengagedale import clocks
from greengagedale import exceptions
from greengagedale import outcomes
from greengagedale.callers import base
from greengagedale.callers import http_client
from greengagedale.callers import wire
from greengagedale.idempotency import tickets
from greengagedale.retry import key_retry

_MS_PER_S = 1000.0
_REPLY_GRACE_MS = 200.0
_DEFAULT_TIMEOUT_MS = 10_000
_MIN_SEND_TIMEOUT_MS = 500.0
_SUSPECT_MS = 2000.0
_INITIAL_BACKOFF_MS = 50.0
_MAX_BACKOFF_MS = 800.0
_MAX_NEW_KEYS = 4
# Refusal reasons that are specific to one host; another may accept the request.
_FAILOVER_REASONS = frozenset(
    {outcomes.Reason.NOT_READY, outcomes.Reason.STOPPING}
)


class _CachedLocate(NamedTuple):
    """A cached locate reply.

    Attributes:
        located: The reply.
        issuer: Endpoint of the host that sent the reply and issued its ticket.
        expires_ms: Time at which the reply expires.
    """

    located: base.LocateReply
    issuer: str
    expires_ms: float

    @property
    def endpoints(self) -> list[str]:
        return [host["endpoint"] for host in self.located["hosts"]]


class Client:
    """Client of a deployment of entry hosts, for use on an event loop."""

    def __init__(
        self,
        host_client: http_client.HostClient,
        endpoints: list[str],
        data_centre: str | None,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._host_client = host_client
        self._endpoints = endpoints
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._cached_locate: _CachedLocate | None = None
        self._suspect_expires_ms: dict[str, float] = {}

    @classmethod
    def from_config(
        cls, endpoints: list[str], data_centre: str | None = None
    ) -> Self:
        """Creates a client; must be called on a running event loop.

        Args:
            endpoints: Endpoints of the hosts to contact first, in any order.
            data_centre: Data centre of the caller, used to prefer hosts nearby.
        """
        return cls(
            http_client.HostClient.from_config(),
            endpoints,
            data_centre,
            clocks.MonotonicClock(),
            random.Random(),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._host_client.close()

    async def locate(self) -> base.LocateReply:
        """Returns the hosts to use, from the cache until its TTL expires.

        Raises:
            RemoteError: No host answers.
        """
        return (await self._locate()).located

    async def search(
        self,
        workspace: str,
        text: str,
        limit: int | None = None,
        timeout_ms: int | None = None,
    ) -> outcomes.Outcome:
        """Runs a search, failing over to other hosts until the deadline.

        Returns:
            `Ran` with a `callers.wire.SearchReply`; otherwise `NotRun` or
            `Unknown` with the reason.

        Raises:
            RemoteError: No host answers, or the request is not valid.
        """
        deadline_ms = self._deadline_ms(timeout_ms)
        path = f"/v1/workspaces/{workspace}/search"
        body = wire.SearchBody(text=text)
        if limit is not None:
            body["limit"] = limit
        last: outcomes.Outcome = outcomes.NotRun(
            outcomes.Reason.CONNECT_FAILED, 0
        )
        for endpoint in self._order_endpoints((await self._locate()).endpoints):
            remaining_ms = deadline_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                break
            if timeout_ms is not None:
                body["timeout_ms"] = max(1, int(remaining_ms))
            result = await self._send(
                endpoint, path, body, remaining_ms + _REPLY_GRACE_MS
            )
            match result:
                case key_retry.Answered(outcome):
                    last = _merge_outcomes(last, outcome)
                    if not _may_fail_over(outcome):
                        return last
                case key_retry.Rejected(message):
                    raise exceptions.RemoteError(message)
                case key_retry.ReplyLost():
                    last = outcomes.Unknown(outcomes.Reason.REPLY_LOST)
        return last

    async def act(
        self,
        workspace: str,
        target: int,
        body: Any,
        key: str | None = None,
        timeout_ms: int | None = None,
        first_send: bool = False,
    ) -> outcomes.Outcome:
        """Runs an action, which is not idempotent, at most once.

        Without a key, the client makes one from a ticket, and makes a new one
        after a refusal that may be retried. A key given by the caller is sent
        unchanged; if it is refused, the refusal is final.

        Args:
            workspace: Workspace in which the action runs.
            target: Key of the document that the action applies to.
            body: Description of the action for the upstream.
            key: Idempotency key chosen by the caller.
            timeout_ms: Time until the deadline of the answer.
            first_send: Whether the caller's key was never sent before. During a
                platform outage, `NotRun` is possible only if this is true.

        Returns:
            `Ran` with a `callers.wire.ActionReply`; otherwise `NotRun` or
            `Unknown` with the reason.

        Raises:
            RemoteError: No host answers, or the request is not valid.
        """
        action = _Action(
            f"/v1/workspaces/{workspace}/act",
            target,
            body,
            timeout_ms,
            self._deadline_ms(timeout_ms),
        )
        if key is not None:
            own_key = _Key(key, ticketed=False, sent_before=not first_send)
            cached = await self._locate()
            endpoints = self._order_endpoints(cached.endpoints)
            return await self._send_key(action, own_key, endpoints)
        outcome: outcomes.Outcome = _connect_failed()
        for _ in range(_MAX_NEW_KEYS):
            outcome = await self._send_new_key(action)
            if not key_retry.may_retry_with_new_key(outcome):
                break
            if not await self._wait_for_retry(outcome, action.deadline_ms):
                break
        return outcome

    async def _send_new_key(self, action: "_Action") -> outcomes.Outcome:
        cached = await self._locate(with_ticket=True)
        key = _Key(tickets.new_key(cached.located["ticket"]), ticketed=True)
        others = self._order_endpoints(cached.endpoints, cached.issuer)
        return await self._send_key(action, key, [cached.issuer, *others])

    async def _send_key(
        self, action: "_Action", key: "_Key", endpoints: list[str]
    ) -> outcomes.Outcome:
        """Sends one key until its outcome is known or the deadline passes."""
        retry_state = key_retry.KeyRetryState(key.ticketed, key.sent_before)
        for send_number, endpoint in enumerate(itertools.cycle(endpoints)):
            if send_number and send_number % len(endpoints) == 0:
                await self._back_off(send_number // len(endpoints))
            remaining_ms = action.deadline_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                return retry_state.on_deadline()
            body = action.to_body(
                key.value, retry_state.never_sent, remaining_ms
            )
            wait_ms = max(
                remaining_ms / 2, min(remaining_ms, _MIN_SEND_TIMEOUT_MS)
            )
            result = await self._send(endpoint, action.path, body, wait_ms)
            match retry_state.on_result(result):
                case key_retry.ReportOutcome(outcome):
                    return outcome
                case key_retry.ReportInvalid(message):
                    raise exceptions.RemoteError(message)
                case key_retry.UseNewKey():
                    return _connect_failed()
        raise AssertionError("no endpoints to send the key to")

    async def _send(
        self, endpoint: str, path: str, body: Any, wait_ms: float
    ) -> key_retry.HostResult:
        result = await self._host_client.send(endpoint, path, body, wait_ms)
        if isinstance(result, key_retry.ReplyLost | key_retry.NotConnected):
            self._mark_suspect(endpoint)
        return result

    async def _locate(self, with_ticket: bool = False) -> _CachedLocate:
        cached = self._cached_locate
        is_fresh = (
            cached is not None and self._clock.now_ms() < cached.expires_ms
        )
        if is_fresh and (cached.located["ticket"] or not with_ticket):
            return cached
        earlier = cached.endpoints if cached else []
        endpoints = dict.fromkeys([*earlier, *self._endpoints])
        for endpoint in self._order_endpoints(endpoints):
            found = await self._locate_from(endpoint)
            if found is None or (with_ticket and not found.located["ticket"]):
                continue
            self._cached_locate = found
            return found
        raise exceptions.RemoteError(
            f"no entry host answers; asked {', '.join(endpoints)}; "
            "check the addresses and that the hosts run"
        )

    async def _locate_from(self, endpoint: str) -> _CachedLocate | None:
        requested_ms = self._clock.now_ms()
        located = await self._host_client.locate(endpoint, self._data_centre)
        if located is None:
            self._mark_suspect(endpoint)
            return None
        if not located["hosts"]:
            return None
        return _CachedLocate(
            located, endpoint, requested_ms + located["ttl_ms"]
        )

    def _order_endpoints(self, endpoints: Any, excluded: str = "") -> list[str]:
        """Returns the endpoints, with those that failed recently last."""
        now_ms = self._clock.now_ms()
        wanted = [item for item in endpoints if item != excluded]
        return sorted(
            wanted,
            key=lambda item: self._suspect_expires_ms.get(item, 0.0) > now_ms,
        )

    def _mark_suspect(self, endpoint: str) -> None:
        self._suspect_expires_ms[endpoint] = self._clock.now_ms() + _SUSPECT_MS
        if self._cached_locate is not None:
            self._cached_locate = self._cached_locate._replace(expires_ms=0.0)

    async def _wait_for_retry(
        self, outcome: outcomes.NotRun, deadline_ms: float
    ) -> bool:
        """Waits for the delay that the refusal asks for.

        Returns:
            Whether the delay ended before the deadline; False without waiting
            otherwise.
        """
        pause_ms = outcome.retry_after_ms * self._rng.uniform(1.0, 1.5)
        if self._clock.now_ms() + pause_ms >= deadline_ms:
            return False
        await asyncio.sleep(pause_ms / _MS_PER_S)
        return True

    async def _back_off(self, round_number: int) -> None:
        max_ms = min(_INITIAL_BACKOFF_MS * 2**round_number, _MAX_BACKOFF_MS)
        pause_ms = self._rng.uniform(max_ms / 2, max_ms)
        await asyncio.sleep(pause_ms / _MS_PER_S)

    def _deadline_ms(self, timeout_ms: int | None) -> float:
        return self._clock.now_ms() + (timeout_ms or _DEFAULT_TIMEOUT_MS)


class _Key(NamedTuple):
    """An idempotency key.

    Attributes:
        value: The key.
        ticketed: Whether the key was made from a ticket.
        sent_before: Whether the key may have been sent earlier, such as by
            another process.
    """

    value: str
    ticketed: bool
    sent_before: bool = False


class _Action(NamedTuple):
    """An action without its key.

    Attributes:
        path: Path of the request.
        target: Key of the document that the action applies to.
        body: Description of the action for the upstream.
        timeout_ms: Timeout given by the caller, or None.
        deadline_ms: Deadline of the answer.
    """

    path: str
    target: int
    body: Any
    timeout_ms: int | None
    deadline_ms: float

    def to_body(
        self, key: str, first_send: bool, remaining_ms: float
    ) -> wire.ActionBody:
        """Returns the request body of one send."""
        body = wire.ActionBody(
            key=key, target=self.target, body=self.body, first_send=first_send
        )
        if self.timeout_ms is not None:
            body["timeout_ms"] = max(1, int(remaining_ms))
        return body


def _connect_failed() -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.Reason.CONNECT_FAILED, 0)


def _merge_outcomes(
    earlier: outcomes.Outcome, later: outcomes.Outcome
) -> outcomes.Outcome:
    """Returns the combined outcome of two hosts for one search.

    A refusal by the later host does not replace an earlier `Unknown`, because
    the search may have run on the earlier host.
    """
    later_refused = isinstance(later, outcomes.NotRun)
    if later_refused and isinstance(earlier, outcomes.Unknown):
        return earlier
    return later


def _may_fail_over(outcome: outcomes.Outcome) -> bool:
    refused = isinstance(outcome, outcomes.NotRun)
    return refused and outcome.reason in _FAILOVER_REASONS
