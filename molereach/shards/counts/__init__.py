"""What was written, by shard, as front doors count it together.

Read `counter` (this front door's own), `words` (what is told), `merged` (all lives, by maximum), `bodies`,
`proof` and `folds` (the state machine "counts": lives that are over), `door` (a front door's part), `digest`
(which members wrote) and `cut` (where that cuts a shard).
"""
