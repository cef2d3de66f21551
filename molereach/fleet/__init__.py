"""Operates many proxies as one: replicated orders, an agent on each machine, and a command-line tool.

In reading order: `errors`, `orders` (orders and their record), `order_state` (the replicated state),
`overlay` (drains over discovery's list), `anchored_clock`, `agreement` (Paxos), `journal` (an agent's disk),
`wire`, `control_socket` and `control` (the proxy's side), `api_bodies`, `roster` (an agent's proxies),
`settings` (files), `agent`, `rollout`, `cli`.
"""
