"""Host membership, failure detection and gossip between hosts."""
