"""Operates many proxies as one: replicated orders, an agent on each machine, and a command-line tool.

In reading order: `errors`, `orders` (orders and their record), `order_state` (the replicated state),
`overlay` (drains applied to discovery's server list), `anchored_clock`, `agreement` (Paxos), `journal` (an
agent's state on disk), `wire` (the control protocol), `control_socket` and `control` (its server, in the
proxy), `api_bodies`, `roster` (an agent's proxies), `settings` (configuration files), `agent`, `rollout`,
`cli`.
"""
