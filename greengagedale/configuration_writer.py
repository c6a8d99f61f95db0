"""Gets changes of configuration accepted by the platform."""

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
from greengagedale.catalog import edits
from greengagedale.catalog import settlements
from greengagedale.config import settings as settings_lib
from greengagedale.store import base as store_base

log = logging.getLogger(__name__)

FROM_CHANGE = "change"

_FIRST_DELAY_MS = 20
_LONGEST_DELAY_MS = 500
_UNAVAILABLE_TRIES = 3
_DOCUMENT_TRIES = 3
_IDS_REMEMBERED = 1000
_MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Again:
    """Another try may get further.

    Attributes:
        reason: For the counter of retries.
        detail: What happened.
    """

    reason: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Newest:
    """The catalog as just read."""

    version: int
    configuration: catalogs.Configuration


class ConfigurationWriter:
    """Gets changes accepted, one at a time on each host."""

    def __init__(
        self,
        store: store_base.ObjectStore,
        active_configuration: configuration.ActiveConfiguration,
        collector: garbage_collection.GarbageCollector,
        timeout_ms: int,
        clock: clocks.Clock,
        rng: random.Random,
        metrics: configuration_metrics.ConfigurationMetrics,
    ) -> None:
        """Makes a writer.

        Args:
            store: The platform.
            active_configuration: The configuration that this host uses.
            collector: Deletes what changes leave behind.
            timeout_ms: Longest time that a change is tried for.
            clock: For the time that is left.
            rng: For jitter.
            metrics: Where to count.
        """
        self._store = store
        self._active_configuration = active_configuration
        self._collector = collector
        self._timeout_ms = timeout_ms
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._assembler = configuration_assembly.Assembler(active_configuration)
        self._source = configuration_assembly.PlatformSource(store)
        self._lock = asyncio.Lock()
        self._seen: collections.deque[str] = collections.deque(
            maxlen=_IDS_REMEMBERED
        )

    @classmethod
    def from_config(
        cls,
        settings: settings_lib.Settings,
        store: store_base.ObjectStore,
        active_configuration: configuration.ActiveConfiguration,
        collector: garbage_collection.GarbageCollector,
        metrics: configuration_metrics.ConfigurationMetrics,
    ) -> Self:
        """Makes the writer of a host."""
        return cls(
            store,
            active_configuration,
            collector,
            settings.configuration.accept_timeout_ms,
            clocks.MonotonicClock(),
            random.Random(),
            metrics,
        )

    async def apply(
        self, change: edits.Change, first_attempt: bool
    ) -> configuration.ChangeResult:
        """Applies a change to the newest catalog, however often it moves.

        Args:
            change: The change.
            first_attempt: Nobody has sent a change with this id before.
        """
        settlement = settlements.Settlement(
            first_attempt and self._is_new(change.change_id)
        )
        until_ms = self._clock.now_ms() + self._timeout_ms
        try:
            async with asyncio.timeout(self._timeout_ms / _MS_PER_S):
                await self._lock.acquire()
        except TimeoutError:
            waited = _Again("busy", "other changes kept this host busy")
            result = _given_up(change, settlement, waited)
        else:
            try:
                result = await self._accept(change, settlement, until_ms)
            finally:
                self._lock.release()
        reason = getattr(result, "reason", "")
        self._metrics.changes.labels(result.tag, reason).inc()
        return result

    def _is_new(self, change_id: str) -> bool:
        """Remembers an id; operators' client libraries send again as well."""
        is_new = change_id not in self._seen
        self._seen.append(change_id)
        return is_new

    async def change_status(self, change_id: str) -> configuration.ChangeStatus:
        """Finds out what became of a change."""
        found = edits.find(self._active_configuration.current, change_id)
        if isinstance(found, edits.AlreadyAccepted):
            return configuration.Accepted(found.revision)
        newest = await self._read()
        if isinstance(newest, configuration.NotAccepted):
            return configuration.AcceptanceUnknown(change_id, newest.detail)
        if isinstance(newest, _Again):
            return configuration.AcceptanceUnknown(change_id, newest.detail)
        found = edits.find(newest.configuration, change_id)
        if isinstance(found, edits.AlreadyAccepted):
            return configuration.Accepted(found.revision)
        if isinstance(found, edits.Absent):
            return configuration.Absent(found.revision)
        detail = (
            "the id is older than the recent changes; read the documents"
            if isinstance(found, edits.Expired)
            else "the platform answers with an old catalog; ask again"
        )
        return configuration.AcceptanceUnknown(change_id, detail)

    async def _accept(
        self,
        change: edits.Change,
        settlement: settlements.Settlement,
        until_ms: float,
    ) -> configuration.ChangeResult:
        delay_ms = _FIRST_DELAY_MS
        unavailable = 0
        while True:
            step = await self._try(change, settlement)
            if not isinstance(step, _Again):
                return step
            self._metrics.retries.labels(step.reason).inc()
            unavailable += step.reason == "platform_down"
            hopeless = unavailable >= _UNAVAILABLE_TRIES and not settlement.open
            if hopeless or self._clock.now_ms() + delay_ms > until_ms:
                return _given_up(change, settlement, step)
            await asyncio.sleep(
                delay_ms * self._rng.uniform(0.5, 1.5) / _MS_PER_S
            )
            delay_ms = min(_LONGEST_DELAY_MS, delay_ms * 2)

    async def _try(
        self, change: edits.Change, settlement: settlements.Settlement
    ) -> configuration.ChangeResult | _Again:
        newest = await self._read()
        if isinstance(newest, configuration.NotAccepted):
            if settlement.may_give_up():
                return newest
            return _Again(newest.reason, newest.detail)
        if isinstance(newest, _Again):
            return newest
        decision = edits.decide(newest.configuration, change)
        if isinstance(decision, edits.AlreadyAccepted):
            self._collector.on_change_accepted(
                decision.revision, newest.configuration
            )
            return configuration.Accepted(decision.revision)
        if isinstance(decision, edits.Stale):
            return _Again("stale_read", "the platform answers with old reads")
        settlement.read_without(newest.version)
        if isinstance(decision, edits.Prepared):
            return await self._store_all(
                change, decision, newest.version, settlement
            )
        if settlement.open:
            return _Again("unsettled", "an earlier write may yet take effect")
        return await self._confirm(newest) or _refused(
            change, decision, settlement
        )

    async def _read(self) -> _Newest | configuration.NotAccepted | _Again:
        """Reads the catalog once, and the documents that are not held."""
        self._metrics.change_calls.labels("get").inc()
        found = await self._store.get(
            catalogs.KIND_CATALOG, catalogs.CATALOG_NAME
        )
        if isinstance(found, store_base.Unavailable):
            return _Again("platform_down", found.detail)
        if isinstance(found, store_base.Missing):
            newest = _Newest(0, catalogs.EMPTY)
        else:
            built = await self._assembler.assemble(
                found.stored.value, self._source
            )
            if isinstance(built, configuration_assembly.Incomplete):
                return _Again("platform_down", "documents can't be read")
            if isinstance(built, configuration_assembly.Unreadable):
                return configuration.NotAccepted("unreadable", built.detail)
            newest = _Newest(found.stored.version, built)
        held = self._active_configuration.current.revision
        if newest.configuration.revision < held:
            return _Again(
                "stale_read",
                f"the platform answers with revision "
                f"{newest.configuration.revision} while {held} is in force",
            )
        self._offer(newest.configuration)
        return newest

    async def _confirm(self, newest: _Newest) -> _Again | None:
        """Makes sure that a catalog is the newest, by writing it as it is.

        Reads may be old, and a refusal must not rest on an old catalog.
        """
        self._metrics.change_calls.labels("put").inc()
        written = await self._store.put(
            catalogs.KIND_CATALOG,
            catalogs.CATALOG_NAME,
            newest.configuration.encoded.catalog,
            newest.version,
        )
        if isinstance(written, store_base.Written):
            return None
        if isinstance(written, store_base.Conflict):
            return _Again("conflict", "other changes kept coming")
        if isinstance(written, store_base.Unsure):
            return _Again("no_reply", written.detail)
        return _Again("platform_down", written.detail)

    async def _store_all(
        self,
        change: edits.Change,
        prepared: edits.Prepared,
        version: int,
        settlement: settlements.Settlement,
    ) -> configuration.Accepted | _Again:
        for name, blob in prepared.new_documents.items():
            if not await self._create(name, blob):
                return _Again("platform_down", f"can't write document {name}")
        self._metrics.change_calls.labels("put").inc()
        written = await self._store.put(
            catalogs.KIND_CATALOG,
            catalogs.CATALOG_NAME,
            prepared.configuration.encoded.catalog,
            version,
        )
        if isinstance(written, store_base.Written):
            self._offer(prepared.configuration)
            revision = prepared.configuration.revision
            self._collector.on_change_accepted(revision, prepared.configuration)
            return configuration.Accepted(revision)
        if isinstance(written, store_base.Unavailable):
            return _Again("platform_down", written.detail)
        # The client library sends a write again when its connection breaks,
        # so that even a conflict can hide that the first one took effect.
        settlement.sent(version)
        if isinstance(written, store_base.Unsure):
            log.warning("no reply to change %s", change.change_id)
            return _Again("no_reply", written.detail)
        return _Again("conflict", "other changes kept coming")

    async def _create(self, name: str, blob: bytes) -> bool:
        """Creates a document; one that is there has the same content."""
        for _ in range(_DOCUMENT_TRIES):
            self._metrics.change_calls.labels("put").inc()
            written = await self._store.put(
                catalogs.KIND_DOCUMENT, name, blob, 0
            )
            if isinstance(written, store_base.Written | store_base.Conflict):
                return True
        return False

    def _offer(self, offered: catalogs.Configuration) -> None:
        if self._active_configuration.apply_if_newer(offered):
            self._metrics.applied.labels(FROM_CHANGE).inc()


def _given_up(
    change: edits.Change, settlement: settlements.Settlement, last: _Again
) -> configuration.ChangeResult:
    if not settlement.may_give_up():
        return configuration.AcceptanceUnknown(change.change_id, last.detail)
    reason = "platform_down" if last.reason == "platform_down" else "busy"
    return configuration.NotAccepted(reason, last.detail)


def _refused(
    change: edits.Change,
    decision: edits.Refused | edits.Expired,
    settlement: settlements.Settlement,
) -> configuration.ChangeResult:
    if isinstance(decision, edits.Refused):
        return configuration.NotAccepted(
            decision.reason,
            decision.detail,
            decision.field_errors,
            decision.conflicts,
        )
    detail = (
        "the id is older than the recent changes, so that an earlier call "
        "with it can't be ruled out; read the documents, then use a new id"
    )
    if settlement.may_give_up():
        return configuration.NotAccepted("expired", detail)
    return configuration.AcceptanceUnknown(change.change_id, detail)
