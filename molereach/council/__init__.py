"""What front doors settle among themselves.

Read `interface` first, then `membership`, `log`, `leases`, `spread` (cores), `store` and `links` (shells).
"""
