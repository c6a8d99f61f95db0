"""Idempotency keys: which process may run a request, and its outcome."""
