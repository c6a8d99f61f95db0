"""Hosts whose proof gets old ask peers, then the store, and not all at once.

The load: the store fails for a fleet of 25 or 800 hosts at the same time.
"""

import random

import pytest

from greengagedale.gateway import proof_refresh

BOUND_MS = 5000.0
STEP = proof_refresh.Step
TICK_MS = 100.0


@pytest.fixture
def refresh():
    return proof_refresh.ProofRefresh(BOUND_MS, random.Random(1))


def steps_of(refresh, ages_ms, host_count=1, start_ms=0.0):
    return [
        refresh.next_step(start_ms + index * TICK_MS, age_ms, host_count)
        for index, age_ms in enumerate(ages_ms)
    ]


def test_nobody_is_asked_while_the_proof_is_recent(refresh):
    assert set(steps_of(refresh, [2499.0] * 50)) == {STEP.NONE}


def test_peers_are_asked_before_the_store(refresh):
    steps = steps_of(refresh, [2500.0] * 5)
    assert steps.count(STEP.ASK_PEERS) == 3
    assert STEP.ASK_STORE not in steps


def test_lone_host_asks_the_store_before_its_proof_expires(refresh):
    assert STEP.ASK_STORE in steps_of(refresh, [3000.0] * 3)


def test_host_without_a_proof_asks(refresh):
    assert STEP.ASK_STORE in steps_of(refresh, [float("inf")] * 3)


@pytest.mark.parametrize("host_count", [25, 800])
def test_calls_to_a_failing_store_are_bounded(host_count):
    rng = random.Random(1)
    hosts = [
        proof_refresh.ProofRefresh(BOUND_MS, rng) for _ in range(host_count)
    ]
    seconds = 60
    calls = sum(
        steps_of(host, [1e9] * int(seconds * 10), host_count).count(
            STEP.ASK_STORE
        )
        for host in hosts
    )
    # A twentieth of the 1,200 calls per second that such stores accept.
    assert calls / seconds <= 60.0


def test_recovered_host_starts_over(refresh):
    steps_of(refresh, [1e9] * 200)
    refresh.next_step(20_000.0, 0.0, 1)
    assert STEP.ASK_STORE in steps_of(refresh, [3000.0] * 3, start_ms=30_000.0)
