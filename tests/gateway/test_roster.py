"""Shares of a bound over all hosts, by the list that they agree on."""

import pytest

from greengagedale.gateway import roster as roster_lib

BURST = 160.0
NAMES = tuple(f"h{number:02}" for number in range(24))
ALL_LISTED = roster_lib.Listed(5, NAMES)


@pytest.fixture
def rosters(clock):
    """What each of 24 hosts knows."""
    return [roster_lib.Roster(name, clock) for name in NAMES]


@pytest.fixture
def keeper(clock):
    return roster_lib.Keeper(clock)


def shares(rosters):
    return sum(roster.share_of(BURST) for roster in rosters)


# Guards against BUDGET: hosts that start while they are cut off hear of few
# others, and took each a quarter of the burst in a fleet of 24.
def test_hosts_that_know_of_no_others_take_no_more_than_all_may(rosters):
    for roster in rosters[:12]:
        roster.adopt(ALL_LISTED)
    assert shares(rosters) <= BURST


# Guards against BUDGET: each part of a fleet that is cut in two counted only
# its own hosts once the others were forgotten.
def test_parts_that_are_cut_off_go_on_dividing_by_all(rosters, clock):
    for roster in rosters:
        roster.adopt(ALL_LISTED)
    for _ in range(100):
        clock.advance(1000.0)
        for roster in rosters[:12]:
            roster.confirm(NAMES[:12], is_store_heard=True)
        for roster in rosters[12:]:
            roster.confirm(NAMES[12:], is_store_heard=False)
        assert shares(rosters) <= BURST


def test_listed_hosts_share_nearly_all(rosters):
    for roster in rosters:
        roster.adopt(ALL_LISTED)
    assert shares(rosters) == pytest.approx(
        (1.0 - roster_lib.UNLISTED_PART) * BURST
    )


def test_share_stays_in_an_outage_while_all_listed_hosts_are_heard(
    rosters, clock
):
    roster = rosters[0]
    roster.adopt(ALL_LISTED)
    before = roster.share_of(BURST)
    clock.advance(roster_lib.LAPSE_MS)
    roster.confirm(NAMES, is_store_heard=False)
    clock.advance(roster_lib.LAPSE_MS)
    assert roster.share_of(BURST) == before


def test_host_that_hears_of_nobody_drops_its_share_before_it_is_taken_off(
    rosters, clock, keeper
):
    cut_off = rosters[0]
    cut_off.adopt(ALL_LISTED)
    keeper.due(ALL_LISTED, NAMES)
    while keeper.due(ALL_LISTED, NAMES[1:]) is None:
        cut_off.confirm([], is_store_heard=False)
        clock.advance(500.0)
    assert cut_off.share_of(BURST) == roster_lib.UNLISTED_SHARE


def test_older_list_is_not_taken(rosters):
    rosters[0].adopt(ALL_LISTED)
    assert not rosters[0].adopt(roster_lib.Listed(4, NAMES[:2]))
    assert rosters[0].listed == ALL_LISTED


def test_hosts_are_listed_once_heard_and_taken_off_once_gone(keeper, clock):
    assert keeper.due(roster_lib.NONE_LISTED, ["b", "a"]) == ("a", "b")
    listed = roster_lib.Listed(1, ("a", "b"))
    assert keeper.due(listed, ["b"]) is None
    clock.advance(roster_lib.GONE_AFTER_MS)
    assert keeper.due(listed, ["b", "c"]) == ("b", "c")


def test_host_that_begins_to_read_gives_listed_hosts_time(keeper, clock):
    listed = roster_lib.Listed(1, ("a", "b"))
    keeper.due(listed, ["a", "b"])
    clock.advance(roster_lib.GONE_AFTER_MS)
    keeper.start_turn()
    assert keeper.due(listed, ["a"]) is None
