"""Hedges, retries, restarts and early stops, without input or output."""

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
GONE = outcomes.AttemptEnd(outcomes.Reason.SNAPSHOT_GONE, True, True)
LOST = outcomes.AttemptEnd(outcomes.Reason.REPLY_LOST, True, False)


def map_of(version, parts=4, replicas=("u1", "u2", "u3")):
    return snapshots.PartitionMap(
        snapshots.Snapshot(version, version),
        tuple(
            snapshots.RangeReplicas(part, replicas)
            for part in ranges.split_evenly(ranges.KeyRange(0, 100), parts)
        ),
    )


def tactics_with(hedges=100.0, retries=100.0):
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


class Driven:
    """A search whose commands are collected."""

    def __init__(self, used, maps=None, prefer="complete"):
        maps = maps if maps is not None else [map_of(1)]
        search = fanout.Search(
            "r", "places", "text", 10, DEADLINE_MS, "w", prefer, 0.02
        )
        self.trace = events.Trace()
        self.state = fanout.FanOut(
            search, maps[0], used, lambda: maps, self.trace
        )
        self.sent, self.cancelled, self.outcomes = [], [], []
        self.take(self.state.start(0.0))

    def take(self, commands):
        for command in commands:
            match command:
                case fanout.Send(attempt):
                    self.sent.append(attempt)
                case fanout.Cancel(attempt):
                    self.cancelled.append(attempt)
                case fanout.Finish(outcome):
                    self.outcomes.append(outcome)

    def result(self, attempt, result, now_ms):
        self.take(self.state.on_result(attempt.attempt_id, result, now_ms))

    def run_to(self, now_ms):
        while self.state.next_timer_ms() <= now_ms and not self.outcomes:
            at_ms = self.state.next_timer_ms()
            self.take(self.state.on_timer(at_ms))

    def count(self, what):
        return sum(n for k, n in self.trace.counts.items() if k.kind is what)


@pytest.fixture
def answered_but_one():
    def make(used, **kwargs):
        driven = Driven(used, **kwargs)
        for attempt in driven.sent[1:]:
            driven.result(attempt, ANSWER, 5.0)
        return driven

    return make


def test_hedge_goes_elsewhere_and_the_loser_is_cancelled(answered_but_one):
    driven = answered_but_one(tactics_with())
    slow = driven.sent[0]
    driven.run_to(QUANTILE_MS - 1)
    assert len(driven.sent) == 4
    driven.run_to(QUANTILE_MS)
    hedge = driven.sent[4]
    assert hedge.key_range == slow.key_range
    assert hedge.upstream != slow.upstream
    driven.result(hedge, ANSWER, 25.0)
    assert driven.cancelled == [slow]
    assert driven.outcomes[0].value.coverage.share == 1.0


def test_hedges_stay_within_their_share():
    used = tactics_with(hedges=0.0)
    sent = 0
    for _ in range(200):
        driven = Driven(used)
        driven.run_to(35.0)
        sent += driven.count(events.EventKind.HEDGE)
    assert 0 < sent <= 0.02 * 200 * 4


def test_no_hedge_goes_where_it_would_wait_for_a_slot(answered_but_one):
    used = tactics_with()
    driven = answered_but_one(used._replace(has_free_slot=lambda name: False))
    driven.run_to(QUANTILE_MS)
    assert len(driven.sent) == 4
    assert driven.count(events.EventKind.HEDGE_DENIED) == 1
    assert used.hedge_budget.has_token(QUANTILE_MS)


def test_failed_attempt_is_retried_elsewhere(answered_but_one):
    driven = answered_but_one(tactics_with())
    failed = driven.sent[0]
    driven.result(failed, LOST, 6.0)
    assert driven.sent[4].upstream != failed.upstream
    driven.result(driven.sent[4], ANSWER, 9.0)
    assert driven.outcomes[0].value.coverage.share == 1.0


def test_without_retry_tokens_the_answer_is_partial_and_true(answered_but_one):
    driven = answered_but_one(tactics_with(retries=0.0))
    failed = driven.sent[0]
    driven.result(failed, LOST, 6.0)
    driven.run_to(DEADLINE_MS)
    [missing] = driven.outcomes[0].value.coverage.missing
    assert missing == (failed.key_range, outcomes.Reason.REPLY_LOST)
    assert len(driven.sent) == 4


def test_attempt_without_progress_is_replaced_then_cancelled(answered_but_one):
    driven = answered_but_one(tactics_with(hedges=0.0))
    silent = driven.sent[0]
    driven.run_to(4 * QUANTILE_MS)
    assert driven.cancelled == [silent]
    assert driven.sent[4].key_range == silent.key_range
    late = driven.state.on_result(silent.attempt_id, ANSWER, 90.0)
    assert late == []


def test_attempt_without_progress_goes_on_if_nothing_can_replace_it(
    answered_but_one,
):
    driven = answered_but_one(tactics_with(hedges=0.0, retries=0.0))
    driven.run_to(500.0)
    assert driven.cancelled == []
    driven.result(driven.sent[0], ANSWER, 501.0)
    assert driven.outcomes[0].value.coverage.share == 1.0


def test_range_that_is_slow_everywhere_is_answered(answered_but_one):
    driven = answered_but_one(tactics_with(hedges=0.0))
    for now_ms in range(10, int(DEADLINE_MS), 10):
        driven.run_to(now_ms)
        done = [a for a in driven.sent if now_ms - a.sent_ms >= 300.0]
        for attempt in done:
            if attempt not in driven.cancelled:
                driven.result(attempt, ANSWER, now_ms)
    assert driven.outcomes[0].value.coverage.share == 1.0


def test_single_replica_gets_a_second_connection_when_silent():
    driven = Driven(tactics_with(), maps=[map_of(1, parts=1, replicas=("u1",))])
    driven.run_to(4 * QUANTILE_MS)
    assert [attempt.upstream for attempt in driven.sent] == ["u1", "u1"]
    assert driven.cancelled == driven.sent[:1]


def test_restart_drops_everything_merged():
    maps = [map_of(1), map_of(2, parts=5)]
    driven = Driven(tactics_with(), maps=maps)
    merged = driven.sent[1:4]
    for attempt in merged:
        driven.result(attempt, ANSWER, 5.0)
    for _ in range(3):
        gone = [
            a
            for a in driven.sent
            if a.snapshot.index_version == 1 and a not in merged
        ][-1]
        driven.result(gone, GONE, 6.0)
    second = [a for a in driven.sent if a.snapshot.index_version == 2]
    assert len(second) == 5
    assert driven.outcomes == []
    for attempt in second:
        driven.result(attempt, attempts.Answered([]), 9.0)
    answer = driven.outcomes[0].value
    assert answer.snapshot == snapshots.Snapshot(2, 2)
    assert answer.coverage.share == 1.0
    assert answer.hits == []


def test_snapshot_that_is_still_loading_is_asked_for_again():
    driven = Driven(
        tactics_with(), maps=[map_of(1, parts=1, replicas=("u1", "u2"))]
    )
    driven.result(driven.sent[0], GONE, 1.0)
    driven.result(driven.sent[1], GONE, 2.0)
    assert driven.outcomes == []
    driven.run_to(20.0)
    driven.result(driven.sent[2], ANSWER, 20.0)
    assert driven.outcomes[0].value.coverage.share == 1.0


def test_next_snapshot_is_taken_once_it_is_listed():
    maps = [map_of(1, parts=1, replicas=("u1",))]
    driven = Driven(tactics_with(), maps=maps)
    driven.result(driven.sent[0], GONE, 1.0)
    maps.append(map_of(2, parts=1))
    driven.run_to(20.0)
    assert driven.sent[1].snapshot == snapshots.Snapshot(2, 2)


def test_replica_that_lately_refused_is_tried_only_if_all_did():
    used = tactics_with()
    used.snapshot_refusals.add_refusal(snapshots.Snapshot(1, 1), "u1", 0.0)
    firsts = {a.upstream for _ in range(20) for a in Driven(used).sent}
    assert firsts == {"u2", "u3"}
    for name in ("u2", "u3"):
        used.snapshot_refusals.add_refusal(snapshots.Snapshot(1, 1), name, 0.0)
    assert len(Driven(used).sent) == 4


def test_no_restart_when_the_deadline_is_near():
    driven = Driven(
        tactics_with(), maps=[map_of(1, replicas=("u1",)), map_of(2)]
    )
    first, *others = driven.sent
    for attempt in others:
        driven.result(attempt, ANSWER, 5.0)
    driven.result(first, GONE, DEADLINE_MS - 5.0)
    answer = driven.outcomes[0].value
    assert answer.snapshot == snapshots.Snapshot(1, 1)
    [missing] = answer.coverage.missing
    assert missing.reason is outcomes.Reason.SNAPSHOT_GONE


@pytest.mark.parametrize(
    ("prefer", "finished_at_early_bound"),
    [("early", True), ("complete", False)],
)
def test_preference_decides_whether_stragglers_are_waited_for(
    answered_but_one, prefer, finished_at_early_bound
):
    used = tactics_with(hedges=0.0, retries=0.0)
    driven = answered_but_one(used, prefer=prefer)
    driven.run_to(6 * QUANTILE_MS)
    assert bool(driven.outcomes) is finished_at_early_bound
    driven.run_to(DEADLINE_MS)
    [missing] = driven.outcomes[0].value.coverage.missing
    assert missing.key_range == driven.sent[0].key_range


def test_newest_snapshot_that_enough_replicas_serve_is_chosen():
    held = snapshot_refusals.SnapshotRefusals()
    old, new = map_of(1), map_of(2)
    assert held.choose_map([old, new], 0.0) == new
    held.add_refusal(new.snapshot, "u1", 0.0)
    assert held.choose_map([old, new], 1.0) == new
    held.add_refusal(new.snapshot, "u2", 0.0)
    assert held.choose_map([old, new], 1.0) == old
    later_ms = snapshot_refusals.REFUSAL_TTL_MS
    assert held.choose_map([old, new], later_ms) == new


@pytest.mark.parametrize("seed", range(40))
def test_random_histories_end_once_with_one_snapshot(seed):
    rng = random.Random(seed)
    maps = [map_of(n, parts=rng.randint(1, 6)) for n in (1, 2, 3)]
    driven = Driven(tactics_with(hedges=3.0, retries=5.0), maps=maps)
    now_ms, answered = 0.0, set()
    while not driven.outcomes:
        now_ms = min(now_ms + rng.uniform(0.0, 15.0), DEADLINE_MS)
        driven.run_to(now_ms)
        if driven.outcomes:
            break
        attempt = rng.choice(driven.sent)
        version = attempt.snapshot.index_version
        whole = attempts.Answered(
            [hits.Hit(attempt.key_range.low, 0.5, f"v{version}")]
        )
        dropped = attempts.Dropped("digest")
        result = rng.choice([whole, whole, dropped, GONE, LOST])
        if attempt not in driven.cancelled and result is whole:
            answered.add((attempt.snapshot, attempt.key_range))
        driven.result(attempt, result, now_ms)
    assert len(driven.outcomes) == 1
    outcome = driven.outcomes[0]
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


def test_slow_upstreams_are_given_longer_with_each_replacement(
    answered_but_one,
):
    driven = answered_but_one(tactics_with(hedges=0.0))
    driven.run_to(DEADLINE_MS - 1)
    kept = [a for a in driven.sent[4:] if a not in driven.cancelled]
    longest_ms = max(
        after.sent_ms - before.sent_ms
        for before, after in itertools.pairwise(driven.sent[4:])
    )
    assert kept
    assert longest_ms >= DEADLINE_MS / 4
    assert len(driven.sent) - 4 <= 6
