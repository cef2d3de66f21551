"""Backends: a pool of connections for each, and the attempts on them.

In reading order: attempt, answers, reuse, connection, pool, pools.
"""
