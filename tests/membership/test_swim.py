"""Failures of hosts and links against the pure membership."""

from membership import networks
import pytest

from greengagedale.membership import announcements
from greengagedale.membership import messages

GONE_MS = 2000
MOST_BYTES_PER_S = 2000
SEEDS = range(20)


@pytest.fixture(params=SEEDS)
def network(request):
    made = networks.Network(4, request.param)
    assert made.run(5000, made.all_know)
    made.run(1000)
    return made


def others_without(network, name):
    return all(
        name not in network.usable(other)
        for other in network.hosts
        if other != name
    )


def others_keep_each_other(network, name):
    healthy = set(network.hosts) - {name}
    return all(healthy - {n} <= network.usable(n) for n in healthy)


def watch_healthy(network, name, for_ms):
    """Runs on and fails as soon as a healthy host is removed."""
    removed = network.run(
        for_ms, lambda: not others_keep_each_other(network, name)
    )
    assert not removed


@pytest.mark.parametrize("harm", ["kill", "frozen", "cut_out", "cut_in"])
def test_lost_host_is_gone_in_time_and_healthy_ones_stay(network, harm):
    if harm == "kill":
        network.kill("h2")
    elif harm == "frozen":
        network.frozen.add("h2")
    else:
        getattr(network, harm)("h2")
    gone_at = []

    def broken():
        if not gone_at and others_without(network, "h2"):
            gone_at.append(network.clock.now)
        return not others_keep_each_other(network, "h2")

    started = network.clock.now
    assert not network.run(10_000, broken)
    assert gone_at and gone_at[0] - started <= GONE_MS


def test_frozen_host_comes_back_once_and_accuses_nobody(network):
    network.frozen.add("h1")
    network.run(10_000)
    before = network.hosts["h1"].incarnation
    network.thaw("h1")
    assert network.run(2000, network.all_know)
    assert network.hosts["h1"].incarnation > before
    watch_healthy(network, "", 5000)


def test_cut_between_two_hosts_only_removes_neither(network):
    network.cut_one_way("h0", "h3")
    watch_healthy(network, "", 10_000)


def test_healed_cut_comes_back(network):
    network.cut_in("h0")
    network.run(10_000)
    network.cut.clear()
    assert network.run(4000, network.all_know)


def test_regions_cut_apart_heal(network):
    left, right = {"h0", "h1"}, {"h2", "h3"}
    network.cut |= {(a, b) for a in left for b in right}
    network.cut |= {(b, a) for a in left for b in right}

    def split():
        return all(
            network.usable(n) == (left if n in left else right) - {n}
            for n in network.hosts
        )

    assert network.run(GONE_MS, split)
    network.run(20_000)
    network.cut.clear()
    assert network.run(5000, network.all_know)


def test_lost_datagrams_alone_remove_nobody(network):
    network.lost_share = 0.05
    watch_healthy(network, "", 60_000)


def test_restarted_host_replaces_its_former_life(network):
    network.kill("h3")
    network.run(500)
    network.add("h3", incarnation=1)
    assert network.run(4000, network.all_know)


def test_leaving_and_news_reach_all_at_once(network):
    host = network.hosts["h2"]
    host.set_status(networks.status("h2", leaving=True))
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
    network = networks.Network(12, 7)
    network.run(20_000)
    sent = {n: h.counts["sent_bytes"] for n, h in network.hosts.items()}
    network.run(20_000)
    rates = [
        (host.counts["sent_bytes"] - sent[name]) / 20.0
        for name, host in network.hosts.items()
    ]
    assert max(rates) <= MOST_BYTES_PER_S


def test_oversized_news_does_not_flood():
    network = networks.Network(3, 1)
    network.run(2000)
    network.announcement_caches["h0"].add(
        announcements.Announcement("k", "n", 1, "x" * 900, 60_000.0)
    )
    before = network.hosts["h0"].counts["sent_messages"]
    network.run(2000)
    assert network.hosts["h0"].counts["sent_messages"] - before < 60


def test_stale_suspicion_does_not_touch_a_later_incarnation(network):
    held = network.hosts["h0"].table.peers["h1"].update
    old = held._replace(
        incarnation=held.incarnation - 1, state=messages.State.SUSPECT
    )
    network.hosts["h0"].merge_updates([old])
    assert "h1" in network.usable("h0")


@pytest.mark.parametrize("left_ms", [float("inf"), float("nan"), -1.0, 1e12])
def test_news_of_no_sane_life_is_dropped(left_ms):
    network = networks.Network(3, 1)
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
