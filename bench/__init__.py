"""Measurements of greengagedale against stand-ins: `scripts/bench`."""
