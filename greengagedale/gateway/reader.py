"""Reads the store, for all hosts or for this one alone."""

import asyncio
from collections.abc import Callable, Coroutine
import logging
from typing import Any

from greengagedale import clocks
from greengagedale.gateway import registry as registry_lib
from greengagedale.gateway import source as source_lib

log = logging.getLogger(__name__)

# Longest wait of one watch: a connection that has gone silent is found after
# it. Well below the 3 s within which changes must be known.
WATCH_WAIT_MS = 2000
# Pause after a failed call, doubled up to the longest; calls are priced.
_FIRST_PAUSE_MS = 100.0
_LONGEST_PAUSE_MS = 800.0
# How often it is looked at who reads.
_TURN_MS = 100.0
_MS_PER_S = 1000.0


class Reader:
    """Keeps a registry up to date from the store while it is its turn."""

    def __init__(
        self,
        source: source_lib.Source,
        registry: registry_lib.Registry,
        is_my_turn: Callable[[], bool],
        on_change: Callable[[], None],
        clock: clocks.Clock,
    ) -> None:
        """Makes a reader.

        Args:
            source: The store.
            registry: What to keep up to date.
            is_my_turn: Tells whether this host should read.
            on_change: Called after anything has changed.
            clock: Clock of the process.
        """
        self._source = source
        self._registry = registry
        self._is_my_turn = is_my_turn
        self._on_change = on_change
        self._clock = clock
        self._routes_read_ms = float("-inf")
        self._upstreams_read_ms = float("-inf")
        self._is_reading = False
        self._must_list = False
        self._is_connected = True

    @property
    def read_age_ms(self) -> float:
        """Age of the last word from the store; negative if not reading."""
        if not self._is_reading:
            return -1.0
        oldest_ms = min(self._routes_read_ms, self._upstreams_read_ms)
        return min(self._clock.now_ms() - oldest_ms, 1e9)

    async def run(self) -> None:
        """Reads whenever it is this host's turn."""
        while True:
            if self._is_my_turn():
                await self._read_while_my_turn()
            await asyncio.sleep(_TURN_MS / _MS_PER_S)

    async def _read_while_my_turn(self) -> None:
        log.info(
            "reading the store",
            extra={
                "routes_version": self._registry.routes_version,
                "upstreams_version": self._registry.version,
            },
        )
        self._is_reading = True
        tasks = [
            asyncio.create_task(self._follow(self._step_routes)),
            asyncio.create_task(self._follow(self._step_upstreams)),
        ]
        try:
            while self._is_my_turn():
                await asyncio.sleep(_TURN_MS / _MS_PER_S)
        finally:
            self._is_reading = False
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        log.info("another host reads the store")

    async def _follow(
        self, step: Callable[[], Coroutine[Any, Any, str | None]]
    ) -> None:
        pause_ms = _FIRST_PAUSE_MS
        while True:
            problem = await step()
            if problem is None:
                pause_ms = _FIRST_PAUSE_MS
                self._note_connected()
                continue
            self._note_trouble(problem)
            await asyncio.sleep(pause_ms / _MS_PER_S)
            pause_ms = min(_LONGEST_PAUSE_MS, 2.0 * pause_ms)

    async def _step_routes(self) -> str | None:
        revision = self._registry.routes_revision
        got = (
            await self._source.watch_routes(revision, WATCH_WAIT_MS)
            if self._registry.table is not None
            else await self._source.read_routes()
        )
        if isinstance(got, source_lib.HistoryGone):
            got = await self._source.read_routes()
        if isinstance(got, source_lib.Unavailable):
            return got.detail
        self._routes_read_ms = self._clock.now_ms()
        if got.routes is not None:
            if self._registry.apply_routes(got.routes, got.revision):
                self._on_change()
        elif self._registry.table is None:
            return "no configuration yet"
        else:
            self._registry.routes_revision = max(revision, got.revision)
        return None

    async def _step_upstreams(self) -> str | None:
        revision = self._registry.version.revision
        if revision == 0 or self._must_list:
            return await self._list_upstreams()
        got = await self._source.watch_upstreams(revision, WATCH_WAIT_MS)
        if isinstance(got, source_lib.HistoryGone):
            return await self._list_upstreams()
        if isinstance(got, source_lib.Unavailable):
            return got.detail
        self._upstreams_read_ms = self._clock.now_ms()
        self._registry.apply_changes(got)
        if got.changes:
            self._on_change()
        return None

    async def _list_upstreams(self) -> str | None:
        listed = await self._source.list_upstreams()
        if isinstance(listed, source_lib.Unavailable):
            self._must_list = True
            return listed.detail
        self._must_list = False
        self._upstreams_read_ms = self._clock.now_ms()
        self._registry.apply_list(listed)
        self._on_change()
        return None

    def _note_connected(self) -> None:
        if not self._is_connected:
            self._is_connected = True
            log.info("store regained")

    def _note_trouble(self, problem: str) -> None:
        self._registry.note_trouble()
        if self._is_connected:
            self._is_connected = False
            log.warning("store lost", extra={"reason": problem})
