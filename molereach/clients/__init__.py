"""Clients: taking them in, what they speak, and the checks that all of them share.

In reading order: `states`, `intake`, `requests`, `commands`, `replies`, `resp`.
"""
