"""Holds the configuration and the upstreams in force on a host.

Both are only replaced by newer ones: the configuration by its version, the
upstreams by the epoch and revision of the store. In a new epoch the store lists
an older copy, so what is known from before is merged with it, see
`store_recovery`. An entry that is removed during or
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
from greengagedale.gateway import store_recovery
from greengagedale.gateway import store_revision
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

    revision: store_revision.Revision
    sub_revision: int


NO_VERSION = UpstreamsVersion(store_revision.NO_REVISION, 0)


class Registry:
    """The configuration and the upstreams in force on a host.

    Attributes:
        table: Routes in force, or None if none are known.
        routes_revision: Revision of the store up to which the routes are
            known.
        version: Version of the list of upstreams.
        upstreams: All upstreams by name, without held ones.
        recovery: What is held since the store came back from an older copy.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self.table: route_config.RouteTable | None = None
        self.routes_revision = store_revision.NO_REVISION
        self.version = NO_VERSION
        self.upstreams: dict[str, upstream_entries.Upstream] = {}
        self._by_service: dict[str, list[upstream_entries.Upstream]] = {}
        # Times in ms at which entries missing since an outage are removed.
        self._missing: dict[str, float] = {}
        # Whether so many are missing that they must have expired in the store.
        self._is_mass_expiry = False
        # Missing entries that stay in use, as an older copy lacks them.
        self._lost_in_copy: set[str] = set()
        self._grace_until_ms = float("-inf")
        self.recovery = store_recovery.StoreRecovery(clock)

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
            if name not in self._missing or name in self._lost_in_copy
        ]

    def upstreams_of(self, service: str) -> list[upstream_entries.Upstream]:
        """Returns the upstreams of a service that accept new work."""
        return self._by_service.get(service, [])

    def record_store_failure(self) -> None:
        """Records a failure of the store, which starts a new grace period."""
        self._grace_until_ms = self._clock.now_ms() + RELIST_GRACE_MS

    def apply_routes(
        self,
        routes: route_config.RouteConfiguration,
        revision: store_revision.Revision,
    ) -> bool:
        """Applies a configuration if it is newer; returns whether it was."""
        self.advance_routes_revision(revision)
        if routes.version < self.routes_version:
            log.info(
                "ignored older configuration; keeping the one in force",
                extra={
                    "version": routes.version,
                    "version_in_force": self.routes_version,
                    "revision": revision,
                },
            )
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

    def advance_routes_revision(
        self, revision: store_revision.Revision
    ) -> None:
        """Records that the routes are current up to a revision."""
        self.routes_revision = max(self.routes_revision, revision)

    def apply_list(self, listed: store_api.UpstreamsListed) -> None:
        """Applies a complete list of upstreams read from the store."""
        if listed.revision < self.version.revision:
            return
        is_recovering = self._begin_epoch(listed.revision)
        is_copy = listed.revision.epoch > self.version.revision.epoch
        names = {upstream.name for upstream in listed.upstreams}
        removed = [name for name in self.upstreams if name not in names]
        changes = [
            store_api.UpstreamChange(upstream.name, upstream)
            for upstream in listed.upstreams
        ]
        if is_copy:
            self.recovery.record_copied(names)
        if is_recovering:
            self._keep_lost(removed)
        else:
            changes += [
                store_api.UpstreamChange(name, None) for name in removed
            ]
        self._apply(changes, listed.revision, is_copy)

    def apply_changes(self, changed: store_api.UpstreamsChanged) -> None:
        """Applies changes read from the store."""
        if changed.revision < self.version.revision:
            return
        self._apply(changed.changes, changed.revision)

    def _apply(
        self,
        changes: list[store_api.UpstreamChange],
        revision: store_revision.Revision,
        is_copy: bool = False,
    ) -> None:
        for change in changes:
            if change.upstream is None:
                self._handle_removal(change.name)
            else:
                self._upsert(change.upstream, is_copy)
        if revision > self.version.revision:
            self.version = UpstreamsVersion(revision, 0)
        elif changes:
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
        is_copy = version.revision.epoch > self.version.revision.epoch
        self._begin_epoch(version.revision)
        self.version = version
        self._missing.clear()
        self._lost_in_copy.clear()
        usable = [
            upstream
            for upstream in upstreams
            if not self.recovery.withholds(upstream, is_copy)
        ]
        self.recovery.retain_listed({upstream.name for upstream in upstreams})
        self._apply_differences(usable)
        for upstream in usable:
            self.recovery.observe(upstream)
        self.upstreams = {upstream.name: upstream for upstream in usable}
        self._index()
        return True

    def merge_withdrawals(
        self,
        withdrawals: tuple[store_recovery.Withdrawal, ...],
        epoch: int,
    ) -> None:
        """Holds what a peer holds.

        Args:
            withdrawals: What the peer holds.
            epoch: Epoch of the peer's list of upstreams; those of another
                epoch are ignored, as hosts of one epoch tell each other again.
        """
        if epoch != self.version.revision.epoch:
            return
        withheld = self.recovery.merge(withdrawals, self.upstreams)
        for name in withheld:
            del self.upstreams[name]
            if name in self._missing:
                # It was kept in use although the store does not list it.
                self.recovery.record_removed(name)
        if withheld:
            self._index()

    def remove_expired(self) -> bool:
        """Removes missing entries after their grace; returns if any were."""
        now_ms = self._clock.now_ms()
        expired = [name for name, at in self._missing.items() if at <= now_ms]
        for name in expired:
            del self._missing[name]
            self._lost_in_copy.discard(name)
            self._remove(name, "expired and not listed again in time")
        released = self.recovery.release_expired(self._grace_until_ms)
        for upstream in released:
            self.upstreams[upstream.name] = upstream
            self.recovery.forget(upstream.name)
        if expired or released:
            self.version = self.version._replace(
                sub_revision=self.version.sub_revision + 1
            )
            self._index()
        return bool(expired or released)

    def remove_reassigned(self, upstream: upstream_entries.Upstream) -> None:
        """Removes an upstream whose address another upstream now has."""
        if self.upstreams.get(upstream.name) == upstream:
            self._remove(upstream.name, "address belongs to another upstream")
            self._index()

    def _begin_epoch(self, revision: store_revision.Revision) -> bool:
        """Begins the recovery in a new epoch; returns whether it is one."""
        known = self.version.revision
        if not known or revision.epoch <= known.epoch:
            return False
        # Upstreams need time to write again what was lost.
        self.record_store_failure()
        self.recovery.begin(revision.epoch)
        return True

    def _keep_lost(self, names: list[str]) -> None:
        """Keeps entries in use that an older copy lacks, for a while."""
        for name in names:
            if self.upstreams[name].is_leaving:
                self._remove(name, "leaving, and not in the copy of the store")
            else:
                self._missing.setdefault(name, self._grace_until_ms)
                self._lost_in_copy.add(name)
        if self._lost_in_copy:
            log.info(
                "upstreams that the copy of the store lacks stay in use",
                extra={
                    "upstreams": sorted(self._lost_in_copy),
                    "for_ms": RELIST_GRACE_MS,
                },
            )

    def _upsert(
        self, upstream: upstream_entries.Upstream, is_copy: bool = False
    ) -> None:
        if self.recovery.withholds(upstream, is_copy):
            return
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
        self._lost_in_copy.discard(upstream.name)
        self.upstreams[upstream.name] = upstream
        self.recovery.observe(upstream)
        _log_change(current, upstream)

    def _handle_removal(self, name: str) -> None:
        self.recovery.record_removed(name)
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
            self.recovery.remember(upstream)
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
