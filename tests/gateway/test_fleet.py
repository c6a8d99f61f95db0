"""Tests which hosts are alive, serving and reading the store."""

from gateway_scripts import host_state as state
import pytest

from greengagedale.gateway import fleet as fleet_lib


def serving(fleet):
    return sorted(item.name for item in fleet.serving())


def test_host_is_serving_while_its_heartbeats_arrive(fleet, clock):
    fleet.observe(state("a"))
    assert serving(fleet) == ["a"]
    clock.advance(fleet_lib.LOST_AFTER_MS)
    assert serving(fleet) == []
    fleet.observe(state("a", sequence=2))
    assert serving(fleet) == ["a"]


def test_old_heartbeats_do_not_revive_a_host(fleet, clock):
    fleet.observe(state("a", sequence=5))
    clock.advance(fleet_lib.LOST_AFTER_MS)
    fleet.observe(state("a", sequence=5))
    fleet.observe(state("a", sequence=4))
    assert serving(fleet) == []


@pytest.mark.parametrize("fields", [{"is_leaving": True}, {"is_ready": False}])
def test_leaving_or_unready_host_is_not_serving(fleet, fields):
    fleet.observe(state("a"))
    fleet.observe(state("a", sequence=2, **fields))
    assert serving(fleet) == []


def test_refused_connection_removes_a_host_at_once(fleet):
    fleet.observe(state("a"))
    fleet.record_connection_refused("a:2")
    assert serving(fleet) == []
    fleet.observe(state("a", incarnation=2))
    assert serving(fleet) == ["a"]


def test_lost_hosts_still_count_for_budgets(fleet, clock):
    fleet.observe(state("a"))
    clock.advance(fleet_lib.LOST_AFTER_MS)
    assert fleet.count_known() == 2


# Regression: one malformed message ended the process.
@pytest.mark.parametrize(
    "endpoint", ["", "a", "a:", ":80", "a:0", "a:70000", "a:x", "a:-1"]
)
@pytest.mark.parametrize("field", ["caller_endpoint", "peer_endpoint"])
def test_host_without_valid_endpoints_is_ignored(fleet, field, endpoint):
    reported = state("a")
    address = reported.address._replace(**{field: endpoint})
    fleet.observe(reported._replace(address=address))
    assert fleet.alive() == []


def test_earlier_incarnation_of_this_host_is_reported(fleet):
    reported = []
    fleet.on_own_incarnation = reported.append
    fleet.observe(state("m", incarnation=9))
    assert reported == [9]
    assert fleet.alive() == []


def test_reader_without_answers_counts_as_failing(fleet, clock):
    fleet.observe(state("a", read_age_ms=fleet_lib.READER_STALE_MS - 100.0))
    assert fleet.active_readers() == ["a"]
    assert fleet.failing_readers() == []
    clock.advance(200.0)
    assert fleet.active_readers() == []
    assert fleet.failing_readers() == ["a"]


@pytest.mark.parametrize(
    "fields",
    [
        {"read_age_ms": -1.0},
        {"read_age_ms": 1.0, "is_leaving": True},
    ],
)
def test_host_that_does_not_read_is_not_active_reader(fleet, fields):
    fleet.observe(state("a", **fields))
    assert fleet.active_readers() == []


def test_lost_host_is_not_active_reader(fleet, clock):
    fleet.observe(state("a", read_age_ms=0.0))
    clock.advance(fleet_lib.LOST_AFTER_MS)
    assert fleet.active_readers() == []


def test_forwarded_heartbeat_counts_for_known_incarnations_only(fleet, clock):
    fleet.observe_heartbeat(state("a").heartbeat)
    assert serving(fleet) == []
    fleet.observe(state("a"))
    clock.advance(fleet_lib.LOST_AFTER_MS)
    fleet.observe_heartbeat(state("a", sequence=2, incarnation=2).heartbeat)
    assert serving(fleet) == []
    fleet.observe_heartbeat(state("a", sequence=2).heartbeat)
    assert serving(fleet) == ["a"]


def test_hosts_known_to_a_peer_are_added(fleet):
    reported = [state("a"), state("b")]
    fleet.merge_addresses(
        [each.address for each in reported],
        [each.heartbeat for each in reported],
    )
    assert serving(fleet) == ["a", "b"]


def test_digest_distinguishes_sets_of_hosts(fleet, clock):
    other = fleet_lib.Fleet("n", clock)
    fleet.observe(state("a"))
    fleet.observe(state("n"))
    other.observe(state("a", sequence=7))
    other.observe(state("m"))
    assert fleet.digest(state("m")) == other.digest(state("n"))
    other.observe(state("a", incarnation=2))
    assert fleet.digest(state("m")) != other.digest(state("n"))
