"""Runs of traffic under injected faults, and checks of their histories."""
