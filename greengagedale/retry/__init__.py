"""Retries: when another attempt is worth its load."""
