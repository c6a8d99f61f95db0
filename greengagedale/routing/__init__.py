"""Routing of attempts to replicas."""
