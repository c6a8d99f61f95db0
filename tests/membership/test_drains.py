"""Signals that upstreams leave, and that they are back."""

import collections

import pytest

from greengagedale import clocks
from greengagedale.membership import announcements
from greengagedale.membership import drains


class Fixture:
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

    def spread(self):
        for item in self.announcement_caches[0].current():
            self.announcement_caches[1].add(item)

    def answer_ready(self, seconds):
        for _ in range(seconds):
            self.clock.advance(1000)
            self.drains[0].on_health_report("u1", "ready")


@pytest.fixture
def hosts():
    return Fixture()


@pytest.mark.parametrize("source", ["refusal", "health", "platform"])
def test_first_signal_counts_and_peers_hear(hosts, source):
    if source == "refusal":
        hosts.drains[0].on_refusal("u1")
    elif source == "health":
        hosts.drains[0].on_health_report("u1", "draining")
    else:
        hosts.drains[0].on_platform_list(["u1"])
    assert hosts.drains[0].is_leaving("u1")
    assert not hosts.drains[0].is_leaving("u2")
    assert hosts.counts == {source: 1}
    hosts.spread()
    heard = source != "platform"
    assert hosts.drains[1].is_leaving("u1") == heard
    assert hosts.counts["peer"] == heard


def test_drain_taken_back_clears_everywhere_after_proof(hosts):
    hosts.drains[0].on_refusal("u1")
    hosts.spread()
    hosts.answer_ready(2)
    assert hosts.drains[0].is_leaving("u1")
    hosts.answer_ready(3)
    hosts.spread()
    assert not any(item.is_leaving("u1") for item in hosts.drains)


def test_lagging_health_is_believed_ever_later(hosts):
    waits = []
    for _ in range(3):
        hosts.drains[0].on_refusal("u1")
        started = hosts.clock.now_ms()
        while hosts.drains[0].is_leaving("u1"):
            hosts.answer_ready(1)
        waits.append(hosts.clock.now_ms() - started)
    assert waits[0] < waits[1] < waits[2]


def test_stale_news_does_not_undo_a_return(hosts):
    hosts.drains[0].on_refusal("u1")
    [old] = hosts.announcement_caches[0].current()
    hosts.answer_ready(6)
    hosts.spread()
    hosts.announcement_caches[1].add(old)
    assert not hosts.drains[1].is_leaving("u1")


def test_unconfirmed_drain_is_forgotten(hosts):
    hosts.drains[0].on_refusal("u1")
    hosts.clock.advance(61_000)
    assert hosts.drains[0].leaving() == []


def test_platform_takes_its_word_back(hosts):
    hosts.drains[0].on_platform_list(["u1"])
    hosts.drains[0].on_platform_list([])
    assert not hosts.drains[0].is_leaving("u1")
