"""Which connections end when a server has no room for all of them."""

from hypothesis import given
from hypothesis import strategies
import pytest

from greengagedale import clocks
from greengagedale.http1 import connection_budget
from greengagedale.http1.connection_budget import Phase

MAX_CONNECTIONS = 10
MAX_HELD_BYTES = 1_000_000
MAX_REQUEST_BYTES = 400_000


@pytest.fixture
def clock():
    return clocks.ManualClock(1000.0)


@pytest.fixture
def budget(clock):
    return connection_budget.ConnectionBudget(
        connection_budget.Bounds(MAX_CONNECTIONS, MAX_HELD_BYTES), clock
    )


def next_to_end(budget):
    return budget.next_to_end(MAX_REQUEST_BYTES)


def end_surplus(budget):
    """Ends connections until the bounds hold; returns them."""
    ended = []
    while (connection := next_to_end(budget)) is not None:
        budget.leave(connection)
        ended.append(connection)
    return ended


def add(budget, clock, phase, names, held_bytes=0):
    for name in names:
        clock.advance(1.0)
        budget.enter(name, phase)
        budget.hold(name, held_bytes)


def test_nothing_ends_within_the_bounds(budget, clock):
    add(budget, clock, Phase.RECEIVING, "abcd", 200_000)
    add(budget, clock, Phase.IDLE, "efghij")
    clock.advance(60_000.0)
    assert not budget.is_exceeded
    assert next_to_end(budget) is None


def test_largest_unfinished_request_ends_first(budget, clock):
    add(budget, clock, Phase.RECEIVING, "a", 100_000)
    add(budget, clock, Phase.RECEIVING, "b", 600_000)
    add(budget, clock, Phase.RECEIVING, "c", 350_000)
    assert end_surplus(budget) == ["b"]


# Many requests inside the limits that are never completed.
def test_held_requests_stay_within_the_memory(budget, clock):
    add(budget, clock, Phase.RECEIVING, range(8), 300_000)
    end_surplus(budget)
    assert budget.held_bytes <= MAX_HELD_BYTES
    assert len(budget) == 3


def test_client_that_does_not_read_ends_before_requests(budget, clock):
    add(budget, clock, Phase.SENDING, "ab", 300_000)
    clock.advance(connection_budget.STALL_MS)
    budget.enter("b", Phase.SENDING)
    add(budget, clock, Phase.RECEIVING, "c", 500_000)
    assert end_surplus(budget) == ["a"]


def test_response_that_is_read_ends_after_requests(budget, clock):
    add(budget, clock, Phase.SENDING, "a", 700_000)
    add(budget, clock, Phase.RECEIVING, "b", 500_000)
    assert end_surplus(budget) == ["b"]


def test_requests_that_run_never_end(budget, clock):
    add(budget, clock, Phase.RUNNING, range(20), 500_000)
    clock.advance(60_000.0)
    assert budget.is_exceeded
    assert next_to_end(budget) is None


def test_single_request_is_served_even_if_it_exceeds_the_memory(budget, clock):
    budget.enter("a", Phase.RECEIVING)
    budget.hold("a", 5 * MAX_HELD_BYTES)
    assert budget.next_to_end(5 * MAX_HELD_BYTES) is None
    assert budget.may_run("a", 5 * MAX_HELD_BYTES)


def test_longest_idle_connection_makes_room_for_a_new_one(budget, clock):
    add(budget, clock, Phase.RECEIVING, "a")
    add(budget, clock, Phase.IDLE, range(9))
    clock.advance(connection_budget.STALL_MS)
    budget.enter("new", Phase.IDLE)
    assert end_surplus(budget) == [0]


# A crowd that holds all connections with unfinished requests keeps nobody out.
def test_oldest_unfinished_request_makes_room_for_a_new_one(budget, clock):
    add(budget, clock, Phase.RECEIVING, range(10))
    add(budget, clock, Phase.IDLE, ["new"])
    assert end_surplus(budget) == [0]


def test_new_connection_ends_if_all_others_run(budget, clock):
    add(budget, clock, Phase.RUNNING, range(10))
    add(budget, clock, Phase.IDLE, ["new"])
    assert end_surplus(budget) == ["new"]


def test_large_requests_leave_room_for_small_ones(budget, clock):
    add(budget, clock, Phase.RUNNING, "ab", 350_000)
    add(budget, clock, Phase.RECEIVING, "c", 100_000)
    assert not budget.may_run("c", MAX_REQUEST_BYTES)
    budget.hold("c", 10_000)
    assert budget.may_run("c", MAX_REQUEST_BYTES)
    budget.leave("a")
    budget.hold("c", 100_000)
    assert budget.may_run("c", MAX_REQUEST_BYTES)


@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 30),
            strategies.sampled_from(Phase),
            strategies.integers(0, 400_000),
            strategies.floats(0.0, 2000.0),
        )
    )
)
def test_account_is_right_and_bounds_hold_unless_all_run(steps):
    clock = clocks.ManualClock()
    budget = connection_budget.ConnectionBudget(
        connection_budget.Bounds(MAX_CONNECTIONS, MAX_HELD_BYTES), clock
    )
    model = {}
    for name, phase, held_bytes, pause_ms in steps:
        clock.advance(pause_ms)
        budget.enter(name, phase)
        budget.hold(name, held_bytes)
        model[name] = (phase, held_bytes)
        while (ended := next_to_end(budget)) is not None:
            assert model.pop(ended)[0] is not Phase.RUNNING
            budget.leave(ended)
        bare_bytes = connection_budget.CONNECTION_BYTES * len(model)
        total_bytes = bare_bytes + sum(held for _, held in model.values())
        assert budget.held_bytes == total_bytes
        assert len(budget) == len(model)
        if any(phase is not Phase.RUNNING for phase, _ in model.values()):
            assert len(budget) <= MAX_CONNECTIONS
            assert budget.held_bytes <= max(
                MAX_HELD_BYTES, MAX_REQUEST_BYTES + bare_bytes
            )
