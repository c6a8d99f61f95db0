"""Shares of a fleet-wide limit, computed from the agreed host list."""

from gateway_scripts import at
import pytest

from greengagedale.gateway import fleet as fleet_lib
from greengagedale.gateway import roster as roster_lib

BURST = 160.0
NAMES = tuple(f"h{number:02}" for number in range(24))
ALL_LISTED = roster_lib.HostList(at(5), NAMES)


@pytest.fixture
def rosters(clock):
    """The rosters of 24 hosts."""
    return [roster_lib.Roster(name, clock) for name in NAMES]


@pytest.fixture
def planner(clock):
    return roster_lib.RosterPlanner(clock)


def alive_hosts(names, revision=99):
    """Returns live hosts that use the host list of a revision."""
    return dict.fromkeys(names, at(revision))


def total_share(rosters):
    return sum(roster.share_of(BURST) for roster in rosters)


# Regression of BUDGET: hosts that started while they were cut off knew few
# others, and each took a quarter of the burst in a fleet of 24.
def test_unlisted_hosts_stay_within_the_burst(rosters):
    for roster in rosters[:12]:
        roster.replace_if_newer(ALL_LISTED)
    assert total_share(rosters) <= BURST


# Regression of BUDGET: in a partition, each side divided by its own hosts only
# once it had forgotten the others.
def test_partitioned_hosts_keep_dividing_by_all_hosts(rosters, clock):
    for roster in rosters:
        roster.replace_if_newer(ALL_LISTED)
    for _ in range(100):
        clock.advance(1000.0)
        for roster in rosters[:12]:
            roster.confirm_current(NAMES[:12], is_store_reachable=True)
        for roster in rosters[12:]:
            roster.confirm_current(NAMES[12:], is_store_reachable=False)
        assert total_share(rosters) <= BURST


def test_listed_hosts_share_all_but_the_reserve(rosters):
    for roster in rosters:
        roster.replace_if_newer(ALL_LISTED)
    assert total_share(rosters) == pytest.approx(
        (1.0 - roster_lib.UNLISTED_FRACTION) * BURST
    )


def test_share_is_kept_in_an_outage_while_all_hosts_are_alive(rosters, clock):
    roster = rosters[0]
    roster.replace_if_newer(ALL_LISTED)
    before = roster.share_of(BURST)
    clock.advance(roster_lib.CONFIRMATION_TIMEOUT_MS)
    roster.confirm_current(NAMES, is_store_reachable=False)
    clock.advance(roster_lib.CONFIRMATION_TIMEOUT_MS)
    assert roster.share_of(BURST) == before


def test_isolated_host_drops_its_share_before_it_is_removed(
    rosters, clock, planner
):
    isolated = rosters[0]
    isolated.replace_if_newer(ALL_LISTED)
    planner.planned_update(ALL_LISTED, alive_hosts(NAMES))
    while planner.planned_update(ALL_LISTED, alive_hosts(NAMES[1:])) is None:
        isolated.confirm_current([], is_store_reachable=False)
        clock.advance(500.0)
    assert isolated.share_of(BURST) == roster_lib.UNLISTED_SHARE


# Failure: a host is suspended until it is off the list, and wakes to messages
# that waited for it. Seen with a full share at once.
@pytest.mark.parametrize("waited", ["confirmation", "list"])
def test_woken_host_has_no_share_by_messages_that_waited(
    rosters, clock, waited
):
    woken = rosters[0]
    woken.replace_if_newer(ALL_LISTED)
    clock.advance(roster_lib.REMOVE_AFTER_MS + 10_000.0)
    if waited == "list":
        woken.replace_if_newer(ALL_LISTED._replace(revision=at(6)))
    until_ms = clock.now_ms() + (
        fleet_lib.LOST_AFTER_MS + fleet_lib.READER_STALE_MS
    )
    while clock.now_ms() <= until_ms:
        woken.confirm_current(NAMES, is_store_reachable=True)
        assert woken.fraction() == 0.0
        assert woken.share_of(BURST) == roster_lib.UNLISTED_SHARE
        clock.advance(100.0)
    woken.confirm_current(NAMES, is_store_reachable=True)
    assert woken.fraction() == pytest.approx(1.0 / len(NAMES))


def test_host_suspended_again_has_no_share_by_messages_that_waited(
    rosters, clock
):
    woken = rosters[0]
    woken.replace_if_newer(ALL_LISTED)
    for _ in range(3):
        clock.advance(roster_lib.REMOVE_AFTER_MS)
        woken.confirm_current(NAMES, is_store_reachable=True)
        assert woken.fraction() == 0.0


def test_older_list_is_ignored(rosters):
    rosters[0].replace_if_newer(ALL_LISTED)
    assert not rosters[0].replace_if_newer(
        roster_lib.HostList(at(4), NAMES[:2])
    )
    assert rosters[0].host_list == ALL_LISTED


def test_hosts_are_added_when_alive_and_removed_when_lost(planner, clock):
    first = planner.planned_update(
        roster_lib.EMPTY_HOST_LIST, alive_hosts("ba")
    )
    assert first == roster_lib.HostList(at(0), ("a", "b"))
    host_list = roster_lib.HostList(at(1), ("a", "b"))
    assert planner.planned_update(host_list, alive_hosts("b")) is None
    clock.advance(roster_lib.REMOVE_AFTER_MS)
    assert planner.planned_update(host_list, alive_hosts("bc")).hosts == (
        "b",
        "c",
    )


def test_new_reader_does_not_remove_hosts_at_once(planner, clock):
    host_list = roster_lib.HostList(at(1), ("a", "b"))
    planner.planned_update(host_list, alive_hosts("ab"))
    clock.advance(roster_lib.REMOVE_AFTER_MS)
    planner.reset()
    assert planner.planned_update(host_list, alive_hosts("a")) is None


# Regression of BUDGET: hosts that were added while the earlier ones were cut
# off took shares of a longer list that the others did not know yet.
def test_added_hosts_have_no_share_until_others_use_the_list(clock, planner):
    before = [roster_lib.Roster(name, clock) for name in "abcd"]
    added = [roster_lib.Roster(name, clock) for name in "efgh"]
    host_list = roster_lib.HostList(at(5), tuple("abcd"))
    for roster in before:
        roster.replace_if_newer(host_list)
    updated = planner.planned_update(
        host_list, {**alive_hosts("a", 5), **alive_hosts("efgh", 0)}
    )
    longer = updated._replace(revision=at(6))
    assert longer.joining == tuple("efgh")
    for roster in (before[0], *added):
        roster.replace_if_newer(longer)
    # Three of the four hosts still divide by four.
    assert total_share([*before, *added]) <= BURST
    alive = {**alive_hosts("aefgh", 6), **alive_hosts("bcd", 5)}
    assert planner.planned_update(longer, alive) is None


def test_added_hosts_get_a_share_once_others_use_the_list(clock, planner):
    host_list = roster_lib.HostList(at(6), tuple("abef"), tuple("ef"))
    updated = planner.planned_update(
        host_list, {**alive_hosts("ab", 6), **alive_hosts("ef", 0)}
    )
    assert updated == host_list._replace(joining=())
    rosters = [roster_lib.Roster(name, clock) for name in "abef"]
    for roster in rosters:
        roster.replace_if_newer(updated._replace(revision=at(7)))
    assert total_share(rosters) == pytest.approx(
        (1.0 - roster_lib.UNLISTED_FRACTION) * BURST
    )


def test_added_hosts_get_a_share_once_others_have_dropped_theirs(
    clock, planner
):
    host_list = roster_lib.HostList(at(6), tuple("abef"), tuple("ef"))
    alive = {**alive_hosts("aef", 6), **alive_hosts("b", 5)}
    isolated = roster_lib.Roster("b", clock)
    isolated.replace_if_newer(roster_lib.HostList(at(5), tuple("ab")))
    while planner.planned_update(host_list, alive) is None:
        isolated.confirm_current([], is_store_reachable=False)
        clock.advance(500.0)
    assert isolated.share_of(BURST) == roster_lib.UNLISTED_SHARE


def test_hosts_added_later_wait_while_earlier_ones_get_a_share(planner):
    host_list = roster_lib.HostList(at(6), tuple("abe"), ("e",))
    updated = planner.planned_update(
        host_list, {**alive_hosts("ab", 6), **alive_hosts("ef", 0)}
    )
    assert updated.hosts == tuple("abef")
    assert updated.joining == ("f",)
