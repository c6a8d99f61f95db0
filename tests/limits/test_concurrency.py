"""Adaptive limits, tested with a simulated upstream of several hosts."""

import heapq
import itertools
import random

import pytest

from greengagedale.limits import concurrency
from greengagedale.limits import ownership

HOSTS = 4
WORK_MS = 20.0
RTT_MS = 3.0


def bounds_of(slots, connections, own="h0", hosts=("h0", "h1", "h2", "h3")):
    return concurrency.LimitBounds.for_upstream(
        "u", slots, connections, own, list(hosts)
    )


def simulate(kind, slots, load_ms=1e9, cold_until_ms=0.0, queue=4, seed=1):
    """Simulates hosts that always have as many attempts as their limit.

    Returns the goodput as a share of the slots, the refused share of attempts
    and the limits at the end.
    """
    rng = random.Random(seed)
    names = [f"h{host}" for host in range(HOSTS)]
    limits = [
        concurrency.LIMIT_TYPES[kind](bounds_of(slots, 40, name, names))
        for name in names
    ]
    in_flight = [0] * HOSTS
    free_at = [0.0] * slots
    present = []
    events = [(float(host), host) for host in range(HOSTS)]
    ends = []
    done = refused = sent = 0
    sequence = itertools.count()
    while events or ends:
        if ends and (not events or ends[0][0] <= events[0][0]):
            now, _, host, signal, latency = heapq.heappop(ends)
            limits[host].on_attempt_end(signal, latency, in_flight[host], now)
            in_flight[host] -= 1
            done += signal is concurrency.LoadSignal.ANSWERED and now > 1000
        else:
            now, host = heapq.heappop(events)
        if now > min(load_ms, 5000.0):
            continue
        while in_flight[host] < limits[host].value:
            in_flight[host] += 1
            sent += 1
            present = [t for t in present if t > now]
            if len(present) >= slots * (1 + queue):
                refused += 1
                signal, latency = concurrency.LoadSignal.OVERLOADED, RTT_MS
            else:
                work = WORK_MS * rng.lognormvariate(0, 0.25)
                work *= 10 if now < cold_until_ms else 1
                start = max(now + RTT_MS / 2, min(free_at))
                free_at[free_at.index(min(free_at))] = start + work
                present.append(start + work)
                signal = concurrency.LoadSignal.ANSWERED
                latency = start + work + RTT_MS / 2 - now
            item = (now + latency, next(sequence), host, signal, latency)
            heapq.heappush(ends, item)
    share = done * WORK_MS * 1.03 / (slots * 4000.0)
    return share, refused / sent, [limit.value for limit in limits]


@pytest.mark.parametrize("slots", [2, 3, 5])
def test_limits_fill_the_slots_without_overloading_the_upstream(slots):
    goodput, refused, limits = simulate("aimd", slots)
    assert goodput >= 0.9
    assert refused <= 0.01
    assert sum(limits) <= 2.5 * slots


def test_gradient_limits_exceed_aimd_limits():
    _, _, aimd = simulate("aimd", 5)
    _, _, gradient = simulate("gradient", 5)
    assert sum(gradient) > sum(aimd)


@pytest.mark.parametrize("kind", ["aimd", "gradient"])
def test_cold_start_neither_collapses_limits_nor_overloads_the_upstream(kind):
    goodput, refused, _ = simulate(kind, 5, cold_until_ms=1000.0)
    assert goodput >= 0.85
    assert refused <= 0.01


@pytest.mark.parametrize("kind", ["aimd", "gradient"])
def test_overloads_decrease_the_limit_to_its_lower_bound(kind):
    bounds = bounds_of(8, 40)
    limit = concurrency.LIMIT_TYPES[kind](bounds)
    for number in range(100):
        limit.on_attempt_end(
            concurrency.LoadSignal.ANSWERED, 5.0, 8, float(number)
        )
    before = limit.value
    assert before > bounds.low
    limit.on_attempt_end(concurrency.LoadSignal.OVERLOADED, 5.0, before, 100.0)
    assert limit.value < before
    for number in range(100):
        limit.on_attempt_end(
            concurrency.LoadSignal.OVERLOADED, 5.0, 1, 200.0 + 10 * number
        )
    assert limit.value == bounds.low == 2


def test_bounds_depend_on_slots_connections_and_hosts():
    hosts = ["h0", "h1", "h2", "h3"]
    shares = [bounds_of(5, 40, own, hosts).low for own in hosts]
    assert sorted(shares) == [1, 1, 1, 2]
    assert [bounds_of(3, 30, own, hosts).low for own in hosts] == [1, 1, 1, 1]
    assert bounds_of(2, 110) == (1, 2)
    assert bounds_of(5, 8) == (min(2, bounds_of(5, 40).low), 2)
    assert bounds_of(5, 40, hosts=["h0"]) == (5, 5)


def test_owners_change_little_when_a_host_leaves():
    hosts = [f"h{n}" for n in range(40)]
    names = [f"u{n}" for n in range(400)]
    before = {u: ownership.select_owners(u, hosts, 5) for u in names}
    after = {u: ownership.select_owners(u, hosts[1:], 5) for u in names}
    for name in names:
        kept = [host for host in before[name] if host != "h0"]
        assert after[name][: len(kept)] == kept
    owned = [sum(h in o for o in before.values()) for h in hosts]
    assert max(owned) <= 2 * 400 * 5 / 40
    assert ownership.owner_count(5, 40, 4) == 4
    assert ownership.owner_count(5, 40, 820) == 5
