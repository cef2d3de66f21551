"""Limits that front doors hold together: shares of a ceiling that move, quotas that survive a split."""
