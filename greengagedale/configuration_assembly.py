"""Builds a configuration from a catalog and the documents it refers to."""

import abc
import asyncio
import dataclasses

from greengagedale import configuration
from greengagedale import exceptions
from greengagedale.catalog import catalogs
from greengagedale.peers import base as peers_base
from greengagedale.store import base as store_base

_MAX_PARALLEL_READS = 32
_MAX_NAMES_PER_CALL = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """The objects are not a valid configuration; a retry does not help."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Incomplete:
    """Some documents are not available at present; a retry may help."""


class DocumentSource(abc.ABC):
    """A place to read documents from."""

    @abc.abstractmethod
    async def fetch(self, names: list[str]) -> dict[str, bytes]:
        """Returns the named documents that are available, by name."""


class PlatformSource(DocumentSource):
    """Reads documents from the platform."""

    def __init__(self, store: store_base.ObjectStore) -> None:
        self._store = store
        self._read_semaphore = asyncio.Semaphore(_MAX_PARALLEL_READS)

    async def fetch(self, names: list[str]) -> dict[str, bytes]:
        """Returns the named documents that are available, by name."""
        found = await asyncio.gather(*(self._get(name) for name in names))
        return {
            item.stored.name: item.stored.value
            for item in found
            if isinstance(item, store_base.Found)
        }

    async def _get(self, name: str) -> object:
        async with self._read_semaphore:
            return await self._store.get(catalogs.KIND_DOCUMENT, name)


class PeerSource(DocumentSource):
    """Reads documents from another host."""

    def __init__(self, peers: peers_base.PeerTransport, endpoint: str) -> None:
        self._peers = peers
        self._endpoint = endpoint

    async def fetch(self, names: list[str]) -> dict[str, bytes]:
        """Returns the named documents that are available, by name."""
        required = list(names)
        documents_by_name: dict[str, bytes] = {}
        while required:
            found = await self._peers.documents(
                self._endpoint, required[:_MAX_NAMES_PER_CALL]
            )
            if not found:
                return documents_by_name
            documents_by_name.update(found)
            required = [
                name for name in required if name not in documents_by_name
            ]
        return documents_by_name


class Assembler:
    """Builds configurations, reusing documents of the active one."""

    def __init__(
        self, active_configuration: configuration.ActiveConfiguration
    ) -> None:
        self._active_configuration = active_configuration

    async def assemble(
        self, value: bytes, source: DocumentSource
    ) -> catalogs.Configuration | Unreadable | Incomplete:
        """Decodes a catalog and fetches the documents missing on this host."""
        try:
            catalog = catalogs.decode_catalog(value)
        except exceptions.InvalidInputError as error:
            return Unreadable(str(error))
        current = self._active_configuration.current
        if value == current.encoded.catalog:
            return current
        required = catalogs.referenced_names(catalog)
        known = current.encoded.documents
        missing = sorted(required - known.keys())
        fetched = await source.fetch(missing) if missing else {}
        if len(fetched) < len(missing):
            return Incomplete()
        bound = {
            name: known.get(name) or fetched[name] for name in sorted(required)
        }
        try:
            return catalogs.decode(
                catalogs.EncodedConfiguration(value, bound), current
            )
        except exceptions.InvalidInputError as error:
            return Unreadable(str(error))
