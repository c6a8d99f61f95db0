"""Deletes documents that no catalog will bind any more."""

import asyncio
import logging

from greengagedale import configuration_metrics
from greengagedale.catalog import catalogs
from greengagedale.store import base as store_base

log = logging.getLogger(__name__)

_REVISIONS_BETWEEN_RUNS = 50


class GarbageCollector:
    """Collects after the changes that this host got accepted.

    Each revision is accepted by one host, so that no lease is needed; two
    collections at once would do no harm.
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
        """Starts to collect in the background when it is time to.

        Args:
            revision: Revision at which a change was accepted.
            current: A configuration of that revision or a later one.
        """
        running = self._task is not None and not self._task.done()
        if revision % _REVISIONS_BETWEEN_RUNS == 0 and not running:
            self._task = asyncio.create_task(self.collect(current.catalog))

    async def collect(self, catalog: catalogs.CatalogObject) -> None:
        """Deletes what is collectable; stops when the platform is down."""
        names = await self._store.names(catalogs.KIND_DOCUMENT)
        if isinstance(names, store_base.Unavailable):
            return
        for name in catalogs.collectable(catalog, names):
            found = await self._store.get(catalogs.KIND_DOCUMENT, name)
            if isinstance(found, store_base.Missing):
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
        """Stops collecting."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
