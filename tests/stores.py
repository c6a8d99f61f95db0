"""An in-memory object store with injected faults."""

import asyncio
import itertools
import random

from greengagedale.catalog import catalogs
from greengagedale.store import base


class FaultyStore(base.ObjectStore):
    """An object store that injects faults into a share of its calls.

    Attributes:
        down: Whether every call fails.
        lost_reply_share: Share of writes without a reply; half of them take
            effect, some of these late.
        false_conflict_share: Share of writes that take effect but are
            reported as conflicts.
        stale_read_share: Share of reads that return the version before the
            newest.
        catalogs: Every catalog that was stored.
        documents: Every document that was ever stored.
        watch_down: Whether watches fail while reads are answered.
    """

    def __init__(self, seed=0):
        self._rng = random.Random(seed)
        self._versions = itertools.count(1)
        self._objects = {}
        self._older = {}
        self._late = set()
        self.down = False
        self.watch_down = False
        self.lost_reply_share = 0.0
        self.false_conflict_share = 0.0
        self.stale_read_share = 0.0
        self.catalogs = []
        self.documents = {}
        self.calls = []

    async def get(self, kind, name):
        await self._record_call("get")
        if self.down:
            return base.Unavailable("down")
        stored = self._objects.get((kind, name))
        if self._rng.random() < self.stale_read_share:
            stored = self._older.get((kind, name), stored)
        return base.NotFound() if stored is None else base.Found(stored)

    async def put(self, kind, name, value, expected_version):
        return await self._write(kind, name, value, expected_version)

    async def delete(self, kind, name, expected_version):
        return await self._write(kind, name, None, expected_version)

    async def list_names(self, kind):
        await self._record_call("names")
        if self.down:
            return base.Unavailable("down")
        return [
            name for stored_kind, name in self._objects if stored_kind == kind
        ]

    async def watch(self, kind, cursor, wait_ms):
        await self._record_call("watch")
        if self.down or self.watch_down:
            await asyncio.sleep(0.001)
            return base.Unavailable("down")
        found = [
            stored
            for (stored_kind, _), stored in self._objects.items()
            if stored_kind == kind and stored.version > cursor
        ]
        await asyncio.sleep(0 if found else 0.001)
        newest = max([cursor, *(item.version for item in found)])
        return base.Changes(found, newest)

    async def list_hosts(self):
        return []

    async def close(self):
        await asyncio.gather(*self._late)

    def seed(self, kind, name, value):
        """Stores an object unconditionally."""
        stored = base.StoredObject(kind, name, next(self._versions), value)
        self._older[kind, name] = self._objects.get((kind, name), stored)
        self._objects[kind, name] = stored

    def newest(self):
        """Returns the stored catalog, decoded."""
        key = (catalogs.KIND_CATALOG, catalogs.CATALOG_NAME)
        return catalogs.decode_catalog(self._objects[key].value)

    def revision(self):
        """Returns the revision of the stored catalog, 0 if there is none."""
        key = (catalogs.KIND_CATALOG, catalogs.CATALOG_NAME)
        return self.newest()["revision"] if key in self._objects else 0

    async def _record_call(self, operation):
        self.calls.append(operation)
        for _ in range(self._rng.randrange(3)):
            await asyncio.sleep(0)

    async def _write(self, kind, name, value, expected_version):
        await self._record_call("put")
        if self.down:
            return base.WriteOutcomeUnknown("down")
        if self._rng.random() < self.lost_reply_share:
            self._write_without_reply(kind, name, value, expected_version)
            return base.WriteOutcomeUnknown("no reply")
        result = self._apply(kind, name, value, expected_version)
        reported_as_conflict = self._rng.random() < self.false_conflict_share
        return base.Conflict() if reported_as_conflict else result

    def _write_without_reply(self, *write):
        effect = self._rng.choice(["never", "never", "now", "late"])
        if effect == "now":
            self._apply(*write)
        if effect == "late":
            task = asyncio.create_task(self._apply_late(*write))
            self._late.add(task)
            task.add_done_callback(self._late.discard)

    async def _apply_late(self, *write):
        await asyncio.sleep(self._rng.uniform(0, 0.01))
        self._apply(*write)

    def _apply(self, kind, name, value, expected_version):
        stored = self._objects.get((kind, name))
        if (stored.version if stored else 0) != expected_version:
            return base.Conflict()
        if value is None:
            del self._objects[kind, name]
            return base.Written(next(self._versions))
        self.seed(kind, name, value)
        if kind == catalogs.KIND_CATALOG:
            self.catalogs.append(value)
            for document_name in catalogs.referenced_names(self.newest()):
                assert (catalogs.KIND_DOCUMENT, document_name) in self._objects
        else:
            self.documents[name] = value
        return base.Written(self._objects[kind, name].version)
