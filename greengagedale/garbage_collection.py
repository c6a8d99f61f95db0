"""Deletes documents that no catalog will refer to any more."""

import asyncio
import logging

from greengagedale import configuration_metrics
from greengagedale.catalog import catalogs
from greengagedale.store import base as store_base

log = logging.getLogger(__name__)

_REVISIONS_BETWEEN_RUNS = 50


class GarbageCollector:
    """Deletes unused documents after changes accepted through this host.

    Each revision is accepted through exactly one host, so no lease is needed.
    Two collections running at the same time do no harm.
    """

    def __init__(
        self,
        store: store_base.ObjectStore,
        metrics: configuration_metrics.ConfigurationMetrics,
    ) -> None:
        self._store = store
        self._metrics = metrics
        self._task: asyncio.Task[None] | None = None

    def on_change_accepted(
        self, revision: int, current: catalogs.Configuration
    ) -> None:
        """Starts a collection in the background if one is due.

        Args:
            revision: Revision at which a change was accepted.
            current: The configuration of that revision or a later one.
        """
        running = self._task is not None and not self._task.done()
        if revision % _REVISIONS_BETWEEN_RUNS == 0 and not running:
            self._task = asyncio.create_task(self.collect(current.catalog))

    async def collect(self, catalog: catalogs.CatalogObject) -> None:
        """Deletes unused documents; stops if the platform is unavailable."""
        names = await self._store.list_names(catalogs.KIND_DOCUMENT)
        if isinstance(names, store_base.Unavailable):
            return
        for name in catalogs.collectable_documents(catalog, names):
            found = await self._store.get(catalogs.KIND_DOCUMENT, name)
            if isinstance(found, store_base.NotFound):
                continue
            if isinstance(found, store_base.Unavailable):
                return
            deleted = await self._store.delete(
                catalogs.KIND_DOCUMENT, name, found.stored.version
            )
            if isinstance(deleted, store_base.Unavailable):
                return
            if isinstance(deleted, store_base.Written):
                self._metrics.deleted_documents.inc()

    async def close(self) -> None:
        """Cancels a running collection."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
