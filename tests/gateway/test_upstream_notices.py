"""Notices of upstreams, that they are leaving or need a backoff."""

import asyncio

from gateway_scripts import Bench
from gateway_scripts import answer
from gateway_scripts import at
from gateway_scripts import exchange_of
from gateway_scripts import fanout
from gateway_scripts import host_state
from gateway_scripts import refused
from gateway_scripts import single
from gateway_scripts import upstream
import pytest

from greengagedale import outcomes
from greengagedale.gateway import peer_exchange
from greengagedale.gateway import registry as registry_lib
from greengagedale.gateway import store_api
from greengagedale.gateway import upstream_notices as notices_lib

LEAVING = notices_lib.Notice(is_leaving=True, backoff_ms=0.0)
UPSTREAM = upstream("u")


def backoff(backoff_ms):
    return notices_lib.Notice(is_leaving=False, backoff_ms=backoff_ms)


@pytest.fixture
def notices(clock):
    return notices_lib.UpstreamNotices(clock)


def test_leaving_upstream_accepts_nothing_until_its_next_incarnation(
    notices, clock
):
    notices.observe(UPSTREAM, LEAVING)
    clock.advance(notices_lib.RETENTION_MS - 1.0)
    notices.evict_expired()
    assert not notices.accepts_work(UPSTREAM)
    # A later entry of the same incarnation in the store changes nothing.
    assert not notices.accepts_work(
        UPSTREAM._replace(sequence=9, is_leaving=False)
    )
    assert notices.accepts_work(UPSTREAM._replace(born_ms=2))


def test_requested_backoff_is_kept(notices, clock):
    notices.observe(UPSTREAM, backoff(400.0))
    clock.advance(399.0)
    assert not notices.accepts_work(UPSTREAM)
    assert notices.available_in_ms([UPSTREAM]) == 1.0
    clock.advance(1.0)
    assert notices.accepts_work(UPSTREAM)


@pytest.mark.parametrize(
    ("second_ms", "until_ms"), [(100.0, 400), (600.0, 800)]
)
def test_later_notice_only_extends_the_backoff(
    notices, clock, second_ms, until_ms
):
    notices.observe(UPSTREAM, backoff(400.0))
    clock.advance(200.0)
    notices.observe(UPSTREAM, backoff(second_ms))
    assert notices.available_in_ms([UPSTREAM]) == until_ms - 200.0


def test_backoff_is_bounded(notices, clock):
    notices.observe(UPSTREAM, backoff(1e9))
    clock.advance(notices_lib.MAX_BACKOFF_MS)
    assert notices.accepts_work(UPSTREAM)


def test_wait_ends_with_the_first_available_upstream(notices):
    others = [upstream(name) for name in "abc"]
    notices.observe(others[0], LEAVING)
    notices.observe(others[1], backoff(300.0))
    notices.observe(others[2], backoff(200.0))
    assert notices.available_in_ms(others) == 200.0
    assert notices.available_in_ms(others[:1]) == float("inf")


def test_leaving_upstreams_are_shared_for_a_while_and_not_added_again(clock):
    first, second = (notices_lib.UpstreamNotices(clock) for _ in range(2))
    first.observe(UPSTREAM, LEAVING)
    second.merge(first.leaving())
    assert not second.accepts_work(UPSTREAM)
    clock.advance(notices_lib.SHARE_FOR_MS + 1.0)
    assert first.leaving() == second.leaving() == []
    second.merge([["v", 1]])
    first.merge(second.leaving())
    assert not first.accepts_work(upstream("v"))


def test_tracked_and_shared_upstreams_are_bounded(notices, monkeypatch):
    monkeypatch.setattr(notices_lib, "MAX_TRACKED", 100)
    notices.merge((f"u{number}", 1) for number in range(300))
    assert len(notices._leaving) == 100
    assert len(notices.leaving()) == notices_lib.MAX_SHARED
    assert notices.leaving()[-1] == ("u299", 1)


# Guards against use of an upstream that has left after the restart of a host:
# the stale copy of the list that the host loads may still have that upstream.
def test_starting_host_learns_leaving_upstreams_from_a_peer(clock):
    informed, uninformed = (
        notices_lib.UpstreamNotices(clock) for _ in range(2)
    )
    registry = registry_lib.Registry(clock)
    informed_exchange = exchange_of(
        "a", clock, registry_lib.Registry(clock), informed
    )
    uninformed_exchange = exchange_of("b", clock, registry, uninformed)
    informed.observe(UPSTREAM, LEAVING)
    registry.apply_list(store_api.UpstreamsListed([UPSTREAM], at(0)))
    summary = peer_exchange.StateSummary(
        host_state("b"), [], 0, 0, registry.version, at(0), [], []
    )
    uninformed_exchange._merge(informed_exchange._update_for(summary))
    assert uninformed.available(registry.upstreams_of("s")) == []


async def test_shard_without_staying_upstreams_is_left_out():
    bench = Bench()
    for name in "abc":
        bench.add(name, name)
    bench.notices.observe(bench.upstreams["a"][0], LEAVING)
    outcome = await bench.run(fanout("abc"))
    assert outcome.value.missing == 1
    assert "a" not in bench.client.sent


async def test_part_from_a_leaving_upstream_is_used():
    bench = Bench()
    for name in "ab":
        bench.add(name, name, [(80.0, None)])
    running = asyncio.create_task(
        bench.run(fanout("ab", min_coverage=1.0, target_latency_ms=40.0))
    )
    await asyncio.sleep(0.02)
    bench.notices.observe(bench.upstreams["a"][0], LEAVING)
    assert (await running).value.missing == 0


@pytest.mark.parametrize(
    "plan",
    [single(), fanout(["s", "t"], min_coverage=1.0)],
    ids=["single", "search"],
)
async def test_caller_is_told_when_to_retry(plan):
    bench = Bench()
    bench.add("a")
    bench.add("b")
    bench.add("c", "t")
    for each, backoff_ms in zip(
        bench.upstreams["s"], (5000.0, 900.0), strict=True
    ):
        bench.notices.observe(each, backoff(backoff_ms))
    outcome = await bench.run(plan)
    assert isinstance(outcome, outcomes.NotRun)
    assert 800 <= outcome.retry_after_ms <= 900
    assert bench.client.sent == []


async def test_retries_of_refusals_stay_within_the_budget():
    """Retries of refused requests are taken from the budget."""
    bench = Bench(burst=3.0, ratio=0.0)
    bench.add("a", script=[(0.0, refused())] * 50)
    bench.add("b", script=[(0.0, refused())] * 50)
    for _ in range(20):
        await bench.run(single(max_attempts=3))
    assert len(bench.client.sent) <= 20 + 3


async def test_answer_of_a_leaving_upstream_is_returned():
    bench = Bench()
    bench.add("a", script=[(30.0, answer("a"))])
    running = asyncio.create_task(bench.run(single()))
    await asyncio.sleep(0.01)
    bench.notices.observe(bench.upstreams["s"][0], LEAVING)
    assert isinstance(await running, outcomes.Ran)
