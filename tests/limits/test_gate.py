"""Slots of upstreams, handed out in fair order."""

import pytest

from greengagedale.limits import concurrency
from greengagedale.limits import gate as gate_lib

ANSWERED = concurrency.End.ANSWERED


@pytest.fixture
def gate():
    made = gate_lib.Gate(concurrency.FixedLimit)
    for name in ("u1", "u2"):
        made.set_bounds(name, concurrency.Bounds(1, 1))
    return made


def want(name, member="m", request="r", first="u1"):
    others = tuple(n for n in ("u1", "u2") if n != first)
    return gate_lib.Want(name, request, member, 1.0, (first, *others))


def test_busy_choice_is_replaced_by_a_free_replica(gate):
    assert gate.ask(want("a", request="r1"), 0.0).upstream == "u1"
    assert gate.ask(want("b", request="r2"), 0.0).upstream == "u2"
    assert gate.ask(want("c", request="r3"), 0.0) is None
    assert gate.free_slots("u1") == gate.free_slots("u2") == 0
    assert gate.release("u2", "b") == [gate_lib.Grant("c", "u2")]
    assert gate.release("u2", "b") == []


def test_second_attempt_of_a_request_is_not_moved_to_the_first_ones_upstream(
    gate,
):
    gate.ask(want("a.0", request="r1", first="u2"), 0.0)
    gate.ask(want("b.0", request="r2"), 0.0)
    assert gate.ask(want("a.1", request="r1"), 0.0) is None


def test_members_take_turns_when_slots_are_short(gate):
    for number in range(4):
        gate.ask(want(f"big-{number}", "big", f"big-{number}"), 0.0)
    held = gate.ask(want("small-0", "small", "small-0"), 0.0)
    gate.ask(want("small-1", "small", "small-1"), 0.0)
    assert gate.release("u1", "big-0") + gate.release("u2", "big-1") != []
    order = [gate.release(held.upstream, held.attempt_id)]
    assert [grant.attempt_id for [grant] in order] == ["small-1"]


def test_waiter_that_gave_up_gets_no_slot(gate):
    gate.ask(want("x", request="x"), 0.0)
    gate.ask(want("y", request="y"), 0.0)
    waiter = want("z", request="z")
    gate.ask(waiter, 0.0)
    assert gate.stop_waiting(waiter)
    assert gate.release("u1", "x") == []
    assert gate.free_slots("u1") == 1


def test_failed_upstream_draws_no_others_work(gate):
    gate.ask(want("x", request="x"), 0.0)
    gate.take_in("u2", concurrency.End.FAILED, 0.1, 0.0)
    assert gate.ask(want("y", request="y"), 1.0) is None


def test_member_with_less_than_its_share_does_not_wait_for_another(gate):
    for number in range(5):
        gate.ask(want(f"big-{number}", "big", f"big-{number}"), 0.0)
    assert gate.ask(want("small", "small", "small"), 0.0) is not None
    assert gate.ask(want("small-2", "small", "small-2"), 0.0) is None


def test_hedge_takes_over_the_place_of_an_attempt_that_waits(gate):
    for number in range(2):
        gate.ask(want(f"m-{number}", request=f"r{number}"), 0.0)
    gate.ask(want("a.0", request="a"), 0.0)
    gate.ask(want("b.0", request="b"), 0.0)
    hedge = want("a.1", request="a", first="u2")
    assert gate.ask(hedge, 1.0) == gate_lib.Displace("a.0")
    assert not gate.stop_waiting(want("a.0", request="a"))
    assert gate.release("u1", "m-0") == [gate_lib.Grant("a.1", "u1")]
    assert gate.release("u1", "a.1") == [gate_lib.Grant("b.0", "u1")]
