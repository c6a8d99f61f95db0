"""Tests of the order of hosts in locate answers."""

import collections
import random

from membership import simulated_network

from greengagedale.membership import host_ranking


def ranked(statuses, data_centre="dc-a", seed=1):
    rng = random.Random(seed)
    return [s.name for s in host_ranking.rank(statuses, data_centre, rng)]


def test_leaving_and_not_ready_hosts_are_left_out():
    statuses = [
        simulated_network.status("a", leaving=True),
        simulated_network.status("b", ready=False),
        simulated_network.status("c"),
    ]
    assert ranked(statuses) == ["c"]


def test_local_hosts_come_first_and_some_remote_hosts_remain():
    local = [simulated_network.status(f"n{i}", "dc-a") for i in range(20)]
    remote = [simulated_network.status(f"f{i}", "dc-b") for i in range(20)]
    names = ranked(remote + local)
    assert len(names) == host_ranking.MAX_HOSTS
    assert [name[0] for name in names] == ["n"] * 6 + ["f"] * 2


def test_first_rank_is_distributed_by_load():
    statuses = [
        simulated_network.status("idle-1"),
        simulated_network.status("idle-2"),
        simulated_network.status("busy", running=9),
    ]
    firsts = collections.Counter(
        ranked(statuses, seed=seed)[0] for seed in range(2000)
    )
    assert 800 < firsts["idle-1"] < 1100
    assert 800 < firsts["idle-2"] < 1100
    assert 30 < firsts["busy"] < 200
