"""Each proxy's session: a lease under which it does what the others must be able to count on.

Read `messages` (renewals along the dissemination tree), `bodies` and `sessions` (the replicated state),
`renewals`, `proposal` and `holder` (a proxy's own side), `rounds` and `manager` (the leader's side),
`permits` (what needs a session) and `acknowledgements` (the proof that an entry is in effect everywhere).
"""
