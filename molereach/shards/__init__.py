"""Stores of settlement members that grow: how full each shard gets, and its split before it is full.

Read `map` (which cell keeps which members), `counts` (what was written, by shard), `forecast` (how large each
will be), `schedule` (when its split begins) and `splits` (the split as a state machine on the log).
`forecast` is for a process of its own: nothing on a front door's request path imports it.
"""
