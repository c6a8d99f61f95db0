"""Searches over shards whose queues are long.

Pattern: half of all replicas turn work away for nine seconds, so that the
others of their shards have more work than they can do. One part may be
missing; two or three shards have long queues.
"""

import asyncio

from gateway_scripts import Bench
from gateway_scripts import fanout
from gateway_scripts import refused
import pytest

from greengagedale import outcomes
from greengagedale.gateway import calls

SHARDS = "abcdef"
AIM_MS = 100.0
SHORT = calls.LoadReport(2, 0, 2)
LONG = calls.LoadReport(2, 40, 2)


@pytest.fixture
def bench():
    made = Bench(burst=100.0)
    for shard in SHARDS:
        made.add(shard, shard)
    return made


@pytest.fixture
def plan():
    return fanout(SHARDS, least=0.8, target_latency_ms=AIM_MS)


def tell_loads(bench, flooded):
    for shard in SHARDS:
        score = bench.context.scores.get(bench.upstreams[shard][0])
        load = LONG if shard in flooded else SHORT
        score.record_load(load, bench.clock.now_ms())


async def test_search_that_queues_make_late_is_refused_before_it_is_sent(
    bench, plan
):
    tell_loads(bench, "ab")
    # The first one finds out, and is served late as the part is needed.
    await bench.run(plan)
    bench.client.sent.clear()
    tell_loads(bench, "ab")
    outcome = await bench.run(plan)
    assert isinstance(outcome, outcomes.NotRun)
    assert outcome.reason is outcomes.Reason.OVERLOADED
    assert bench.client.sent == []
    # Until the shorter of the two queues lets an answer come in time.
    assert 100 <= outcome.retry_after_ms <= 1000


async def test_search_goes_out_once_enough_queues_are_short(bench, plan):
    tell_loads(bench, "ab")
    await bench.run(plan)
    tell_loads(bench, "b")
    outcome = await bench.run(plan)
    assert outcome.value.missing == 1


async def test_search_goes_out_once_what_is_known_is_old(bench, plan):
    tell_loads(bench, "ab")
    await bench.run(plan)
    assert bench.context.scores.was_overloaded_recently(bench.clock.now_ms())
    # Loads that upstreams told are used for 400 ms.
    await asyncio.sleep(0.45)
    outcome = await bench.run(plan)
    assert outcome.value.missing == 0


async def test_refused_part_that_is_needed_is_asked_of_a_long_queue(bench):
    """A late answer is worth more than the work of all others for nothing."""
    bench.add("a2", "a")
    bench.client.scripts["a"] = [(2.0, refused())] * 9
    score = bench.context.scores.get(bench.upstreams["a"][1])
    score.record_load(LONG, bench.clock.now_ms())
    bench.client.scripts["a2"] = [(150.0, None)]
    outcome = await bench.run(
        fanout(SHARDS, least=1.0, target_latency_ms=AIM_MS)
    )
    assert isinstance(outcome, outcomes.Ran)
    assert outcome.value.missing == 0


async def test_refused_part_is_left_out_in_place_of_a_long_queue(bench, plan):
    bench.add("a2", "a")
    bench.client.scripts["a"] = [(2.0, refused())] * 9
    score = bench.context.scores.get(bench.upstreams["a"][1])
    score.record_load(LONG, bench.clock.now_ms())
    outcome = await bench.run(plan)
    assert outcome.value.missing == 1
    assert "a2" not in bench.client.sent
