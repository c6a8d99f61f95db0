"""The agreed list of hosts, and each host's share of a fleet-wide limit.

A limit over all hosts holds without coordination if each host keeps to a share
and the shares add up to no more than the limit. Hosts can't divide by the
number of live hosts that they see, as these numbers differ and are lowest on
hosts that are cut off. They use a list in the platform's store instead, which
the host that reads the store maintains.

A host that is added to the list is marked as joining: the others divide by the
longer list at once, but the new host takes a full share only once all of them
are known to use that list, or have dropped their shares. The shares thus add up
to no more than the limit although hosts learn of the list at different times,
or not at all.
"""

from collections.abc import Collection, Mapping
import logging
from typing import NamedTuple

from greengagedale import clocks
from greengagedale.gateway import fleet
from greengagedale.gateway import store_revision

log = logging.getLogger(__name__)

# A host without a full share may make this many extra attempts per service, and
# this fraction of the burst is reserved for such hosts.
UNLISTED_SHARE = 1.0
UNLISTED_FRACTION = 0.1
# A host that learns neither of answers from the store nor of all listed hosts
# for this long gives up its full share.
CONFIRMATION_TIMEOUT_MS = 30_000.0
# A listed host that was not seen for this long is removed from the list: twice
# the time after which it has given up its share if it is still alive.
REMOVE_AFTER_MS = 2.0 * CONFIRMATION_TIMEOUT_MS
# A process that wakes first reads messages that waited for it. For this long,
# they can make hosts seem alive, and one of them a reader of the store.
_WAITED_MESSAGES_MS = fleet.LOST_AFTER_MS + fleet.READER_STALE_MS


class HostList(NamedTuple):
    """The host list in the store.

    Attributes:
        revision: Revision of the store that wrote the list, in the epoch in
            which it was written; `NO_REVISION` if there is none.
        hosts: Sorted names of the hosts.
        joining: Names of those hosts that have no full share yet.
    """

    revision: store_revision.Revision
    hosts: tuple[str, ...]
    joining: tuple[str, ...] = ()

    @property
    def sharing(self) -> frozenset[str]:
        """Names of the hosts that have a full share."""
        return frozenset(self.hosts).difference(self.joining)


EMPTY_HOST_LIST = HostList(store_revision.NO_REVISION, ())


class Roster:
    """Holds the newest host list that this host knows.

    Attributes:
        host_list: The host list.
    """

    def __init__(self, own_name: str, clock: clocks.Clock) -> None:
        self._own_name = own_name
        self._clock = clock
        self._confirmed_ms = clock.now_ms()
        self._lapse_noted_ms = float("-inf")
        self.host_list = EMPTY_HOST_LIST

    def replace_if_newer(self, host_list: HostList) -> bool:
        """Applies a list if it is newer; returns whether it was."""
        if host_list.revision <= self.host_list.revision:
            return False
        self.host_list = host_list
        self._confirm()
        log.info(
            "hosts listed",
            extra={
                "revision": host_list.revision,
                "hosts": len(host_list.hosts),
                "joining": len(host_list.joining),
                "has_share": self._own_name in host_list.sharing,
            },
        )
        return True

    def confirm_current(
        self,
        alive: Collection[str],
        is_store_reachable: bool,
        newest_revision: store_revision.Revision = store_revision.NO_REVISION,
    ) -> None:
        """Confirms that the list is current if the arguments show that it is.

        Args:
            alive: Names of the other live hosts.
            is_store_reachable: Whether this host or one of its live peers gets
                answers from the store.
            newest_revision: Latest revision of the list that a live host uses.
        """
        if newest_revision > self.host_list.revision:
            # This host may no longer be on that list.
            return
        others = {*self.host_list.hosts} - {self._own_name}
        if is_store_reachable or others <= {*alive}:
            self._confirm()

    def _confirm(self) -> None:
        """Confirms that the list is current.

        After a lapse, only what was sent since the process woke counts.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._confirmed_ms > CONFIRMATION_TIMEOUT_MS:
            noted_ms = now_ms - self._lapse_noted_ms
            if noted_ms > CONFIRMATION_TIMEOUT_MS:
                self._lapse_noted_ms = now_ms
                log.info(
                    "hosts unconfirmed",
                    extra={
                        "revision": self.host_list.revision,
                        "unconfirmed_ms": int(now_ms - self._confirmed_ms),
                    },
                )
                return
            if noted_ms <= _WAITED_MESSAGES_MS:
                return
        self._confirmed_ms = now_ms

    @property
    def has_share(self) -> bool:
        """Whether this host has a full share now."""
        unconfirmed_ms = self._clock.now_ms() - self._confirmed_ms
        return (
            unconfirmed_ms <= CONFIRMATION_TIMEOUT_MS
            and self._own_name in self.host_list.sharing
        )

    def share_of(self, burst: float) -> float:
        """Returns this host's share of a burst limit over all hosts."""
        if not self.has_share:
            return min(UNLISTED_SHARE, UNLISTED_FRACTION * burst)
        return (1.0 - UNLISTED_FRACTION) * burst / len(self.host_list.hosts)

    def fraction(self) -> float:
        """Returns this host's fraction of a limit; 0 if it has no share.

        Unlike `share_of`, nothing is reserved for hosts without a share.
        """
        return 1.0 / len(self.host_list.hosts) if self.has_share else 0.0


class RosterPlanner:
    """Computes updates of the host list on the host that reads the store."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._last_seen_ms: dict[str, float] = {}
        self._revision = store_revision.NO_REVISION
        self._revision_seen_ms = float("-inf")

    def reset(self) -> None:
        """Clears the times at which hosts were last seen.

        They are out of date after this host did not read the store.
        """
        self._last_seen_ms.clear()
        self._revision = store_revision.NO_REVISION

    def planned_update(
        self,
        host_list: HostList,
        alive: Mapping[str, store_revision.Revision],
    ) -> HostList | None:
        """Returns the list to write, or None if no update is needed.

        Args:
            host_list: The list in the store.
            alive: The live hosts, including this one, with the revision of the
                list that each uses.
        """
        now_ms = self._clock.now_ms()
        for name in host_list.hosts:
            self._last_seen_ms.setdefault(name, now_ms)
        self._last_seen_ms.update(dict.fromkeys(alive, now_ms))
        remaining = (
            name
            for name in host_list.hosts
            if now_ms - self._last_seen_ms[name] < REMOVE_AFTER_MS
        )
        hosts = tuple(sorted({*remaining, *alive}))
        updated = host_list._replace(
            hosts=hosts, joining=self._joining(host_list, hosts, alive)
        )
        return None if updated == host_list else updated

    def _joining(
        self,
        host_list: HostList,
        hosts: tuple[str, ...],
        alive: Mapping[str, store_revision.Revision],
    ) -> tuple[str, ...]:
        """Returns the hosts that have no full share yet."""
        now_ms = self._clock.now_ms()
        if host_list.revision != self._revision:
            self._revision = host_list.revision
            self._revision_seen_ms = now_ms
        if not host_list.hosts:
            # No host had a share before, so none can be exceeded.
            return ()
        all_updated = all(
            name in alive and alive[name] >= host_list.revision
            for name in host_list.sharing
        )
        if all_updated or now_ms - self._revision_seen_ms > REMOVE_AFTER_MS:
            still_joining: frozenset[str] = frozenset()
        else:
            still_joining = frozenset(host_list.joining)
        new = frozenset(hosts).difference(host_list.hosts)
        return tuple(name for name in hosts if name in still_joining | new)
