"""The rollout of an order to a fleet, from validation to the report, as a state machine without I/O.

In reading order: `events` (inputs and outputs), `report` (the result), `observations` (the latest snapshot of
each agent), `validation` (of the order against the newest replicated state), `ballots` (agreement of a
majority), `summary` (the result as far as it is known), `stages` (the state machine).
"""
