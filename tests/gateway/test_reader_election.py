"""One host reads for all; on its loss, hosts take over one by one."""

from gateway_scripts import host_state
import pytest

from greengagedale import clocks
from greengagedale.gateway import fleet as fleet_lib
from greengagedale.gateway import reader_election as election_lib

NOT_READING_MS = -1.0
STALE_MS = fleet_lib.READER_STALE_MS


@pytest.fixture
def election(fleet, clock):
    return election_lib.ReaderElection(fleet, "m", ["s1:2", "s2:2"], clock)


def steps_until_elected(election, clock):
    for step in range(50):
        if election.should_read(NOT_READING_MS):
            return step
        clock.advance(election_lib.TAKEOVER_STEP_MS)
    return None


@pytest.mark.parametrize("name", ["a", "z"])
def test_host_does_not_read_beside_an_active_reader(fleet, election, name):
    fleet.observe(host_state(name, read_age_ms=10.0))
    assert not election.should_read(NOT_READING_MS)


@pytest.mark.parametrize(("name", "should_read"), [("a", False), ("z", True)])
def test_first_of_two_readers_by_name_continues(
    fleet, election, name, should_read
):
    fleet.observe(host_state(name, read_age_ms=10.0))
    assert election.should_read(5.0) == should_read


def test_reader_without_answers_stops_when_another_reads(fleet, election):
    fleet.observe(host_state("z", read_age_ms=10.0))
    assert not election.should_read(STALE_MS)


def test_hosts_take_over_one_step_apart(fleet, election, clock):
    for name in ("a", "b", "z"):
        fleet.observe(host_state(name))
    assert steps_until_elected(election, clock) == 2


def test_wait_for_hosts_ahead_is_bounded(fleet, election, clock):
    for index in range(40):
        fleet.observe(host_state(f"a{index}"))
    assert (
        steps_until_elected(election, clock) == election_lib.MAX_TAKEOVER_STEPS
    )


def test_host_without_peers_waits_one_step_per_seed(election, clock):
    assert steps_until_elected(election, clock) == 2


def test_seed_that_refuses_is_not_waited_for(fleet, election, clock):
    fleet.record_connection_refused("s1:2")
    fleet.record_connection_refused("s2:2")
    assert steps_until_elected(election, clock) == 0


def test_wait_restarts_with_each_loss_of_the_reader(fleet, election, clock):
    fleet.observe(host_state("a"))
    assert not election.should_read(NOT_READING_MS)
    clock.advance(election_lib.TAKEOVER_STEP_MS)
    fleet.observe(host_state("a", sequence=2, read_age_ms=0.0))
    assert not election.should_read(NOT_READING_MS)
    fleet.observe(host_state("a", sequence=3, read_age_ms=STALE_MS))
    assert not election.should_read(NOT_READING_MS)
    clock.advance(election_lib.TAKEOVER_STEP_MS)
    assert election.should_read(NOT_READING_MS)


def test_several_failing_readers_mean_a_failing_store(fleet, election):
    fleet.observe(host_state("a", read_age_ms=STALE_MS))
    assert not election.is_store_failing
    fleet.observe(host_state("b", read_age_ms=STALE_MS))
    assert election.is_store_failing


# Regression: of 79 hosts that started at once, 63 read the store at the same
# time, as their seeds did not listen yet. This took 377 calls within 2 s.
def test_hosts_that_start_together_wait_for_seeds():
    seeds = ["s1:2", "s2:2", "s3:2"]
    steps = []
    for number in range(79):
        clock = clocks.ManualClock()
        others = fleet_lib.Fleet(f"h{number}", clock)
        for seed in seeds:
            others.record_connection_refused(seed)
        election = election_lib.ReaderElection(
            others, f"h{number}", seeds, clock, is_seed=False
        )
        steps.append(steps_until_elected(election, clock))
    assert min(steps) >= election_lib.MIN_STEPS_WITHOUT_PEERS
    assert max(steps) <= election_lib.MAX_TAKEOVER_STEPS
    assert max(steps.count(step) for step in steps) <= 20


def test_first_seed_reads_at_once(fleet, clock):
    election = election_lib.ReaderElection(fleet, "m", [], clock, is_seed=True)
    assert election.should_read(NOT_READING_MS)
