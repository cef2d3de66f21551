"""Clients: taking them in, what they speak, and the checks that all of them share.

In reading order: `states`, `ends`, `intake`, `requests`, `commands`, `replies`, `resp`.
"""
