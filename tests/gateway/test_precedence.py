"""Tests of precedence while queues are long.

The load of the simulated day is on one upstream with a queue. 73 workspaces
usually fill 90% of it; three of them send 7 times as much.
"""

import collections
import heapq
import random

from gateway_scripts import lost
from gateway_scripts import run_beside_long_queues
from gateway_scripts import single
import pytest

from greengagedale import outcomes
from greengagedale.gateway import precedence
from greengagedale.gateway import route_config
from greengagedale.gateway import sub_requests
from greengagedale.gateway import upstream_scores

SLOTS = 8
RUN_MS = 40.0
USEFUL_MS = 400.0
# Answers count until then; the estimate of a queue allows 1.25 times as much.
DEADLINE_MS = 600.0
DAY_MS = 60_000.0
CALM = [f"calm{number}" for number in range(70)]
RUSHING = ["rush0", "rush1", "rush2"]
# Requests per ms of a workspace, if 73 of them fill 90% of the upstream.
USUAL = 0.9 * SLOTS / RUN_MS / 73


def standing(workspace="w", rank=0, weight=1.0):
    return precedence.Standing(rank, workspace, weight)


def served_fractions(rates, seed, seen=None):
    """Returns the fractions of requests answered in time, by standing.

    Args:
        rates: Requests per ms by standing.
        seed: Seed of the arrivals.
        seen: What every request tells the decision; its standing if None.
    """
    rng = random.Random(seed)
    decision = precedence.Precedence(rng)
    arrivals = sorted(
        (rng.uniform(0.0, DAY_MS), each)
        for each, rate in rates.items()
        for _ in range(int(rate * DAY_MS))
    )
    free_ms = [0.0] * SLOTS
    overloaded_ms = float("-inf")
    asked, served = collections.Counter(), collections.Counter()
    ends = []
    for now_ms, who in arrivals:
        while ends and ends[0][0] <= now_ms:
            decision.record_end(ends[0][1], ends[0][2], ends[0][0])
            heapq.heappop(ends)
        told = seen or who
        decision.record_arrival(told, now_ms)
        asked[who] += 1
        patience = decision.patience(
            told, now_ms - overloaded_ms < 1000.0, now_ms
        )
        wait_ms = max(0.0, free_ms[0] - now_ms)
        choice = upstream_scores.UpstreamChoice(None, RUN_MS + wait_ms, wait_ms)
        useful_ms = now_ms + USEFUL_MS
        if sub_requests.is_too_late(choice, useful_ms, now_ms):
            overloaded_ms = now_ms
        if sub_requests.is_too_late(choice, useful_ms, now_ms, patience.factor):
            if patience.factor < 1.0:
                decision.record_turned_away(now_ms)
            decision.record_end(told, False, now_ms)
            continue
        decision.record_attempt(told, now_ms)
        run_ms = rng.uniform(0.5, 1.5) * RUN_MS
        end_ms = max(now_ms, free_ms[0]) + run_ms
        heapq.heapreplace(free_ms, end_ms)
        in_time = end_ms - now_ms <= DEADLINE_MS
        heapq.heappush(ends, (end_ms, told, in_time))
        served[who] += in_time
    return {who: served[who] / asked[who] for who in asked}


def mean(fractions, names):
    found = [each for who, each in fractions.items() if who.workspace in names]
    return sum(found) / len(found)


USUAL_RATES = {
    **{standing(name): USUAL for name in CALM},
    **{standing(name): USUAL for name in RUSHING},
}


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("rush", "calm_least"), [(4.0, 0.97), (7.5, 0.97), (30.0, 0.9)]
)
def test_rush_costs_other_workspaces_nothing(seed, rush, calm_least):
    """Three workspaces at 4 to 7.5 times their usual beside 70 calm ones.

    At 30 times, what keeps the three from being starved costs the others.
    """
    rates = {
        who: rush * USUAL if who.workspace in RUSHING else rate
        for who, rate in USUAL_RATES.items()
    }
    before = served_fractions(rates, seed, seen=standing(None))
    after = served_fractions(rates, seed)
    print(
        f"rush {rush} seed {seed}: calm {mean(before, CALM):.3f} before,"
        f" {mean(after, CALM):.3f} after; rushing"
        f" {mean(before, RUSHING):.3f}, {mean(after, RUSHING):.3f}"
    )
    assert mean(after, CALM) >= calm_least
    overall = sum(after[who] * rates[who] for who in after) / sum(
        rates.values()
    )
    assert min(after.values()) >= 0.25 * overall


@pytest.mark.parametrize("seed", range(3))
def test_lower_rank_gives_way_and_is_not_starved(seed):
    """Urgent and wide requests, each twice what the upstream can run."""
    capacity = SLOTS / RUN_MS
    rates = {
        standing(f"{kind}{number}", rank): 0.1 * capacity
        for kind, rank in (("urgent", 0), ("wide", 2))
        for number in range(10)
    }
    fractions = served_fractions(rates, seed)
    urgent = mean(fractions, {f"urgent{number}" for number in range(10)})
    wide = mean(fractions, {f"wide{number}" for number in range(10)})
    print(f"seed {seed}: urgent {urgent:.3f}, wide {wide:.3f}")
    assert urgent > wide
    assert min(fractions.values()) >= 0.25 * (urgent + wide) / 2.0


@pytest.mark.parametrize("seed", range(3))
def test_weights_divide_what_there_is(seed):
    """Two workspaces that ask for 1.5 times the capacity each."""
    capacity = SLOTS / RUN_MS
    rates = {
        standing("heavy", weight=2.0): 1.5 * capacity,
        standing("light", weight=1.0): 1.5 * capacity,
    }
    fractions = served_fractions(rates, seed)
    print(f"seed {seed}: {[*fractions.items()]}")
    heavy, light = mean(fractions, {"heavy"}), mean(fractions, {"light"})
    # The tolerance keeps this below the ratio of the weights.
    assert 1.4 <= heavy / light <= 2.0


def test_flow_within_its_share_in_the_most_urgent_rank_has_full_patience():
    """Also if it is alone there, and the lower ranks are many."""
    decision = precedence.Precedence(random.Random(1))
    who = standing("w", rank=1)
    for other in (standing("v", rank=1), standing("x", rank=2), who):
        decision.record_arrival(other, 0.0)
        decision.record_attempt(other, 0.0)
    assert decision.patience(who, True, 0.0).factor == 1.0
    assert decision.patience(standing("x", rank=2), True, 0.0).factor == 0.5


def test_without_contention_all_have_full_patience():
    decision = precedence.Precedence(random.Random(1))
    for rank in (0, 2):
        decision.record_arrival(standing(rank=rank), 0.0)
    low = standing(rank=2)
    assert decision.patience(low, False, 0.0) == precedence.FULL_PATIENCE
    decision.record_turned_away(0.0)
    assert decision.patience(low, False, 999.0).factor < 1.0
    assert decision.patience(low, False, 1000.0) == precedence.FULL_PATIENCE


def test_retries_are_spread_and_find_room():
    """100 requests that are refused at once."""
    decision = precedence.Precedence(random.Random(1))
    after_ms = [
        decision.retry_after_ms(40.0, precedence.FULL_PATIENCE)
        for _ in range(100)
    ]
    assert min(after_ms) >= precedence.MIN_RETRY_AFTER_MS
    assert max(collections.Counter(after_ms).values()) <= 10
    above = precedence.Patience(0.5, 2.0 * precedence.SHARE_TOLERANCE, 0)
    assert decision.retry_after_ms(0.0, above) >= precedence.HALF_LIFE_MS


def test_idle_flows_are_dropped():
    decision = precedence.Precedence(random.Random(1))
    for number in range(1000):
        decision.record_arrival(standing(f"w{number}"), 0.0)
    decision.evict_idle(60_000.0)
    assert not decision._flows


def test_priority_of_the_workspace_takes_precedence(bench):
    bench.use_workspaces(
        route_config.Workspace("urgent", (), priority=0),
        route_config.Workspace("unset", (), rate_per_s=5.0),
    )
    route = single(priority=2)
    ranks = [
        bench.context.standing_of(bench.call(workspace=name), route)
        for name in ("urgent", "unset", None)
    ]
    assert ranks == [standing("urgent", 0), standing("unset", 2, 5.0), None]


async def test_urgent_search_is_sent_to_slow_shards(bench):
    outcome = await run_beside_long_queues(bench, "urgent")
    assert isinstance(outcome, outcomes.Ran)


async def test_wide_search_is_not_sent_to_slow_shards(bench):
    outcome = await run_beside_long_queues(bench, "wide")
    assert isinstance(outcome, outcomes.NotRun)
    assert outcome.reason is outcomes.Reason.OVERLOADED
    assert bench.client.sent == []
    assert bench.metrics.precedence_refusals.counts == {("2", "rank"): 1}
    assert "rank 2, use 0.0, patience 0.50" in bench.steps[-1].reason


async def test_search_without_keys_is_sent_to_slow_shards(bench):
    outcome = await run_beside_long_queues(bench, None)
    assert isinstance(outcome, outcomes.Ran)
    assert not bench.metrics.precedence_refusals.counts


@pytest.mark.parametrize(
    ("workspace", "sent_count"), [("urgent", 3), ("wide", 2)]
)
async def test_lower_rank_leaves_extra_attempts(bench, workspace, sent_count):
    """Retries of two ranks with 3 to 4 of 10 extra attempts left."""
    bench.use_workspaces(
        route_config.Workspace("urgent", (), priority=0),
        route_config.Workspace("wide", (), priority=1),
    )
    for name in "abcd":
        bench.add(name, script=[(0.0, lost())] * 9)
    bench.context.precedence.record_arrival(
        standing("urgent"), bench.clock.now_ms()
    )
    budget = bench.budgets.record_request("s", bench.clock.now_ms())
    while budget.available(bench.clock.now_ms()) >= 4.0:
        assert budget.try_withdraw(bench.clock.now_ms(), 0.0)
    await bench.run(single(max_attempts=3), workspace=workspace)
    assert len(bench.client.sent) == sent_count
