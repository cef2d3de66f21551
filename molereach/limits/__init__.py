"""Distributed enforcement of customers' ceilings and quotas across the proxies of a tier.

Proxies lend each other shares of a ceiling and split a quota during a network partition.

In reading order: `settings`, `errors`, `loans`, `ceiling_account`, `lending`, `borrowing`, `escrow`,
`peer_contacts`, `spending_totals`, `partition_quota`, `message_budget`, `snapshots`, `core`,
`gossip_records`, `gossip_codec`, `service`.
"""
