"""Claims under lost replies, outages and rivals."""

import asyncio

import pytest

from greengagedale import clocks
from greengagedale.idempotency import claims
from greengagedale.idempotency import key_table
from greengagedale.idempotency import tickets
from greengagedale.store import base

KEY = key_table.ScopedKey("member-a", "family-7")
OWN = tickets.Issuer("entry-1", "ab")
RIVAL = tickets.Issuer("entry-2", "cd")
DOWN = base.Unavailable("down")
UNSURE = base.Unsure("no reply")


class FakeStore(base.ObjectStore):
    """Creates objects, and fails as the script says, one item a call."""

    def __init__(self):
        self.held = {}
        self.put_script = []
        self.get_script = []
        self.silent = False

    async def put(self, kind, name, value, expected_version):
        if self.silent:
            await asyncio.Event().wait()
        applied, reply = (self.put_script or [(True, None)]).pop(0)
        if name in self.held:
            return reply or base.Conflict()
        if applied:
            self.held[name] = value
        return reply or base.Written(1)

    async def get(self, kind, name):
        reply = (self.get_script or [None]).pop(0)
        if reply is not None:
            return reply
        if name not in self.held:
            return base.Missing()
        return base.Found(base.StoredObject(kind, name, 1, self.held[name]))

    async def delete(self, kind, name, expected_version):
        raise NotImplementedError

    async def names(self, kind):
        raise NotImplementedError

    async def watch(self, kind, cursor, wait_ms):
        raise NotImplementedError

    async def hosts(self):
        raise NotImplementedError

    async def close(self):
        pass


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def book(store):
    return claims.PlatformClaimRegistry(store, OWN, clocks.ManualClock())


@pytest.mark.parametrize("applied", [True, False])
async def test_lost_reply_is_resolved_by_the_token(store, book, applied):
    store.put_script = [(applied, UNSURE)]
    assert await book.claim(KEY, 1000) == claims.Owned()
    rival = claims.PlatformClaimRegistry(store, RIVAL, clocks.ManualClock())
    assert await rival.claim(KEY, 1000) == claims.OwnedByOther(OWN)


async def test_stale_read_after_a_conflict_is_not_taken_for_a_free_key(
    store, book
):
    rival = claims.PlatformClaimRegistry(store, RIVAL, clocks.ManualClock())
    assert await rival.claim(KEY, 1000) == claims.Owned()
    store.get_script = [base.Missing(), DOWN]
    assert await book.claim(KEY, 1000) == claims.OwnedByOther(RIVAL)


async def test_refused_create_leaves_no_claim(store, book):
    store.put_script = [(False, DOWN)]
    assert await book.claim(KEY, 1000) == claims.NotClaimed()
    assert store.held == {}


async def test_unresolved_claim_is_taken_up_by_the_next_call(store, book):
    store.put_script = [(True, UNSURE), (False, DOWN), (False, DOWN)]
    store.get_script = [DOWN, DOWN, DOWN]
    assert await book.claim(KEY, 1000) == claims.Unresolved()
    assert await book.claim(KEY, 1000) == claims.Owned()


async def test_own_claim_of_an_earlier_call_is_never_taken_again(book):
    assert await book.claim(KEY, 1000) == claims.Owned()
    assert await book.claim(KEY, 1000) == claims.OwnedByOther(OWN)


async def test_silent_platform_is_given_up_at_the_deadline(store, book):
    store.silent = True
    async with asyncio.timeout(5):
        assert await book.claim(KEY, 20) == claims.Unresolved()
    store.silent = False
    assert await book.claim(KEY, 1000) == claims.Owned()
