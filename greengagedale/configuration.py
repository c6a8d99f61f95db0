"""Configuration in force on this host, and how changes are accepted."""

import asyncio
import dataclasses
import logging
from typing import ClassVar

import msgspec

from greengagedale import exceptions
from greengagedale.catalog import catalogs
from greengagedale.catalog import services
from greengagedale.platform import base as platform_base

log = logging.getLogger(__name__)

_RETRY_DELAY_S = 0.2
_MOST_TRIES = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in the catalog at this revision."""

    tag: ClassVar[str] = "accepted"
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotAccepted:
    """The change is not in the catalog and will not come into it."""

    tag: ClassVar[str] = "not_accepted"
    reason: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """Whether the change was accepted is unknown; ask with its id."""

    tag: ClassVar[str] = "unknown"
    change_id: str
    detail: str


ChangeResult = Accepted | NotAccepted | Undecided


class Holder:
    """What is in force on this host. Revisions only ever rise."""

    def __init__(self) -> None:
        self.current = catalogs.EMPTY
        self.services: dict[str, services.Service] = {}
        self.loaded = False

    def offer(self, offered: catalogs.Configuration) -> bool:
        """Puts a configuration in force if its revision is higher."""
        self.loaded = True
        if offered.revision <= self.current.revision:
            return False
        self.current = offered
        log.info("configuration in force", extra={"revision": offered.revision})
        return True

    def offer_service(self, offered: services.Service) -> bool:
        """Takes in a service if its version is higher."""
        held = self.services.get(offered.name)
        if held is not None and offered.version <= held.version:
            return False
        self.services[offered.name] = offered
        return True


class Reader:
    """Keeps a holder up to date from the platform."""

    def __init__(
        self, store: platform_base.ObjectStore, holder: Holder, wait_ms: int
    ) -> None:
        self._store = store
        self._holder = holder
        self._wait_ms = wait_ms
        self._documents: dict[str, bytes] = {}

    async def follow_catalog(self) -> None:
        """Watches the catalog until cancelled."""
        cursor = 0
        while True:
            changes = await self._store.watch(
                catalogs.KIND_CATALOG, cursor, self._wait_ms
            )
            if isinstance(changes, platform_base.Unavailable):
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            done = [await self._take(item) for item in changes.objects]
            self._holder.loaded = True
            if all(done):
                cursor = changes.cursor
            else:
                await asyncio.sleep(_RETRY_DELAY_S)

    async def follow_services(self) -> None:
        """Watches the services until cancelled."""
        cursor = 0
        while True:
            changes = await self._store.watch(
                services.KIND_SERVICE, cursor, self._wait_ms
            )
            if isinstance(changes, platform_base.Unavailable):
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            cursor = changes.cursor
            for item in changes.objects:
                self._take_service(item)

    async def load(self) -> catalogs.Configuration | None:
        """Reads the newest configuration; None if the platform is down."""
        found = await self._store.get(
            catalogs.KIND_CATALOG, catalogs.CATALOG_NAME
        )
        if isinstance(found, platform_base.Missing):
            return catalogs.EMPTY
        if isinstance(found, platform_base.Unavailable):
            return None
        return await self._rebuild(found.stored.value)

    async def _take(self, stored: platform_base.StoredObject) -> bool:
        rebuilt = await self._rebuild(stored.value)
        if rebuilt is None:
            return False
        self._holder.offer(rebuilt)
        return True

    async def _rebuild(self, value: bytes) -> catalogs.Configuration | None:
        catalog = catalogs.object_decoder.decode(value)
        wanted = catalogs.names_in(catalog)
        for name in wanted - self._documents.keys():
            found = await self._store.get(catalogs.KIND_DOCUMENT, name)
            if not isinstance(found, platform_base.Found):
                return None
            self._documents[name] = found.stored.value
        self._documents = {name: self._documents[name] for name in wanted}
        return catalogs.from_object(catalog, self._documents)

    def _take_service(self, stored: platform_base.StoredObject) -> None:
        try:
            service = services.from_object(
                stored.name, stored.version, stored.value
            )
        except msgspec.DecodeError as error:
            log.error("service %s can't be read: %s", stored.name, error)
            return
        self._holder.offer_service(service)


class Writer:
    """Gets changes accepted by the platform."""

    def __init__(
        self, store: platform_base.ObjectStore, reader: Reader, holder: Holder
    ) -> None:
        self._store = store
        self._reader = reader
        self._holder = holder

    async def accept(self, change: catalogs.Change) -> ChangeResult:
        """Applies a change to the newest catalog, however often it moves."""
        for _ in range(_MOST_TRIES):
            result = await self._try(change)
            if result is not None:
                return result
        return NotAccepted("conflict", "other changes kept coming; try again")

    async def _try(self, change: catalogs.Change) -> ChangeResult | None:
        found = await self._store.get(
            catalogs.KIND_CATALOG, catalogs.CATALOG_NAME
        )
        if isinstance(found, platform_base.Unavailable):
            return NotAccepted("platform_down", found.detail)
        current = await self._reader.load()
        if current is None:
            return NotAccepted("platform_down", "documents can't be read")
        known = catalogs.revision_of(current, change.change_id)
        if known is not None:
            return Accepted(known)
        version = (
            found.stored.version
            if isinstance(found, platform_base.Found)
            else 0
        )
        try:
            changed = catalogs.apply(current, change)
        except exceptions.InvalidInputError as error:
            return NotAccepted("invalid", str(error))
        return await self._store_all(change, changed, version)

    async def _store_all(
        self,
        change: catalogs.Change,
        changed: catalogs.Configuration,
        version: int,
    ) -> ChangeResult | None:
        catalog, blobs = catalogs.to_object(changed)
        for name, blob in blobs.items():
            written = await self._store.put(
                catalogs.KIND_DOCUMENT, name, blob, 0
            )
            if isinstance(
                written, platform_base.Unavailable | platform_base.Unsure
            ):
                return NotAccepted("platform_down", written.detail)
        written = await self._store.put(
            catalogs.KIND_CATALOG, catalogs.CATALOG_NAME, catalog, version
        )
        if isinstance(written, platform_base.Conflict):
            return None
        if isinstance(written, platform_base.Unavailable):
            return NotAccepted("platform_down", written.detail)
        if isinstance(written, platform_base.Unsure):
            return Undecided(change.change_id, written.detail)
        self._holder.offer(changed)
        return Accepted(changed.revision)
