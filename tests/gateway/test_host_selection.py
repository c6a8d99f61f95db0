"""Tests of the selection of hosts for callers."""

from gateway_scripts import host_state

from greengagedale.gateway import host_selection


def hosts(**counts):
    return [
        host_state(f"{data_centre}-{index}", data_centre=data_centre)
        for data_centre, count in counts.items()
        for index in range(count)
    ]


def selected_names(states, data_centre, asked_host="h"):
    return [
        state.name
        for state in host_selection.select_hosts(
            states, data_centre, asked_host
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
