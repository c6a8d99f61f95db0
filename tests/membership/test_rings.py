"""Shares of hosts by consistent hashing."""

import collections

from greengagedale.membership import hash_ring

HOSTS = [f"entry-{n}" for n in range(1, 9)]
NAMES = [f"upstream-{n}" for n in range(2000)]


def test_shares_are_even_and_a_lost_host_moves_only_its_own():
    whole = hash_ring.HashRing(HOSTS)
    rest = hash_ring.HashRing(HOSTS[1:])
    shares = collections.Counter(map(whole.owner_of, NAMES))
    assert max(shares.values()) < 2 * min(shares.values())
    moved = {n for n in NAMES if whole.owner_of(n) != rest.owner_of(n)}
    assert moved == {n for n in NAMES if whole.owner_of(n) == HOSTS[0]}
