"""Tests of the selection of hosts for callers."""

from gateway_scripts import host_state
import pytest

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


def uneven_hosts(strong, weak):
    """Hosts of 2.15 and of 0.361 cores, as in the live scores' fleet."""
    return [
        host_state(
            f"{kind}-{index}", data_centre="a", power_millicores=millicores
        )
        for kind, count, millicores in (
            ("strong", strong, 2151),
            ("weak", weak, 361),
        )
        for index in range(count)
    ]


@pytest.mark.parametrize(
    ("strong", "weak", "spared"), [(8, 135, 135), (8, 0, 0), (3, 135, 0)]
)
def test_weak_hosts_are_spared_if_strong_ones_hold_enough_power(
    strong, weak, spared
):
    """Searches of 36 parts take six times as long on a weak host's core."""
    states = uneven_hosts(strong, weak)
    used = host_selection.spare_weak_hosts(states, 0.33)
    assert len(used) == strong + weak - spared


def test_no_host_is_spared_while_the_power_of_one_is_unknown():
    """Hosts of an earlier release run beside new ones in a rolling update."""
    states = [*uneven_hosts(8, 20), host_state("old")]
    assert host_selection.spare_weak_hosts(states, 0.33) == states


def test_no_host_is_spared_where_hosts_are_about_equal():
    states = [
        host_state(str(millicores), power_millicores=millicores)
        for millicores in (2151, 1290, 1376)
    ]
    assert host_selection.spare_weak_hosts(states, 0.33) == states
    assert (
        host_selection.power_share_of(
            states[0].address, [state.address for state in states[1:]], 0.33
        )
        is None
    )


def test_shares_by_power_add_up_to_one():
    addresses = [state.address for state in uneven_hosts(8, 135)]
    shares = [
        host_selection.power_share_of(
            own, [each for each in addresses if each != own], 0.33
        )
        for own in addresses
    ]
    assert sum(shares) == pytest.approx(1.0)
    assert max(shares) == pytest.approx(2.151 / (8 * 2.151 + 135 * 0.361))


def test_a_weak_host_of_a_home_region_goes_before_strong_ones_elsewhere():
    states = [
        host_state("weak", data_centre="c", power_millicores=361),
        *uneven_hosts(8, 0),
    ]
    chosen = host_selection.select_hosts(
        states, "a", "h", TWO_REGIONS, frozenset(["r2"]), 0.33
    )
    assert [state.name for state in chosen] == ["weak"]
