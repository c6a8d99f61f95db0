"""Extra attempts of all hosts together, whatever becomes of the hosts.

A model of a fleet: requests arrive one after the other, each at some host that
lives, and each wants one extra attempt at once. No network and no bench.
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
# Time from one request to the next, over all hosts.
STEP_MS = 10.0


class History(NamedTuple):
    """When requests came and extra attempts arrived."""

    requests_ms: list[float]
    extras_ms: list[float]


class Fleet:
    """Hosts that can be killed and that come back as new processes."""

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

    def worst_excess(self):
        """Returns by how much some window held more than is allowed."""
        allowance = budgets.Allowance(WINDOW_MS, RATIO, self.burst)
        return budgets.worst_excess(*self.history, allowance)


@pytest.fixture
def fleet():
    return Fleet(burst=54.0)


# Guards against BUDGET on atcu-search: hosts that are killed several times
# within a window spent their part of the burst once in each life.
def test_repeatedly_killed_hosts_spend_the_burst_once(fleet):
    fleet.serve(WINDOW_MS, wants_extras=False)
    for name in [0, 1, 2, 3, 0, 2, 2]:
        fleet.serve(1000.0)
        fleet.restart(name)
    fleet.serve(WINDOW_MS)
    assert fleet.worst_excess() <= 0.0


# Guards against BUDGET on atcu-search: extras of a host that was lost counted
# on its requests, and those of its callers' next hosts on the same share.
def test_requests_moved_to_other_hosts_add_to_the_budget_once():
    fleet = Fleet(burst=2.0 * HOSTS)
    fleet.serve(WINDOW_MS, wants_extras=False)
    for lost in range(HOSTS):
        fleet.serve(2000.0, [name for name in range(HOSTS) if name != lost])
        fleet.restart(lost)
    assert fleet.history.extras_ms
    assert fleet.worst_excess() <= 0.0


# Guards against BUDGET: any number and order of lives.
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
    assert fleet.worst_excess() <= 0.0
