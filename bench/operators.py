"""Concurrent changes to the same objects on a faulty platform."""

import asyncio
from collections.abc import Iterable
import random
import time
from typing import Any, ClassVar, NamedTuple

import aiohttp

from bench import cases
from bench import changes
from greengagedale import loops
from greengagedale.catalog import catalogs
from greengagedale.catalog import documents
from greengagedale.catalog import edits
from greengagedale.operators import wire
from standins import change_history
from standins import deployments

_OPERATOR_COUNT = 10
_CHANGE_COUNT = 1000
_DELAY_MS = 20
_REPLY_LOSS_INTERVAL = 10
_FAULTS = {"delay_ms": _DELAY_MS, "lose_every": _REPLY_LOSS_INTERVAL}
_POLL_INTERVAL_S = 0.01
_OUTCOME_POLL_S = 0.2
_CLIENT_TIMEOUT_S = 30.0
_MS_PER_S = 1000.0
_WORKSPACE_COUNT = 6
_OUTAGE_INTERVAL_S = 3.0
_OUTAGE_S = 0.5


class _StoredRevision(NamedTuple):
    at_ms: float
    revision: int


class _SentChange(NamedTuple):
    change_outcome: change_history.ChangeOutcome
    sent_ms: float
    answered_ms: float
    was_unknown: bool


class ConcurrentOperators(cases.Case):
    """Ten operators on a slow platform that loses replies.

    The second policy adds outages.
    """

    name = "operators"
    shapes: ClassVar[tuple[str, ...]] = ("kodklubben",)
    seeds: ClassVar[tuple[int, ...]] = (1,)

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Runs all operators, then checks the event record of the platform."""
        for policy in ("slow", "slow_with_outages"):
            yield from self._measure(context, policy)

    def _measure(
        self, context: cases.Context, policy: str
    ) -> Iterable[cases.Row]:
        deployment = context.deployment(policy)
        try:
            deployment.start(service=changes.NO_SERVICE)
            deployment.control_platform(**_FAULTS)
            before = changes.count_platform_calls(deployment)
            started = time.monotonic()
            operator_load = _OperatorLoad(deployment, context.seed, policy)
            loops.run(operator_load.run())
            took_s = time.monotonic() - started
            after = changes.count_platform_calls(deployment)
            calls = {key: after[key] - before.get(key, 0) for key in after}
            yield self._row(context, operator_load, calls, took_s)
        finally:
            deployment.stop()

    def _row(
        self,
        context: cases.Context,
        operator_load: "_OperatorLoad",
        calls: dict[str, int],
        took_s: float,
    ) -> cases.Row:
        events = operator_load.deployment.read_record("platform")
        values, blobs = change_history.stored_values(events)
        stored = [
            _StoredRevision(
                item["at_ms"],
                change_history.revision_of(item["value"].encode()),
            )
            for item in events
            if item["event"] == "write"
            and item["kind"] == catalogs.KIND_CATALOG
        ]
        change_outcomes = [
            _with_stored_revisions(item, stored) for item in operator_load.sent
        ]
        findings = change_history.check(values, blobs, change_outcomes)
        outcomes = [item.outcome for item in change_outcomes]
        faults = {
            "lost": len(findings.lost),
            "twice": len(findings.duplicates),
            "reversions": operator_load.reversions,
            "falsely_refused": len(findings.false_refusals),
            "invalid_accepted": len(findings.invalid) + len(findings.gaps),
            "never_decided": outcomes.count("unknown"),
        }
        figures = {
            **faults,
            "changes": len(change_outcomes),
            "accepted": outcomes.count("accepted"),
            "refused_invalid": _reasons(change_outcomes).count("invalid"),
            "refused_conflict": _reasons(change_outcomes).count("conflict"),
            "refused_busy": _reasons(change_outcomes).count("busy"),
            "refused_down": _reasons(change_outcomes).count("platform_down"),
            "answered_unknown": sum(i.was_unknown for i in operator_load.sent),
            "took_s": took_s,
            "answer_p50_ms": changes.quantile(
                _latencies(operator_load.sent), 0.5
            ),
            "answer_p99_ms": changes.quantile(
                _latencies(operator_load.sent), 0.99
            ),
            "documents_written": len(blobs),
            "documents_left": len(blobs) - _count_deleted_documents(events),
            "writes_a_change": calls.get("put", 0) / len(change_outcomes),
            "reads_a_change": calls.get("get", 0) / len(change_outcomes),
        }
        return cases.Row(
            self.name,
            operator_load.deployment.shape.name,
            operator_load.policy,
            context.seed,
            figures,
            "0 lost, 0 reversions, 0 falsely refused, 0 invalid accepted",
            not any(faults.values())
            and "busy" not in _reasons(change_outcomes),
        )


class _OperatorLoad:
    """Runs the operators and monitors the revisions in force on the hosts.

    Attributes:
        sent: Changes that have an outcome.
        reversions: Number of polls at which a host showed a lower revision
            than its highest so far.
    """

    def __init__(
        self, deployment: deployments.Deployment, seed: int, policy: str
    ) -> None:
        self.deployment = deployment
        self.policy = policy
        self.sent: list[_SentChange] = []
        self.reversions = 0
        self._seed = seed
        self._hosts = deployment.shape.entry_hosts()

    async def run(self) -> None:
        """Runs all operators to the end of their changes."""
        timeout = aiohttp.ClientTimeout(total=_CLIENT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            client = changes.OperatorClient(
                session, self.deployment, self._hosts
            )
            watches = [
                asyncio.create_task(self._monitor_revisions(client, host.name))
                for host in self._hosts
            ]
            if self.policy == "slow_with_outages":
                outages = asyncio.create_task(self._cause_outages(session))
                watches.append(outages)
            operators = [
                self._run_operator(session, random.Random(f"{self._seed}/{n}"))
                for n in range(_OPERATOR_COUNT)
            ]
            await asyncio.gather(*operators)
            for watch in watches:
                watch.cancel()
            await asyncio.gather(*watches, return_exceptions=True)

    async def _monitor_revisions(
        self, client: changes.OperatorClient, host: str
    ) -> None:
        highest = 0
        while True:
            revision = await client.revision(host)
            self.reversions += revision < highest
            highest = max(highest, revision)
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _cause_outages(self, session: aiohttp.ClientSession) -> None:
        url = f"http://{self.deployment.shape.platform_endpoint}/control"
        while True:
            await asyncio.sleep(_OUTAGE_INTERVAL_S)
            await _call(session, "POST", url, json={**_FAULTS, "down": True})
            await asyncio.sleep(_OUTAGE_S)
            await _call(session, "POST", url, json=_FAULTS)

    async def _run_operator(
        self, session: aiohttp.ClientSession, rng: random.Random
    ) -> None:
        for _ in range(_CHANGE_COUNT // _OPERATOR_COUNT):
            endpoint = self.deployment.operator_address(rng.choice(self._hosts))
            root = f"http://{endpoint}/v1"
            created = await _call(session, "POST", f"{root}/changes")
            change = _random_change(
                rng, created["change_id"], created["revision"]
            )
            sent_ms = time.monotonic() * _MS_PER_S
            body = await _send(session, root, change)
            answered_ms = time.monotonic() * _MS_PER_S
            unknown = body["outcome"] == "unknown"
            while body["outcome"] == "unknown":
                await asyncio.sleep(_OUTCOME_POLL_S)
                url = f"{root}/changes/{change.change_id}"
                body = await _call(session, "GET", url)
            change_outcome = change_history.ChangeOutcome(
                change,
                body["outcome"],
                body.get("revision", 0),
                body.get("reason", ""),
            )
            self.sent.append(
                _SentChange(change_outcome, sent_ms, answered_ms, unknown)
            )


async def _call(
    session: aiohttp.ClientSession, method: str, url: str, **extra: Any
) -> Any:
    async with session.request(method, url, **extra) as response:
        return await response.json()


async def _send(
    session: aiohttp.ClientSession, root: str, change: edits.Change
) -> Any:
    headers = {
        wire.HEADER_CHANGE_ID: change.change_id,
        wire.HEADER_CHANGE_ATTEMPT: "1",
    }
    if change.expected_revision is not None:
        headers["If-Match"] = f'"r{change.expected_revision}"'
    [key] = edits.touched_keys(change)
    document = change.template or change.workspace
    if document is None:
        return await _call(session, "DELETE", f"{root}/{key}", headers=headers)
    body = document.model_dump()
    return await _call(
        session, "PUT", f"{root}/{key}", headers=headers, json=body
    )


def _random_change(
    rng: random.Random, change_id: str, revision: int
) -> edits.Change:
    """Returns a random change that often conflicts with concurrent ones."""
    defaults = (
        {"timeout_ms": rng.randrange(1, 100)} if rng.random() < 0.6 else {}
    )
    expected = revision if rng.random() < 0.3 else None
    name = f"w{rng.randrange(_WORKSPACE_COUNT)}"
    kind = rng.randrange(10)
    if kind == 0:
        return edits.Change(change_id, delete_template="site")
    if kind < 3:
        return edits.Change(
            change_id, delete_workspace=name, expected_revision=expected
        )
    if kind < 6:
        template = _template(defaults)
        return edits.Change(
            change_id, template=template, expected_revision=expected
        )
    workspace = documents.parse_workspace(
        {
            "name": name,
            "member": "member-a",
            "template": "site",
            "parameters": defaults,
        }
    )
    return edits.Change(
        change_id, workspace=workspace, expected_revision=expected
    )


def _template(defaults: dict[str, int]) -> documents.Template:
    return documents.parse_template(
        {
            "name": "site",
            "parameters": {
                key: {"type": "integer", "default": value}
                for key, value in defaults.items()
            },
            "workspace": {
                "service": "places",
                **{key: f"${{{key}}}" for key in defaults},
            },
        }
    )


def _with_stored_revisions(
    sent: _SentChange, stored: list[_StoredRevision]
) -> change_history.ChangeOutcome:
    """Adds the stored revisions at the sending and at the reply."""
    return sent.change_outcome._replace(
        from_revision=_revision_at(stored, sent.sent_ms),
        to_revision=_revision_at(stored, sent.answered_ms),
    )


def _revision_at(stored: list[_StoredRevision], at_ms: float) -> int:
    return max((i.revision for i in stored if i.at_ms <= at_ms), default=0)


def _count_deleted_documents(events: list[dict[str, Any]]) -> int:
    return sum(
        item["event"] == "write"
        and item["kind"] == catalogs.KIND_DOCUMENT
        and item["value"] is None
        for item in events
    )


def _reasons(change_outcomes: list[change_history.ChangeOutcome]) -> list[str]:
    return [item.reason for item in change_outcomes]


def _latencies(sent: list[_SentChange]) -> list[float]:
    return [item.answered_ms - item.sent_ms for item in sent]
