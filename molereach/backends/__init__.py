"""Backends: a pool of connections for each, and the attempts on them.

In reading order: `attempt`, `answers`, `idle_reuse`, `connection`, `pool`, `pools`. Imports run that way: an
attempt and a connection know the pool by a protocol, and the pools' owner alone knows the policy's endpoints.
"""
