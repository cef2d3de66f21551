"""Writes and bytes by shard, counted by all front doors together.

Read `counter` (the counts of one instance of a front door), `messages` (its reports), `merged_counts` (those
of all instances, by maximum), `bodies` and `machine` (the state machine "counts": instances that ended),
`recorder` (a front door's side), `qdigest` (which members wrote), `watched_digests` (digests of the shards to
be split next) and `split_point` (where to split).
"""
