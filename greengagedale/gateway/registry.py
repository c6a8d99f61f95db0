"""Holds the configuration and the upstreams in force on a host.

Both are only replaced by newer ones: the configuration by its version, the
upstreams by the revision of the store. An entry that is removed during or
shortly after an outage of the store may merely have expired there. Upstreams
that can't renew their entries expire together: if at least half of the entries
are removed, they are kept until their upstreams have had time to write again.
If fewer are removed, those upstreams have left, as the others did renew theirs.
"""

import logging
from typing import NamedTuple

from greengagedale import clocks
from greengagedale.gateway import route_config
from greengagedale.gateway import store_api
from greengagedale.gateway import upstream_entries

log = logging.getLogger(__name__)

# Upstreams whose entries expired in an outage of the store are listed again
# within about 2 s of its return (platform's figure); the rest is margin.
RELIST_GRACE_MS = 2300.0
# Share of all upstreams that are removed together if the store lost their
# writes: an outage that exceeds the lifetime of an entry by half a heartbeat
# interval expires half of them.
MASS_EXPIRY_SHARE = 0.5


class UpstreamsVersion(NamedTuple):
    """Version of a list of upstreams; a greater one is newer.

    Attributes:
        revision: Revision of the store.
        sub_revision: Number of updates within this revision, such as deferred
            removals.
    """

    revision: int
    sub_revision: int


class Registry:
    """The configuration and the upstreams in force on a host.

    Attributes:
        table: Routes in force, or None if none are known.
        routes_revision: Revision of the store up to which the routes are
            known.
        version: Version of the list of upstreams.
        upstreams: All upstreams by name.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self.table: route_config.RouteTable | None = None
        self.routes_revision = 0
        self.version = UpstreamsVersion(0, 0)
        self.upstreams: dict[str, upstream_entries.Upstream] = {}
        self._by_service: dict[str, list[upstream_entries.Upstream]] = {}
        # Times in ms at which entries missing since an outage are removed.
        self._missing: dict[str, float] = {}
        # Whether so many are missing that they must have expired in the store.
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
    def active_upstreams(self) -> list[upstream_entries.Upstream]:
        """The upstreams without missing ones that are not kept in use."""
        if self._is_mass_expiry:
            return [*self.upstreams.values()]
        return [
            upstream
            for name, upstream in self.upstreams.items()
            if name not in self._missing
        ]

    def upstreams_of(self, service: str) -> list[upstream_entries.Upstream]:
        """Returns the upstreams of a service that accept new work."""
        return self._by_service.get(service, [])

    def record_store_failure(self) -> None:
        """Records a failure of the store, which starts a new grace period."""
        self._grace_until_ms = self._clock.now_ms() + RELIST_GRACE_MS

    def apply_routes(
        self, routes: route_config.RouteConfiguration, revision: int
    ) -> bool:
        """Applies a configuration if it is newer; returns whether it was."""
        self.advance_routes_revision(revision)
        if routes.version <= self.routes_version:
            return False
        replaced_version = self.routes_version
        self.table = route_config.RouteTable(routes)
        log.info(
            "configuration in force",
            extra={
                "version": routes.version,
                "replaced_version": replaced_version,
                "routes": len(routes.routes),
                "revision": revision,
            },
        )
        return True

    def advance_routes_revision(self, revision: int) -> None:
        """Records that the routes are current up to a revision."""
        self.routes_revision = max(self.routes_revision, revision)

    def apply_list(self, listed: store_api.UpstreamsListed) -> None:
        """Applies a complete list of upstreams read from the store."""
        if listed.revision < self.version.revision:
            return
        names = {upstream.name for upstream in listed.upstreams}
        removed = [name for name in self.upstreams if name not in names]
        changes = [
            store_api.UpstreamChange(upstream.name, upstream)
            for upstream in listed.upstreams
        ]
        changes += [store_api.UpstreamChange(name, None) for name in removed]
        self.apply_changes(store_api.UpstreamsChanged(changes, listed.revision))

    def apply_changes(self, changed: store_api.UpstreamsChanged) -> None:
        """Applies changes read from the store."""
        if changed.revision < self.version.revision:
            return
        for change in changed.changes:
            if change.upstream is None:
                self._handle_removal(change.name)
            else:
                self._upsert(change.upstream)
        if changed.revision > self.version.revision:
            self.version = UpstreamsVersion(changed.revision, 0)
        elif changed.changes:
            self.version = self.version._replace(
                sub_revision=self.version.sub_revision + 1
            )
        self._index()

    def replace_if_newer(
        self,
        upstreams: list[upstream_entries.Upstream],
        version: UpstreamsVersion,
    ) -> bool:
        """Applies a peer's list if it is newer; returns whether it was."""
        if version <= self.version:
            return False
        self.version = version
        self._missing.clear()
        self._apply_differences(upstreams)
        self.upstreams = {upstream.name: upstream for upstream in upstreams}
        self._index()
        return True

    def remove_expired(self) -> bool:
        """Removes missing entries after their grace; returns if any were."""
        now_ms = self._clock.now_ms()
        expired = [name for name, at in self._missing.items() if at <= now_ms]
        for name in expired:
            del self._missing[name]
            self._remove(name, "expired and not listed again in time")
        if expired:
            self.version = self.version._replace(
                sub_revision=self.version.sub_revision + 1
            )
            self._index()
        return bool(expired)

    def remove_reassigned(self, upstream: upstream_entries.Upstream) -> None:
        """Removes an upstream whose address another upstream now has."""
        if self.upstreams.get(upstream.name) == upstream:
            self._remove(upstream.name, "address belongs to another upstream")
            self._index()

    def _upsert(self, upstream: upstream_entries.Upstream) -> None:
        current = self.upstreams.get(upstream.name)
        if current is not None and not upstream.supersedes(current):
            log.info(
                "ignored stale upstream entry; a newer one is known",
                extra={
                    "upstream": upstream.name,
                    "born_ms": upstream.born_ms,
                    "sequence": upstream.sequence,
                    "held_born_ms": current.born_ms,
                    "held_sequence": current.sequence,
                },
            )
            return
        self._missing.pop(upstream.name, None)
        self.upstreams[upstream.name] = upstream
        _log_change(current, upstream)

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

    def _apply_differences(
        self, upstreams: list[upstream_entries.Upstream]
    ) -> None:
        names = {upstream.name for upstream in upstreams}
        for upstream in upstreams:
            _log_change(self.upstreams.get(upstream.name), upstream)
        for name in [name for name in self.upstreams if name not in names]:
            self._remove(name, "entry removed, as a peer says")

    def _index(self) -> None:
        threshold = MASS_EXPIRY_SHARE * len(self.upstreams)
        # Stays set until the last missing entry is back or removed.
        self._is_mass_expiry = bool(self._missing) and (
            self._is_mass_expiry or len(self._missing) >= threshold
        )
        by_service: dict[str, list[upstream_entries.Upstream]] = {}
        for upstream in self.active_upstreams:
            if not upstream.is_leaving:
                by_service.setdefault(upstream.service, []).append(upstream)
        self._by_service = by_service


def _log_change(
    current: upstream_entries.Upstream | None,
    upstream: upstream_entries.Upstream,
) -> None:
    if current is None or current.incarnation != upstream.incarnation:
        log.info(
            "upstream listed",
            extra={
                "upstream": upstream.name,
                "service": upstream.service,
                "born_ms": upstream.born_ms,
                "leaving": upstream.is_leaving,
            },
        )
    elif upstream.is_leaving and not current.is_leaving:
        log.info(
            "upstream leaving",
            extra={"upstream": upstream.name, "service": upstream.service},
        )
