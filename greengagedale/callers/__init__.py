"""HTTP interface for callers: server, client and messages."""
