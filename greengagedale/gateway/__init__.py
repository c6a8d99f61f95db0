"""Passing opaque requests on to upstreams, one or one of each shard."""
