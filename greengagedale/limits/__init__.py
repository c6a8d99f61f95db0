"""Admission control, concurrency limits of upstreams, and quarantine."""
