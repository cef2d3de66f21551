"""Ceilings and quotas that the proxies of a tier share: loans of ceilings, and quotas during partitions.

In reading order: `settings`, `errors`, `loans`, `ceiling_account`, `lending`, `borrowing`, `escrow`,
`peer_contacts`, `spending_totals`, `partition_quota`, `message_budget`, `snapshots`, `core`,
`gossip_records`, `gossip_codec`, `service`.
"""
