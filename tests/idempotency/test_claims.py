"""Claims under lost replies, outages and concurrent hosts."""

import asyncio

import pytest

from greengagedale import clocks
from greengagedale.idempotency import claims
from greengagedale.idempotency import key_table
from greengagedale.idempotency import tickets
from greengagedale.store import base

KEY = key_table.ScopedKey("member-a", "family-7")
OWN = tickets.Issuer("entry-1", "ab")
OTHER = tickets.Issuer("entry-2", "cd")
UNAVAILABLE = base.Unavailable("down")
OUTCOME_UNKNOWN = base.WriteOutcomeUnknown("no reply")


class FakeStore(base.ObjectStore):
    """Stores objects; fails as scripted, with one script item per call."""

    def __init__(self):
        self.objects = {}
        self.put_script = []
        self.get_script = []
        self.silent = False

    async def put(self, kind, name, value, expected_version):
        if self.silent:
            await asyncio.Event().wait()
        applied, reply = (self.put_script or [(True, None)]).pop(0)
        if name in self.objects:
            return reply or base.Conflict()
        if applied:
            self.objects[name] = value
        return reply or base.Written(1)

    async def get(self, kind, name):
        reply = (self.get_script or [None]).pop(0)
        if reply is not None:
            return reply
        if name not in self.objects:
            return base.NotFound()
        return base.Found(base.StoredObject(kind, name, 1, self.objects[name]))

    async def delete(self, kind, name, expected_version):
        raise NotImplementedError

    async def list_names(self, kind):
        raise NotImplementedError

    async def watch(self, kind, cursor, wait_ms):
        raise NotImplementedError

    async def list_hosts(self):
        raise NotImplementedError

    async def close(self):
        pass


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def registry(store):
    return claims.PlatformClaimRegistry(store, OWN, clocks.ManualClock())


@pytest.mark.parametrize("applied", [True, False])
async def test_lost_reply_is_resolved_by_the_token(store, registry, applied):
    store.put_script = [(applied, OUTCOME_UNKNOWN)]
    assert await registry.claim(KEY, 1000) == claims.Owned()
    other_registry = claims.PlatformClaimRegistry(
        store, OTHER, clocks.ManualClock()
    )
    assert await other_registry.claim(KEY, 1000) == claims.OwnedByOther(OWN)


async def test_stale_read_after_a_conflict_does_not_free_the_key(
    store, registry
):
    other_registry = claims.PlatformClaimRegistry(
        store, OTHER, clocks.ManualClock()
    )
    assert await other_registry.claim(KEY, 1000) == claims.Owned()
    store.get_script = [base.NotFound(), UNAVAILABLE]
    assert await registry.claim(KEY, 1000) == claims.OwnedByOther(OTHER)


async def test_unavailable_platform_leaves_no_claim(store, registry):
    store.put_script = [(False, UNAVAILABLE)]
    assert await registry.claim(KEY, 1000) == claims.NotClaimed()
    assert store.objects == {}


async def test_unresolved_claim_is_resolved_by_the_next_call(store, registry):
    store.put_script = [
        (True, OUTCOME_UNKNOWN),
        (False, UNAVAILABLE),
        (False, UNAVAILABLE),
    ]
    store.get_script = [UNAVAILABLE, UNAVAILABLE, UNAVAILABLE]
    assert await registry.claim(KEY, 1000) == claims.Unresolved()
    assert await registry.claim(KEY, 1000) == claims.Owned()


async def test_claim_of_an_earlier_call_is_not_owned_again(registry):
    assert await registry.claim(KEY, 1000) == claims.Owned()
    assert await registry.claim(KEY, 1000) == claims.OwnedByOther(OWN)


async def test_claim_is_unresolved_if_the_platform_is_silent_until_the_deadline(
    store, registry
):
    store.silent = True
    async with asyncio.timeout(5):
        assert await registry.claim(KEY, 20) == claims.Unresolved()
    store.silent = False
    assert await registry.claim(KEY, 1000) == claims.Owned()
