"""Tests of failure detection with simulated failures of hosts and links."""

from membership import simulated_network
import pytest

from greengagedale.membership import announcements
from greengagedale.membership import messages

MAX_DETECTION_MS = 2000
MAX_BYTES_PER_S = 2000
SEEDS = range(20)


@pytest.fixture(params=SEEDS)
def network(request):
    made = simulated_network.Network(4, request.param)
    assert made.run(5000, made.all_know)
    made.run(1000)
    return made


def is_removed_by_all_others(network, name):
    return all(
        name not in network.usable(other)
        for other in network.hosts
        if other != name
    )


def healthy_hosts_see_each_other(network, name):
    healthy = set(network.hosts) - {name}
    return all(healthy - {n} <= network.usable(n) for n in healthy)


def assert_healthy_hosts_stay(network, name, for_ms):
    """Runs the network; fails if a healthy host except `name` is lost."""
    removed = network.run(
        for_ms, lambda: not healthy_hosts_see_each_other(network, name)
    )
    assert not removed


@pytest.mark.parametrize("fault", ["kill", "frozen", "cut_out", "cut_in"])
def test_failed_host_is_removed_in_time_and_healthy_hosts_stay(network, fault):
    if fault == "kill":
        network.kill("h2")
    elif fault == "frozen":
        network.frozen.add("h2")
    else:
        getattr(network, fault)("h2")
    removed_at_ms = []

    def broken():
        if not removed_at_ms and is_removed_by_all_others(network, "h2"):
            removed_at_ms.append(network.clock.now)
        return not healthy_hosts_see_each_other(network, "h2")

    started = network.clock.now
    assert not network.run(10_000, broken)
    assert removed_at_ms and removed_at_ms[0] - started <= MAX_DETECTION_MS


def test_unfrozen_host_rejoins_and_suspects_no_other_host(network):
    network.frozen.add("h1")
    network.run(10_000)
    before = network.hosts["h1"].incarnation
    network.unfreeze("h1")
    assert network.run(2000, network.all_know)
    assert network.hosts["h1"].incarnation > before
    assert_healthy_hosts_stay(network, "", 5000)


def test_cut_between_two_hosts_removes_neither(network):
    network.cut_one_way("h0", "h3")
    assert_healthy_hosts_stay(network, "", 10_000)


def test_host_rejoins_after_cut_heals(network):
    network.cut_in("h0")
    network.run(10_000)
    network.cut_links.clear()
    assert network.run(4000, network.all_know)


def test_partitioned_groups_rejoin_after_partition_heals(network):
    left, right = {"h0", "h1"}, {"h2", "h3"}
    network.cut_links |= {(a, b) for a in left for b in right}
    network.cut_links |= {(b, a) for a in left for b in right}

    def split():
        return all(
            network.usable(n) == (left if n in left else right) - {n}
            for n in network.hosts
        )

    assert network.run(MAX_DETECTION_MS, split)
    network.run(20_000)
    network.cut_links.clear()
    assert network.run(5000, network.all_know)


def test_datagram_loss_removes_no_host(network):
    network.loss_rate = 0.05
    assert_healthy_hosts_stay(network, "", 60_000)


def test_restarted_host_replaces_its_old_incarnation(network):
    network.kill("h3")
    network.run(500)
    network.add("h3", incarnation=1)
    assert network.run(4000, network.all_know)


def test_leaving_status_and_announcement_reach_all_hosts_quickly(network):
    host = network.hosts["h2"]
    host.set_status(simulated_network.status("h2", leaving=True))
    network.announcement_caches["h0"].add(
        announcements.Announcement("leaving", "u1", 1, "", 9000.0)
    )

    def everywhere():
        return all(
            {"u1"} <= {item.name for item in announcement_cache.current()}
            for announcement_cache in network.announcement_caches.values()
        ) and all(
            item.leaving
            for name in ("h0", "h1", "h3")
            for item in network.hosts[name].usable()
            if item.name == "h2"
        )

    assert network.run(200, everywhere)


def test_bytes_stay_within_the_budget():
    network = simulated_network.Network(12, 7)
    network.run(20_000)
    sent = {n: h.counts["sent_bytes"] for n, h in network.hosts.items()}
    network.run(20_000)
    rates = [
        (host.counts["sent_bytes"] - sent[name]) / 20.0
        for name, host in network.hosts.items()
    ]
    assert max(rates) <= MAX_BYTES_PER_S


def test_oversized_announcement_causes_no_flood():
    network = simulated_network.Network(3, 1)
    network.run(2000)
    network.announcement_caches["h0"].add(
        announcements.Announcement("k", "n", 1, "x" * 900, 60_000.0)
    )
    before = network.hosts["h0"].counts["sent_messages"]
    network.run(2000)
    assert network.hosts["h0"].counts["sent_messages"] - before < 60


def test_stale_suspicion_does_not_affect_later_incarnation(network):
    held = network.hosts["h0"].table.peers["h1"].update
    old = held._replace(
        incarnation=held.incarnation - 1, state=messages.State.SUSPECT
    )
    network.hosts["h0"].merge_updates([old])
    assert "h1" in network.usable("h0")


@pytest.mark.parametrize("left_ms", [float("inf"), float("nan"), -1.0, 1e12])
def test_announcement_with_invalid_remaining_time_is_dropped(left_ms):
    network = simulated_network.Network(3, 1)
    network.run(2000)
    sender = network.hosts["h1"].known_updates()[0]
    item = announcements.Announcement("k", "n", 1, "", left_ms)
    message = messages.Datagram(
        messages.Kind.PUSH, 0, sender, "", "", (), (item,)
    )
    host = network.hosts["h0"]
    host.receive(messages.decode(messages.encode(message)))
    assert network.announcement_caches["h0"].current() == []
    assert host.counts["invalid_news"] == 1
    network.run(500)
