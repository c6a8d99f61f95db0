"""The list of hosts in the platform's store, over a stand-in of it."""

import pytest

from greengagedale.gateway import metrics
from greengagedale.gateway import roster
from greengagedale.gateway import store_api
from greengagedale.platform import store as store_lib
from standins import users_site
from standins import users_store


@pytest.fixture
async def users():
    made = users_store.UsersStore()
    made.port = users_site.free_port()
    await made.start("127.0.0.1", made.port)
    yield made
    made.close()


@pytest.fixture
async def store(users):
    made = store_lib.PlatformStore.from_config(
        f"127.0.0.1:{users.port}", 500.0, metrics.Metrics()
    )
    yield made
    await made.close()


async def test_list_of_hosts_is_created_read_and_replaced(store):
    assert await store.read_roster() == roster.EMPTY_HOST_LIST
    created = await store.write_roster(roster.HostList(0, ("a",)))
    assert created.hosts == ("a",)
    replaced = await store.write_roster(created._replace(hosts=("a", "b")))
    assert replaced.revision > created.revision
    assert await store.read_roster() == replaced


async def test_list_that_changed_meanwhile_is_not_replaced(store):
    created = await store.write_roster(roster.HostList(0, ("a",)))
    newer = await store.write_roster(created._replace(hosts=("b",)))
    for old in (created, roster.EMPTY_HOST_LIST):
        refused = await store.write_roster(old._replace(hosts=("c",)))
        assert isinstance(refused, store_api.Unavailable)
    assert await store.read_roster() == newer


async def test_unreadable_list_is_told_as_such(store, users):
    users.put("fleet", "hosts", {"hosts": 7})
    assert isinstance(await store.read_roster(), store_api.Unavailable)


async def test_store_in_trouble_is_told_as_such(store, users):
    users.mode = "busy"
    wanted = roster.HostList(0, ("a",))
    assert isinstance(await store.read_roster(), store_api.Unavailable)
    assert isinstance(await store.write_roster(wanted), store_api.Unavailable)
