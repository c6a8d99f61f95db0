"""Which hosts use an upstream directly, and what part of it each may use.

Rendezvous hashing: every host computes the same owners from the same list of
hosts, and a host that comes or goes moves only the upstreams that it owns.
"""

from collections.abc import Iterable

import xxhash

MIN_CONNECTIONS_PER_OWNER = 2
SMALL_FLEET = 4


def owner_count(slots: int, connections: int, hosts: int) -> int:
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


def select_owners(
    upstream: str, hosts: Iterable[str], wanted: int
) -> list[str]:
    """Returns the names of the hosts that own an upstream, best first."""
    return sorted(hosts, key=lambda host: _score(upstream, host))[:wanted]


def owner_share(
    upstream: str, own: str, owner_names: list[str], whole: int
) -> int:
    """Returns one owner's part of an upstream's slots or connections.

    The parts add up to the whole, as those first in the order of the hash
    take what an even division leaves over; but no part is less than one.

    Args:
        upstream: Name of the upstream.
        own: Name of the owner.
        owner_names: Names of all owners.
        whole: What is divided.
    """
    count = max(1, len(owner_names))
    even, left_over = divmod(whole, count)
    first = select_owners(upstream, owner_names, left_over)
    return max(1, even + (own in first))


def _score(upstream: str, host: str) -> tuple[int, str]:
    return (-xxhash.xxh3_64_intdigest(f"{upstream}\0{host}".encode()), host)
