"""Asyncio tasks that act as callers, operators and observers of one run."""

import asyncio
from collections.abc import Callable
import random
import time
from typing import Any, NamedTuple

import aiohttp
import msgspec

from greengagedale.catalog import edits
from greengagedale.idempotency import tickets
from proofs import history as history_lib
from standins import shapes

WORKSPACE = "proof"
TEMPLATE = "proof-template"

_MS_PER_S = 1000.0
_TIMEOUT_MS = 1500
_ANSWER_GRACE_S = 2.0
_LOCATE_TIMEOUT_S = 0.5
_OBSERVATION_INTERVAL_S = 0.2
_MAX_CHANGE_INTERVAL_S = 0.4
_RESEND_SHARE = 0.3
_TICKET_KEY_SHARE = 0.5
_LIMIT = 10
_DOCUMENT_KEYS = 1 << 32
_OPERATOR_TIMEOUT_S = 8.0


class LocateResult(NamedTuple):
    """The answer to a locate request, as cached by a caller."""

    endpoints: list[str]
    ticket: str
    expires_s: float


_EMPTY_LOCATE_RESULT = LocateResult([], "", 0.0)


class Traffic:
    """Sends requests and changes and records their results.

    Attributes:
        calls: Requests of callers and their answers.
        changes: Changes of operators and their results.
        observations: Active revisions reported by hosts.
    """

    def __init__(
        self,
        shape: shapes.Shape,
        service: str,
        session: aiohttp.ClientSession,
        seed: int,
        search_share: float,
    ) -> None:
        self._search_share = search_share
        self._hosts = shape.entry_hosts()
        self._service = service
        self._session = session
        self._rng = random.Random(seed)
        self._seed = seed
        self._revision = 0
        self.calls: list[history_lib.Call] = []
        self.changes: list[history_lib.Change] = []
        self.observations: list[history_lib.Observation] = []

    async def send_requests_until(
        self, stop: asyncio.Event, caller: int
    ) -> None:
        """Sends requests one at a time until `stop` is set."""
        locate_result = _EMPTY_LOCATE_RESULT
        rng = random.Random(f"{self._seed}/{caller}")
        number = 0
        while not stop.is_set():
            number += 1
            if time.monotonic() > locate_result.expires_s:
                locate_result = await self._locate(rng)
            if not locate_result.endpoints:
                await asyncio.sleep(_OBSERVATION_INTERVAL_S)
                continue
            if rng.random() < self._search_share:
                text = f"{caller}-{number}-{rng.randrange(1000)}"
                await self._send_search(locate_result.endpoints[0], text)
            else:
                await self._send_action(
                    locate_result, self._new_key(locate_result, rng), rng
                )
            if self.calls and self.calls[-1].failure:
                locate_result = _EMPTY_LOCATE_RESULT

    async def submit_changes_until(
        self, stop: asyncio.Event, operator: int
    ) -> None:
        """Submits changes one at a time until `stop` is set."""
        rng = random.Random(f"{self._seed}/operator/{operator}")
        number = 0
        while not stop.is_set():
            number += 1
            host = rng.choice(self._hosts)
            change_id = edits.new_change_id(self._revision)
            await self._submit_change(host, change_id, number)
            await asyncio.sleep(_MAX_CHANGE_INTERVAL_S * rng.random())

    async def observe_revisions_until(self, stop: asyncio.Event) -> None:
        """Records the revision of each ready host until `stop` is set."""
        while not stop.is_set():
            await asyncio.gather(
                *(self._observe_revision(h) for h in self._hosts)
            )
            await asyncio.sleep(_OBSERVATION_INTERVAL_S)

    async def _locate(self, rng: random.Random) -> LocateResult:
        for host in rng.sample(self._hosts, len(self._hosts)):
            sent_s = time.monotonic()
            body = await self._request_json(
                "GET", _caller_address(host), "/v1/locate"
            )
            if body and body.get("hosts"):
                endpoints = [item["endpoint"] for item in body["hosts"]]
                # Callers may use any endpoint; shuffling spreads the load.
                rng.shuffle(endpoints)
                expires_s = sent_s + body["ttl_ms"] / _MS_PER_S
                return LocateResult(
                    endpoints, body.get("ticket", ""), expires_s
                )
        return _EMPTY_LOCATE_RESULT

    def _new_key(self, locate_result: LocateResult, rng: random.Random) -> str:
        """Returns a key made from the ticket or chosen by the caller."""
        if locate_result.ticket and rng.random() < _TICKET_KEY_SHARE:
            return tickets.new_key(locate_result.ticket)
        return f"own-{self._seed}-{rng.getrandbits(64):x}"

    async def _send_search(self, endpoint: str, text: str) -> None:
        body = {"text": text, "limit": _LIMIT, "timeout_ms": _TIMEOUT_MS}
        await self._post(
            endpoint,
            body,
            lambda at_ms, done_ms, status, answer, failure: history_lib.Call(
                at_ms,
                done_ms,
                self._host_name(endpoint),
                "search",
                text,
                _LIMIT,
                "",
                status,
                answer,
                failure,
            ),
        )

    async def _send_action(
        self, locate_result: LocateResult, key: str, rng: random.Random
    ) -> None:
        body = {
            "key": key,
            "target": rng.randrange(_DOCUMENT_KEYS),
            "body": {"offer": key},
            "timeout_ms": _TIMEOUT_MS,
        }
        first = {**body, "first_send": True}
        sends = [self._post_action(locate_result.endpoints[0], key, first)]
        if rng.random() < _RESEND_SHARE:
            second_endpoint = rng.choice(locate_result.endpoints)
            sends.append(self._post_action(second_endpoint, key, body))
        await asyncio.gather(*sends)

    async def _post_action(
        self, endpoint: str, key: str, body: dict[str, Any]
    ) -> None:
        await self._post(
            endpoint,
            body,
            lambda at_ms, done_ms, status, answer, failure: history_lib.Call(
                at_ms,
                done_ms,
                self._host_name(endpoint),
                "act",
                "",
                0,
                key,
                status,
                answer,
                failure,
            ),
        )

    async def _post(
        self,
        endpoint: str,
        body: dict[str, Any],
        make_call: Callable[..., history_lib.Call],
    ) -> None:
        path = "act" if "key" in body else "search"
        timeout_s = _TIMEOUT_MS / _MS_PER_S + _ANSWER_GRACE_S
        at_ms = _now_ms()
        status, answer, failure = 0, None, ""
        try:
            async with self._session.post(
                f"http://{endpoint}/v1/workspaces/{WORKSPACE}/{path}",
                data=msgspec.json.encode(body),
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                encoded = await response.read()
                status, answer = response.status, msgspec.json.decode(encoded)
        except aiohttp.ClientConnectorError:
            failure = "connect"
        except TimeoutError:
            failure = "timeout"
        except (aiohttp.ClientError, OSError):
            failure = "cut"
        self.calls.append(make_call(at_ms, _now_ms(), status, answer, failure))

    async def _submit_change(
        self, host: shapes.EntryHost, change_id: str, number: int
    ) -> None:
        at_ms = _now_ms()
        workspace = {
            "member": "member-a",
            "template": TEMPLATE,
            "parameters": {"weight": 1 + number % 9},
        }
        answer = await self._request_json(
            "PUT",
            _operator_address(host),
            f"/v1/workspaces/{WORKSPACE}-{number % 3}",
            workspace,
            {"X-Change-Id": change_id},
        )
        answer = answer or {}
        self.changes.append(
            history_lib.Change(
                at_ms,
                _now_ms(),
                change_id,
                answer.get("outcome", ""),
                answer.get("revision", 0),
            )
        )

    async def _observe_revision(self, host: shapes.EntryHost) -> None:
        ready = await self._request_json(
            "GET", _caller_address(host), "/readyz"
        )
        if not ready or ready.get("status") != "ready":
            return
        at_ms = _now_ms()
        answer = await self._request_json(
            "GET", _operator_address(host), "/v1/workspaces"
        )
        if answer and "revision" in answer:
            self._revision = max(self._revision, answer["revision"])
            self.observations.append(
                history_lib.Observation(at_ms, host.name, answer["revision"])
            )

    async def _request_json(
        self,
        method: str,
        endpoint: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> dict[str, Any] | None:
        total_s = _OPERATOR_TIMEOUT_S if body else _LOCATE_TIMEOUT_S
        try:
            async with self._session.request(
                method,
                f"http://{endpoint}{path}",
                data=msgspec.json.encode(body) if body else None,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=total_s),
            ) as response:
                return msgspec.json.decode(await response.read())
        except (aiohttp.ClientError, OSError, msgspec.DecodeError):
            return None

    def _host_name(self, endpoint: str) -> str:
        return next(
            h.name for h in self._hosts if _caller_address(h) == endpoint
        )


def _now_ms() -> float:
    return time.monotonic() * _MS_PER_S


def _caller_address(host: shapes.EntryHost) -> str:
    return f"{host.address}:{host.caller_port}"


def _operator_address(host: shapes.EntryHost) -> str:
    return f"{host.address}:{host.operator_port}"
