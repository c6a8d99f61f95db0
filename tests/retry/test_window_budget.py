"""Extra attempts stay within the budget in every window."""

import itertools

from hypothesis import given
from hypothesis import strategies
import pytest

from greengagedale.retry import window_budget

WINDOW_MS = 1000.0
LONG_AGO_MS = -2.0 * WINDOW_MS


@pytest.fixture
def budget():
    return window_budget.WindowBudget(WINDOW_MS, 0.5, 2.0, LONG_AGO_MS)


def withdraw_all(budget, now_ms):
    """Withdraws all available tokens and returns how many there were.

    The attempts end immediately.
    """
    withdrawals = itertools.takewhile(
        bool, iter(lambda: budget.try_withdraw(now_ms), None)
    )
    count = sum(withdrawals)
    for _ in range(count):
        budget.on_attempt_end(now_ms)
    return count


def test_burst_is_available_once_per_window(budget):
    assert withdraw_all(budget, 0.0) == 2
    assert not budget.try_withdraw(WINDOW_MS)
    assert budget.try_withdraw(WINDOW_MS + 1.0)


def test_requests_return_tokens(budget):
    assert withdraw_all(budget, 0.0) == 2
    for _ in range(3):
        budget.record_request(1.0)
    assert budget.available(1.0) == 1.5


def test_requests_return_no_more_than_the_share(budget):
    for _ in range(100):
        budget.record_request(0.0)
    assert budget.available(0.0) == 2.0


def test_reserved_share_stays_available(budget):
    assert not budget.try_withdraw(0.0, reserve_share=1.0)
    assert budget.try_withdraw(0.0, reserve_share=0.5)
    assert not budget.try_withdraw(0.0, reserve_share=0.5)
    assert budget.try_withdraw(0.0)


# Guards against exceeding the budget (BUDGET) after a restart: an earlier
# process may already have spent the share.
def test_new_process_has_its_share_one_window_after_its_start():
    budget = window_budget.WindowBudget(WINDOW_MS, 0.5, 2.0, spent_ms=0.0)
    assert not budget.try_withdraw(WINDOW_MS)
    assert withdraw_all(budget, WINDOW_MS + 1.0) == 2


# Guards against exceeding the budget (BUDGET) with late attempts: an attempt
# that waits for a connection, or whose host is paused, arrives later than the
# token was withdrawn.
def test_token_returns_one_window_after_its_attempt_ended(budget):
    assert budget.try_withdraw(0.0)
    assert budget.try_withdraw(0.0)
    for _ in range(100):
        budget.record_request(500.0)
    assert budget.available(500.0) == 0.0
    budget.on_attempt_end(800.0)
    assert budget.available(800.0 + WINDOW_MS) == 0.0
    assert budget.available(801.0 + WINDOW_MS) == 1.0


def test_token_of_an_unsent_attempt_is_refunded(budget):
    assert budget.try_withdraw(0.0)
    assert budget.try_withdraw(0.0)
    budget.refund()
    assert budget.available(0.0) == 1.0


def test_reduced_share_removes_saved_tokens_before_those_in_flight(budget):
    assert budget.try_withdraw(0.0)
    budget.set_share(0.5, 0.0)
    assert budget.available(0.0) == 0.0
    budget.on_attempt_end(0.0)
    assert budget.available(WINDOW_MS + 1.0) == 0.5


def test_added_share_is_available_one_window_later(budget):
    budget.set_share(3.0, 0.0)
    assert budget.available(WINDOW_MS) == 2.0
    assert budget.available(WINDOW_MS + 1.0) == 3.0


def test_budget_is_unused_once_all_tokens_have_returned(budget):
    assert budget.is_unused(0.0)
    budget.record_request(0.0)
    assert budget.try_withdraw(0.0)
    assert not budget.is_unused(WINDOW_MS + 1.0)
    budget.on_attempt_end(100.0)
    assert not budget.is_unused(WINDOW_MS + 100.0)
    assert budget.is_unused(WINDOW_MS + 101.0)


# An extra attempt may arrive at any time between the withdrawal of its token
# and the end of the attempt; here it arrives at the latest time.
@given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 300.0),
            strategies.sampled_from(["request", "extra", "settle"]),
        ),
        max_size=200,
    )
)
def test_no_window_exceeds_the_budget(steps):
    budget = window_budget.WindowBudget(WINDOW_MS, 0.2, 3.0, LONG_AGO_MS)
    times = itertools.accumulate(pause_ms for pause_ms, _ in steps)
    requests, arrivals = [], []
    in_flight = 0
    for now_ms, (_, what) in zip(times, steps, strict=True):
        if what == "request":
            budget.record_request(now_ms)
            requests.append(now_ms)
        elif what == "extra":
            in_flight += budget.try_withdraw(now_ms)
        elif in_flight:
            in_flight -= 1
            budget.on_attempt_end(now_ms)
            arrivals.append(now_ms)
    for end_ms in arrivals:
        begin_ms = end_ms - WINDOW_MS
        extra_count = sum(begin_ms <= at <= end_ms for at in arrivals)
        request_count = sum(begin_ms <= at <= end_ms for at in requests)
        assert extra_count <= 3.0 + 0.2 * request_count + 1e-9
