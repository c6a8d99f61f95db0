"""Tests of the check of the budget of extra attempts."""

import pytest

from proofs import budgets

BUDGET_LIMITS = budgets.BudgetLimits(window_ms=100.0, ratio=0.5, burst=2.0)


def test_first_arrivals_are_not_extra():
    arrivals = [(3.0, b"a"), (1.0, b"a"), (2.0, b"b"), (9.0, b"a")]
    assert budgets.extra_arrivals(arrivals) == [3.0, 9.0]


@pytest.mark.parametrize(
    ("requests_ms", "extras_ms", "excess"),
    [
        ([], [], -2.0),
        ([], [0.0, 1.0, 2.0], 1.0),
        ([], [0.0, 1.0, 101.0], 0.0),
        ([0.0, 50.0], [60.0, 61.0, 62.0], 0.0),
        ([0.0, 50.0], [60.0, 61.0, 62.0, 63.0], 1.0),
        # Requests of the previous window count as well, but older ones do not.
        ([0.0, 1.0], [90.0, 91.0, 92.0], 0.0),
        ([0.0, 1.0], [150.0, 151.0, 152.0], 1.0),
    ],
)
def test_max_excess_over_all_windows(requests_ms, extras_ms, excess):
    found = budgets.max_excess(requests_ms, extras_ms, BUDGET_LIMITS)
    assert found == excess
