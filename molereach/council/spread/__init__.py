"""Who tells whom: entries from the leader to all, renewals of sessions back, along a tree.

In reading order: `settings`, `words` (events, actions, messages), `ranks` (the tree by rank), `children` (who
listens here), `parent` (whom one listens to, and when that is in doubt), `gather` (asks up, grants down),
`pass_on` (entries down), `core`.
"""
