"""Selects the hosts that use an upstream directly and the share of each.

Uses rendezvous hashing: every host computes the same owners from the same list
of hosts, and a host that joins or leaves affects only upstreams that it owns.
"""

from collections.abc import Iterable

import xxhash

MIN_CONNECTIONS_PER_OWNER = 2
SMALL_FLEET = 4


def owner_count(slots: int, connections: int, hosts: int) -> int:
    """Returns the number of hosts that may use an upstream directly.

    Every owner needs enough work for one slot at least part of the time, and
    a few connections. In a small fleet every host owns every upstream.

    Args:
        slots: Number of requests that the upstream runs concurrently.
        connections: Number of connections that the upstream accepts from all
            hosts together.
        hosts: Number of live hosts.
    """
    by_connections = connections // MIN_CONNECTIONS_PER_OWNER
    by_slots = max(slots, SMALL_FLEET)
    return max(1, min(hosts, by_connections, by_slots))


def select_owners(upstream: str, hosts: Iterable[str], count: int) -> list[str]:
    """Returns the hosts that own an upstream, in order of their hash."""
    return sorted(hosts, key=lambda host: _score(upstream, host))[:count]


def owner_share(
    upstream: str, own_host: str, owner_names: list[str], total: int
) -> int:
    """Returns one owner's share of an upstream's slots or connections.

    The total is divided evenly, and the first owners in the order of the hash
    get one more each for the remainder, so the shares add up to the total
    unless it is less than the number of owners: every share is at least one.

    Args:
        upstream: Name of the upstream.
        own_host: Name of the owner.
        owner_names: Names of all owners.
        total: Number of slots or connections to divide.
    """
    owner_total = max(1, len(owner_names))
    even_share, remainder = divmod(total, owner_total)
    hosts_with_extra = select_owners(upstream, owner_names, remainder)
    return max(1, even_share + (own_host in hosts_with_extra))


def _score(upstream: str, host: str) -> tuple[int, str]:
    return (-xxhash.xxh3_64_intdigest(f"{upstream}\0{host}".encode()), host)
