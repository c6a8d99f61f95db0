"""Simulated network of hosts that exchange datagrams on a manual clock."""

import collections
import heapq
import itertools
import random

from greengagedale.membership import announcements
from greengagedale.membership import messages
from greengagedale.membership import swim


class ManualClock:
    """Manual clock shared by all hosts; implements `clocks.Clock`."""

    def __init__(self):
        self.now = 0.0

    def now_ms(self):
        return self.now


class Network:
    """Hosts that tick periodically, over links with latency, loss and cuts."""

    def __init__(self, count, seed, options=None, latency_ms=2.0):
        self.clock = ManualClock()
        self.options = options or swim.Options()
        self.latency_ms = latency_ms
        self.rng = random.Random(seed)
        self.cut_links = set()
        self.frozen = set()
        self.inboxes = collections.defaultdict(list)
        self.queue = []
        self.order = itertools.count()
        self.hosts = {}
        self.announcement_caches = {}
        self.loss_rate = 0.0
        self.removals = []
        for number in range(count):
            self.add(f"h{number}")

    def add(self, name, incarnation=1):
        announcement_cache = announcements.AnnouncementCache(self.clock)
        host = swim.Swim(
            status(name),
            name,
            incarnation,
            self.options,
            announcement_cache,
            random.Random(self.rng.random()),
            self.clock.now,
        )
        host.set_join_candidates([n for n in self.hosts if n != name] or ["h1"])
        self.hosts[name] = host
        self.announcement_caches[name] = announcement_cache
        self._tick_later(name, self.rng.random() * self.options.tick_ms)

    def kill(self, name):
        del self.hosts[name]

    def cut_one_way(self, sender, receiver):
        self.cut_links.add((sender, receiver))

    def cut_out(self, name):
        self.cut_links |= {(name, other) for other in self.hosts}

    def cut_in(self, name):
        self.cut_links |= {(other, name) for other in self.hosts}

    def run(self, for_ms, until=None):
        """Advances the simulation; returns True once the condition holds."""
        end = self.clock.now + for_ms
        while self.queue and self.queue[0][0] <= end:
            self.clock.now, _, action, name, item = heapq.heappop(self.queue)
            if name in self.hosts:
                action(name, item)
            if until is not None and until():
                return True
        self.clock.now = end
        return until is not None and until()

    def usable(self, name):
        return {item.name for item in self.hosts[name].usable()}

    def all_know(self):
        return all(
            self.usable(name) == set(self.hosts) - {name} for name in self.hosts
        )

    def unfreeze(self, name):
        self.frozen.discard(name)
        for got in self.inboxes.pop(name, []):
            self._send(name, self.hosts[name].receive(got))

    def _tick_later(self, name, after_ms):
        item = (self.clock.now + after_ms, next(self.order))
        heapq.heappush(self.queue, (*item, self._tick, name, None))

    def _tick(self, name, _):
        if name not in self.frozen:
            self._send(name, self.hosts[name].tick(self.clock.now))
        self._tick_later(name, self.options.tick_ms)

    def _send(self, sender, outgoing):
        for endpoint, message in outgoing:
            encoded = messages.encode(message)
            if (sender, endpoint) in self.cut_links:
                continue
            if self.rng.random() < self.loss_rate:
                continue
            at = self.clock.now + self.latency_ms * (0.5 + self.rng.random())
            entry = (at, next(self.order), self._deliver, endpoint, encoded)
            heapq.heappush(self.queue, entry)

    def _deliver(self, name, encoded):
        got = messages.decode(encoded)
        if name in self.frozen:
            self.inboxes[name].append(got)
        else:
            self._send(name, self.hosts[name].receive(got))


def status(name, data_centre="dc-a", running=0, **changes):
    return messages.PeerStatus(
        name, data_centre, "life", f"{name}:1", 0, True, False, running
    )._replace(**changes)
