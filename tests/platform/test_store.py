"""Tests of the host list in the platform's store, against a stand-in store."""

from greengagedale.gateway import roster
from greengagedale.gateway import store_api
from greengagedale.gateway import store_revision


async def test_host_list_is_created_read_and_replaced(store):
    assert await store.read_roster() == roster.EMPTY_HOST_LIST
    created = await store.write_roster(
        roster.HostList(store_revision.NO_REVISION, ("a",))
    )
    assert created.hosts == ("a",)
    replaced = await store.write_roster(created._replace(hosts=("a", "b")))
    assert replaced.revision > created.revision
    assert await store.read_roster() == replaced


async def test_concurrently_changed_host_list_is_not_replaced(store):
    created = await store.write_roster(
        roster.HostList(store_revision.NO_REVISION, ("a",))
    )
    newer = await store.write_roster(created._replace(hosts=("b",)))
    for old in (created, roster.EMPTY_HOST_LIST):
        refused = await store.write_roster(old._replace(hosts=("c",)))
        assert isinstance(refused, store_api.Unavailable)
    assert await store.read_roster() == newer


async def test_invalid_host_list_is_reported_as_unavailable(store, users):
    users.put("fleet", "hosts", {"hosts": 7})
    assert isinstance(await store.read_roster(), store_api.Unavailable)


async def test_busy_store_is_reported_as_unavailable(store, users):
    users.mode = "busy"
    host_list = roster.HostList(store_revision.NO_REVISION, ("a",))
    assert isinstance(await store.read_roster(), store_api.Unavailable)
    assert isinstance(
        await store.write_roster(host_list), store_api.Unavailable
    )


async def test_evacuations_are_read_and_followed(store, users):
    empty = await store.read_evacuations()
    assert empty.data_centres == ()
    users.put("evacuations", "north", {})
    users.put("servers", "i-1", {})
    users.put("evacuations", "south", {})
    began = await store.watch_evacuations(empty, 100)
    assert began == ((0, users.revision), ("north", "south"))
    users.delete("evacuations", "south")
    ended = await store.watch_evacuations(began, 100)
    assert ended.data_centres == ("north",)
    assert await store.read_evacuations() == ended
    users.mode = "gone"
    gone = await store.watch_evacuations(ended, 100)
    assert isinstance(gone, store_api.HistoryGone)


async def test_many_evacuations_are_read_page_by_page(store, users):
    for number in range(120):
        users.put("evacuations", f"dc-{number:03}", {})
    assert len((await store.read_evacuations()).data_centres) == 120
