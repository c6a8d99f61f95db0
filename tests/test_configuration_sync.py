"""Hosts that fetch configuration from the platform and from each other."""

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
    """A host with its configuration, its follower and its view of peers."""

    def __init__(self, store, others=()):
        self.clock = clocks.ManualClock()
        self.active_configuration = configuration.ActiveConfiguration(
            self.clock
        )
        self.metrics = configuration_metrics.ConfigurationMetrics(
            metrics.Metrics().registry
        )
        self.peer_statuses = {}
        self.others = {f"127.0.0.2:{i}": o for i, o in enumerate(others, 1)}
        self._follower = configuration_sync.ConfigurationFollower(
            store,
            self,
            self.active_configuration,
            lambda: self.peer_statuses,
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

    def set_peer_revision(self, revision):
        """Sets the revision that the first other host reports."""
        self.peer_statuses[PEER] = messages.PeerStatus(
            "entry-2", "dc-a", "i", "127.0.0.2:2", revision, True, False, 0
        )


async def wait_until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.fixture
def store():
    faulty_store = stores.FaultyStore()
    faulty_store.seed(services.KIND_SERVICE, "places", SERVICE)
    return faulty_store


@pytest.fixture
def configurations():
    """Returns configurations at revisions 1 to 3."""
    first = test_edits.after(catalogs.EMPTY, template=test_edits.template())
    second = test_edits.after(first, workspace=test_edits.workspace())
    third = test_edits.after(second, workspace=test_edits.workspace("v"))
    return [first, second, third]


def publish(store, published):
    for name, value in published.encoded.documents.items():
        store.seed(catalogs.KIND_DOCUMENT, name, value)
    store.seed(
        catalogs.KIND_CATALOG, catalogs.CATALOG_NAME, published.encoded.catalog
    )


async def test_host_follows_the_platform_and_tracks_the_age(
    store, configurations
):
    host = Host(store)
    async with host.following():
        await wait_until(lambda: host.active_configuration.loaded)
        assert host.active_configuration.current.revision == 0
        publish(store, configurations[1])
        await wait_until(
            lambda: host.active_configuration.current.revision == 2
        )
        await wait_until(lambda: host.active_configuration.age_ms() == 0)
        store.down = True
        await wait_until(lambda: store.calls[-1] == "names")
        host.clock.advance(500)
        assert host.active_configuration.age_ms() == 500


async def test_new_host_fetches_from_peers_during_an_outage(
    store, configurations
):
    publish(store, configurations[2])
    first = Host(store)
    async with first.following():
        await wait_until(
            lambda: (
                first.active_configuration.loaded
                and first.active_configuration.age_ms() == 0
            )
        )
    store.down = True
    first.clock.advance(40)
    new_host = Host(store, others=[first])
    async with new_host.following():
        await wait_until(lambda: new_host.active_configuration.loaded)
    assert (
        new_host.active_configuration.current
        == first.active_configuration.current
    )
    assert new_host.active_configuration.age_ms() == 40
    assert (
        new_host.active_configuration.services
        == first.active_configuration.services
    )


async def test_host_without_configuration_is_not_ready(store, configurations):
    uninformed = Host(store)
    store.down = True
    new_host = Host(store, others=[uninformed])
    async with new_host.following():
        await wait_until(lambda: store.calls.count("names") >= 2)
        assert not new_host.active_configuration.loaded
        assert new_host.active_configuration.age_ms() is None
        store.down = False
        await wait_until(lambda: new_host.active_configuration.loaded)


async def test_host_is_not_ready_while_catalog_documents_are_missing(
    store, configurations
):
    publish(
        store, configurations[0]._replace(encoded=configurations[1].encoded)
    )
    missing_name = configurations[1].catalog["workspaces"]["w"]
    stored = (await store.get(catalogs.KIND_DOCUMENT, missing_name)).stored
    await store.delete(catalogs.KIND_DOCUMENT, missing_name, stored.version)
    host = Host(store)
    async with host.following():
        rejected = host.metrics.rejected.labels("incomplete")
        await wait_until(lambda: rejected._value.get() >= 2)
        assert not host.active_configuration.loaded
        store.seed(catalogs.KIND_DOCUMENT, missing_name, stored.value)
        await wait_until(lambda: host.active_configuration.loaded)
    assert host.active_configuration.current.revision == 2


@pytest.mark.parametrize("value", [b"{", b"{}", b'{"revision": 9}'])
async def test_unreadable_catalog_keeps_the_previous_one_active(
    store, configurations, value
):
    publish(store, configurations[0])
    host = Host(store)
    async with host.following():
        await wait_until(
            lambda: host.active_configuration.current.revision == 1
        )
        store.seed(catalogs.KIND_CATALOG, catalogs.CATALOG_NAME, value)
        rejected = host.metrics.rejected.labels("unreadable")
        await wait_until(lambda: rejected._value.get() >= 1)
        assert host.active_configuration.current.revision == 1
        publish(store, configurations[2])
        await wait_until(
            lambda: host.active_configuration.current.revision == 3
        )
    fresh_store = stores.FaultyStore()
    fresh_store.seed(catalogs.KIND_CATALOG, catalogs.CATALOG_NAME, value)
    new_host = Host(fresh_store)
    async with new_host.following():
        rejected = new_host.metrics.rejected.labels("unreadable")
        await wait_until(lambda: rejected._value.get() >= 1)
        await wait_until(lambda: new_host.active_configuration.services_known)
        assert not new_host.active_configuration.loaded


async def test_failing_watch_is_replaced_by_reads(store, configurations):
    publish(store, configurations[0])
    host = Host(store)
    store.watch_down = True
    async with host.following():
        await wait_until(
            lambda: host.active_configuration.current.revision == 1
        )
        publish(store, configurations[1])
        await wait_until(
            lambda: host.active_configuration.current.revision == 2
        )


async def test_newer_revision_of_a_peer_is_fetched_from_it(
    store, configurations
):
    publish(store, configurations[0])
    other = Host(store)
    host = Host(store, others=[other])
    async with host.following():
        await wait_until(
            lambda: host.active_configuration.current.revision == 1
        )
        store.down = True
        other.active_configuration.configuration_known = True
        other.active_configuration.apply_if_newer(configurations[2])
        host.set_peer_revision(3)
        await wait_until(
            lambda: host.active_configuration.current.revision == 3
        )
        assert host.active_configuration.current == configurations[2]


async def test_stale_platform_does_not_revert_a_restarted_host(
    store, configurations
):
    publish(store, configurations[0])
    publish(store, configurations[2])
    store.stale_read_share = 1.0
    store.watch_down = True
    first = Host(store)
    first.active_configuration.configuration_known = (
        first.active_configuration.services_known
    ) = True
    first.active_configuration.apply_if_newer(configurations[2])
    new_host = Host(store, others=[first])
    seen = []
    async with new_host.following():
        await wait_until(lambda: new_host.active_configuration.loaded)
        seen.append(new_host.active_configuration.current.revision)
        await wait_until(lambda: store.calls.count("watch") > 4)
        seen.append(new_host.active_configuration.current.revision)
    assert seen == [3, 3]


async def test_following_continues_after_an_unexpected_error(
    store, configurations, monkeypatch
):
    monkeypatch.setattr(configuration_sync, "_MAX_BACKOFF_S", 0.01)
    watch = store.watch

    async def fail_once(*arguments):
        monkeypatch.setattr(store, "watch", watch)
        raise RuntimeError("broken")

    monkeypatch.setattr(store, "watch", fail_once)
    publish(store, configurations[1])
    host = Host(store)
    async with host.following():
        await wait_until(lambda: host.active_configuration.loaded)
    assert host.active_configuration.current.revision == 2
    assert host.metrics.rejected.labels("internal")._value.get() == 1
