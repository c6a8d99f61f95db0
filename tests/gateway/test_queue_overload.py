"""Tests of searches over shards with long queues.

Half of all replicas refuse work for nine seconds, so the other replicas of
their shards are overloaded. One part may be missing; two or three shards have
long queues.
"""

import asyncio

from gateway_scripts import Bench
from gateway_scripts import fanout
from gateway_scripts import refused
import pytest

from greengagedale import outcomes
from greengagedale.gateway import calls

SHARDS = "abcdef"
TARGET_LATENCY_MS = 100.0
SHORT_QUEUE = calls.LoadReport(2, 0, 2)
LONG_QUEUE = calls.LoadReport(2, 40, 2)


@pytest.fixture
def bench():
    harness = Bench(burst=100.0)
    for shard in SHARDS:
        harness.add(shard, shard)
    return harness


@pytest.fixture
def route():
    return fanout(SHARDS, min_coverage=0.8, target_latency_ms=TARGET_LATENCY_MS)


def report_loads(bench, overloaded):
    for shard in SHARDS:
        score = bench.context.scores.get(bench.upstreams[shard][0])
        load = LONG_QUEUE if shard in overloaded else SHORT_QUEUE
        score.record_load(load, bench.clock.now_ms())


async def test_search_is_refused_if_queues_would_make_it_late(bench, route):
    report_loads(bench, "ab")
    # The first search detects the overload and is answered late, because the
    # part is required.
    await bench.run(route)
    bench.client.sent.clear()
    report_loads(bench, "ab")
    outcome = await bench.run(route)
    assert isinstance(outcome, outcomes.NotRun)
    assert outcome.reason is outcomes.Reason.OVERLOADED
    assert bench.client.sent == []
    # The time until the shorter of the two queues allows an answer in time.
    assert 100 <= outcome.retry_after_ms <= 1000


async def test_search_is_sent_once_enough_queues_are_short(bench, route):
    report_loads(bench, "ab")
    await bench.run(route)
    report_loads(bench, "b")
    outcome = await bench.run(route)
    assert outcome.value.missing == 1


async def test_search_is_sent_once_load_reports_are_stale(bench, route):
    report_loads(bench, "ab")
    await bench.run(route)
    assert bench.context.scores.was_overloaded_recently(bench.clock.now_ms())
    # Load reports are used for 400 ms.
    await asyncio.sleep(0.45)
    outcome = await bench.run(route)
    assert outcome.value.missing == 0


async def test_required_shard_is_retried_on_a_replica_with_a_long_queue(bench):
    """A late answer is better than wasting the work of all other shards."""
    bench.add("a2", "a")
    bench.client.scripts["a"] = [(2.0, refused())] * 9
    score = bench.context.scores.get(bench.upstreams["a"][1])
    score.record_load(LONG_QUEUE, bench.clock.now_ms())
    bench.client.scripts["a2"] = [(150.0, None)]
    outcome = await bench.run(
        fanout(SHARDS, min_coverage=1.0, target_latency_ms=TARGET_LATENCY_MS)
    )
    assert isinstance(outcome, outcomes.Ran)
    assert outcome.value.missing == 0


async def test_optional_shard_is_omitted_rather_than_retried_on_a_long_queue(
    bench, route
):
    bench.add("a2", "a")
    bench.client.scripts["a"] = [(2.0, refused())] * 9
    score = bench.context.scores.get(bench.upstreams["a"][1])
    score.record_load(LONG_QUEUE, bench.clock.now_ms())
    outcome = await bench.run(route)
    assert outcome.value.missing == 1
    assert "a2" not in bench.client.sent
