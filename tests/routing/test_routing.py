"""Choice of replicas by load, latency and failures."""

import random

import pytest

from greengagedale import clocks
from greengagedale.routing import latency_window
from greengagedale.routing import load_tracker as load_tracker_lib
from greengagedale.routing import policies

REPLICAS = ("u1", "u2", "u3")


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def loads(clock):
    tracker = load_tracker_lib.LoadTracker(clock)
    for name in REPLICAS:
        tracker.on_start(name)
        tracker.record_latency(name, 10.0)
        tracker.on_end(name)
    return tracker


@pytest.fixture
def policy(loads):
    return policies.TwoChoicePolicy(loads, random.Random(1))


def shares(policy, rounds=300):
    chosen = [policy.choose(REPLICAS) for _ in range(rounds)]
    return {name: chosen.count(name) / rounds for name in REPLICAS}


def test_equal_replicas_get_equal_shares(policy):
    assert all(0.23 < share < 0.43 for share in shares(policy).values())


def test_replica_with_more_attempts_in_flight_is_not_chosen(policy, loads):
    loads.on_start("u1")
    assert shares(policy)["u1"] == 0.0


def test_failed_replica_is_avoided_during_its_backoff(policy, loads, clock):
    loads.on_start("u1")
    loads.on_failure("u1")
    loads.on_end("u1")
    assert shares(policy)["u1"] == 0.0
    assert policy.choose(REPLICAS, excluded={"u2", "u3"}) == "u1"
    clock.advance(100.0)
    assert shares(policy)["u1"] > 0.0
    loads.on_failure("u1")
    clock.advance(100.0)
    assert shares(policy)["u1"] == 0.0


def test_quantile_is_bounded_if_too_many_attempts_are_slow():
    window = latency_window.LatencyWindow(0.98)
    rng = random.Random(1)
    for _ in range(20):
        for _ in range(1024):
            slow = rng.random() < 0.1
            age_ms = 1.5 * (window.quantile_ms() or 10.0)
            window.record(age_ms if slow else 10.0)
    assert window.quantile_ms() <= 40.0
