"""Sessions: the lease that a proxy must hold for every activity whose end other nodes rely on.

Reading order: `messages` (renewals along the dissemination tree), `bodies` and `sessions` (the replicated
state), `renewals`, `proposal` and `holder` (the proxy's side), `rounds` and `manager` (the leader's side),
`permits` (which activities need a session) and `acknowledgements` (the proof that an entry is in effect at
every node).
"""
