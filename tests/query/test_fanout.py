"""Tests of the fan-out state machine with the plain strategy."""

import random

import pytest

from greengagedale import outcomes
from greengagedale.query import attempts
from greengagedale.query import fanout
from greengagedale.query import hits
from greengagedale.query import ranges
from greengagedale.query import snapshots
from greengagedale.query import strategies
from greengagedale.routing import policies

SNAPSHOT = snapshots.Snapshot(1, 1)


@pytest.fixture
def pinned():
    parts = ranges.split_evenly(ranges.KeyRange(0, 100), 2)
    return snapshots.PartitionMap(
        SNAPSHOT,
        tuple(snapshots.RangeReplicas(part, ("u1", "u2")) for part in parts),
    )


@pytest.fixture
def state(pinned):
    search = fanout.Search("r", "places", "text", 10, 1000.0)
    policy = policies.RandomPolicy(random.Random(1))
    return fanout.FanOut(
        search, pinned, strategies.SearchStrategy.plain(policy)
    )


def finish_of(commands):
    [finish] = [c for c in commands if isinstance(c, fanout.Finish)]
    return finish.outcome


def test_dropped_answers_are_never_reported_as_not_run(state):
    first, second = state.start(0.0)
    dropped = attempts.Dropped("digest")
    assert state.on_result(first.attempt.attempt_id, dropped, 1.0) == []
    commands = state.on_result(second.attempt.attempt_id, dropped, 2.0)
    assert finish_of(commands) == outcomes.Unknown(outcomes.Reason.REJECTED)


def test_refused_attempts_are_not_run(state):
    refused = outcomes.AttemptFailure(outcomes.Reason.OVERLOADED, True, True)
    commands = [
        command
        for send in state.start(0.0)
        for command in state.on_result(send.attempt.attempt_id, refused, 1.0)
    ]
    assert isinstance(finish_of(commands), outcomes.NotRun)


def test_deadline_gives_a_partial_answer_and_cancels_the_rest(state):
    first, second = state.start(0.0)
    answer = attempts.Answered([hits.Hit(1, 0.5, "v1")])
    state.on_result(first.attempt.attempt_id, answer, 1.0)
    commands = state.on_deadline(1000.0)
    assert fanout.Cancel(second.attempt) in commands
    covered = finish_of(commands).value.coverage
    assert (covered.covered, covered.total) == (50, 100)
    assert covered.missing[0].key_range == second.attempt.key_range


def test_late_answers_are_ignored(state):
    first, _ = state.start(0.0)
    state.on_deadline(1000.0)
    late = attempts.Answered([])
    assert state.on_result(first.attempt.attempt_id, late, 5.0) == []
