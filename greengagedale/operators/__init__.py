"""HTTP interface for operators: server and messages."""
