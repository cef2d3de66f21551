"""Long endpoint lists: compact storage of the full list, and the subset of it that a proxy uses. No I/O.

In reading order: `interface`, `placement`, `packed_records`, `ring`, `idempotency_groups`, `subset`,
`entry_budget`, `staging`, `takeover_overlay`, `endpoint_subsetting`, `address_owners`.
"""
