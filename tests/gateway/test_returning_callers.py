"""Requests that callers repeat are told from new ones by the time left.

Load: a workspace far above its quota, whose refused callers return.
"""

import itertools

import pytest

from greengagedale.gateway import returning_callers

TIMEOUT_MS = 800.0
TARGET_MS = 200.0


@pytest.fixture
def returning():
    """Callers of one route, most of which send their timeout in full."""
    callers = returning_callers.ReturningCallers()
    for left_ms in itertools.islice(itertools.cycle([797, 800, 799, 520]), 40):
        callers.is_returning("r", left_ms, TARGET_MS)
    return callers


@pytest.mark.parametrize(
    ("left_ms", "expected"),
    [(800.0, False), (780.0, False), (690.0, True), (540.0, True)],
)
def test_time_left_tells_returning_callers(returning, left_ms, expected):
    assert returning.is_returning("r", left_ms, TARGET_MS) is expected


def test_few_patient_callers_do_not_make_others_returning(returning):
    for _ in range(4):
        returning.is_returning("r", 10.0 * TIMEOUT_MS, TARGET_MS)
    assert not returning.is_returning("r", TIMEOUT_MS, TARGET_MS)


@pytest.mark.parametrize("left_ms", [None, 10.0])
def test_nothing_is_assumed_without_evidence(left_ms):
    callers = returning_callers.ReturningCallers()
    assert not callers.is_returning("r", left_ms, TARGET_MS)


def test_removed_routes_are_forgotten(returning):
    returning.retain_only(set())
    assert not returning.is_returning("r", 540.0, TARGET_MS)
