"""What front doors agree on among themselves: membership, a replicated log, leases, dissemination.

Read `interface` first, then `membership`, `replicated_log`, `leases`, `dissemination` (cores), `storage` and
`transport` (shells), and `node`, which joins them.
"""
