"""Tests of hedges, retries, restarts and early stops of a search."""

import itertools
import random

import pytest

from greengagedale import outcomes
from greengagedale.query import attempts
from greengagedale.query import events
from greengagedale.query import fanout
from greengagedale.query import hits
from greengagedale.query import ranges
from greengagedale.query import snapshot_refusals
from greengagedale.query import snapshots
from greengagedale.query import strategies
from greengagedale.retry import token_budget
from greengagedale.routing import latency_window
from greengagedale.routing import policies

QUANTILE_MS = 20.0
DEADLINE_MS = 1000.0
ANSWER = attempts.Answered([hits.Hit(1, 0.5, "v1")])
GONE = outcomes.AttemptFailure(outcomes.Reason.SNAPSHOT_GONE, True, True)
LOST = outcomes.AttemptFailure(outcomes.Reason.REPLY_LOST, True, False)


def make_map(version, parts=4, replicas=("u1", "u2", "u3")):
    return snapshots.PartitionMap(
        snapshots.Snapshot(version, version),
        tuple(
            snapshots.RangeReplicas(part, replicas)
            for part in ranges.split_evenly(ranges.KeyRange(0, 100), parts)
        ),
    )


def make_strategy(hedges=100.0, retries=100.0):
    window = latency_window.LatencyWindow(0.98)
    for _ in range(100):
        window.record(QUANTILE_MS)
    return strategies.SearchStrategy(
        policies.RandomPolicy(random.Random(1)),
        window,
        snapshot_refusals.SnapshotRefusals(),
        token_budget.TokenBudget(0.02, 1000.0, initial_tokens=hedges),
        token_budget.TokenBudget(0.1, 1000.0, initial_tokens=retries),
    )


class SearchDriver:
    """Drives a search and collects the commands that it returns."""

    def __init__(self, strategy, maps=None, prefer="complete"):
        maps = maps if maps is not None else [make_map(1)]
        search = fanout.Search(
            "r", "places", "text", 10, DEADLINE_MS, "w", prefer, 0.02
        )
        self.trace = events.Trace()
        self.state = fanout.FanOut(
            search, maps[0], strategy, lambda: maps, self.trace
        )
        self.sent, self.cancelled, self.outcomes = [], [], []
        self.execute(self.state.start(0.0))

    def execute(self, commands):
        for command in commands:
            match command:
                case fanout.Send(attempt):
                    self.sent.append(attempt)
                case fanout.Cancel(attempt):
                    self.cancelled.append(attempt)
                case fanout.Finish(outcome):
                    self.outcomes.append(outcome)

    def result(self, attempt, result, now_ms):
        self.execute(self.state.on_result(attempt.attempt_id, result, now_ms))

    def run_to(self, now_ms):
        while self.state.next_timer_ms() <= now_ms and not self.outcomes:
            at_ms = self.state.next_timer_ms()
            self.execute(self.state.on_timer(at_ms))

    def count(self, what):
        return sum(n for k, n in self.trace.counts.items() if k.kind is what)


@pytest.fixture
def driver_with_one_pending_range():
    def make(strategy, **kwargs):
        driver = SearchDriver(strategy, **kwargs)
        for attempt in driver.sent[1:]:
            driver.result(attempt, ANSWER, 5.0)
        return driver

    return make


def test_hedge_uses_another_replica_and_slower_attempt_is_cancelled(
    driver_with_one_pending_range,
):
    driver = driver_with_one_pending_range(make_strategy())
    slow = driver.sent[0]
    driver.run_to(QUANTILE_MS - 1)
    assert len(driver.sent) == 4
    driver.run_to(QUANTILE_MS)
    hedge = driver.sent[4]
    assert hedge.key_range == slow.key_range
    assert hedge.upstream != slow.upstream
    driver.result(hedge, ANSWER, 25.0)
    assert driver.cancelled == [slow]
    assert driver.outcomes[0].value.coverage.share == 1.0


def test_hedges_stay_within_budget_share():
    strategy = make_strategy(hedges=0.0)
    sent = 0
    for _ in range(200):
        driver = SearchDriver(strategy)
        driver.run_to(35.0)
        sent += driver.count(events.EventKind.HEDGE)
    assert 0 < sent <= 0.02 * 200 * 4


def test_hedge_is_not_sent_to_upstream_without_free_slot(
    driver_with_one_pending_range,
):
    strategy = make_strategy()
    driver = driver_with_one_pending_range(
        strategy._replace(has_free_slot=lambda name: False)
    )
    driver.run_to(QUANTILE_MS)
    assert len(driver.sent) == 4
    assert driver.count(events.EventKind.HEDGE_DENIED) == 1
    assert strategy.hedge_budget.has_token(QUANTILE_MS)


def test_failed_attempt_is_retried_on_another_replica(
    driver_with_one_pending_range,
):
    driver = driver_with_one_pending_range(make_strategy())
    failed = driver.sent[0]
    driver.result(failed, LOST, 6.0)
    assert driver.sent[4].upstream != failed.upstream
    driver.result(driver.sent[4], ANSWER, 9.0)
    assert driver.outcomes[0].value.coverage.share == 1.0


def test_answer_is_partial_without_retry_tokens(driver_with_one_pending_range):
    driver = driver_with_one_pending_range(make_strategy(retries=0.0))
    failed = driver.sent[0]
    driver.result(failed, LOST, 6.0)
    driver.run_to(DEADLINE_MS)
    [missing] = driver.outcomes[0].value.coverage.missing
    assert missing == (failed.key_range, outcomes.Reason.REPLY_LOST)
    assert len(driver.sent) == 4


def test_attempt_without_progress_is_replaced_then_cancelled(
    driver_with_one_pending_range,
):
    driver = driver_with_one_pending_range(make_strategy(hedges=0.0))
    silent = driver.sent[0]
    driver.run_to(4 * QUANTILE_MS)
    assert driver.cancelled == [silent]
    assert driver.sent[4].key_range == silent.key_range
    late = driver.state.on_result(silent.attempt_id, ANSWER, 90.0)
    assert late == []


def test_attempt_without_progress_continues_if_not_replaceable(
    driver_with_one_pending_range,
):
    driver = driver_with_one_pending_range(
        make_strategy(hedges=0.0, retries=0.0)
    )
    driver.run_to(500.0)
    assert driver.cancelled == []
    driver.result(driver.sent[0], ANSWER, 501.0)
    assert driver.outcomes[0].value.coverage.share == 1.0


def test_range_with_only_slow_replicas_is_answered(
    driver_with_one_pending_range,
):
    driver = driver_with_one_pending_range(make_strategy(hedges=0.0))
    for now_ms in range(10, int(DEADLINE_MS), 10):
        driver.run_to(now_ms)
        done = [a for a in driver.sent if now_ms - a.sent_ms >= 300.0]
        for attempt in done:
            if attempt not in driver.cancelled:
                driver.result(attempt, ANSWER, now_ms)
    assert driver.outcomes[0].value.coverage.share == 1.0


def test_silent_single_replica_gets_second_attempt():
    driver = SearchDriver(
        make_strategy(), maps=[make_map(1, parts=1, replicas=("u1",))]
    )
    driver.run_to(4 * QUANTILE_MS)
    assert [attempt.upstream for attempt in driver.sent] == ["u1", "u1"]
    assert driver.cancelled == driver.sent[:1]


def test_restart_discards_merged_answers():
    maps = [make_map(1), make_map(2, parts=5)]
    driver = SearchDriver(make_strategy(), maps=maps)
    merged = driver.sent[1:4]
    for attempt in merged:
        driver.result(attempt, ANSWER, 5.0)
    for _ in range(3):
        gone = [
            a
            for a in driver.sent
            if a.snapshot.index_version == 1 and a not in merged
        ][-1]
        driver.result(gone, GONE, 6.0)
    second = [a for a in driver.sent if a.snapshot.index_version == 2]
    assert len(second) == 5
    assert driver.outcomes == []
    for attempt in second:
        driver.result(attempt, attempts.Answered([]), 9.0)
    answer = driver.outcomes[0].value
    assert answer.snapshot == snapshots.Snapshot(2, 2)
    assert answer.coverage.share == 1.0
    assert answer.hits == []


def test_refused_snapshot_is_requested_again_after_delay():
    driver = SearchDriver(
        make_strategy(), maps=[make_map(1, parts=1, replicas=("u1", "u2"))]
    )
    driver.result(driver.sent[0], GONE, 1.0)
    driver.result(driver.sent[1], GONE, 2.0)
    assert driver.outcomes == []
    driver.run_to(20.0)
    driver.result(driver.sent[2], ANSWER, 20.0)
    assert driver.outcomes[0].value.coverage.share == 1.0


def test_search_restarts_on_newly_listed_snapshot():
    maps = [make_map(1, parts=1, replicas=("u1",))]
    driver = SearchDriver(make_strategy(), maps=maps)
    driver.result(driver.sent[0], GONE, 1.0)
    maps.append(make_map(2, parts=1))
    driver.run_to(20.0)
    assert driver.sent[1].snapshot == snapshots.Snapshot(2, 2)


def test_replica_with_recent_refusal_is_tried_only_if_all_refused():
    strategy = make_strategy()
    strategy.snapshot_refusals.add_refusal(snapshots.Snapshot(1, 1), "u1", 0.0)
    firsts = {
        a.upstream for _ in range(20) for a in SearchDriver(strategy).sent
    }
    assert firsts == {"u2", "u3"}
    for name in ("u2", "u3"):
        strategy.snapshot_refusals.add_refusal(
            snapshots.Snapshot(1, 1), name, 0.0
        )
    assert len(SearchDriver(strategy).sent) == 4


def test_no_restart_when_the_deadline_is_near():
    driver = SearchDriver(
        make_strategy(), maps=[make_map(1, replicas=("u1",)), make_map(2)]
    )
    first, *others = driver.sent
    for attempt in others:
        driver.result(attempt, ANSWER, 5.0)
    driver.result(first, GONE, DEADLINE_MS - 5.0)
    answer = driver.outcomes[0].value
    assert answer.snapshot == snapshots.Snapshot(1, 1)
    [missing] = answer.coverage.missing
    assert missing.reason is outcomes.Reason.SNAPSHOT_GONE


@pytest.mark.parametrize(
    ("prefer", "finished_at_early_bound"),
    [("early", True), ("complete", False)],
)
def test_preference_decides_whether_to_wait_for_stragglers(
    driver_with_one_pending_range, prefer, finished_at_early_bound
):
    strategy = make_strategy(hedges=0.0, retries=0.0)
    driver = driver_with_one_pending_range(strategy, prefer=prefer)
    driver.run_to(6 * QUANTILE_MS)
    assert bool(driver.outcomes) is finished_at_early_bound
    driver.run_to(DEADLINE_MS)
    [missing] = driver.outcomes[0].value.coverage.missing
    assert missing.key_range == driver.sent[0].key_range


def test_newest_snapshot_that_enough_replicas_serve_is_chosen():
    refusals = snapshot_refusals.SnapshotRefusals()
    old, new = make_map(1), make_map(2)
    assert refusals.choose_map([old, new], 0.0) == new
    refusals.add_refusal(new.snapshot, "u1", 0.0)
    assert refusals.choose_map([old, new], 1.0) == new
    refusals.add_refusal(new.snapshot, "u2", 0.0)
    assert refusals.choose_map([old, new], 1.0) == old
    later_ms = snapshot_refusals.REFUSAL_TTL_MS
    assert refusals.choose_map([old, new], later_ms) == new


@pytest.mark.parametrize("seed", range(40))
def test_random_event_sequences_finish_once_on_one_snapshot(seed):
    rng = random.Random(seed)
    maps = [make_map(n, parts=rng.randint(1, 6)) for n in (1, 2, 3)]
    driver = SearchDriver(make_strategy(hedges=3.0, retries=5.0), maps=maps)
    now_ms, answered = 0.0, set()
    while not driver.outcomes:
        now_ms = min(now_ms + rng.uniform(0.0, 15.0), DEADLINE_MS)
        driver.run_to(now_ms)
        if driver.outcomes:
            break
        attempt = rng.choice(driver.sent)
        version = attempt.snapshot.index_version
        whole = attempts.Answered(
            [hits.Hit(attempt.key_range.low, 0.5, f"v{version}")]
        )
        dropped = attempts.Dropped("digest")
        result = rng.choice([whole, whole, dropped, GONE, LOST])
        if attempt not in driver.cancelled and result is whole:
            answered.add((attempt.snapshot, attempt.key_range))
        driver.result(attempt, result, now_ms)
    assert len(driver.outcomes) == 1
    outcome = driver.outcomes[0]
    if not isinstance(outcome, outcomes.Ran):
        assert isinstance(outcome, outcomes.Unknown) or not answered
        return
    answer = outcome.value
    assert {hit.body for hit in answer.hits} <= {
        f"v{answer.snapshot.index_version}"
    }
    [pinned] = [m for m in maps if m.snapshot == answer.snapshot]
    missing = {item.key_range for item in answer.coverage.missing}
    merged = {e.key_range for e in pinned.ranges} - missing
    assert {(answer.snapshot, item) for item in merged} <= answered
    assert answer.coverage.covered == sum(item.width for item in merged)


def test_progress_timeout_grows_with_each_replacement(
    driver_with_one_pending_range,
):
    driver = driver_with_one_pending_range(make_strategy(hedges=0.0))
    driver.run_to(DEADLINE_MS - 1)
    kept = [a for a in driver.sent[4:] if a not in driver.cancelled]
    longest_ms = max(
        after.sent_ms - before.sent_ms
        for before, after in itertools.pairwise(driver.sent[4:])
    )
    assert kept
    assert longest_ms >= DEADLINE_MS / 4
    assert len(driver.sent) - 4 <= 6
