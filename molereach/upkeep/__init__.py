"""Machines out for work, in an order that the front doors settle among themselves; off unless it is asked
for.

Read `requests` (what may be asked for), `rules` (what may be out together), `order` (which goes next),
`permits` (a machine's way, and the state machine on the log), then `driver` (at the leader) and `door` (at
each front door).
"""
