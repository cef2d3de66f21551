"""The versioned map from member IDs to shards and from shards to cells.

Read `shard_map` (the map and its validity), `shard_lookup` (the shard of a member), `range_split` (the next
version), `delta` (the difference between versions) and `history` (updates for readers of an older version).
"""
