"""Tests of extra attempt budgets and of the estimate of callers' waits."""

import pytest

from greengagedale.gateway import extra_attempts

WINDOW_MS = 1000.0
TICK_MS = 100.0


@pytest.fixture
def budgets():
    return extra_attempts.ExtraAttemptBudgets(
        WINDOW_MS, 0.5, 4.0, started_ms=0.0
    )


# Guards against a violation of BUDGET: requests that callers sent in an earlier
# window were counted in the current one.
def test_requests_queued_during_a_stall_do_not_add_to_the_budget(budgets):
    budgets.tick(0.0)
    assert budgets.record_request("s", TICK_MS).available(TICK_MS) == 0.5
    resumed_ms = TICK_MS + extra_attempts.STALL_THRESHOLD_MS
    assert budgets.record_request("s", resumed_ms).available(resumed_ms) == 0.5
    budgets.tick(resumed_ms)
    assert budgets.record_request("s", resumed_ms).available(resumed_ms) == 1.0


def test_increased_share_is_available_after_one_window(budgets):
    now_ms = 10.0 * WINDOW_MS
    assert budgets.get("old").available(now_ms) == 4.0
    budgets.set_share(6.0, now_ms)
    assert budgets.get("new").available(now_ms) == 0.0
    assert budgets.get("old").available(now_ms) == 4.0
    later_ms = now_ms + WINDOW_MS + 1.0
    assert budgets.get("new").available(later_ms) == 6.0
    assert budgets.get("old").available(later_ms) == 6.0


def test_unused_budget_is_discarded(budgets):
    budget = budgets.get("s")
    budgets.evict_unused(WINDOW_MS)
    assert budgets.get("s") is budget
    budgets.evict_unused(3.0 * WINDOW_MS)
    assert budgets.get("s") is not budget


@pytest.fixture
def latency():
    return extra_attempts.RouteLatency(target_latency_ms=72.0)


def test_waited_time_is_the_difference_to_the_longest_remaining_time(latency):
    assert latency.waited_ms(404.0, 0.0) == 0.0
    assert latency.waited_ms(390.0, 10.0) == 14.0
    assert latency.waited_ms(404.0, 20.0) == 0.0


def test_caller_with_a_shorter_timeout_is_not_assumed_to_have_waited(latency):
    latency.waited_ms(404.0, 0.0)
    assert latency.waited_ms(300.0, 10.0) == 0.0


def test_longest_remaining_time_expires(latency):
    latency.waited_ms(404.0, 0.0)
    for now_ms in range(10_000, 100_000, 10_000):
        waited_ms = latency.waited_ms(390.0, float(now_ms))
    assert waited_ms == 0.0
