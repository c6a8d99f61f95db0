"""The action runner of one process runs each key at most once."""

import asyncio

import pytest

from greengagedale import action_dispatch
from greengagedale import action_execution
from greengagedale import clocks
from greengagedale import metrics
from greengagedale import outcomes
from greengagedale import request_records
from greengagedale.idempotency import claims
from greengagedale.idempotency import key_table
from greengagedale.idempotency import tickets

OWN = tickets.Issuer("entry-1", "ab")
LIMITS = key_table.KeyTableLimits(
    capacity=10, ticket_life_ms=30_000, retention_ms=60_000
)
RAN = outcomes.Ran("done")


class GatedDispatcher(action_dispatch.ActionDispatcher):
    """Records the keys dispatched to it; ends each once the gate is open."""

    def __init__(self):
        self.keys = []
        self.gate = asyncio.Event()
        self.failure = None

    async def dispatch(self, request, trace):
        self.keys.append(request.key)
        await self.gate.wait()
        if self.failure:
            raise self.failure
        return RAN


class NoClaims(claims.ClaimRegistry):
    async def claim(self, scoped_key, deadline_ms):
        return claims.NotClaimed()


class UnreachableForwarder(action_execution.ActionForwarder):
    async def forward(self, issuer, request, trace):
        return outcomes.Unknown(outcomes.Reason.ISSUER_UNREACHABLE)


class ActionHarness:
    """An action runner with fake collaborators."""

    def __init__(self):
        self.clock = clocks.ManualClock(1000.0)
        self.dispatcher = GatedDispatcher()
        self.runner = action_execution.ActionRunner(
            OWN,
            key_table.KeyTable(LIMITS),
            NoClaims(),
            UnreachableForwarder(),
            self.dispatcher,
            self.clock,
            metrics.Metrics(),
        )

    def start_run(self, key, **changes):
        request = action_dispatch.ActionRequest(
            "r.1", key, "w", "member-a", "s", 1, {}, 3000.0, first_send=False
        )._replace(**changes)
        trace = request_records.RequestTrace("entry-1", self.clock)
        return asyncio.create_task(self.runner.run(request, trace))

    def key(self):
        return tickets.new_key(self.runner.issue_ticket())


@pytest.fixture
async def harness():
    return ActionHarness()


async def test_run_continues_after_its_caller_is_cancelled(harness):
    key = harness.key()
    first = harness.start_run(key)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    first.cancel()
    second = harness.start_run(key)
    harness.dispatcher.gate.set()
    assert await second == RAN
    assert await harness.start_run(key) == RAN
    assert harness.dispatcher.keys == [key]


async def test_shutdown_completes_runs_and_refuses_new_keys(harness):
    known, new = harness.key(), harness.key()
    running = harness.start_run(known)
    while not harness.dispatcher.keys:
        await asyncio.sleep(0)
    harness.runner.refuse_new_keys()
    refused = await harness.start_run(new)
    assert refused.reason is outcomes.Reason.STOPPING
    assert isinstance(refused, outcomes.NotRun)
    harness.dispatcher.gate.set()
    await harness.runner.wait_for_runs()
    assert await running == RAN
    assert await harness.start_run(known) == RAN
    assert await harness.start_run(new) == refused


async def test_internal_error_during_the_dispatch_is_unknown(harness):
    harness.dispatcher.failure = RuntimeError("bug")
    harness.dispatcher.gate.set()
    key = harness.key()
    for _ in range(2):
        outcome = await harness.start_run(key)
        assert outcome == outcomes.Unknown(outcomes.Reason.INTERNAL)
    assert harness.dispatcher.keys == [key]


@pytest.mark.parametrize(
    ("first_send", "expected_type"),
    [(True, outcomes.NotRun), (False, outcomes.Unknown)],
)
async def test_platform_down_is_not_run_only_for_a_first_send(
    harness, first_send, expected_type
):
    outcome = await harness.start_run("family-7", first_send=first_send)
    assert isinstance(outcome, expected_type)
    assert outcome.reason is outcomes.Reason.PLATFORM_DOWN
    assert harness.dispatcher.keys == []


async def test_key_of_an_earlier_incarnation_is_unknown(harness):
    earlier = tickets.Ticket(tickets.Issuer("entry-1", "old"), 1)
    outcome = await harness.start_run(tickets.new_key(earlier.encode()))
    assert outcome == outcomes.Unknown(outcomes.Reason.ISSUER_GONE)
