"""Upstreams of evacuated data centres get nothing until taken back.

The load answered: a data centre is evacuated while searches and single
requests run, wait for connections, and are hedged and retried.
"""

import asyncio

from gateway_scripts import Bench
from gateway_scripts import at
from gateway_scripts import exchange_of
from gateway_scripts import fanout
from gateway_scripts import host_state
from gateway_scripts import lost
from gateway_scripts import single
from gateway_scripts import upstream
import pytest

from greengagedale import outcomes
from greengagedale.gateway import connection_pools
from greengagedale.gateway import evacuations as evacuations_lib
from greengagedale.gateway import metrics
from greengagedale.gateway import peer_exchange
from greengagedale.gateway import registry as registry_lib
from greengagedale.http1 import client

NORTH = evacuations_lib.EvacuationList(at(5), ("north",))


@pytest.fixture
def evacuations():
    return evacuations_lib.Evacuations(metrics.Metrics())


def evacuate(bench, *data_centres):
    revision = bench.evacuations.list.revision.revision + 1
    bench.evacuations.replace_if_newer(
        evacuations_lib.EvacuationList(at(revision), data_centres)
    )


def test_older_list_is_ignored(evacuations):
    assert evacuations.replace_if_newer(NORTH)
    assert not evacuations.replace_if_newer(NORTH._replace(data_centres=()))
    assert not evacuations.replace_if_newer(
        evacuations_lib.EvacuationList(at(4))
    )
    assert evacuations.list == NORTH
    assert evacuations.replace_if_newer(evacuations_lib.EvacuationList(at(6)))
    assert not evacuations.is_evacuated(upstream("a", data_centre="north"))


def test_later_revision_of_the_same_list_is_no_change(evacuations):
    evacuations.replace_if_newer(NORTH)
    assert not evacuations.replace_if_newer(NORTH._replace(revision=at(9)))
    assert evacuations.list.revision == at(9)


def test_any_list_replaces_a_stale_copy_and_none_is_replaced_by_it(evacuations):
    evacuations.apply_copy(("south",))
    assert evacuations.list.data_centres == ("south",)
    assert evacuations.replace_if_newer(NORTH)
    evacuations.apply_copy(("south",))
    assert evacuations.list == NORTH


def test_changes_are_counted(evacuations):
    evacuations.replace_if_newer(NORTH)
    evacuations.replace_if_newer(evacuations_lib.EvacuationList(at(6)))
    assert evacuations._metrics.evacuations.counts == {
        ("north", "began"): 1,
        ("north", "ended"): 1,
    }


def test_peers_pass_on_the_newest_list(clock, evacuations):
    informed = exchange_of(
        "a", clock, registry_lib.Registry(clock), evacuated=evacuations
    )
    learned = evacuations_lib.Evacuations(metrics.Metrics())
    uninformed = exchange_of(
        "b", clock, registry_lib.Registry(clock), evacuated=learned
    )
    evacuations.replace_if_newer(NORTH)
    summary = peer_exchange.StateSummary(
        host_state("b"),
        [],
        0,
        0,
        registry_lib.NO_VERSION,
        at(0),
        [],
        [],
    )
    uninformed._merge(informed._update_for(summary))
    assert learned.list == NORTH
    known = summary._replace(evacuations_revision=NORTH.revision)
    assert informed._update_for(known).evacuations is None


async def test_first_attempts_hedges_and_retries_go_elsewhere():
    bench = Bench()
    bench.add("a", script=[(0.0, lost()), (200.0, None)])
    bench.add("b", data_centre="north")
    bench.add("c", script=[(200.0, None), (0.0, lost())])
    evacuate(bench, "north")
    for _ in range(3):
        await bench.run(single(max_attempts=3))
    assert "b" not in bench.client.sent
    assert {"a", "c"} <= {*bench.client.sent}


async def test_work_under_way_ends_after_an_evacuation():
    bench = Bench()
    bench.add("a", script=[(40.0, None)], data_centre="north")
    running = asyncio.create_task(bench.run(single()))
    await asyncio.sleep(0.01)
    evacuate(bench, "north")
    assert isinstance(await running, outcomes.Ran)
    assert bench.client.cancelled == []


async def test_evacuated_shard_is_left_out_if_the_others_suffice():
    bench = Bench()
    for name in "abc":
        bench.add(name, name, data_centre="north" if name == "a" else "here")
    evacuate(bench, "north")
    outcome = await bench.run(fanout("abc"))
    assert outcome.value.missing == 1
    assert [(step.what, step.service, step.reason) for step in bench.steps] == [
        ("evacuated", "", "north"),
        ("left out", "a", "evacuated"),
    ]
    assert "a" not in bench.client.sent


@pytest.mark.parametrize(
    "plan",
    [single(), fanout(["s", "t"], min_coverage=1.0)],
    ids=["single", "search"],
)
async def test_request_for_evacuated_upstreams_is_refused_at_once(plan):
    bench = Bench()
    bench.add("a", data_centre="north")
    bench.add("b", "t")
    evacuate(bench, "north")
    started_ms = bench.clock.now_ms()
    outcome = await bench.run(plan)
    assert outcome == outcomes.NotRun(
        outcomes.Reason.EVACUATED, evacuations_lib.RETRY_AFTER_MS
    )
    assert bench.clock.now_ms() - started_ms < 50.0
    assert bench.client.sent == []
    evacuate(bench)
    assert isinstance(await bench.run(plan), outcomes.Ran)


async def test_evacuated_replicas_do_not_hide_that_a_shard_is_down(clock):
    bench = Bench()
    for name in "abc":
        bench.add(name, name)
    bench.add("far", "a", data_centre="north")
    evacuate(bench, "north")
    scores = bench.context.scores
    silent = scores.get(bench.upstreams["a"][0])
    silent.record_unresponsive(bench.clock.now_ms())
    outcome = await bench.run(fanout("abc", min_coverage=1.0))
    assert isinstance(outcome, outcomes.Ran)  # Sent as the probe.
    silent.record_unresponsive(bench.clock.now_ms())
    outcome = await bench.run(fanout("abc", min_coverage=1.0))
    assert outcome.reason is outcomes.Reason.NO_PROGRESS


async def test_work_that_waits_for_a_connection_is_turned_away(clock):
    bench = Bench()
    pools = connection_pools.ConnectionPools(
        bench.notices, bench.evacuations, client.ReplyLimits(), clock
    )
    pool = pools.get(upstream("a", data_centre="north"), 0)
    waiting = asyncio.create_task(pool.acquire(1000.0))
    await asyncio.sleep(0.01)
    assert not waiting.done()
    evacuate(bench, "north")
    with pytest.raises(connection_pools.UpstreamNotAcceptingError):
        await asyncio.wait_for(waiting, 1.0)
