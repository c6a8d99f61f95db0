"""Limits: what may run at once, and what must wait or be refused."""
