"""Who tells whom: entries from the leader to all, renewals of sessions back, along a tree.

In reading order: `settings`, `words` (events, actions, messages), `ranks` (the tree by rank), `standing` (who
lives and leads), `parent` (whom one listens to, and when that is in doubt), `listening` (what changes that),
`children` (who listens here), `gather` (asks up, grants down), `pass_on` (entries), `telling` (words down),
`beat` (when to speak), `core`.
"""
