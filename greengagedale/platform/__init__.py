"""Adapter to the users' platform: converts its messages to internal types.

No other package knows the platform's message formats, and this package makes
no routing or retry decisions.
"""
