"""A revoked key is refused within the bound, whatever happens to hosts.

The load: keys are given and taken while hosts freeze, restart or are cut off,
while reads and exchanges are late or lost, and while the reading host changes.
"""

from typing import NamedTuple

from gateway_scripts import RevocationWorld
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

HOSTS = strategies.integers(0, 2)


class Tick(NamedTuple):
    """What happens between two looks at all hosts.

    Messages that are not served or delivered stay under way. A host without
    reads and exchanges is frozen or cut off.
    """

    took_ms: float
    written: bool | None
    restarted: int | None
    stale_readers: set[int]
    readers: set[int]
    askers: list[tuple[int, int]]
    is_served: bool
    is_delivered: bool


TICKS = strategies.builds(
    Tick,
    strategies.sampled_from([100.0, 700.0, 1500.0, 2500.0, 4960.0]),
    strategies.sampled_from([None, None, None, False, False, True]),
    strategies.sampled_from([None, None, None, None, 0, 1, 2]),
    strategies.sets(HOSTS, max_size=1),
    strategies.sets(HOSTS, max_size=1),
    strategies.lists(strategies.tuples(HOSTS, HOSTS), max_size=2),
    strategies.booleans(),
    strategies.booleans(),
)


def play(world, tick):
    """Plays a tick; lets each host send all requests that it may."""
    if tick.restarted is not None:
        world.restart(tick.restarted)
    for index in tick.readers:
        world.start_read(index)
    for asker, answerer in tick.askers:
        world.start_exchange(asker, answerer)
    if tick.is_served:
        world.serve_all()
    if tick.written is not None:
        world.write(tick.written)
    world.advance(tick.took_ms)
    for index in tick.stale_readers:
        world.ping(index)
    if tick.is_delivered:
        world.deliver_all()
    for index in range(len(world.hosts)):
        world.request(index)
    world.try_all()


@settings(max_examples=300, deadline=None)
@given(strategies.lists(TICKS, min_size=3, max_size=12))
def test_revoked_keys_are_refused_within_the_bound(ticks):
    world = RevocationWorld()
    for tick in ticks:
        play(world, tick)
        assert world.violations == []


@pytest.fixture
def world():
    return RevocationWorld()


def test_hosts_that_hear_of_the_reader_serve_on(world):
    for _ in range(30):
        world.advance(1000.0)
        world.read(0)
        world.exchange(1, 0)
        world.exchange(2, 1)
        for index in range(3):
            world.request(index)
    assert world.send_count == 90


def test_host_that_is_cut_off_serves_for_almost_the_bound(world):
    world.advance(world.BOUND_MS - 100.0)
    world.request(0)
    assert world.send_count == 1
    world.advance(100.0)
    world.request(0)
    assert world.send_count == 1


def test_frozen_host_refuses_until_it_has_a_new_proof(world):
    world.advance(60_000.0)
    world.request(0)
    assert world.send_count == 0
    world.read(1)
    world.exchange(0, 1)
    world.request(0)
    assert world.send_count == 1


def test_restarted_host_refuses_until_it_has_a_proof(world):
    world.restart(0)
    world.request(0)
    assert world.send_count == 0
    world.exchange(0, 1)
    world.request(0)
    assert world.send_count == 1


def test_request_that_waits_is_not_sent_with_a_revoked_key(world):
    world.accept(0)
    world.write(holds_key=False)
    world.read(0)
    world.try_all()
    assert world.send_count == 0


def test_new_key_is_served_once_its_configuration_is_known(world):
    world.write(holds_key=False)
    world.read(0)
    world.write(holds_key=True)
    world.request(0)
    assert world.send_count == 0
    world.read(1)
    world.exchange(0, 1)
    world.request(0)
    assert world.send_count == 1
