"""Tests of consistent hashing over hosts."""

import collections

from greengagedale.membership import hash_ring

HOSTS = [f"entry-{n}" for n in range(1, 9)]
NAMES = [f"upstream-{n}" for n in range(2000)]


def test_shares_are_even_and_removed_host_moves_only_its_own_names():
    full_ring = hash_ring.HashRing(HOSTS)
    reduced_ring = hash_ring.HashRing(HOSTS[1:])
    shares = collections.Counter(map(full_ring.owner_of, NAMES))
    assert max(shares.values()) < 2 * min(shares.values())
    moved = {
        n for n in NAMES if full_ring.owner_of(n) != reduced_ring.owner_of(n)
    }
    assert moved == {n for n in NAMES if full_ring.owner_of(n) == HOSTS[0]}
