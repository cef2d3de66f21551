"""A long endpoint list: all of it in few bytes, and the bounded subset that a front door uses. Cores.

In reading order: `interface`, `placement`, `packed_records`, `ring`, `idempotency_groups`, `subset`,
`entry_budget`, `staging`, `takeover_overlay`, `endpoint_subsetting`.
"""
