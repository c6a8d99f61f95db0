"""Which hosts there are, as all of them agree, and their shares of a bound.

A bound over all hosts is kept without asking each other if each host keeps a
share and the shares add up to no more than the bound. Hosts that each count
the others they happen to hear of would reckon with different numbers, and
those that are cut off with the lowest. They go by a list in the platform's
store instead, which the host that reads the store keeps.

A host that is new on the list joins at first: the others divide by it at once,
but it takes a full share only once they are known to do so, or have dropped
their shares. Shares then add up to no more than the bound though each host
learns of the list at a time of its own, or not at all.
"""

from collections.abc import Collection, Mapping
import logging
from typing import NamedTuple

from greengagedale import clocks

log = logging.getLogger(__name__)

# A host that is not listed keeps so many extra attempts at a service, and this
# part of the burst is left to such hosts.
UNLISTED_SHARE = 1.0
UNLISTED_PART = 0.1
# A host that hears neither of the store nor of all listed hosts for this long
# counts itself as not listed.
LAPSE_MS = 30_000.0
# A listed host that nobody has heard of is taken off the list after this long:
# twice the time after which it has dropped its share if it lives.
GONE_AFTER_MS = 2.0 * LAPSE_MS


class HostList(NamedTuple):
    """The hosts listed in the store.

    Attributes:
        revision: Revision of the store that wrote the list; 0 if there is none.
        hosts: Names of the hosts, in order.
        joining: Those of them that have no full share yet.
    """

    revision: int
    hosts: tuple[str, ...]
    joining: tuple[str, ...] = ()

    @property
    def sharing(self) -> frozenset[str]:
        """Names of the hosts that have a full share."""
        return frozenset(self.hosts).difference(self.joining)


EMPTY_HOST_LIST = HostList(0, ())


class Roster:
    """The newest list that this host knows.

    Attributes:
        listed: That list.
    """

    def __init__(self, own_name: str, clock: clocks.Clock) -> None:
        self._own_name = own_name
        self._clock = clock
        self._confirmed_ms = clock.now_ms()
        self.listed = EMPTY_HOST_LIST

    def adopt(self, listed: HostList) -> bool:
        """Takes a list if it is newer; tells whether."""
        if listed.revision <= self.listed.revision:
            return False
        self.listed = listed
        self._confirmed_ms = self._clock.now_ms()
        log.info(
            "hosts listed",
            extra={
                "revision": listed.revision,
                "hosts": len(listed.hosts),
                "joining": len(listed.joining),
                "has_share": self._own_name in listed.sharing,
            },
        )
        return True

    def confirm(self, alive: Collection[str], is_store_heard: bool) -> None:
        """Takes in what shows that the list is not out of date.

        Args:
            alive: Names of the other hosts that are heard of.
            is_store_heard: Whether this host, or one that it hears of, hears
                from the store.
        """
        others = {*self.listed.hosts} - {self._own_name}
        if is_store_heard or others <= {*alive}:
            self._confirmed_ms = self._clock.now_ms()

    def share_of(self, burst: float) -> float:
        """Returns this host's share of a burst that is for all hosts."""
        unconfirmed_ms = self._clock.now_ms() - self._confirmed_ms
        has_share = self._own_name in self.listed.sharing
        if not has_share or unconfirmed_ms > LAPSE_MS:
            return min(UNLISTED_SHARE, UNLISTED_PART * burst)
        return (1.0 - UNLISTED_PART) * burst / len(self.listed.hosts)


class Keeper:
    """Decides for the host that reads the store what the list should hold."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._heard_ms: dict[str, float] = {}
        self._revision = 0
        self._listed_ms = float("-inf")

    def start_turn(self) -> None:
        """Forgets when hosts were heard of, as this host did not look."""
        self._heard_ms.clear()
        self._revision = 0

    def due(
        self, listed: HostList, alive: Mapping[str, int]
    ) -> HostList | None:
        """Returns the list to write, or None if it is right.

        Args:
            listed: The list in the store.
            alive: The hosts that are heard of, with this one, and the revision
                of the list that each goes by.
        """
        now_ms = self._clock.now_ms()
        for name in listed.hosts:
            self._heard_ms.setdefault(name, now_ms)
        self._heard_ms.update(dict.fromkeys(alive, now_ms))
        staying = (
            name
            for name in listed.hosts
            if now_ms - self._heard_ms[name] < GONE_AFTER_MS
        )
        hosts = tuple(sorted({*staying, *alive}))
        wanted = listed._replace(
            hosts=hosts, joining=self._joining(listed, hosts, alive)
        )
        return None if wanted == listed else wanted

    def _joining(
        self, listed: HostList, hosts: tuple[str, ...], alive: Mapping[str, int]
    ) -> tuple[str, ...]:
        """Returns which of the hosts have no full share yet."""
        now_ms = self._clock.now_ms()
        if listed.revision != self._revision:
            self._revision = listed.revision
            self._listed_ms = now_ms
        if not listed.hosts:
            # Nobody has had a share before.
            return ()
        all_know = all(
            alive.get(name, -1) >= listed.revision for name in listed.sharing
        )
        if all_know or now_ms - self._listed_ms > GONE_AFTER_MS:
            waiting: frozenset[str] = frozenset()
        else:
            waiting = frozenset(listed.joining)
        new = frozenset(hosts).difference(listed.hosts)
        return tuple(name for name in hosts if name in waiting | new)
