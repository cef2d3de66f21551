"""The split of a shard: a state machine on the log, its driver at the leader, and each front door's routing.

Read `states` (the transitions), `bodies` and `record` (the log entries, and the state of one split),
`upkeep_status` (what splits and upkeep ask each other), `registry` and `machine` (the replicated state),
`commands` (for the backends of a cell), `driver` (at the leader), `routing_interface` (what request policy
asks) and `router` (a front door's answers to it).
"""
