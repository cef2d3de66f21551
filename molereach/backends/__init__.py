"""Backends: a pool of connections for each, and the attempts on them."""
