"""The rollout of an order to a fleet, as a state machine without I/O: from its first check to the report.

In reading order: `events` (what goes in and comes out), `report` (the result), `observations` (the latest
snapshot of each agent), `validation` (the order against the newest replicated state), `ballots` (agreement by
a majority), `summary` (the result as far as it is known), `stages` (the state machine).
"""
