"""Benchmarks of greengagedale against stand-ins, run by `scripts/bench`."""
