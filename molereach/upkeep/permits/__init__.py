"""The lifecycle of a work item, and the state machine "upkeep" that holds it on the replicated log.

Read `lifecycle` (states and transitions), `bodies` and `record` (what is proposed and stored), `proof` (that
no proxy sends to a machine any more), `fact_parts`, `time_marks`, `registry` (all state), `guards`
(conditions of each step), `snapshots` and `state_machine`; for the leader `clearance_accounting` (which
proxies a proof still lacks), `next_steps`, `background_planning`, `starting`, `entry_clock`, `proposals` and
`fact_reporting`.
"""
