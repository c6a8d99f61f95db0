"""Allocation of upstream slots to attempts."""

import pytest

from greengagedale.limits import concurrency
from greengagedale.limits import slots as slots_lib

ANSWERED = concurrency.LoadSignal.ANSWERED


@pytest.fixture
def allocator():
    made = slots_lib.SlotAllocator(concurrency.FixedLimit)
    for name in ("u1", "u2"):
        made.set_bounds(name, concurrency.LimitBounds(1, 1))
    return made


def slot_request(name, member="m", request="r", first="u1"):
    others = tuple(n for n in ("u1", "u2") if n != first)
    return slots_lib.SlotRequest(name, request, member, 1.0, (first, *others))


def test_attempt_gets_a_free_replica_if_its_upstream_is_busy(allocator):
    assert (
        allocator.acquire(slot_request("a", request="r1"), 0.0).upstream == "u1"
    )
    assert (
        allocator.acquire(slot_request("b", request="r2"), 0.0).upstream == "u2"
    )
    assert allocator.acquire(slot_request("c", request="r3"), 0.0) is None
    assert allocator.free_slots("u1") == allocator.free_slots("u2") == 0
    assert allocator.release("u2", "b") == [slots_lib.Grant("c", "u2")]
    assert allocator.release("u2", "b") == []


def test_second_attempt_does_not_get_the_upstream_of_the_first(
    allocator,
):
    allocator.acquire(slot_request("a.0", request="r1", first="u2"), 0.0)
    allocator.acquire(slot_request("b.0", request="r2"), 0.0)
    assert allocator.acquire(slot_request("a.1", request="r1"), 0.0) is None


def test_members_share_scarce_slots(allocator):
    for number in range(4):
        allocator.acquire(
            slot_request(f"big-{number}", "big", f"big-{number}"), 0.0
        )
    first_grant = allocator.acquire(
        slot_request("small-0", "small", "small-0"), 0.0
    )
    allocator.acquire(slot_request("small-1", "small", "small-1"), 0.0)
    assert (
        allocator.release("u1", "big-0") + allocator.release("u2", "big-1")
        != []
    )
    order = [allocator.release(first_grant.upstream, first_grant.attempt_id)]
    assert [grant.attempt_id for [grant] in order] == ["small-1"]


def test_cancelled_wait_gets_no_slot(allocator):
    allocator.acquire(slot_request("x", request="x"), 0.0)
    allocator.acquire(slot_request("y", request="y"), 0.0)
    waiting_request = slot_request("z", request="z")
    allocator.acquire(waiting_request, 0.0)
    assert allocator.cancel_wait(waiting_request)
    assert allocator.release("u1", "x") == []
    assert allocator.free_slots("u1") == 1


def test_failed_upstream_gets_no_attempts_routed_to_others(allocator):
    allocator.acquire(slot_request("x", request="x"), 0.0)
    allocator.on_attempt_end("u2", concurrency.LoadSignal.FAILED, 0.1, 0.0)
    assert allocator.acquire(slot_request("y", request="y"), 1.0) is None


def test_member_below_its_fair_share_does_not_wait(allocator):
    for number in range(5):
        allocator.acquire(
            slot_request(f"big-{number}", "big", f"big-{number}"), 0.0
        )
    assert (
        allocator.acquire(slot_request("small", "small", "small"), 0.0)
        is not None
    )
    assert (
        allocator.acquire(slot_request("small-2", "small", "small-2"), 0.0)
        is None
    )


def test_hedge_replaces_the_waiting_attempt_of_its_request(allocator):
    for number in range(2):
        allocator.acquire(
            slot_request(f"m-{number}", request=f"r{number}"), 0.0
        )
    allocator.acquire(slot_request("a.0", request="a"), 0.0)
    allocator.acquire(slot_request("b.0", request="b"), 0.0)
    hedge = slot_request("a.1", request="a", first="u2")
    assert allocator.acquire(hedge, 1.0) == slots_lib.Supersede("a.0")
    assert not allocator.cancel_wait(slot_request("a.0", request="a"))
    assert allocator.release("u1", "m-0") == [slots_lib.Grant("a.1", "u1")]
    assert allocator.release("u1", "a.1") == [slots_lib.Grant("b.0", "u1")]
