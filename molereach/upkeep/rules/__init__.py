"""The rules for which machines may be unavailable together.

Each rule is a pure function of a scene and a work item; it returns None or what blocks the item. Read
`fleet_facts`, `settings` and `scene` (the input of the rules), then the rules in the order in which they are
evaluated: `window`, `seasons`, `open_orders`, `prerequisites`, `exclusions`, `concurrency_limits`,
`minimum_servers` and `capacity` (with `remaining_capacity`), `proxy_sets`, `voters`, `fallback_servers`; last
`evaluation`.
"""
