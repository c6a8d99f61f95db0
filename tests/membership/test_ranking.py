"""The order of locate answers."""

import collections
import random

from membership import networks

from greengagedale.membership import host_ranking


def ranked(statuses, data_centre="dc-a", seed=1):
    rng = random.Random(seed)
    return [s.name for s in host_ranking.rank(statuses, data_centre, rng)]


def test_leaving_and_not_ready_hosts_are_left_out():
    statuses = [
        networks.status("a", leaving=True),
        networks.status("b", ready=False),
        networks.status("c"),
    ]
    assert ranked(statuses) == ["c"]


def test_near_hosts_come_first_and_far_ones_remain():
    near = [networks.status(f"n{i}", "dc-a") for i in range(20)]
    far = [networks.status(f"f{i}", "dc-b") for i in range(20)]
    names = ranked(far + near)
    assert len(names) == host_ranking.MAX_HOSTS
    assert [name[0] for name in names] == ["n"] * 6 + ["f"] * 2


def test_first_places_are_spread_by_load():
    statuses = [
        networks.status("idle-1"),
        networks.status("idle-2"),
        networks.status("busy", running=9),
    ]
    firsts = collections.Counter(
        ranked(statuses, seed=seed)[0] for seed in range(2000)
    )
    assert 800 < firsts["idle-1"] < 1100
    assert 800 < firsts["idle-2"] < 1100
    assert 30 < firsts["busy"] < 200
