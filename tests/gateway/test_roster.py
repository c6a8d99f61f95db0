"""Shares of a bound over all hosts, by the list that they agree on."""

import pytest

from greengagedale.gateway import roster as roster_lib

BURST = 160.0
NAMES = tuple(f"h{number:02}" for number in range(24))
ALL_LISTED = roster_lib.HostList(5, NAMES)


@pytest.fixture
def rosters(clock):
    """What each of 24 hosts knows."""
    return [roster_lib.Roster(name, clock) for name in NAMES]


@pytest.fixture
def planner(clock):
    return roster_lib.RosterPlanner(clock)


def know(names, revision=99):
    """Returns hosts that are heard of and go by a list of a revision."""
    return dict.fromkeys(names, revision)


def shares(rosters):
    return sum(roster.share_of(BURST) for roster in rosters)


# Guards against BUDGET: hosts that start while they are cut off hear of few
# others, and took each a quarter of the burst in a fleet of 24.
def test_hosts_that_know_of_no_others_take_no_more_than_all_may(rosters):
    for roster in rosters[:12]:
        roster.replace_if_newer(ALL_LISTED)
    assert shares(rosters) <= BURST


# Guards against BUDGET: each part of a fleet that is cut in two counted only
# its own hosts once the others were forgotten.
def test_parts_that_are_cut_off_go_on_dividing_by_all(rosters, clock):
    for roster in rosters:
        roster.replace_if_newer(ALL_LISTED)
    for _ in range(100):
        clock.advance(1000.0)
        for roster in rosters[:12]:
            roster.confirm_current(NAMES[:12], is_store_reachable=True)
        for roster in rosters[12:]:
            roster.confirm_current(NAMES[12:], is_store_reachable=False)
        assert shares(rosters) <= BURST


def test_listed_hosts_share_nearly_all(rosters):
    for roster in rosters:
        roster.replace_if_newer(ALL_LISTED)
    assert shares(rosters) == pytest.approx(
        (1.0 - roster_lib.UNLISTED_FRACTION) * BURST
    )


def test_share_stays_in_an_outage_while_all_listed_hosts_are_heard(
    rosters, clock
):
    roster = rosters[0]
    roster.replace_if_newer(ALL_LISTED)
    before = roster.share_of(BURST)
    clock.advance(roster_lib.CONFIRMATION_TIMEOUT_MS)
    roster.confirm_current(NAMES, is_store_reachable=False)
    clock.advance(roster_lib.CONFIRMATION_TIMEOUT_MS)
    assert roster.share_of(BURST) == before


def test_host_that_hears_of_nobody_drops_its_share_before_it_is_taken_off(
    rosters, clock, planner
):
    cut_off = rosters[0]
    cut_off.replace_if_newer(ALL_LISTED)
    planner.planned_update(ALL_LISTED, know(NAMES))
    while planner.planned_update(ALL_LISTED, know(NAMES[1:])) is None:
        cut_off.confirm_current([], is_store_reachable=False)
        clock.advance(500.0)
    assert cut_off.share_of(BURST) == roster_lib.UNLISTED_SHARE


def test_older_list_is_not_taken(rosters):
    rosters[0].replace_if_newer(ALL_LISTED)
    assert not rosters[0].replace_if_newer(roster_lib.HostList(4, NAMES[:2]))
    assert rosters[0].host_list == ALL_LISTED


def test_hosts_are_listed_once_heard_and_taken_off_once_gone(planner, clock):
    first = planner.planned_update(roster_lib.EMPTY_HOST_LIST, know("ba"))
    assert first == roster_lib.HostList(0, ("a", "b"))
    host_list = roster_lib.HostList(1, ("a", "b"))
    assert planner.planned_update(host_list, know("b")) is None
    clock.advance(roster_lib.REMOVE_AFTER_MS)
    assert planner.planned_update(host_list, know("bc")).hosts == ("b", "c")


def test_host_that_begins_to_read_gives_listed_hosts_time(planner, clock):
    host_list = roster_lib.HostList(1, ("a", "b"))
    planner.planned_update(host_list, know("ab"))
    clock.advance(roster_lib.REMOVE_AFTER_MS)
    planner.reset()
    assert planner.planned_update(host_list, know("a")) is None


# Guards against BUDGET: hosts that are added while those before them are cut
# off took shares of a longer list, which the others had not heard of.
def test_added_hosts_have_no_share_while_others_may_not_know(clock, planner):
    before = [roster_lib.Roster(name, clock) for name in "abcd"]
    added = [roster_lib.Roster(name, clock) for name in "efgh"]
    host_list = roster_lib.HostList(5, tuple("abcd"))
    for roster in before:
        roster.replace_if_newer(host_list)
    wanted = planner.planned_update(
        host_list, {**know("a", 5), **know("efgh", 0)}
    )
    longer = wanted._replace(revision=6)
    assert longer.joining == tuple("efgh")
    for roster in (before[0], *added):
        roster.replace_if_newer(longer)
    # Three of the four go on dividing by four.
    assert shares([*before, *added]) <= BURST
    heard = {**know("aefgh", 6), **know("bcd", 5)}
    assert planner.planned_update(longer, heard) is None


def test_added_hosts_share_once_the_others_know(clock, planner):
    host_list = roster_lib.HostList(6, tuple("abef"), tuple("ef"))
    wanted = planner.planned_update(
        host_list, {**know("ab", 6), **know("ef", 0)}
    )
    assert wanted == host_list._replace(joining=())
    rosters = [roster_lib.Roster(name, clock) for name in "abef"]
    for roster in rosters:
        roster.replace_if_newer(wanted._replace(revision=7))
    assert shares(rosters) == pytest.approx(
        (1.0 - roster_lib.UNLISTED_FRACTION) * BURST
    )


def test_added_hosts_share_once_the_others_have_dropped_theirs(clock, planner):
    host_list = roster_lib.HostList(6, tuple("abef"), tuple("ef"))
    heard = {**know("aef", 6), **know("b", 5)}
    cut_off = roster_lib.Roster("b", clock)
    cut_off.replace_if_newer(roster_lib.HostList(5, tuple("ab")))
    while planner.planned_update(host_list, heard) is None:
        cut_off.confirm_current([], is_store_reachable=False)
        clock.advance(500.0)
    assert cut_off.share_of(BURST) == roster_lib.UNLISTED_SHARE


def test_hosts_added_later_wait_while_earlier_ones_begin_to_share(planner):
    host_list = roster_lib.HostList(6, tuple("abe"), ("e",))
    wanted = planner.planned_update(
        host_list, {**know("ab", 6), **know("ef", 0)}
    )
    assert wanted.hosts == tuple("abef")
    assert wanted.joining == ("f",)
