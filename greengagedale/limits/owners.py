"""Which hosts use an upstream directly, and what part of it each may use.

Rendezvous hashing: every host computes the same owners from the same list of
hosts, and a host that comes or goes moves only the upstreams that it owns.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

MIN_CONNECTIONS_PER_OWNER = 2
SMALL_FLEET = 4


class Share(NamedTuple):
    """The part of one upstream that one owner may use.

    Attributes:
        slots: Slots that are this owner's when all owners are busy.
        connections: Most connections that it may hold open.
    """

    slots: int
    connections: int


def owners_wanted(slots: int, connections: int, hosts: int) -> int:
    """Returns how many hosts may use an upstream directly.

    Every owner needs one slot's worth of work at least part of the time and
    a few connections. A small fleet owns every upstream as a whole.

    Args:
        slots: Requests that the upstream runs at once.
        connections: Connections that it accepts, over all hosts.
        hosts: Live hosts.
    """
    by_connections = connections // MIN_CONNECTIONS_PER_OWNER
    by_slots = max(slots, SMALL_FLEET)
    return max(1, min(hosts, by_connections, by_slots))


def owners(upstream: str, hosts: Iterable[str], wanted: int) -> list[str]:
    """Returns the names of the hosts that own an upstream, best first."""
    return sorted(hosts, key=lambda host: _score(upstream, host))[:wanted]


def share(slots: int, connections: int, owner_count: int) -> Share:
    """Divides an upstream among its owners; no part is ever zero."""
    count = max(1, owner_count)
    return Share(max(1, slots // count), max(1, connections // count))


def _score(upstream: str, host: str) -> tuple[int, str]:
    return (-xxhash.xxh3_64_intdigest(f"{upstream}\0{host}".encode()), host)
