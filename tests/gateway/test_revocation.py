"""A revoked key is refused within the bound, whatever happens to hosts.

The load: keys are given and taken while hosts freeze, restart or are cut off,
while reads and exchanges are late or lost, and while the reading host changes.
"""

from gateway_scripts import RevocationWorld
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

HOSTS = strategies.integers(0, 2)
PENDING = strategies.integers(0, 3)
ACTIONS = strategies.one_of(
    strategies.tuples(
        strategies.just("advance"),
        strategies.sampled_from([10.0, 300.0, 1000.0, 2500.0, 4960.0, 9000.0]),
    ),
    strategies.tuples(strategies.just("write"), strategies.booleans()),
    strategies.tuples(
        strategies.sampled_from(
            ["read", "start_read", "ping", "request", "restart"]
        ),
        HOSTS,
    ),
    strategies.tuples(
        strategies.sampled_from(["exchange", "start_exchange"]), HOSTS, HOSTS
    ),
    strategies.tuples(
        strategies.sampled_from(
            [
                "serve_read",
                "deliver_read",
                "serve_exchange",
                "deliver_exchange",
                "try_send",
            ]
        ),
        PENDING,
    ),
    strategies.tuples(strategies.just("send_request")),
    strategies.tuples(strategies.just("deliver_request"), PENDING, HOSTS),
)


@settings(max_examples=400, deadline=None)
@given(strategies.lists(ACTIONS, min_size=5, max_size=60))
def test_revoked_keys_are_refused_within_the_bound(actions):
    world = RevocationWorld()
    for name, *arguments in actions:
        getattr(world, name)(*arguments)
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
    world.send_request()
    world.deliver_request(-1, 0)
    world.write(holds_key=False)
    world.read(0)
    world.try_send(-1)
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
