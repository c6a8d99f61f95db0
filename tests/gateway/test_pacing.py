"""Budgets of a process, over all services."""

import pytest

from greengagedale.gateway import pacing

WINDOW_MS = 1000.0
TICK_MS = 100.0


@pytest.fixture
def budgets():
    return pacing.Budgets(WINDOW_MS, 0.5, 4.0, began_ms=0.0)


# Guards against BUDGET: requests that callers sent in an earlier window.
def test_requests_that_waited_while_the_host_stood_still_earn_nothing(budgets):
    budgets.tick(0.0)
    assert budgets.note_request("s", TICK_MS).left(TICK_MS) == 0.5
    woken_ms = TICK_MS + pacing.STOOD_STILL_MS
    assert budgets.note_request("s", woken_ms).left(woken_ms) == 0.5
    budgets.tick(woken_ms)
    assert budgets.note_request("s", woken_ms).left(woken_ms) == 1.0


def test_share_that_grows_is_not_there_at_once_for_new_services(budgets):
    now_ms = 10.0 * WINDOW_MS
    assert budgets.of("old").left(now_ms) == 4.0
    budgets.set_share(6.0, now_ms)
    assert budgets.of("new").left(now_ms) == 0.0
    assert budgets.of("old").left(now_ms) == 4.0
    later_ms = now_ms + WINDOW_MS + 1.0
    assert budgets.of("new").left(later_ms) == 6.0
    assert budgets.of("old").left(later_ms) == 6.0


def test_budget_is_dropped_once_it_says_nothing(budgets):
    held = budgets.of("s")
    budgets.forget_unused(WINDOW_MS)
    assert budgets.of("s") is held
    budgets.forget_unused(3.0 * WINDOW_MS)
    assert budgets.of("s") is not held
