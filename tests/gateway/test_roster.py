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
def keeper(clock):
    return roster_lib.Keeper(clock)


def know(names, revision=99):
    """Returns hosts that are heard of and go by a list of a revision."""
    return dict.fromkeys(names, revision)


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
    keeper.due(ALL_LISTED, know(NAMES))
    while keeper.due(ALL_LISTED, know(NAMES[1:])) is None:
        cut_off.confirm([], is_store_heard=False)
        clock.advance(500.0)
    assert cut_off.share_of(BURST) == roster_lib.UNLISTED_SHARE


def test_older_list_is_not_taken(rosters):
    rosters[0].adopt(ALL_LISTED)
    assert not rosters[0].adopt(roster_lib.HostList(4, NAMES[:2]))
    assert rosters[0].listed == ALL_LISTED


def test_hosts_are_listed_once_heard_and_taken_off_once_gone(keeper, clock):
    first = keeper.due(roster_lib.EMPTY_HOST_LIST, know("ba"))
    assert first == roster_lib.HostList(0, ("a", "b"))
    listed = roster_lib.HostList(1, ("a", "b"))
    assert keeper.due(listed, know("b")) is None
    clock.advance(roster_lib.GONE_AFTER_MS)
    assert keeper.due(listed, know("bc")).hosts == ("b", "c")


def test_host_that_begins_to_read_gives_listed_hosts_time(keeper, clock):
    listed = roster_lib.HostList(1, ("a", "b"))
    keeper.due(listed, know("ab"))
    clock.advance(roster_lib.GONE_AFTER_MS)
    keeper.start_turn()
    assert keeper.due(listed, know("a")) is None


# Guards against BUDGET: hosts that are added while those before them are cut
# off took shares of a longer list, which the others had not heard of.
def test_added_hosts_have_no_share_while_others_may_not_know(clock, keeper):
    before = [roster_lib.Roster(name, clock) for name in "abcd"]
    added = [roster_lib.Roster(name, clock) for name in "efgh"]
    listed = roster_lib.HostList(5, tuple("abcd"))
    for roster in before:
        roster.adopt(listed)
    wanted = keeper.due(listed, {**know("a", 5), **know("efgh", 0)})
    longer = wanted._replace(revision=6)
    assert longer.joining == tuple("efgh")
    for roster in (before[0], *added):
        roster.adopt(longer)
    # Three of the four go on dividing by four.
    assert shares([*before, *added]) <= BURST
    heard = {**know("aefgh", 6), **know("bcd", 5)}
    assert keeper.due(longer, heard) is None


def test_added_hosts_share_once_the_others_know(clock, keeper):
    listed = roster_lib.HostList(6, tuple("abef"), tuple("ef"))
    wanted = keeper.due(listed, {**know("ab", 6), **know("ef", 0)})
    assert wanted == listed._replace(joining=())
    rosters = [roster_lib.Roster(name, clock) for name in "abef"]
    for roster in rosters:
        roster.adopt(wanted._replace(revision=7))
    assert shares(rosters) == pytest.approx(
        (1.0 - roster_lib.UNLISTED_PART) * BURST
    )


def test_added_hosts_share_once_the_others_have_dropped_theirs(clock, keeper):
    listed = roster_lib.HostList(6, tuple("abef"), tuple("ef"))
    heard = {**know("aef", 6), **know("b", 5)}
    cut_off = roster_lib.Roster("b", clock)
    cut_off.adopt(roster_lib.HostList(5, tuple("ab")))
    while keeper.due(listed, heard) is None:
        cut_off.confirm([], is_store_heard=False)
        clock.advance(500.0)
    assert cut_off.share_of(BURST) == roster_lib.UNLISTED_SHARE


def test_hosts_added_later_wait_while_earlier_ones_begin_to_share(keeper):
    listed = roster_lib.HostList(6, tuple("abe"), ("e",))
    wanted = keeper.due(listed, {**know("ab", 6), **know("ef", 0)})
    assert wanted.hosts == tuple("abef")
    assert wanted.joining == ("f",)
