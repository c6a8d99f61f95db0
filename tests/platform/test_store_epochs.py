"""A store that comes back older, as stated by the platform, and its client."""

import asyncio

import pytest

from greengagedale.gateway import roster
from greengagedale.gateway import store_api
from greengagedale.gateway import store_revision
from standins import gateway_store

ENTRY = {
    "service": "s",
    "address": "127.0.0.1:1",
    "zone": "here",
    "slots": 2,
    "state": "ready",
    "born": 1,
    "sequence": 1,
}
NO_HOSTS = roster.HostList(store_revision.NO_REVISION, ())
# A copy of the moment before the drill.
DRILL = gateway_store.Drill(0.0, 0.0, rewrite_after_s=0.0, expire_after_s=0.0)


@pytest.fixture
def users(users):
    """The stand-in of a store that tells its era."""
    users.era = 1
    return users


def now_s(users):
    return users._clock.now_ms() / 1000.0


def at(epoch, revision):
    return store_revision.Revision(epoch, revision)


async def copy_then_lose(users, *changes):
    """Makes changes that a return from the copy before them undoes."""
    users.put("servers", "a", ENTRY)
    await asyncio.sleep(0.002)
    copied_s = now_s(users)
    await asyncio.sleep(0.002)
    for change in changes:
        change()
    return copied_s


async def test_returned_store_lacks_acknowledged_writes_of_all(users, store):
    copied_s = await copy_then_lose(
        users, lambda: users.put("servers", "b", ENTRY)
    )
    await store.write_roster(NO_HOSTS._replace(hosts=("m",)))
    before = users.revision
    users.restore(copied_s)
    assert users.revision == before - 2
    listed = await store.list_upstreams()
    assert [each.name for each in listed.upstreams] == ["a"]
    assert await store.read_roster() == roster.EMPTY_HOST_LIST
    assert users.lost == {"servers": {"b"}, "fleet": {"hosts"}}


async def test_revisions_are_given_out_again_in_a_later_epoch(users, store):
    copied_s = await copy_then_lose(
        users, lambda: users.put("servers", "b", ENTRY)
    )
    before = (await store.list_upstreams()).revision
    users.restore(copied_s)
    users.put("servers", "c", ENTRY)
    after = (await store.list_upstreams()).revision
    assert (before.revision, before.epoch) == (after.revision, 1)
    assert after > before
    assert not after.confirms(before)
    assert after.confirms(after)


async def test_only_operators_and_upstreams_write_again(users, store):
    copied_s = await copy_then_lose(
        users,
        lambda: users.put("servers", "b", ENTRY),
        lambda: users.delete("servers", "a"),
    )
    await store.write_roster(NO_HOSTS._replace(hosts=("m",)))
    users.restore(copied_s)
    await users.write_again(DRILL)
    listed = await store.list_upstreams()
    assert [(each.name, each.sequence) for each in listed.upstreams] == [
        ("b", 2)
    ]
    assert await store.read_roster() == roster.EMPTY_HOST_LIST


async def test_watch_from_a_missing_revision_is_gone(users, store):
    copied_s = await copy_then_lose(
        users, lambda: users.put("servers", "b", ENTRY)
    )
    revision = (await store.list_upstreams()).revision
    users.restore(copied_s)
    assert revision.revision > users.revision
    assert await store.watch_upstreams(revision, 1000) == (
        store_api.HistoryGone()
    )


# The same revision exists again, so the store itself sees nothing wrong.
@pytest.mark.parametrize("watch", ["watch_upstreams", "watch_routes"])
async def test_watch_from_a_revision_of_another_epoch_is_gone(
    users, store, watch
):
    copied_s = await copy_then_lose(
        users, lambda: users.put("servers", "b", ENTRY)
    )
    revision = (await store.list_upstreams()).revision
    users.restore(copied_s)
    for name in "cd":
        users.put("servers", name, ENTRY)
    assert await getattr(store, watch)(revision, 50) == store_api.HistoryGone()


async def test_watch_that_waits_through_the_return_is_gone(users, store):
    copied_s = await copy_then_lose(
        users, lambda: users.put("servers", "b", ENTRY)
    )
    revision = (await store.list_upstreams()).revision
    waiting = asyncio.create_task(store.watch_upstreams(revision, 2000))
    await asyncio.sleep(0.05)
    users.restore(copied_s)
    users.put("servers", "c", ENTRY)
    assert await waiting == store_api.HistoryGone()


async def test_late_answer_of_an_earlier_epoch_is_dropped(users, store):
    users.put("servers", "a", ENTRY)
    await store.list_upstreams()
    store.epoch = 2
    assert isinstance(await store.list_upstreams(), store_api.Unavailable)
    assert isinstance(
        await store.watch_upstreams(at(2, 1), 50), store_api.Unavailable
    )
    # Copies may be stale, and their revision is not used.
    listed = await store.list_upstreams(allow_stale=True)
    assert [each.name for each in listed.upstreams] == ["a"]


async def test_condition_that_holds_again_by_chance_is_detected(users, store):
    await store.ping()
    copied_s = await copy_then_lose(users)
    created = await store.write_roster(NO_HOSTS._replace(hosts=("m",)))
    users.restore(copied_s)
    # Another host's list gets the revision that this host expects.
    users.put("fleet", "hosts", {"hosts": ["z"], "epoch": 2}, True)
    result = await store.write_roster(created._replace(hosts=("m", "n")))
    assert isinstance(result, store_api.Unavailable)
    stored = await store.read_roster()
    assert stored.revision.epoch == 1
    assert stored.revision.epoch != store.epoch


async def test_cut_store_refuses_and_returns_in_the_next_epoch(users, store):
    users.put("servers", "a", ENTRY)
    drilling = asyncio.create_task(
        users.drill(DRILL._replace(away_s=0.2, copy_age_s=0.0))
    )
    await asyncio.sleep(0.1)
    assert isinstance(await store.list_upstreams(), store_api.Unavailable)
    await drilling
    assert (await store.list_upstreams()).revision.epoch == 2


async def test_store_that_answers_while_away_states_its_epoch(users, store):
    drilling = asyncio.create_task(
        users.drill(DRILL._replace(away_s=0.2, is_cut=False))
    )
    await asyncio.sleep(0.1)
    assert isinstance(await store.ping(), store_api.Unavailable)
    assert store.epoch == 1
    await drilling
    assert await store.ping() is None
    assert store.epoch == 2


async def test_store_without_epochs_is_read_and_written_as_ever(users, store):
    users.era = None
    users.put("servers", "a", ENTRY)
    assert (await store.list_upstreams()).revision == at(0, users.revision)
    await store.write_roster(NO_HOSTS._replace(hosts=("m",)))
    assert users._objects["fleet"]["hosts"]["spec"] == {
        "hosts": ["m"],
        "joining": [],
    }


@pytest.mark.parametrize("value", ["x", "-1", "9" * 40, ""])
async def test_invalid_epoch_counts_as_none(users, store, value):
    users.era = value
    assert await store.ping() is None
    assert store.epoch == 0
