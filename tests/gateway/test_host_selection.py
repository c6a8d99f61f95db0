"""Tests of the selection of hosts for callers."""

from gateway_scripts import host_state

from greengagedale.gateway import host_selection
from greengagedale.gateway import regions


def hosts(**counts):
    return [
        host_state(f"{data_centre}-{index}", data_centre=data_centre)
        for data_centre, count in counts.items()
        for index in range(count)
    ]


ONE_REGION = regions.RegionMap(dict.fromkeys("abc", "r"))
TWO_REGIONS = regions.RegionMap({"a": "r1", "b": "r1", "c": "r2"})


def selected_names(
    states, data_centre, asked_host="h", region_map=ONE_REGION, home=None
):
    return [
        state.name
        for state in host_selection.select_hosts(
            states, data_centre, asked_host, region_map, home
        )
    ]


def test_callers_get_the_hosts_of_their_data_centre():
    chosen = selected_names(hosts(a=8, b=8, c=8), "b")
    assert sorted(chosen) == [f"b-{index}" for index in range(8)]


def test_too_few_local_hosts_are_supplemented_by_remote_ones():
    chosen = selected_names(hosts(a=1, b=8), "a")
    assert chosen[0] == "a-0"
    assert len(chosen) == host_selection.MIN_ADDRESSES


def test_caller_from_an_unknown_data_centre_gets_all_hosts():
    assert len(selected_names(hosts(a=3, b=3), None)) == 6
    assert len(selected_names(hosts(a=3, b=3), "nowhere")) == 6


def test_selection_is_stable_when_other_hosts_change():
    states = hosts(a=1, b=9)
    before = selected_names(states, "a")
    remaining = [state for state in states if state.name in before]
    assert selected_names(remaining, "a") == before
    assert selected_names(states[::-1], "a") == before


def test_hosts_of_a_large_fleet_return_different_selections():
    states = hosts(a=800)
    selections = [
        set(selected_names(states, "a", f"asked-{i}")) for i in range(60)
    ]
    assert {len(selection) for selection in selections} == {
        host_selection.MAX_ADDRESSES
    }
    assert len(set.union(*selections)) > 750


def test_callers_get_only_hosts_of_a_home_region():
    states = hosts(a=8, b=2, c=8)
    for data_centre in ("a", "b", "c", None):
        chosen = selected_names(
            states, data_centre, "h", TWO_REGIONS, frozenset(["r2"])
        )
        assert {name[0] for name in chosen} == {"c"}


def test_callers_in_a_home_region_get_their_data_centre():
    chosen = selected_names(
        hosts(a=8, b=8, c=8), "b", "h", TWO_REGIONS, frozenset(["r1"])
    )
    assert {name[0] for name in chosen} == {"b"}


def test_callers_get_other_hosts_if_no_home_region_has_any():
    home = frozenset(["r2"])
    assert selected_names(hosts(a=2, b=2), "a", "h", TWO_REGIONS, home)
    assert selected_names(hosts(a=2, b=2), "a", "h", TWO_REGIONS, frozenset())


def test_local_hosts_are_supplemented_from_the_same_home_region():
    home = frozenset(["r1", "r2"])
    chosen = selected_names(hosts(a=2, b=8, c=8), "a", "h", TWO_REGIONS, home)
    assert {name[0] for name in chosen} == {"a", "b"}
