"""When the split of a shard starts, so that it ends before the shard is full.

Read `deadline` (from a forecast to dates), `duration` (how long a split takes, with a margin), `free_windows`
(the times at which upkeep leaves both cells free) and `planner` (which splits start, in which order, and
which will be late).
"""
