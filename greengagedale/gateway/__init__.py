"""Forwards opaque requests to one upstream, or to one of each shard."""
