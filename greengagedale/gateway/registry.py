"""What a host holds for true: the configuration and the upstreams.

Both only move forward: a configuration by its version, the upstreams by the
revision of the store they are as of. An entry that vanishes while, or shortly
after, the store was in trouble may only have lapsed there. Upstreams that
can't write lapse together, so the entries themselves tell: if at least half of
them vanish, they are kept until their upstreams have had time to write again.
Fewer have left, and the others were written meanwhile.
"""

import logging
from typing import NamedTuple

from greengagedale import clocks
from greengagedale.gateway import entries
from greengagedale.gateway import plans
from greengagedale.gateway import store_api

log = logging.getLogger(__name__)

# Upstreams whose entries lapsed in an outage of the store are listed again
# within about 2 s of its return (platform's figure); the rest is margin.
RELIST_GRACE_MS = 2300.0
# Share of all upstreams that vanish together if the store lost their writes:
# an outage that outlasts the time of an entry by half a heartbeat takes half.
MASS_EXPIRY_SHARE = 0.5


class Version(NamedTuple):
    """How new a list of upstreams is; the greater one is the newer.

    Attributes:
        revision: Revision of the store that it is as of.
        step: Counts removals that were put off at this revision.
    """

    revision: int
    sub_revision: int


class Registry:
    """The configuration and the upstreams in force on a host.

    Attributes:
        table: Routes in force, or None if none are known.
        routes_revision: Revision of the store that the routes are as of.
        version: How new the list of upstreams is.
        upstreams: All upstreams by name.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self.table: plans.RouteTable | None = None
        self.routes_revision = 0
        self.version = Version(0, 0)
        self.upstreams: dict[str, entries.Upstream] = {}
        self._by_service: dict[str, list[entries.Upstream]] = {}
        # When entries that vanished around an outage are gone for good.
        self._missing: dict[str, float] = {}
        # Whether those are so many that the store must have lost them.
        self._is_mass_expiry = False
        self._grace_until_ms = float("-inf")

    @property
    def is_ready(self) -> bool:
        """Whether enough is known to serve."""
        return self.table is not None and bool(self.upstreams)

    @property
    def routes_version(self) -> int:
        """Version of the routes in force; 0 if none are known."""
        return 0 if self.table is None else self.table.version

    @property
    def active_upstreams(self) -> list[entries.Upstream]:
        """The upstreams without those that vanished and are not kept."""
        if self._is_mass_expiry:
            return [*self.upstreams.values()]
        return [
            upstream
            for name, upstream in self.upstreams.items()
            if name not in self._missing
        ]

    def upstreams_of(self, service: str) -> list[entries.Upstream]:
        """Returns the upstreams of a service that take new work."""
        return self._by_service.get(service, [])

    def record_store_failure(self) -> None:
        """Takes in that the store was in trouble just now."""
        self._grace_until_ms = self._clock.now_ms() + RELIST_GRACE_MS

    def apply_routes(self, routes: plans.Routes, revision: int) -> bool:
        """Brings a configuration in force if it is newer; tells whether."""
        self.advance_routes_revision(revision)
        if routes.version <= self.routes_version:
            return False
        before = self.routes_version
        self.table = plans.RouteTable(routes)
        log.info(
            "configuration in force",
            extra={
                "version": routes.version,
                "replaced_version": before,
                "routes": len(routes.plans),
                "revision": revision,
            },
        )
        return True

    def advance_routes_revision(self, revision: int) -> None:
        """Takes in that the routes are as of a later revision."""
        self.routes_revision = max(self.routes_revision, revision)

    def apply_list(self, listed: store_api.UpstreamsListed) -> None:
        """Takes in a whole list of upstreams read from the store."""
        if listed.revision < self.version.revision:
            return
        names = {upstream.name for upstream in listed.upstreams}
        gone = [name for name in self.upstreams if name not in names]
        changes = [
            store_api.UpstreamChange(upstream.name, upstream)
            for upstream in listed.upstreams
        ]
        changes += [store_api.UpstreamChange(name, None) for name in gone]
        self.apply_changes(store_api.UpstreamsChanged(changes, listed.revision))

    def apply_changes(self, changed: store_api.UpstreamsChanged) -> None:
        """Takes in changes read from the store."""
        if changed.revision < self.version.revision:
            return
        for change in changed.changes:
            if change.upstream is None:
                self._handle_removal(change.name)
            else:
                self._upsert(change.upstream)
        if changed.revision > self.version.revision:
            self.version = Version(changed.revision, 0)
        elif changed.changes:
            self.version = self.version._replace(
                sub_revision=self.version.sub_revision + 1
            )
        self._index()

    def replace_if_newer(
        self, upstreams: list[entries.Upstream], version: Version
    ) -> bool:
        """Takes another host's list if it is newer; tells whether."""
        if version <= self.version:
            return False
        self.version = version
        self._missing.clear()
        self._apply_differences(upstreams)
        self.upstreams = {upstream.name: upstream for upstream in upstreams}
        self._index()
        return True

    def remove_expired(self) -> bool:
        """Removes entries that did not come back in time; tells whether."""
        now_ms = self._clock.now_ms()
        due = [name for name, at in self._missing.items() if at <= now_ms]
        for name in due:
            del self._missing[name]
            self._remove(name, "lapsed and not listed again")
        if due:
            self.version = self.version._replace(
                sub_revision=self.version.sub_revision + 1
            )
            self._index()
        return bool(due)

    def remove_reassigned(self, upstream: entries.Upstream) -> None:
        """Takes in that another upstream now has this one's address."""
        if self.upstreams.get(upstream.name) == upstream:
            self._remove(upstream.name, "its address is another upstream's")
            self._index()

    def _upsert(self, upstream: entries.Upstream) -> None:
        held = self.upstreams.get(upstream.name)
        if held is not None and not upstream.supersedes(held):
            log.info(
                "stale upstream entry",
                extra={
                    "upstream": upstream.name,
                    "born_ms": upstream.born_ms,
                    "sequence": upstream.sequence,
                    "held_born_ms": held.born_ms,
                    "held_sequence": held.sequence,
                },
            )
            return
        self._missing.pop(upstream.name, None)
        self.upstreams[upstream.name] = upstream
        _log_change(held, upstream)

    def _handle_removal(self, name: str) -> None:
        if name not in self.upstreams:
            return
        now_ms = self._clock.now_ms()
        if now_ms < self._grace_until_ms and (
            not self.upstreams[name].is_leaving
        ):
            self._missing.setdefault(name, self._grace_until_ms)
            log.info(
                "upstream entry vanished around an outage of the store",
                extra={
                    "upstream": name,
                    "missing": len(self._missing),
                    "of": len(self.upstreams),
                    "for_ms": round(self._grace_until_ms - now_ms),
                },
            )
            return
        self._remove(name, "entry removed")

    def _remove(self, name: str, reason: str) -> None:
        upstream = self.upstreams.pop(name, None)
        if upstream is not None:
            log.info(
                "upstream gone",
                extra={
                    "upstream": name,
                    "service": upstream.service,
                    "reason": reason,
                },
            )

    def _apply_differences(self, upstreams: list[entries.Upstream]) -> None:
        names = {upstream.name for upstream in upstreams}
        for upstream in upstreams:
            _log_change(self.upstreams.get(upstream.name), upstream)
        for name in [name for name in self.upstreams if name not in names]:
            self._remove(name, "entry removed, as a peer says")

    def _index(self) -> None:
        threshold = MASS_EXPIRY_SHARE * len(self.upstreams)
        # Holds until the last of them is back or gone.
        self._is_mass_expiry = bool(self._missing) and (
            self._is_mass_expiry or len(self._missing) >= threshold
        )
        by_service: dict[str, list[entries.Upstream]] = {}
        for upstream in self.active_upstreams:
            if not upstream.is_leaving:
                by_service.setdefault(upstream.service, []).append(upstream)
        self._by_service = by_service


def _log_change(
    held: entries.Upstream | None, upstream: entries.Upstream
) -> None:
    if held is None or held.life != upstream.life:
        log.info(
            "upstream listed",
            extra={
                "upstream": upstream.name,
                "service": upstream.service,
                "born_ms": upstream.born_ms,
                "leaving": upstream.is_leaving,
            },
        )
    elif upstream.is_leaving and not held.is_leaving:
        log.info(
            "upstream leaving",
            extra={"upstream": upstream.name, "service": upstream.service},
        )
