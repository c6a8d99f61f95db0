"""Hosts that learn configuration from the platform and from each other."""

import asyncio
import contextlib
import random

from catalog import test_edits
import pytest
import stores

from greengagedale import clocks
from greengagedale import configuration
from greengagedale import configuration_metrics
from greengagedale import configuration_sync
from greengagedale import metrics
from greengagedale.catalog import catalogs
from greengagedale.catalog import services
from greengagedale.membership import messages
from greengagedale.peers import base as peers_base

SERVICE = b'{"upstreams": [], "maps": []}'
PEER = "127.0.0.2:1"


class Host:
    """A host's holder, what it hears of others, and its follower."""

    def __init__(self, store, others=()):
        self.clock = clocks.ManualClock()
        self.active_configuration = configuration.ActiveConfiguration(
            self.clock
        )
        self.metrics = configuration_metrics.ConfigurationMetrics(
            metrics.Metrics().registry
        )
        self.heard = {}
        self.others = {f"127.0.0.2:{i}": o for i, o in enumerate(others, 1)}
        self._follower = configuration_sync.ConfigurationFollower(
            store,
            self,
            self.active_configuration,
            lambda: self.heard,
            list(self.others),
            1,
            random.Random(0),
            self.metrics,
        )

    @contextlib.asynccontextmanager
    async def following(self):
        task = asyncio.create_task(self._follower.run())
        try:
            yield self
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def catalog(self, endpoint, known_revision):
        active_configuration = self.others[endpoint].active_configuration
        current = active_configuration.current
        if not active_configuration.configuration_known:
            return None
        unknown = current.revision != known_revision
        return peers_base.SharedCatalog(
            current.revision,
            current.encoded.catalog if unknown else b"",
            active_configuration.age_ms(),
        )

    async def documents(self, endpoint, names):
        return self.others[endpoint].active_configuration.documents_for_message(
            names[:1]
        )

    async def services(self, endpoint, known):
        active_configuration = self.others[endpoint].active_configuration
        return (
            active_configuration.newer_services(known)
            if active_configuration.services_known
            else None
        )

    def hear(self, revision):
        """Takes in a heartbeat of the first other host."""
        self.heard[PEER] = messages.PeerStatus(
            "entry-2", "dc-a", "i", "127.0.0.2:2", revision, True, False, 0
        )


async def until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.fixture
def store():
    made = stores.FaultyStore()
    made.seed(services.KIND_SERVICE, "places", SERVICE)
    return made


@pytest.fixture
def states():
    """Configurations at revisions 1 to 3."""
    first = test_edits.after(catalogs.EMPTY, template=test_edits.template())
    second = test_edits.after(first, workspace=test_edits.workspace())
    third = test_edits.after(second, workspace=test_edits.workspace("v"))
    return [first, second, third]


def publish(store, state):
    for name, value in state.encoded.documents.items():
        store.seed(catalogs.KIND_DOCUMENT, name, value)
    store.seed(
        catalogs.KIND_CATALOG, catalogs.CATALOG_NAME, state.encoded.catalog
    )


async def test_host_follows_the_platform_and_knows_its_age(store, states):
    host = Host(store)
    async with host.following():
        await until(lambda: host.active_configuration.loaded)
        assert host.active_configuration.current.revision == 0
        publish(store, states[1])
        await until(lambda: host.active_configuration.current.revision == 2)
        await until(lambda: host.active_configuration.age_ms() == 0)
        store.down = True
        await until(lambda: store.calls[-1] == "names")
        host.clock.advance(500)
        assert host.active_configuration.age_ms() == 500


async def test_fresh_host_in_an_outage_learns_from_others(store, states):
    publish(store, states[2])
    first = Host(store)
    async with first.following():
        await until(
            lambda: (
                first.active_configuration.loaded
                and first.active_configuration.age_ms() == 0
            )
        )
    store.down = True
    first.clock.advance(40)
    fresh = Host(store, others=[first])
    async with fresh.following():
        await until(lambda: fresh.active_configuration.loaded)
    assert (
        fresh.active_configuration.current == first.active_configuration.current
    )
    assert fresh.active_configuration.age_ms() == 40
    assert (
        fresh.active_configuration.services
        == first.active_configuration.services
    )


async def test_host_that_knows_nothing_is_not_ready(store, states):
    ignorant = Host(store)
    store.down = True
    fresh = Host(store, others=[ignorant])
    async with fresh.following():
        await until(lambda: store.calls.count("names") >= 2)
        assert not fresh.active_configuration.loaded
        assert fresh.active_configuration.age_ms() is None
        store.down = False
        await until(lambda: fresh.active_configuration.loaded)


async def test_catalog_whose_documents_are_missing_makes_no_host_ready(
    store, states
):
    publish(store, states[0]._replace(encoded=states[1].encoded))
    lost = states[1].catalog["workspaces"]["w"]
    stored = (await store.get(catalogs.KIND_DOCUMENT, lost)).stored
    await store.delete(catalogs.KIND_DOCUMENT, lost, stored.version)
    host = Host(store)
    async with host.following():
        rejected = host.metrics.rejected.labels("incomplete")
        await until(lambda: rejected._value.get() >= 2)
        assert not host.active_configuration.loaded
        store.seed(catalogs.KIND_DOCUMENT, lost, stored.value)
        await until(lambda: host.active_configuration.loaded)
    assert host.active_configuration.current.revision == 2


@pytest.mark.parametrize("value", [b"{", b"{}", b'{"revision": 9}'])
async def test_unreadable_catalog_leaves_the_old_one_in_force(
    store, states, value
):
    publish(store, states[0])
    host = Host(store)
    async with host.following():
        await until(lambda: host.active_configuration.current.revision == 1)
        store.seed(catalogs.KIND_CATALOG, catalogs.CATALOG_NAME, value)
        rejected = host.metrics.rejected.labels("unreadable")
        await until(lambda: rejected._value.get() >= 1)
        assert host.active_configuration.current.revision == 1
        publish(store, states[2])
        await until(lambda: host.active_configuration.current.revision == 3)
    fresh_store = stores.FaultyStore()
    fresh_store.seed(catalogs.KIND_CATALOG, catalogs.CATALOG_NAME, value)
    fresh = Host(fresh_store)
    async with fresh.following():
        rejected = fresh.metrics.rejected.labels("unreadable")
        await until(lambda: rejected._value.get() >= 1)
        await until(lambda: fresh.active_configuration.services_known)
        assert not fresh.active_configuration.loaded


async def test_silent_watch_is_made_up_for_by_a_read(store, states):
    publish(store, states[0])
    host = Host(store)
    store.silent = True
    async with host.following():
        await until(lambda: host.active_configuration.current.revision == 1)
        publish(store, states[1])
        await until(lambda: host.active_configuration.current.revision == 2)


async def test_revision_heard_from_another_host_is_fetched_from_it(
    store, states
):
    publish(store, states[0])
    other = Host(store)
    host = Host(store, others=[other])
    async with host.following():
        await until(lambda: host.active_configuration.current.revision == 1)
        store.down = True
        other.active_configuration.configuration_known = True
        other.active_configuration.apply_if_newer(states[2])
        host.hear(3)
        await until(lambda: host.active_configuration.current.revision == 3)
        assert host.active_configuration.current == states[2]


async def test_stale_platform_takes_no_restarted_host_back(store, states):
    publish(store, states[0])
    publish(store, states[2])
    store.stale_share = 1.0
    store.silent = True
    first = Host(store)
    first.active_configuration.configuration_known = (
        first.active_configuration.services_known
    ) = True
    first.active_configuration.apply_if_newer(states[2])
    fresh = Host(store, others=[first])
    seen = []
    async with fresh.following():
        await until(lambda: fresh.active_configuration.loaded)
        seen.append(fresh.active_configuration.current.revision)
        await until(lambda: store.calls.count("watch") > 4)
        seen.append(fresh.active_configuration.current.revision)
    assert seen == [3, 3]


async def test_unexpected_error_does_not_end_the_following(
    store, states, monkeypatch
):
    monkeypatch.setattr(configuration_sync, "_MAX_BACKOFF_S", 0.01)
    watch = store.watch

    async def fail_once(*arguments):
        monkeypatch.setattr(store, "watch", watch)
        raise RuntimeError("broken")

    monkeypatch.setattr(store, "watch", fail_once)
    publish(store, states[1])
    host = Host(store)
    async with host.following():
        await until(lambda: host.active_configuration.loaded)
    assert host.active_configuration.current.revision == 2
    assert host.metrics.rejected.labels("internal")._value.get() == 1
