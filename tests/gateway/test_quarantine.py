"""Quarantine of requests that crash upstreams, across several hosts."""

import asyncio

from gateway_scripts import Bench
from gateway_scripts import answer
from gateway_scripts import fanout
from gateway_scripts import lost
from gateway_scripts import single
import pytest

from greengagedale import outcomes
from greengagedale.gateway import calls
from greengagedale.gateway import quarantine as quarantine_lib

HOSTS = 4
POISON = b"/a/poison"
# Number of retries that may still reach upstreams after the third crash.
ALLOWED_RETRIES = 3
RETRIES = 20


class Fleet:
    """Hosts with the same upstreams, which crash until they are fixed."""

    def __init__(self, upstreams):
        self.is_fixed = False
        self.arrivals = []
        self.hosts = [Bench(burst=1000.0) for _ in range(HOSTS)]
        for bench in self.hosts:
            bench.client.send = self._send
            for service, name in upstreams:
                bench.add(name, service)

    async def _send(self, attempt):
        name = attempt.upstream.name
        self.arrivals.append(name)
        if self.is_fixed:
            return answer(name)
        for bench in self.hosts:
            bench.restart(name)
        return lost()

    def exchange(self):
        """Shares the suspects of each host with all others."""
        for bench in self.hosts:
            for other in self.hosts:
                other.context.quarantine.merge(
                    bench.context.quarantine.suspects()
                )

    async def repeat(self, plan):
        """Sends a request to one host after the other.

        Returns:
            The outcomes, and the number of retries that still reached an
            upstream after the third crash.
        """
        results, late_arrivals = [], 0
        for number in range(RETRIES):
            before = len(self.arrivals)
            bench = self.hosts[number % HOSTS]
            results.append(await bench.run(plan, target=POISON))
            has_arrived = len(self.arrivals) > before
            late_arrivals += has_arrived and before >= 3
            self.exchange()
        return results, late_arrivals


@pytest.fixture
def single_fleet():
    return Fleet([("s", name) for name in "abcdef"])


@pytest.fixture
def quarantine(clock):
    return quarantine_lib.Quarantine(clock)


# Regression of BUDGET: a request that crashes upstreams still reached them in
# 18 of 20 retries.
@pytest.mark.parametrize(
    "plan",
    [
        single(),
        single(is_idempotent=False),
        single(max_attempts=1),
    ],
)
async def test_request_that_crashes_upstreams_is_quarantined(
    single_fleet, plan
):
    results, late_arrivals = await single_fleet.repeat(plan)
    assert late_arrivals <= ALLOWED_RETRIES
    assert isinstance(results[-1], outcomes.NotRun)
    assert results[-1].reason is outcomes.Reason.QUARANTINED


# Regression of BUDGET, for a request that is sent to all shards at once.
async def test_search_that_crashes_its_shards_is_quarantined():
    fleet = Fleet([(shard, shard + copy) for shard in "xyz" for copy in "12"])
    results, late_arrivals = await fleet.repeat(fanout("xyz"))
    assert late_arrivals <= ALLOWED_RETRIES
    assert results[-1].reason is outcomes.Reason.QUARANTINED


async def test_other_requests_are_served_meanwhile(single_fleet):
    await single_fleet.repeat(single())
    single_fleet.is_fixed = True
    for bench in single_fleet.hosts:
        assert isinstance(await bench.run(single()), outcomes.Ran)


async def test_recently_answered_request_is_not_suspected(single_fleet):
    single_fleet.is_fixed = True
    for bench in single_fleet.hosts:
        await bench.run(single(), target=POISON)
    single_fleet.is_fixed = False
    results, _ = await single_fleet.repeat(single())
    assert all(isinstance(each, outcomes.Unknown) for each in results)


async def test_search_with_one_answered_shard_is_not_suspected():
    bench = Bench()
    for shard in "xyz":
        bench.add(shard, shard, [(0.0, lost())] * 9)
    bench.client.scripts["z"] = []
    for _ in range(3):
        await bench.run(fanout("xyz", min_coverage=1.0), target=POISON)
    await asyncio.sleep(0)
    outcome = await bench.run(fanout("xyz", min_coverage=0.3), target=POISON)
    assert isinstance(outcome, outcomes.Ran)


# Regression: on a larger site, many shards lost answers before the first one
# answered, so that the retries of a healthy search were refused.
async def test_search_that_loses_many_shards_at_first_is_retried():
    bench = Bench(burst=100.0)
    shards = [f"s{number}" for number in range(9)]
    for shard in shards:
        bench.add(shard + "a", shard)
        bench.add(shard + "b", shard)
        in_turn = [(0.0, lost()), (20.0, None)]
        for copy in "ab":
            bench.client.scripts[shard + copy] = in_turn
    outcome = await bench.run(fanout(shards, min_coverage=1.0), target=POISON)
    assert isinstance(outcome, outcomes.Ran)
    assert bench.context.quarantine.suspects() == []


def test_quarantine_ends_when_the_request_stops(quarantine, clock):
    for name in "abc":
        quarantine.record_lost(1, (name, 1))
    for _ in range(3):
        clock.advance(quarantine_lib.QUARANTINE_MS - 1.0)
        assert quarantine.should_refuse(1)
    clock.advance(quarantine_lib.QUARANTINE_MS)
    assert not quarantine.should_refuse(1)


def test_suspicion_expires(quarantine, clock):
    for name in "ab":
        quarantine.record_lost(1, (name, 1))
    clock.advance(quarantine_lib.SUSPICION_MS)
    quarantine.record_lost(1, ("c", 1))
    assert not quarantine.should_refuse(1)


def test_suspects_shared_between_hosts_expire(quarantine, clock):
    other = quarantine_lib.Quarantine(clock)
    for name in "abc":
        quarantine.record_lost(1, (name, 1))
    quarantine.record_lost(2, ("a", 1))
    for _ in range(2 * int(quarantine_lib.QUARANTINE_MS / 1000.0)):
        clock.advance(1000.0)
        other.merge(quarantine.suspects())
        quarantine.merge(other.suspects())
    assert quarantine.suspects() == other.suspects() == []


def test_one_incarnation_that_loses_all_answers_causes_no_quarantine(
    quarantine,
):
    for _ in range(10):
        quarantine.record_lost(1, ("a", 1))
    assert not quarantine.should_refuse(1)


def test_tracked_and_shared_suspects_are_bounded(quarantine):
    for number in range(quarantine_lib.MAX_TRACKED + 100):
        quarantine.record_lost(number, ("a", 1))
        quarantine.record_answer(-number - 1)
    shared = quarantine.suspects()
    assert len(shared) == quarantine_lib.MAX_SHARED
    assert shared[0].fingerprint == quarantine_lib.MAX_TRACKED + 99
    assert len(quarantine._suspects) == len(quarantine._answered)


def test_quarantined_requests_are_shared_first(quarantine):
    for name in "abc":
        quarantine.record_lost(1, (name, 1))
    for number in range(2, 2 + 2 * quarantine_lib.MAX_SHARED):
        quarantine.record_lost(number, ("a", 1))
    assert quarantine.suspects()[0].fingerprint == 1


def test_same_request_has_the_same_fingerprint_on_all_hosts():
    first, second = Bench(), Bench()
    calls_made = [each.call(target=POISON) for each in (first, second)]
    fingerprints = {calls.fingerprint_of(call) for call in calls_made}
    assert len(fingerprints) == 1
    assert calls.fingerprint_of(first.call(target=b"/a/y")) not in fingerprints
