"""A world on loopback: servers, discovery, the network, front doors and clients, and a scenario's faults.

In reading order: `settings` (of front doors, and the auditor's figures), `report` (what a day came to),
`jobs` (what runs beside the day), `machines` (servers, and how discovery tells of them), `faults` (the
scenario's steps), `world` (start, day, end).
"""
