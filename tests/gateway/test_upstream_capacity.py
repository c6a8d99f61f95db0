"""What is learned of upstreams while they slow down, recover or mislead.

Guards against searches of a large fleet of small hosts coming late because
each host has to find out by itself which upstreams are slow.
"""

import collections
import itertools
import random

from gateway_scripts import exchange_of
from gateway_scripts import host_state
from gateway_scripts import upstream
import pytest

from greengagedale import clocks
from greengagedale.gateway import calls
from greengagedale.gateway import message_codec
from greengagedale.gateway import metrics
from greengagedale.gateway import peer_exchange
from greengagedale.gateway import registry as registry_lib
from greengagedale.gateway import store_revision
from greengagedale.gateway import upstream_capacity as capacity_lib
from greengagedale.gateway import upstream_scores as scores_lib

TYPICAL_MS = 30.0
UPSTREAMS = [upstream(name, slots=4) for name in "abc"]
BY_NAME = {each.name: each for each in UPSTREAMS}
SLOW = UPSTREAMS[0]
# Callers of wide searches accept answers within about six typical latencies,
# so an upstream this much slower makes them late.
SLOW_RATIO = 9.0


def capacities_of(host, clock, is_sharing=True):
    return capacity_lib.Capacities(host, is_sharing, clock, metrics.Metrics())


@pytest.fixture
def capacities(clock):
    return capacities_of("m", clock)


@pytest.fixture
def scores(clock, capacities):
    return scores_lib.UpstreamScores(
        "here", clock, random.Random(1), capacities
    )


def share_of(scores, name, times=400, upstreams=UPSTREAMS):
    choices = (scores.choose(upstreams, TYPICAL_MS) for _ in range(times))
    return sum(each.upstream.name == name for each in choices) / times


def make_known_as_slow(target, clock):
    """Lets two peers tell a host that they have found an upstream slow."""
    for name in "pq":
        peer = capacities_of(name, clock)
        peer.record(SLOW, SLOW_RATIO)
        tell(peer, target)
        clock.advance(capacity_lib.CONFIRMED_AFTER_MS)


def tell(source, target):
    """Passes on what one host would tell another."""
    target.merge(source.observations(), BY_NAME)


def test_upstream_that_takes_twice_as_long_gets_less_work(scores, capacities):
    """One upstream slows by half for seconds."""
    for _ in range(4):
        capacities.record(SLOW, 2.0)
    assert share_of(scores, "a") < 0.1


def test_upstream_that_is_fast_again_gets_work_within_seconds(
    scores, capacities, clock
):
    """A slow phase ends while few answers show it."""
    capacities.record(SLOW, SLOW_RATIO)
    assert share_of(scores, "a") < 0.01
    for _ in range(6):
        clock.advance(500.0)
        capacities.record(SLOW, 1.0)
    assert share_of(scores, "a") > 0.2


def test_upstream_that_nobody_asked_for_a_while_is_tried_again(
    scores, capacities, clock
):
    """Nobody asks an upstream that was slow, so nothing shows its state."""
    capacities.record(SLOW, SLOW_RATIO)
    clock.advance(capacity_lib.MAX_AGE_MS + 1.0)
    assert share_of(scores, "a") > 0.2


def test_upstream_that_claims_to_be_idle_is_judged_by_its_answers(
    scores, capacities, clock
):
    """An overloaded upstream reports that nothing runs or waits."""
    scores.get(SLOW).record_load(calls.LoadReport(0, 0, 4), clock.now_ms())
    capacities.record(SLOW, SLOW_RATIO, 0)
    assert share_of(scores, "a") < 0.01


def test_upstream_that_claims_to_be_full_but_answers_fast_is_used(
    scores, capacities, clock
):
    """An idle upstream reports a long queue in each answer."""
    score = scores.get(SLOW)
    for _ in range(6):
        score.record_load(calls.LoadReport(4, 20, 4), clock.now_ms())
        capacities.record(SLOW, 1.0, 24)
        clock.advance(100.0)
    assert capacities.find(SLOW).estimate(clock.now_ms()).load_trust < 0.1
    assert scores.choose([SLOW], TYPICAL_MS).queue_latency_ms < 2 * TYPICAL_MS


def test_upstream_that_slows_before_it_is_full_counts_as_smaller(
    capacities, clock
):
    """Four slots are told, but two requests at once already slow it down."""
    for level, _ in itertools.product((1, 1, 2, 3), range(6)):
        capacities.record(SLOW, 1.0 if level < 2 else 2.5, level)
        clock.advance(50.0)
    assert capacities.find(SLOW).estimate(clock.now_ms()).capacity == 1


def test_learned_capacity_shortens_the_queue_that_is_accepted(
    scores, capacities, clock
):
    """Three requests run where two at once already slow the upstream down."""
    for level, _ in itertools.product((1, 1, 2, 3), range(6)):
        capacities.record(SLOW, 1.0 if level < 2 else 2.5, level)
        clock.advance(50.0)
    scores.get(SLOW).record_load(calls.LoadReport(3, 0, 4), clock.now_ms())
    queue_latency_ms = scores.choose([SLOW], TYPICAL_MS).queue_latency_ms
    assert queue_latency_ms == 4 * TYPICAL_MS


def test_former_incarnation_is_forgotten(capacities, clock):
    """A slow upstream restarts under its name while peers still tell of it."""
    peer = capacities_of("p", clock)
    peer.record(SLOW, SLOW_RATIO)
    capacities.record(SLOW, SLOW_RATIO)
    restarted = SLOW._replace(born_ms=2)
    assert capacities.find(restarted) is None
    capacities.merge(peer.observations(), {"a": restarted})
    capacities.retain_only({restarted.incarnation})
    assert capacities.find(restarted) is None
    assert capacities.find(SLOW) is None


def test_abandoned_attempt_only_raises_the_excess(capacities, clock):
    """Attempts at a slow upstream are cancelled long before they end."""
    capacities.record(SLOW, SLOW_RATIO)
    before = capacities.find(SLOW).estimate(clock.now_ms()).excess
    capacities.record_abandoned(SLOW, 1.5)
    assert capacities.find(SLOW).estimate(clock.now_ms()).excess == before
    capacities.record_abandoned(UPSTREAMS[1], SLOW_RATIO)
    assert capacities.find(UPSTREAMS[1]).estimate(clock.now_ms()).excess > 1.0


def test_host_avoids_an_upstream_that_a_peer_found_slow(
    scores, capacities, clock
):
    """Each host sees each upstream less than once in five seconds."""
    make_known_as_slow(capacities, clock)
    assert share_of(scores, "a") < 0.01


def test_pause_that_several_hosts_met_is_not_taken_for_slowness(
    scores, capacities, clock
):
    """Upstreams pause for up to 250 ms each few seconds."""
    for name in "pqr":
        peer = capacities_of(name, clock)
        peer.record(SLOW, 6.0)
        tell(peer, capacities)
        clock.advance(80.0)
    assert share_of(scores, "a") > 0.2


def test_hearsay_expires_however_often_it_is_passed_on(clock):
    """Hosts that have seen nothing themselves tell each other in a circle."""
    circle = [capacities_of(name, clock) for name in "pqr"]
    for each in circle[:2]:
        each.record(SLOW, SLOW_RATIO)
        clock.advance(2.0 * capacity_lib.CONFIRMED_AFTER_MS)
    steps = int(1.1 * capacity_lib.MAX_AGE_MS / 100.0)
    for source, target in itertools.islice(
        itertools.cycle(zip(circle, [*circle[1:], circle[0]], strict=True)),
        steps,
    ):
        told = source.observations()
        # Time on the way is not part of the age that is told.
        clock.advance(100.0)
        target.merge(told, BY_NAME)
        target.retain_only({SLOW.incarnation})
    assert [each.observations() for each in circle] == [[], [], []]
    now_ms = clock.now_ms()
    assert [each.find(SLOW).estimate(now_ms).excess for each in circle] == [
        0.0
    ] * 3


def test_contradiction_by_fast_answers_spreads(scores, capacities, clock):
    """A slow phase ends; few hosts still ask the upstream and see it."""
    asking = capacities_of("r", clock)
    for target in (asking, capacities):
        make_known_as_slow(target, clock)
    assert share_of(scores, "a") < 0.01
    asking.record(SLOW, 1.0)
    tell(asking, capacities)
    clock.advance(3000.0)
    assert share_of(scores, "a") > 0.1


@pytest.mark.parametrize(
    "changes",
    [
        {"excess_percent": 10**9},
        {"excess_percent": -1},
        {"age_ms": -5},
        {"age_ms": 10**9},
        {"capacity": -1},
        {"origin": "m"},
        {"name": "unlisted"},
    ],
)
def test_implausible_or_own_observations_are_ignored(
    capacities, clock, changes
):
    observation = capacity_lib.Observation("a", 1, "p", 1, 800, 0, 10)
    capacities.merge([observation._replace(**changes)], BY_NAME)
    assert capacities.find(SLOW) is None


def test_messages_are_bounded_while_all_upstreams_are_slow(clock):
    """All upstreams of a large site are slow at once."""
    upstreams = [upstream(f"u{number}") for number in range(300)]
    capacities = capacities_of("m", clock)
    for each in upstreams:
        capacities.record(each, SLOW_RATIO)
    observations = capacities.observations()
    assert len(observations) == capacity_lib.MAX_SHARED
    assert len(message_codec.encode(observations)) < 1000


def test_nothing_is_learned_or_told_unless_settings_ask_for_it(clock):
    capacities = capacities_of("m", clock, is_sharing=False)
    capacities.record(SLOW, SLOW_RATIO)
    assert capacities.find(SLOW) is None
    assert capacities.observations() == []


def test_large_host_takes_part_once_a_small_one_tells_something(clock):
    small = capacities_of("p", clock)
    large = capacities_of("m", clock, is_sharing=False)
    small.record(SLOW, SLOW_RATIO)
    tell(small, large)
    large.record(SLOW, SLOW_RATIO)
    assert large.find(SLOW).estimate(clock.now_ms()).excess > 1.0


def test_observations_travel_in_both_directions_of_an_exchange(clock):
    asking, asked = (capacities_of(name, clock) for name in "ab")
    asking.record(UPSTREAMS[0], SLOW_RATIO)
    asked.record(UPSTREAMS[1], SLOW_RATIO)
    exchanges = []
    for capacities in (asking, asked):
        registry = registry_lib.Registry(clock)
        registry.upstreams.update(BY_NAME)
        exchange = exchange_of("x", clock, registry)
        exchange._capacities = capacities
        exchanges.append(exchange)
    summary = peer_exchange.StateSummary(
        host_state("b"),
        [],
        0,
        0,
        exchanges[0]._registry.version,
        store_revision.NO_REVISION,
        [],
        [],
        observations=asking.observations(),
    )
    update = exchanges[1]._update_for(summary)
    exchanges[0]._merge(update)
    assert {each.origin for each in asking.observations()} == {"a", "b"}


def test_message_of_a_host_without_observations_is_understood():
    """Hosts of two releases run side by side during a rolling update."""
    version = registry_lib.Registry(clocks.ManualClock()).version
    summary = peer_exchange.StateSummary(
        host_state("b"), [], 0, 0, version, store_revision.NO_REVISION, [], []
    )
    shorter = list(summary)[: summary._fields.index("observations")]
    decoded = message_codec.decode(
        message_codec.encode(shorter), peer_exchange._summary_decoder
    )
    assert decoded.observations == []


HOSTS = 143
STEP_MS = 250.0
REQUESTS_A_STEP = 6


def run_herd(seed, slow_from_ms, slow_until_ms, until_ms):
    """Returns the share of the work that a slowing upstream gets, by step.

    143 hosts tell two others in each step what they know; in each step some
    of them send a request to one of three upstreams.
    """
    rng = random.Random(seed)
    clock = clocks.ManualClock(1000.0)
    hosts = [capacities_of(f"h{number}", clock) for number in range(HOSTS)]
    choosers = [
        scores_lib.UpstreamScores("elsewhere", clock, rng, host)
        for host in hosts
    ]
    shares = []
    for _ in range(int(until_ms / STEP_MS)):
        now_ms = clock.now_ms() - 1000.0
        counts = collections.Counter()
        # What all hosts would choose now; only some of them send a request.
        for number, chooser in enumerate(choosers):
            chosen = chooser.choose(UPSTREAMS, TYPICAL_MS).upstream
            counts[chosen.name] += 1
            if rng.random() < REQUESTS_A_STEP / HOSTS:
                is_slow = chosen is SLOW and slow_from_ms <= now_ms < (
                    slow_until_ms
                )
                ratio = SLOW_RATIO if is_slow else rng.lognormvariate(0.0, 0.3)
                hosts[number].record(chosen, ratio)
        for host in hosts:
            for peer in rng.sample(hosts, 2):
                tell(host, peer)
                tell(peer, host)
        shares.append(counts["a"] / HOSTS)
        clock.advance(STEP_MS)
    return shares


@pytest.mark.parametrize("seed", range(3))
def test_herd_leaves_a_slow_upstream_within_two_seconds_and_returns_gradually(
    seed,
):
    """143 hosts learn nearly at once that one of three upstreams is slow.

    Searches are judged over seconds, so the hosts have two seconds to leave.
    The upstream usually holds a third of the work; a return is gradual if no
    second adds more than half of that. The shares of a second are drawn at
    random, which adds up to 0.06 to a difference of two.
    """
    shares = run_herd(seed, 4000.0, 12_000.0, 30_000.0)
    a_second = int(1000.0 / STEP_MS)
    seconds = [
        sum(shares[start : start + a_second]) / a_second
        for start in range(0, len(shares), a_second)
    ]
    assert max(seconds[6:12]) < 0.05
    assert seconds[-1] > 0.2
    rises = [
        later - earlier for earlier, later in itertools.pairwise(seconds[12:])
    ]
    assert max(rises) < 0.5 / 3.0 + 0.06
    # No swing: after the return, the share does not drop again.
    assert min(seconds[-6:]) > 0.15
