"""Reads the store, for all hosts or for this one alone."""

import asyncio
from collections.abc import Callable, Coroutine
import logging
from typing import Any

from greengagedale import clocks
from greengagedale.gateway import reader_election as election_lib
from greengagedale.gateway import registry as registry_lib
from greengagedale.gateway import roster as roster_lib
from greengagedale.gateway import store_api as store_api_lib

log = logging.getLogger(__name__)

# Longest wait of one watch. Pulses find a lost store sooner; this bounds how
# long a watch can have gone silent by itself.
WATCH_WAIT_MS = 6000
# Time between pulses while watches wait.
PING_INTERVAL_MS = 500.0
# Changes come in bursts; those that come within this time share an answer.
CHANGE_BATCH_MS = 150.0
# Pause after a failed call, doubled up to the longest; calls are priced.
_MIN_BACKOFF_MS = 100.0
_MAX_BACKOFF_MS = 800.0
# The longest pause grows with the hosts that read in vain, so that all of
# them together call a store in trouble about as often as these few.
_FAILING_READERS_PER_BACKOFF = 4
# Pause before the list of hosts is read again after it could not be written.
ROSTER_RETRY_MS = 2000.0
# How often it is looked at who reads.
_ELECTION_INTERVAL_MS = 50.0
_MS_PER_S = 1000.0


class StoreReader:
    """Keeps a registry up to date from the store while it is its turn."""

    def __init__(
        self,
        source: store_api_lib.StoreApi,
        registry: registry_lib.Registry,
        election: election_lib.ReaderElection,
        roster: roster_lib.Roster,
        alive: Callable[[], dict[str, int]],
        on_change: Callable[[], None],
        clock: clocks.Clock,
    ) -> None:
        """Makes a reader.

        Args:
            source: The store.
            registry: What to keep up to date.
            election: Tells whether this host should read.
            roster: Which hosts there are.
            alive: Returns the hosts that are heard of, with this one, and the
                revision of the list of hosts that each goes by.
            on_change: Called after anything has changed.
            clock: Clock of the process.
        """
        self._source = source
        self._registry = registry
        self._election = election
        self._roster = roster
        self._alive_hosts = alive
        self._planner = roster_lib.RosterPlanner(clock)
        # As last read or written in this turn; None if it must be read.
        self._stored_hosts: roster_lib.HostList | None = None
        self._roster_retry_at_ms = float("-inf")
        self._on_change = on_change
        self._clock = clock
        self._last_answer_ms = float("-inf")
        self._failing_watches: set[str] = set()
        self._is_reading = False
        self._must_relist = False
        self._is_connected = True

    @property
    def read_age_ms(self) -> float:
        """Age of the last word from the store; negative if not reading."""
        if not self._is_reading:
            return -1.0
        return min(self._clock.now_ms() - self._last_answer_ms, 1e9)

    async def run(self) -> None:
        """Reads whenever it is this host's turn."""
        await self._load_stale_copies()
        while True:
            if self._should_read():
                await self._read_while_elected()
            await asyncio.sleep(_ELECTION_INTERVAL_MS / _MS_PER_S)

    async def _load_stale_copies(self) -> None:
        """Learns enough to serve, without a wait for the host that reads.

        Peers and this host's own turn bring what is newer.
        """
        routes, upstreams = await asyncio.gather(
            self._source.read_routes(allow_stale=True),
            self._source.list_upstreams(allow_stale=True),
        )
        if isinstance(routes, store_api_lib.RoutesRead) and routes.routes:
            self._registry.apply_routes(routes.routes, 0)
        if isinstance(upstreams, store_api_lib.UpstreamsListed):
            copied = store_api_lib.UpstreamsListed(upstreams.upstreams, 0)
            self._registry.apply_list(copied)
        log.info(
            "started from copies in the store",
            extra={
                "routes_version": self._registry.routes_version,
                "upstreams": len(self._registry.upstreams),
            },
        )

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
                problem = await self._read_routes()
                if problem is None:
                    self._record_answer()
                    backoff_ms = _MIN_BACKOFF_MS
                    await self._watch_until_lost()
                    continue
                self._record_failure(problem)
                await asyncio.sleep(backoff_ms / _MS_PER_S)
                backoff_ms = min(self._max_backoff_ms(), 2.0 * backoff_ms)
        finally:
            self._is_reading = False
        log.info("another host reads the store")

    def _max_backoff_ms(self) -> float:
        scale = (
            self._election.failing_reader_count() / _FAILING_READERS_PER_BACKOFF
        )
        return _MAX_BACKOFF_MS * max(1.0, scale)

    async def _watch_until_lost(self) -> None:
        """Watches until the store is lost or it is another host's turn."""
        self._failing_watches.clear()
        self._planner.reset()
        self._stored_hosts = None
        tasks = [
            asyncio.create_task(self._run_watch("routes", self._watch_routes)),
            asyncio.create_task(
                self._run_watch("upstreams", self._watch_upstreams)
            ),
        ]
        try:
            while self._should_read():
                await self._update_roster()
                await asyncio.sleep(PING_INTERVAL_MS / _MS_PER_S)
                problem = await self._source.ping()
                if problem is not None:
                    self._record_failure(problem.detail)
                    break
                self._record_answer()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_watch(
        self, what: str, step: Callable[[], Coroutine[Any, Any, str | None]]
    ) -> None:
        backoff_ms = _MIN_BACKOFF_MS
        while True:
            try:
                problem = await step()
            except Exception as error:
                # What can't be taken in is read again as a whole.
                log.exception("reading failed", extra={"what": what})
                self._must_relist = True
                problem = repr(error)
            if problem is None:
                backoff_ms = _MIN_BACKOFF_MS
                self._failing_watches.discard(what)
                self._record_answer()
                continue
            self._failing_watches.add(what)
            self._record_failure(problem)
            await asyncio.sleep(backoff_ms / _MS_PER_S)
            backoff_ms = min(_MAX_BACKOFF_MS, 2.0 * backoff_ms)

    async def _update_roster(self) -> None:
        """Lists the hosts that are new, and takes off those that are gone."""
        if self._clock.now_ms() < self._roster_retry_at_ms:
            return
        if self._stored_hosts is None:
            got = await self._source.read_roster()
        else:
            wanted = self._planner.planned_update(
                self._stored_hosts, self._alive_hosts()
            )
            if wanted is None:
                return
            got = await self._source.write_roster(wanted)
        if isinstance(got, store_api_lib.Unavailable):
            log.warning("hosts not listed", extra={"reason": got.detail})
            # The answer may be lost, or another host may have written.
            self._stored_hosts = None
            self._roster_retry_at_ms = self._clock.now_ms() + ROSTER_RETRY_MS
            return
        self._stored_hosts = got
        if self._roster.replace_if_newer(got):
            self._on_change()

    async def _read_routes(self) -> str | None:
        return await self._apply_routes(await self._source.read_routes())

    async def _watch_routes(self) -> str | None:
        revision = self._registry.routes_revision
        if revision == 0:
            return await self._read_routes()
        got = await self._source.watch_routes(revision, WATCH_WAIT_MS)
        if isinstance(got, store_api_lib.HistoryGone):
            return await self._read_routes()
        return await self._apply_routes(got)

    async def _apply_routes(
        self, got: store_api_lib.RoutesRead | store_api_lib.Unavailable
    ) -> str | None:
        if isinstance(got, store_api_lib.Unavailable):
            return got.detail
        if got.routes is None:
            self._registry.advance_routes_revision(got.revision)
            return None
        if self._registry.apply_routes(got.routes, got.revision):
            self._on_change()
            await asyncio.sleep(CHANGE_BATCH_MS / _MS_PER_S)
        return None

    async def _watch_upstreams(self) -> str | None:
        revision = self._registry.version.revision
        if revision == 0 or self._must_relist:
            return await self._list_upstreams()
        got = await self._source.watch_upstreams(revision, WATCH_WAIT_MS)
        if isinstance(got, store_api_lib.HistoryGone):
            return await self._list_upstreams()
        if isinstance(got, store_api_lib.Unavailable):
            return got.detail
        self._registry.apply_changes(got)
        if got.changes:
            self._on_change()
            await asyncio.sleep(CHANGE_BATCH_MS / _MS_PER_S)
        return None

    async def _list_upstreams(self) -> str | None:
        listed = await self._source.list_upstreams()
        if isinstance(listed, store_api_lib.Unavailable):
            self._must_relist = True
            return listed.detail
        self._must_relist = False
        self._registry.apply_list(listed)
        self._on_change()
        return None

    def _record_answer(self) -> None:
        if self._failing_watches:
            return
        self._last_answer_ms = self._clock.now_ms()
        if not self._is_connected:
            self._is_connected = True
            # What lapsed in the outage is only listed again after its end.
            self._registry.record_store_failure()
            log.info("store regained")

    def _record_failure(self, problem: str) -> None:
        self._registry.record_store_failure()
        if self._is_connected:
            self._is_connected = False
            log.warning("store lost", extra={"reason": problem})
