"""Tests of the detection of the start and end of upstream drains."""

import collections

import pytest

from greengagedale import clocks
from greengagedale.membership import announcements
from greengagedale.membership import drains


class TwoHosts:
    def __init__(self):
        self.clock = clocks.ManualClock()
        self.announcement_caches = [
            announcements.AnnouncementCache(self.clock) for _ in range(2)
        ]
        self.counts = collections.Counter()
        self.drains = [
            drains.DrainTracker(
                announcement_cache,
                self.clock,
                lambda: int(self.clock.now_ms()),
                lambda source: self.counts.update([source]),
            )
            for announcement_cache in self.announcement_caches
        ]

    def gossip(self):
        for item in self.announcement_caches[0].current():
            self.announcement_caches[1].add(item)

    def report_ready(self, seconds):
        for _ in range(seconds):
            self.clock.advance(1000)
            self.drains[0].on_health_report("u1", "ready")


@pytest.fixture
def hosts():
    return TwoHosts()


@pytest.mark.parametrize("source", ["refusal", "health", "platform"])
def test_first_signal_marks_upstream_leaving_and_is_announced(hosts, source):
    if source == "refusal":
        hosts.drains[0].on_refusal("u1")
    elif source == "health":
        hosts.drains[0].on_health_report("u1", "draining")
    else:
        hosts.drains[0].on_platform_list(["u1"])
    assert hosts.drains[0].is_leaving("u1")
    assert not hosts.drains[0].is_leaving("u2")
    assert hosts.counts == {source: 1}
    hosts.gossip()
    is_announced = source != "platform"
    assert hosts.drains[1].is_leaving("u1") == is_announced
    assert hosts.counts["peer"] == is_announced


def test_drain_ends_on_all_hosts_after_required_ready_time(hosts):
    hosts.drains[0].on_refusal("u1")
    hosts.gossip()
    hosts.report_ready(2)
    assert hosts.drains[0].is_leaving("u1")
    hosts.report_ready(3)
    hosts.gossip()
    assert not any(item.is_leaving("u1") for item in hosts.drains)


def test_required_ready_time_grows_with_each_drain(hosts):
    waits = []
    for _ in range(3):
        hosts.drains[0].on_refusal("u1")
        started = hosts.clock.now_ms()
        while hosts.drains[0].is_leaving("u1"):
            hosts.report_ready(1)
        waits.append(hosts.clock.now_ms() - started)
    assert waits[0] < waits[1] < waits[2]


def test_stale_announcement_does_not_restart_ended_drain(hosts):
    hosts.drains[0].on_refusal("u1")
    [old] = hosts.announcement_caches[0].current()
    hosts.report_ready(6)
    hosts.gossip()
    hosts.announcement_caches[1].add(old)
    assert not hosts.drains[1].is_leaving("u1")


def test_drain_without_new_signal_expires(hosts):
    hosts.drains[0].on_refusal("u1")
    hosts.clock.advance(61_000)
    assert hosts.drains[0].leaving() == []


def test_platform_can_withdraw_leaving_upstream(hosts):
    hosts.drains[0].on_platform_list(["u1"])
    hosts.drains[0].on_platform_list([])
    assert not hosts.drains[0].is_leaving("u1")
