"""The check of the budget of extra attempts, on histories of its own."""

import pytest

from proofs import budgets

ALLOWANCE = budgets.Allowance(window_ms=100.0, ratio=0.5, burst=2.0)


def test_first_arrivals_are_no_extras():
    arrivals = [(3.0, b"a"), (1.0, b"a"), (2.0, b"b"), (9.0, b"a")]
    assert budgets.extras_of(arrivals) == [3.0, 9.0]


@pytest.mark.parametrize(
    ("requests_ms", "extras_ms", "excess"),
    [
        ([], [], -2.0),
        ([], [0.0, 1.0, 2.0], 1.0),
        ([], [0.0, 1.0, 101.0], 0.0),
        ([0.0, 50.0], [60.0, 61.0, 62.0], 0.0),
        ([0.0, 50.0], [60.0, 61.0, 62.0, 63.0], 1.0),
        # Requests of the window before count as well, older ones don't.
        ([0.0, 1.0], [90.0, 91.0, 92.0], 0.0),
        ([0.0, 1.0], [150.0, 151.0, 152.0], 1.0),
    ],
)
def test_windows_that_hold_too_much_are_found(requests_ms, extras_ms, excess):
    found = budgets.worst_excess(requests_ms, extras_ms, ALLOWANCE)
    assert found == excess
