"""Runs a scenario on loopback: servers, discovery, the network, front doors, clients and fault injection.

In reading order: `settings` (settings of front doors, and the auditor's rule parameters), `report` (results
of a run), `jobs` (background tasks), `machines` (servers and the endpoint list), `faults` (steps of the
scenario), `world` (start, load and shutdown of a run).
"""
