"""Tests of reading the store: its calls, and the state after outages."""

import asyncio
import collections
import contextlib

from gateway_scripts import at
from gateway_scripts import freshness_of
from gateway_scripts import host_state
from gateway_scripts import single
from gateway_scripts import upstream
import pytest

from greengagedale import clocks
from greengagedale.gateway import evacuations
from greengagedale.gateway import fleet as fleet_lib
from greengagedale.gateway import metrics
from greengagedale.gateway import reader_election as election_lib
from greengagedale.gateway import registry as registry_lib
from greengagedale.gateway import roster as roster_lib
from greengagedale.gateway import route_config
from greengagedale.gateway import store_api as store_api_lib
from greengagedale.gateway import store_reader as store_reader_lib
from greengagedale.http1 import server


class ScriptedStore(store_api_lib.StoreApi):
    """A store with scripted answers."""

    def __init__(self):
        self.is_up = True
        self.routes = route_config.RouteConfiguration(
            1, (single(),), (), server.Limits()
        )
        self.upstreams = [upstream("a"), upstream("b")]
        self.revision = 5
        self.changes = asyncio.Queue()
        self.roster = roster_lib.EMPTY_HOST_LIST
        self.evacuated = ()
        self.evacuation_changes = asyncio.Queue()
        self.calls = collections.Counter()

    def _count(self, name):
        self.calls[name] += 1
        return None if self.is_up else store_api_lib.Unavailable("down")

    async def list_upstreams(self, allow_stale=False):
        return self._count(
            "copy" if allow_stale else "list"
        ) or store_api_lib.UpstreamsListed(self.upstreams, at(self.revision))

    async def watch_upstreams(self, revision, wait_ms):
        failure = self._count("watch")
        if failure is not None:
            return failure
        found = [await self.changes.get()]
        while not self.changes.empty():
            found.append(self.changes.get_nowait())
        self.revision += len(found)
        return store_api_lib.UpstreamsChanged(found, at(self.revision))

    async def read_routes(self, allow_stale=False):
        return self._count(
            "copy" if allow_stale else "routes"
        ) or store_api_lib.RoutesRead(self.routes, at(self.revision))

    async def watch_routes(self, revision, wait_ms):
        failure = self._count("watch")
        if failure is None:
            await asyncio.Event().wait()
        return failure

    async def read_roster(self):
        return self._count("read_roster") or self.roster

    async def write_roster(self, host_list):
        failure = self._count("write_roster")
        if failure is None and host_list.revision != self.roster.revision:
            failure = store_api_lib.Unavailable("replaced meanwhile")
        if failure is None:
            self.roster = host_list._replace(
                revision=at(self.roster.revision.revision + 1)
            )
        return failure or self.roster

    async def read_evacuations(self, allow_stale=False):
        kind = "copy of evacuations" if allow_stale else "evacuations"
        return self._count(kind) or evacuations.EvacuationList(
            at(self.revision), self.evacuated
        )

    async def watch_evacuations(self, known, wait_ms):
        failure = self._count("watch evacuations")
        if failure is not None:
            return failure
        self.evacuated = await self.evacuation_changes.get()
        self.revision += 1
        return evacuations.EvacuationList(at(self.revision), self.evacuated)

    async def ping(self):
        return self._count("pulse")

    async def close(self):
        pass


@pytest.fixture
def short_intervals(monkeypatch):
    monkeypatch.setattr(store_reader_lib, "PING_INTERVAL_MS", 20.0)
    monkeypatch.setattr(store_reader_lib, "_ELECTION_INTERVAL_MS", 5.0)
    monkeypatch.setattr(store_reader_lib, "_MIN_BACKOFF_MS", 10.0)
    monkeypatch.setattr(store_reader_lib, "CHANGE_BATCH_MS", 50.0)
    monkeypatch.setattr(store_reader_lib, "ROSTER_RETRY_MS", 30.0)


def alive_hosts(*names):
    """Returns live hosts that use the newest host list."""
    return dict.fromkeys(names, at(99))


class Bench:
    def __init__(self, has_evacuations=False, bound_ms=None):
        self.clock = clocks.MonotonicClock()
        self.freshness = freshness_of(self.clock, bound_ms)
        self.store = ScriptedStore()
        self.registry = registry_lib.Registry(self.clock)
        self.fleet = fleet_lib.Fleet("m", self.clock)
        election = election_lib.ReaderElection(self.fleet, "m", [], self.clock)
        self.roster = roster_lib.Roster("m", self.clock)
        self.alive = alive_hosts("m")
        self.evacuations = evacuations.Evacuations(metrics.Metrics())
        self.reader = store_reader_lib.StoreReader(
            self.store,
            self.registry,
            election,
            self.roster,
            self.freshness,
            lambda: self.alive,
            lambda: None,
            self.clock,
            self.evacuations if has_evacuations else None,
        )

    def names(self):
        return sorted(self.registry.upstreams)


@contextlib.asynccontextmanager
async def reading(bench):
    task = asyncio.create_task(bench.reader.run())
    try:
        yield
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


@pytest.fixture
async def bench(short_intervals):
    new_bench = Bench()
    async with reading(new_bench):
        await wait_until(lambda: new_bench.store.calls["watch"] == 2)
        yield new_bench


async def wait_until(condition):
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.002)


async def test_burst_of_changes_is_read_with_few_calls(bench):
    for index in range(20):
        entry = upstream(f"c{index}")
        bench.store.changes.put_nowait(
            store_api_lib.UpstreamChange(entry.name, entry)
        )
        await asyncio.sleep(0.002)
    await wait_until(lambda: len(bench.names()) == 22)
    # The first change ends the waiting watch; the others arrive while the
    # reader waits for more changes.
    assert bench.store.calls["watch"] <= 5


async def test_failed_ping_restarts_the_watches(bench):
    bench.store.is_up = False
    await wait_until(lambda: bench.store.calls["routes"] >= 2)
    assert bench.reader.read_age_ms > 0.0
    bench.store.is_up = True
    await wait_until(lambda: bench.store.calls["watch"] == 4)


async def test_entries_expired_in_an_outage_are_kept_after_it(bench):
    bench.store.is_up = False
    await wait_until(lambda: bench.store.calls["routes"] >= 2)
    # The last failed call was long before the store came back.
    bench.registry._grace_until_ms = float("-inf")
    bench.store.is_up = True
    watches = bench.store.calls["watch"]
    await wait_until(lambda: bench.store.calls["watch"] > watches)
    removal = store_api_lib.UpstreamChange("a", None)
    bench.store.changes.put_nowait(removal)
    await wait_until(bench.store.changes.empty)
    await asyncio.sleep(0.02)
    assert bench.names() == ["a", "b"]


async def test_host_stops_reading_when_another_reads_successfully(bench):
    bench.fleet.observe(host_state("a", read_age_ms=0.0))
    await wait_until(lambda: bench.reader.read_age_ms < 0.0)
    calls = bench.store.calls.total()
    await asyncio.sleep(0.1)
    assert bench.store.calls.total() == calls


async def test_store_without_a_configuration_counts_as_reachable(
    short_intervals,
):
    new_bench = Bench()
    new_bench.store.routes = None
    task = asyncio.create_task(new_bench.reader.run())
    await wait_until(lambda: bool(new_bench.names()))
    assert 0.0 <= new_bench.reader.read_age_ms < fleet_lib.READER_STALE_MS
    task.cancel()


def test_backoff_grows_with_the_number_of_failing_readers():
    new_bench = Bench()
    alone_ms = new_bench.reader._max_backoff_ms()
    for index in range(16):
        new_bench.fleet.observe(host_state(f"h{index}", read_age_ms=1e9))
    assert new_bench.reader._max_backoff_ms() == 4.0 * alone_ms


@contextlib.asynccontextmanager
async def running(new_bench):
    task = asyncio.create_task(new_bench.reader.run())
    yield new_bench
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def test_reader_keeps_proving_the_configuration(
    short_intervals, monkeypatch
):
    monkeypatch.setattr(store_reader_lib, "PROOF_INTERVAL_MS", 60.0)
    async with running(Bench(bound_ms=5000.0)) as new_bench:
        await wait_until(lambda: new_bench.store.calls["routes"] >= 6)
        assert new_bench.freshness.age_ms < 200.0
        # Pings still detect a lost store between the reads.
        assert new_bench.store.calls["pulse"] >= 5


async def test_nothing_is_read_for_proofs_without_a_bound(
    short_intervals, monkeypatch
):
    monkeypatch.setattr(store_reader_lib, "PROOF_INTERVAL_MS", 10.0)
    async with running(Bench()) as new_bench:
        await wait_until(lambda: new_bench.store.calls["pulse"] >= 5)
        assert new_bench.store.calls["routes"] == 1
        assert new_bench.store.calls["copy"] == 2


async def test_host_starts_with_a_proof_while_another_host_reads(
    short_intervals,
):
    new_bench = Bench(bound_ms=5000.0)
    new_bench.fleet.observe(host_state("a", read_age_ms=0.0))
    async with running(new_bench):
        await wait_until(lambda: new_bench.registry.is_ready)
        assert new_bench.freshness.is_proven()
        assert new_bench.store.calls == {"copy": 1, "routes": 1}


async def test_unreadable_configuration_proves_nothing(short_intervals):
    new_bench = Bench(bound_ms=5000.0)
    new_bench.store.routes = None
    async with running(new_bench):
        await wait_until(lambda: new_bench.store.calls["watch"] >= 1)
        assert not new_bench.freshness.is_proven()


async def test_older_configuration_of_the_store_proves_nothing(
    short_intervals,
):
    new_bench = Bench(bound_ms=5000.0)
    new_bench.registry.apply_routes(
        new_bench.store.routes._replace(version=2), at(9)
    )
    async with running(new_bench):
        await wait_until(lambda: new_bench.store.calls["watch"] >= 1)
        assert not new_bench.freshness.is_proven()


def test_reads_of_a_new_epoch_prove_nothing_for_a_while():
    new_bench = Bench(bound_ms=5000.0)
    routes = new_bench.store.routes
    for epoch in (1, 2):
        read = store_api_lib.RoutesRead(routes, at(1, epoch))
        new_bench.reader.take_routes(read, new_bench.clock.now_ms() - epoch)
    assert new_bench.freshness.is_proven()
    # The proof is still that of the earlier epoch.
    proof = new_bench.freshness.proof(routes.version)
    new_bench.reader.take_routes(read, new_bench.clock.now_ms() + 100.0)
    assert new_bench.freshness.proof(routes.version).age_ms >= proof.age_ms


async def test_stale_copies_are_replaced_by_any_current_list(short_intervals):
    new_bench = Bench()
    new_bench.fleet.observe(host_state("a", read_age_ms=0.0))
    task = asyncio.create_task(new_bench.reader.run())
    await wait_until(lambda: new_bench.registry.is_ready)
    assert new_bench.store.calls == {"copy": 2}
    # Stale copies are stored at revision 0, so any list read later is newer.
    assert new_bench.registry.version.revision == at(0)
    assert new_bench.registry.replace_if_newer(
        [upstream("c")], registry_lib.UpstreamsVersion(at(1), 0)
    )
    assert new_bench.names() == ["c"]
    task.cancel()


async def test_stale_copies_do_not_replace_data_of_peers(short_intervals):
    new_bench = Bench()
    new_bench.registry.replace_if_newer(
        [upstream("c")], registry_lib.UpstreamsVersion(at(9), 0)
    )
    new_bench.registry.apply_routes(
        new_bench.store.routes._replace(version=2), at(9)
    )
    new_bench.fleet.observe(host_state("a", read_age_ms=0.0))
    task = asyncio.create_task(new_bench.reader.run())
    await wait_until(lambda: new_bench.store.calls["copy"] == 2)
    await asyncio.sleep(0.01)
    assert new_bench.names() == ["c"]
    assert new_bench.registry.routes_version == 2
    task.cancel()


async def test_live_hosts_are_listed_with_few_calls(bench):
    await wait_until(lambda: bench.store.roster.hosts == ("m",))
    bench.alive = alive_hosts("m", "a", "b")
    await wait_until(lambda: bench.roster.host_list.hosts == ("a", "b", "m"))
    await asyncio.sleep(0.1)
    assert bench.store.calls["read_roster"] == 1
    # The first list, the longer list, and full shares for the added hosts.
    assert bench.store.calls["write_roster"] == 3


async def test_host_list_is_read_again_after_a_conflict(bench):
    await wait_until(lambda: bench.store.roster.hosts == ("m",))
    bench.store.roster = roster_lib.HostList(at(9), ("m", "z"))
    bench.alive = alive_hosts("m", "a")
    await wait_until(lambda: bench.roster.host_list.hosts == ("a", "m", "z"))
    assert bench.roster.host_list.revision == at(10)


async def test_missing_host_list_is_written_again(bench):
    await wait_until(lambda: bench.store.roster.hosts == ("m",))
    bench.store.roster = roster_lib.EMPTY_HOST_LIST
    bench.alive = alive_hosts("m", "a")
    await wait_until(lambda: bench.store.roster.hosts == ("a", "m"))


# Guards against a host that keeps stale data, or a process that ends, because
# of one change that can't be applied.
async def test_reading_continues_after_an_unexpected_error(bench, monkeypatch):
    apply_changes = bench.registry.apply_changes
    failed = []

    def fail_once(changed):
        if not failed:
            failed.append(changed)
            raise KeyError("a fault")
        apply_changes(changed)

    monkeypatch.setattr(bench.registry, "apply_changes", fail_once)
    entry = upstream("c")
    bench.store.upstreams.append(entry)
    bench.store.changes.put_nowait(store_api_lib.UpstreamChange("c", entry))
    await wait_until(lambda: bench.names() == ["a", "b", "c"])
    assert bench.store.calls["list"] >= 1


# Regression of DRAIN (atcu-search, day store-turns-hosts-away): the store
# refused other hosts and served this one. An upstream that had left went on
# getting requests for 3.7 s, as its entry was considered expired.
async def test_entry_removed_while_the_store_refused_other_hosts_is_dropped(
    short_intervals,
):
    new_bench = Bench()
    new_bench.registry.apply_list(
        store_api_lib.UpstreamsListed(
            [upstream("gone"), *new_bench.store.upstreams], at(4)
        )
    )
    for name in ("h1", "h2"):
        new_bench.fleet.observe(host_state(name, read_age_ms=1e9))
    new_bench.store.changes.put_nowait(
        store_api_lib.UpstreamChange("gone", None)
    )
    task = asyncio.create_task(new_bench.reader.run())
    await wait_until(lambda: new_bench.store.calls["watch"] >= 2)
    await asyncio.sleep(0.02)
    in_use = [entry.name for entry in new_bench.registry.upstreams_of("s")]
    assert sorted(in_use) == ["a", "b"]
    task.cancel()


async def test_reader_follows_evacuations_and_keeps_them_in_an_outage(
    short_intervals,
):
    bench = Bench(has_evacuations=True)
    async with reading(bench):
        await wait_until(lambda: bench.store.calls["watch evacuations"])
        bench.store.evacuation_changes.put_nowait(("north",))
        await wait_until(lambda: bench.evacuations.list.data_centres)
        bench.store.is_up = False
        await wait_until(lambda: bench.store.calls["routes"] >= 2)
        assert bench.evacuations.list.data_centres == ("north",)
        bench.store.is_up = True
        bench.store.evacuation_changes.put_nowait(())
        await wait_until(lambda: not bench.evacuations.list.data_centres)


async def test_deployment_without_evacuations_makes_no_further_calls(
    short_intervals,
):
    bench = Bench()
    async with reading(bench):
        await wait_until(lambda: bench.store.calls["watch"] == 2)
        await asyncio.sleep(0.05)
    assert not [name for name in bench.store.calls if "evacuations" in name]
