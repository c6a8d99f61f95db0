"""A fleet without a network: hosts that share a stand-in store.

The readers, exchanges and lists of the hosts are the product's; the test
decides who reads, who exchanges and when.
"""

import asyncio
import itertools
import types

from gateway_scripts import InProcessStore
from gateway_scripts import exchange_of
from gateway_scripts import host_state

from greengagedale import clocks
from greengagedale.gateway import peer_exchange
from greengagedale.gateway import registry as registry_lib
from greengagedale.gateway import store_reader as store_reader_lib
from standins import gateway_store

ROUND_MS = 250.0
BURST = 100.0
REWRITE_AFTER_MS = 1000.0
EXPIRE_AFTER_MS = 3600.0
ROUTE = {
    "name": "r",
    "host": "host",
    "pathPrefix": "/a/",
    "type": "idempotent",
    "timeoutMs": 1000,
    "targetLatencyMs": 100,
    "service": "s",
}


class Host:
    """One incarnation of a host."""

    def __init__(self, name, fleet, incarnation):
        self.name = name
        self.incarnation = incarnation
        self.is_frozen = False
        self.is_isolated = False
        self._fleet = fleet
        clock = fleet.clock
        self.store = InProcessStore(fleet.store)
        self.registry = registry_lib.Registry(clock)
        self.exchange = exchange_of(name, clock, self.registry)
        self.roster = self.exchange._roster
        self.reader = store_reader_lib.StoreReader(
            self.store,
            self.registry,
            types.SimpleNamespace(),
            self.roster,
            self.alive,
            lambda: None,
            clock,
        )
        self.is_reading = False

    @property
    def is_running(self):
        return not self.is_frozen

    def alive(self):
        """The hosts that this one is in touch with, with their list."""
        peers = () if self.is_isolated else self._fleet.connected()
        return {
            each.name: each.roster.host_list.revision for each in (self, *peers)
        }

    def in_use(self):
        return {each.name: each for each in self.registry.upstreams_of("s")}

    async def start(self):
        await self.reader._load_stale_copies()

    async def read(self):
        """Takes the steps of the host that reads the store."""
        if not self.is_reading:
            self.is_reading = True
            self.reader._planner.reset()
            self.reader._stored_hosts = None
        epoch = self.store.epoch
        for step in (
            self.reader._watch_routes,
            self.reader._watch_upstreams,
            self.reader._update_roster,
        ):
            failure = await step()
            if failure is not None:
                self.reader._record_failure(failure)
                self.is_reading = False
                return
        self.reader._record_answer()
        if self.store.epoch != epoch:
            self.reader._stored_hosts = None

    def maintain(self, is_store_reachable):
        self.registry.remove_expired()
        self.roster.confirm_current(self.alive(), is_store_reachable)

    def exchange_with(self, peer):
        """One exchange, which this host starts."""
        state = host_state(self.name)
        summary = peer_exchange.StateSummary(
            state,
            [],
            0,
            self.registry.routes_version,
            self.registry.version,
            self.roster.host_list.revision,
            [],
            [],
            withdrawals=self.registry.recovery.withdrawals(),
        )
        peer.registry.merge_withdrawals(
            summary.withdrawals, summary.version.revision.epoch
        )
        self.exchange._merge(peer.exchange._update_for(summary))


class Fleet:
    """Hosts, upstreams, an operator and their store."""

    def __init__(self, names, upstreams=(), era=1):
        self.clock = clocks.ManualClock(1000.0)
        self.loop = asyncio.new_event_loop()
        self.store = gateway_store.GatewayStore(self.clock)
        self.store.era = era
        # Upstreams that run, with the last entry that each wrote.
        self.entries = {}
        self.version = 0
        self.pending = []
        self._ports = itertools.count(1)
        self._incarnations = itertools.count(1)
        self.hosts = {name: self._new_host(name) for name in names}
        self.change_configuration()
        for name in upstreams:
            self.start_upstream(name)
        for host in self.hosts.values():
            self.run(host.start())

    def close(self):
        self.loop.close()

    def run(self, work):
        return self.loop.run_until_complete(work)

    def connected(self):
        return [
            host
            for host in self.hosts.values()
            if host.is_running and not host.is_isolated
        ]

    def restart(self, name):
        self.hosts[name] = self._new_host(name)
        self.run(self.hosts[name].start())

    def _new_host(self, name):
        return Host(name, self, next(self._incarnations))

    # What operators and upstreams write.

    def change_configuration(self):
        self.version += 1
        service = {"name": "s", "maxConnections": 10}
        document = {
            "version": self.version,
            "routes": [ROUTE],
            "services": [service],
        }
        self.store.put("config", "main", document)

    def write_entry(self, name, **fields):
        entry = self.entries[name]
        entry.update(fields, sequence=entry["sequence"] + 1)
        self.store.put("servers", name, dict(entry))

    def start_upstream(self, name):
        born = int(self.clock.now_ms())
        self.entries[name] = {
            "service": "s",
            "address": f"127.0.0.1:{next(self._ports)}",
            "zone": "here",
            "slots": 2,
            "born": born,
            "sequence": 0,
        }
        self.write_entry(name, state="ready")

    def drain(self, name):
        self.write_entry(name, state="draining")

    def stop_upstream(self, name):
        """The upstream leaves, and its entry is removed."""
        del self.entries[name]
        self.store.delete("servers", name)

    def ready(self):
        return {
            name
            for name, entry in self.entries.items()
            if entry["state"] == "ready"
        }

    # What the store does.

    def return_older(self, copy_age_ms):
        """The store comes back from a copy of the given age."""
        now_ms = self.clock.now_ms()
        self.store.restore((now_ms - copy_age_ms) / 1000.0)
        self.pending = [
            (now_ms + REWRITE_AFTER_MS, self._write_again),
            (now_ms + EXPIRE_AFTER_MS, self._expire),
        ]

    def _write_again(self):
        written = {
            name
            for name, item in self.store._objects.get("servers", {}).items()
            if item["spec"] == self.entries.get(name)
        }
        for name in sorted({*self.entries} - written):
            self.write_entry(name)
        stored = self.store._objects.get("config", {}).get("main")
        if stored is None or stored["spec"]["version"] != self.version:
            self.version -= 1
            self.change_configuration()

    def _expire(self):
        for name in sorted(self.store._objects.get("servers", {})):
            if name not in self.entries:
                self.store.delete("servers", name)

    def advance(self, by_ms):
        self.clock.advance(by_ms)
        due = [each for each in self.pending if each[0] <= self.clock.now_ms()]
        self.pending = [each for each in self.pending if each not in due]
        for _, act in due:
            act()

    # What the hosts do.

    def round(self, readers, by_ms=ROUND_MS):
        """Lets time pass, the given hosts read and all exchange."""
        self.advance(by_ms)
        reading = [
            host
            for host in (self.hosts[name] for name in readers)
            if host.is_running
        ]
        for host in self.hosts.values():
            if host not in reading:
                host.is_reading = False
        for host in reading:
            self.run(host.read())
        in_touch = self.connected()
        for host, peer in itertools.permutations(in_touch, 2):
            host.exchange_with(peer)
        is_read = any(host.is_reading for host in in_touch)
        for host in self.hosts.values():
            if host.is_running:
                host.maintain(host.is_reading or (is_read and host in in_touch))

    def total_share(self):
        return sum(host.roster.share_of(BURST) for host in self.hosts.values())
