"""Idempotency keys: who may run a request, and whether it has run."""
