"""Reads configuration, upstreams and host list from the store.

One host reads on behalf of all (see `reader_election`); every host reads once
at start, from copies that may be stale.
"""

import asyncio
from collections.abc import Callable, Coroutine
import functools
import logging
from typing import Any

from greengagedale import clocks
from greengagedale.gateway import evacuations as evacuations_lib
from greengagedale.gateway import freshness as freshness_lib
from greengagedale.gateway import reader_election as election_lib
from greengagedale.gateway import registry as registry_lib
from greengagedale.gateway import roster as roster_lib
from greengagedale.gateway import route_config
from greengagedale.gateway import store_api as store_api_lib
from greengagedale.gateway import store_recovery
from greengagedale.gateway import store_revision

log = logging.getLogger(__name__)

# Longest wait of one watch. Pings detect a lost store sooner; this limits how
# long a single watch can hang unnoticed.
WATCH_WAIT_MS = 6000
# Time between pings while watches wait.
PING_INTERVAL_MS = 500.0
# Time between reads that prove that the configuration is current, where
# revocation is bounded. A fifth of a bound of 5 s; the rest is for passing the
# proof on, and for replacing a lost reader.
PROOF_INTERVAL_MS = 1000.0
# Changes come in bursts. Waiting this long between watches lets one answer
# carry several changes.
CHANGE_BATCH_MS = 150.0
# Backoff after a failed call, doubled up to the maximum, as calls to the store
# are billed.
_MIN_BACKOFF_MS = 100.0
_MAX_BACKOFF_MS = 800.0
# The maximum backoff grows with the number of hosts that fail to read, so that
# all of them together call a failing store about as often as this many hosts.
_FAILING_READERS_PER_BACKOFF = 4
# Delay before the host list is read again after a failed read or write.
ROSTER_RETRY_MS = 2000.0
# Time between checks whether this host should read.
_ELECTION_INTERVAL_MS = 50.0
_MS_PER_S = 1000.0


class StoreReader:
    """Keeps a registry up to date from the store while this host is elected."""

    def __init__(
        self,
        store: store_api_lib.StoreApi,
        registry: registry_lib.Registry,
        election: election_lib.ReaderElection,
        roster: roster_lib.Roster,
        freshness: freshness_lib.Freshness,
        alive: Callable[[], dict[str, store_revision.Revision]],
        on_change: Callable[[], None],
        clock: clocks.Clock,
        evacuations: evacuations_lib.Evacuations | None = None,
    ) -> None:
        """Makes a reader.

        Args:
            store: The store.
            registry: Configuration and upstreams to keep up to date.
            election: Decides whether this host should read.
            roster: The current host list.
            freshness: Proof that the configuration is recent.
            alive: Returns the live hosts, including this one, with the
                revision of the host list that each uses.
            on_change: Called after each change of the data.
            clock: Clock of the process.
            evacuations: Evacuated data centres to keep up to date; None where
                the deployment has no evacuations.
        """
        self._store = store
        self._evacuations = evacuations
        self._registry = registry
        self._election = election
        self._roster = roster
        self._freshness = freshness
        # Epoch of the store at the last read of the configuration.
        self._proof_epoch: int | None = None
        self._alive_hosts = alive
        self._planner = roster_lib.RosterPlanner(clock)
        # As last read or written since this host was elected; None if it must
        # be read first.
        self._stored_hosts: roster_lib.HostList | None = None
        self._roster_retry_at_ms = float("-inf")
        self._host_list_recovery = store_recovery.HostListRecovery(clock)
        self._on_change = on_change
        self._clock = clock
        self._last_answer_ms = float("-inf")
        self._last_proof_ms = float("-inf")
        self._failing_watches: set[str] = set()
        self._is_reading = False
        self._must_relist = False
        self._is_recovering = False
        self._is_connected = True

    @property
    def read_age_ms(self) -> float:
        """Age of the last answer in ms; negative if this host doesn't read."""
        if not self._is_reading:
            return -1.0
        return min(self._clock.now_ms() - self._last_answer_ms, 1e9)

    async def run(self) -> None:
        """Loads stale copies once, then reads whenever this host is elected."""
        await self._load_stale_copies()
        while True:
            if self._should_read():
                await self._read_while_elected()
            await asyncio.sleep(_ELECTION_INTERVAL_MS / _MS_PER_S)

    async def _load_stale_copies(self) -> None:
        """Loads enough to serve without waiting for the elected reader.

        Newer data comes from peers, or from this host once it is elected.
        Where revocation is bounded, the configuration is no stale copy, as it
        could not be used before a peer proves that it is recent.
        """
        sent_ms = self._clock.now_ms()
        routes, upstreams, _ = await asyncio.gather(
            self._store.read_routes(
                allow_stale=not self._freshness.is_required
            ),
            self._store.list_upstreams(allow_stale=True),
            self._load_copy_of_evacuations(),
        )
        if isinstance(routes, store_api_lib.RoutesRead) and routes.routes:
            self._registry.apply_routes(
                routes.routes, store_revision.NO_REVISION
            )
            if self._freshness.is_required:
                self._confirm(routes.routes, sent_ms)
        if isinstance(upstreams, store_api_lib.UpstreamsListed):
            copied = store_api_lib.UpstreamsListed(
                upstreams.upstreams, store_revision.NO_REVISION
            )
            self._registry.apply_list(copied)
        log.info(
            "loaded stale copies from the store; newer data follows from peers",
            extra={
                "routes_version": self._registry.routes_version,
                "upstreams": len(self._registry.upstreams),
            },
        )

    async def _load_copy_of_evacuations(self) -> None:
        if self._evacuations is None:
            return
        copy = await self._store.read_evacuations(allow_stale=True)
        if isinstance(copy, evacuations_lib.EvacuationList):
            self._evacuations.apply_copy(copy.data_centres)

    def _should_read(self) -> bool:
        return self._election.should_read(self.read_age_ms)

    async def _read_while_elected(self) -> None:
        log.info(
            "reading the store",
            extra={
                "routes_version": self._registry.routes_version,
                "upstreams_version": self._registry.version,
                "hosts_in_vain": self._election.failing_reader_count(),
            },
        )
        if self._election.is_store_failing:
            self._registry.record_store_failure()
        self._is_reading = True
        self._last_answer_ms = float("-inf")
        backoff_ms = _MIN_BACKOFF_MS
        try:
            while self._should_read():
                failure = await self.read_routes()
                if failure is None:
                    self._record_answer()
                    backoff_ms = _MIN_BACKOFF_MS
                    await self._watch_until_lost()
                    continue
                self._record_failure(failure)
                await asyncio.sleep(backoff_ms / _MS_PER_S)
                backoff_ms = min(self._max_backoff_ms(), 2.0 * backoff_ms)
        finally:
            self._is_reading = False
        log.info("another host reads the store now; stopped reading")

    def _max_backoff_ms(self) -> float:
        scale = (
            self._election.failing_reader_count() / _FAILING_READERS_PER_BACKOFF
        )
        return _MAX_BACKOFF_MS * max(1.0, scale)

    async def _watch_until_lost(self) -> None:
        """Watches until the store fails or another host is elected."""
        self._failing_watches.clear()
        self._planner.reset()
        self._stored_hosts = None
        watches: dict[str, Callable[[], Coroutine[Any, Any, str | None]]] = {
            "routes": self._watch_routes,
            "upstreams": self._watch_upstreams,
        }
        if self._evacuations is not None:
            watches["evacuations"] = functools.partial(
                self._watch_evacuations, self._evacuations
            )
        epoch = self._store.epoch
        tasks = [
            asyncio.create_task(self._run_watch(what, step))
            for what, step in watches.items()
        ]
        try:
            while self._should_read():
                await self._update_roster()
                await asyncio.sleep(PING_INTERVAL_MS / _MS_PER_S)
                failure = await self._check_store()
                if failure is not None:
                    self._record_failure(failure)
                    break
                self._record_answer()
                if self._store.epoch != epoch:
                    log.info(
                        "store began another epoch; reading in full",
                        extra={"epoch": self._store.epoch, "was": epoch},
                    )
                    break
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _check_store(self) -> str | None:
        """Proves the configuration if that is due; otherwise sends a ping."""
        if self._freshness.is_required and (
            self._clock.now_ms() - self._last_proof_ms >= PROOF_INTERVAL_MS
        ):
            return await self.read_routes()
        failure = await self._store.ping()
        return None if failure is None else failure.detail

    async def _run_watch(
        self, what: str, step: Callable[[], Coroutine[Any, Any, str | None]]
    ) -> None:
        backoff_ms = _MIN_BACKOFF_MS
        while True:
            try:
                failure = await step()
            except Exception as error:
                # A change that can't be applied is recovered by a full list.
                log.exception("reading failed", extra={"what": what})
                self._must_relist = True
                failure = repr(error)
            if failure is None:
                backoff_ms = _MIN_BACKOFF_MS
                self._failing_watches.discard(what)
                self._record_answer()
                continue
            self._failing_watches.add(what)
            self._record_failure(failure)
            await asyncio.sleep(backoff_ms / _MS_PER_S)
            backoff_ms = min(_MAX_BACKOFF_MS, 2.0 * backoff_ms)

    async def _update_roster(self) -> None:
        """Adds new hosts to the list in the store and removes lost ones."""
        if self._clock.now_ms() < self._roster_retry_at_ms:
            return
        if self._stored_hosts is None:
            result = await self._store.read_roster()
        else:
            updated = self._planned_host_list(self._stored_hosts)
            if updated is None:
                return
            result = await self._store.write_roster(updated)
        if isinstance(result, store_api_lib.Unavailable):
            log.warning("hosts not listed", extra={"reason": result.detail})
            # The write may have succeeded with its answer lost, or another
            # host may have replaced the list.
            self._stored_hosts = None
            self._roster_retry_at_ms = self._clock.now_ms() + ROSTER_RETRY_MS
            return
        self._stored_hosts = result
        if self._is_from_earlier_epoch(result):
            return
        if self._roster.replace_if_newer(result):
            self._on_change()

    async def read_routes(self) -> str | None:
        """Reads the configuration, which proves that it is current.

        Returns:
            Why it could not be read, or None.
        """
        sent_ms = self._clock.now_ms()
        return await self._apply_routes(
            await self._store.read_routes(), sent_ms
        )

    def _planned_host_list(
        self, stored: roster_lib.HostList
    ) -> roster_lib.HostList | None:
        """Returns the list to write, or None if none is to be written now."""
        alive = self._alive_hosts()
        if not self._is_from_earlier_epoch(stored):
            return self._planner.planned_update(stored, alive)
        remembered = self._roster.host_list
        updated = self._host_list_recovery.planned_update(
            stored, remembered, alive, self._store.epoch
        )
        if updated is not None:
            self._registry.recovery.on_step("hosts_written")
            log.info(
                "writing the host list again, as the store lost it",
                extra={
                    "epoch": self._store.epoch,
                    "stored_revision": stored.revision,
                    "remembered_revision": remembered.revision,
                    "hosts": len(updated.hosts),
                    "joining": len(updated.joining),
                },
            )
        return updated

    def _is_from_earlier_epoch(self, stored: roster_lib.HostList) -> bool:
        return store_recovery.is_from_earlier_epoch(
            stored, self._roster.host_list, self._store.epoch
        )

    async def _watch_routes(self) -> str | None:
        revision = self._registry.routes_revision
        if not revision or revision.epoch != self._store.epoch:
            return await self.read_routes()
        result = await self._store.watch_routes(revision, WATCH_WAIT_MS)
        if isinstance(result, store_api_lib.HistoryGone):
            return await self.read_routes()
        return await self._apply_routes(result)

    async def _apply_routes(
        self,
        result: store_api_lib.RoutesRead | store_api_lib.Unavailable,
        sent_ms: float | None = None,
    ) -> str | None:
        if isinstance(result, store_api_lib.Unavailable):
            return result.detail
        if self.take_routes(result, sent_ms):
            self._on_change()
            await asyncio.sleep(CHANGE_BATCH_MS / _MS_PER_S)
        return None

    def take_routes(
        self, result: store_api_lib.RoutesRead, sent_ms: float | None
    ) -> bool:
        """Applies a configuration that was read; returns if it was newer.

        Args:
            result: What was read.
            sent_ms: Time before a linearizable read was sent; None if the
                answer is that of a watch, which may miss changes.
        """
        if result.routes is None:
            # An unreadable configuration may revoke keys, so it proves nothing.
            self._registry.advance_routes_revision(result.revision)
            return False
        has_changed = self._registry.apply_routes(
            result.routes, result.revision
        )
        if sent_ms is not None:
            self._observe_epoch(result.revision)
            self._confirm(result.routes, sent_ms)
        return has_changed

    def _observe_epoch(self, revision: store_revision.Revision) -> None:
        """Tells the proof if the store has lost changes since the last read."""
        if self._proof_epoch is not None and revision.epoch > self._proof_epoch:
            self._freshness.record_rollback()
        self._proof_epoch = revision.epoch

    def _confirm(
        self, routes: route_config.RouteConfiguration, sent_ms: float
    ) -> None:
        """Records that a linearizable read returned the one in force."""
        self._last_proof_ms = sent_ms
        if routes.version == self._registry.routes_version:
            self._freshness.confirm(sent_ms)
        elif self._freshness.is_required:
            # The store has lost changes, or a peer has read a newer version
            # while the answer was under way.
            log.warning(
                "store returned an older configuration than the one in force",
                extra={
                    "version": routes.version,
                    "held_version": self._registry.routes_version,
                },
            )

    async def _watch_upstreams(self) -> str | None:
        revision = self._registry.version.revision
        is_current = revision and revision.epoch == self._store.epoch
        if self._has_recovered() or self._must_relist or not is_current:
            return await self._list_upstreams()
        result = await self._store.watch_upstreams(revision, WATCH_WAIT_MS)
        if isinstance(result, store_api_lib.HistoryGone):
            return await self._list_upstreams()
        if isinstance(result, store_api_lib.Unavailable):
            return result.detail
        self._registry.apply_changes(result)
        if result.changes:
            self._on_change()
            await asyncio.sleep(CHANGE_BATCH_MS / _MS_PER_S)
        return None

    def _has_recovered(self) -> bool:
        """Returns whether holds have ended since the last call.

        Entries that another reader held are not known here; they are listed
        unless their upstreams have gone.
        """
        was_recovering = self._is_recovering
        self._is_recovering = not self._registry.recovery.is_settled
        return was_recovering and not self._is_recovering

    async def _list_upstreams(self) -> str | None:
        listed = await self._store.list_upstreams()
        if isinstance(listed, store_api_lib.Unavailable):
            self._must_relist = True
            return listed.detail
        self._must_relist = False
        self._registry.apply_list(listed)
        self._on_change()
        return None

    async def _watch_evacuations(
        self, evacuations: evacuations_lib.Evacuations
    ) -> str | None:
        known = evacuations.list
        result: (
            evacuations_lib.EvacuationList
            | store_api_lib.HistoryGone
            | store_api_lib.Unavailable
        ) = store_api_lib.HistoryGone()
        if known.revision:
            result = await self._store.watch_evacuations(known, WATCH_WAIT_MS)
        if isinstance(result, store_api_lib.HistoryGone):
            result = await self._store.read_evacuations()
        if isinstance(result, store_api_lib.Unavailable):
            return result.detail
        if evacuations.replace_if_newer(result):
            self._on_change()
            await asyncio.sleep(CHANGE_BATCH_MS / _MS_PER_S)
        return None

    def _record_answer(self) -> None:
        if self._failing_watches:
            return
        self._last_answer_ms = self._clock.now_ms()
        if not self._is_connected:
            self._is_connected = True
            # Entries that expired in the outage return only after its end.
            self._registry.record_store_failure()
            log.info("store answers again")

    def _record_failure(self, failure: str) -> None:
        self._registry.record_store_failure()
        if self._is_connected:
            self._is_connected = False
            log.warning("store lost", extra={"reason": failure})
