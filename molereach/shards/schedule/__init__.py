"""When the split of a shard begins, so that it is over before the shard is full.

Read `full` (from a forecast to dates), `takes` (how long a split takes, and its error), `open_times` (what
upkeep leaves) and `calendar` (which begin, in which order, and what is said at once).
"""
