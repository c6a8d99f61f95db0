"""Parts of whole-number bounds that hold over all hosts.

A bound is dealt to the hosts of the agreed host list (see `roster`) in an order
that depends on the upstream. A host has part `ceil((bound - rank) / hosts)` by
its rank in that order, and none if it is not on the list, is still joining, or
has given up its share.

The parts add up to no more than the bound while hosts use different lists,
because every list that a host with a part uses contains all hosts with a part:
a joining host gets one only when the others use a list that contains it or have
given up theirs, and a host is removed only after it has given up its own. A
longer list gives a host the same or a later rank and no greater part. So each
host has at most its part by the list of just those hosts, and these parts add
up to the bound.
"""

import xxhash

from greengagedale import clocks
from greengagedale.gateway import roster as roster_lib

# Upper bound on the time until bytes that were written arrive.
IN_TRANSIT_MS = 100.0


def part_of(
    own_name: str, host_list: roster_lib.HostList, upstream: str, bound: int
) -> int:
    """Returns how many requests of a bound are dealt to a listed host."""
    rank = rank_of(own_name, host_list, upstream)
    return max(0, -(-(bound - rank) // len(host_list.hosts)))


def rank_of(
    own_name: str, host_list: roster_lib.HostList, upstream: str
) -> int:
    """Returns how many listed hosts precede one in an upstream's order."""

    def order(host: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f"{upstream} {host}".encode()), host

    own = order(own_name)
    return sum(order(host) < own for host in host_list.hosts)


class HostParts:
    """This host's parts, by the host list that it uses.

    Attributes:
        host_list: The host list in use.
        spent_until_ms: Time until which an earlier process of this host, or the
            host that had its parts before, may have used them.
    """

    def __init__(
        self, own_name: str, roster: roster_lib.Roster, clock: clocks.Clock
    ) -> None:
        self._own_name = own_name
        self._roster = roster
        self._has_share = False
        self.host_list = roster.host_list
        self.spent_until_ms = clock.now_ms() + IN_TRANSIT_MS

    def follow(self, now_ms: float) -> bool:
        """Applies a changed host list, or a share gained or given up.

        Returns:
            Whether parts may have changed.
        """
        has_share = self._roster.has_share
        if (
            self._roster.host_list == self.host_list
            and has_share == self._has_share
        ):
            return False
        self.host_list = self._roster.host_list
        self._has_share = has_share
        self.spent_until_ms = max(self.spent_until_ms, now_ms)
        return True

    def part(self, upstream: str, bound: int) -> int:
        """Returns how many requests of a bound this host may send."""
        if not self._has_share:
            return 0
        return part_of(self._own_name, self.host_list, upstream, bound)

    def rank(self, upstream: str) -> int:
        """Returns how many listed hosts precede this one for an upstream."""
        return rank_of(self._own_name, self.host_list, upstream)
