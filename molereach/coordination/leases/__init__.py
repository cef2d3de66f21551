"""Each front door's one session, on which all hangs that others count on.

Read `words` (what goes along the tree), `bodies` and `sessions` (what is settled), `asks`, `proposal` and
`holder` (a front door's own side), `rounds` and `keeper` (the leader's), `permits` (what hangs on a session)
and `accounts` (the proof that an entry holds everywhere).
"""
