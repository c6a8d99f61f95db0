"""Configuration and upstreams are only replaced by newer ones."""

from gateway_scripts import at
from gateway_scripts import single
from gateway_scripts import upstream
import pytest

from greengagedale import clocks
from greengagedale.gateway import registry as registry_lib
from greengagedale.gateway import route_config
from greengagedale.gateway import store_api
from greengagedale.http1 import server


@pytest.fixture
def clock():
    return clocks.ManualClock(10_000.0)


@pytest.fixture
def registry(clock):
    registry = registry_lib.Registry(clock)
    registry.apply_list(
        store_api.UpstreamsListed([upstream("a"), upstream("b")], at(5))
    )
    return registry


def routes(version):
    return route_config.RouteConfiguration(
        version, (single(),), (), server.Limits()
    )


def change(name, entry, revision):
    item = store_api.UpstreamChange(name, entry)
    return store_api.UpstreamsChanged([item], at(revision))


def names(registry):
    return sorted(item.name for item in registry.upstreams_of("s"))


def test_configuration_never_reverts(registry):
    assert registry.apply_routes(routes(4), at(6))
    assert not registry.apply_routes(routes(3), at(7))
    assert not registry.apply_routes(routes(4), at(8))
    assert registry.routes_version == 4


def test_host_is_ready_once_it_knows_routes_and_upstreams(clock):
    registry = registry_lib.Registry(clock)
    assert not registry.is_ready
    registry.apply_routes(routes(1), at(1))
    assert not registry.is_ready
    registry.apply_list(store_api.UpstreamsListed([upstream("a")], at(2)))
    assert registry.is_ready


def test_leaving_upstream_gets_no_new_work(registry):
    leaving = upstream("a", is_leaving=True, sequence=2)
    registry.apply_changes(change("a", leaving, 6))
    assert names(registry) == ["b"]


def test_removed_upstream_gets_no_new_work(registry):
    registry.apply_changes(change("a", None, 6))
    assert names(registry) == ["b"]


def test_new_list_removes_upstreams_that_are_not_in_it(registry):
    registry.apply_list(store_api.UpstreamsListed([upstream("b")], at(9)))
    assert names(registry) == ["b"]


def test_older_list_is_ignored(registry):
    registry.apply_changes(change("a", None, 6))
    registry.apply_list(
        store_api.UpstreamsListed([upstream("a"), upstream("b")], at(5))
    )
    assert names(registry) == ["b"]


@pytest.mark.parametrize(
    ("born_ms", "sequence", "is_applied"),
    [(1, 1, True), (1, 0, False), (0, 9, False), (2, 0, True)],
)
def test_entry_of_an_earlier_incarnation_is_ignored(
    registry, born_ms, sequence, is_applied
):
    entry = upstream("a", is_leaving=True, born_ms=born_ms, sequence=sequence)
    registry.apply_changes(change("a", entry, 6))
    assert ("a" not in names(registry)) == is_applied


def test_entry_removed_around_an_outage_is_kept_for_a_while(registry, clock):
    registry.record_store_failure()
    clock.advance(1000.0)
    registry.apply_changes(change("a", None, 6))
    assert names(registry) == ["a", "b"]
    clock.advance(registry_lib.RELIST_GRACE_MS)
    assert registry.remove_expired()
    assert names(registry) == ["b"]


def test_entry_that_returns_after_an_outage_is_kept(registry, clock):
    registry.record_store_failure()
    registry.apply_changes(change("a", None, 6))
    registry.apply_changes(change("a", upstream("a", sequence=2), 7))
    clock.advance(2 * registry_lib.RELIST_GRACE_MS)
    registry.remove_expired()
    assert names(registry) == ["a", "b"]


# Regression of DRAIN (atcu-search, day store-turns-hosts-away): an upstream
# that left while the store refused hosts went on getting requests.
def test_few_entries_removed_around_an_outage_are_dropped(registry, clock):
    more = [upstream(name) for name in "abcde"]
    registry.apply_list(store_api.UpstreamsListed(more, at(6)))
    registry.record_store_failure()
    registry.apply_changes(change("a", None, 7))
    assert names(registry) == ["b", "c", "d", "e"]
    peer = registry_lib.Registry(clock)
    peer.replace_if_newer(registry.active_upstreams, registry.version)
    assert names(peer) == ["b", "c", "d", "e"]


def test_many_entries_removed_around_an_outage_are_kept_until_all_return(
    registry,
):
    more = [upstream(name) for name in "abcde"]
    registry.apply_list(store_api.UpstreamsListed(more, at(6)))
    registry.record_store_failure()
    for revision, name in enumerate("abc", 7):
        registry.apply_changes(change(name, None, revision))
    assert names(registry) == ["a", "b", "c", "d", "e"]
    registry.apply_changes(change("a", upstream("a", sequence=2), 10))
    assert names(registry) == ["a", "b", "c", "d", "e"]


def test_leaving_upstream_removed_in_an_outage_is_dropped(registry):
    leaving = upstream("a", is_leaving=True, sequence=2)
    registry.apply_changes(change("a", leaving, 6))
    registry.record_store_failure()
    registry.apply_changes(change("a", None, 7))
    assert "a" not in registry.upstreams


def test_deferred_removal_reaches_peers(registry, clock):
    """A peer at the same revision applies a later sub-revision."""
    registry.record_store_failure()
    registry.apply_changes(change("a", None, 6))
    peer = registry_lib.Registry(clock)
    peer.replace_if_newer([*registry.upstreams.values()], registry.version)
    clock.advance(2 * registry_lib.RELIST_GRACE_MS)
    registry.remove_expired()
    assert peer.replace_if_newer(
        [*registry.upstreams.values()], registry.version
    )
    assert names(peer) == ["b"]


def test_older_list_of_a_peer_is_ignored(registry):
    assert not registry.replace_if_newer(
        [upstream("z")], registry_lib.UpstreamsVersion(at(4), 3)
    )
    assert names(registry) == ["a", "b"]


def test_upstream_with_reassigned_address_gets_no_work_until_its_next_entry(
    registry,
):
    registry.remove_reassigned(registry.upstreams["a"])
    assert names(registry) == ["b"]
    registry.apply_changes(change("a", upstream("a", born_ms=2), 6))
    assert names(registry) == ["a", "b"]
