"""Proofs by history: concurrent runs under faults, and what must hold."""
