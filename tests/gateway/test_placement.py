"""Callers are sent to hosts of their own data centre, and to enough of them."""

from gateway_scripts import host_state

from greengagedale.gateway import host_selection


def hosts(**counts):
    return [
        host_state(f"{where}-{index}", data_centre=where)
        for where, count in counts.items()
        for index in range(count)
    ]


def placed(states, where, asked_host="h"):
    return [
        state.name
        for state in host_selection.select_hosts(states, where, asked_host)
    ]


def test_callers_get_the_hosts_of_their_data_centre():
    chosen = placed(hosts(a=8, b=8, c=8), "b")
    assert sorted(chosen) == [f"b-{index}" for index in range(8)]


def test_few_hosts_nearby_are_made_up_by_others():
    chosen = placed(hosts(a=1, b=8), "a")
    assert chosen[0] == "a-0"
    assert len(chosen) == host_selection.MIN_ADDRESSES


def test_caller_from_elsewhere_gets_any_hosts():
    assert len(placed(hosts(a=3, b=3), None)) == 6
    assert len(placed(hosts(a=3, b=3), "nowhere")) == 6


def test_same_hosts_are_chosen_while_others_come_and_go():
    states = hosts(a=1, b=9)
    before = placed(states, "a")
    kept = [state for state in states if state.name in before]
    assert placed(kept, "a") == before
    assert placed(states[::-1], "a") == before


def test_large_fleet_is_named_in_parts_that_differ():
    states = hosts(a=800)
    parts = [set(placed(states, "a", f"asked-{i}")) for i in range(60)]
    assert {len(part) for part in parts} == {host_selection.MAX_ADDRESSES}
    assert len(set.union(*parts)) > 750
