"""A query tier over many shards for members that share one platform."""

__version__ = "0.1.0"
