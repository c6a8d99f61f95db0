"""Admission, with a virtual service that runs what is admitted."""

import random

import pytest

from greengagedale.limits import admission

UNITS = 10
CAPACITY = 40
RUN_MS = 100.0


@pytest.fixture
def held():
    return admission.AdmissionController(random.Random(1))


def make_request(
    name, workspace="w", weight=1.0, queue_length=100, deadline=1000.0
):
    return admission.AdmissionRequest(
        name, workspace, weight, UNITS, queue_length, deadline
    )


def fill(held, count=CAPACITY // UNITS):
    for number in range(count):
        arrived = held.submit(make_request(f"run-{number}"), CAPACITY, 0.0)
        assert arrived == [admission.Admit(f"run-{number}")]


def test_units_that_end_make_room_before_the_whole_request_ends(held):
    fill(held)
    assert held.submit(make_request("next"), CAPACITY, 1.0) == []
    for number in range(UNITS):
        held.complete_unit(f"run-{number % 4}")
    assert held.admit_waiting(CAPACITY, 2.0) == [admission.Admit("next")]
    assert held.in_flight_units == CAPACITY
    for _ in range(UNITS):
        held.complete_unit("next")
    held.complete("next", RUN_MS)
    assert held.in_flight_units == CAPACITY - UNITS


def test_full_queue_refuses_at_once_and_only_that_workspace(held):
    fill(held)
    for number in range(3):
        held.submit(make_request(f"q{number}", queue_length=3), CAPACITY, 1.0)
    [refused] = held.submit(make_request("late", queue_length=3), CAPACITY, 1.0)
    assert refused.cause is admission.RefusalCause.QUEUE_FULL
    assert refused.retry_after_ms >= admission.MIN_RETRY_AFTER_MS
    other = held.submit(
        make_request("other", "w2", queue_length=3), CAPACITY, 1.0
    )
    assert other == [admission.Admit("other")]


def serve(held, arrivals, now_ms=0.0, until_ms=3000.0):
    """Runs each admitted request for `RUN_MS`; returns what became of all."""
    ends, waits, refusals = [], {}, {}
    arrived_ms = {}
    while now_ms < until_ms:
        decisions = []
        for end_ms, name in [e for e in ends if e[0] <= now_ms]:
            ends.remove((end_ms, name))
            held.complete(name, RUN_MS)
        for asked in arrivals(now_ms):
            arrived_ms[asked.request_id] = now_ms
            decisions += held.submit(asked, CAPACITY, now_ms)
        decisions += held.admit_waiting(CAPACITY, now_ms)
        for decision in decisions:
            name = decision.request_id
            waited_ms = now_ms - arrived_ms[name]
            if isinstance(decision, admission.Admit):
                ends.append((now_ms + RUN_MS, name))
                waits[name] = waited_ms
            else:
                refusals[name] = (decision, waited_ms)
        now_ms += 1.0
    return waits, refusals


def test_burst_of_one_workspace_hardly_delays_another(held):
    def arrivals(now_ms):
        deadline = now_ms + 800.0
        if now_ms % 5 == 0:
            yield make_request(f"burst-{now_ms}", "burst", deadline=deadline)
        if now_ms % 200 == 100:
            yield make_request(f"quiet-{now_ms}", "quiet", deadline=deadline)

    waits, refusals = serve(held, arrivals)
    quiet = [w for name, w in waits.items() if name.startswith("quiet")]
    assert len(quiet) == 15
    assert max(quiet) == 0.0
    assert len(waits) >= 0.9 * 3000 / RUN_MS * CAPACITY / UNITS
    at_once = [waited for _, waited in refusals.values() if waited <= 10.0]
    assert len(refusals) > 400
    assert len(at_once) >= 0.99 * len(refusals)


def test_weights_divide_service(held):
    def arrivals(now_ms):
        if now_ms % 5 == 0:
            for name, weight in (("a", 1.0), ("b", 3.0)):
                yield make_request(
                    f"{name}-{now_ms}", name, weight, 50, now_ms + 9e3
                )

    waits, _ = serve(held, arrivals)
    shares = [sum(n.startswith(name) for n in waits) for name in ("a", "b")]
    assert shares[1] == pytest.approx(3 * shares[0], rel=0.15)


def test_caller_that_left_takes_no_place(held):
    fill(held)
    held.submit(make_request("gone"), CAPACITY, 1.0)
    held.cancel_waiting("gone")
    held.submit(make_request("next"), CAPACITY, 1.0)
    held.complete("run-0", RUN_MS)
    assert held.admit_waiting(CAPACITY, 2.0) == [admission.Admit("next")]


def test_waiting_ends_while_the_caller_can_still_be_told(held):
    fill(held)
    held.complete("run-0", RUN_MS)
    held.submit(make_request("run-4"), CAPACITY, 0.0)
    slow = make_request("slow", deadline=500.0)
    held.submit(slow, CAPACITY, 0.0)
    assert held.latest_start_ms(slow) == 400.0
    [refused] = held.expire("slow")
    assert refused.cause is admission.RefusalCause.WAITED_OUT
    assert held.admit_waiting(CAPACITY, 400.0) == []
