"""Coordination among proxies: membership, a replicated log, leases, dissemination.

Read `interface` first, then `membership`, `replicated_log`, `leases` and `dissemination`, which do no I/O,
`storage` and `transport`, which do it for them, and `node`, which combines all of them in one proxy.
"""
