"""Admission control, tested with a simulated service."""

import random

import pytest

from greengagedale.limits import admission

UNITS = 10
CAPACITY = 40
RUN_MS = 100.0


@pytest.fixture
def controller():
    return admission.AdmissionController(random.Random(1))


def make_request(
    name, workspace="w", weight=1.0, queue_length=100, deadline=1000.0
):
    return admission.AdmissionRequest(
        name, workspace, weight, UNITS, queue_length, deadline
    )


def fill(controller, count=CAPACITY // UNITS):
    for number in range(count):
        arrived = controller.submit(
            make_request(f"run-{number}"), CAPACITY, 0.0
        )
        assert arrived == [admission.Admit(f"run-{number}")]


def test_released_units_admit_the_next_request(controller):
    fill(controller)
    assert controller.submit(make_request("next"), CAPACITY, 1.0) == []
    for number in range(UNITS):
        controller.complete_unit(f"run-{number % 4}")
    assert controller.admit_waiting(CAPACITY, 2.0) == [admission.Admit("next")]
    assert controller.in_flight_units == CAPACITY
    for _ in range(UNITS):
        controller.complete_unit("next")
    controller.complete("next", RUN_MS)
    assert controller.in_flight_units == CAPACITY - UNITS


def test_full_queue_refuses_immediately_and_only_its_workspace(controller):
    fill(controller)
    for number in range(3):
        controller.submit(
            make_request(f"q{number}", queue_length=3), CAPACITY, 1.0
        )
    [refused] = controller.submit(
        make_request("late", queue_length=3), CAPACITY, 1.0
    )
    assert refused.cause is admission.RefusalCause.QUEUE_FULL
    assert refused.retry_after_ms >= admission.MIN_RETRY_AFTER_MS
    other = controller.submit(
        make_request("other", "w2", queue_length=3), CAPACITY, 1.0
    )
    assert other == [admission.Admit("other")]


def simulate(controller, arrivals, now_ms=0.0, until_ms=3000.0):
    """Simulates a service in which each admitted request runs for `RUN_MS`.

    Returns the waiting times of admitted requests, and the refusals with the
    waiting times of refused ones.
    """
    ends, waits, refusals = [], {}, {}
    arrived_ms = {}
    while now_ms < until_ms:
        decisions = []
        for end_ms, name in [e for e in ends if e[0] <= now_ms]:
            ends.remove((end_ms, name))
            controller.complete(name, RUN_MS)
        for request in arrivals(now_ms):
            arrived_ms[request.request_id] = now_ms
            decisions += controller.submit(request, CAPACITY, now_ms)
        decisions += controller.admit_waiting(CAPACITY, now_ms)
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


def test_burst_of_one_workspace_does_not_delay_another(controller):
    def arrivals(now_ms):
        deadline = now_ms + 800.0
        if now_ms % 5 == 0:
            yield make_request(f"burst-{now_ms}", "burst", deadline=deadline)
        if now_ms % 200 == 100:
            yield make_request(f"quiet-{now_ms}", "quiet", deadline=deadline)

    waits, refusals = simulate(controller, arrivals)
    quiet = [w for name, w in waits.items() if name.startswith("quiet")]
    assert len(quiet) == 15
    assert max(quiet) == 0.0
    assert len(waits) >= 0.9 * 3000 / RUN_MS * CAPACITY / UNITS
    at_once = [waited for _, waited in refusals.values() if waited <= 10.0]
    assert len(refusals) > 400
    assert len(at_once) >= 0.99 * len(refusals)


def test_admissions_are_proportional_to_weights(controller):
    def arrivals(now_ms):
        if now_ms % 5 == 0:
            for name, weight in (("a", 1.0), ("b", 3.0)):
                yield make_request(
                    f"{name}-{now_ms}", name, weight, 50, now_ms + 9e3
                )

    waits, _ = simulate(controller, arrivals)
    shares = [sum(n.startswith(name) for n in waits) for name in ("a", "b")]
    assert shares[1] == pytest.approx(3 * shares[0], rel=0.15)


def test_cancelled_request_is_not_admitted(controller):
    fill(controller)
    controller.submit(make_request("gone"), CAPACITY, 1.0)
    controller.cancel_waiting("gone")
    controller.submit(make_request("next"), CAPACITY, 1.0)
    controller.complete("run-0", RUN_MS)
    assert controller.admit_waiting(CAPACITY, 2.0) == [admission.Admit("next")]


def test_waiting_request_expires_before_its_deadline(controller):
    fill(controller)
    controller.complete("run-0", RUN_MS)
    controller.submit(make_request("run-4"), CAPACITY, 0.0)
    slow = make_request("slow", deadline=500.0)
    controller.submit(slow, CAPACITY, 0.0)
    assert controller.latest_start_ms(slow) == 400.0
    [refused] = controller.expire("slow")
    assert refused.cause is admission.RefusalCause.WAITED_OUT
    assert controller.admit_waiting(CAPACITY, 400.0) == []
