"""Retries and the budgets that limit extra attempts."""
