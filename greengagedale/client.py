"""The caller's side: locate hosts, keep the answer, fail over, use keys."""

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
# Another host may well take what this one refuses for these reasons.
_FAILOVER_REASONS = frozenset(
    {outcomes.Reason.NOT_READY, outcomes.Reason.STOPPING}
)


class _CachedLocate(NamedTuple):
    """A locate answer, with the host that gave it."""

    located: base.Located
    issuer: str
    expires_ms: float

    @property
    def endpoints(self) -> list[str]:
        return [host["endpoint"] for host in self.located["hosts"]]


class Client:
    """Asks a deployment of entry hosts, from any process that has a loop."""

    def __init__(
        self,
        calls: http_client.HostCalls,
        endpoints: list[str],
        data_centre: str | None,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._calls = calls
        self._endpoints = endpoints
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._cached_locate: _CachedLocate | None = None
        self._suspect_until_ms: dict[str, float] = {}

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
            http_client.HostCalls.from_config(),
            endpoints,
            data_centre,
            clocks.MonotonicClock(),
            random.Random(),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._calls.close()

    async def locate(self) -> base.Located:
        """Returns the hosts to use, from memory while the TTL lasts.

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
        """Runs a search, on other hosts too while the deadline leaves time.

        Returns:
            `Ran` with a `callers.wire.SearchReply`, or why there is none.

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
        """Runs a request that is not safe to repeat, at most once.

        Without a key, the client makes one from a ticket, and a new one after
        a refusal that is worth another try. A key of the caller's own is sent
        as it is; one that was refused stays refused.

        Args:
            workspace: Workspace to act in.
            target: Key of the document that it acts on.
            body: What to do, for the upstream.
            key: The caller's own idempotency key.
            timeout_ms: When the answer is due.
            first_send: Whether the caller's own key was never sent before; in
                an outage of the platform only that makes `NotRun` possible.

        Returns:
            `Ran` with a `callers.wire.ActionReply`, or why there is none.

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
            made = _Key(key, ticketed=False, sent_before=not first_send)
            cached = await self._locate()
            endpoints = self._order_endpoints(cached.endpoints)
            return await self._send_key(action, made, endpoints)
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
        made = _Key(tickets.new_key(cached.located["ticket"]), ticketed=True)
        others = self._order_endpoints(cached.endpoints, cached.issuer)
        return await self._send_key(action, made, [cached.issuer, *others])

    async def _send_key(
        self, action: "_Action", key: "_Key", endpoints: list[str]
    ) -> outcomes.Outcome:
        """Sends one key until its outcome is known or time is up."""
        retry_state = key_retry.KeyRetryState(key.ticketed, key.sent_before)
        for number, endpoint in enumerate(itertools.cycle(endpoints)):
            if number and number % len(endpoints) == 0:
                await self._back_off(number // len(endpoints))
            remaining_ms = action.deadline_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                return retry_state.on_deadline()
            message = action.message(
                key.text, retry_state.never_sent, remaining_ms
            )
            wait_ms = max(
                remaining_ms / 2, min(remaining_ms, _MIN_SEND_TIMEOUT_MS)
            )
            result = await self._send(endpoint, action.path, message, wait_ms)
            match retry_state.on_result(result):
                case key_retry.ReportOutcome(outcome):
                    return outcome
                case key_retry.ReportInvalid(message):
                    raise exceptions.RemoteError(message)
                case key_retry.UseNewKey():
                    return _connect_failed()
        raise AssertionError("a cycle has no end")

    async def _send(
        self, endpoint: str, path: str, body: Any, wait_ms: float
    ) -> key_retry.HostResult:
        result = await self._calls.send(endpoint, path, body, wait_ms)
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
        located = await self._calls.locate(endpoint, self._data_centre)
        if located is None:
            self._mark_suspect(endpoint)
            return None
        if not located["hosts"]:
            return None
        return _CachedLocate(
            located, endpoint, requested_ms + located["ttl_ms"]
        )

    def _order_endpoints(self, endpoints: Any, excluded: str = "") -> list[str]:
        """Returns endpoints, those that failed lately last."""
        now_ms = self._clock.now_ms()
        wanted = [item for item in endpoints if item != excluded]
        return sorted(
            wanted,
            key=lambda item: self._suspect_until_ms.get(item, 0.0) > now_ms,
        )

    def _mark_suspect(self, endpoint: str) -> None:
        self._suspect_until_ms[endpoint] = self._clock.now_ms() + _SUSPECT_MS
        if self._cached_locate is not None:
            self._cached_locate = self._cached_locate._replace(expires_ms=0.0)

    async def _wait_for_retry(
        self, outcome: outcomes.NotRun, deadline_ms: float
    ) -> bool:
        """Waits as long as the refusal asks; False if time is too short."""
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
        text: The key.
        ticketed: Whether it was made from a ticket.
        sent_before: Whether it may have been sent by someone else.
    """

    text: str
    ticketed: bool
    sent_before: bool = False


class _Action(NamedTuple):
    """An action, apart from its key.

    Attributes:
        path: Path of the request.
        target: Key of the document that it acts on.
        body: What to do.
        timeout_ms: What the caller asked for, or None.
        deadline_ms: When the caller wants to know.
    """

    path: str
    target: int
    body: Any
    timeout_ms: int | None
    deadline_ms: float

    def message(
        self, key: str, first_send: bool, remaining_ms: float
    ) -> wire.ActionBody:
        """Returns the request for one send."""
        made = wire.ActionBody(
            key=key, target=self.target, body=self.body, first_send=first_send
        )
        if self.timeout_ms is not None:
            made["timeout_ms"] = max(1, int(remaining_ms))
        return made


def _connect_failed() -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.Reason.CONNECT_FAILED, 0)


def _merge_outcomes(
    earlier: outcomes.Outcome, later: outcomes.Outcome
) -> outcomes.Outcome:
    """Returns what two hosts' answers to one search come to."""
    later_refused = isinstance(later, outcomes.NotRun)
    if later_refused and isinstance(earlier, outcomes.Unknown):
        return earlier
    return later


def _may_fail_over(outcome: outcomes.Outcome) -> bool:
    refused = isinstance(outcome, outcomes.NotRun)
    return refused and outcome.reason in _FAILOVER_REASONS
