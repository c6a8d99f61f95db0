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


def spend_all(budget, now_ms):
    """Returns how many extras are granted at once; they end at once."""
    taken = itertools.takewhile(
        bool, iter(lambda: budget.try_withdraw(now_ms), None)
    )
    count = sum(taken)
    for _ in range(count):
        budget.on_attempt_end(now_ms)
    return count


def test_burst_is_granted_once_a_window(budget):
    assert spend_all(budget, 0.0) == 2
    assert not budget.try_withdraw(WINDOW_MS)
    assert budget.try_withdraw(WINDOW_MS + 1.0)


def test_requests_earn_extras(budget):
    assert spend_all(budget, 0.0) == 2
    for _ in range(3):
        budget.record_request(1.0)
    assert budget.available(1.0) == 1.5


def test_requests_earn_no_more_than_the_share_holds(budget):
    for _ in range(100):
        budget.record_request(0.0)
    assert budget.available(0.0) == 2.0


def test_reserve_is_left_to_others(budget):
    assert not budget.try_withdraw(0.0, reserve_share=1.0)
    assert budget.try_withdraw(0.0, reserve_share=0.5)
    assert not budget.try_withdraw(0.0, reserve_share=0.5)
    assert budget.try_withdraw(0.0)


# Guards against BUDGET: an earlier process may have spent the share already.
def test_new_process_has_its_share_a_window_after_it_began():
    budget = window_budget.WindowBudget(WINDOW_MS, 0.5, 2.0, spent_ms=0.0)
    assert not budget.try_withdraw(WINDOW_MS)
    assert spend_all(budget, WINDOW_MS + 1.0) == 2


# Guards against BUDGET: an attempt that waits for a connection, or on a host
# that stood still, arrives later than it was decided on.
def test_extra_counts_until_a_window_after_its_attempt_ended(budget):
    assert budget.try_withdraw(0.0)
    assert budget.try_withdraw(0.0)
    for _ in range(100):
        budget.record_request(500.0)
    assert budget.available(500.0) == 0.0
    budget.on_attempt_end(800.0)
    assert budget.available(800.0 + WINDOW_MS) == 0.0
    assert budget.available(801.0 + WINDOW_MS) == 1.0


def test_extra_that_was_never_sent_is_given_back(budget):
    assert budget.try_withdraw(0.0)
    assert budget.try_withdraw(0.0)
    budget.refund()
    assert budget.available(0.0) == 1.0


def test_cut_share_takes_saved_tokens_first_and_unsettled_ones_later(budget):
    assert budget.try_withdraw(0.0)
    budget.set_share(0.5, 0.0)
    assert budget.available(0.0) == 0.0
    budget.on_attempt_end(0.0)
    assert budget.available(WINDOW_MS + 1.0) == 0.5


def test_added_share_is_available_a_window_later(budget):
    budget.set_share(3.0, 0.0)
    assert budget.available(WINDOW_MS) == 2.0
    assert budget.available(WINDOW_MS + 1.0) == 3.0


def test_budget_is_unused_once_a_new_one_would_be_the_same(budget):
    assert budget.is_unused(0.0)
    budget.record_request(0.0)
    assert budget.try_withdraw(0.0)
    assert not budget.is_unused(WINDOW_MS + 1.0)
    budget.on_attempt_end(100.0)
    assert not budget.is_unused(WINDOW_MS + 100.0)
    assert budget.is_unused(WINDOW_MS + 101.0)


# Extras arrive at any time between being granted and settled; here they
# arrive as late as they can.
@given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 300.0),
            strategies.sampled_from(["request", "extra", "settle"]),
        ),
        max_size=200,
    )
)
def test_no_window_holds_more_than_its_requests_allow(steps):
    budget = window_budget.WindowBudget(WINDOW_MS, 0.2, 3.0, LONG_AGO_MS)
    times = itertools.accumulate(pause_ms for pause_ms, _ in steps)
    requests, arrivals = [], []
    unsettled = 0
    for now_ms, (_, what) in zip(times, steps, strict=True):
        if what == "request":
            budget.record_request(now_ms)
            requests.append(now_ms)
        elif what == "extra":
            unsettled += budget.try_withdraw(now_ms)
        elif unsettled:
            unsettled -= 1
            budget.on_attempt_end(now_ms)
            arrivals.append(now_ms)
    for end_ms in arrivals:
        begin_ms = end_ms - WINDOW_MS
        held = sum(begin_ms <= at <= end_ms for at in arrivals)
        asked = sum(begin_ms <= at <= end_ms for at in requests)
        assert held <= 3.0 + 0.2 * asked + 1e-9
