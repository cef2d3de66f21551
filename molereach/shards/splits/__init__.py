"""The split of a shard, as a state machine on the log, its driver, and each front door's part.

Read `way` (the table), `bodies` and `record` (what is settled and kept), `rooms` (upkeep's part), `machine`,
`orders` (what servers are told and say), `driver` (at the leader), `consulted` (what the decisions ask) and
`door` (a front door's answer to it).
"""
