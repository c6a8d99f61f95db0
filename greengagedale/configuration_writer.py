"""Applies changes of configuration by conditional updates of the catalog."""

import asyncio
import collections
import dataclasses
import logging
import random
from typing import Self

from greengagedale import clocks
from greengagedale import configuration
from greengagedale import configuration_assembly
from greengagedale import configuration_metrics
from greengagedale import garbage_collection
from greengagedale.catalog import catalogs
from greengagedale.catalog import conditional_updates
from greengagedale.catalog import edits
from greengagedale.config import settings as settings_lib
from greengagedale.store import base as store_base

log = logging.getLogger(__name__)

SOURCE_CHANGE = "change"

_INITIAL_BACKOFF_MS = 20
_MAX_BACKOFF_MS = 500
_MAX_UNAVAILABLE_TRIES = 3
_MAX_DOCUMENT_TRIES = 3
_MAX_RECENT_IDS = 1000
_MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Retry:
    """The step failed, but a retry may succeed.

    Attributes:
        reason: Label for the counter of retries.
        detail: What happened.
    """

    reason: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class _LatestCatalog:
    """The catalog as just read, with the configuration built from it."""

    version: int
    configuration: catalogs.Configuration


class ConfigurationWriter:
    """Applies changes to the catalog, one at a time on each host."""

    def __init__(
        self,
        store: store_base.ObjectStore,
        active_configuration: configuration.ActiveConfiguration,
        garbage_collector: garbage_collection.GarbageCollector,
        timeout_ms: int,
        clock: clocks.Clock,
        rng: random.Random,
        metrics: configuration_metrics.ConfigurationMetrics,
    ) -> None:
        """Creates a writer.

        Args:
            store: The platform's object API.
            active_configuration: The configuration that this host uses.
            garbage_collector: Deletes documents that changes leave unused.
            timeout_ms: Longest time spent on one change.
            clock: Measures the remaining time.
            rng: Source of jitter.
            metrics: Metrics to update.
        """
        self._store = store
        self._active_configuration = active_configuration
        self._garbage_collector = garbage_collector
        self._timeout_ms = timeout_ms
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._assembler = configuration_assembly.Assembler(active_configuration)
        self._source = configuration_assembly.PlatformSource(store)
        self._lock = asyncio.Lock()
        self._recent_ids: collections.deque[str] = collections.deque(
            maxlen=_MAX_RECENT_IDS
        )

    @classmethod
    def from_config(
        cls,
        settings: settings_lib.Settings,
        store: store_base.ObjectStore,
        active_configuration: configuration.ActiveConfiguration,
        garbage_collector: garbage_collection.GarbageCollector,
        metrics: configuration_metrics.ConfigurationMetrics,
    ) -> Self:
        """Creates the writer of a host from its settings."""
        return cls(
            store,
            active_configuration,
            garbage_collector,
            settings.configuration.accept_timeout_ms,
            clocks.MonotonicClock(),
            random.Random(),
            metrics,
        )

    async def apply(
        self, change: edits.Change, first_attempt: bool
    ) -> configuration.ChangeResult:
        """Applies a change to the newest catalog, retrying after conflicts.

        Args:
            change: The change.
            first_attempt: Whether no change with this id was sent before.
        """
        sent_updates = conditional_updates.ConditionalUpdates(
            first_attempt and self._record_if_new(change.change_id)
        )
        deadline_ms = self._clock.now_ms() + self._timeout_ms
        try:
            async with asyncio.timeout(self._timeout_ms / _MS_PER_S):
                await self._lock.acquire()
        except TimeoutError:
            waited = _Retry("busy", "other changes kept this host busy")
            result = _result_after_giving_up(change, sent_updates, waited)
        else:
            try:
                result = await self._apply_with_retries(
                    change, sent_updates, deadline_ms
                )
            finally:
                self._lock.release()
        reason = getattr(result, "reason", "")
        self._metrics.changes.labels(result.tag, reason).inc()
        return result

    def _record_if_new(self, change_id: str) -> bool:
        """Records a change id; returns whether this host had not seen it.

        The client libraries of operators also resend requests, so a call
        that claims to be the first may repeat an earlier one.
        """
        is_new = change_id not in self._recent_ids
        self._recent_ids.append(change_id)
        return is_new

    async def change_status(self, change_id: str) -> configuration.ChangeStatus:
        """Returns whether a change was accepted, as far as it is known."""
        found = edits.find_change(self._active_configuration.current, change_id)
        if isinstance(found, edits.AlreadyAccepted):
            return configuration.Accepted(found.revision)
        latest = await self._read_latest()
        if isinstance(latest, configuration.NotAccepted):
            return configuration.AcceptanceUnknown(change_id, latest.detail)
        if isinstance(latest, _Retry):
            return configuration.AcceptanceUnknown(change_id, latest.detail)
        found = edits.find_change(latest.configuration, change_id)
        if isinstance(found, edits.AlreadyAccepted):
            return configuration.Accepted(found.revision)
        if isinstance(found, edits.Absent):
            return configuration.Absent(found.revision)
        detail = (
            "the id is older than the recent changes; read the documents"
            if isinstance(found, edits.Expired)
            else "the platform returned a stale catalog; ask again"
        )
        return configuration.AcceptanceUnknown(change_id, detail)

    async def _apply_with_retries(
        self,
        change: edits.Change,
        sent_updates: conditional_updates.ConditionalUpdates,
        deadline_ms: float,
    ) -> configuration.ChangeResult:
        delay_ms = _INITIAL_BACKOFF_MS
        unavailable_tries = 0
        while True:
            result = await self._try_once(change, sent_updates)
            if not isinstance(result, _Retry):
                return result
            self._metrics.retries.labels(result.reason).inc()
            unavailable_tries += result.reason == "platform_down"
            platform_is_down = (
                unavailable_tries >= _MAX_UNAVAILABLE_TRIES
                and not sent_updates.has_pending
            )
            if (
                platform_is_down
                or self._clock.now_ms() + delay_ms > deadline_ms
            ):
                return _result_after_giving_up(change, sent_updates, result)
            await asyncio.sleep(
                delay_ms * self._rng.uniform(0.5, 1.5) / _MS_PER_S
            )
            delay_ms = min(_MAX_BACKOFF_MS, delay_ms * 2)

    async def _try_once(
        self,
        change: edits.Change,
        sent_updates: conditional_updates.ConditionalUpdates,
    ) -> configuration.ChangeResult | _Retry:
        latest = await self._read_latest()
        if isinstance(latest, configuration.NotAccepted):
            if sent_updates.may_report_not_accepted():
                return latest
            return _Retry(latest.reason, latest.detail)
        if isinstance(latest, _Retry):
            return latest
        decision = edits.decide(latest.configuration, change)
        if isinstance(decision, edits.AlreadyAccepted):
            self._garbage_collector.on_change_accepted(
                decision.revision, latest.configuration
            )
            return configuration.Accepted(decision.revision)
        if isinstance(decision, edits.Stale):
            return _Retry("stale_read", "the platform returns stale reads")
        sent_updates.record_absent(latest.version)
        if isinstance(decision, edits.PreparedChange):
            return await self._write_change(
                change, decision, latest.version, sent_updates
            )
        if sent_updates.has_pending:
            return _Retry("unsettled", "an earlier write may still take effect")
        return await self._confirm_latest(latest) or _rejection(
            change, decision, sent_updates
        )

    async def _read_latest(
        self,
    ) -> _LatestCatalog | configuration.NotAccepted | _Retry:
        """Reads the catalog once, and the documents missing on this host."""
        self._metrics.change_platform_calls.labels("get").inc()
        found = await self._store.get(
            catalogs.KIND_CATALOG, catalogs.CATALOG_NAME
        )
        if isinstance(found, store_base.Unavailable):
            return _Retry("platform_down", found.detail)
        if isinstance(found, store_base.NotFound):
            latest = _LatestCatalog(0, catalogs.EMPTY)
        else:
            built = await self._assembler.assemble(
                found.stored.value, self._source
            )
            if isinstance(built, configuration_assembly.Incomplete):
                return _Retry("platform_down", "documents can't be fetched")
            if isinstance(built, configuration_assembly.Unreadable):
                return configuration.NotAccepted("unreadable", built.detail)
            latest = _LatestCatalog(found.stored.version, built)
        active = self._active_configuration.current.revision
        if latest.configuration.revision < active:
            return _Retry(
                "stale_read",
                f"the platform answers with revision "
                f"{latest.configuration.revision} while {active} is in force",
            )
        self._activate(latest.configuration)
        return latest

    async def _confirm_latest(self, latest: _LatestCatalog) -> _Retry | None:
        """Verifies that a catalog is the newest by rewriting it unchanged.

        Reads may be stale, and a change must not be rejected on the basis of
        a stale catalog.
        """
        self._metrics.change_platform_calls.labels("put").inc()
        written = await self._store.put(
            catalogs.KIND_CATALOG,
            catalogs.CATALOG_NAME,
            latest.configuration.encoded.catalog,
            latest.version,
        )
        if isinstance(written, store_base.Written):
            return None
        if isinstance(written, store_base.Conflict):
            return _Retry("conflict", "the catalog kept changing")
        if isinstance(written, store_base.WriteOutcomeUnknown):
            return _Retry("no_reply", written.detail)
        return _Retry("platform_down", written.detail)

    async def _write_change(
        self,
        change: edits.Change,
        prepared: edits.PreparedChange,
        version: int,
        sent_updates: conditional_updates.ConditionalUpdates,
    ) -> configuration.Accepted | _Retry:
        for name, blob in prepared.new_documents.items():
            if not await self._create_document(name, blob):
                return _Retry("platform_down", f"can't write document {name}")
        self._metrics.change_platform_calls.labels("put").inc()
        written = await self._store.put(
            catalogs.KIND_CATALOG,
            catalogs.CATALOG_NAME,
            prepared.configuration.encoded.catalog,
            version,
        )
        if isinstance(written, store_base.Written):
            self._activate(prepared.configuration)
            revision = prepared.configuration.revision
            self._garbage_collector.on_change_accepted(
                revision, prepared.configuration
            )
            return configuration.Accepted(revision)
        if isinstance(written, store_base.Unavailable):
            return _Retry("platform_down", written.detail)
        # The client library resends a write when its connection breaks, so
        # a conflict may be caused by the first write having taken effect.
        sent_updates.record_sent(version)
        if isinstance(written, store_base.WriteOutcomeUnknown):
            log.warning(
                "platform did not reply to the write of change %s; "
                "its result is unknown",
                change.change_id,
            )
            return _Retry("no_reply", written.detail)
        return _Retry("conflict", "the catalog kept changing")

    async def _create_document(self, name: str, blob: bytes) -> bool:
        """Creates a document.

        A conflict counts as success: the name includes a digest, so an
        existing document has the same content.
        """
        for _ in range(_MAX_DOCUMENT_TRIES):
            self._metrics.change_platform_calls.labels("put").inc()
            written = await self._store.put(
                catalogs.KIND_DOCUMENT, name, blob, 0
            )
            if isinstance(written, store_base.Written | store_base.Conflict):
                return True
        return False

    def _activate(self, candidate: catalogs.Configuration) -> None:
        if self._active_configuration.apply_if_newer(candidate):
            self._metrics.applied.labels(SOURCE_CHANGE).inc()


def _result_after_giving_up(
    change: edits.Change,
    sent_updates: conditional_updates.ConditionalUpdates,
    last: _Retry,
) -> configuration.ChangeResult:
    if not sent_updates.may_report_not_accepted():
        return configuration.AcceptanceUnknown(change.change_id, last.detail)
    reason = "platform_down" if last.reason == "platform_down" else "busy"
    return configuration.NotAccepted(reason, last.detail)


def _rejection(
    change: edits.Change,
    decision: edits.Refused | edits.Expired,
    sent_updates: conditional_updates.ConditionalUpdates,
) -> configuration.ChangeResult:
    if isinstance(decision, edits.Refused):
        return configuration.NotAccepted(
            decision.reason,
            decision.detail,
            decision.field_errors,
            decision.conflicts,
        )
    detail = (
        "the id is older than the recent changes, so an earlier call with it "
        "can't be ruled out; read the documents, then use a new id"
    )
    if sent_updates.may_report_not_accepted():
        return configuration.NotAccepted("expired", detail)
    return configuration.AcceptanceUnknown(change.change_id, detail)
