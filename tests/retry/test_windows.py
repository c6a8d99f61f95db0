"""Extra attempts stay within the budget in every window."""

import itertools

from hypothesis import given
from hypothesis import strategies
import pytest

from greengagedale.retry import windows

WINDOW_MS = 1000.0


@pytest.fixture
def budget():
    return windows.WindowBudget(WINDOW_MS, 0.5, 2.0)


def test_burst_is_granted_once_a_window(budget):
    assert [budget.take(0.0) for _ in range(3)] == [True, True, False]
    assert not budget.take(WINDOW_MS)
    assert budget.take(WINDOW_MS + 1.0)


def test_requests_earn_extras_while_they_are_in_the_window(budget):
    for _ in range(4):
        budget.note_request(0.0)
    assert budget.left(0.0) == 4.0
    assert budget.left(WINDOW_MS + 1.0) == 2.0


def test_reserve_is_left_to_others(budget):
    assert not budget.take(0.0, reserve_share=1.0)
    assert budget.take(0.0, reserve_share=0.5)
    assert not budget.take(0.0, reserve_share=0.5)
    assert budget.take(0.0)


@given(
    strategies.lists(
        strategies.tuples(strategies.floats(0.0, 300.0), strategies.booleans()),
        max_size=200,
    )
)
def test_no_window_holds_more_than_its_requests_allow(steps):
    budget = windows.WindowBudget(WINDOW_MS, 0.2, 3.0)
    times = itertools.accumulate(pause_ms for pause_ms, _ in steps)
    requests, extras = [], []
    for now_ms, (_, is_request) in zip(times, steps, strict=True):
        if is_request:
            budget.note_request(now_ms)
            requests.append(now_ms)
        elif budget.take(now_ms):
            extras.append(now_ms)
    for end_ms in extras:
        begin_ms = end_ms - WINDOW_MS
        held = sum(begin_ms <= at <= end_ms for at in extras)
        asked = sum(begin_ms <= at <= end_ms for at in requests)
        assert held <= 3.0 + 0.2 * asked
