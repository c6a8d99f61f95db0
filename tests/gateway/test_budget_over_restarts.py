"""Tests of the fleet's budget of extra attempts while hosts restart.

A model of a fleet without a network: requests arrive one after the other, each
at some running host, and each requests one extra attempt at once.
"""

import itertools
from typing import NamedTuple

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from greengagedale.gateway import extra_attempts
from proofs import budgets

WINDOW_MS = 10_000.0
RATIO = 0.2
HOSTS = 4
# Interval between requests over all hosts.
STEP_MS = 10.0


class History(NamedTuple):
    """Arrival times of requests and extra attempts."""

    requests_ms: list[float]
    extras_ms: list[float]


class Fleet:
    """Hosts that can be killed and restarted as new processes."""

    def __init__(self, burst):
        self.burst = burst
        self.now_ms = 0.0
        self.history = History([], [])
        self.processes = {name: self.start_process() for name in range(HOSTS)}

    def start_process(self):
        return extra_attempts.ExtraAttemptBudgets(
            WINDOW_MS, RATIO, self.burst / HOSTS, self.now_ms
        )

    def restart(self, name):
        self.processes[name] = self.start_process()

    def serve(self, for_ms, names=range(HOSTS), wants_extras=True):
        """Sends requests to the named hosts in turn."""
        hosts = itertools.cycle(names)
        for _ in range(int(for_ms / STEP_MS)):
            self.now_ms += STEP_MS
            budget = self.processes[next(hosts)].get("s")
            budget.record_request(self.now_ms)
            self.history.requests_ms.append(self.now_ms)
            if wants_extras and budget.try_withdraw(self.now_ms):
                self.history.extras_ms.append(self.now_ms)
                budget.on_attempt_end(self.now_ms)

    def max_excess(self):
        """Returns the largest excess over the allowance in any window."""
        allowance = budgets.BudgetLimits(WINDOW_MS, RATIO, self.burst)
        return budgets.max_excess(*self.history, allowance)


@pytest.fixture
def fleet():
    return Fleet(burst=54.0)


# Guards against a violation of BUDGET seen on atcu-search: hosts killed several
# times within a window spent their share of the burst once per process.
def test_repeatedly_killed_hosts_spend_the_burst_once(fleet):
    fleet.serve(WINDOW_MS, wants_extras=False)
    for name in [0, 1, 2, 3, 0, 2, 2]:
        fleet.serve(1000.0)
        fleet.restart(name)
    fleet.serve(WINDOW_MS)
    assert fleet.max_excess() <= 0.0


# Guards against a violation of BUDGET seen on atcu-search: the extra attempts
# of a lost host were covered by its requests, and those of the hosts that its
# callers moved to were covered by the same share again.
def test_requests_moved_to_other_hosts_add_to_the_budget_once():
    fleet = Fleet(burst=2.0 * HOSTS)
    fleet.serve(WINDOW_MS, wants_extras=False)
    for lost in range(HOSTS):
        fleet.serve(2000.0, [name for name in range(HOSTS) if name != lost])
        fleet.restart(lost)
    assert fleet.history.extras_ms
    assert fleet.max_excess() <= 0.0


# Guards against violations of BUDGET for any number and order of restarts.
@settings(deadline=None)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, HOSTS - 1),
            strategies.floats(100.0, 4000.0),
            strategies.booleans(),
        ),
        max_size=12,
    )
)
def test_no_window_exceeds_the_budget_over_any_restarts(steps):
    fleet = Fleet(burst=8.0)
    fleet.serve(4000.0, wants_extras=False)
    for name, for_ms, serves_alone in steps:
        fleet.restart(name)
        fleet.serve(for_ms, [name] if serves_alone else range(HOSTS))
    assert fleet.max_excess() <= 0.0
