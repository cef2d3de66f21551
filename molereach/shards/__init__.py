"""Sharding of member data: writes are counted, growth is forecast, and shards are split before they are full.

Read `map` (which cell keeps which member IDs), `counts` (writes counted by shard), `forecast` (how large each
shard will be), `schedule` (when its split starts) and `splits` (the split as a state machine on the log).
`forecast` runs in a process of its own: nothing on a front door's request path imports it.
"""
